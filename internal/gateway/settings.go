// Package gateway forwards opaque HTTP requests to the workers that a store lists. It
// owns the connections, goroutines and clocks around the decisions of package forward.
package gateway

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
	// defaultStoreTimeout is 175 times the usual answer of 4 ms and 3 times that of a slow store.
	defaultStoreTimeout = 700 * time.Millisecond
	// defaultWatch bounds how long a connection that went silent goes unnoticed.
	defaultWatch = 1500 * time.Millisecond
	// defaultLongWatch is for topics whose age nothing depends on; a connection that went
	// silent is found by its keep-alive probes.
	defaultLongWatch    = 10 * time.Second
	defaultRevoke       = 5 * time.Second
	defaultGrace        = 8 * time.Second
	defaultStable       = 3 * time.Second
	defaultRetryRatio   = 0.2
	defaultRetrySlack   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultCanaryShare  = 0.1
	defaultSession      = 5 * time.Second
	defaultLogLineRate  = 400
	maxSecondsInSetting = 3600
)

var settingsSchema = schemacheck.Embedded("gateway")

// Settings are the checked settings of a gateway.
type Settings struct {
	Instance, FailureDomain            string
	Callers, Health, Metrics           string
	ReadyPath                          string
	StoreAddress                       string
	PeerListen                         string
	Relays                             []string
	StoreTimeout, Watch, LongWatch     time.Duration
	Revoke, Grace, Stable, RetryWindow time.Duration
	Session, Drain, Apply              time.Duration
	RetryRatio, RetrySlack             float64
	CanaryShare                        float64
	LogLevel                           string
	LogLinesPerSecond                  int
}

// ReadSettings reads and checks a settings file. The error lists every fault.
func ReadSettings(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "settings file %s cannot be read", file)
	}
	return ParseSettings(raw)
}

// ParseSettings checks settings and fills in the defaults.
func ParseSettings(raw []byte) (Settings, error) {
	var s api.GatewaySettings
	if err := settingsSchema.Decode(raw, &s); err != nil {
		return Settings{}, err
	}
	if faults := checkAddresses(&s); len(faults) > 0 {
		return Settings{}, faults
	}
	return fill(&s), nil
}

func checkAddresses(s *api.GatewaySettings) schemacheck.Faults {
	var faults schemacheck.Faults
	addresses := map[string]string{
		"$.listen.callers": s.Listen.Callers, "$.listen.health": s.Listen.Health, "$.store.address": s.Store.Address,
	}
	if s.Listen.Metrics != "" {
		addresses["$.listen.metrics"] = s.Listen.Metrics
	}
	if s.Peers != nil {
		if s.Peers.Listen != "" {
			addresses["$.peers.listen"] = s.Peers.Listen
		}
		for i, relay := range s.Peers.Relays {
			addresses[fmt.Sprintf("$.peers.relays[%d]", i)] = relay
		}
	}
	for path, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			faults = append(faults, schemacheck.Fault{Path: path, Problem: fmt.Sprintf("%q is not host:port with an IP number", address)})
		}
	}
	slices.SortFunc(faults, func(a, b schemacheck.Fault) int { return strings.Compare(a.Path, b.Path) })
	return faults
}

func fill(s *api.GatewaySettings) Settings {
	out := Settings{
		Instance: s.Instance, FailureDomain: s.FailureDomain,
		Callers: s.Listen.Callers, Health: s.Listen.Health, Metrics: s.Listen.Metrics, ReadyPath: s.Listen.ReadyPath,
		StoreAddress: s.Store.Address,
		StoreTimeout: milliseconds(s.Store.TimeoutMs, defaultStoreTimeout), Watch: milliseconds(s.Store.WatchMs, defaultWatch),
		LongWatch: milliseconds(s.Store.LongWatchMs, defaultLongWatch),
	}
	var b api.GatewayBounds
	if s.Bounds != nil {
		b = *s.Bounds
	}
	out.Revoke = milliseconds(b.RevokeMs, defaultRevoke)
	out.Stable = milliseconds(b.StableMs, defaultStable)
	out.Grace = seconds(b.GraceSeconds, defaultGrace)
	out.RetryWindow = seconds(b.RetryWindowSeconds, defaultRetryWindow)
	out.Session = seconds(b.SessionSeconds, defaultSession)
	out.Drain, out.Apply = milliseconds(b.DrainMs, 0), milliseconds(b.ApplyMs, 0)
	if s.Peers != nil {
		out.PeerListen, out.Relays = s.Peers.Listen, s.Peers.Relays
	}
	out.RetryRatio, out.RetrySlack, out.CanaryShare = b.RetryRatio, b.RetrySlack, b.CanaryShare
	if b.RetryRatio == 0 {
		out.RetryRatio = defaultRetryRatio
	}
	if b.RetrySlack == 0 {
		out.RetrySlack = defaultRetrySlack
	}
	if b.CanaryShare == 0 {
		out.CanaryShare = defaultCanaryShare
	}
	out.LogLinesPerSecond = defaultLogLineRate
	if s.Log != nil {
		out.LogLevel = string(s.Log.Level)
		if s.Log.LinesPerSecond > 0 {
			out.LogLinesPerSecond = s.Log.LinesPerSecond
		}
	}
	return out
}

func milliseconds(n int, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}

func seconds(n float64, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(min(n, maxSecondsInSetting) * float64(time.Second))
}
