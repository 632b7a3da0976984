package gateway

import (
	"context"
	"sync"
	"time"
)

// relistCoordinator makes the watchers of one store list again together. When a store comes back
// or loses its history, a watch may hang without further updates. The watcher with the
// shortest timeout notices first, and the calls of the others are canceled, so that they list
// again.
type relistCoordinator struct {
	mu         sync.Mutex
	cancels    map[*topicWatcher]context.CancelFunc
	lastRelist time.Duration
}

// minRelistInterval is the least time between two relists after an outage. All watchers of a
// store notice the same outage within it.
const minRelistInterval = 2 * time.Second

func newRelistCoordinator() *relistCoordinator {
	return &relistCoordinator{cancels: map[*topicWatcher]context.CancelFunc{}, lastRelist: -minRelistInterval}
}

// registerCall registers a call of a watcher, or its backoff after a failed one. The returned
// context is canceled when the watcher must list again. The returned function ends the
// registration.
func (c *relistCoordinator) registerCall(ctx context.Context, w *topicWatcher) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[w] = cancel
	return ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, w)
		cancel()
	}
}

// relistAfterOutage cancels the calls of all watchers except w, unless a relist happened within
// minRelistInterval. It reports whether it canceled them.
func (c *relistCoordinator) relistAfterOutage(w *topicWatcher, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.lastRelist < minRelistInterval {
		return false
	}
	c.cancelOthers(w, now)
	return true
}

// relistAfterHistoryLoss cancels the calls of all watchers except w. Unlike relistAfterOutage
// it needs no minimum interval: a watcher that has listed since does not meet the same loss
// again, and a second loss right after the first must be acted on too.
func (c *relistCoordinator) relistAfterHistoryLoss(w *topicWatcher, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelOthers(w, now)
}

func (c *relistCoordinator) cancelOthers(w *topicWatcher, now time.Duration) {
	c.lastRelist = now
	for other, cancel := range c.cancels {
		if other != w {
			cancel()
		}
	}
}
