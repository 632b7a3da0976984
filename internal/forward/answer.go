package forward

import "time"

// Outcome is how one attempt at a worker ended, before anything of it was passed on.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered is an answer to pass on.
	Answered Outcome = iota
	// NotSent is an attempt that never reached the worker.
	NotSent
	// NotRun is a worker's statement that it did not run the request.
	NotRun
	// WrongWorker is the statement of another worker at the address.
	WrongWorker
	// FailedAnswer is a worker's own failure after it ran the request.
	FailedAnswer
	// Broken is a connection that ended, or bytes that are no answer: the request may have run.
	Broken
	// Dropped is an answer that was dropped for that of a larger model.
	Dropped
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not sent", "not run", "wrong worker", "failed", "broken", "dropped"}[o]
}

// Retry describes a request at the end of an attempt.
type Retry struct {
	Outcome Outcome
	// Idempotent requests may run again.
	Idempotent bool
	// Runs is the number of workers that ran the request so far, or may have.
	Runs int
	// MaxAttempts bounds Runs.
	MaxAttempts int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// BudgetLeft reports whether the shared retry budget has a repeat left. It is called only
	// when nothing else speaks against a repeat.
	BudgetLeft func() bool
}

// minRetryTime is the least time for which another attempt is worth its load: a plain
// call takes 15 to 60 ms, a first event 60 ms and more.
const minRetryTime = 50 * time.Millisecond

// maxUnsent bounds the attempts that never reached a worker; each takes up to the
// connect timeout.
const maxUnsent = 4

// Again decides whether a request is sent to another worker.
func (r Retry) Again(unsent int) bool {
	if r.Remaining < minRetryTime {
		return false
	}
	switch r.Outcome {
	case NotSent:
		return unsent < maxUnsent
	case NotRun, WrongWorker:
		// Such an arrival counts against the budget, but not against MaxAttempts.
	case FailedAnswer, Broken:
		if !r.Idempotent || r.Runs >= r.MaxAttempts {
			return false
		}
	default:
		return false
	}
	return r.BudgetLeft()
}

// NextModel decides which model of a cascade answers after one stated its confidence, of
// 100 or negative when it stated none. It returns false when the answer is delivered.
func NextModel(models []string, stage, confidence, asked int) (int, bool) {
	last := len(models) - 1
	if stage >= last || confidence < 0 || confidence >= asked {
		return stage, false
	}
	return last, true
}
