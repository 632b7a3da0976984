// Package rollout decides which version a request goes to while versions are
// rolled in, and takes traffic away from a version that turns bad.
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

// Sample is what an entry saw of one answered attempt.
type Sample struct {
	Version string
	Class   string
	Failed  bool
	// FirstTokenMs is the time to first token in milliseconds; 0 when unknown.
	FirstTokenMs float64
	// Rating is from 0 to 1; nil without a rating. A rating that comes later is
	// passed as a Sample with RatingOnly set.
	Rating     *float64
	RatingOnly bool
}

// goodRating separates good from bad ratings.
const goodRating = 0.5

// defaults apply to versions without a rollout in the manifest.
const (
	defaultErrorRise    = 0.02
	defaultQualityLoss  = 0.05
	defaultLatencyRatio = 1.5
	// slowRise is the tolerated rise of the share of slow answers.
	slowRise = 0.15
	// priorErrors and priorSlow are the usual rates before any sample.
	priorErrors = 0.01
	priorSlow   = 0.10
)

// kinds of evidence.
const (
	kindErrors = iota
	kindSlow
	kindQuality
	kinds
)

var reasons = [kinds]string{"errors", "latency", "quality"}

// watched is what an entry knows of one version.
type watched struct {
	declared   manifest.Version
	rollout    api.Rollout
	declaredAt api.Revision
	// declaration is a fingerprint of declared and rollout.
	declaration string
	// step is the progress of the rollout, -1 before the first step is known.
	step      int
	backedOut bool
	tests     [kinds]cusum
	usual     [kinds]baseline
	medians   map[string]*median
	cut       *api.CutBack
	own       api.Evidence
	remote    map[string]api.Evidence
}

// Shares holds the traffic shares of one entry. It is not safe for concurrent use.
type Shares struct {
	self     string
	revision api.Revision
	versions map[string]*watched
	// names lists the versions in order.
	names []string
	// recent lists the records of other entries by their last news, with
	// repetitions; held is their number when it was last tidied.
	recent []source
	held   int
}

// NewShares returns the shares of an entry; self is its instance and incarnation.
func NewShares(self string) *Shares { return &Shares{self: self, versions: map[string]*watched{}} }

// Apply takes a newer snapshot. Cut-backs and evidence of a version stay in
// force unless its own declaration or rollout changed, because most manifests
// change something else.
func (s *Shares) Apply(snapshot *manifest.Snapshot) {
	s.revision = snapshot.Revision
	next := map[string]*watched{}
	s.names = nil
	for _, model := range snapshot.Manifest.Models {
		for _, v := range model.Versions {
			declared, _ := snapshot.Version(v.Name)
			rollout := rolloutOf(snapshot, v.Name)
			next[v.Name] = s.carry(*declared, rollout)
			s.names = append(s.names, v.Name)
		}
	}
	sort.Strings(s.names)
	s.versions = next
	s.recent = slices.DeleteFunc(s.recent, func(r source) bool {
		w, ok := next[r.version]
		if !ok {
			return true
		}
		_, ok = w.remote[r.origin]
		return !ok
	})
}

func rolloutOf(snapshot *manifest.Snapshot, version string) api.Rollout {
	if r, ok := snapshot.Rollout(version); ok {
		return *r
	}
	return api.Rollout{Version: version, MaxErrorRise: defaultErrorRise, MaxQualityLoss: defaultQualityLoss, MaxLatencyRatio: defaultLatencyRatio}
}

func (s *Shares) carry(declared manifest.Version, rollout api.Rollout) *watched {
	old, ok := s.versions[declared.Name]
	declaration := fingerprint(declared, rollout)
	if ok && old.declaration == declaration {
		old.rebase(s.revision)
		return old
	}
	w := &watched{declared: declared, rollout: rollout, declaredAt: s.revision, declaration: declaration, step: -1, medians: map[string]*median{}, remote: map[string]api.Evidence{}}
	w.usual = [kinds]baseline{newBaseline(priorErrors), newBaseline(priorSlow), newBaseline(1 - declared.PriorQuality)}
	if ok {
		// The usual rates of a version outlive a change of its phase.
		w.usual, w.medians = old.usual, old.medians
	}
	w.own = api.Evidence{Origin: s.self, Version: declared.Name, Revision: s.revision}
	return w
}

func fingerprint(declared manifest.Version, rollout api.Rollout) string {
	raw, err := json.Marshal([]any{declared, rollout})
	if err != nil {
		panic(fmt.Sprintf("declaration of version %q cannot be encoded: %v", declared.Name, err))
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(raw))
}

// rebase carries what is known of an unchanged declaration to a newer revision,
// so that a process that started with that revision accepts it.
func (w *watched) rebase(revision api.Revision) {
	if w.cut != nil {
		w.cut.Revision = revision
	}
	w.own.Revision = revision
	for origin, e := range w.remote {
		e.Revision = revision
		w.remote[origin] = e
	}
}

// Declared returns the event for the Advancer of a version, false when the
// version has no rollout.
func (s *Shares) Declared(version string) (Declared, bool) {
	w, ok := s.versions[version]
	if !ok || w.declared.Phase != api.PhaseRolling || len(w.rollout.Steps) == 0 {
		return Declared{}, false
	}
	return Declared{Rollout: w.rollout, Declaration: w.declaration, Revision: s.revision}, true
}

// SetProgress takes the progress of a rollout, from the store or from a peer.
// Within one declaration a step never goes back and backing out is final.
func (s *Shares) SetProgress(p api.RolloutProgress) {
	w, ok := s.versions[p.Version]
	if !ok || p.Declaration != w.declaration {
		return
	}
	w.step = max(w.step, p.Step)
	w.own.Step = w.step
	w.backedOut = w.backedOut || p.State == api.RolloutStateBackedOut
}

// Share returns the share of traffic that a version may get, from 0 to 1.
func (s *Shares) Share(version string) float64 {
	w, ok := s.versions[version]
	if !ok {
		return 0
	}
	share := 1.0
	switch w.declared.Phase {
	case api.PhaseWithdrawn, api.PhaseClosing:
		return 0
	case api.PhaseRolling:
		share = w.rollingShare()
	}
	if w.cut != nil {
		share = math.Min(share, w.cut.Share)
	}
	return share
}

func (w *watched) rollingShare() float64 {
	if w.backedOut || w.step < 0 || len(w.rollout.Steps) == 0 {
		return 0
	}
	return w.rollout.Steps[min(w.step, len(w.rollout.Steps)-1)]
}

// position is where a key lies in the traffic of a version, from 0 to 1. It does
// not depend on the share, so that a key moves at most once while a share rises.
func position(version string, key uint64) float64 {
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(key >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(version)
	_, _ = d.Write(buf[:])
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Choose returns one of candidates, "" when there is none. Rolling versions get
// the keys within their share; the others go to a serving version. When every
// candidate is cut back, the least cut one is used; Alarms then names it.
func (s *Shares) Choose(model string, candidates []string, key uint64) string {
	ordered := append([]string(nil), candidates...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := s.rolling(ordered[i]), s.rolling(ordered[j])
		if a != b {
			return a
		}
		return ordered[i] < ordered[j]
	})
	best, bestScore := "", -1.0
	for _, v := range ordered {
		if s.rolling(v) && position(v, key) < s.Share(v) {
			return v
		}
		if score := s.rank(v) + position(model+"/"+v, key); score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// rank orders versions for the keys outside every rolling share: serving ones,
// then rolling ones in use, then serving ones that are cut back.
func (s *Shares) rank(version string) float64 {
	share := s.Share(version)
	switch {
	case !s.rolling(version) && share > 0:
		return 3
	case share > 0:
		return 2
	case !s.rolling(version):
		return 1
	}
	return 0
}

func (s *Shares) rolling(version string) bool {
	w, ok := s.versions[version]
	return ok && w.declared.Phase == api.PhaseRolling
}

// Observe takes one sample and returns the cut-backs that it causes.
func (s *Shares) Observe(_ time.Time, sample Sample) []api.CutBack {
	w, ok := s.versions[sample.Version]
	if !ok {
		return nil
	}
	var d [kinds]counts
	if !sample.RatingOnly {
		d[kindErrors] = counts{1, indicator(sample.Failed)}
		w.own.Samples++
		w.own.Failed += int(d[kindErrors].bad)
		if sample.FirstTokenMs > 0 && !sample.Failed {
			d[kindSlow] = counts{1, indicator(s.isSlow(w, sample))}
			w.own.Slow += int(d[kindSlow].bad)
		}
	}
	if sample.Rating != nil {
		d[kindQuality] = counts{1, indicator(*sample.Rating < goodRating)}
		w.own.Rated++
		w.own.Bad += int(d[kindQuality].bad)
	}
	return s.feed(w, d)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isSlow compares with the median of the version that a rolling one replaces,
// or with a serving version's own median.
func (s *Shares) isSlow(w *watched, sample Sample) bool {
	base := w
	if prev, ok := s.reference(w); ok {
		base = prev
	}
	m, ok := base.medians[sample.Class]
	if !ok {
		m = &median{value: math.Max(base.declared.FirstTokenMs, 1)}
		base.medians[sample.Class] = m
	}
	slow := sample.FirstTokenMs > m.value*math.Max(w.rollout.MaxLatencyRatio, 1)
	if base == w && !w.tests[kindSlow].suspicious() {
		m.add(sample.FirstTokenMs)
	}
	return slow
}

// reference returns the version that a rolling version is compared with.
func (s *Shares) reference(w *watched) (*watched, bool) {
	if w.declared.Phase != api.PhaseRolling {
		return nil, false
	}
	prev, ok := s.versions[w.declared.Previous]
	return prev, ok
}

// feed runs the tests on new counts, from this entry or from others.
func (s *Shares) feed(w *watched, d [kinds]counts) []api.CutBack {
	base := w
	if prev, ok := s.reference(w); ok {
		base = prev
	}
	rises := [kinds]float64{w.rollout.MaxErrorRise, slowRise, w.rollout.MaxQualityLoss}
	var out []api.CutBack
	for kind := range kinds {
		rise := math.Max(rises[kind], 0.005)
		p0 := math.Min(base.usual[kind].upper()+rise/2, 0.9)
		bad := w.tests[kind].add(d[kind], p0, rise)
		if !w.tests[kind].suspicious() {
			w.usual[kind].add(d[kind])
		}
		if bad && w.cut == nil {
			w.cut = &api.CutBack{Version: w.declared.Name, Share: 0, Reason: reasons[kind], Origin: s.self, Revision: s.revision}
			out = append(out, *w.cut)
		}
	}
	return out
}
