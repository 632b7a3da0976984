package loadmodel

import (
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// Queue is what a sidecar keeps in front of its backend server.
type Queue interface {
	Push(now time.Time, item limits.Item) *errkind.Error
	TakeDropped() []limits.Dropped
	Pop(now time.Time) (limits.Item, []limits.Dropped, bool)
	Started(now time.Time, item limits.Item)
	Finished(now time.Time, id string, tokens float64)
}

// FIFO is the baseline queue in order of arrival; Bound 0 means no bound.
type FIFO struct {
	Bound int
	items []limits.Item
}

// Push implements Queue.
func (q *FIFO) Push(_ time.Time, item limits.Item) *errkind.Error {
	if q.Bound > 0 && len(q.items) >= q.Bound {
		return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	q.items = append(q.items, item)
	return nil
}

// TakeDropped implements Queue.
func (q *FIFO) TakeDropped() []limits.Dropped { return nil }

// Pop implements Queue.
func (q *FIFO) Pop(time.Time) (limits.Item, []limits.Dropped, bool) {
	if len(q.items) == 0 {
		return limits.Item{}, nil, false
	}
	item := q.items[0]
	q.items = q.items[1:]
	return item, nil, true
}

// Started implements Queue.
func (q *FIFO) Started(time.Time, limits.Item) {}

// Finished implements Queue.
func (q *FIFO) Finished(time.Time, string, float64) {}

// RoundRobin is the baseline that serves the customers in turn, with a bound on
// all waiting items and no deadline check.
type RoundRobin struct {
	FIFO
	order []string
	held  map[string][]limits.Item
	count int
}

// Push implements Queue.
func (q *RoundRobin) Push(_ time.Time, item limits.Item) *errkind.Error {
	if q.count >= q.Bound {
		return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	if q.held == nil {
		q.held = map[string][]limits.Item{}
	}
	if len(q.held[item.Customer]) == 0 {
		q.order = append(q.order, item.Customer)
	}
	q.held[item.Customer] = append(q.held[item.Customer], item)
	q.count++
	return nil
}

// Pop implements Queue.
func (q *RoundRobin) Pop(time.Time) (limits.Item, []limits.Dropped, bool) {
	if q.count == 0 {
		return limits.Item{}, nil, false
	}
	name := q.order[0]
	q.order = q.order[1:]
	items := q.held[name]
	q.held[name] = items[1:]
	if len(items) > 1 {
		q.order = append(q.order, name)
	}
	q.count--
	return items[0], nil, true
}
