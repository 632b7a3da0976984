package retry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	defaultMaxAttempts = 3
	// initialBackoff is the delay before a retry after a server refused the attempt
	// because of its load. It doubles with each further attempt up to maxBackoff.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// defaultRetryAfter is the advice to the caller when no server gave one.
	defaultRetryAfter = time.Second
)

// Request is the state machine of one request. It is not safe for concurrent use.
type Request struct {
	params      Params
	attempts    []attempt
	usedServers []string
	// deliveringAttempt is the number of the attempt whose parts are delivered; 0
	// before the first part.
	deliveringAttempt int
	deliveredTokens   int
	// advisedRetryAfter is the last advice of a server; 0 means none.
	advisedRetryAfter time.Duration
	started           bool
	finished          bool
}

type attempt struct {
	// lastSequence is the sequence number of the last delivered part; 0 means none.
	lastSequence int
	ended        bool
	// runState is not_run until the attempt is sent.
	runState api.RunState
	canceled bool
}

// New returns a request. Start returns its first decisions.
func New(_ time.Time, p Params) *Request {
	if p.MaxAttempts <= 0 {
		p.MaxAttempts = defaultMaxAttempts
	}
	return &Request{params: p}
}

// Start returns the first attempt and the hedge timer, or Fail when the deadline
// has passed. Further calls return nothing.
func (r *Request) Start(now time.Time) []Decision {
	if r.started {
		return nil
	}
	r.started = true
	if r.deadlineReached(now) {
		return r.fail(errkind.DeadlineExceeded, 0)
	}
	out := r.startAttempt(0, 0, false)
	if r.params.Idempotent && r.params.Hedge > 0 {
		out = append(out, SetHedgeTimer{After: r.params.Hedge})
	}
	return out
}

// Finished reports whether the request has succeeded, failed or lost its caller.
func (r *Request) Finished() bool { return r.finished }

// DeliveredTokens returns the number of tokens that were delivered and not discarded.
func (r *Request) DeliveredTokens() int { return r.deliveredTokens }

// AttemptCount returns the number of attempts that Start and Handle have requested.
func (r *Request) AttemptCount() int { return len(r.attempts) }

// Handle applies an event and returns the resulting decisions. After Succeed or
// Fail it returns only DropPart, for late parts.
func (r *Request) Handle(now time.Time, event Event) []Decision {
	switch e := event.(type) {
	case AttemptStarted:
		r.attemptStarted(e)
	case PartReceived:
		return r.partReceived(now, e)
	case AttemptEnded:
		return r.attemptEnded(now, e)
	case HedgeTimer:
		return r.startHedge(now)
	case DeadlineTimer:
		if !r.finished {
			return r.fail(errkind.DeadlineExceeded, 0)
		}
	case Leaving:
		if !r.finished {
			kind := r.leavingKind()
			return r.fail(kind, r.retryAfter(kind))
		}
	case CallerDisconnected:
		if !r.finished {
			r.finished = true
			return r.cancelAllExcept(0)
		}
	}
	return nil
}

// attempt returns the attempt with a number, or nil when it does not exist.
func (r *Request) attempt(number int) *attempt {
	if number < 1 || number > len(r.attempts) {
		return nil
	}
	return &r.attempts[number-1]
}

func (r *Request) attemptStarted(e AttemptStarted) {
	a := r.attempt(e.Attempt)
	if a == nil || a.ended {
		return
	}
	if a.runState == api.RunStateNotRun {
		a.runState = api.RunStateUnknown
	}
	if e.Server == "" {
		return
	}
	for _, s := range r.usedServers {
		if s == e.Server {
			return
		}
	}
	r.usedServers = append(r.usedServers, e.Server)
}

// partReceived delivers the next part of the delivering attempt. The first attempt
// with a part becomes the delivering one, and the others are canceled.
func (r *Request) partReceived(now time.Time, e PartReceived) []Decision {
	dropped := []Decision{DropPart{e.Attempt, e.Sequence}}
	a := r.attempt(e.Attempt)
	if a == nil || a.ended {
		return dropped
	}
	// Any part, even a repeated one, shows that the attempt ran.
	a.runState = api.RunStateRan
	if r.finished || a.canceled || e.Sequence <= a.lastSequence || e.Tokens < 0 {
		return dropped
	}
	if r.deliveringAttempt != 0 && r.deliveringAttempt != e.Attempt {
		return dropped
	}
	if e.Sequence != a.lastSequence+1 {
		a.canceled = true
		dropped = append(dropped, CancelAttempt{e.Attempt})
		return append(dropped, r.attemptFailed(now, e.Attempt, AttemptEnded{Kind: errkind.Truncated, CanResume: r.params.CanResume})...)
	}
	var out []Decision
	if r.deliveringAttempt == 0 {
		r.deliveringAttempt = e.Attempt
		out = r.cancelAllExcept(e.Attempt)
	}
	a.lastSequence = e.Sequence
	r.deliveredTokens += e.Tokens
	return append(out, Deliver{e.Attempt, e.Sequence})
}

func (r *Request) attemptEnded(now time.Time, e AttemptEnded) []Decision {
	a := r.attempt(e.Attempt)
	if a == nil || a.ended {
		return nil
	}
	a.ended = true
	a.runState = provenState(a, e)
	if r.finished || a.canceled {
		return nil
	}
	if e.Kind == "" && e.LastSequence != a.lastSequence {
		e.Kind, a.runState = errkind.Truncated, api.RunStateRan
	}
	if e.Kind == "" {
		r.finished = true
		return append(r.cancelAllExcept(e.Attempt), Succeed{e.Attempt})
	}
	return r.attemptFailed(now, e.Attempt, e)
}

// provenState returns the run state of an ended attempt. An attempt from which a
// part was received has run, even if its sidecar reports something else.
func provenState(a *attempt, e AttemptEnded) api.RunState {
	switch {
	case e.Kind == "" || a.lastSequence > 0 || a.runState == api.RunStateRan:
		return api.RunStateRan
	case e.ConnectionRefusedBeforeSend:
		return api.RunStateNotRun
	case e.RunState == api.RunStateNotRun || e.RunState == api.RunStateRan:
		return e.RunState
	default:
		return api.RunStateUnknown
	}
}

// attemptFailed decides what follows an attempt without a complete response: nothing
// while another attempt runs, else a retry or the failure of the request.
func (r *Request) attemptFailed(now time.Time, number int, e AttemptEnded) []Decision {
	a := r.attempt(number)
	a.ended = true
	if r.deliveringAttempt == number {
		r.deliveringAttempt = 0
	}
	if e.RetryAfter > 0 {
		r.advisedRetryAfter = e.RetryAfter
	}
	if r.runningAttempts() > 0 {
		return nil
	}
	if !r.mayRetry(now, a, e) {
		return r.fail(r.errorKind(e), r.retryAfter(e.Kind))
	}
	return r.startNextAttempt(number, e)
}

// mayRetry reports whether another attempt is allowed. The request must be
// idempotent or the attempt proven not run. A streamed request with delivered parts
// must be able to resume, unless the attempt is proven not run. Attempts, time and
// budget must be left. mayRetry takes a token from the budget if it needs one.
func (r *Request) mayRetry(now time.Time, a *attempt, e AttemptEnded) bool {
	switch {
	case !retryable(e):
		return false
	case a.runState != api.RunStateNotRun && !r.params.Idempotent:
		return false
	case r.params.Streamed && r.deliveredTokens > 0 && !e.CanResume && a.runState != api.RunStateNotRun:
		return false
	case len(r.attempts) >= r.params.MaxAttempts:
		return false
	case r.deadlineReached(now.Add(r.backoff(e))):
		return false
	}
	// A refused connection puts no load on a server, so its retry does not amplify
	// load and needs no budget.
	if e.ConnectionRefusedBeforeSend && a.runState == api.RunStateNotRun {
		return true
	}
	return r.params.Budget == nil || r.params.Budget.Allow(now)
}

// retryable reports whether an attempt on another server can succeed after this
// error.
func retryable(e AttemptEnded) bool {
	switch e.Kind {
	case errkind.RateLimited, errkind.NoCandidate, errkind.DeadlineExceeded,
		errkind.DuplicateInProgress, errkind.StoreUnavailable:
		return false
	}
	return errkind.Lookup(e.Kind).IsRetryable || e.ConnectionRefusedBeforeSend
}

// startNextAttempt starts an attempt at the offset of the delivered tokens when the
// stream can resume, else from the beginning.
func (r *Request) startNextAttempt(number int, e AttemptEnded) []Decision {
	var out []Decision
	a := r.attempt(number)
	// When the last attempt did not run, the delivered parts come from an earlier
	// attempt that could be resumed.
	resume := e.CanResume || a.runState == api.RunStateNotRun
	if r.deliveredTokens > 0 && !resume {
		r.deliveredTokens = 0
		out = append(out, Discard{})
	}
	return append(out, r.startAttempt(r.backoff(e), r.deliveredTokens, false)...)
}

// backoff returns the delay before the attempt that follows an error.
func (r *Request) backoff(e AttemptEnded) time.Duration {
	if e.Kind != errkind.Overloaded && e.Kind != errkind.DeadlineHopeless {
		return 0
	}
	return min(initialBackoff<<min(len(r.attempts)-1, 8), maxBackoff)
}

// startAttempt adds an attempt that is sent after a delay and resumes at an offset
// in tokens.
func (r *Request) startAttempt(after time.Duration, offset int, hedge bool) []Decision {
	r.attempts = append(r.attempts, attempt{runState: api.RunStateNotRun})
	return []Decision{StartAttempt{
		Attempt:        len(r.attempts),
		After:          after,
		ExcludeServers: append([]string(nil), r.usedServers...),
		Offset:         offset,
		PinVersion:     len(r.attempts) > 1,
		Hedge:          hedge,
	}}
}

// startHedge starts another attempt if exactly one is running and no part was
// delivered.
func (r *Request) startHedge(now time.Time) []Decision {
	if r.finished || !r.params.Idempotent || r.runningAttempts() != 1 || r.deliveringAttempt != 0 || r.deliveredTokens > 0 {
		return nil
	}
	if len(r.attempts) >= r.params.MaxAttempts || r.deadlineReached(now) {
		return nil
	}
	if r.params.Budget != nil && !r.params.Budget.Allow(now) {
		return nil
	}
	return r.startAttempt(0, 0, true)
}

func (r *Request) runningAttempts() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].ended && !r.attempts[i].canceled {
			n++
		}
	}
	return n
}

// cancelAllExcept cancels every running attempt but one; 0 cancels all.
func (r *Request) cancelAllExcept(keptAttempt int) []Decision {
	var out []Decision
	for i := range r.attempts {
		a := &r.attempts[i]
		if i+1 == keptAttempt || a.ended || a.canceled {
			continue
		}
		a.canceled = true
		out = append(out, CancelAttempt{i + 1})
	}
	return out
}

func (r *Request) deadlineReached(at time.Time) bool {
	return !r.params.Deadline.IsZero() && !at.Before(r.params.Deadline)
}

func (r *Request) fail(kind errkind.Kind, retryAfter time.Duration) []Decision {
	r.finished = true
	out := r.cancelAllExcept(0)
	runState := r.combinedRunState()
	if runState != api.RunStateNotRun && !r.params.Idempotent {
		retryAfter = 0 // a repeated request might run twice
	}
	return append(out, Fail{Kind: kind, RunState: runState, RetryAfter: retryAfter})
}

// combinedRunState returns ran if any attempt ran, else unknown if any may have run,
// else not_run.
func (r *Request) combinedRunState() api.RunState {
	runState := api.RunStateNotRun
	for i := range r.attempts {
		switch r.attempts[i].runState {
		case api.RunStateRan:
			return api.RunStateRan
		case api.RunStateUnknown:
			runState = api.RunStateUnknown
		}
	}
	return runState
}

// errorKind returns truncated for a stream of which the caller has received a part,
// else the kind of the last error.
func (r *Request) errorKind(e AttemptEnded) errkind.Kind {
	if r.params.Streamed && r.deliveredTokens > 0 {
		return errkind.Truncated
	}
	return e.Kind
}

// leavingKind returns the kind of the error of a request whose process ends: draining if it has not run.
func (r *Request) leavingKind() errkind.Kind {
	switch {
	case r.params.Streamed && r.deliveredTokens > 0:
		return errkind.Truncated
	case r.combinedRunState() == api.RunStateNotRun:
		return errkind.Draining
	}
	return errkind.UpstreamFailed
}

// retryAfter returns the advice to the caller for a retryable kind of error, else 0.
func (r *Request) retryAfter(kind errkind.Kind) time.Duration {
	if !errkind.Lookup(kind).IsRetryable {
		return 0
	}
	if r.advisedRetryAfter > 0 {
		return r.advisedRetryAfter
	}
	return defaultRetryAfter
}
