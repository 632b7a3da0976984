package policybench

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock that runs events in order of their times. Events of the same time
// run in the order in which they were added.
type Clock struct {
	now        time.Time
	eventCount int
	events     eventHeap
}

type event struct {
	at    time.Time
	order int
	run   func()
}

// NewClock returns a clock at Epoch.
func NewClock() *Clock { return &Clock{now: Epoch} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules run at the current virtual time plus d.
func (c *Clock) After(d time.Duration, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{at: c.now.Add(d), order: c.eventCount, run: run})
}

// RunUntil runs all events up to and including end and sets the time to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
