package rollout

import (
	"slices"
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
		old := w.remote[e.Origin]
		if e.Samples+e.Rated <= old.Samples+old.Rated {
			continue
		}
		w.remote[e.Origin] = e
		s.touch(source{e.Version, e.Origin})
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
// of rolling versions and one of the others in turn, then for half of the room
// the records that arrived last, so that news spreads first, and for the rest
// what else it holds in turn, so that nothing is left out. The choice does not
// look at the counters: sending bad news first would bias the tests.
func (s *Shares) Evidence(limit, turn int) []api.Evidence {
	out := s.ownEvidence(turn)
	out = out[:min(len(out), limit)]
	newest := (limit - len(out) + 1) / 2
	for i := len(s.recent) - 1; i >= 0 && newest > 0; i-- {
		out = append(out, s.versions[s.recent[i].version].remote[s.recent[i].origin])
		newest--
	}
	for i := 0; i < len(s.recent) && len(out) < limit; i++ {
		r := s.recent[(turn*limit+i)%len(s.recent)]
		out = append(out, s.versions[r.version].remote[r.origin])
	}
	return out
}

func (s *Shares) ownEvidence(turn int) []api.Evidence {
	var out, others []api.Evidence
	for _, name := range s.names {
		w := s.versions[name]
		if w.own.Samples+w.own.Rated == 0 {
			continue
		}
		if w.declared.Phase == api.PhaseRolling {
			out = append(out, w.own)
			continue
		}
		others = append(others, w.own)
	}
	if len(others) > 0 {
		out = append(out, others[turn%len(others)])
	}
	return out
}

// source names a record of another entry.
type source struct{ version, origin string }

// touch notes that a record has news.
func (s *Shares) touch(r source) {
	s.recent = append(s.recent, r)
	if len(s.recent) < 2*s.held+16 {
		return
	}
	// Keeps the last mention of every record.
	seen := make(map[source]bool, s.held)
	keep := make([]source, 0, s.held)
	for i := len(s.recent) - 1; i >= 0; i-- {
		if !seen[s.recent[i]] {
			seen[s.recent[i]] = true
			keep = append(keep, s.recent[i])
		}
	}
	slices.Reverse(keep)
	s.recent, s.held = keep, len(keep)
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
