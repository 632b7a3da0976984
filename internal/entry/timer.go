package entry

import (
	"container/heap"
	"time"
)

// timerKind selects the action of a timer.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerHedge
	timerAttempt
	timerLateResult
	timerUsageReplica
)

// timer is a timer of a request that is due at fireAt. stage is set for hedges and
// delayed attempts, attempt for delayed attempts only.
type timer struct {
	fireAt  time.Time
	kind    timerKind
	request string
	stage   int
	attempt int
}

// timerHeap orders timers by due time. Timers are not canceled: when one fires
// whose request or stage is over, it is ignored.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].fireAt.Before(h[j].fireAt) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h timerHeap) earliest() (time.Time, bool) {
	if len(h) == 0 {
		return time.Time{}, false
	}
	return h[0].fireAt, true
}

func (c *Core) setTimer(t timer) { heap.Push(&c.timers, t) }

func (c *Core) fireTimers(now time.Time) {
	for {
		at, ok := c.timers.earliest()
		if !ok || at.After(now) {
			return
		}
		c.handleTimer(now, heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) handleTimer(now time.Time, t timer) {
	r, ok := c.requests[t.request]
	if !ok {
		return
	}
	switch t.kind {
	case timerDeadline:
		c.handleDeadline(now, r)
	case timerHedge:
		c.handleHedgeTimer(now, r, t.stage)
	case timerAttempt:
		c.sendDelayedAttempt(now, r, t.stage, t.attempt)
	case timerUsageReplica:
		c.sendDeferredAnswer(now, r.Request)
	case timerLateResult:
		c.abandonClaimedCall(now, r)
	}
}
