package gateway

import (
	"cmp"
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// retryBudget returns the retry budget of a service. The caller holds the lock.
func (d *dispatcher) retryBudget(service string) *forward.RetryBudget {
	b := d.retryBudgets[service]
	if b == nil {
		b = forward.NewRetryBudget(sinceBoot(), retryOptions(d.settings.Load()))
		d.retryBudgets[service] = b
	}
	return b
}

func retryOptions(s *Settings) forward.RetryOptions {
	return forward.RetryOptions{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: cmp.Or(s.RetryWindow, defaultRetryWindow)}
}

// recordFirstAttempt counts the first attempt of a request, which earns a part of a retry.
func (d *dispatcher) recordFirstAttempt(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := sinceBoot()
	d.retryBudget(service).RecordRequest(now, d.placer.RetryShare(now, service))
}

// hasRetryBudget reports whether a retry is left in the budget, without taking it.
func (d *dispatcher) hasRetryBudget(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := sinceBoot()
	return d.retryBudget(service).Available(now, d.placer.RetryShare(now, service))
}

// takeRetryBudget takes a retry from the budget of the service and reports whether one was left.
func (d *dispatcher) takeRetryBudget(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := sinceBoot()
	return d.retryBudget(service).Take(now, d.placer.RetryShare(now, service))
}

// retriesLeft returns how many retries the budget of the service holds.
func (d *dispatcher) retriesLeft(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := sinceBoot()
	return d.retryBudget(service).Left(now, d.placer.RetryShare(now, service))
}

// retrySent records that the attempt of a retry was sent.
func (d *dispatcher) retrySent(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(service).Sent()
}

// returnRetry gives back a retry whose attempt is not sent.
func (d *dispatcher) returnRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(service).Return()
}

// takenRetry is a retry that was taken from the budget; the zero value is none.
type takenRetry struct {
	cause forward.RetryCause
	at    time.Time
}

// takeRetry takes a retry from the budget, unless one was already taken for the next attempt. It reports
// whether a retry was left.
func (r *request) takeRetry(cause forward.RetryCause) bool {
	if r.retry.cause != "" {
		return true
	}
	if !r.gateway.dispatcher.takeRetryBudget(r.service) {
		r.gateway.metrics.countRetryRefusal(r.service, cause)
		return false
	}
	r.retry = takenRetry{cause: cause, at: time.Now()}
	return true
}

// recordRetrySent records an attempt that was sent, if it is a retry, in the budget, the metrics and the
// record of the attempt.
func (r *request) recordRetrySent(a *attempt) {
	if r.retry.cause == "" {
		return
	}
	d, service := r.gateway.dispatcher, r.service // the gauge must not keep the request
	d.retrySent(service)
	r.gateway.metrics.countRetry(service, r.retry.cause)
	r.gateway.metrics.showRetryBudget(service, func() float64 { return d.retriesLeft(service) })
	a.record.RetryCause, a.record.RetryWaitMs = r.retry.cause, time.Since(r.retry.at).Milliseconds()
	a.record.RetriesLeft = math.Round(100*d.retriesLeft(service)) / 100
	r.retry = takenRetry{}
}

// returnRetry gives back a retry that the request has taken and not used.
func (r *request) returnRetry() {
	if r.retry.cause != "" {
		r.gateway.dispatcher.returnRetry(r.service)
		r.retry = takenRetry{}
	}
}
