package routing

import (
	"cmp"
	"slices"
	"time"
)

// rebuildPools recomputes the members and the subset of every version and
// plain service.
func (f *Fleet) rebuildPools() {
	old := f.pools
	f.pools = map[poolKey]*pool{}
	for i := range f.servers {
		s := &f.servers[i]
		if !s.present {
			continue
		}
		for _, v := range s.Versions {
			f.join(old, poolKey{name: v}, i)
		}
		if s.Service != "" {
			f.join(old, poolKey{name: s.Service, service: true}, i)
		}
	}
	f.probes = f.probes[:0]
	for _, p := range f.pools {
		p.subset = f.subset(p.all)
		f.probes = append(f.probes, p.subset...)
	}
	slices.Sort(f.probes)
	f.probes = slices.Compact(f.probes)
}

func (f *Fleet) join(old map[poolKey]*pool, key poolKey, i int) {
	p := f.pools[key]
	if p == nil {
		p = &pool{}
		if held := old[key]; held != nil {
			p.next = held.next
		}
		f.pools[key] = p
	}
	p.all = append(p.all, int32(i)) //nolint:gosec // a fleet has far fewer than 2^31 servers
}

// ranked is a server with its rendezvous hash.
type ranked struct {
	server int32
	hash   uint64
	// round is the server's rank within its failure domain.
	round int
}

// subset returns the members that this entry sends to: the highest rendezvous
// hashes, taken from the failure domains in turn so that each has members.
func (f *Fleet) subset(all []int32) []int32 {
	if len(all) <= f.opts.SubsetSize {
		return slices.Clone(all)
	}
	order := make([]ranked, len(all))
	for k, i := range all {
		order[k] = ranked{server: i, hash: pairHash(f.self.Instance, f.servers[i].Name)}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	seen := map[string]int{}
	for k := range order {
		domain := f.servers[order[k].server].FailureDomain
		order[k].round = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	out := make([]int32, f.opts.SubsetSize)
	for k := range out {
		out[k] = order[k].server
	}
	return out
}

// StaleReports returns up to limit servers of this entry's subsets whose last
// report is due for a probe, oldest first. A returned server is not returned
// again until another ProbeAfter has passed.
func (f *Fleet) StaleReports(now time.Time, limit int) []string {
	due := make([]int32, 0, len(f.probes))
	for _, i := range f.probes {
		l := &f.servers[i].load
		reportDue := !l.known || now.Sub(l.asOf) >= f.opts.ProbeAfter
		if reportDue && (l.probedAt.IsZero() || now.Sub(l.probedAt) >= f.opts.ProbeAfter) {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b int32) int { return f.servers[a].load.asOf.Compare(f.servers[b].load.asOf) })
	due = due[:min(limit, len(due))]
	names := make([]string, len(due))
	for k, i := range due {
		f.servers[i].load.probedAt = now
		names[k] = f.servers[i].Name
	}
	return names
}
