package rollout

import (
	"slices"
	"sort"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// MergeCutBacks applies the cut-backs of peers. It ignores those from before the version's
// present declaration. A process raises the revision of its own cut-backs in Apply while
// the declaration stays the same, so that they are not ignored.
func (s *TrafficShares) MergeCutBacks(cutBacks []api.CutBack) {
	for _, c := range cutBacks {
		state, ok := s.versions[c.Version]
		if !ok || manifest.IsNewer(state.declaredRevision, c.Revision) {
			continue
		}
		if state.cutBack == nil || c.Share < state.cutBack.Share {
			copied := c
			state.cutBack = &copied
		}
	}
}

// CutBacks returns the cut-backs in force, sorted by version.
func (s *TrafficShares) CutBacks() []api.CutBack {
	var out []api.CutBack
	for _, state := range s.versions {
		if state.cutBack != nil {
			out = append(out, *state.cutBack)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// MergeEvidence adds evidence of other entries and returns the cut-backs that it causes.
// The counters of an origin only increase, so a record that arrives twice, late or
// through several peers is counted once.
func (s *TrafficShares) MergeEvidence(records []api.Evidence) []api.CutBack {
	var out []api.CutBack
	for _, e := range records {
		state, ok := s.versions[e.Version]
		if !ok || e.Origin == s.self || e.Origin == "" || manifest.IsNewer(state.declaredRevision, e.Revision) {
			continue
		}
		known := state.remoteEvidence[e.Origin]
		if e.Samples+e.Rated <= known.Samples+known.Rated {
			continue
		}
		state.remoteEvidence[e.Origin] = e
		s.markUpdated(evidenceKey{e.Version, e.Origin})
		out = append(out, s.runDetectors(state, countIncreases(e, known))...)
	}
	return out
}

// countIncreases returns by how much the counters of a exceed those of b, by kind.
func countIncreases(a, b api.Evidence) [numKinds]sampleCounts {
	increase := func(x, y int) float64 { return float64(max(x-y, 0)) }
	return [numKinds]sampleCounts{
		{increase(a.Samples, b.Samples), increase(a.Failed, b.Failed)},
		{increase(a.Samples-a.Failed, b.Samples-b.Failed), increase(a.Slow, b.Slow)},
		{increase(a.Rated, b.Rated), increase(a.Bad, b.Bad)},
	}
}

// EvidenceForDigest returns up to limit records for the digest to a peer. First come this
// entry's own records: those of all rolling versions and one of the other versions,
// round-robin by turn. Half of the remaining records are the latest updates from other
// entries, so that new evidence spreads fast. The rest is chosen round-robin, so that
// every record is sent eventually. The choice does not depend on the counters, because
// sending bad results first would bias the tests.
func (s *TrafficShares) EvidenceForDigest(limit, turn int) []api.Evidence {
	out := s.ownEvidence(turn)
	out = out[:min(len(out), limit)]
	updatesLeft := (limit - len(out) + 1) / 2
	for i := len(s.updateLog) - 1; i >= 0 && updatesLeft > 0; i-- {
		out = append(out, s.versions[s.updateLog[i].version].remoteEvidence[s.updateLog[i].origin])
		updatesLeft--
	}
	for i := 0; i < len(s.updateLog) && len(out) < limit; i++ {
		key := s.updateLog[(turn*limit+i)%len(s.updateLog)]
		out = append(out, s.versions[key.version].remoteEvidence[key.origin])
	}
	return out
}

// ownEvidence returns this entry's records of all rolling versions and one of another
// version, round-robin by turn.
func (s *TrafficShares) ownEvidence(turn int) []api.Evidence {
	var out, others []api.Evidence
	for _, name := range s.names {
		state := s.versions[name]
		if state.ownEvidence.Samples+state.ownEvidence.Rated == 0 {
			continue
		}
		if state.declared.Phase == api.PhaseRolling {
			out = append(out, state.ownEvidence)
			continue
		}
		others = append(others, state.ownEvidence)
	}
	if len(others) > 0 {
		out = append(out, others[turn%len(others)])
	}
	return out
}

// evidenceKey identifies the evidence of one other entry on one version.
type evidenceKey struct{ version, origin string }

// markUpdated appends the key of an updated record to the update log. When the log has
// grown to twice its last compacted length plus 16, it is compacted to the latest
// mention of each key.
func (s *TrafficShares) markUpdated(key evidenceKey) {
	s.updateLog = append(s.updateLog, key)
	if len(s.updateLog) < 2*s.compactedLen+16 {
		return
	}
	seen := make(map[evidenceKey]bool, s.compactedLen)
	latest := make([]evidenceKey, 0, s.compactedLen)
	for i := len(s.updateLog) - 1; i >= 0; i-- {
		if !seen[s.updateLog[i]] {
			seen[s.updateLog[i]] = true
			latest = append(latest, s.updateLog[i])
		}
	}
	slices.Reverse(latest)
	s.updateLog, s.compactedLen = latest, len(latest)
}

// TotalEvidence returns the evidence on a version, summed over this entry and all others.
func (s *TrafficShares) TotalEvidence(version string) api.Evidence {
	state, ok := s.versions[version]
	if !ok {
		return api.Evidence{Version: version, Revision: s.revision}
	}
	sum := state.ownEvidence
	sum.Origin = ""
	for _, e := range state.remoteEvidence {
		sum.Samples += e.Samples
		sum.Failed += e.Failed
		sum.Slow += e.Slow
		sum.Rated += e.Rated
		sum.Bad += e.Bad
	}
	return sum
}

// Alarms returns the versions, sorted, that are cut back but still serve because their
// model has no other version with a share of the traffic.
func (s *TrafficShares) Alarms() []string {
	var out []string
	for name, state := range s.versions {
		if state.cutBack != nil && state.declared.Phase == api.PhaseServing && !s.hasAlternative(state) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (s *TrafficShares) hasAlternative(state *versionState) bool {
	for _, other := range s.versions {
		if other != state && other.declared.Model == state.declared.Model && s.Share(other.declared.Name) > 0 {
			return true
		}
	}
	return false
}
