// Package ring provides a bounded queue between goroutines. When the queue is full,
// a producer can have its item refused or wait for space.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded FIFO queue, backed by a channel. It is safe for any number of
// concurrent producers and consumers.
type Queue[T any] struct {
	items    chan T
	refused  atomic.Uint64
	accepted atomic.Uint64
}

// New returns an empty queue that holds at most size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPut adds an item without waiting. It returns false, and counts the item as
// refused, if the queue is full.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		q.accepted.Add(1)
		return true
	default:
		q.refused.Add(1)
		return false
	}
}

// Put adds an item and waits while the queue is full. Use it for items that
// must not be lost, such as the result of an attempt. It returns false if ctx is
// done first; such an item is counted neither as accepted nor as refused.
func (q *Queue[T]) Put(ctx context.Context, item T) bool {
	select {
	case q.items <- item:
		q.accepted.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel from which consumers receive the items.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// RefusedCount returns the number of items refused because the queue was full.
func (q *Queue[T]) RefusedCount() uint64 { return q.refused.Load() }

// AcceptedCount returns the number of items added so far.
func (q *Queue[T]) AcceptedCount() uint64 { return q.accepted.Load() }
