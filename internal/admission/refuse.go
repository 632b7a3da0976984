package admission

import (
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// minRetryAfter is the least advised pause of a refused caller: the time in which a worker takes on the
// next of its waiting requests.
const minRetryAfter = 50 * time.Millisecond

// refusal returns the error for a request that is not served. It states when there should be room; the
// time is spread, so that callers that are refused together do not return together.
func (q *Queue) refusal(now time.Time, w *waitingRequest) *errkind.Error {
	wait := q.fair.ExpectedWait(now, limits.Item{Customer: w.Customer, Weight: q.shares.weight(w.Customer), Cost: w.Work * workScale, Class: q.kinds.class(&w.Request)})
	wait = max(wait+q.roomWait(now)-q.kinds.usefulWait(q.kinds.class(&w.Request)), minRetryAfter)
	wait += time.Duration(q.draw() * float64(wait))
	return errkind.New(errkind.Overloaded, "the workers of the service have no room for the request in time").WithRetryAfter(wait)
}

// Refused is a request that waited and is refused.
type Refused struct {
	Decision
	Request Request
}

// Expire gives up the requests that are of no use any more, and returns those that are refused.
func (q *Queue) Expire(now time.Time) { q.handleDropped(now, q.fair.Expire(now)) }

// TakeRefused returns the requests that were refused since the last call after they had waited.
func (q *Queue) TakeRefused(now time.Time) []Refused {
	q.handleDropped(now, q.fair.TakeDropped())
	out := q.refused
	q.refused = nil
	return out
}

// handleDropped moves requests whose target has passed to the late class, and refuses the others.
func (q *Queue) handleDropped(now time.Time, dropped []limits.Dropped) {
	for _, drop := range dropped {
		w := q.waiting[drop.Item.ID]
		if w == nil {
			continue
		}
		delete(q.waiting, drop.Item.ID)
		var err *errkind.Error
		reason := AfterWait
		if drop.Err.Kind == errkind.DeadlineHopeless && !w.late {
			err = q.push(now, drop.Item.ID, w)
			if err == nil {
				continue
			}
		} else {
			err = q.refusal(now, w)
			if drop.Err.Kind == errkind.Overloaded {
				reason = QueueFull
			}
		}
		d := q.decision(now, drop.Item.ID)
		d.Action, d.Err, d.Late, d.Waited, d.Reason = Refuse, err, w.late, now.Sub(w.queuedAt), reason
		q.refused = append(q.refused, Refused{d, w.Request})
	}
}

// Leave removes a waiting request whose caller has left.
func (q *Queue) Leave(id string) {
	q.fair.Remove(id)
	delete(q.waiting, id)
}

// Begun records that a worker has begun to answer a request, or that the attempt has ended. Its work takes
// no room any more. Further calls for the same ID do nothing.
func (q *Queue) Begun(now time.Time, id string) {
	work, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.outstanding -= work
	q.sinceOthers -= work
	if len(q.running) == 0 {
		q.outstanding = 0 // discards rounding errors
	}
	q.begun.add(now, work)
	q.fair.Finished(now, id, work*workScale)
}
