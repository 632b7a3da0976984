package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// slowToCancelStore is a store whose watches return some time after they are canceled.
type slowToCancelStore struct {
	*forwarding.Store
	active atomic.Int64
}

// Watch implements forward.Store.
func (s *slowToCancelStore) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	s.active.Add(1)
	defer s.active.Add(-1)
	u, err := s.Store.Watch(ctx, topic, revision, wait)
	if ctx.Err() != nil {
		time.Sleep(100 * time.Millisecond)
	}
	return u, err
}

// Guards against a gateway that closes its relay connection while its watchers still use it.
func TestDrainEndsWatchersFirst(t *testing.T) {
	store := &slowToCancelStore{Store: forwarding.NewStore()}
	store.PutConfig(testConfig(1))
	s := testSettings(t)
	s.GracePeriod = time.Second
	out := &lockedBuffer{}
	log, lines, err := newLogger(s, out)
	assert.NilError(t, err)
	g := newGateway(s, Dependencies{Store: store, Headers: DefaultHeaderNames, LogOutput: out}, log, lines)
	assert.NilError(t, g.start(context.Background()))
	gw := &gatewayHarness{t: t, gateway: g, log: out}
	gw.waitFor("all topics are watched", func() bool { return store.active.Load() == 3 })
	assert.NilError(t, g.drain(context.Background()))
	assert.Equal(t, store.active.Load(), int64(0))
}
