package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
)

// Pauses after a failed call to the store: short enough to be back within a fraction of
// the time that knowledge stays valid, long enough to keep below the store's rates.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// maxLongPause is for the topics whose pause ends when another topic is answered again.
	// Calls during an outage cost as much as others.
	maxLongPause = 2 * time.Second
)

// pageOfChanges is the number of changes from which an answer may be a page of many: the
// rest is asked for at once.
const pageOfChanges = 20

// follower lists one topic and then watches it.
type follower struct {
	topic forward.Topic
	store forward.Store
	wait  time.Duration
	// maxPause bounds the pause after failed calls.
	maxPause time.Duration
	// gather is the pause after a change, in which further changes are gathered into one call.
	gather time.Duration
	// apply takes an update; confirmed is a time at which it was the newest.
	apply func(u *forward.Update, confirmed time.Duration)
	lost  func()
	// called counts a call to the store, or a question to a relay.
	called func(topic string, relayed, ok bool)
	// renewals joins the followers of the store.
	renewals *renewals
	// relaying passes the news on; nil where relays are not used.
	relaying *relaying
	log      *zap.Logger

	revision int64
	listed   bool
	failing  bool
	pause    time.Duration
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := elapsed()
		callCtx, end := f.renewals.begin(ctx, f)
		u, err := f.next(callCtx)
		renewed := callCtx.Err() != nil
		end()
		f.called(f.topic.String(), u.Relayed, err == nil)
		if err != nil {
			f.failed(ctx, err, renewed)
			continue
		}
		f.answered(&u, sent)
		if n := u.Changes(); n > 0 && n < pageOfChanges && !u.Relayed {
			f.rest(ctx, f.gather)
		}
	}
}

func (f *follower) next(ctx context.Context) (forward.Update, error) {
	if !f.listed {
		return f.store.List(ctx, f.topic)
	}
	return f.store.Watch(ctx, f.topic, f.revision, f.wait)
}

func (f *follower) answered(u *forward.Update, sent time.Duration) {
	if f.failing {
		renews := f.renewals.answersAgain(f, elapsed())
		f.log.Info("store answers again", zap.Stringer("topic", f.topic), zap.Bool("other_topics_listed_again", renews))
		f.failing = false
	}
	f.pause = 0
	confirmed := sent
	// The store held an unanswered watch for the whole wait, so that nothing had changed by
	// then, however late the answer is read.
	if !u.Full && u.Changes() == 0 && elapsed()-sent >= f.wait {
		confirmed = sent + f.wait
	}
	confirmed -= u.Age
	f.revision, f.listed = u.Revision, true
	for _, fault := range u.Faults {
		f.log.Warn("object of the store is unusable", zap.Stringer("topic", f.topic), zap.String("name", fault.Name), zap.String("problem", fault.Problem), zap.Int64("revision", u.Revision))
	}
	f.apply(u, confirmed)
	f.relaying.took(f.topic, u, confirmed)
}

// failed takes the end of a call without an answer; renewed is set when another follower
// had it end.
func (f *follower) failed(ctx context.Context, err error, renewed bool) {
	if ctx.Err() != nil {
		return
	}
	f.listed = false
	switch {
	case errors.Is(err, forward.ErrHistoryGone):
		f.renewals.historyGone(f, elapsed())
		f.log.Info("history of the store is gone, all topics are listed again", zap.Stringer("topic", f.topic), zap.Int64("revision", f.revision))
		return
	case renewed:
		return
	}
	if !f.failing {
		f.log.Warn("store does not answer", zap.Stringer("topic", f.topic), zap.Int64("revision", f.revision), zap.Error(err))
		f.failing = true
	}
	f.lost()
	f.relaying.lost(f.topic)
	f.pause = min(max(2*f.pause, firstPause), f.maxPause)
	waiting, end := f.renewals.begin(ctx, f)
	defer end()
	f.rest(waiting, f.pause)
}

func (f *follower) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
