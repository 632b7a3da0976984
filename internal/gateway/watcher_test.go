package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against a rollout that becomes known only when a long watch ends. A store that loses
// its history leaves watches hanging without updates, and only the short watch on the
// configuration notices.
func TestLostHistoryIsNoticedByAllTopics(t *testing.T) {
	gw := startGateway(t)
	gw.waitFor("rollouts are watched", func() bool { return gw.store.ActiveWatches(forward.RolloutTopic) > 0 })
	gw.store.LoseHistory()
	gw.store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute})
	orderedAt := time.Now()
	gw.waitFor("rollout is known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return gw.gateway.dispatcher.rollouts.byService["svc"] != nil
	})
	// The watch on the configuration lasts 0.2 s, the watch on the rollouts 1 s.
	assert.Assert(t, time.Since(orderedAt) < 600*time.Millisecond, "known after %v", time.Since(orderedAt))
}

// Guards against watchers that make each other list again without end.
func TestWatchersStopRelistingAfterLostHistory(t *testing.T) {
	gw := startGateway(t)
	gw.store.LoseHistory()
	time.Sleep(500 * time.Millisecond)
	listsBefore := gw.store.ListCalls()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, gw.store.ListCalls(), listsBefore)
	assert.Assert(t, listsBefore <= 9, "%d lists", listsBefore)
}

// Guards against repeated calls for every topic during an outage of the store, and against topics
// that are updated late after it. One topic retries often, and its success ends the backoff of
// the others.
func TestOneTopicRetriesForAllDuringOutage(t *testing.T) {
	gw := startGateway(t)
	gw.store.SetDown(true)
	time.Sleep(4 * time.Second)
	calls := gw.store.ListCalls()
	gw.store.SetDown(false)
	gw.store.PutWorker(forward.Worker{ID: "w", Service: "svc", Address: "127.0.0.1:1"})
	restoredAt := time.Now()
	gw.waitFor("worker is known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return len(gw.gateway.dispatcher.usableWorkers) == 1
	})
	assert.Assert(t, time.Since(restoredAt) < maxBackoff+200*time.Millisecond, "known after %v", time.Since(restoredAt))
	// One topic calls at 0.1, 0.2, 0.4 s and then every 0.8 s: 7 calls. The two others reach an
	// interval of 2 s: 5 calls each. 3 more are made at the start.
	assert.Assert(t, calls <= 21, "%d calls", calls)
}

// Guards against a second loss of the history that goes unnoticed right after the first. The
// topics that have just been listed again then watch a history that is gone as well.
func TestSecondLossOfHistoryIsNoticed(t *testing.T) {
	gw := startGateway(t)
	gw.store.LoseHistory()
	gw.waitFor("all topics are listed again", func() bool {
		return gw.store.ListCalls() >= 6
	})
	gw.waitFor("rollouts are watched", func() bool { return gw.store.ActiveWatches(forward.RolloutTopic) > 0 })
	gw.store.LoseHistory()
	gw.store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute})
	orderedAt := time.Now()
	gw.waitFor("rollout is known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return gw.gateway.dispatcher.rollouts.byService["svc"] != nil
	})
	assert.Assert(t, time.Since(orderedAt) < 600*time.Millisecond, "known after %v", time.Since(orderedAt))
}

// Guards against a process that ends by an update of the store, starts again and reads it again.
func TestUpdateThatCannotBeAppliedEndsNoProcess(t *testing.T) {
	passedOn := false
	w := &topicWatcher{
		topic: forward.WorkerTopic, log: newNopLogger(), relists: newRelistCoordinator(),
		apply: func(u *forward.Update, _ time.Duration) { passedOn = u.Workers[3].Draining },
	}
	w.handleUpdate(&forward.Update{Revision: 7, Full: true}, 0)
	assert.Assert(t, !passedOn)
	assert.Equal(t, w.revision, int64(7))
}
