package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

const (
	// streamAcceptPeriod is how long new streams are accepted after readiness is withdrawn. The
	// load balancer notices after two failed checks, one a second.
	streamAcceptPeriod = 2500 * time.Millisecond
	// drainRetryAfter makes a refused caller retry at once, at another process.
	drainRetryAfter = 10 * time.Millisecond
	// balancerDelay is how long callers may still be sent here after readiness is withdrawn:
	// two failed checks, one a second, and the transit time of a request.
	balancerDelay = 3200 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for the exit of the process.
	shutdownReserve = 400 * time.Millisecond
	// finalAnswerTime is the time before the connections are closed in which requests that still run get an
	// answer.
	finalAnswerTime = 200 * time.Millisecond
)

// errLeaving is the cause with which the requests end that still run near the end of the grace period.
var errLeaving = errors.New("instance leaves")

// plannedStop holds the times of a planned stop: when readiness was withdrawn, and when the requests that
// still run are ended.
type plannedStop struct {
	startedAt, requestsEndAt time.Time
}

// refuseWhileLeaving returns the refusal of a new request that the process may not end before it leaves, or nil.
func (g *Gateway) refuseWhileLeaving(route *forward.Route, limit time.Duration) *errkind.Error {
	stop := g.stop.Load()
	if stop == nil {
		return nil
	}
	isLateStream := route.Kind == forward.Stream && time.Since(stop.startedAt) > streamAcceptPeriod
	if !isLateStream && g.dispatcher.endsWithin(time.Until(stop.requestsEndAt), route, limit) {
		return nil
	}
	return errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(drainRetryAfter)
}

// drain withdraws readiness, serves until the load balancer has noticed, and returns when the
// running requests have ended or the grace period is nearly over.
func (g *Gateway) drain(ctx context.Context) error {
	now := time.Now()
	deadline := now.Add(g.settings.GracePeriod - shutdownReserve)
	g.stop.Store(&plannedStop{startedAt: now, requestsEndAt: deadline.Add(-finalAnswerTime)})
	g.draining.Store(true)
	g.relayPeer.stopServing()
	g.log.Info("instance leaves, readiness is withdrawn", zap.Int64("active", g.activeRequests.Load()))
	endTimer := time.AfterFunc(time.Until(deadline.Add(-finalAnswerTime)), func() {
		g.log.Info("grace period is nearly over, running requests are answered", zap.Int64("active", g.activeRequests.Load()))
		g.endRequests()
	})
	defer endTimer.Stop()
	balancerWait := min(balancerDelay, g.settings.GracePeriod/2)
	select {
	case <-ctx.Done():
	case <-time.After(balancerWait):
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := g.callerListener.Shutdown(shutdownCtx, g.callerServer); err != nil {
		g.log.Warn("grace period is over, the connections of running requests are closed", zap.Int64("active", g.activeRequests.Load()), zap.Error(err))
	}
	g.stopBackground()
	g.pool.close()
	for _, s := range []*http.Server{g.healthServer, g.metricsServer} {
		if s != nil {
			_ = s.Close()
		}
	}
	g.log.Info("instance has left")
	g.logWriter.flush(logFlushTimeout)
	return nil
}

// endWhenLeaving returns a context that ends with the cause errLeaving when the running requests must be answered,
// unless the caller has a part of the answer by then, and a function that releases it.
func (r *request) endWhenLeaving(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.gateway.ending, func() { cancel(errLeaving) })
	r.useWholeGracePeriod = func() { stop() }
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isLeaving reports whether a request ends because the process leaves.
func isLeaving(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLeaving) }

// leavingError returns the error of a request that ends because the process leaves.
func (r *request) leavingError() *errkind.Error {
	if r.mayHaveRun {
		return errkind.New(errkind.UpstreamFailed, "instance leaves before the answer has come")
	}
	return errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(drainRetryAfter)
}

// recordDuration records how long a request took whose caller has a whole answer.
func (d *dispatcher) recordDuration(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Observe(route, duration)
}

// endsWithin reports whether a request is taken by a process that ends all its requests after a time.
func (d *dispatcher) endsWithin(left time.Duration, route *forward.Route, limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.durations.EndsWithin(left, route, limit)
}
