package rollout

import (
	"sort"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Merge takes cut-backs of peers. One that was made before the version's present
// declaration is ignored; holders carry theirs to newer revisions, see Apply.
func (s *Shares) Merge(cutBacks []api.CutBack) {
	for _, c := range cutBacks {
		w, ok := s.versions[c.Version]
		if !ok || manifest.Newer(w.declaredAt, c.Revision) {
			continue
		}
		if w.cut == nil || c.Share < w.cut.Share {
			own := c
			w.cut = &own
		}
	}
}

// CutBacks returns the cut-backs in force, sorted by version.
func (s *Shares) CutBacks() []api.CutBack {
	var out []api.CutBack
	for _, w := range s.versions {
		if w.cut != nil {
			out = append(out, *w.cut)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// MergeEvidence takes evidence of other entries and returns the cut-backs that
// it causes. Counters of an origin only grow, so that a record that arrives
// twice, late or by several ways counts once.
func (s *Shares) MergeEvidence(records []api.Evidence) []api.CutBack {
	var out []api.CutBack
	for _, e := range records {
		w, ok := s.versions[e.Version]
		if !ok || e.Origin == s.self || e.Origin == "" || manifest.Newer(w.declaredAt, e.Revision) {
			continue
		}
		old, seen := w.remote[e.Origin]
		if e.Samples+e.Rated <= old.Samples+old.Rated {
			continue
		}
		if !seen {
			w.origins = append(w.origins, e.Origin)
		}
		w.remote[e.Origin] = e
		out = append(out, s.feed(w, difference(e, old))...)
	}
	return out
}

func difference(a, b api.Evidence) [kinds]counts {
	n := func(x, y int) float64 { return float64(max(x-y, 0)) }
	return [kinds]counts{
		{n(a.Samples, b.Samples), n(a.Failed, b.Failed)},
		{n(a.Samples-a.Failed, b.Samples-b.Failed), n(a.Slow, b.Slow)},
		{n(a.Rated, b.Rated), n(a.Bad, b.Bad)},
	}
}

// Evidence returns up to limit records for a digest to a peer: this entry's own
// of rolling versions first, then the others it holds, starting at turn, so that
// successive digests go through all of them.
func (s *Shares) Evidence(limit, turn int) []api.Evidence {
	var out []api.Evidence
	total := 0
	for _, name := range s.names {
		w := s.versions[name]
		total += len(w.origins) + 1
		if len(out) < limit && w.declared.Phase == api.PhaseRolling && w.own.Samples+w.own.Rated > 0 {
			out = append(out, w.own)
		}
	}
	for i := 0; i < total && len(out) < limit; i++ {
		e, ok := s.record((turn*limit + i) % total)
		if ok {
			out = append(out, e)
		}
	}
	return out
}

// record returns the n-th record held: per version the others' in the order of
// their arrival, then this entry's own.
func (s *Shares) record(n int) (api.Evidence, bool) {
	for _, name := range s.names {
		w := s.versions[name]
		if n < len(w.origins) {
			return w.remote[w.origins[n]], true
		}
		if n == len(w.origins) {
			ownFirst := w.declared.Phase == api.PhaseRolling
			return w.own, !ownFirst && w.own.Samples+w.own.Rated > 0
		}
		n -= len(w.origins) + 1
	}
	return api.Evidence{}, false
}

// Sum returns the evidence of all origins on a version, for its Advancer.
func (s *Shares) Sum(version string) api.Evidence {
	w, ok := s.versions[version]
	if !ok {
		return api.Evidence{Version: version, Revision: s.revision}
	}
	sum := w.own
	sum.Origin = ""
	for _, e := range w.remote {
		sum.Samples += e.Samples
		sum.Failed += e.Failed
		sum.Slow += e.Slow
		sum.Rated += e.Rated
		sum.Bad += e.Bad
	}
	return sum
}

// Alarms returns the versions that are cut back and serve all the same, because
// their model has no other version to take the traffic.
func (s *Shares) Alarms() []string {
	var out []string
	for name, w := range s.versions {
		if w.cut != nil && w.declared.Phase == api.PhaseServing && !s.hasAlternative(w) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (s *Shares) hasAlternative(w *watched) bool {
	for _, other := range s.versions {
		if other != w && other.declared.Model == w.declared.Model && s.Share(other.declared.Name) > 0 {
			return true
		}
	}
	return false
}
