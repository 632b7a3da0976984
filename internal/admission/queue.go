// Package admission decides at the arrival of a request whether it is sent to a worker, waits or is
// refused, when the workers of its service have less room than the callers ask for. The package is pure:
// time, random numbers and events are arguments, and it uses no goroutine, lock, socket, clock or logger.
package admission

import (
	"math"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// Request is a request that asks for a worker.
type Request struct {
	Customer string
	// Kind names the requests that have the target and the time limit in common: the route.
	Kind string
	// Priority is 0 for the most urgent requests, 9 for the least urgent ones. KindPriority orders the
	// requests of one Priority: that of the kind, where Priority is that of the customer.
	Priority, KindPriority int
	// Work is the expected work until the answer begins, in requests.
	Work float64
	// Arrived is when this gateway got the request.
	Arrived time.Time
	// Target is the time within which the answer should begin, and TimeLimit that after which the caller
	// does not wait any more, both from Arrived. A Target of 0 means the whole TimeLimit.
	Target, TimeLimit time.Duration
	// IsRepeat is set for a request that has run or may have. It yields to first answers.
	IsRepeat bool
}

// Room is what is known of the workers of a service at a moment.
type Room struct {
	At time.Time
	// Wait is the time after which a request without work would begin at the best worker, and PerRequest
	// the time that one request of work takes there.
	Wait, PerRequest time.Duration
	// Workers is the number of workers that may get requests, and Share this gateway's share of them.
	Workers int
	Share   float64
	// OthersAt is when the loads of the other gateways were learned.
	OthersAt time.Time
}

// rate is a decayed mean of work a second.
type rate struct {
	value float64
	at    time.Time
}

// rateTime is the time over which a rate is averaged: long enough for some answers at each gateway, and
// shorter than the targets of the callers that wait longest.
const rateTime = time.Second

func (r *rate) rate(now time.Time) float64 {
	if age := now.Sub(r.at); age > 0 {
		r.value *= math.Exp(-float64(age) / float64(rateTime))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now time.Time, work float64) { r.value = r.rate(now) + work/rateTime.Seconds() }

// Action is what happens to a request.
type Action int

// The actions.
const (
	// Run sends the request to a worker now.
	Run Action = iota
	// Wait keeps the request in the queue.
	Wait
	// Refuse answers the request as one that has not run.
	Refuse
)

// String returns the name of an action for logs and metrics.
func (a Action) String() string { return [...]string{"run", "wait", "refuse"}[a] }

// Reason states why a request is refused.
type Reason string

// The reasons.
const (
	// AtArrival: the request was not expected to begin in time.
	AtArrival Reason = "arrival"
	// AfterWait: less room came than was expected.
	AfterWait Reason = "wait"
	// QueueFull: the customer has the most waiting requests for its share.
	QueueFull Reason = "full"
)

// Decision is what was decided for a request and from what.
type Decision struct {
	// ID identifies the request in the queue.
	ID     string
	Action Action
	// Reason states why the request is refused.
	Reason Reason
	// Err is the refusal to return, with the time after which there should be room.
	Err *errkind.Error
	// Class is the class of the request in the queue, limits.MaxClass for the most urgent ones.
	Class int
	// Late is set if the answer is expected after the target: the request gets only room that no other
	// one asks for.
	Late bool
	// RoomWait, RoomAge and Queued are the inputs: the wait at the workers, the age of their loads and the number of waiting requests.
	RoomWait, RoomAge time.Duration
	Queued            int
	// Waited is how long the request was in the queue.
	Waited time.Duration
}

const (
	// workScale converts work in requests to the units of limits.FairQueue, which are at least 1.
	workScale = 1000
	// leadPerClass is how far, in seconds of its usual use, a customer may be ahead of the others with
	// requests of a higher class. It is far more than customers differ in an overload of some seconds:
	// a lead of a few seconds inverted the order of the kinds.
	leadPerClass = 60
	// credit is how much of its usual use a customer that used less is served ahead of the others. It
	// covers clumps of some requests.
	credit = 1
	// maxWaiting bounds the waiting requests of a service. Each holds a connection and its body.
	maxWaiting = 256
	// expectedQuantile is the part of the predicted waits that must not be too low. A request that is as
	// likely as not to be in time keeps its place.
	expectedQuantile = 0.5
	// lateClass is the class of requests whose target passes while they wait.
	lateClass = 0
	// minStartTime is the time that is left for a worker to answer at the deadline.
	minStartTime = 20 * time.Millisecond
	// lateWaitShare is the part of its remaining time that a late request waits at most, so that a
	// refused caller has time to return.
	lateWaitShare = 0.5
)

// Queue holds the requests for one service that wait for room. This gateway fills its share of the room
// and orders what waits by priority, and within it by the shares of the customers. It answers loads above
// what the workers serve within the targets; below, each request runs at once.
type Queue struct {
	fair   *limits.FairQueue
	shares shares
	kinds  kinds
	room   Room
	// waiting holds the requests in the queue, and running the work of those at a worker, by ID.
	waiting map[string]*waitingRequest
	running map[string]float64
	// outstanding is the sum of running, startedSince the work started since room was known, and sinceOthers
	// the change of outstanding since the loads of the other gateways were learned.
	outstanding, startedSince, sinceOthers float64
	// startedAt is when the last request was sent.
	startedAt time.Time
	// begun is the rate of the work whose answers began.
	begun  rate
	lastID uint64
	// refused holds the requests that were refused after they had waited.
	refused []Refused
	draw    func() float64
}

type waitingRequest struct {
	Request
	// since is when the caller first asked, and queuedAt when this request came into the queue.
	since, queuedAt time.Time
	late            bool
}

// NewQueue returns an empty queue. draw returns random numbers in [0, 1).
func NewQueue(draw func() float64) *Queue {
	return &Queue{
		fair:   limits.NewFairQueue(limits.FairQueueOptions{Bound: maxWaiting, Strict: true, Lead: leadPerClass, Credit: credit, Quantile: expectedQuantile}),
		shares: newShares(), kinds: newKinds(), waiting: map[string]*waitingRequest{}, running: map[string]float64{}, draw: draw,
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// SetRoom records what is known of the workers now.
func (q *Queue) SetRoom(r Room) {
	if !r.OthersAt.Equal(q.room.OthersAt) {
		q.sinceOthers = 0
	}
	q.room, q.startedSince = r, 0
}

// RoomAt returns when the room was recorded.
func (q *Queue) RoomAt() time.Time { return q.room.At }

// Arrive decides about a request. A decision to wait is followed by one from Next or Leave, by its ID.
// Arrive and Next may also refuse requests that wait; see TakeRefused.
func (q *Queue) Arrive(now time.Time, r Request) Decision {
	since := q.kinds.observe(now, &r)
	q.shares.add(now, r.Customer, r.Work)
	q.lastID++
	id := strconv.FormatUint(q.lastID, 36)
	w := &waitingRequest{Request: r, since: since, queuedAt: now}
	d := q.decision(now, id)
	d.Class = q.kinds.class(&r)
	if err := q.push(now, id, w); err != nil {
		d.Action, d.Err, d.Late, d.Reason = Refuse, err, w.late, AtArrival
		return d
	}
	d.Action, d.Late = Wait, w.late
	if next, ok := q.fair.Next(); ok && next.ID == id && q.hasRoom(now, next) {
		d.Action = Run
		q.pop(now)
	}
	return d
}

func (q *Queue) decision(now time.Time, id string) Decision {
	return Decision{ID: id, RoomWait: q.roomWait(now), RoomAge: now.Sub(q.room.At), Queued: len(q.waiting)}
}

// push adds a request to the queue, or to its late class if it is not expected to begin within its
// target. It returns the refusal if it is not expected to begin before its deadline either.
func (q *Queue) push(now time.Time, id string, w *waitingRequest) *errkind.Error {
	begin := q.beginTime(now, w.Work)
	item := limits.Item{
		ID: id, Customer: w.Customer, Weight: q.shares.weight(w.Customer), Cost: w.Work * workScale, Since: w.since,
		Class: q.kinds.class(&w.Request), Expected: begin, Deadline: w.since.Add(w.Target),
	}
	err := q.fair.Push(now, item)
	if err != nil && err.Kind == errkind.DeadlineHopeless {
		w.late = true
		remaining := w.Arrived.Add(w.TimeLimit).Sub(now)
		item.Class, item.Expected = lateClass, 0
		item.Deadline = now.Add(min(time.Duration(lateWaitShare*float64(remaining)), remaining-begin-minStartTime))
		if !item.Deadline.After(now) {
			return q.refusal(now, w)
		}
		err = q.fair.Push(now, item)
	}
	if err != nil {
		return q.refusal(now, w)
	}
	q.waiting[id] = w
	return nil
}

// beginTime returns the time until an answer begins once the request is sent.
func (q *Queue) beginTime(now time.Time, work float64) time.Duration {
	return q.roomWait(now) + time.Duration(work*float64(q.room.PerRequest))
}

// roomWait returns the time after which a request without work would begin: by the loads of the workers, with
// what was started since they were known, or by how fast the work of this gateway begins, whichever is less.
// The other gateways see the same loads, and are taken to have sent as much as this one by its share.
// Loads are known late and in part; a gateway with few requests knows little of how fast they begin.
func (q *Queue) roomWait(now time.Time) time.Duration {
	wait := q.room.Wait
	if unseen := q.startedSince + max(q.sinceOthers-minSeen, 0)*(1/q.share()-1); unseen > 0 && q.room.Workers > 0 {
		wait += time.Duration(unseen / float64(q.room.Workers) * float64(q.room.PerRequest))
	}
	if begun := q.begun.rate(now); begun >= minRate {
		wait = min(wait, time.Duration(q.outstanding/begun*float64(time.Second)))
	}
	return wait
}

const (
	// minRate is the least rate of begun work, in requests a second, that says how fast work begins.
	minRate = 3
	// minSeen is the work, in requests, from which what this gateway sent says something of the others.
	minSeen = 3
	// probeInterval is the time after which a gateway with nothing at the workers sends a request even if it
	// knows of no room. Otherwise it would not learn that there is room again.
	probeInterval = 500 * time.Millisecond
)

// minShare bounds what is made of a share that is not known.
const minShare = 0.001

func (q *Queue) share() float64 { return min(max(q.room.Share, minShare), 1) }

// hasRoom reports whether a request may be sent now: the workers begin with it soon enough. Each gateway goes on
// to send what the workers begin in that time, also while it does not know the loads that others cause.
func (q *Queue) hasRoom(now time.Time, item limits.Item) bool {
	return q.roomWait(now) <= q.kinds.usefulWait(item.Class) || len(q.running) == 0 && now.Sub(q.startedAt) >= probeInterval
}

// HasSpareRoom reports whether a request that has an answer already may take more room: no first answer waits, or
// the workers that it needs begin with it in the time that requests of its class can use.
func (q *Queue) HasSpareRoom(class int, wait time.Duration) bool {
	return len(q.waiting) == 0 || wait <= q.kinds.usefulWait(class)
}

// Next returns the next waiting request that runs now, or false if there is no room or none waits.
func (q *Queue) Next(now time.Time) (Decision, bool) {
	next, ok := q.fair.Next()
	if !ok || !q.hasRoom(now, next) {
		return Decision{}, false
	}
	return q.pop(now)
}

func (q *Queue) pop(now time.Time) (Decision, bool) {
	item, dropped, ok := q.fair.Pop(now)
	q.handleDropped(now, dropped)
	if !ok {
		return Decision{}, false
	}
	w := q.waiting[item.ID]
	delete(q.waiting, item.ID)
	q.fair.Started(now, item)
	q.running[item.ID] = w.Work
	q.outstanding += w.Work
	q.startedSince += w.Work
	q.sinceOthers += w.Work
	q.startedAt = now
	d := q.decision(now, item.ID)
	d.Action, d.Waited, d.Late = Run, now.Sub(w.queuedAt), w.late
	return d, true
}

// Drain lets all waiting requests run, for a service whose room is not known any more.
func (q *Queue) Drain(now time.Time) []Decision {
	var out []Decision
	for len(q.waiting) > 0 {
		d, ok := q.pop(now)
		if !ok {
			return out
		}
		out = append(out, d)
	}
	return out
}

// Foresee returns what would be decided about a request that arrived now, and from what. A request that does not
// run at once waits or is refused, which depends on what arrives before there is room: its action is Wait. Foresee
// changes nothing.
func (q *Queue) Foresee(now time.Time, r Request) Decision {
	d := q.decision(now, "")
	d.Class, d.Action = q.kinds.class(&r), Wait
	if len(q.waiting) == 0 && q.hasRoom(now, limits.Item{Class: d.Class}) {
		d.Action = Run
	}
	return d
}
