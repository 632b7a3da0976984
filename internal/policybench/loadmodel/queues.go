package loadmodel

import (
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// Queue is the interface of a sidecar's queue for its backend server, which limits.FairQueue
// and the baselines implement.
type Queue interface {
	Push(now time.Time, item limits.Item) *errkind.Error
	TakeDropped() []limits.Dropped
	Pop(now time.Time) (limits.Item, []limits.Dropped, bool)
	Started(now time.Time, item limits.Item)
	Finished(now time.Time, id string, tokens float64)
}

// FIFO is a baseline queue that serves items in order of arrival. Bound is the maximum number
// of queued items; 0 means no limit.
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

// RoundRobin is a baseline queue that serves the customers in turn. Bound limits the queued
// items of all customers together. It does not check deadlines.
type RoundRobin struct {
	FIFO
	turnOrder  []string
	byCustomer map[string][]limits.Item
	itemCount  int
}

// Push implements Queue.
func (q *RoundRobin) Push(_ time.Time, item limits.Item) *errkind.Error {
	if q.itemCount >= q.Bound {
		return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	if q.byCustomer == nil {
		q.byCustomer = map[string][]limits.Item{}
	}
	if len(q.byCustomer[item.Customer]) == 0 {
		q.turnOrder = append(q.turnOrder, item.Customer)
	}
	q.byCustomer[item.Customer] = append(q.byCustomer[item.Customer], item)
	q.itemCount++
	return nil
}

// Pop implements Queue.
func (q *RoundRobin) Pop(time.Time) (limits.Item, []limits.Dropped, bool) {
	if q.itemCount == 0 {
		return limits.Item{}, nil, false
	}
	name := q.turnOrder[0]
	q.turnOrder = q.turnOrder[1:]
	items := q.byCustomer[name]
	q.byCustomer[name] = items[1:]
	if len(items) > 1 {
		q.turnOrder = append(q.turnOrder, name)
	}
	q.itemCount--
	return items[0], nil, true
}
