package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// leavingRetryAfter lets the caller of a refused request go to another entry at once.
const leavingRetryAfter = 10 * time.Millisecond

// leaving is the state of a graceful stop.
type leaving struct {
	// endsAt is when the requests that still run are answered; zero before a stop.
	endsAt time.Time
	// ended states that they have been answered.
	ended bool
}

// refuseWhileLeaving returns the refusal of a request that comes so late in a graceful stop that its answer
// could not say whether it ran, or nil. Requests that may be repeated are taken until the running ones are
// answered, because callers may have no other entry yet.
func (c *Core) refuseWhileLeaving(now time.Time, r *request) *errkind.Error {
	switch {
	case c.leaving.endsAt.IsZero():
		return nil
	case now.Before(c.leaving.endsAt) && (c.mayRepeat(r) || !r.deadline.After(c.leaving.endsAt)):
		return nil
	}
	return errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(leavingRetryAfter)
}

// mayRepeat reports whether a request may run more than once.
func (c *Core) mayRepeat(r *request) bool {
	if r.Kind != api.RunKindService {
		return true
	}
	operation, ok := c.snapshot.Operation(r.Service, r.Operation)
	return !ok || operation.Idempotent
}

// answerWhenLeaving answers the requests that still run near the end of a graceful stop: their callers would
// be cut off without learning whether the request ran.
func (c *Core) answerWhenLeaving(now time.Time) {
	if c.leaving.endsAt.IsZero() || c.leaving.ended || now.Before(c.leaving.endsAt) {
		return
	}
	c.leaving.ended = true
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		switch {
		case r.answered:
		case r.deferredAnswer != nil:
			c.sendDeferredAnswer(now, id)
		case r.retryMachine == nil: // its claim is not decided
			c.fail(now, r, errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(leavingRetryAfter))
		default:
			c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.Leaving{}))
		}
	}
}
