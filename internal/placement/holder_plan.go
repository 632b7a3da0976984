package placement

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/borageflow/borageflow/api"
)

// planState is a Holder's view of the store object placement/plan.
type planState struct {
	rank int
	// rankSince and holderSince are the times of the last change of rank and holder.
	rankSince   time.Time
	holderSince time.Time
	// known reports whether the object was read; version is 0 if it does not exist.
	known   bool
	version int64
	plan    api.PlacementPlan
	// changedAt is when a change of the object was last observed.
	changedAt time.Time
	lastRead  time.Time
	// retryAt is the earliest time of the next call after a failed one.
	retryAt time.Time
	// callPending reports whether a store call for the plan is pending.
	callPending bool
	// mustRead reports whether the plan must be read before this entry may act on it.
	mustRead bool
	// pendingWrite is the plan of the pending write, or nil.
	pendingWrite *api.PlacementPlan
}

// setRank sets the rank of this entry among the candidates.
func (p *planState) setRank(now time.Time, rank int) {
	if rank != p.rank || p.rankSince.IsZero() {
		p.rank, p.rankSince = rank, now
	}
}

func (p *planState) isCandidate() bool { return !p.rankSince.IsZero() && p.rank <= maxWatcherRank }

func (h *Holder) renewInterval() time.Duration { return h.opts.HolderTimeout / 3 }

// holdsPlan reports whether this entry may act as the holder of the plan.
func (h *Holder) holdsPlan() bool {
	p := &h.plan
	return p.known && !p.mustRead && p.version != 0 && p.plan.Holder == h.self
}

// HoldsPlan reports whether this entry holds the plan.
func (h *Holder) HoldsPlan() bool { return h.holdsPlan() }

// stepPlan reads or writes the plan if that is due and no call is pending.
func (h *Holder) stepPlan(now time.Time) {
	p := &h.plan
	if p.callPending || now.Before(p.retryAt) {
		return
	}
	watch := p.isCandidate() && !h.holdsPlan() && now.Sub(p.lastRead) >= h.renewInterval()
	if p.mustRead || watch {
		p.callPending = true
		h.emit(ReadObject{Key: PlanKey})
		return
	}
	next, due := h.nextPlanWrite(now)
	if !due {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	p.callPending, p.pendingWrite = true, &next
	h.emit(WriteObject{Key: PlanKey, Value: value, IfVersion: p.version})
}

// nextPlanWrite returns the plan to write, and whether a write is due. The holder
// releases, updates or renews the plan; a candidate takes it.
func (h *Holder) nextPlanWrite(now time.Time) (api.PlacementPlan, bool) {
	p := &h.plan
	next := api.PlacementPlan{Holder: h.self, Revision: h.pools.Revision, RenewedAt: int(now.UnixMilli())}
	if h.holdsPlan() {
		if !p.isCandidate() && now.Sub(p.rankSince) >= releaseDelay {
			next.Holder, next.Servers = "", p.plan.Servers
			return next, true
		}
		next.Servers = h.plannedServers(now)
		changed := !reflect.DeepEqual(next.Servers, p.plan.Servers) && now.Sub(p.changedAt) >= planInterval
		return next, changed || now.Sub(p.changedAt) >= h.renewInterval()
	}
	next.Servers = p.plan.Servers
	return next, p.known && p.isCandidate() && h.mayTakePlan(now)
}

// mayTakePlan reports whether a candidate may take the plan from its current holder.
// The timeout grows with the rank, so that lower ranks take it first.
func (h *Holder) mayTakePlan(now time.Time) bool {
	p := &h.plan
	if now.Sub(p.changedAt) >= time.Duration(1+p.rank)*h.opts.HolderTimeout {
		return true
	}
	free := p.version == 0 || p.plan.Holder == "" || p.plan.Holder == h.self
	settled := now.Sub(p.rankSince) >= preemptDelay && now.Sub(p.holderSince) >= preemptDelay
	return p.rank == 0 && (free || settled)
}

// handlePlanRead updates the state of the plan from the store.
func (h *Holder) handlePlanRead(now time.Time, e ObjectRead) {
	p := &h.plan
	p.callPending, p.lastRead = false, now
	var plan api.PlacementPlan
	if e.Failed || !e.NotFound && json.Unmarshal(e.Value, &plan) != nil {
		p.retryAt = now.Add(h.opts.StoreBackoff)
		return
	}
	p.mustRead = false
	if p.known && e.Version == p.version {
		return
	}
	h.invalidateRecords()
	if plan.Holder != p.plan.Holder || !p.known {
		p.holderSince = now
	}
	p.known, p.version, p.plan, p.changedAt = true, e.Version, plan, now
}

func (h *Holder) handlePlanWritten(now time.Time, e ObjectWritten) {
	p := &h.plan
	p.callPending = false
	next := p.pendingWrite
	p.pendingWrite = nil
	switch e.Outcome {
	case WriteSucceeded:
		if p.plan.Holder != h.self {
			p.holderSince = now
			h.invalidateRecords()
			h.planners, h.hadPredecessor = map[string]*Planner{}, p.version != 0
		}
		p.version, p.plan, p.changedAt = e.Version, *next, now
	case WriteFailed:
		p.retryAt = now.Add(h.opts.StoreBackoff)
	default:
		p.mustRead = true
	}
}

// invalidateRecords marks all records as unknown after the plan was changed, so that
// this entry reads and claims them again before it gives orders.
func (h *Holder) invalidateRecords() {
	for _, r := range h.records {
		r.known = false
	}
}

// plannedServers returns the servers of the managed pools as listed in the plan.
func (h *Holder) plannedServers(now time.Time) []api.PlannedServer {
	var out []api.PlannedServer
	for _, pool := range h.pools.Pools {
		for _, s := range h.managedServers(pool) {
			planned := api.PlannedServer{Name: s.Name, Pool: pool.Name}
			if r := h.records[s.Name]; r != nil && r.known {
				planned.Version, planned.Fence, planned.State = r.value.Version, r.value.Fence, h.serverState(now, s, r)
			}
			out = append(out, planned)
		}
	}
	return out
}

// States of a planned server in the plan object: it holds its version, an order is
// pending or to be repeated, its last order failed, or its sidecar accepts no orders.
const (
	StateHeld    = "held"
	StateOrdered = "ordered"
	StateFailed  = "failed"
	StateAway    = "away"
)

func (h *Holder) serverState(now time.Time, s Server, r *serverRecord) string {
	switch {
	case !s.AcceptsOrders:
		return StateAway
	case now.Before(r.blockedUntil):
		return StateFailed
	case r.orderPending(now, s, h.opts) || !hasOnlyVersion(s, r.value.Version):
		return StateOrdered
	default:
		return StateHeld
	}
}
