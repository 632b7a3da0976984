package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

// outcomeEscalated is the outcome of a response that was set aside for that of a larger model.
const outcomeEscalated = forward.Superseded

// shouldEscalate returns the index of the model to ask next and whether the response is set
// aside for that of this larger model. If so, it has taken a retry.
func (r *request) shouldEscalate(a *attempt) (int, bool) {
	if !r.routerPicksModel || r.headerSent || r.runCount >= r.route.MaxAttempts || r.fallback != nil || r.isSuspected() {
		return r.modelIndex, false
	}
	a.record.Confidence = a.exchange.meta.Confidence
	a.record.MinConfidence = r.gateway.dispatcher.minConfidence(sinceBoot(), r.route.Name, r.route.LatencyTarget-time.Since(r.started))
	next, ok := forward.NextModel(r.route.Models, r.modelIndex, a.record.Confidence, a.record.MinConfidence)
	return next, ok && r.mayEscalate() && r.takeRetry(forward.RetryEscalation)
}

// escalate sets the response of an attempt aside and makes the next attempt ask a larger model.
func (r *request) escalate(a *attempt, next int) {
	now := sinceBoot()
	r.gateway.metrics.escalations.Inc()
	r.modelIndex = next
	r.triedWorkers = nil
	r.fallback = forward.NewFallback(now-time.Since(r.started), now, r.route.LatencyTarget, r.deadline.Sub(r.started))
	r.fallbackAt = r.started.Add(r.fallback.Latest() - (now - time.Since(r.started)))
	held := *a
	r.held = r.holdAnswer(held, time.Now().Add(r.fallback.ReadUntil()-now), func() {
		r.gateway.dispatcher.releaseWorker(held.inFlight)
		r.recordBytes(&held)
	})
	a.isHeld = r.held != nil
}

// heldState returns the state of the answer that was set aside.
func (r *request) heldState() forward.HeldState {
	if r.held == nil {
		return forward.HeldLost
	}
	return r.held.state()
}

// hasAnswerAtHand reports whether the answer that was set aside is kept, or still being read.
func (r *request) hasAnswerAtHand() bool {
	return r.fallback != nil && r.heldState() != forward.HeldLost
}

// maxRuns returns how often the request may run before it ends or falls back. The last run that
// the route allows is kept for the smallest model if its answer was not kept, until the caller has a
// part of another answer.
func (r *request) maxRuns() int {
	if r.fallback != nil && r.modelIndex > 0 && !r.headerSent && r.heldState() == forward.HeldLost {
		return r.route.MaxAttempts - 1
	}
	return r.route.MaxAttempts
}

// mayRunAgain reports whether the request may run once more, regardless of the retry budget.
func (r *request) mayRunAgain() bool {
	return r.route.Idempotent() && r.runCount < r.route.MaxAttempts && r.remaining() > minFailureRetryTime && !r.hasEndedTooMany()
}

// isOverdue reports whether the larger model that is being asked is given up for the answer
// that was set aside, or for a second one of the smallest model.
func (r *request) isOverdue() bool {
	if r.fallback == nil || r.modelIndex == 0 || r.headerSent || time.Now().Before(r.fallbackAt) {
		return false
	}
	// The attempt that is being given up counts as a run.
	mayRun := r.route.Idempotent() && r.runCount+1 < r.route.MaxAttempts && r.gateway.dispatcher.hasRetryBudget(r.service)
	return r.fallback.Decide(sinceBoot(), forward.LargerPending, r.heldState(), mayRun) != forward.KeepWaiting
}

// fallBack is called when the request would end with an error. It delivers the answer that was
// set aside, or makes the next attempt ask the smallest model again. It returns done if the
// caller has an answer, and again if another attempt follows.
func (r *request) fallBack(ctx context.Context) (done, again bool) {
	if r.fallback == nil || r.headerSent || r.keyWithdrawn {
		return false, false
	}
	isOver := isLeaving(ctx) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	if isOver && r.heldState() == forward.HeldComplete {
		r.deliverHeld()
		return true, false
	}
	if ctx.Err() != nil {
		return false, false
	}
	action := r.fallback.Decide(sinceBoot(), forward.LargerFailed, r.heldState(), r.mayRunAgain())
	if action == forward.AwaitHeld {
		r.held.readUntil(r.deadline)
		<-r.held.done
		action = r.fallback.Decide(sinceBoot(), forward.LargerFailed, r.heldState(), r.mayRunAgain())
	}
	switch action {
	case forward.DeliverHeld:
		r.deliverHeld()
		return true, false
	case forward.AskSmallest:
		if !r.takeRetry(forward.RetrySmallest) {
			return false, false
		}
		r.fallback.RecordAskedAgain()
		r.modelIndex, r.triedWorkers = 0, nil
		return false, true
	}
	return false, false
}

// deliverHeld sends the answer that was set aside to the caller.
func (r *request) deliverHeld() {
	held := r.held
	r.sendStreamHeader(held.attempt.exchange.resp)
	r.lastEventID = held.lastID
	r.deliveredHeld = true
	_, err := r.writer.Write(held.events)
	if err == nil {
		err = http.NewResponseController(r.writer).Flush()
	}
	if err != nil {
		r.lastError = errCallerDisconnected
		r.aborted = true
	}
}

// dropHeld discards the answer that was set aside, if there is one.
func (r *request) dropHeld() {
	if r.held != nil {
		r.held.drop(r.gateway)
		r.held = nil
	}
}

// endEscalation counts how an escalation ended and drops the answer that was set aside.
func (r *request) endEscalation(refusal *errkind.Error) {
	r.dropHeld()
	if r.fallback == nil {
		return
	}
	outcome := "answered"
	switch {
	case refusal != nil || r.aborted:
		outcome = "none"
	case r.deliveredHeld:
		outcome = "held"
	case r.modelIndex == 0:
		outcome = "smallest"
	case r.route.LatencyTarget > 0 && r.firstByteLatency > r.route.LatencyTarget:
		outcome = "late"
	}
	r.gateway.metrics.countEscalation(r.route.Name, outcome)
}
