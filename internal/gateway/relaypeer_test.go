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

// startRelayPair starts a relay and a gateway that uses it, each with its own connection to one
// store.
func startRelayPair(t *testing.T) (store *forwarding.Store, relay, other *gatewayHarness) {
	t.Helper()
	address := freeAddress(t)
	store = forwarding.NewStore()
	store.PutConfig(testConfig(1))
	start := func(instance, listen string) *gatewayHarness {
		s := testSettings(t)
		s.Instance, s.PeerAddress, s.Relays = instance, listen, []string{address}
		s.MaxDrainDelay, s.MaxApplyDelay = 3*time.Second, 3*time.Second
		return startGatewayWith(t, s, forwarding.NewForwardingStore(store))
	}
	return store, start("relay", address), start("other", freeAddress(t))
}

// hasConfig reports whether the configuration of a version is in force.
func (gw *gatewayHarness) hasConfig(version int64) bool {
	return gw.gateway.dispatcher.snapshot.Load().config.Version == version
}

// Guards against calls to the store by a gateway that has a relay, and against changes that
// reach the gateway late or not at all.
func TestRelayPassesChangesOn(t *testing.T) {
	store, _, other := startRelayPair(t)
	other.waitFor("all topics are watched at the relay", func() bool {
		return other.store.ActiveWatches(forward.ConfigTopic)+other.store.ActiveWatches(forward.WorkerTopic)+other.store.ActiveWatches(forward.RolloutTopic) == 0
	})
	store.PutConfig(testConfig(2))
	store.PutWorker(forward.Worker{ID: "w", Service: "svc", Address: "127.0.0.1:1"})
	putAt := time.Now()
	other.waitFor("change is known", func() bool {
		other.gateway.dispatcher.mu.Lock()
		defer other.gateway.dispatcher.mu.Unlock()
		return other.hasConfig(2) && len(other.gateway.dispatcher.usableWorkers) == 1
	})
	assert.Assert(t, time.Since(putAt) < 1500*time.Millisecond)
	assert.Equal(t, other.store.ActiveWatches(forward.ConfigTopic), 0)
}

// Guards against a gateway that stays with a relay which is cut off from the store. It must
// switch to the store before its API keys are too old: until then it would accept withdrawn
// keys, and afterwards serve nothing.
func TestCutOffRelayIsLeft(t *testing.T) {
	store, relay, other := startRelayPair(t)
	other.waitFor("configuration is watched at the relay", func() bool { return other.store.ActiveWatches(forward.ConfigTopic) == 0 })
	relay.store.SetDown(true)
	store.PutConfig(testConfig(2))
	putAt := time.Now()
	other.waitFor("change is known", func() bool {
		ok, _ := other.gateway.dispatcher.isReady(sinceBoot())
		assert.Assert(t, ok)
		return other.hasConfig(2)
	})
	assert.Assert(t, time.Since(putAt) < other.gateway.settings.MaxApplyDelay)
	assert.Assert(t, !relay.hasConfig(2))
}

// Guards against the use of relays when the bounds leave no time for a relay that is cut off
// from the store without notice.
func TestShortBoundsUseNoRelays(t *testing.T) {
	s := testSettings(t)
	s.StoreTimeout = defaultStoreTimeout
	s.Relays = []string{"127.0.0.1:1"}
	for _, c := range []struct {
		drain, apply time.Duration
		want         bool
	}{{0, 0, false}, {2 * time.Second, 2 * time.Second, false}, {3 * time.Second, 2 * time.Second, false}, {3 * time.Second, 3 * time.Second, true}} {
		s.MaxDrainDelay, s.MaxApplyDelay = c.drain, c.apply
		assert.Equal(t, s.usesRelays(), c.want)
	}
}

// Guards against all gateways writing the state of a rollout at once. A gateway that is no
// relay must write later than every relay, and still within 1.2 s if no relay has written.
func TestRelaysWriteFirst(t *testing.T) {
	s := testSettings(t)
	s.StoreTimeout = 700 * time.Millisecond
	s.Relays, s.MaxDrainDelay, s.MaxApplyDelay = []string{"127.0.0.1:1"}, 3*time.Second, 3*time.Second
	writeDelayRange := func(listen string) (lowest, highest time.Duration) {
		s.PeerAddress, lowest = listen, time.Hour
		for n := range 50 {
			s.Instance = fmt.Sprint("gateway-", n)
			tracker := newRolloutTracker(s)
			tracker.upsert(0, forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: 24 * time.Second}, zap.NewNop())
			d := tracker.writeDelay(tracker.byService["svc"])
			lowest, highest = min(lowest, d), max(highest, d)
		}
		return lowest, highest
	}
	_, latestRelay := writeDelayRange("127.0.0.1:1")
	earliestOther, latestOther := writeDelayRange("127.0.0.1:2")
	assert.Assert(t, latestRelay < earliestOther)
	assert.Assert(t, latestOther < 1200*time.Millisecond)
}

// Guards against a gateway that starts cut off from the store and never becomes ready,
// although it reaches a relay.
func TestStartsCutOffFromStore(t *testing.T) {
	store, relay, _ := startRelayPair(t)
	s := testSettings(t)
	s.Instance, s.PeerAddress, s.Relays = "late", freeAddress(t), relay.gateway.settings.Relays
	s.MaxDrainDelay, s.MaxApplyDelay = 3*time.Second, 3*time.Second
	storeLink := forwarding.NewForwardingStore(store)
	storeLink.SetDown(true)
	late := startGatewayWith(t, s, storeLink)
	store.PutConfig(testConfig(2))
	late.waitFor("change is known", func() bool { return late.hasConfig(2) })
	ok, reason := late.gateway.dispatcher.isReady(sinceBoot())
	assert.Assert(t, ok, reason)
}

// Guards against a bad version that each gateway judges by its own answers alone: what one gateway
// has seen must reach the others within a second, also where the bounds do not allow relays to
// pass on the updates of the store.
func TestEvidenceReachesOtherGateways(t *testing.T) {
	address := freeAddress(t)
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute})
	start := func(instance, listen string, store *forwarding.Store) *gatewayHarness {
		s := testSettings(t)
		s.Instance, s.PeerAddress, s.Relays = instance, listen, []string{address}
		s.MaxDrainDelay, s.MaxApplyDelay = 2*time.Second, 2*time.Second
		return startGatewayWith(t, s, store)
	}
	relay, other := start("relay", address, store), start("other", freeAddress(t), forwarding.NewForwardingStore(store))
	assert.Assert(t, !other.gateway.settings.usesRelays())
	for _, gw := range []*gatewayHarness{relay, other} {
		gw.waitFor("rollout is known", func() bool { return len(gw.gateway.dispatcher.state(sinceBoot()).Rollouts) == 1 })
	}
	for i := range 20 {
		w := forward.Worker{ID: fmt.Sprint("w", i%5), Service: "svc", Version: "v2"}
		other.gateway.dispatcher.recordAnswer(other.gateway.dispatcher.startEvidence(w, "safe/", 0), true)
	}
	seenAt := time.Now()
	relay.waitFor("relay knows that the target is bad", func() bool {
		return relay.gateway.dispatcher.state(sinceBoot()).Rollouts[0].Regression == "errors"
	})
	assert.Assert(t, time.Since(seenAt) < time.Second)
	relay.waitFor("rollout is rolled back", func() bool { return store.Rollout("svc").State == forward.RolloutRolledBack })
}
