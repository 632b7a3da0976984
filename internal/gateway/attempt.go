package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/rollout"
)

// attempt is one attempt between the choice of a worker and its end.
type attempt struct {
	worker   forward.Worker
	leftFor  forward.LeavingCause
	inFlight *forward.InFlight
	exchange *exchange
	started  time.Time
	// startedSinceBoot is the time of the start since boot, the clock that package forward uses.
	startedSinceBoot time.Duration
	model            string
	// begunAt is when the header of the response arrived: the worker has begun to answer.
	begunAt time.Time
	// wasAlone reports whether no other request of this gateway waited at the worker for the beginning
	// of its answer.
	wasAlone bool
	// survived reports whether the request was recorded as one that does not end its worker.
	survived bool
	// evidence is the request as evidence of a rollout, nil without one.
	evidence *rollout.Pending
	// wasSilent reports whether the answer was overdue.
	wasSilent bool
	// isHeld reports whether the response was set aside. Its reader then ends the attempt.
	isHeld bool
	// release frees what an attempt that began as a hedge holds, nil for others.
	release func()
	record  attemptRecord
}

// maxUnsafeIdle bounds the idle time of a connection that carries an unsafe request. If the
// worker has closed the connection, the request is reset and counts as one that may have run.
const maxUnsafeIdle = 2 * time.Second

// runAttempt sends the request to a worker and its response to the caller. It returns the outcome
// and whether the request is done: the caller has a response or its connection must be
// closed.
func (r *request) runAttempt(ctx context.Context, a *attempt) (forward.Outcome, bool) {
	defer func() {
		if a.isHeld {
			return
		}
		if a.exchange != nil {
			a.exchange.close()
		}
		if a.release != nil {
			a.release()
		}
		r.gateway.dispatcher.releaseWorker(a.inFlight)
		r.recordBytes(a)
	}()
	defer func() { r.gateway.dispatcher.recordAbandoned(a.evidence) }()
	if a.exchange == nil { // otherwise a hedge, whose answer has begun
		if outcome, ok := r.beginAttempt(ctx, a); !ok {
			return outcome, false
		}
	}
	a.record.HeaderMs = time.Since(a.started).Milliseconds()
	a.record.Framing = framing.Of(a.exchange.resp).String()
	r.gateway.dispatcher.recordFirstByte(a.inFlight, a.exchange.meta.NotRun || a.exchange.resp.StatusCode >= http.StatusBadRequest)
	r.gateway.admission.begun(r.ticket)
	return r.handleHeader(ctx, a)
}

// outboundTo returns the request for the worker of an attempt. Its head is valid as long as buf is not changed.
func (r *request) outboundTo(a *attempt, buf *bytes.Buffer) outboundRequest {
	meta := forward.AttemptMeta{Worker: a.worker, Customer: r.customer.Name, Remaining: r.remaining(), Model: a.model, Urgency: r.urgency}
	if r.lastEventID >= 0 && r.headerSent {
		meta.LastEventID = strconv.FormatInt(r.lastEventID, 10)
	}
	r.inbound.encode(buf, r.gateway.headers, meta)
	maxIdle := time.Hour
	if !r.route.Idempotent() {
		maxIdle = maxUnsafeIdle
	}
	return outboundRequest{address: a.worker.Address, requestID: r.inbound.meta.RequestID, maxIdle: maxIdle, head: buf.Bytes(), body: r.inbound.body, beforeWrite: r.departure.check}
}

// startEvidence records that the request goes to a worker whose service may have a rollout in progress.
func (r *request) startEvidence(a *attempt) *rollout.Pending {
	return r.gateway.dispatcher.startEvidence(a.worker, r.route.Name+"/"+a.model, r.inbound.meta.PromptTokens-r.placement.CachedTokens)
}

// beginAttempt sends the request and waits for the header of the response. It returns the outcome, and false if
// no header has come.
func (r *request) beginAttempt(ctx context.Context, a *attempt) (forward.Outcome, bool) {
	r.triedWorkers = append(r.triedWorkers, a.worker.ID)
	buf := bufferPool.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds only buffers
	defer bufferPool.Put(buf)
	ex, err := sendRequest(ctx, r.gateway.pool, r.outboundTo(a, buf))
	if err != nil {
		r.unsentAttempts++
		r.lastError = err
		if ctx.Err() == nil { // otherwise the caller left, or the time of the request is over
			r.gateway.dispatcher.recordNoAnswer(a.worker, membership.Unreachable, 0)
		}
		return forward.NotSent, false
	}
	a.exchange = ex
	a.evidence = r.startEvidence(a)
	if r.modelIndex > 0 {
		r.gateway.dispatcher.recordLargerModelStart(r.route.Name, a.startedSinceBoot)
	}
	r.sentAttempts++
	r.recordRetrySent(a)
	r.gateway.quarantine.recordPending(r, a)
	err = r.awaitHeader(ctx, a)
	r.gateway.quarantine.recordBegun(a)
	if r.modelIndex > 0 {
		r.gateway.dispatcher.recordLargerModelEnd(r.route.Name, a.startedSinceBoot, err == nil)
	}
	if err == nil || isReadTimeout(err) {
		r.gateway.dispatcher.recordHeaderLatency(r.route.Name, r.modelIndex > 0, r.inbound.meta.PromptTokens, time.Since(a.started))
	}
	if err != nil {
		hasWon := r.awaitHedge(ctx)
		if hasWon && isReadTimeout(err) {
			r.mayHaveRun = true
			r.runCount++
			return forward.Overtaken, false
		}
		r.handleNoHeader(ctx, a, err)
		if hasWon {
			return forward.Overtaken, false
		}
		return forward.Broken, false
	}
	if r.isRefusalOrFailure(a) && r.awaitHedge(ctx) {
		if _, refused := r.recordRefusal(a); !refused {
			r.recordRunFailed(a)
		}
		return forward.Overtaken, false
	}
	r.endHedge(ctx)
	return forward.Answered, true
}

// isRefusalOrFailure reports whether the worker has not run the request or has failed it.
func (r *request) isRefusalOrFailure(a *attempt) bool {
	status := a.exchange.resp.StatusCode
	return a.exchange.meta.NotRun || status == http.StatusMisdirectedRequest || status >= http.StatusInternalServerError
}

// recordRunFailed records that a worker ran the request and failed it.
func (r *request) recordRunFailed(a *attempt) {
	r.mayHaveRun = true
	r.runCount++
	r.gateway.dispatcher.recordAnswer(a.evidence, true)
	r.gateway.dispatcher.recordAttempt(a.worker, membership.Failed, time.Since(a.started))
}

// handleNoHeader records an attempt whose response has no header. It is no failure of the worker if
// the caller left, if the larger model was given up for an answer that was set aside, or if the
// quarantine closed the connection.
func (r *request) handleNoHeader(ctx context.Context, a *attempt, err error) {
	r.lastError = err
	r.mayHaveRun = true
	r.runCount++
	if framing.IsNoAnswer(err) {
		r.gateway.dispatcher.recordAnswer(a.evidence, true)
	}
	if errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
		r.noRetryReason = "a part of the request was condemned while it waited at a worker"
		return
	}
	if !r.isOverdue() && (ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)) {
		r.recordFailure(a, err)
	}
}

// recordRefusal records the load and the notices of a response. It returns the outcome and true if the worker
// has not run the request.
func (r *request) recordRefusal(a *attempt) (forward.Outcome, bool) {
	ex, d, now := a.exchange, r.gateway.dispatcher, sinceBoot()
	if ex.meta.HasLoad {
		d.recordLoadReport(now, a.worker.ID, ex.meta.Load)
	}
	d.recordNotices(a.startedSinceBoot, a.worker.ID, ex.resp.StatusCode, ex.meta)
	switch {
	case ex.resp.StatusCode == http.StatusMisdirectedRequest:
		d.removeWorker(now, a.worker.ID)
		ex.releaseRefusal(r.gateway.pool)
		return forward.WrongWorker, true
	case ex.meta.NotRun:
		d.recordAttempt(a.worker, membership.Succeeded, time.Since(a.started))
		ex.releaseRefusal(r.gateway.pool)
		return forward.NotRun, true
	}
	return forward.Answered, false
}

// handleHeader decides by the header of a response whether to send the response to the caller or
// to make another attempt. The results are those of runAttempt.
func (r *request) handleHeader(ctx context.Context, a *attempt) (forward.Outcome, bool) {
	ex, now := a.exchange, sinceBoot()
	if outcome, refused := r.recordRefusal(a); refused {
		return outcome, false
	}
	status := ex.resp.StatusCode
	r.mayHaveRun = true
	a.begunAt = time.Now()
	latency := time.Since(a.started)
	r.runCount++
	if r.headerSent && !r.streamHead.ContinuedBy(ex.resp) {
		return r.discardForeignAnswer(a), false
	}
	failed := status >= http.StatusInternalServerError
	r.gateway.dispatcher.recordAnswer(a.evidence, failed)
	if failed {
		r.workerFailed = true
		r.gateway.dispatcher.recordAttempt(a.worker, membership.Failed, latency)
		if !r.headerSent && (r.reserveFailureRetry() || r.hasAnswerAtHand()) {
			ex.drainAndRelease(r.gateway.pool)
			return forward.WorkerFailed, false
		}
	} else {
		r.gateway.dispatcher.recordAttempt(a.worker, membership.Succeeded, latency)
	}
	if status < http.StatusMultipleChoices {
		r.gateway.dispatcher.recordServed(now, a, r.route.Name)
	}
	if r.route.Kind == forward.Stream && !failed && status < http.StatusMultipleChoices {
		if next, ok := r.shouldEscalate(a); ok {
			r.escalate(a, next)
			return outcomeEscalated, false
		}
		return r.copyStream(ctx, a)
	}
	return r.copyResponse(ctx, a)
}

// discardForeignAnswer records an answer that does not continue the caller's stream. It returns the outcome of
// the attempt.
func (r *request) discardForeignAnswer(a *attempt) forward.Outcome {
	r.workerFailed = true
	r.gateway.dispatcher.recordAnswer(a.evidence, true)
	r.recordFailure(a, framing.ErrNotContinued)
	a.exchange.drainAndRelease(r.gateway.pool)
	return forward.Broken
}

// reserveFailureRetry takes a retry for a request that a worker failed and reports whether there
// was one. Without one the caller gets the response of the worker.
func (r *request) reserveFailureRetry() bool {
	if !r.route.Idempotent() || r.runCount >= r.maxRuns() || r.remaining() <= minFailureRetryTime {
		return false
	}
	return r.takeRetry(forward.WorkerFailed.RetryCause())
}

// minFailureRetryTime is the least remaining time with which a failed response is dropped for
// another attempt. RetryState.ShouldRetry then still requires 50 ms.
const minFailureRetryTime = 60 * time.Millisecond

// causeOf returns why the answer of an attempt is not whole. The connection is closed when the time of the
// request is over, which is no break.
func (r *request) causeOf(err error) framing.Cause {
	if r.remaining() <= 0 {
		return framing.OutOfTime
	}
	return framing.CauseOf(err)
}

// recordFailure records an attempt without a whole answer for the ejection and the choice of
// workers, the metrics and the log.
func (r *request) recordFailure(a *attempt, err error) {
	r.lastError = err
	a.record.Cause = r.causeOf(err)
	r.gateway.metrics.countUnfinished(a.worker.ID, a.record.Cause)
	r.gateway.dispatcher.recordNoAnswer(a.worker, membership.Failed, time.Since(a.started))
	r.recordBreak(a, err)
}
