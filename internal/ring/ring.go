// Package ring provides the bounded queue that joins two goroutines. A full
// ring refuses an item, or holds back a producer that asked to wait.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue for any number of producers and
// consumers.
type Ring[T any] struct {
	items    chan T
	refused  atomic.Uint64
	accepted atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		r.accepted.Add(1)
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item and waits while the ring is full. It is for items that must
// not be lost, such as the result of an attempt. It reports false when ctx ends
// first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		r.accepted.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the receiving side.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Accepted returns how many items were accepted.
func (r *Ring[T]) Accepted() uint64 { return r.accepted.Load() }
