package placement

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/borageflow/borageflow/api"
)

// planObject is what a Holder knows of the object placement/plan.
type planObject struct {
	rank int
	// rankAt is when the rank last changed, and holderAt when the holder did.
	rankAt   time.Time
	holderAt time.Time
	known    bool
	version  int64
	plan     api.PlacementPlan
	// seenAt is when the object was last seen to change.
	seenAt   time.Time
	lastRead time.Time
	retryAt  time.Time
	busy     bool
	mustRead bool
	writing  *api.PlacementPlan
}

func (p *planObject) candidate(now time.Time, rank int) {
	if rank != p.rank || p.rankAt.IsZero() {
		p.rank, p.rankAt = rank, now
	}
}

func (p *planObject) isCandidate() bool { return !p.rankAt.IsZero() && p.rank <= maxRank }

func (h *Holder) renewEvery() time.Duration { return h.opts.HolderTimeout / 3 }

// holds reports whether this entry may act as the holder.
func (h *Holder) holds() bool {
	p := &h.plan
	return p.known && !p.mustRead && p.version != 0 && p.plan.Holder == h.self
}

// Holds reports whether this entry holds the plan.
func (h *Holder) Holds() bool { return h.holds() }

// stepPlan makes the next call for the plan, if one is due.
func (h *Holder) stepPlan(now time.Time) {
	p := &h.plan
	if p.busy || now.Before(p.retryAt) {
		return
	}
	watch := p.isCandidate() && !h.holds() && now.Sub(p.lastRead) >= h.renewEvery()
	if p.mustRead || watch {
		p.busy = true
		h.emit(ReadObject{Key: PlanKey})
		return
	}
	next, due := h.nextPlanObject(now)
	if !due {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	p.busy, p.writing = true, &next
	h.emit(WriteObject{Key: PlanKey, Value: value, IfVersion: p.version})
}

// nextPlanObject returns the plan to write at now, if any.
func (h *Holder) nextPlanObject(now time.Time) (api.PlacementPlan, bool) {
	p := &h.plan
	next := api.PlacementPlan{Holder: h.self, Revision: h.pools.Revision, RenewedAt: int(now.UnixMilli())}
	if h.holds() {
		if !p.isCandidate() && now.Sub(p.rankAt) >= giveUpAfter {
			next.Holder, next.Servers = "", p.plan.Servers
			return next, true
		}
		next.Servers = h.planned(now)
		changed := !reflect.DeepEqual(next.Servers, p.plan.Servers) && now.Sub(p.seenAt) >= planEvery
		return next, changed || now.Sub(p.seenAt) >= h.renewEvery()
	}
	next.Servers = p.plan.Servers
	return next, p.known && p.isCandidate() && h.mayTake(now)
}

// mayTake reports whether a candidate may take the plan from its present holder.
func (h *Holder) mayTake(now time.Time) bool {
	p := &h.plan
	if now.Sub(p.seenAt) >= time.Duration(1+p.rank)*h.opts.HolderTimeout {
		return true
	}
	free := p.version == 0 || p.plan.Holder == "" || p.plan.Holder == h.self
	settled := now.Sub(p.rankAt) >= preemptAfter && now.Sub(p.holderAt) >= preemptAfter
	return p.rank == 0 && (free || settled)
}

// planRead takes the plan that the store holds.
func (h *Holder) planRead(now time.Time, e ObjectRead) {
	p := &h.plan
	p.busy, p.lastRead = false, now
	var plan api.PlacementPlan
	if e.Failed || !e.NotFound && json.Unmarshal(e.Value, &plan) != nil {
		p.retryAt = now.Add(h.opts.BackOff)
		return
	}
	p.mustRead = false
	if p.known && e.Version == p.version {
		return
	}
	h.forgetRecords()
	if plan.Holder != p.plan.Holder || !p.known {
		p.holderAt = now
	}
	p.known, p.version, p.plan, p.seenAt = true, e.Version, plan, now
}

func (h *Holder) planWritten(now time.Time, e ObjectWritten) {
	p := &h.plan
	p.busy = false
	next := p.writing
	p.writing = nil
	switch e.Outcome {
	case Written:
		if p.plan.Holder != h.self {
			p.holderAt = now
			h.forgetRecords()
			h.planner, h.tookOver = map[string]*Planner{}, p.version != 0
		}
		p.version, p.plan, p.seenAt = e.Version, *next, now
	case Failed:
		p.retryAt = now.Add(h.opts.BackOff)
	default:
		p.mustRead = true
	}
}

// forgetRecords makes a new holder read and write every record again.
func (h *Holder) forgetRecords() {
	for _, r := range h.records {
		r.known = false
	}
}

// planned lists the servers of the managed pools for the plan.
func (h *Holder) planned(now time.Time) []api.PlannedServer {
	var out []api.PlannedServer
	for _, pool := range h.pools.Pools {
		for _, s := range h.managed(pool) {
			planned := api.PlannedServer{Name: s.Name, Pool: pool.Name}
			if r := h.records[s.Name]; r != nil && r.known {
				planned.Version, planned.Fence, planned.State = r.value.Version, r.value.Fence, h.stateOf(now, s, r)
			}
			out = append(out, planned)
		}
	}
	return out
}

// States of a planned server.
const (
	StateHeld    = "held"
	StateOrdered = "ordered"
	StateFailed  = "failed"
	StateAway    = "away"
)

func (h *Holder) stateOf(now time.Time, s Server, r *record) string {
	switch {
	case !s.Orderable:
		return StateAway
	case now.Before(r.blockedUntil):
		return StateFailed
	case r.pending(now, s, h.opts) || !holdsOnly(s, r.value.Version):
		return StateOrdered
	default:
		return StateHeld
	}
}
