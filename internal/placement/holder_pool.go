package placement

import (
	"fmt"
	"slices"
	"time"
)

// managedServer is a planned server of a pool together with its record.
type managedServer struct {
	Server
	record *serverRecord
}

// stepPools plans every pool of which all records are claimed by this entry.
func (h *Holder) stepPools(now time.Time) {
	demand := h.totalDemand(now)
	for _, pool := range h.pools.Pools {
		servers, ok := h.claimedServers(pool)
		if !ok {
			continue
		}
		versions := slices.Clone(pool.Versions)
		for i := range versions {
			versions[i].Demand = demand[versions[i].Name]
		}
		h.stepPool(now, pool.Name, versions, servers)
	}
}

func (h *Holder) claimedServers(pool Pool) ([]managedServer, bool) {
	var out []managedServer
	for _, s := range h.managedServers(pool) {
		r := h.records[s.Name]
		if !h.isClaimed(r) {
			return nil, false
		}
		out = append(out, managedServer{s, r})
	}
	return out, true
}

// stepPool records the orders for one pool: first the moves chosen by the planner,
// then repeats of orders whose version the server does not hold, then orders that
// remove extra versions.
func (h *Holder) stepPool(now time.Time, pool string, versions []Version, servers []managedServer) {
	replicas := make([]Replica, 0, len(servers))
	for _, s := range servers {
		replicas = append(replicas, h.replicaState(now, versions, s))
	}
	planner, ok := h.planners[pool]
	if !ok {
		planner = NewPlanner(h.opts.Planner)
		if h.hadPredecessor {
			planner.TakeOver(now, replicas)
		}
		h.planners[pool] = planner
	}
	for _, o := range planner.Plan(now, versions, replicas) {
		i := slices.IndexFunc(servers, func(s managedServer) bool { return s.Name == o.Replica })
		replicas[i].Loading, replicas[i].Version = o.Load, ""
		h.recordOrder(servers[i].record, o.Replica, o.Load)
	}
	for i, s := range servers {
		if h.canTakeOrder(now, s) && replicas[i].Loading != "" && planner.TakeLoadToken(now) {
			h.recordOrder(s.record, s.Name, s.record.value.Version)
		}
	}
	for i, s := range servers {
		if h.canTakeOrder(now, s) && replicas[i].Loading == "" && hasRemovableVersions(versions, replicas, s, replicas[i].Version) {
			h.recordOrder(s.record, s.Name, replicas[i].Version)
		}
	}
}

// canTakeOrder reports whether a new order may be recorded for a server.
func (h *Holder) canTakeOrder(now time.Time, s managedServer) bool {
	return s.AcceptsOrders && !s.record.callPending && h.recordCalls < maxRecordCalls && !now.Before(s.record.blockedUntil) && !now.Before(s.record.retryAt) &&
		!s.record.orderPending(now, s.Server, h.opts)
}

// replicaState returns the state of a server for the planner. If the server does not
// hold the version of its record, that version counts as loading, even if a previous
// holder gave the order.
func (h *Holder) replicaState(now time.Time, versions []Version, s managedServer) Replica {
	r := s.record
	state := Replica{
		Name: s.Name, FailureDomain: s.FailureDomain, Fence: r.value.Fence, Running: s.Running,
		Healthy: s.AcceptsOrders && !now.Before(r.blockedUntil) && !now.Before(r.retryAt) && (!r.callPending || r.isOrderWrite),
	}
	target := r.targetVersion()
	declared := slices.ContainsFunc(versions, func(v Version) bool { return v.Name == target })
	switch {
	case r.orderPending(now, s.Server, h.opts):
		// An order for the empty version is pending too: marking the replica as
		// unhealthy keeps the planner from giving it another order.
		state.Loading = target
		state.Healthy = state.Healthy && target != ""
	case !declared:
	case !slices.Contains(s.Versions, target):
		state.Loading = target
	case !s.Serving:
		state.Version = target
		state.Healthy = false
	default:
		state.Version = target
	}
	return state
}

// hasRemovableVersions reports whether a server holds versions other than target, and
// all of them may be removed: each is unused, or enough other servers serve it to
// meet its minimum.
func hasRemovableVersions(versions []Version, replicas []Replica, s managedServer, target string) bool {
	found := false
	for _, held := range s.Versions {
		if held == target {
			continue
		}
		found = true
		i := slices.IndexFunc(versions, func(v Version) bool { return v.Name == held })
		if i >= 0 && versions[i].Used && servingReplicas(replicas, held) < max(versions[i].Min, 1) {
			return false
		}
	}
	return found
}

func servingReplicas(replicas []Replica, version string) int {
	n := 0
	for _, r := range replicas {
		if r.Healthy && r.Loading == "" && r.Version == version {
			n++
		}
	}
	return n
}

// Alarms returns a message for each used version with fewer serving backend servers
// than its minimum. It returns nil unless this entry holds the plan.
func (h *Holder) Alarms() []string {
	if !h.holdsPlan() {
		return nil
	}
	var out []string
	for _, pool := range h.pools.Pools {
		for _, v := range pool.Versions {
			serving := 0
			for _, s := range h.managedServers(pool) {
				if s.AcceptsOrders && s.Serving && slices.Contains(s.Versions, v.Name) {
					serving++
				}
			}
			if required := max(v.Min, 1); v.Used && serving < required {
				out = append(out, fmt.Sprintf("version %s is served by %d of at least %d backend servers of pool %s", v.Name, serving, required, pool.Name))
			}
		}
	}
	return out
}
