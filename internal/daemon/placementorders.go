package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/sidecar"
)

const (
	defaultMaxOrder = 5 * time.Minute
	// maxOrderCalls bounds the order calls served at once. One holder has one order
	// under way for each server.
	maxOrderCalls = 16
	// validEvery is how often an order that waits for running requests checks that
	// no newer one has come.
	validEvery = 100 * time.Millisecond
)

// placementOrders passes the orders of the plan's holder to the engine.
type placementOrders struct {
	self    api.Member
	store   platform.Store
	engine  *engine.Client
	log     *zap.Logger
	ctx     context.Context
	put     func(context.Context, sidecar.Event) bool
	leaving func() bool
	// longest bounds one call to the engine.
	longest time.Duration
	serving atomic.Int32

	mu    sync.Mutex
	fence *placement.Fence
	calls map[int]*peer.Call
	// closed is closed when the versions of the order with token closing are idle.
	closed  chan struct{}
	closing int
}

func newPlacementOrders(d *sidecarDaemon, store platform.Store, log *zap.Logger) *placementOrders {
	b := d.settings.Backend
	longest := ms(b.MaxOrderMs)
	if longest == 0 {
		longest = defaultMaxOrder
	}
	return &placementOrders{
		self: d.self, store: store, engine: d.loop.backend, log: log, ctx: d.ctx, put: d.loop.events.Put,
		leaving: d.leaving.Load, longest: longest, calls: map[int]*peer.Call{},
		fence: placement.NewFence(time.Now(), placement.FenceOptions{Checks: b.ChecksFencing, MaxOrder: longest}),
	}
}

// serve takes an order. It is answered when the order has ended.
func (o *placementOrders) serve(call *peer.Call) {
	var order api.PlacementOrder
	if err := call.Decode(&order); err != nil {
		call.Fail(err)
		return
	}
	if o.serving.Add(1) > maxOrderCalls {
		o.serving.Add(-1)
		call.Fail(errkind.New(errkind.Overloaded, "too many orders at once"))
		return
	}
	go func() {
		defer o.serving.Add(-1)
		o.take(call, order)
	}()
}

// take hands an order that passes its check to the fence.
func (o *placementOrders) take(call *peer.Call, order api.PlacementOrder) {
	highest, err := o.check(order)
	if err != nil {
		call.Fail(err)
		return
	}
	if highest != order.Fence {
		call.Respond(api.PlacementResult{Outcome: api.PlacementOutcomeRefused, Highest: highest})
		return
	}
	o.mu.Lock()
	_, twice := o.calls[order.Fence]
	if !twice {
		o.calls[order.Fence] = call
	}
	o.mu.Unlock()
	if twice {
		call.Fail(errkind.New(errkind.DuplicateInProgress, "order was received before"))
		return
	}
	o.handle(placement.OrderReceived{Order: placement.Order{Replica: order.BackendServer, Fence: order.Fence, Load: order.Version}})
}

// check compares an order with this process and the record in the store. It
// returns the recorded token, which an order must carry to be passed on.
func (o *placementOrders) check(order api.PlacementOrder) (int, error) {
	switch {
	case order.BackendServer != o.self.BackendServer || order.Incarnation != o.self.Incarnation:
		return 0, errkind.New(errkind.StaleIncarnation, "order is meant for another incarnation of the instance")
	case o.leaving():
		return 0, errkind.New(errkind.Draining, "instance is leaving")
	}
	record, err := o.record()
	if err != nil {
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "record of the backend server cannot be read")
	}
	if record.Fence == order.Fence && record.Version != order.Version {
		return 0, errkind.New(errkind.Conflict, "order names another version than its record")
	}
	return record.Fence, nil
}

func (o *placementOrders) record() (api.PlacementRecord, error) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	var record api.PlacementRecord
	object, err := o.store.Get(ctx, placement.RecordKey(o.self.BackendServer))
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(object.Value, &record)
}

func (o *placementOrders) handle(event placement.Event) {
	o.mu.Lock()
	decisions := o.fence.Handle(time.Now(), event)
	o.mu.Unlock()
	for _, decision := range decisions {
		switch d := decision.(type) {
		case placement.Send:
			go o.execute(d.Order)
		case placement.Refuse:
			o.answer(d.Fence, api.PlacementResult{Outcome: api.PlacementOutcomeRefused, Highest: d.Highest})
		case placement.Replace:
			o.answer(d.Fence, api.PlacementResult{Outcome: api.PlacementOutcomeUnknown, Reason: "a newer order replaced it"})
		case placement.Wait:
			o.log.Info("order waits for the longest time of an earlier one", zap.Time("until", d.Until))
			time.AfterFunc(time.Until(d.Until), func() {
				if o.ctx.Err() == nil {
					o.handle(placement.Timer{})
				}
			})
		case placement.Report:
			o.answer(d.Fence, resultOf(d))
		}
	}
}

func resultOf(r placement.Report) api.PlacementResult {
	switch {
	case r.Done:
		return api.PlacementResult{Outcome: api.PlacementOutcomeDone}
	case r.Known:
		return api.PlacementResult{Outcome: api.PlacementOutcomeFailed, Reason: "engine did not carry the order out"}
	default:
		return api.PlacementResult{Outcome: api.PlacementOutcomeUnknown, Reason: "engine did not answer"}
	}
}

func (o *placementOrders) answer(fence int, result api.PlacementResult) {
	o.mu.Lock()
	call := o.calls[fence]
	delete(o.calls, fence)
	o.mu.Unlock()
	if call != nil {
		go call.Respond(result)
	}
}

// execute ends the work on the versions that go, then sends the order.
func (o *placementOrders) execute(order placement.Order) {
	o.log.Info("order begins", zap.Int("fence", order.Fence), zap.String("version", order.Load))
	ended := placement.OrderEnded{Fence: order.Fence, Known: true}
	if o.waitClosed(order) {
		outcome := o.carryOut(order)
		ended.Known, ended.Done, ended.Highest = outcome.Known, outcome.Done, outcome.Highest
		if outcome.Err != nil {
			o.log.Warn("order is not done", zap.Int("fence", order.Fence), zap.String("version", order.Load), zap.Error(outcome.Err))
		}
	}
	if !ended.Done {
		o.put(o.ctx, sidecar.ReopenVersions{Fence: order.Fence})
	}
	o.handle(ended)
}

// waitClosed closes the other versions and waits until no request runs on them.
func (o *placementOrders) waitClosed(order placement.Order) bool {
	closed := make(chan struct{})
	o.mu.Lock()
	o.closed, o.closing = closed, order.Fence
	o.mu.Unlock()
	o.put(o.ctx, sidecar.CloseVersions{Fence: order.Fence, KeepOpen: order.Load})
	for !wait(o.ctx, closed, validEvery) {
		if o.ctx.Err() != nil || !o.valid(order) {
			return false
		}
	}
	return true
}

// versionsClosed tells a waiting order that its versions are idle.
func (o *placementOrders) versionsClosed(fence int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed != nil && o.closing == fence {
		close(o.closed)
		o.closed = nil
	}
}

func (o *placementOrders) valid(order placement.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence.Valid(order)
}

// carryOut unloads what the engine holds besides the version, then loads it.
func (o *placementOrders) carryOut(order placement.Order) engine.OrderOutcome {
	load, err := o.engine.Load(o.ctx)
	if err != nil {
		return engine.OrderOutcome{Known: true, Err: err}
	}
	var steps []engine.Order
	for _, version := range load.Versions {
		if version != order.Load {
			steps = append(steps, engine.Order{Fence: order.Fence, Kind: engine.OrderUnload, Version: version})
		}
	}
	if order.Load != "" && !slices.Contains(load.Versions, order.Load) {
		steps = append(steps, engine.Order{Fence: order.Fence, Kind: engine.OrderLoad, Version: order.Load})
	}
	for _, step := range steps {
		if outcome := o.step(order, step); !outcome.Done {
			return outcome
		}
	}
	return engine.OrderOutcome{Known: true, Done: true}
}

// step sends one call to the engine, unless a newer order has come.
func (o *placementOrders) step(order placement.Order, step engine.Order) engine.OrderOutcome {
	ctx, cancel := context.WithTimeout(o.ctx, o.longest)
	defer cancel()
	o.mu.Lock()
	valid := o.fence.Valid(order)
	if valid {
		o.fence.Handle(time.Now(), placement.OrderStarted{Fence: order.Fence})
	}
	o.mu.Unlock()
	if !valid {
		return engine.OrderOutcome{Known: true, Err: errkind.New(errkind.Conflict, "a newer order has come")}
	}
	return o.engine.Order(ctx, step)
}
