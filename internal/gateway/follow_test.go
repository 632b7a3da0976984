package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against an order that is learned only when a long watch ends: a store that drops
// its history leaves watches hanging that hear nothing any more, and only the short watch
// of the configuration notices.
func TestLostHistoryIsNoticedByAllTopics(t *testing.T) {
	b := startGateway(t)
	b.waitFor("rollouts are watched", func() bool { return b.store.WatchesOf(forward.RolloutTopic) > 0 })
	b.store.LoseHistory()
	b.store.Order(forward.Rollout{Service: "svc", Target: "v2", Duration: time.Minute})
	put := time.Now()
	b.waitFor("order is known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return b.gateway.core.rollouts.orders["svc"] != nil
	})
	// The watch of the configuration lasts 0.2 s, that of the rollouts 1 s.
	assert.Assert(t, time.Since(put) < 600*time.Millisecond, "known after %v", time.Since(put))
}

// Guards against followers that wake each other without end.
func TestFollowersRestAfterLostHistory(t *testing.T) {
	b := startGateway(t)
	b.store.LoseHistory()
	time.Sleep(500 * time.Millisecond)
	before := b.store.Lists()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, b.store.Lists(), before)
	assert.Assert(t, before <= 9, "%d lists", before)
}

// Guards against a price for each topic while the store is away, and against topics that
// are learned late after it: one topic asks often, and its success ends the pauses of the
// others.
func TestOneTopicAsksForAllDuringOutage(t *testing.T) {
	b := startGateway(t)
	b.store.SetDown(true)
	time.Sleep(4 * time.Second)
	calls := b.store.Lists()
	b.store.SetDown(false)
	b.store.PutWorker(forward.Worker{ID: "w", Service: "svc", Address: "127.0.0.1:1"})
	back := time.Now()
	b.waitFor("worker is known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return len(b.gateway.core.known) == 1
	})
	assert.Assert(t, time.Since(back) < maxPause+200*time.Millisecond, "known after %v", time.Since(back))
	// At 0.1, 0.2, 0.4 s and then every 0.8 s or 2 s: 7 and twice 5, and 3 at the start.
	assert.Assert(t, calls <= 21, "%d calls", calls)
}

// Guards against a second loss of the history right after the first: the topics that have
// just listed again watch a history that is gone as well.
func TestSecondLossOfHistoryIsNoticed(t *testing.T) {
	b := startGateway(t)
	b.store.LoseHistory()
	b.waitFor("all topics are listed again", func() bool {
		return b.store.Lists() >= 6
	})
	b.waitFor("rollouts are watched", func() bool { return b.store.WatchesOf(forward.RolloutTopic) > 0 })
	b.store.LoseHistory()
	b.store.Order(forward.Rollout{Service: "svc", Target: "v2", Duration: time.Minute})
	put := time.Now()
	b.waitFor("order is known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return b.gateway.core.rollouts.orders["svc"] != nil
	})
	assert.Assert(t, time.Since(put) < 600*time.Millisecond, "known after %v", time.Since(put))
}
