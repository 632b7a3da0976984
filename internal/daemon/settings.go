// Package daemon connects the cores of an entry and of a sidecar to clocks, connections
// and the platform. Each main loop and each background task has a goroutine of its own;
// bounded queues pass events between them.
package daemon

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// Defaults of the settings. Sizes are in bytes.
const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxConnections = 4096
	defaultReadTimeout    = 10 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultMaxQueued      = 256
	defaultMaxUsageBytes  = 8 << 20

	defaultDigestInterval      = 500 * time.Millisecond
	defaultWatchSilence        = 5 * time.Second
	defaultUsageFlushInterval  = time.Second
	defaultUsageConfirmTimeout = 10 * time.Second
	defaultClaimBatchDelay     = 5 * time.Millisecond
	defaultBalancerWait        = 2 * time.Second
	defaultDrainTimeout        = 120 * time.Second
	defaultProbeDelay          = 2 * time.Second
	defaultHeartbeatTimeout    = time.Second
)

var settingsSchema = schemacheck.Embedded("settings")

// ReadSettings reads a settings file, checks it and fills in the defaults. The error lists
// all faults found.
func ReadSettings(file string) (api.Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return api.Settings{}, eris.Wrapf(err, "settings file %s cannot be read", file)
	}
	return ParseSettings(raw)
}

// ParseSettings decodes settings in JSON, checks them and fills in the defaults. The error
// lists all faults found.
func ParseSettings(raw []byte) (api.Settings, error) {
	var s api.Settings
	if err := settingsSchema.Decode(raw, &s); err != nil {
		return api.Settings{}, err
	}
	return FillDefaults(s)
}

// FillDefaults checks settings that were built in memory and fills in the defaults. The
// error is a schemacheck.Faults.
func FillDefaults(s api.Settings) (api.Settings, error) {
	if faults := checkSettings(s); len(faults) > 0 {
		return api.Settings{}, faults
	}
	fillDefaults(&s)
	return s, nil
}

// checkSettings returns the faults that the JSON schema cannot express, sorted.
func checkSettings(s api.Settings) schemacheck.Faults {
	var faults schemacheck.Faults
	add := func(path, format string, args ...any) {
		faults = append(faults, schemacheck.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	for path, address := range map[string]string{
		"$.listen.callers": s.Listen.Callers, "$.listen.admin": s.Listen.Admin,
		"$.listen.health": s.Listen.Health, "$.listen.peer": s.Listen.Peer, "$.advertise": s.Advertise,
	} {
		if problem := addressProblem(address); problem != "" {
			add(path, "%s", problem)
		}
	}
	for i, address := range s.Peers {
		if problem := addressProblem(address); problem != "" {
			add(fmt.Sprintf("$.peers[%d]", i), "%s", problem)
		}
	}
	switch {
	case s.Role == api.RoleEntry && s.Listen.Callers == "":
		add("$.listen.callers", "is required for role entry")
	case s.Role == api.RoleSidecar && s.Backend == nil:
		add("$.backend", "is required for role sidecar")
	case s.Role == api.RoleSidecar && s.Backend.Kind == api.BackendKindService && s.Backend.Service == "":
		add("$.backend.service", "is required for kind service")
	}
	if s.TLS != nil && s.TLS.Peers != nil && s.TLS.Peers.CaFile == "" {
		add("$.tls.peers.caFile", "is required: daemons authenticate each other")
	}
	slices.SortFunc(faults, func(a, b schemacheck.Fault) int { return strings.Compare(a.String(), b.String()) })
	return faults
}

// addressProblem returns the problem of an address, empty if there is none. An address is
// empty, or host:port with an IP address as host.
func addressProblem(address string) string {
	if address == "" {
		return ""
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not host:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("host %q is not an IP number", host)
	}
	return ""
}

func fillDefaults(s *api.Settings) {
	if s.Limits == nil {
		s.Limits = &api.LimitSettings{}
	}
	if s.Timing == nil {
		s.Timing = &api.TimingSettings{}
	}
	if s.Log == nil {
		s.Log = &api.LogSettings{}
	}
	l, t := s.Limits, s.Timing
	setDefault(&l.BodyBytes, defaultMaxBodyBytes)
	setDefault(&l.HeaderBytes, defaultMaxHeaderBytes)
	setDefault(&l.Connections, defaultMaxConnections)
	setDefault(&l.ReadTimeoutMs, int(defaultReadTimeout.Milliseconds()))
	setDefault(&l.WriteTimeoutMs, int(defaultWriteTimeout.Milliseconds()))
	setDefault(&l.Queue, defaultMaxQueued)
	setDefault(&l.UsageBytes, defaultMaxUsageBytes)
	setDefault(&t.DigestMs, int(defaultDigestInterval.Milliseconds()))
	setDefault(&t.WatchSilenceMs, int(defaultWatchSilence.Milliseconds()))
	setDefault(&t.UsageFlushMs, int(defaultUsageFlushInterval.Milliseconds()))
	setDefault(&t.UsageConfirmMs, int(defaultUsageConfirmTimeout.Milliseconds()))
	setDefault(&t.ClaimWindowMs, int(defaultClaimBatchDelay.Milliseconds()))
	setDefault(&t.BalancerWaitMs, int(defaultBalancerWait.Milliseconds()))
	setDefault(&t.DrainMs, int(defaultDrainTimeout.Milliseconds()))
	setDefault(&t.ProbeMs, int(defaultProbeDelay.Milliseconds()))
	setDefault(&t.AliveMs, int(defaultHeartbeatTimeout.Milliseconds()))
}

// setDefault replaces a zero value by fallback.
func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// ms returns n milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
