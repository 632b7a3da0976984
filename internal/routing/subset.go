package routing

import (
	"cmp"
	"slices"
	"time"
)

// rebuildPools recomputes the members and the subset of every version and plain
// service, and keeps the round-robin positions.
func (f *Fleet) rebuildPools() {
	old := f.pools
	f.pools = map[poolKey]*pool{}
	for i := range f.servers {
		s := &f.servers[i]
		if !s.present {
			continue
		}
		for _, v := range s.Versions {
			f.addToPool(old, poolKey{name: v}, i)
		}
		if s.Service != "" {
			f.addToPool(old, poolKey{name: s.Service, isService: true}, i)
		}
	}
	f.probeCandidates = f.probeCandidates[:0]
	for _, p := range f.pools {
		p.subset = f.chooseSubset(p.members)
		f.probeCandidates = append(f.probeCandidates, p.subset...)
	}
	slices.Sort(f.probeCandidates)
	f.probeCandidates = slices.Compact(f.probeCandidates)
}

func (f *Fleet) addToPool(old map[poolKey]*pool, key poolKey, i int) {
	p := f.pools[key]
	if p == nil {
		p = &pool{}
		if previous := old[key]; previous != nil {
			p.nextRoundRobin = previous.nextRoundRobin
		}
		f.pools[key] = p
	}
	p.members = append(p.members, int32(i)) //nolint:gosec // a fleet has far fewer than 2^31 servers
}

// rankedServer is a server with its rendezvous hash.
type rankedServer struct {
	// server is an index into Fleet.servers.
	server int32
	hash   uint64
	// domainRank is the server's rank by hash within its failure domain, from 0.
	domainRank int
}

// chooseSubset returns the members that this entry sends to. It takes the servers
// with the highest rendezvous hashes from the failure domains in turn, so that
// every domain is represented.
func (f *Fleet) chooseSubset(all []int32) []int32 {
	if len(all) <= f.opts.SubsetSize {
		return slices.Clone(all)
	}
	order := make([]rankedServer, len(all))
	for k, i := range all {
		order[k] = rankedServer{server: i, hash: pairHash(f.location.Instance, f.servers[i].Name)}
	}
	slices.SortFunc(order, func(a, b rankedServer) int { return cmp.Compare(b.hash, a.hash) })
	domainCounts := map[string]int{}
	for k := range order {
		domain := f.servers[order[k].server].FailureDomain
		order[k].domainRank = domainCounts[domain]
		domainCounts[domain]++
	}
	slices.SortStableFunc(order, func(a, b rankedServer) int { return cmp.Compare(a.domainRank, b.domainRank) })
	out := make([]int32, f.opts.SubsetSize)
	for k := range out {
		out[k] = order[k].server
	}
	return out
}

// ProbeTargets returns the names of up to limit servers of this entry's subsets
// that are due for a probe, those with the oldest reports first. A server is not
// returned again until Options.ProbeAfter has passed.
func (f *Fleet) ProbeTargets(now time.Time, limit int) []string {
	due := make([]int32, 0, len(f.probeCandidates))
	for _, i := range f.probeCandidates {
		l := &f.servers[i].load
		reportDue := !l.hasReport || now.Sub(l.reportedAt) >= f.opts.ProbeAfter
		if reportDue && (l.probedAt.IsZero() || now.Sub(l.probedAt) >= f.opts.ProbeAfter) {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b int32) int { return f.servers[a].load.reportedAt.Compare(f.servers[b].load.reportedAt) })
	due = due[:min(limit, len(due))]
	names := make([]string, len(due))
	for k, i := range due {
		f.servers[i].load.probedAt = now
		names[k] = f.servers[i].Name
	}
	return names
}
