package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
)

// recordNotices records what the header of an answer asks of the gateways.
func (d *dispatcher) recordNotices(startedAt time.Duration, id string, status int, meta forward.AnswerMeta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := sinceBoot()
	if meta.Leaving && d.placer.RecordLeaving(now, id) {
		d.log.Info("worker says that it leaves and gets no new work", zap.String("worker", id))
	}
	if status == http.StatusServiceUnavailable && meta.HasRetryAfter && d.placer.RecordPause(now, id, meta.RetryAfter) {
		d.log.Info("worker turned a request away and wants no others for a time", zap.String("worker", id), zap.Int64("pause_ms", meta.RetryAfter.Milliseconds()))
	}
	switch {
	case !d.placer.RecordRateLimit(now, startedAt, id, meta.RateLimit, meta.HasRateLimit, d.rng.Float64()):
	case meta.HasRateLimit:
		d.log.Info("worker limits its requests", zap.String("worker", id), zap.Float64("per_second", meta.RateLimit))
	default:
		d.log.Info("worker limits its requests no longer", zap.String("worker", id))
	}
}

// nextTurn returns the time until a worker may get a request that none may get now by what the
// workers asked for, and whether there is such a worker.
func (d *dispatcher) nextTurn(now time.Duration, q forward.WorkerQuery) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.NextTurn(now, q)
}

// noticeCounts counts the workers that asked for something.
func (d *dispatcher) noticeCounts() forward.NoticeCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.NoticeCounts(sinceBoot())
}

// mustWait reports whether a worker would get the request if it had not asked for fewer, or, for a request of a
// session, if it were warm. A cold worker asked for nothing, and without a session another version may serve.
// The caller holds the lock.
func (d *dispatcher) mustWait(now time.Duration, q forward.WorkerQuery, session string) bool {
	q.IgnoreCold = session == ""
	_, ok := d.placer.NextTurn(now, q)
	return ok
}

// nextTurn returns when the caller may come back if all workers of the service asked for fewer
// requests, and whether they did. The time is spread, so that callers that are refused together do
// not return together.
func (r *request) nextTurn() (time.Duration, bool) {
	wait, ok := r.gateway.dispatcher.nextTurn(sinceBoot(), forward.WorkerQuery{Service: r.service})
	return wait + time.Duration(r.gateway.dispatcher.randomFloat()*float64(wait/2+defaultRetryAfter)), ok
}
