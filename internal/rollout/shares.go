// Package rollout decides which version serves a request while a new version is rolled
// out, and takes traffic away from a version whose errors, latency or ratings get worse.
package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Sample is the result of one answered attempt.
type Sample struct {
	Version string
	Class   string
	Failed  bool
	// FirstTokenMs is the time to first token in milliseconds; 0 when unknown.
	FirstTokenMs float64
	// Rating is the rating service's score from 0 to 1; nil without a rating. A
	// rating that arrives later is passed as a separate sample with RatingOnly set.
	Rating     *float64
	RatingOnly bool
}

// minGoodRating is the lowest rating that counts as good.
const minGoodRating = 0.5

// Limits for versions without a rollout in the manifest, and parameters for all versions.
const (
	defaultMaxErrorRise    = 0.02
	defaultMaxQualityLoss  = 0.05
	defaultMaxLatencyRatio = 1.5
	// maxSlowRise is the tolerated rise of the share of slow answers.
	maxSlowRise = 0.15
	// priorErrorRate and priorSlowRate are the baseline rates before any sample.
	priorErrorRate = 0.01
	priorSlowRate  = 0.10
)

// Kinds of evidence.
const (
	kindErrors = iota
	kindSlow
	kindQuality
	numKinds
)

var cutBackReasons = [numKinds]string{"errors", "latency", "quality"}

// versionState holds the declaration, the progress and the evidence of one version.
type versionState struct {
	declared         manifest.Version
	rollout          api.Rollout
	declaredRevision api.Revision
	// declarationHash is the hash of declared and rollout.
	declarationHash string
	// step is the index of the current rollout step, -1 while unknown.
	step           int
	backedOut      bool
	detectors      [numKinds]cusumDetector
	baselines      [numKinds]rateBaseline
	latencyMedians map[string]*medianEstimator
	cutBack        *api.CutBack
	ownEvidence    api.Evidence
	remoteEvidence map[string]api.Evidence
}

// TrafficShares computes the traffic share of every version in one entry, from the manifest,
// the progress of rollouts and the evidence of all entries. It is not safe for
// concurrent use.
type TrafficShares struct {
	self     string
	revision api.Revision
	versions map[string]*versionState
	// names lists the versions in alphabetical order.
	names []string
	// updateLog lists the keys of the records of other entries in the order of their
	// updates, with repetitions. compactedLen is its length after the last compaction.
	updateLog    []evidenceKey
	compactedLen int
}

// NewTrafficShares returns the traffic shares of an entry. self identifies the entry as the
// origin of evidence and consists of its instance and incarnation.
func NewTrafficShares(self string) *TrafficShares {
	return &TrafficShares{self: self, versions: map[string]*versionState{}}
}

// Apply replaces the manifest snapshot. It keeps the cut-back and the evidence of a
// version whose declaration and rollout are unchanged, because most manifest changes
// concern something else.
func (s *TrafficShares) Apply(snapshot *manifest.Snapshot) {
	s.revision = snapshot.Revision
	next := map[string]*versionState{}
	s.names = nil
	for _, model := range snapshot.Manifest.Models {
		for _, v := range model.Versions {
			declared, _ := snapshot.Version(v.Name)
			rollout := rolloutFor(snapshot, v.Name)
			next[v.Name] = s.carryOver(*declared, rollout)
			s.names = append(s.names, v.Name)
		}
	}
	sort.Strings(s.names)
	s.versions = next
	s.updateLog = slices.DeleteFunc(s.updateLog, func(key evidenceKey) bool {
		state, ok := next[key.version]
		if !ok {
			return true
		}
		_, ok = state.remoteEvidence[key.origin]
		return !ok
	})
}

// rolloutFor returns the rollout of a version, or one with the default limits and no
// steps.
func rolloutFor(snapshot *manifest.Snapshot, version string) api.Rollout {
	if r, ok := snapshot.Rollout(version); ok {
		return *r
	}
	return api.Rollout{Version: version, MaxErrorRise: defaultMaxErrorRise, MaxQualityLoss: defaultMaxQualityLoss, MaxLatencyRatio: defaultMaxLatencyRatio}
}

// carryOver returns the present state of a version if its declaration is unchanged, else
// a new state.
func (s *TrafficShares) carryOver(declared manifest.Version, rollout api.Rollout) *versionState {
	present, ok := s.versions[declared.Name]
	hash := hashDeclaration(declared, rollout)
	if ok && present.declarationHash == hash {
		present.setRevision(s.revision)
		return present
	}
	state := &versionState{declared: declared, rollout: rollout, declaredRevision: s.revision, declarationHash: hash, step: -1, latencyMedians: map[string]*medianEstimator{}, remoteEvidence: map[string]api.Evidence{}}
	state.baselines = [numKinds]rateBaseline{newBaseline(priorErrorRate), newBaseline(priorSlowRate), newBaseline(1 - declared.PriorQuality)}
	if ok {
		// The baselines stay valid when the phase of the version changes.
		state.baselines, state.latencyMedians = present.baselines, present.latencyMedians
	}
	state.ownEvidence = api.Evidence{Origin: s.self, Version: declared.Name, Revision: s.revision}
	return state
}

func hashDeclaration(declared manifest.Version, rollout api.Rollout) string {
	raw, err := json.Marshal([]any{declared, rollout})
	if err != nil {
		panic(fmt.Sprintf("declaration of version %q cannot be encoded as JSON: %v", declared.Name, err))
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(raw))
}

// setRevision raises the revision of the cut-back and the evidence of an unchanged
// declaration, so that a process that started with that revision accepts them.
func (v *versionState) setRevision(revision api.Revision) {
	if v.cutBack != nil {
		v.cutBack.Revision = revision
	}
	v.ownEvidence.Revision = revision
	for origin, e := range v.remoteEvidence {
		e.Revision = revision
		v.remoteEvidence[origin] = e
	}
}

// DeclarationEvent returns the event for the controller of a version's rollout, or false if the
// version is not in the rolling phase or has no steps.
func (s *TrafficShares) DeclarationEvent(version string) (DeclarationChanged, bool) {
	state, ok := s.versions[version]
	if !ok || state.declared.Phase != api.PhaseRolling || len(state.rollout.Steps) == 0 {
		return DeclarationChanged{}, false
	}
	return DeclarationChanged{Rollout: state.rollout, DeclarationHash: state.declarationHash, Revision: s.revision}, true
}

// SetProgress applies the progress of a rollout, read from the store or received from a
// peer. Within one declaration the step never decreases and backing out is final.
func (s *TrafficShares) SetProgress(p api.RolloutProgress) {
	state, ok := s.versions[p.Version]
	if !ok || p.Declaration != state.declarationHash {
		return
	}
	state.step = max(state.step, p.Step)
	state.ownEvidence.Step = state.step
	state.backedOut = state.backedOut || p.State == api.RolloutStateBackedOut
}

// Share returns the largest share of traffic that a version may get, from 0 to 1.
func (s *TrafficShares) Share(version string) float64 {
	state, ok := s.versions[version]
	if !ok {
		return 0
	}
	share := 1.0
	switch state.declared.Phase {
	case api.PhaseWithdrawn, api.PhaseClosing:
		return 0
	case api.PhaseRolling:
		share = state.rollingShare()
	}
	if state.cutBack != nil {
		share = math.Min(share, state.cutBack.Share)
	}
	return share
}

// rollingShare returns the share at the current step of a version that is rolled out.
func (v *versionState) rollingShare() float64 {
	if v.backedOut || v.step < 0 || len(v.rollout.Steps) == 0 {
		return 0
	}
	return v.rollout.Steps[min(v.step, len(v.rollout.Steps)-1)]
}

// trafficPosition returns a hash of a version and a key, from 0 to 1. The version gets
// the keys whose position is below its share. The position does not depend on the share,
// so a key moves at most once while a share rises.
func trafficPosition(version string, key uint64) float64 {
	var keyBytes [8]byte
	for i := range keyBytes {
		keyBytes[i] = byte(key >> (8 * i))
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(version)
	_, _ = hash.Write(keyBytes[:])
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// Choose returns the version that serves a key, "" if there are no candidates. Rolling
// versions get the keys within their share, a serving version gets the others. If no
// candidate has a share, Choose prefers a serving one that is cut back; Alarms lists it.
func (s *TrafficShares) Choose(model string, candidates []string, key uint64) string {
	ordered := append([]string(nil), candidates...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := s.isRolling(ordered[i]), s.isRolling(ordered[j])
		if a != b {
			return a
		}
		return ordered[i] < ordered[j]
	})
	best, bestScore := "", -1.0
	for _, v := range ordered {
		if s.isRolling(v) && trafficPosition(v, key) < s.Share(v) {
			return v
		}
		if score := s.selectionRank(v) + trafficPosition(model+"/"+v, key); score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// selectionRank orders the versions for keys outside all rolling shares, highest first:
// serving versions, rolling versions with a share, serving versions that are cut back.
func (s *TrafficShares) selectionRank(version string) float64 {
	share := s.Share(version)
	switch {
	case !s.isRolling(version) && share > 0:
		return 3
	case share > 0:
		return 2
	case !s.isRolling(version):
		return 1
	}
	return 0
}

func (s *TrafficShares) isRolling(version string) bool {
	state, ok := s.versions[version]
	return ok && state.declared.Phase == api.PhaseRolling
}

// Observe adds a sample and returns the cut-backs that it causes.
func (s *TrafficShares) Observe(_ time.Time, sample Sample) []api.CutBack {
	state, ok := s.versions[sample.Version]
	if !ok {
		return nil
	}
	var counts [numKinds]sampleCounts
	if !sample.RatingOnly {
		counts[kindErrors] = sampleCounts{1, indicator(sample.Failed)}
		state.ownEvidence.Samples++
		state.ownEvidence.Failed += int(counts[kindErrors].bad)
		if sample.FirstTokenMs > 0 && !sample.Failed {
			counts[kindSlow] = sampleCounts{1, indicator(s.isSlow(state, sample))}
			state.ownEvidence.Slow += int(counts[kindSlow].bad)
		}
	}
	if sample.Rating != nil {
		counts[kindQuality] = sampleCounts{1, indicator(*sample.Rating < minGoodRating)}
		state.ownEvidence.Rated++
		state.ownEvidence.Bad += int(counts[kindQuality].bad)
	}
	return s.runDetectors(state, counts)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isSlow reports whether the time to first token exceeds the median by more than the
// allowed ratio. The median is that of the reference version if there is one, else of
// the version itself.
func (s *TrafficShares) isSlow(state *versionState, sample Sample) bool {
	base := state
	if reference, ok := s.referenceVersion(state); ok {
		base = reference
	}
	median, ok := base.latencyMedians[sample.Class]
	if !ok {
		median = &medianEstimator{value: math.Max(base.declared.FirstTokenMs, 1)}
		base.latencyMedians[sample.Class] = median
	}
	slow := sample.FirstTokenMs > median.value*math.Max(state.rollout.MaxLatencyRatio, 1)
	if base == state && !state.detectors[kindSlow].isSuspicious() {
		median.add(sample.FirstTokenMs)
	}
	return slow
}

// referenceVersion returns the version that a rolling version replaces and is compared
// with.
func (s *TrafficShares) referenceVersion(state *versionState) (*versionState, bool) {
	if state.declared.Phase != api.PhaseRolling {
		return nil, false
	}
	reference, ok := s.versions[state.declared.Previous]
	return reference, ok
}

// runDetectors adds new counts, of this entry or of others, to the tests of a version and
// returns the cut-backs that they cause.
func (s *TrafficShares) runDetectors(state *versionState, counts [numKinds]sampleCounts) []api.CutBack {
	base := state
	if reference, ok := s.referenceVersion(state); ok {
		base = reference
	}
	rises := [numKinds]float64{state.rollout.MaxErrorRise, maxSlowRise, state.rollout.MaxQualityLoss}
	var out []api.CutBack
	for kind := range numKinds {
		rise := math.Max(rises[kind], 0.005)
		p0 := math.Min(base.baselines[kind].upperBound()+rise/2, 0.9)
		bad := state.detectors[kind].add(counts[kind], p0, rise)
		if !state.detectors[kind].isSuspicious() {
			state.baselines[kind].add(counts[kind])
		}
		if bad && state.cutBack == nil {
			state.cutBack = &api.CutBack{Version: state.declared.Name, Share: 0, Reason: cutBackReasons[kind], Origin: s.self, Revision: s.revision}
			out = append(out, *state.cutBack)
		}
	}
	return out
}
