package overload

import (
	"container/list"
	"time"
)

// Phase is what an instance waits for on a connection of a caller.
type Phase int

// The phases, in the order in which connections are given up.
const (
	// Refused is the wait for a refused caller to read its refusal and to close.
	Refused Phase = iota
	// FirstHead is the wait for the end of the first head.
	FirstHead
	// LaterHead is the wait for the rest of a later head.
	LaterHead
	// Body is the wait for the rest of a body. The request has not been sent to a worker.
	Body
	phaseCount
)

// String returns the name of a phase for logs and metrics.
func (p Phase) String() string {
	return [...]string{"refused", "first_head", "later_head", "body"}[p]
}

const (
	// minHeadWait is the least wait for a head after which a connection is given up. Callers send the head with the
	// connection, some milliseconds away.
	minHeadWait = 100 * time.Millisecond
	// minBodyWait is the least wait for a body after which its connection is given up, and minBodyRate the bytes per
	// second that keep it. It is a hundredth of the narrowest link.
	minBodyWait = time.Second
	minBodyRate = 12_500
	// maxCandidates bounds the connections of a phase that are looked at for one decision.
	maxCandidates = 32
)

// Waiting holds the connections on which an instance waits for the caller, and decides which one to give up for a new
// connection where there is room for no more: the one that has kept the instance waiting for longest. A caller that
// opens connections and brings nothing would otherwise keep all others out. A connection whose request is in progress
// is not among them.
type Waiting[C any] struct{ phases [phaseCount]list.List }

// Waiter is a connection on which an instance waits.
type Waiter[C any] struct {
	conn     C
	phase    Phase
	since    time.Duration
	received int64
	element  *list.Element
}

// Begin records that an instance waits on a connection from now on. Each waiter needs a call of End.
func (w *Waiting[C]) Begin(now time.Duration, conn C, phase Phase) *Waiter[C] {
	waiter := &Waiter[C]{conn: conn, phase: phase, since: now}
	waiter.element = w.phases[phase].PushBack(waiter)
	return waiter
}

// Receive records n bytes of a body. The wait goes on.
func (w *Waiter[C]) Receive(n int) { w.received += int64(n) }

// End records that the wait is over. A further call does nothing.
func (w *Waiting[C]) End(waiter *Waiter[C]) { w.phases[waiter.phase].Remove(waiter.element) }

// GiveUp returns the connection to close for a new one and its phase. It is false if there is none: each was opened a
// moment ago, has sent bytes that wait to be read, sends its body at a fair rate, or has a request in progress.
func (w *Waiting[C]) GiveUp(now time.Duration, hasArrived func(C) bool) (conn C, phase Phase, ok bool) {
	for phase := range w.phases {
		looked := 0
		for e := w.phases[phase].Front(); e != nil && looked < maxCandidates; e = e.Next() {
			waiter, isWaiter := e.Value.(*Waiter[C])
			if !isWaiter || !waiter.isOverdue(now) {
				break // those behind it have waited for less
			}
			if looked++; waiter.isSlow(now) && !hasArrived(waiter.conn) {
				return waiter.conn, waiter.phase, true
			}
		}
	}
	return conn, 0, false
}

func (w *Waiter[C]) isOverdue(now time.Duration) bool {
	switch w.phase {
	case Refused:
		return true
	case Body:
		return now-w.since >= minBodyWait
	default:
		return now-w.since >= minHeadWait
	}
}

// isSlow reports whether a body arrives below minBodyRate. Any head that is overdue is slow.
func (w *Waiter[C]) isSlow(now time.Duration) bool {
	return w.phase != Body || float64(w.received) < minBodyRate*(now-w.since).Seconds()
}
