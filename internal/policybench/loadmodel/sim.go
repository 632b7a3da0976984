// Package loadmodel provides the queue models and baselines of the policy benchmarks of the
// packages limits, retry and placement. Simulations use virtual time and a seed, so that a run
// can be repeated exactly.
package loadmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the virtual time at which each simulation starts.
var Epoch = time.Unix(1_700_000_000, 0)

// Sim is a discrete event simulation. Now is the virtual time and Rand the seeded source of
// random numbers. Events of the same time run in the order in which they were added.
type Sim struct {
	Now        time.Time
	Rand       *rand.Rand
	events     eventHeap
	eventCount int
}

type event struct {
	at    time.Time
	order int
	run   func()
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
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// NewSim returns a simulation at Epoch without events.
func NewSim(seed uint64) *Sim {
	return &Sim{Now: Epoch, Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// After schedules f at the current virtual time plus d; a negative d counts as 0.
func (s *Sim) After(d time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.Now.Add(max(d, 0)), order: s.eventCount, run: f})
}

// Every schedules f at the current virtual time and then after each period until it returns
// false.
func (s *Sim) Every(period time.Duration, f func() bool) {
	s.After(0, func() { s.repeat(period, f) })
}

func (s *Sim) repeat(period time.Duration, f func() bool) {
	if f() {
		s.After(period, func() { s.repeat(period, f) })
	}
}

// Poisson schedules f as a Poisson process whose rate, in events per second, is the current
// result of rate. While the rate is 0 it checks again every second.
func (s *Sim) Poisson(rate func() float64, f func()) {
	r := rate()
	if r <= 0 {
		s.After(time.Second, func() { s.Poisson(rate, f) })
		return
	}
	s.After(Seconds(s.Rand.ExpFloat64()/r), func() {
		f()
		s.Poisson(rate, f)
	})
}

// RunFor runs the events of the next d and advances the virtual time by d.
func (s *Sim) RunFor(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = end
}

// Seconds returns v seconds as a duration.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
