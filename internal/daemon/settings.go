// Package daemon wires the cores of an entry and of a sidecar to clocks,
// connections and the platform. Each duty has a goroutine of its own; bounded
// rings join them.
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

// Defaults of the settings.
const (
	defaultBodyBytes    = 4 << 20
	defaultHeaderBytes  = 64 << 10
	defaultConnections  = 4096
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultQueue        = 256
	defaultUsageBytes   = 8 << 20

	defaultDigest       = 500 * time.Millisecond
	defaultWatchSilence = 5 * time.Second
	defaultUsageFlush   = time.Second
	defaultUsageConfirm = 10 * time.Second
	defaultClaimWindow  = 5 * time.Millisecond
	defaultBalancerWait = 2 * time.Second
	defaultDrain        = 120 * time.Second
	defaultProbe        = 2 * time.Second
	defaultAlive        = time.Second
)

var settingsSchema = schemacheck.Embedded("settings")

// ReadSettings reads and checks a settings file. The error lists every fault.
func ReadSettings(file string) (api.Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return api.Settings{}, eris.Wrapf(err, "settings file %s cannot be read", file)
	}
	return ParseSettings(raw)
}

// ParseSettings checks settings and fills in the defaults.
func ParseSettings(raw []byte) (api.Settings, error) {
	var s api.Settings
	if err := settingsSchema.Decode(raw, &s); err != nil {
		return api.Settings{}, err
	}
	return FillDefaults(s)
}

// FillDefaults checks settings that were built in memory and fills in the
// defaults.
func FillDefaults(s api.Settings) (api.Settings, error) {
	if faults := checkSettings(s); len(faults) > 0 {
		return api.Settings{}, faults
	}
	fillDefaults(&s)
	return s, nil
}

// checkSettings finds what the schema cannot express.
func checkSettings(s api.Settings) schemacheck.Faults {
	var faults schemacheck.Faults
	add := func(path, format string, args ...any) {
		faults = append(faults, schemacheck.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	for path, address := range map[string]string{
		"$.listen.callers": s.Listen.Callers, "$.listen.admin": s.Listen.Admin,
		"$.listen.health": s.Listen.Health, "$.listen.peer": s.Listen.Peer, "$.advertise": s.Advertise,
	} {
		if problem := checkAddress(address); problem != "" {
			add(path, "%s", problem)
		}
	}
	for i, address := range s.Peers {
		if problem := checkAddress(address); problem != "" {
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

// checkAddress accepts an empty address and host:port with an IP number.
func checkAddress(address string) string {
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
	orDefault(&l.BodyBytes, defaultBodyBytes)
	orDefault(&l.HeaderBytes, defaultHeaderBytes)
	orDefault(&l.Connections, defaultConnections)
	orDefault(&l.ReadTimeoutMs, int(defaultReadTimeout.Milliseconds()))
	orDefault(&l.WriteTimeoutMs, int(defaultWriteTimeout.Milliseconds()))
	orDefault(&l.Queue, defaultQueue)
	orDefault(&l.UsageBytes, defaultUsageBytes)
	orDefault(&t.DigestMs, int(defaultDigest.Milliseconds()))
	orDefault(&t.WatchSilenceMs, int(defaultWatchSilence.Milliseconds()))
	orDefault(&t.UsageFlushMs, int(defaultUsageFlush.Milliseconds()))
	orDefault(&t.UsageConfirmMs, int(defaultUsageConfirm.Milliseconds()))
	orDefault(&t.ClaimWindowMs, int(defaultClaimWindow.Milliseconds()))
	orDefault(&t.BalancerWaitMs, int(defaultBalancerWait.Milliseconds()))
	orDefault(&t.DrainMs, int(defaultDrain.Milliseconds()))
	orDefault(&t.ProbeMs, int(defaultProbe.Milliseconds()))
	orDefault(&t.AliveMs, int(defaultAlive.Milliseconds()))
}

func orDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
