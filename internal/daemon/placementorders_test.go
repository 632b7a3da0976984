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

// orderWorld is the order part of a sidecar beside a stand-in engine.
type orderWorld struct {
	t      *testing.T
	store  *memstore.Store
	engine *engine.Client
	orders *placementOrders
	checks bool
}

const testMaxOrder = 300 * time.Millisecond

func newOrderWorld(t *testing.T, config standin.Config) *orderWorld {
	server, err := standin.New(config).Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	w := &orderWorld{t: t, store: memstore.New(), engine: engine.NewClient(server.URL()), checks: config.CheckFence}
	w.restart()
	return w
}

// restart replaces the sidecar; its versions are idle at once.
func (w *orderWorld) restart() {
	o := &placementOrders{
		self: api.Member{BackendServer: "s", Incarnation: 1}, store: w.store, engine: w.engine, log: zap.NewNop(),
		ctx: w.t.Context(), leaving: func() bool { return false }, longest: testMaxOrder, calls: map[int]*peer.Call{},
		fence: placement.NewFence(time.Now(), placement.FenceOptions{Checks: w.checks, MaxOrder: testMaxOrder}),
	}
	o.put = func(_ context.Context, e sidecar.Event) bool {
		if closing, ok := e.(sidecar.CloseVersions); ok {
			go o.versionsClosed(closing.Fence)
		}
		return true
	}
	w.orders = o
}

func (w *orderWorld) record(fence int, version string) {
	w.t.Helper()
	raw, err := json.Marshal(api.PlacementRecord{Fence: fence, Version: version, Holder: "e"})
	assert.NilError(w.t, err)
	old, _ := w.store.Get(w.t.Context(), placement.RecordKey("s"))
	_, err = w.store.Put(w.t.Context(), placement.RecordKey("s"), raw, old.Version)
	assert.NilError(w.t, err)
}

func (w *orderWorld) order(fence int, version string) {
	w.orders.handle(placement.OrderReceived{Order: placement.Order{Replica: "s", Fence: fence, Load: version}})
}

func (w *orderWorld) held() []string {
	load, err := w.engine.Load(w.t.Context())
	assert.NilError(w.t, err)
	return load.Versions
}

func (w *orderWorld) waitHeld(versions ...string) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if held := w.held(); !slices.Equal(held, versions) {
			return poll.Continue("engine holds %v, want %v", held, versions)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against an old order that takes effect after a newer one, on an engine
// that checks fencing tokens and on one that does not, also at a replaced sidecar,
// which must wait out the longest order of its predecessor.
func TestOldOrderDoesNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newOrderWorld(t, standin.Config{Versions: []string{"a"}, CheckFence: checks})
		begun := time.Now()
		w.record(2, "b")
		w.order(2, "b")
		w.waitHeld("b")
		assert.Equal(t, time.Since(begun) >= testMaxOrder, !checks, "wait for the predecessor")
		w.order(1, "a")
		time.Sleep(testMaxOrder)
		assert.DeepEqual(t, w.held(), []string{"b"})

		w.restart()
		w.record(3, "c")
		highest, err := w.orders.check(api.PlacementOrder{BackendServer: "s", Incarnation: 1, Fence: 1, Version: "a"})
		assert.NilError(t, err)
		assert.Equal(t, highest, 3, "the recorded token, which an old order does not carry")
		w.order(3, "c")
		w.waitHeld("c")
	}
}

// Guards against an engine that cannot load a version and is left with work on a
// version that it no longer holds, or whose failure blocks the next order.
func TestFailedLoadIsReported(t *testing.T) {
	w := newOrderWorld(t, standin.Config{Versions: []string{"a"}, CheckFence: true, WeightStore: "http://127.0.0.1:1"})
	outcome := w.orders.carryOut(placement.Order{Fence: 0, Load: "b"})
	assert.Assert(t, !outcome.Done, "an order that was not received is carried out")
	assert.DeepEqual(t, w.held(), []string{"a"})
	w.order(1, "b")
	w.waitHeld()
	w.order(2, "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.orders.mu.Lock()
		defer w.orders.mu.Unlock()
		if w.orders.fence.Highest() == 2 && !w.orders.fence.Valid(placement.Order{Fence: 2}) {
			return poll.Success()
		}
		return poll.Continue("the order after a failed one has not ended")
	}, poll.WithTimeout(5*time.Second))
}
