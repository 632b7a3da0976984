package placement

import (
	"fmt"
	"slices"
	"time"
)

// managedServer is a server of a pool with its record.
type managedServer struct {
	Server
	record *record
}

// stepPools plans each pool whose records are all claimed.
func (h *Holder) stepPools(now time.Time) {
	demand := h.demands(now)
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
	for _, s := range h.managed(pool) {
		r := h.records[s.Name]
		if !h.claimed(r) {
			return nil, false
		}
		out = append(out, managedServer{s, r})
	}
	return out, true
}

// stepPool gives the orders of one pool: moves, then repeats of orders that did
// not last, then the removal of versions that a server should not hold.
func (h *Holder) stepPool(now time.Time, pool string, versions []Version, servers []managedServer) {
	replicas := make([]Replica, 0, len(servers))
	for _, s := range servers {
		replicas = append(replicas, h.replica(now, versions, s))
	}
	planner, ok := h.planner[pool]
	if !ok {
		planner = NewPlanner(h.opts.Planner)
		if h.tookOver {
			planner.TakeOver(now, replicas)
		}
		h.planner[pool] = planner
	}
	for _, o := range planner.Plan(now, versions, replicas) {
		i := slices.IndexFunc(servers, func(s managedServer) bool { return s.Name == o.Replica })
		replicas[i].Loading, replicas[i].Version = o.Load, ""
		h.order(servers[i].record, o.Replica, o.Load)
	}
	for i, s := range servers {
		if h.quiet(now, s) && replicas[i].Loading != "" && planner.TakeLoad(now) {
			h.order(s.record, s.Name, s.record.value.Version)
		}
	}
	for i, s := range servers {
		if h.quiet(now, s) && replicas[i].Loading == "" && mayTidy(versions, replicas, s, replicas[i].Version) {
			h.order(s.record, s.Name, replicas[i].Version)
		}
	}
}

// quiet reports whether an order may be given to a server now.
func (h *Holder) quiet(now time.Time, s managedServer) bool {
	return s.Orderable && !s.record.busy && h.calls < maxRecordCalls && !now.Before(s.record.blockedUntil) && !now.Before(s.record.retryAt) &&
		!s.record.pending(now, s.Server, h.opts)
}

// replica states a server as the planner sees it. A recorded order whose version
// the server does not hold counts as under way, whoever gave it.
func (h *Holder) replica(now time.Time, versions []Version, s managedServer) Replica {
	r := s.record
	replica := Replica{
		Name: s.Name, FailureDomain: s.FailureDomain, Fence: r.value.Fence, Running: s.Running,
		Healthy: s.Orderable && !now.Before(r.blockedUntil) && !now.Before(r.retryAt) && (!r.busy || r.isOrder),
	}
	target := r.target()
	declared := slices.ContainsFunc(versions, func(v Version) bool { return v.Name == target })
	switch {
	case r.pending(now, s.Server, h.opts):
		// The empty version is loading too, so that the server takes no other order.
		replica.Loading = target
		replica.Healthy = replica.Healthy && target != ""
	case !declared:
	case !slices.Contains(s.Versions, target):
		replica.Loading = target
	case !s.Serving:
		replica.Version = target
		replica.Healthy = false
	default:
		replica.Version = target
	}
	return replica
}

// mayTidy reports whether a server holds versions besides its own that may go:
// those without use, and those that other servers serve at their minimum.
func mayTidy(versions []Version, replicas []Replica, s managedServer, own string) bool {
	extra := false
	for _, held := range s.Versions {
		if held == own {
			continue
		}
		extra = true
		i := slices.IndexFunc(versions, func(v Version) bool { return v.Name == held })
		if i >= 0 && versions[i].Used && serving(replicas, held) < max(versions[i].Min, 1) {
			return false
		}
	}
	return extra
}

func serving(replicas []Replica, version string) int {
	n := 0
	for _, r := range replicas {
		if r.Healthy && r.Loading == "" && r.Version == version {
			n++
		}
	}
	return n
}

// Alarms names the used versions that have fewer serving servers than their
// minimum, while this entry holds the plan.
func (h *Holder) Alarms() []string {
	if !h.holds() {
		return nil
	}
	var out []string
	for _, pool := range h.pools.Pools {
		for _, v := range pool.Versions {
			n := 0
			for _, s := range h.managed(pool) {
				if s.Orderable && s.Serving && slices.Contains(s.Versions, v.Name) {
					n++
				}
			}
			if least := max(v.Min, 1); v.Used && n < least {
				out = append(out, fmt.Sprintf("version %s is served by %d of at least %d backend servers of pool %s", v.Name, n, least, pool.Name))
			}
		}
	}
	return out
}
