package forward

import "time"

// Outcome is the result of one attempt to send a request to a worker, before any part of
// the worker's answer is forwarded to the caller.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that the worker sent an answer to forward.
	Answered Outcome = iota
	// NotSent means that the request never reached the worker.
	NotSent
	// NotRun means that the worker stated that it did not run the request.
	NotRun
	// WrongWorker means that another worker answered at the address of the chosen one.
	WrongWorker
	// WorkerFailed means that the worker ran the request and failed.
	WorkerFailed
	// Broken means that the connection ended or the answer could not be parsed. The request
	// may have run.
	Broken
	// Superseded means that the answer was discarded and a larger model is asked instead.
	Superseded
	// Overtaken means that another worker answered the request while this one was silent.
	Overtaken
)

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "not sent", "not run", "wrong worker", "failed", "broken", "dropped", "overtaken"}[o]
}

// RetryCause is why a request is sent to a worker once more.
type RetryCause string

// The causes of a retry that are no outcome of an attempt; the others have the name of the outcome.
const (
	// RetryOverdue means that the header of an answer was overdue.
	RetryOverdue RetryCause = "overdue"
	// RetryEscalation means that a larger model is asked.
	RetryEscalation RetryCause = "escalation"
	// RetrySmallest means that the smallest model is asked again in place of a larger one.
	RetrySmallest RetryCause = "smallest model"
)

// RetryCause returns the cause of the retry that follows the outcome.
func (o Outcome) RetryCause() RetryCause { return RetryCause(o.String()) }

// RetryState is the state of a request after an attempt, from which ShouldRetry decides whether
// it is sent to another worker.
type RetryState struct {
	Outcome Outcome
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Runs is the number of workers that ran the request, or may have run it.
	Runs int
	// MaxAttempts is the upper bound of Runs.
	MaxAttempts int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// TakeBudget takes one retry from the shared retry budget and reports whether one was
	// left. It is called only when every other condition permits a retry.
	TakeBudget func() bool
}

// minRetryTime is the shortest remaining time that justifies the load of another attempt: a
// plain call takes 15 to 60 ms, the first event of a stream 60 ms or more.
const minRetryTime = 50 * time.Millisecond

// maxUnsentAttempts bounds the attempts that never reach a worker. Each may take up to the
// connect timeout.
const maxUnsentAttempts = 4

// ShouldRetry reports whether the request is sent to another worker, and otherwise why not;
// unsent is the number of attempts so far that never reached one.
func (r RetryState) ShouldRetry(unsent int) (ok bool, reason string) {
	if r.Remaining < minRetryTime {
		return false, "no time is left"
	}
	switch r.Outcome {
	case NotSent:
		if unsent >= maxUnsentAttempts {
			return false, "too many workers could not be reached"
		}
		return true, ""
	case NotRun, WrongWorker:
		// The request did not run: it uses the retry budget, but no attempt of MaxAttempts.
	case WorkerFailed, Broken:
		if !r.Idempotent {
			return false, "request may run only once"
		}
		if r.Runs >= r.MaxAttempts {
			return false, "route allows no further run"
		}
	default:
		return false, "response was delivered"
	}
	if !r.TakeBudget() {
		return false, "retry budget is empty"
	}
	return true, ""
}

// NextModel returns the index of the model to ask after the one at index stage: always the
// last and largest model. The argument confidence is that of the answer of stage, 0 to 100, or
// negative if it states none. NextModel returns stage and false when that answer is delivered:
// its confidence reaches the threshold or is not stated, or no larger model is left.
func NextModel(models []string, stage, confidence, threshold int) (int, bool) {
	last := len(models) - 1
	if stage >= last || confidence < 0 || confidence >= threshold {
		return stage, false
	}
	return last, true
}
