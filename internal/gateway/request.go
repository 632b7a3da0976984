package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/rollout"
)

// request is a caller's request while it is processed. Only one goroutine uses it.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	inbound  inboundRequest
	route    *forward.Route
	service  string
	customer forward.Customer
	apiKey   string
	started  time.Time
	deadline time.Time
	// routerPicksModel reports whether the router chooses the model.
	routerPicksModel bool
	// modelIndex is the index in route.Models of the model to ask.
	modelIndex int

	// triedWorkers are the IDs of the workers to exclude from the next attempt.
	triedWorkers   []string
	sentAttempts   int // attempts that reached a worker
	unsentAttempts int // attempts that reached no worker
	// mayHaveRun reports whether a worker ran the request or may have run it.
	mayHaveRun bool

	// attempts are the attempts so far, for the log.
	attempts []attemptRecord
	// workerFailed reports whether a worker responded with a server error.
	workerFailed bool
	// retry is the retry that was taken for the next attempt, until that is sent.
	retry takenRetry
	// runCount is the number of workers that ran the request or may have.
	runCount int

	// parts is what the request may have in common with others under which workers end.
	parts []uint64
	// endedWorkers is the number of workers that ended shortly after they had begun to answer the
	// request. The reader of an answer that was set aside counts too.
	endedWorkers atomic.Int32
	// turn is the turn that the request has taken because it is suspected; see turnOf.
	turn *quarantine.Part
	// hedge is the attempt at a second worker while the present one is silent, and hedged the attempt of one that has
	// won and is continued next.
	hedge  *hedge
	hedged *attempt
	// departure ends the request if its caller has left.
	departure departure
	// ticket is the room that the present attempt takes.
	ticket admissionTicket
	// urgency is the priority at the engine, from 0 (first) to 9; -1 states none.
	urgency int

	headerSent bool
	// streamHead is the head of the stream that the caller receives, valid if headerSent is set.
	streamHead framing.StreamHead
	// useWholeGracePeriod lets the request run until the connections are closed if the process leaves: it has begun
	// an answer that no other one can replace.
	useWholeGracePeriod func()
	// aborted reports whether the caller's connection must be closed.
	aborted bool
	// lastEventID is the ID of the last event that the caller received; -1 before the first.
	lastEventID      int64
	placement        forward.Placement
	firstByteLatency time.Duration
	lastError        error
	// noRetryReason states why no further attempt followed the last one, for the log.
	noRetryReason string
	// keyWithdrawn reports whether the API key was withdrawn while the request was processed.
	keyWithdrawn bool

	// fallback is set once a larger model was asked, and fallbackAt is its latest moment. held
	// is the answer that was set aside, if it is kept.
	fallback      *forward.Fallback
	fallbackAt    time.Time
	held          *heldAnswer
	deliveredHeld bool
}

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

// remaining returns the time until the deadline of the request.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// serve runs attempts until one succeeds or the request must end. It returns the error to send
// to the caller, if any, and the outcome for the log and the metrics.
func (r *request) serve(ctx context.Context) (*errkind.Error, string) {
	ctx, r.departure = newDeparture(ctx)
	defer r.departure.cancel()
	ctx, release := r.endWhenLeaving(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.gateway.dispatcher.recordFirstAttempt(r.service)
	r.parts = r.partIDs()
	defer r.releaseAlone()
	defer r.returnRetry()
	defer r.dropHedged()
	defer func() { r.endHedge(ctx) }()
	defer func() { r.gateway.admission.begun(r.ticket) }() // does nothing for a ticket that was returned
	for {
		refusal, outcome := r.runAttempts(ctx)
		if refusal != nil {
			done, again := r.fallBack(ctx)
			if again {
				continue
			}
			if done {
				refusal, outcome = nil, r.deliveredOutcome()
			}
		}
		r.endEscalation(refusal)
		return refusal, outcome
	}
}

// deliveredOutcome returns the outcome of a request whose caller has a response or a closed
// connection.
func (r *request) deliveredOutcome() string {
	if r.aborted {
		return "cut"
	}
	return "answered"
}

// runAttempts runs attempts until one succeeds or none may follow. The results are those of
// serve.
func (r *request) runAttempts(ctx context.Context) (*errkind.Error, string) {
	for {
		a, refusal, refusalOutcome := r.nextAttempt(ctx)
		if refusal != nil {
			return refusal, refusalOutcome
		}
		outcome, done := r.runAttempt(ctx, a)
		r.gateway.admission.begun(r.ticket)
		r.recordAttempt(a, outcome.String())
		if done {
			return nil, r.deliveredOutcome()
		}
		if err, outcome := r.contextError(ctx); err != nil {
			return err, outcome
		}
		if outcome == outcomeEscalated || outcome == forward.Overtaken {
			continue
		}
		retry := forward.RetryState{
			Outcome: outcome, Idempotent: r.route.Idempotent(), Runs: r.runCount, MaxAttempts: r.maxRuns(),
			Remaining: r.remaining(), TakeBudget: func() bool { return r.takeRetry(outcome.RetryCause()) },
		}
		if r.isOverdue() {
			return errkind.New(errkind.DeadlineExceeded, "larger model did not begin in time"), "failed"
		}
		if r.endedWorkers.Load() > 0 && (r.hasEndedTooMany() || r.isSuspected()) {
			r.noRetryReason = "workers have ended under the request"
			return r.finalError(outcome), "failed"
		}
		if ok, reason := retry.ShouldRetry(r.unsentAttempts); !ok {
			r.noRetryReason = reason
			return r.finalError(outcome), "failed"
		}
		r.gateway.metrics.retries.Inc()
	}
}

// nextAttempt returns the attempt to run next: that of a hedge that has won, or one at a worker that is chosen
// now. It returns the refusal and its outcome if there is none.
func (r *request) nextAttempt(ctx context.Context) (*attempt, *errkind.Error, string) {
	if a := r.hedged; a != nil {
		r.hedged = nil
		return a, nil, ""
	}
	ticket, refusal := r.admit(ctx)
	if refusal != nil {
		if err, outcome := r.contextError(ctx); err != nil {
			return nil, refusal, outcome
		}
		return nil, refusal, outcomeOfRefusal(refusal)
	}
	r.ticket = ticket
	// A key may be withdrawn and a part condemned while the request waits for room.
	if refusal := r.authorize(); refusal != nil {
		return nil, refusal, "refused"
	}
	if refusal := r.awaitClearance(ctx); refusal != nil {
		return nil, refusal, outcomeOfRefusal(refusal)
	}
	a, refusal := r.pickWorker()
	if refusal != nil {
		return nil, refusal, "refused"
	}
	return &a, nil, ""
}

// authorize checks the API key against the newest configuration. It is called before each
// attempt.
func (r *request) authorize() *errkind.Error {
	snapshot := r.gateway.dispatcher.snapshot.Load()
	if _, refusal := forward.Authorize(r.gateway.dispatcher.confirmedConfig(snapshot), r.route, r.apiKey, sinceBoot(), r.gateway.dispatcher.ageBounds()); refusal != nil {
		_, known := snapshot.config.Customers[r.apiKey]
		r.keyWithdrawn = !known
		if r.mayHaveRun {
			return errkind.New(errkind.UpstreamFailed, "request cannot be retried: "+refusal.Message)
		}
		return withStoreRetryAfter(refusal)
	}
	return nil
}

// pickWorker chooses the worker of the next attempt. It returns upstream_failed or no_candidate
// if none is left.
func (r *request) pickWorker() (attempt, *errkind.Error) {
	model := r.routedModel()
	p, inFlight, ok := r.gateway.dispatcher.pickWorker(sinceBoot(), r.workerQuery(), r.inbound.meta.Session, r.inbound.meta.RequestID, r.workerFailed)
	if !ok {
		if r.mayHaveRun {
			return attempt{}, errkind.New(errkind.UpstreamFailed, "no other worker of the service is left")
		}
		if wait, ok := r.nextTurn(); ok {
			return attempt{}, errkind.New(errkind.Overloaded, "all workers of the service asked for fewer requests").WithRetryAfter(wait)
		}
		if r.gateway.dispatcher.allEvacuated(r.service) {
			return attempt{}, errkind.New(errkind.NoCandidate, "all workers of the service are in evacuated failure domains").WithRetryAfter(defaultRetryAfter)
		}
		return attempt{}, errkind.New(errkind.NoCandidate, "no usable worker of the service is known").WithRetryAfter(defaultRetryAfter)
	}
	r.placement = p
	return attempt{
		worker: p.Worker, leftFor: p.LeftFor, inFlight: inFlight, started: time.Now(), startedSinceBoot: sinceBoot(), model: model,
		record: attemptRecord{Load: p.Load, LeftFor: string(p.LeftFor), LoadAgeMs: p.LoadAge.Milliseconds(), UncachedTokens: max(r.inbound.meta.PromptTokens-p.CachedTokens, 0), StartMs: time.Since(r.started).Milliseconds(), HeaderMs: -1},
	}, nil
}

// workerQuery returns the query for the worker of the next attempt.
func (r *request) workerQuery() forward.WorkerQuery {
	return forward.WorkerQuery{
		Service: r.service, Exclude: r.triedWorkers, Model: r.routedModel(), Heavy: r.modelIndex > 0, Prompt: r.inbound.meta.Prompt,
		Route: r.route.Name, Priority: forward.Priority(r.route, r.customer), TargetLeft: max(r.route.LatencyTarget-time.Since(r.started), 0), Bytes: len(r.inbound.body),
	}
}

// routedModel returns the model that the router chooses, or "" to keep the caller's.
func (r *request) routedModel() string {
	if !r.routerPicksModel || len(r.route.Models) == 0 {
		return ""
	}
	return r.route.Models[r.modelIndex]
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
