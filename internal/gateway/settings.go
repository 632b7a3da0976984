// Package gateway forwards HTTP requests, without interpreting their bodies, to the workers that
// a store lists. It owns the connections, goroutines and clocks; package forward decides.
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
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/overload"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// Defaults and limits of the settings.
const (
	// defaultStoreTimeout is 175 times the usual response time of 4 ms and 3 times that of a
	// slow store.
	defaultStoreTimeout = 700 * time.Millisecond
	// defaultWatchTimeout bounds how long a connection that became silent goes unnoticed.
	defaultWatchTimeout = 1500 * time.Millisecond
	// defaultLongWatchTimeout applies to topics whose age no decision depends on. A connection
	// that became silent is detected by its keep-alive probes.
	defaultLongWatchTimeout  = 10 * time.Second
	defaultMaxRevokeDelay    = 5 * time.Second
	defaultGracePeriod       = 8 * time.Second
	defaultStablePeriod      = 3 * time.Second
	defaultRetryRatio        = 0.2
	defaultRetrySlack        = 10
	defaultRetryWindow       = 10 * time.Second
	defaultCanaryShare       = 0.1
	defaultSessionTimeout    = 5 * time.Second
	defaultLogLinesPerSecond = 400
	// maxSettingSeconds bounds the settings in seconds; higher values are lowered to it.
	maxSettingSeconds = 3600
)

var settingsSchema = schemacheck.Embedded("gateway")

// Settings holds the checked settings of a gateway, read from a settings file that
// schema gateway describes, with defaults filled in.
type Settings struct {
	Instance, FailureDomain string
	// Addresses to listen on, as host:port. An empty metrics address opens no listener.
	CallerAddress, HealthAddress, MetricsAddress string
	// ReadyPath is a further path of the readiness check; empty for none.
	ReadyPath    string
	StoreAddress string
	// PeerAddress is the address on which a relay accepts other gateways.
	PeerAddress string
	// Relays are the peer addresses of the gateways that pass updates of the store on.
	Relays []string
	// StoreTimeout bounds a store call beyond the wait of a watch. WatchTimeout is the longest
	// wait of a watch on the configuration, LongWatchTimeout that of one on workers or rollouts.
	StoreTimeout, WatchTimeout, LongWatchTimeout time.Duration
	// MaxRevokeDelay is the delay after which no request may run with a withdrawn API key.
	// GracePeriod is the time from SIGTERM until the process is killed. StablePeriod is the time
	// after an outage of the store in which workers without an entry may register again; the gateway
	// accepts it but does not use it. RetryWindow is the window of the retry budget.
	MaxRevokeDelay, GracePeriod, StablePeriod, RetryWindow time.Duration
	// SessionTimeout is the pause after which a session ends. MaxDrainDelay is the delay after
	// which a leaving worker must get no new work, MaxApplyDelay that after which a
	// configuration must be in force. If one of the two delays is 0, relays are not used.
	SessionTimeout, MaxDrainDelay, MaxApplyDelay time.Duration
	// MaxEvacuateDelay is the delay after which the workers of a failure domain that an operator
	// evacuates must get no new requests; 0 means that evacuations are not used.
	MaxEvacuateDelay time.Duration
	// Admission states that requests wait for room or are refused under overload.
	Admission bool
	// Terms are the names of the platform's terms that are in force. Only the adapter reads them.
	Terms []string
	// RetryRatio is the number of retries allowed per request, and RetrySlack the number allowed
	// beyond that ratio within RetryWindow, both over all instances.
	RetryRatio, RetrySlack float64
	// LeavingCost is what it costs to send a request to a worker in another failure domain. It is weighed for
	// all services if LeavingIsSet, and otherwise for those whose workers state how long work takes.
	LeavingCost  forward.LeavingCost
	LeavingIsSet bool
	// CanaryShare is the largest share of the requests of a service that a bad version may get.
	// The gateway accepts it but does not use it.
	CanaryShare float64
	// Limits are what the platform grants the instance; a field that is 0 is unknown.
	Limits            overload.Limits
	LogLevel          string
	LogLinesPerSecond int
}

// ReadSettings reads and checks a settings file. The error states that the file cannot be read,
// or lists all faults.
func ReadSettings(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "settings file %s cannot be read", file)
	}
	return ParseSettings(raw)
}

// ParseSettings checks settings in JSON and fills in the defaults. An error of the schema or of
// the addresses lists all faults of its kind.
func ParseSettings(raw []byte) (Settings, error) {
	var s api.GatewaySettings
	if err := settingsSchema.Decode(raw, &s); err != nil {
		return Settings{}, err
	}
	if faults := checkAddresses(&s); len(faults) > 0 {
		return Settings{}, faults
	}
	return applyDefaults(&s), nil
}

// checkAddresses returns a fault for each address that is not host:port with an IP number.
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

// applyDefaults converts settings and replaces zero values by their defaults.
func applyDefaults(s *api.GatewaySettings) Settings {
	out := Settings{
		Instance: s.Instance, FailureDomain: s.FailureDomain,
		CallerAddress: s.Listen.Callers, HealthAddress: s.Listen.Health, MetricsAddress: s.Listen.Metrics, ReadyPath: s.Listen.ReadyPath,
		StoreAddress: s.Store.Address,
		StoreTimeout: millisecondsOr(s.Store.TimeoutMs, defaultStoreTimeout), WatchTimeout: millisecondsOr(s.Store.WatchMs, defaultWatchTimeout),
		LongWatchTimeout: millisecondsOr(s.Store.LongWatchMs, defaultLongWatchTimeout),
	}
	var b api.GatewayBounds
	if s.Bounds != nil {
		b = *s.Bounds
	}
	out.MaxRevokeDelay = millisecondsOr(b.RevokeMs, defaultMaxRevokeDelay)
	out.StablePeriod = millisecondsOr(b.StableMs, defaultStablePeriod)
	out.GracePeriod = secondsOr(b.GraceSeconds, defaultGracePeriod)
	out.RetryWindow = secondsOr(b.RetryWindowSeconds, defaultRetryWindow)
	out.SessionTimeout = secondsOr(b.SessionSeconds, defaultSessionTimeout)
	out.MaxDrainDelay, out.MaxApplyDelay = millisecondsOr(b.DrainMs, 0), millisecondsOr(b.ApplyMs, 0)
	out.Admission, out.Terms = s.Admission, s.Terms
	out.MaxEvacuateDelay = millisecondsOr(b.EvacuateMs, 0)
	if s.Peers != nil {
		out.PeerAddress, out.Relays = s.Peers.Listen, s.Peers.Relays
	}
	if s.Leaving != nil {
		out.LeavingIsSet = true
		out.LeavingCost = forward.LeavingCost{
			PerMegabyte:  time.Duration(s.Leaving.MsPerMegabyte * float64(time.Millisecond)),
			PerRoundTrip: time.Duration(s.Leaving.MsPerRoundTrip * float64(time.Millisecond)),
		}
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
	if l := s.Limits; l != nil {
		out.Limits = overload.Limits{
			MemoryBytes: int64(l.MemoryMb * 1e6), Descriptors: l.Descriptors, LinkBytesPerSecond: l.LinkMbps * 1e6 / 8,
			ProcessorShare: l.ProcessorShare,
		}
	}
	out.LogLinesPerSecond = defaultLogLinesPerSecond
	if s.Log != nil {
		out.LogLevel = string(s.Log.Level)
		if s.Log.LinesPerSecond > 0 {
			out.LogLinesPerSecond = s.Log.LinesPerSecond
		}
	}
	return out
}

// millisecondsOr returns n milliseconds, or the fallback if n is 0.
func millisecondsOr(n int, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}

// secondsOr returns n seconds, at most maxSettingSeconds, or the fallback if n is 0.
func secondsOr(n float64, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(min(n, maxSettingSeconds) * float64(time.Second))
}
