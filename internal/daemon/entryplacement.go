package daemon

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/placement"
)

// orderTimeout bounds the wait for the end of a placement order. The holder of the plan
// gives the order up after the same time.
const orderTimeout = 15 * time.Minute

// statusPlanTimeout bounds the read of the placement plan for one status request.
const statusPlanTimeout = time.Second

// holderOptions returns the options of the placement holder, zero without settings.
func holderOptions(s *api.PlacementSettings) placement.HolderOptions {
	if s == nil {
		return placement.HolderOptions{}
	}
	return placement.HolderOptions{
		HolderTimeout: ms(s.HolderMs), OrderTimeout: orderTimeout,
		Planner: placement.PlannerOptions{LoadsPerMinute: s.LoadsPerMinute, LoadBurst: s.LoadBurst, MinDwell: ms(s.DwellMs)},
	}
}

// applyPlacementEffect carries out the effects of model placement.
func (l *entryLoop) applyPlacementEffect(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.SendPlacementOrder:
		go l.sendPlacementOrder(e)
	case entry.ReportDemand:
		l.outbox.enqueue(notification{e.Address, peer.MethodPlacementDemand, e.Demand})
	}
}

// sendPlacementOrder sends a placement order to a sidecar and waits for its end.
func (l *entryLoop) sendPlacementOrder(e entry.SendPlacementOrder) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	answered := entry.PlacementOrderAnswered{BackendServer: e.Order.BackendServer, Fence: e.Order.Fence}
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodPlacementOrder, e.Order, &answered.Result)
	}
	if err != nil {
		answered.Result = api.PlacementResult{Outcome: api.PlacementOutcomeUnknown, Reason: err.Error()}
	}
	l.log.Info("placement order has ended", zap.String("backend_server", e.Order.BackendServer), zap.Int("fence", e.Order.Fence),
		zap.String("version", e.Order.Version), zap.String("outcome", string(answered.Result.Outcome)), zap.String("reason", answered.Result.Reason))
	l.events.Put(l.ctx, answered)
}

// addPlannedVersions adds the planned version of each backend server to the status of an
// entry. Only the holder keeps the plan in memory, so it is read from the store. If that
// fails, the status has no plan.
func (d *entryDaemon) addPlannedVersions(ctx context.Context, s *api.Status) {
	snapshot := d.loop.snapshot.Load()
	if snapshot == nil || !hasManagedPools(snapshot.Manifest) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusPlanTimeout)
	defer cancel()
	object, err := d.store.Get(ctx, placement.PlanKey)
	var plan api.PlacementPlan
	if err != nil || json.Unmarshal(object.Value, &plan) != nil {
		return
	}
	index := map[string]int{}
	for i, server := range s.BackendServers {
		index[server.Name] = i
	}
	for _, p := range plan.Servers {
		i, ok := index[p.Name]
		if !ok {
			i = len(s.BackendServers)
			s.BackendServers = append(s.BackendServers, api.BackendServerStatus{Name: p.Name, State: "not ready"})
		}
		server := &s.BackendServers[i]
		server.Pool, server.Planned, server.PlannedState = p.Pool, p.Version, p.State
	}
}

// hasManagedPools reports whether any pool has replicas that placement manages.
func hasManagedPools(m api.Manifest) bool {
	for _, p := range m.Pools {
		if p.Replicas > 0 {
			return true
		}
	}
	return false
}
