package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
)

// outcomeCallerLeft is the outcome of a request whose caller closed its connection. Nobody
// receives its error.
const outcomeCallerLeft = "caller left"

// outcomeOfRefusal returns the outcome of a request that is not sent: it failed if it may have run.
func outcomeOfRefusal(refusal *errkind.Error) string {
	if refusal.Kind == errkind.UpstreamFailed {
		return "failed"
	}
	return "refused"
}

// contextError returns why the request must end, because its time is over, the process leaves or the
// caller disconnected, and the outcome; or nil.
func (r *request) contextError(ctx context.Context) (*errkind.Error, string) {
	err := ctx.Err()
	switch {
	case err == nil:
		return nil, ""
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "no response within the time limit of the request"), "given up"
	case isLeaving(ctx):
		refusal := r.leavingError()
		return refusal, outcomeOfRefusal(refusal)
	}
	return errkind.New(errkind.DeadlineExceeded, "caller closed its connection"), outcomeCallerLeft
}

// mustAbort reports whether the caller's connection must be closed without a further answer: it has a part of
// one, or the caller has left.
func (r *request) mustAbort(ctx context.Context, refusal *errkind.Error, outcome string) bool {
	return r.aborted || refusal != nil && (r.headerSent || outcome == outcomeCallerLeft || ctx.Err() != nil)
}

// finalError returns the error for the caller after the last attempt.
func (r *request) finalError(o forward.Outcome) *errkind.Error {
	if !r.mayHaveRun {
		wait, ok := r.nextTurn()
		if !ok {
			wait = defaultRetryAfter
		}
		return errkind.New(errkind.Overloaded, "no worker accepted the request").WithRetryAfter(wait)
	}
	if o == forward.Broken && r.remaining() <= 0 {
		return errkind.New(errkind.DeadlineExceeded, "no response within the time limit of the request")
	}
	return errkind.New(errkind.UpstreamFailed, "worker broke off its answer")
}

// defaultRetryAfter is the advised pause after an error: a few times as long as the queue of a
// full worker takes to advance.
const defaultRetryAfter = 300 * time.Millisecond
