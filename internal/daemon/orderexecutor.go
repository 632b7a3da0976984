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
	// defaultMaxOrderDuration bounds one engine call when the settings give no bound.
	defaultMaxOrderDuration = 5 * time.Minute
	// maxOrderCalls bounds the order calls that are served at the same time. A holder has
	// at most one order in progress for each server.
	maxOrderCalls = 16
	// orderCheckInterval is how often an order that waits for running requests checks
	// whether a newer order has replaced it.
	orderCheckInterval = 100 * time.Millisecond
)

// orderExecutor carries out the orders of the placement holder on the engine. The fence admits
// an order only while no newer one is known.
type orderExecutor struct {
	self      api.Member
	store     platform.Store
	engine    *engine.Client
	log       *zap.Logger
	ctx       context.Context
	putEvent  func(context.Context, sidecar.Event) bool
	isLeaving func() bool
	// maxOrderDuration bounds one call to the engine.
	maxOrderDuration time.Duration
	activeCalls      atomic.Int32

	// mu guards the fields below.
	mu    sync.Mutex
	fence *placement.Fence
	// pendingCalls holds the unanswered calls by the fencing token of their order.
	pendingCalls map[int]*peer.Call
	// versionsIdle is closed when no request is left on the versions that the order with
	// token closingFence closes. It is nil when no order waits.
	versionsIdle chan struct{}
	closingFence int
}

func newOrderExecutor(d *sidecarDaemon, store platform.Store, log *zap.Logger) *orderExecutor {
	b := d.settings.Backend
	maxDuration := ms(b.MaxOrderMs)
	if maxDuration == 0 {
		maxDuration = defaultMaxOrderDuration
	}
	return &orderExecutor{
		self: d.self, store: store, engine: d.loop.backend, log: log, ctx: d.ctx, putEvent: d.loop.events.Put,
		isLeaving: d.leaving.Load, maxOrderDuration: maxDuration, pendingCalls: map[int]*peer.Call{},
		fence: placement.NewFence(time.Now(), placement.FenceOptions{EngineChecksTokens: b.ChecksFencing, MaxOrderDuration: maxDuration}),
	}
}

// serve receives an order. The call is answered when the order has ended.
func (o *orderExecutor) serve(call *peer.Call) {
	var order api.PlacementOrder
	if err := call.Decode(&order); err != nil {
		call.Fail(err)
		return
	}
	if o.activeCalls.Add(1) > maxOrderCalls {
		o.activeCalls.Add(-1)
		call.Fail(errkind.New(errkind.Overloaded, "too many placement orders at the same time"))
		return
	}
	go func() {
		defer o.activeCalls.Add(-1)
		o.accept(call, order)
	}()
}

// accept checks an order and passes it to the fence. An order whose token is not the recorded
// one is refused with the recorded token.
func (o *orderExecutor) accept(call *peer.Call, order api.PlacementOrder) {
	recorded, err := o.checkOrder(order)
	if err != nil {
		call.Fail(err)
		return
	}
	if recorded != order.Fence {
		call.Respond(api.PlacementResult{Outcome: api.PlacementOutcomeRefused, Highest: recorded})
		return
	}
	o.mu.Lock()
	_, duplicate := o.pendingCalls[order.Fence]
	if !duplicate {
		o.pendingCalls[order.Fence] = call
	}
	o.mu.Unlock()
	if duplicate {
		call.Fail(errkind.New(errkind.DuplicateInProgress, "order was already received and is in progress"))
		return
	}
	o.handleFenceEvent(placement.OrderReceived{Order: placement.Order{Replica: order.BackendServer, Fence: order.Fence, Load: order.Version}})
}

// checkOrder checks an order against this process and the record in the store. It returns the
// recorded fencing token; an order with another token must be refused. The error has kind
// stale_incarnation, draining, store_unavailable or conflict.
func (o *orderExecutor) checkOrder(order api.PlacementOrder) (int, error) {
	switch {
	case order.BackendServer != o.self.BackendServer || order.Incarnation != o.self.Incarnation:
		return 0, errkind.New(errkind.StaleIncarnation, "order names another backend server or incarnation than this instance")
	case o.isLeaving():
		return 0, errkind.New(errkind.Draining, "instance is leaving")
	}
	record, err := o.readRecord()
	if err != nil {
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "placement record of the backend server cannot be read")
	}
	if record.Fence == order.Fence && record.Version != order.Version {
		return 0, errkind.New(errkind.Conflict, "order and its record in the store name different versions")
	}
	return record.Fence, nil
}

// readRecord reads the placement record of this backend server from the store.
func (o *orderExecutor) readRecord() (api.PlacementRecord, error) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	var record api.PlacementRecord
	object, err := o.store.Get(ctx, placement.RecordKey(o.self.BackendServer))
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(object.Value, &record)
}

// handleFenceEvent passes an event to the fence and carries out its decisions.
func (o *orderExecutor) handleFenceEvent(event placement.FenceEvent) {
	o.mu.Lock()
	decisions := o.fence.Handle(time.Now(), event)
	o.mu.Unlock()
	for _, decision := range decisions {
		switch d := decision.(type) {
		case placement.ForwardOrder:
			go o.execute(d.Order)
		case placement.RefuseOrder:
			o.respond(d.Fence, api.PlacementResult{Outcome: api.PlacementOutcomeRefused, Highest: d.HighestToken})
		case placement.DiscardOrder:
			o.respond(d.Fence, api.PlacementResult{Outcome: api.PlacementOutcomeUnknown, Reason: "a newer order replaced this order"})
		case placement.SetTimer:
			o.log.Info("order waits until an earlier order can no longer take effect", zap.Time("until", d.Until))
			time.AfterFunc(time.Until(d.Until), func() {
				if o.ctx.Err() == nil {
					o.handleFenceEvent(placement.TimerFired{})
				}
			})
		case placement.ReportOutcome:
			o.respond(d.Fence, placementResult(d))
		}
	}
}

// placementResult converts a report of the fence to the answer for the holder.
func placementResult(r placement.ReportOutcome) api.PlacementResult {
	switch {
	case r.Done:
		return api.PlacementResult{Outcome: api.PlacementOutcomeDone}
	case r.OutcomeKnown:
		return api.PlacementResult{Outcome: api.PlacementOutcomeFailed, Reason: "engine did not carry out the order"}
	default:
		return api.PlacementResult{Outcome: api.PlacementOutcomeUnknown, Reason: "engine did not answer, the order may have taken effect"}
	}
}

// respond answers the call of the order with the given token, if it still waits.
func (o *orderExecutor) respond(fence int, result api.PlacementResult) {
	o.mu.Lock()
	call := o.pendingCalls[fence]
	delete(o.pendingCalls, fence)
	o.mu.Unlock()
	if call != nil {
		go call.Respond(result)
	}
}

// execute waits until the versions to be unloaded have no work left, then carries out the
// order. If the order is not done, the closed versions are reopened.
func (o *orderExecutor) execute(order placement.Order) {
	o.log.Info("placement order has started", zap.Int("fence", order.Fence), zap.String("version", order.Load))
	ended := placement.OrderEnded{Fence: order.Fence, OutcomeKnown: true}
	if o.closeOtherVersions(order) {
		outcome := o.applyOrder(order)
		ended.OutcomeKnown, ended.Done, ended.HighestToken = outcome.OutcomeKnown, outcome.Done, outcome.HighestToken
		if outcome.Err != nil {
			o.log.Warn("placement order was not carried out", zap.Int("fence", order.Fence), zap.String("version", order.Load), zap.Error(outcome.Err))
		}
	}
	if !ended.Done {
		o.putEvent(o.ctx, sidecar.ReopenVersions{Fence: order.Fence})
	}
	o.handleFenceEvent(ended)
}

// closeOtherVersions closes all versions except the one of the order and waits until no
// request is left on them. It returns false when the process stops or a newer order has
// replaced this one.
func (o *orderExecutor) closeOtherVersions(order placement.Order) bool {
	idle := make(chan struct{})
	o.mu.Lock()
	o.versionsIdle, o.closingFence = idle, order.Fence
	o.mu.Unlock()
	o.putEvent(o.ctx, sidecar.CloseVersions{Fence: order.Fence, KeepOpen: order.Load})
	for !waitOrTimeout(o.ctx, idle, orderCheckInterval) {
		if o.ctx.Err() != nil || !o.isCurrent(order) {
			return false
		}
	}
	return true
}

// signalVersionsIdle ends the wait of the order with the given token.
func (o *orderExecutor) signalVersionsIdle(fence int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versionsIdle != nil && o.closingFence == fence {
		close(o.versionsIdle)
		o.versionsIdle = nil
	}
}

// isCurrent reports whether the fence still admits the order.
func (o *orderExecutor) isCurrent(order placement.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence.IsCurrent(order)
}

// applyOrder unloads all other versions from the engine, then loads the version of the
// order. It stops at the first step that is not done.
func (o *orderExecutor) applyOrder(order placement.Order) engine.OrderOutcome {
	load, err := o.engine.LoadReport(o.ctx)
	if err != nil {
		return engine.OrderOutcome{OutcomeKnown: true, Err: err}
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
		if outcome := o.sendStep(order, step); !outcome.Done {
			return outcome
		}
	}
	return engine.OrderOutcome{OutcomeKnown: true, Done: true}
}

// sendStep sends one load or unload call to the engine, unless a newer order has replaced
// this one.
func (o *orderExecutor) sendStep(order placement.Order, step engine.Order) engine.OrderOutcome {
	ctx, cancel := context.WithTimeout(o.ctx, o.maxOrderDuration)
	defer cancel()
	o.mu.Lock()
	current := o.fence.IsCurrent(order)
	if current {
		o.fence.Handle(time.Now(), placement.OrderStarted{Fence: order.Fence})
	}
	o.mu.Unlock()
	if !current {
		return engine.OrderOutcome{OutcomeKnown: true, Err: errkind.New(errkind.Conflict, "a newer order replaced this order")}
	}
	return o.engine.SendOrder(ctx, step)
}
