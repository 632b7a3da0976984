package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/callerapi"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/standin/service"
)

const (
	entryKey = "key-entry"
	// entryConnections is less than the clients of a crowd.
	entryConnections = 300
	entryPath        = "/v1/services/booking/find"
)

// entryHeads are those for an entry.
var entryHeads = crowdHeads{
	path: entryPath, longPath: entryPath + strings.Repeat("a", 12<<10), key: entryKey, deadline: callerapi.HeaderDeadlineMs + ": 30000\r\n",
}

// Guards against clients outside the limits that take the memory or all connections of an entry, on the ports for
// callers and health checks, and on all ports at once. Run it alone: memory is measured.
func TestEntryStaysWithinMemoryBesideClientsOutsideLimits(t *testing.T) {
	binary := buildDaemon(t, t.TempDir())
	for _, form := range crowdForms(entryHeads) {
		if !form.onRelay {
			t.Run(form.name, func(t *testing.T) { startCrowdedEntry(t, binary).meet(t, []crowdForm{form}, nil) })
		}
	}
	t.Run("all at once", func(t *testing.T) { startCrowdedEntry(t, binary).meet(t, crowdForms(entryHeads), nil) })
}

// Guards against links and messages that take the memory of an entry, on the port for other daemons. Run it alone: memory
// is measured.
func TestEntryLinksStayWithinMemoryBesideClientsOutsideLimits(t *testing.T) {
	binary := buildDaemon(t, t.TempDir())
	for _, form := range crowdForms(entryHeads) {
		if form.onRelay {
			t.Run(form.name, func(t *testing.T) { startCrowdedEntry(t, binary).meet(t, []crowdForm{form}, nil) })
		}
	}
}

// startCrowdedEntry starts an entry, and a sidecar before one instance of a service.
func startCrowdedEntry(t *testing.T, binary string) *crowdTarget {
	t.Helper()
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	committed, err := json.Marshal(api.Manifest{
		SchemaVersion: 1, Operators: []api.Operator{{Name: "operator", KeyHash: manifest.HashAPIKey("key-operator")}}, Models: []api.Model{}, Pools: []api.Pool{},
		Customers: []api.Customer{{Name: "north", KeyHashes: []string{manifest.HashAPIKey(entryKey)}, Versions: []string{}, Services: []string{"booking"}}},
		Services:  []api.Service{{Name: "booking", Operations: []api.Operation{{Name: "find", Idempotent: true, Cost: 1}}}},
		Classes:   []api.Class{{Name: "lookup", QualityTarget: 0.5, DeadlineMs: 10_000, Weighting: api.WeightingLatency, MaxOutputTokens: 32}},
	})
	assert.NilError(t, err)
	cluster, err := devcluster.Start(devcluster.Spec{
		Subnet: [2]byte{subnet, 0}, Region: "region-1", Manifest: committed, Entries: []string{"a"},
		Services: []devcluster.Service{{Name: "booking-1", FailureDomain: "a", Service: "booking", Config: service.Config{}}},
		Timing:   api.TimingSettings{BalancerWaitMs: 100, UsageFlushMs: 100}, LogLevel: "error",
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	c := &crowdTarget{body: "{}", ordinary: func() string {
		return "POST " + entryPath + " HTTP/1.1\r\nAuthorization: Bearer " + entryKey + "\r\n" + callerapi.HeaderClass + ": lookup\r\n"
	}}
	for _, s := range cluster.Settings {
		if s.Role == api.RoleEntry {
			s.Limits = &api.LimitSettings{MemoryMb: crowdMemoryMb, Connections: entryConnections, HeaderBytes: crowdHeaderBytes, BodyBytes: crowdBodyBytes, ReadTimeoutMs: 3000}
			c.callers, c.relay, c.health = s.Listen.Callers, s.Listen.Peer, s.Listen.Health
		}
		raw, err := json.Marshal(s)
		assert.NilError(t, err)
		file := filepath.Join(t.TempDir(), "settings.json")
		assert.NilError(t, os.WriteFile(file, raw, 0o600))
		cmd := exec.Command(binary, file)
		cmd.Stderr = os.Stderr
		assert.NilError(t, cmd.Start())
		t.Cleanup(func() {
			_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			_ = cmd.Wait()
		})
		if s.Role == api.RoleEntry {
			c.pid, c.command = cmd.Process.Pid, cmd
		}
	}
	c.awaitReady(t)
	return c
}
