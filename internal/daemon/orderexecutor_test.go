package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/sidecar"
	standin "github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// orderFixture is the order executor of a sidecar with an in-memory store and a stand-in
// engine.
type orderFixture struct {
	t           *testing.T
	store       *memstore.Store
	engine      *engine.Client
	executor    *orderExecutor
	checksFence bool
}

const testMaxOrderDuration = 300 * time.Millisecond

func newOrderFixture(t *testing.T, config standin.Config) *orderFixture {
	server, err := standin.New(config).Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	f := &orderFixture{t: t, store: memstore.New(), engine: engine.NewClient(server.URL()), checksFence: config.CheckFence}
	f.restart()
	return f
}

// restart replaces the order executor by a new one, as a restarted sidecar has. Versions
// that it closes are idle at once.
func (f *orderFixture) restart() {
	o := &orderExecutor{
		self: api.Member{BackendServer: "s", Incarnation: 1}, store: f.store, engine: f.engine, log: zap.NewNop(),
		ctx: f.t.Context(), isLeaving: func() bool { return false }, maxOrderDuration: testMaxOrderDuration, pendingCalls: map[int]*peer.Call{},
		fence: placement.NewFence(time.Now(), placement.FenceOptions{EngineChecksTokens: f.checksFence, MaxOrderDuration: testMaxOrderDuration}),
	}
	o.putEvent = func(_ context.Context, e sidecar.Event) bool {
		if closing, ok := e.(sidecar.CloseVersions); ok {
			go o.signalVersionsIdle(closing.Fence)
		}
		return true
	}
	f.executor = o
}

func (f *orderFixture) writeRecord(fence int, version string) {
	f.t.Helper()
	raw, err := json.Marshal(api.PlacementRecord{Fence: fence, Version: version, Holder: "e"})
	assert.NilError(f.t, err)
	old, _ := f.store.Get(f.t.Context(), placement.RecordKey("s"))
	_, err = f.store.Put(f.t.Context(), placement.RecordKey("s"), raw, old.Version)
	assert.NilError(f.t, err)
}

func (f *orderFixture) sendOrder(fence int, version string) {
	f.executor.handleFenceEvent(placement.OrderReceived{Order: placement.Order{Replica: "s", Fence: fence, Load: version}})
}

func (f *orderFixture) loadedVersions() []string {
	load, err := f.engine.LoadReport(f.t.Context())
	assert.NilError(f.t, err)
	return load.Versions
}

func (f *orderFixture) waitForLoaded(versions ...string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if loaded := f.loadedVersions(); !slices.Equal(loaded, versions) {
			return poll.Continue("engine has loaded %v, want %v", loaded, versions)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against an old order that takes effect after a newer one, with an engine that
// checks fencing tokens and with one that does not. A restarted sidecar must refuse old
// orders too; without checks in the engine it first waits for the maximum duration of an
// order, since an order of the previous process may still be running.
func TestOldOrderDoesNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newOrderFixture(t, standin.Config{Versions: []string{"a"}, CheckFence: checks})
		startedAt := time.Now()
		f.writeRecord(2, "b")
		f.sendOrder(2, "b")
		f.waitForLoaded("b")
		assert.Equal(t, time.Since(startedAt) >= testMaxOrderDuration, !checks, "whether the order waited for the previous process")
		f.sendOrder(1, "a")
		time.Sleep(testMaxOrderDuration)
		assert.DeepEqual(t, f.loadedVersions(), []string{"b"})

		f.restart()
		f.writeRecord(3, "c")
		highest, err := f.executor.checkOrder(api.PlacementOrder{BackendServer: "s", Incarnation: 1, Fence: 1, Version: "a"})
		assert.NilError(t, err)
		assert.Equal(t, highest, 3, "the recorded token, which an old order does not have")
		f.sendOrder(3, "c")
		f.waitForLoaded("c")
	}
}

// Guards against a failed load that leaves an unloaded version in use, or that blocks the
// next order.
func TestFailedLoadIsReported(t *testing.T) {
	f := newOrderFixture(t, standin.Config{Versions: []string{"a"}, CheckFence: true, WeightStore: "http://127.0.0.1:1"})
	outcome := f.executor.applyOrder(placement.Order{Fence: 0, Load: "b"})
	assert.Assert(t, !outcome.Done, "the fence did not receive the order, but it was carried out")
	assert.DeepEqual(t, f.loadedVersions(), []string{"a"})
	f.sendOrder(1, "b")
	f.waitForLoaded()
	f.sendOrder(2, "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.executor.mu.Lock()
		defer f.executor.mu.Unlock()
		if f.executor.fence.HighestToken() == 2 && !f.executor.fence.IsCurrent(placement.Order{Fence: 2}) {
			return poll.Success()
		}
		return poll.Continue("the order after the failed one has not ended yet")
	}, poll.WithTimeout(5*time.Second))
}
