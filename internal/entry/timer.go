package entry

import (
	"container/heap"
	"time"
)

// timerKind is what a timer is for.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerHedge
	timerAttempt
	timerForget
	timerHold
)

type timer struct {
	at      time.Time
	kind    timerKind
	request string
	stage   int
	attempt int
}

// timerHeap orders timers by their time. Timers are not removed early: one that
// no longer applies is ignored when it fires.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
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

func (h timerHeap) first() (time.Time, bool) {
	if len(h) == 0 {
		return time.Time{}, false
	}
	return h[0].at, true
}

func (c *Core) setTimer(t timer) { heap.Push(&c.timers, t) }

func (c *Core) fireTimers(now time.Time) {
	for {
		at, ok := c.timers.first()
		if !ok || at.After(now) {
			return
		}
		c.timerFired(now, heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) timerFired(now time.Time, t timer) {
	r, ok := c.requests[t.request]
	if !ok {
		return
	}
	switch t.kind {
	case timerDeadline:
		c.deadlinePassed(now, r)
	case timerHedge:
		c.hedgeDue(now, r, t.stage)
	case timerAttempt:
		c.attemptDue(now, r, t.stage, t.attempt)
	case timerHold:
		c.answerHeld(now, r.Request)
	case timerForget:
		c.forget(now, r)
	}
}
