package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/overload"
)

// overloadGuard measures this instance and applies the decisions of package overload.
type overloadGuard struct {
	bounds overload.Connections
	// sendBuffer and callerReceiveBuffer are the sizes of the buffers of callers' connections, 0 for those of the system.
	sendBuffer, callerReceiveBuffer int
	// receiveBuffer is the size of the receive buffers of connections to workers, 0 for that of the system.
	receiveBuffer int
	metrics       *gatewayMetrics
	log           *zap.Logger

	// sentBytes counts what was written to callers and workers since the last sample.
	sentBytes atomic.Int64
	// callers and workers are the open connections.
	callers, workers atomic.Int64
	// closed counts the connections that were closed unread.
	closed *metrics.Counter
	// turnedAway counts callers since the last line about them in the log.
	turnedAway turnedAway

	mu        sync.Mutex
	guard     *overload.Guard
	readiness overload.Readiness
	// arrived and refused count requests since readiness was last decided.
	arrived, refused int
	// reason is that of the refusals of the present series, for the log.
	reason overload.Reason
}

func newOverloadGuard(l overload.Limits, m *gatewayMetrics, log *zap.Logger) *overloadGuard {
	g := &overloadGuard{bounds: l.Connections(), sendBuffer: l.SendBufferBytes(), callerReceiveBuffer: l.CallerReceiveBufferBytes(), receiveBuffer: l.ReceiveBufferBytes(), metrics: m, log: log, guard: overload.NewGuard(l)}
	gauge := func(name string, value func(overload.Load) float64) {
		m.set.NewGauge(name, func() float64 { return value(g.load()) })
	}
	gauge("borageflow_gateway_processor_lag_seconds", func(l overload.Load) float64 { return l.Lag.Seconds() })
	gauge("borageflow_gateway_link_delay_seconds", func(l overload.Load) float64 { return l.LinkDelay.Seconds() })
	gauge("borageflow_gateway_request_memory_share", func(l overload.Load) float64 { return l.MemoryShare })
	gauge("borageflow_gateway_request_memory_bytes", func(l overload.Load) float64 { return float64(l.RequestBytes) })
	m.set.NewGauge("borageflow_gateway_process_memory_bytes", func() float64 { return float64(observe.UsedMemory()) })
	m.set.NewGauge("borageflow_gateway_caller_connections", func() float64 { return float64(g.callers.Load()) })
	m.set.NewGauge("borageflow_gateway_head_memory_bytes", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.guard.HeadBytes())
	})
	g.closed = m.set.NewCounter("borageflow_gateway_closed_connections_total")
	return g
}

func (g *overloadGuard) load() overload.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Load(sinceBoot())
}

// reservation is the memory of an admitted request.
type reservation struct {
	guard   *overloadGuard
	request overload.Request
}

// extend reserves n more bytes for the body and reports whether there is memory for them.
func (r *reservation) extend(n int) bool {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	var ok bool
	r.request, ok = r.guard.guard.Extend(r.request, int64(n))
	return ok
}

// settle replaces the memory that is reserved for the body by what it takes.
func (r *reservation) settle(bodyBytes int) {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.request = r.guard.guard.Settle(r.request, int64(bodyBytes))
}

// release returns the memory. It must be called at the end of the request.
func (r *reservation) release() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.guard.guard.Release(r.request)
}

// admit decides on a request before its body is read.
func (g *overloadGuard) admit(route *forward.Route, timeLimit time.Duration, req *http.Request, limits forward.ClientLimits) (*reservation, *errkind.Error) {
	r := bodyRequest(req, limits)
	r.Tolerance = overload.Tolerance(route.LatencyTarget, route.GapTarget, timeLimit)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived++
	verdict := g.guard.Admit(sinceBoot(), r)
	if verdict.Reason == overload.Admitted {
		return &reservation{g, r}, nil
	}
	g.refused++
	g.reason = verdict.Reason
	g.metrics.countOverload(verdict.Reason)
	return nil, errkind.New(errkind.Overloaded, "instance is at the limit of its "+string(verdict.Reason)).WithRetryAfter(verdict.RetryAfter)
}

// acceptCaller reserves memory for a connection of a caller beside so many open ones, and reports whether there is room.
func (g *overloadGuard) acceptCaller(open int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.AcceptCaller(open)
}

// holdAnswer reserves memory for an answer that is set aside, and reports whether there is room.
func (g *overloadGuard) holdAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.HoldAnswer(maxHeldBytes)
}

// dropAnswer returns the memory of an answer that was set aside.
func (g *overloadGuard) dropAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.DropAnswer(maxHeldBytes)
}

// resizeHead replaces the memory that is reserved for the head of a request, and reports whether there is room.
func (g *overloadGuard) resizeHead(from, to int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.ResizeHead(from, to)
}

// readinessTicks is the number of ticks between two decisions on readiness.
const readinessTicks = 5

// sample measures the instance, which other instances have opened links to, at the n-th tick, which was late by lag.
func (g *overloadGuard) sample(n int, lag time.Duration, links int) {
	now := sinceBoot()
	s := overload.Sample{Lag: lag, SentBytes: g.sentBytes.Swap(0), Callers: int(g.callers.Load()), Workers: int(g.workers.Load()), Links: links, MemoryBytes: observe.UsedMemory()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Observe(now, s)
	if n%readinessTicks != 0 {
		return
	}
	g.logTurnedAway()
	wasReady := g.readiness.IsReady(now)
	g.readiness.Observe(now, g.arrived, g.refused)
	if isReady := g.readiness.IsReady(now); g.refused > 0 || wasReady != isReady {
		load := g.guard.Load(now)
		g.log.Warn("instance is at its limits and refuses requests", zap.String("limit", string(g.reason)), zap.Int("refused", g.refused), zap.Int("arrived", g.arrived),
			zap.Duration("lag", load.Lag), zap.Duration("link_delay", load.LinkDelay), zap.Float64("memory_share", load.MemoryShare),
			zap.Int64("callers", g.callers.Load()), zap.Bool("ready", isReady))
	}
	g.arrived, g.refused = 0, 0
}

func (g *overloadGuard) isReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readiness.IsReady(sinceBoot())
}

// turnedAway counts callers whose requests were not read to the end of their heads.
type turnedAway struct {
	// unread are connections that were closed at once, givenUp those that made room for them, and heads those with a
	// head that was refused.
	unread, givenUp, heads atomic.Int64
}

// logTurnedAway writes one line for an interval, as callers of this kind come in thousands.
func (g *overloadGuard) logTurnedAway() {
	unread, givenUp, heads := g.turnedAway.unread.Swap(0), g.turnedAway.givenUp.Swap(0), g.turnedAway.heads.Swap(0)
	if unread+givenUp+heads == 0 {
		return
	}
	g.log.Warn("callers are turned away before their requests are read", zap.Int64("closed_unread", unread), zap.Int64("given_up", givenUp),
		zap.Int64("refused_heads", heads), zap.Int64("callers", g.callers.Load()), zap.Int("max_callers", g.bounds.Callers),
		zap.Int64("head_bytes", g.guard.HeadBytes()))
}

// endsConnections reports whether answers are to end their connections.
func (g *overloadGuard) endsConnections() bool {
	if g.bounds.CloseFrom > 0 && g.callers.Load() > int64(g.bounds.CloseFrom) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.EndsConnections()
}

// keepsIdle reports whether a connection to a worker may be kept idle.
func (g *overloadGuard) keepsIdle() bool {
	return g.bounds.Workers == 0 || g.workers.Load() <= int64(g.bounds.Workers)
}
