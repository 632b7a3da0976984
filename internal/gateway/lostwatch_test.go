package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// mutedStore is a store whose watches on the configuration, once muted, end without an answer.
type mutedStore struct {
	*forwarding.Store
	timeout  time.Duration
	watching chan struct{} // receives a value when a watch on the configuration begins
	muted    chan struct{} // closed when the present watch becomes mute
}

// Watch implements forward.Store.
func (s *mutedStore) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	if topic != forward.ConfigTopic {
		return s.Store.Watch(ctx, topic, revision, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.timeout)
	defer cancel()
	select {
	case s.watching <- struct{}{}:
	default:
	}
	type answer struct {
		u   forward.Update
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		u, err := s.Store.Watch(ctx, topic, revision, wait)
		answers <- answer{u, err}
	}()
	select {
	case a := <-answers:
		return a.u, a.err
	case <-s.muted:
		<-ctx.Done()
		return forward.Update{}, ctx.Err()
	}
}

// Guards against a change that stays unknown beyond its bound because the answer of one watch is lost.
func TestConfigurationIsInForceInTimeAfterLostWatch(t *testing.T) {
	s := testSettings(t)
	s.StoreTimeout, s.WatchTimeout, s.MaxApplyDelay, s.MaxRevokeDelay = defaultStoreTimeout, defaultWatchTimeout, 2*time.Second, 5*time.Second
	store := &mutedStore{Store: forwarding.NewStore(), timeout: s.StoreTimeout, watching: make(chan struct{}), muted: make(chan struct{})}
	store.PutConfig(testConfig(1))
	gw := startGatewayOn(t, s, store)
	<-store.watching
	close(store.muted)
	store.PutConfig(testConfig(2))
	changedAt := time.Now()
	gw.waitFor("the configuration is in force", func() bool { return gw.gateway.dispatcher.snapshot.Load().config.Version == 2 })
	assert.Assert(t, time.Since(changedAt) < s.MaxApplyDelay, "in force after %v", time.Since(changedAt))
}
