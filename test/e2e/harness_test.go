// Package e2e tests the daemon: entries and sidecars run as separate processes
// on loopback addresses, with stand-ins for the platform and backend servers.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	// The import makes the daemon a dependency of this package, so that go test
	// does not reuse a cached result after the daemon changed.
	_ "github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
)

// binary is the path of the daemon that TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "borageflow-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "borageflowd")
	build := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the daemon failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nextSubnet counts the subnets that this process has tried to reserve.
var nextSubnet atomic.Uint32

// lockPort is the TCP port that a cluster listens on, at the last address of
// its subnet, to reserve the subnet.
const lockPort = 7000

// reserveSubnet reserves loopback addresses for a cluster. The bound port
// prevents two clusters, of this or another test process, from sharing a subnet.
func reserveSubnet(t *testing.T) [2]byte {
	t.Helper()
	const first, size = 10, 100 * 256
	for range size {
		n := (uint32(os.Getpid())*257 + nextSubnet.Add(1)) % size
		subnet := [2]byte{byte(first + n/256), byte(n % 256)}
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:%d", subnet[0], subnet[1], lockPort))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return subnet
		}
	}
	t.Fatal("every loopback subnet from 127.10 to 127.109 is in use")
	return [2]byte{}
}

// API keys of the customers and the operator of the test manifest.
const (
	keyNorth = "key-north"
	keySouth = "key-south"
	keyAdmin = "key-operator"
)

// process is a daemon process; start replaces cmd and exited.
type process struct {
	settings api.Settings
	file     string
	mu       sync.Mutex
	cmd      *exec.Cmd
	log      *bytes.Buffer
	exited   chan struct{}
	// wasFrozen is true if the process was ever stopped with SIGSTOP. Late
	// answers of such an entry are no fault.
	wasFrozen atomic.Bool
}

// cluster is a development cluster and its daemon processes by instance name.
type cluster struct {
	*devcluster.Cluster
	t         *testing.T
	processes map[string]*process
	// network relays the connections between daemons and to the store; nil if
	// they connect directly.
	network *network
}

// startCluster starts the stand-ins and every daemon, and waits until all
// daemons are ready.
func startCluster(t *testing.T, spec devcluster.Spec) *cluster {
	t.Helper()
	return startClusterOn(t, spec, nil)
}

// clusterSlots limits the number of clusters that run at the same time. With 16
// clusters on 12 cores, timeouts of one second expired because processes waited
// for a core.
var clusterSlots = make(chan struct{}, 4)

// startClusterOn is startCluster with connections relayed by n, if n is not nil.
func startClusterOn(t *testing.T, spec devcluster.Spec, n *network) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	spec.Subnet = reserveSubnet(t)
	dev, err := devcluster.Start(spec)
	assert.NilError(t, err)
	t.Cleanup(dev.Close)
	c := &cluster{Cluster: dev, t: t, processes: map[string]*process{}, network: n}
	if n != nil {
		n.insertRelays(t, dev)
	}
	t.Cleanup(c.stopAll)
	dir := t.TempDir()
	for _, s := range dev.Settings {
		p := &process{settings: s, file: filepath.Join(dir, s.Instance+".json"), log: &bytes.Buffer{}}
		raw, err := json.Marshal(s)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(p.file, raw, 0o600))
		c.processes[s.Instance] = p
		p.start(t)
	}
	for _, p := range c.processes {
		c.waitReady(p)
	}
	c.waitServers(len(spec.Engines) + len(spec.Services))
	return c
}

func (p *process) start(t *testing.T) {
	t.Helper()
	cmd := exec.Command(binary, p.file)
	cmd.Stderr = &lockedWriter{mu: &p.mu, dst: p.log}
	assert.NilError(t, cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// lockedWriter serializes the writes to dst.
type lockedWriter struct {
	mu  *sync.Mutex
	dst io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dst.Write(b)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and reports whether the process ended within limit.
func (p *process) stop(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// stopAll kills every process and logs the end of their output if the test failed.
func (c *cluster) stopAll() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if c.t.Failed() {
		for name, p := range c.processes {
			p.mu.Lock()
			c.t.Logf("log of %s:\n%s", name, lastBytes(p.log.String(), 4000))
			p.mu.Unlock()
		}
	}
}

// lastBytes returns the last n bytes of s.
func lastBytes(s string, n int) string {
	if len(s) > n {
		return s[len(s)-n:]
	}
	return s
}

// readyTimeout is how long a started daemon may take until it is ready.
const readyTimeout = 30 * time.Second

func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	url := "http://" + p.settings.Listen.Health + "/readyz"
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get(url)
		if err != nil {
			return poll.Continue("%s is not reachable: %v", p.settings.Instance, err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s is not ready: %s", p.settings.Instance, body)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
}

// waitServers waits until the metrics of every entry show n backend servers.
func (c *cluster) waitServers(n int) {
	c.t.Helper()
	want := fmt.Sprintf("borageflow_entry_backend_servers %d\n", n)
	for _, p := range c.processes {
		if p.settings.Role != api.RoleEntry {
			continue
		}
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			resp, err := http.Get("http://" + p.settings.Listen.Health + "/metrics")
			if err != nil {
				return poll.Continue("%v", err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if !bytes.Contains(body, []byte(want)) {
				return poll.Continue("metrics of %s do not show %d backend servers", p.settings.Instance, n)
			}
			return poll.Success()
		}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// callerURL returns the base URL of the caller API of entry n.
func (c *cluster) callerURL(n int) string {
	return "http://" + c.processes[fmt.Sprintf("entry-%d", n)].settings.Listen.Callers
}

// response is an HTTP response that a caller received.
type response struct {
	status int
	header http.Header
	body   []byte
}

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error struct {
		Kind     string `json:"kind"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

func (a response) kind() string {
	var e errorResponse
	_ = json.Unmarshal(a.body, &e)
	return e.Error.Kind
}

func (a response) runState() string {
	var e errorResponse
	_ = json.Unmarshal(a.body, &e)
	return e.Error.RunState
}

// post sends one request. It returns an error if no complete response arrived.
func post(url, key string, header map[string]string, body string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, raw}, err
}

func hashKey(key string) string { return manifest.HashAPIKey(key) }
