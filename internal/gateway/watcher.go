package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
)

// Backoff after a failed call to the store: short enough to reconnect within a fraction of
// the time that the data stays valid, long enough to stay below the store's rate limits.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// maxLongWatchBackoff applies to the topics whose backoff ends as soon as another topic is
	// answered again. Calls during an outage cost as much as others.
	maxLongWatchBackoff = 2 * time.Second
)

// minFullPageChanges is the number of changes from which a response may be one page of many.
// The rest is then requested at once.
const minFullPageChanges = 20

// topicWatcher lists one topic of the store and then watches it.
type topicWatcher struct {
	topic        forward.Topic
	store        forward.Store
	watchTimeout time.Duration
	// applyDelay is the delay after which a change must be in force, 0 without a bound, and callTimeout
	// the time after which a watch that was not answered is given up, beyond its wait.
	applyDelay, callTimeout time.Duration
	// minBackoff and maxBackoff bound the pause after failed calls.
	minBackoff, maxBackoff time.Duration
	// batchDelay is the pause after a change, so that one call returns the changes that follow.
	batchDelay time.Duration
	// apply applies an update. confirmed is a time at which the update was the newest state.
	apply func(u *forward.Update, confirmed time.Duration)
	// onStoreLost is called after a call that the store did not answer.
	onStoreLost func()
	// onCall counts a call to the store or to a relay.
	onCall func(topic string, relayed, ok bool)
	// relists is shared by the watchers of one store.
	relists *relistCoordinator
	// relayPeer passes updates on to other gateways. It is nil where relays are not used.
	relayPeer *relayPeer
	log       *zap.Logger

	revision int64
	// confirmedAt is the latest time at which the state was known to be the newest one.
	confirmedAt time.Duration
	// watchWait is the wait of the last call, 0 for a list.
	watchWait time.Duration
	hasListed bool
	isFailing bool
	backoff   time.Duration
}

// run lists and watches the topic until ctx ends.
func (w *topicWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := sinceBoot()
		callCtx, endCall := w.relists.registerCall(ctx, w)
		u, err := w.nextUpdateSafely(callCtx)
		canceled := callCtx.Err() != nil
		endCall()
		w.onCall(w.topic.String(), u.Relayed, err == nil)
		if err != nil {
			w.handleError(ctx, err, canceled)
			continue
		}
		w.handleUpdate(&u, sentAt)
		if n := u.ChangeCount(); n > 0 && n < minFullPageChanges && !u.Relayed {
			w.sleep(ctx, w.batchDelay)
		}
	}
}

// nextUpdateSafely returns the next update, or an error if what the store or a relay has sent cannot be
// read without a panic.
func (w *topicWatcher) nextUpdateSafely(ctx context.Context) (u forward.Update, err error) {
	defer func() {
		if p := recover(); p != nil {
			w.log.Error("answer of the store cannot be read", zap.Stringer("topic", w.topic), zap.Int64("revision", w.revision), zap.Any("panic", p), zap.Stack("stack"))
			err = errUnexpected
		}
	}()
	return w.nextUpdate(ctx)
}

func (w *topicWatcher) nextUpdate(ctx context.Context) (forward.Update, error) {
	if !w.hasListed {
		w.watchWait = 0
		return w.store.List(ctx, w.topic)
	}
	w.watchWait = forward.WatchWait(sinceBoot()-w.confirmedAt, w.applyDelay, w.callTimeout, w.watchTimeout)
	return w.store.Watch(ctx, w.topic, w.revision, w.watchWait)
}

func (w *topicWatcher) handleUpdate(u *forward.Update, sentAt time.Duration) {
	if w.isFailing {
		relisted := w.relists.relistAfterOutage(w, sinceBoot())
		w.log.Info("store answers again", zap.Stringer("topic", w.topic), zap.Bool("other_topics_listed_again", relisted))
		w.isFailing = false
	}
	w.backoff = 0
	confirmed := sentAt
	// The store held the watch for its whole wait, so nothing had changed by then, however late
	// the response is read.
	if !u.Full && u.ChangeCount() == 0 && sinceBoot()-sentAt >= w.watchWait {
		confirmed = sentAt + w.watchWait
	}
	confirmed -= u.Age
	w.confirmedAt = max(w.confirmedAt, confirmed)
	w.revision, w.hasListed = u.Revision, true
	for _, fault := range u.Faults {
		w.log.Warn("object of the store cannot be used and is ignored", zap.Stringer("topic", w.topic), zap.String("name", fault.Name), zap.String("problem", fault.Problem), zap.Int64("revision", u.Revision))
	}
	if w.applySafely(u, confirmed) {
		w.relayPeer.recordUpdate(w.topic, u, confirmed)
	}
}

// applySafely applies an update and reports whether it could. After a panic the process keeps its former
// state and passes the update on to no other gateway: a process that ended by it would read it again
// when it starts.
func (w *topicWatcher) applySafely(u *forward.Update, confirmed time.Duration) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			w.log.Error("update of the store cannot be applied and is ignored", zap.Stringer("topic", w.topic), zap.Int64("revision", u.Revision), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	w.apply(u, confirmed)
	return true
}

// handleError handles a call that returned no update. canceled reports whether another watcher
// canceled it so that this one lists again.
func (w *topicWatcher) handleError(ctx context.Context, err error, canceled bool) {
	if ctx.Err() != nil {
		return
	}
	w.hasListed = false
	switch {
	case errors.Is(err, forward.ErrCompacted):
		w.relists.relistAfterHistoryLoss(w, sinceBoot())
		w.log.Info("history of the store is gone, listing all topics again", zap.Stringer("topic", w.topic), zap.Int64("revision", w.revision))
		return
	case canceled:
		return
	}
	if !w.isFailing {
		w.log.Warn("store does not answer", zap.Stringer("topic", w.topic), zap.Int64("revision", w.revision), zap.Error(err))
		w.isFailing = true
	}
	w.onStoreLost()
	w.relayPeer.recordStoreLoss(w.topic)
	w.backoff = min(max(2*w.backoff, w.minBackoff), w.maxBackoff)
	backoffCtx, endBackoff := w.relists.registerCall(ctx, w)
	defer endBackoff()
	w.sleep(backoffCtx, w.backoff)
}

func (w *topicWatcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
