package retry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	defaultMaxAttempts = 3
	// firstBackoff is the delay before a retry that follows a refusal for load;
	// it doubles with each further attempt.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// defaultRetryAfter is the advice when a refusal carried none.
	defaultRetryAfter = time.Second
)

// Request is the state machine of one request.
type Request struct {
	params   Params
	attempts []attempt
	servers  []string
	// current is the attempt whose parts are delivered; 0 before the first part.
	current   int
	delivered int
	refusedIn time.Duration
	started   bool
	over      bool
}

type attempt struct {
	// last is the sequence number of the last delivered part.
	last  int
	ended bool
	// state is not_run until the attempt was sent.
	state    api.RunState
	canceled bool
}

// New returns the request; Start gives its first decisions.
func New(_ time.Time, p Params) *Request {
	if p.MaxAttempts <= 0 {
		p.MaxAttempts = defaultMaxAttempts
	}
	return &Request{params: p}
}

// Start returns the first attempt and the hedge timer.
func (r *Request) Start(now time.Time) []Decision {
	if r.started {
		return nil
	}
	r.started = true
	if r.expired(now) {
		return r.fail(errkind.DeadlineExceeded, 0)
	}
	out := r.start(0, 0, false)
	if r.params.Idempotent && r.params.Hedge > 0 {
		out = append(out, SetHedgeTimer{After: r.params.Hedge})
	}
	return out
}

// Over reports whether the request has succeeded or failed.
func (r *Request) Over() bool { return r.over }

// Delivered returns the number of tokens passed on and not discarded.
func (r *Request) Delivered() int { return r.delivered }

// Attempts returns the number of attempts asked for.
func (r *Request) Attempts() int { return len(r.attempts) }

// Handle returns the decisions that follow an event. After Succeed or Fail it
// returns DropPart for late parts and nothing else.
func (r *Request) Handle(now time.Time, event Event) []Decision {
	switch e := event.(type) {
	case AttemptStarted:
		r.attemptStarted(e)
	case PartReceived:
		return r.part(now, e)
	case AttemptEnded:
		return r.ended(now, e)
	case HedgeTimer:
		return r.hedge(now)
	case DeadlineTimer:
		if !r.over {
			return r.fail(errkind.DeadlineExceeded, 0)
		}
	case CallerGone:
		if !r.over {
			r.over = true
			return r.cancelOthers(0)
		}
	}
	return nil
}

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
	if a.state == api.RunStateNotRun {
		a.state = api.RunStateUnknown
	}
	if e.Server == "" {
		return
	}
	for _, s := range r.servers {
		if s == e.Server {
			return
		}
	}
	r.servers = append(r.servers, e.Server)
}

// part delivers the next part of the current attempt. The first attempt that
// delivers a part becomes the current one and the others are cancelled.
func (r *Request) part(now time.Time, e PartReceived) []Decision {
	drop := []Decision{DropPart{e.Attempt, e.Sequence}}
	a := r.attempt(e.Attempt)
	if a == nil || a.ended {
		return drop
	}
	// Any part, even a repeated one, shows that the attempt ran.
	a.state = api.RunStateRan
	if r.over || a.canceled || e.Sequence <= a.last || e.Tokens < 0 {
		return drop
	}
	if r.current != 0 && r.current != e.Attempt {
		return drop
	}
	if e.Sequence != a.last+1 {
		a.canceled = true
		drop = append(drop, CancelAttempt{e.Attempt})
		return append(drop, r.lost(now, e.Attempt, AttemptEnded{Kind: errkind.Truncated, CanResume: r.params.CanResume})...)
	}
	var out []Decision
	if r.current == 0 {
		r.current = e.Attempt
		out = r.cancelOthers(e.Attempt)
	}
	a.last = e.Sequence
	r.delivered += e.Tokens
	return append(out, Deliver{e.Attempt, e.Sequence})
}

func (r *Request) ended(now time.Time, e AttemptEnded) []Decision {
	a := r.attempt(e.Attempt)
	if a == nil || a.ended {
		return nil
	}
	a.ended = true
	a.state = provenState(a, e)
	if r.over || a.canceled {
		return nil
	}
	if e.Kind == "" && e.LastSequence != a.last {
		e.Kind, a.state = errkind.Truncated, api.RunStateRan
	}
	if e.Kind == "" {
		r.over = true
		return append(r.cancelOthers(e.Attempt), Succeed{e.Attempt})
	}
	return r.lost(now, e.Attempt, e)
}

// provenState returns the run state of an ended attempt. An attempt that
// delivered a part has run, whatever its sidecar states.
func provenState(a *attempt, e AttemptEnded) api.RunState {
	switch {
	case e.Kind == "" || a.last > 0 || a.state == api.RunStateRan:
		return api.RunStateRan
	case e.ConnectionRefusedBeforeSend:
		return api.RunStateNotRun
	case e.RunState == api.RunStateNotRun || e.RunState == api.RunStateRan:
		return e.RunState
	default:
		return api.RunStateUnknown
	}
}

// lost decides what follows an attempt without a complete response.
func (r *Request) lost(now time.Time, number int, e AttemptEnded) []Decision {
	a := r.attempt(number)
	a.ended = true
	if r.current == number {
		r.current = 0
	}
	if e.RetryAfter > 0 {
		r.refusedIn = e.RetryAfter
	}
	if r.running() > 0 {
		return nil
	}
	if !r.mayRetry(now, a, e) {
		return r.fail(r.failKind(e), r.retryAfter(e.Kind))
	}
	return r.again(number, e)
}

// mayRetry applies the rules: proof of not_run, or an idempotent request; a
// delivered stream only where it can resume; attempts, time and budget left.
func (r *Request) mayRetry(now time.Time, a *attempt, e AttemptEnded) bool {
	switch {
	case !retryable(e):
		return false
	case a.state != api.RunStateNotRun && !r.params.Idempotent:
		return false
	case r.params.Streamed && r.delivered > 0 && !e.CanResume && a.state != api.RunStateNotRun:
		return false
	case len(r.attempts) >= r.params.MaxAttempts:
		return false
	case r.expired(now.Add(r.backoff(e))):
		return false
	}
	// A refused connection loads no server, so its retry is not an amplification.
	if e.ConnectionRefusedBeforeSend && a.state == api.RunStateNotRun {
		return true
	}
	return r.params.Budget == nil || r.params.Budget.Spend(now)
}

// retryable reports whether another server may answer what this one did not.
func retryable(e AttemptEnded) bool {
	switch e.Kind {
	case errkind.RateLimited, errkind.NoCandidate, errkind.DeadlineExceeded,
		errkind.DuplicateInProgress, errkind.StoreUnavailable:
		return false
	}
	return errkind.Lookup(e.Kind).Retry || e.ConnectionRefusedBeforeSend
}

// again starts the next attempt: at the offset where the stream can resume, and
// otherwise from the beginning.
func (r *Request) again(number int, e AttemptEnded) []Decision {
	var out []Decision
	a := r.attempt(number)
	// Parts held before an attempt that did not run came from one that could be
	// resumed.
	resume := e.CanResume || a.state == api.RunStateNotRun
	if r.delivered > 0 && !resume {
		r.delivered = 0
		out = append(out, Discard{})
	}
	return append(out, r.start(r.backoff(e), r.delivered, false)...)
}

func (r *Request) backoff(e AttemptEnded) time.Duration {
	if e.Kind != errkind.Overloaded && e.Kind != errkind.DeadlineHopeless {
		return 0
	}
	return min(firstBackoff<<min(len(r.attempts)-1, 8), maxBackoff)
}

func (r *Request) start(after time.Duration, offset int, hedge bool) []Decision {
	r.attempts = append(r.attempts, attempt{state: api.RunStateNotRun})
	return []Decision{StartAttempt{
		Attempt:        len(r.attempts),
		After:          after,
		ExcludeServers: append([]string(nil), r.servers...),
		Offset:         offset,
		PinVersion:     len(r.attempts) > 1,
		Hedge:          hedge,
	}}
}

// hedge starts a second attempt while the only one has delivered nothing.
func (r *Request) hedge(now time.Time) []Decision {
	if r.over || !r.params.Idempotent || r.running() != 1 || r.current != 0 || r.delivered > 0 {
		return nil
	}
	if len(r.attempts) >= r.params.MaxAttempts || r.expired(now) {
		return nil
	}
	if r.params.Budget != nil && !r.params.Budget.Spend(now) {
		return nil
	}
	return r.start(0, 0, true)
}

func (r *Request) running() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].ended && !r.attempts[i].canceled {
			n++
		}
	}
	return n
}

func (r *Request) cancelOthers(keep int) []Decision {
	var out []Decision
	for i := range r.attempts {
		a := &r.attempts[i]
		if i+1 == keep || a.ended || a.canceled {
			continue
		}
		a.canceled = true
		out = append(out, CancelAttempt{i + 1})
	}
	return out
}

func (r *Request) expired(at time.Time) bool {
	return !r.params.Deadline.IsZero() && !at.Before(r.params.Deadline)
}

func (r *Request) fail(kind errkind.Kind, retryAfter time.Duration) []Decision {
	r.over = true
	out := r.cancelOthers(0)
	state := r.runState()
	if state != api.RunStateNotRun && !r.params.Idempotent {
		retryAfter = 0 // a repeat might run the request twice
	}
	return append(out, Fail{Kind: kind, RunState: state, RetryAfter: retryAfter})
}

// runState joins the states of all attempts.
func (r *Request) runState() api.RunState {
	state := api.RunStateNotRun
	for i := range r.attempts {
		switch r.attempts[i].state {
		case api.RunStateRan:
			return api.RunStateRan
		case api.RunStateUnknown:
			state = api.RunStateUnknown
		}
	}
	return state
}

// failKind reports a stream that broke after the caller saw a part as truncated.
func (r *Request) failKind(e AttemptEnded) errkind.Kind {
	if r.params.Streamed && r.delivered > 0 {
		return errkind.Truncated
	}
	return e.Kind
}

func (r *Request) retryAfter(kind errkind.Kind) time.Duration {
	if !errkind.Lookup(kind).Retry {
		return 0
	}
	if r.refusedIn > 0 {
		return r.refusedIn
	}
	return defaultRetryAfter
}
