package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/quarantine"
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

	// parts are the parts of the prompt that the request may have in common with others under which workers end,
	// and whole stands for the request itself.
	parts []uint64
	whole uint64
	// endedWorkers is the number of workers that ended shortly after they had begun to answer the
	// request. The reader of an answer that was set aside counts too.
	endedWorkers atomic.Int32
	// unsettledBreaks is the number of broken attempts of which it is not known yet whether their workers have ended.
	unsettledBreaks atomic.Int32
	// turn is the turn that the request has taken because it is suspected; see turnOf.
	turn *quarantine.Part
	// wasOnTrial is set once the request has taken a turn. The reader of a held answer reads it too.
	wasOnTrial atomic.Bool
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
	r.parts, r.whole = r.promptParts(), r.inbound.fingerprint(r.customer.Name)
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
		r.awaitSettledBreaks(ctx)
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
