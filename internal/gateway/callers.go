package gateway

import (
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/overload"
)

// Limits of callers where the configuration sets none, or none is known yet.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	// defaultCallerIdleTimeout is longer than callers keep an idle connection for reuse.
	defaultCallerIdleTimeout = 90 * time.Second
)

// newServer returns a server of connections of package intake, which bounds heads and the wait for them. Those bounds
// follow the configuration; the ones here only keep net/http from setting smaller ones.
func newServer(handler http.Handler) *http.Server {
	const beyondIntake = 24 * time.Hour
	return &http.Server{Handler: handler, ReadHeaderTimeout: beyondIntake, MaxHeaderBytes: 1 << 30}
}

// callerOptions returns the bounds of the connections of callers.
func (g *Gateway) callerOptions() intake.Options {
	guard := g.overload
	return intake.Options{
		MaxConnections: guard.bounds.Callers, SendBuffer: guard.sendBuffer,
		Limits: g.callerLimits, Accept: guard.acceptCaller, ResizeHead: guard.resizeHead,
		OnOpen: func() { guard.callers.Add(1) }, OnClose: func() { guard.callers.Add(-1) },
		OnWrite: func(n int) { guard.sentBytes.Add(int64(n)) },
		OnRefuse: func(e *errkind.Error) {
			guard.turnedAway.heads.Add(1)
			g.metrics.countRefusal(e.Kind)
		},
		OnFull: func() {
			guard.turnedAway.unread.Add(1)
			guard.closed.Inc()
		},
		OnGiveUp: func(phase overload.Phase) {
			guard.turnedAway.givenUp.Add(1)
			g.metrics.countGivenUp(phase)
		},
	}
}

// callerLimits returns the limits of callers that are in force.
func (g *Gateway) callerLimits() intake.Limits {
	out := intake.Limits{HeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultCallerIdleTimeout}
	snapshot := g.dispatcher.snapshot.Load()
	if snapshot == nil {
		return out
	}
	configured := snapshot.config.Limits
	if configured.HeaderBytes > 0 {
		out.HeaderBytes = configured.HeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		out.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		out.IdleTimeout = configured.IdleTimeout
	}
	return out
}

// healthOptions returns the bounds of the connections for health checks and metrics.
func (g *Gateway) healthOptions() intake.Options {
	return intake.Options{
		MaxConnections: maxHealthConnections, SendBuffer: g.overload.sendBuffer,
		Limits: func() intake.Limits {
			return intake.Limits{HeaderBytes: maxHealthHeaderBytes, HeaderTimeout: healthTimeout, IdleTimeout: defaultCallerIdleTimeout}
		},
	}
}
