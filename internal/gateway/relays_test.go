package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// startPair starts a relay and a gateway that gets its news from it, each with its own way
// to one store.
func startPair(t *testing.T) (store *forwarding.Store, relay, other *bench) {
	t.Helper()
	address := freeAddress(t)
	store = forwarding.NewStore()
	store.PutConfig(testConfig(1))
	with := func(instance, listen string) *bench {
		s := testSettings(t)
		s.Instance, s.PeerListen, s.Relays = instance, listen, []string{address}
		s.Drain, s.Apply = 3*time.Second, 3*time.Second
		return startWith(t, s, forwarding.NewWay(store))
	}
	return store, with("relay", address), with("other", freeAddress(t))
}

func (b *bench) knows(version int64) bool {
	return b.gateway.core.view.Load().config.Version == version
}

// Guards against calls to the store by a gateway that has a relay, and against changes
// that reach it late or not at all.
func TestRelayPassesChangesOn(t *testing.T) {
	store, _, other := startPair(t)
	other.waitFor("all topics are watched at the relay", func() bool {
		return other.store.WatchesOf(forward.ConfigTopic)+other.store.WatchesOf(forward.WorkerTopic)+other.store.WatchesOf(forward.RolloutTopic) == 0
	})
	store.PutConfig(testConfig(2))
	store.PutWorker(forward.Worker{ID: "w", Service: "svc", Address: "127.0.0.1:1"})
	put := time.Now()
	other.waitFor("change is known", func() bool {
		other.gateway.core.mu.Lock()
		defer other.gateway.core.mu.Unlock()
		return other.knows(2) && len(other.gateway.core.known) == 1
	})
	assert.Assert(t, time.Since(put) < 1500*time.Millisecond)
	assert.Equal(t, other.store.WatchesOf(forward.ConfigTopic), 0)
}

// Guards against keys that are accepted on old news, and against a gateway that serves
// nothing because its relay is cut off: it turns to the store before its knowledge of the
// keys is too old.
func TestCutOffRelayIsLeft(t *testing.T) {
	store, relay, other := startPair(t)
	other.waitFor("configuration is watched at the relay", func() bool { return other.store.WatchesOf(forward.ConfigTopic) == 0 })
	relay.store.SetDown(true)
	store.PutConfig(testConfig(2))
	put := time.Now()
	other.waitFor("change is known", func() bool {
		ok, _ := other.gateway.core.ready(elapsed())
		assert.Assert(t, ok)
		return other.knows(2)
	})
	assert.Assert(t, time.Since(put) < other.gateway.settings.Apply)
	assert.Assert(t, !relay.knows(2))
}

// Guards against relays where the bounds are too short for one that is cut off unnoticed.
func TestShortBoundsUseNoRelays(t *testing.T) {
	s := testSettings(t)
	s.StoreTimeout = defaultStoreTimeout
	s.Relays = []string{"127.0.0.1:1"}
	for _, c := range []struct {
		drain, apply time.Duration
		want         bool
	}{{0, 0, false}, {2 * time.Second, 2 * time.Second, false}, {3 * time.Second, 2 * time.Second, false}, {3 * time.Second, 3 * time.Second, true}} {
		s.Drain, s.Apply = c.drain, c.apply
		assert.Equal(t, s.usesRelays(), c.want)
	}
}

// Guards against all gateways writing the state of a rollout at once: those that are no
// relay write later than every relay, and still do if no relay has.
func TestRelaysWriteFirst(t *testing.T) {
	s := testSettings(t)
	s.StoreTimeout = 700 * time.Millisecond
	s.Relays, s.Drain, s.Apply = []string{"127.0.0.1:1"}, 3*time.Second, 3*time.Second
	latest := func(listen string) (lowest, highest time.Duration) {
		s.PeerListen, lowest = listen, time.Hour
		for n := range 50 {
			s.Instance = fmt.Sprint("gateway-", n)
			r := newRollouts(s)
			r.put(0, forward.Rollout{Service: "svc", Target: "v2", Duration: 24 * time.Second}, zap.NewNop())
			d := r.writeDelay(r.orders["svc"])
			lowest, highest = min(lowest, d), max(highest, d)
		}
		return lowest, highest
	}
	_, relays := latest("127.0.0.1:1")
	others, last := latest("127.0.0.1:2")
	assert.Assert(t, relays < others)
	assert.Assert(t, last < 1200*time.Millisecond)
}

// Guards against a gateway that starts cut off from the store and is never ready, although
// it reaches a relay.
func TestStartsCutOffFromStore(t *testing.T) {
	store, relay, _ := startPair(t)
	s := testSettings(t)
	s.Instance, s.PeerListen, s.Relays = "late", freeAddress(t), relay.gateway.settings.Relays
	s.Drain, s.Apply = 3*time.Second, 3*time.Second
	way := forwarding.NewWay(store)
	way.SetDown(true)
	late := startWith(t, s, way)
	store.PutConfig(testConfig(2))
	late.waitFor("change is known", func() bool { return late.knows(2) })
	ok, reason := late.gateway.core.ready(elapsed())
	assert.Assert(t, ok, reason)
}
