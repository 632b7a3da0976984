package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
)

// Guards against a session that moves between versions more than once while the share of
// the new version rises.
func TestKeyMovesOnceAsShareRises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		key := rapid.Uint64().Draw(rt, "key")
		s := NewTrafficShares("e")
		s.Apply(snapshot(t, 1, "rolling", "[0.01,0.05,0.25,0.5,1]", ""))
		candidates := []string{"v1", "v2"}
		last, moves := s.Choose("m", candidates, key), 0
		assert.Equal(rt, last, "v1")
		for step := range 5 {
			s.SetProgress(progressOf(s, step))
			v := s.Choose("m", candidates, key)
			if v != last {
				moves++
			}
			last = v
		}
		assert.Equal(rt, last, "v2")
		assert.Equal(rt, moves, 1)
	})
}

// Guards against a fraction of keys that differs from the share of the step.
func TestShareOfKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewTrafficShares("e")
	s.Apply(snapshot(t, 1, "rolling", "[0.05,1]", ""))
	s.SetProgress(progressOf(s, 0))
	n := 0
	for range 20000 {
		if s.Choose("m", []string{"v1", "v2"}, rng.Uint64()) == "v2" {
			n++
		}
	}
	assert.Assert(t, n > 850 && n < 1150, "%d of 20000 keys at a share of 5 %%", n)
}

// Guards against a cut-back that ends with an unrelated manifest change, here or on an
// entry that starts later, and against one that stays in force after operators changed the
// version's rollout.
func TestCutBackLastsUntilDeclarationChanges(t *testing.T) {
	s := NewTrafficShares("e")
	s.Apply(snapshot(t, 1, "rolling", "[0.5,1]", ""))
	s.SetProgress(progressOf(s, 0))
	for range 40 {
		s.Observe(time.Unix(0, 0), Sample{Version: "v2", Failed: true})
	}
	assert.Equal(t, s.Share("v2"), 0.0)
	s.Apply(snapshot(t, 2, "rolling", "[0.5,1]", "another customer"))
	assert.Equal(t, s.Share("v2"), 0.0)

	late := NewTrafficShares("late")
	late.Apply(snapshot(t, 2, "rolling", "[0.5,1]", "another customer"))
	late.SetProgress(progressOf(late, 0))
	late.MergeCutBacks(s.CutBacks())
	assert.Equal(t, late.Share("v2"), 0.0)

	old := s.CutBacks()
	s.Apply(snapshot(t, 3, "rolling", "[0.25,1]", ""))
	s.SetProgress(progressOf(s, 0))
	s.MergeCutBacks(old)
	assert.Equal(t, s.Share("v2"), 0.25)
}

// Guards against a model without any version in service because all of its versions are
// cut back.
func TestOnlyVersionKeepsServing(t *testing.T) {
	s := NewTrafficShares("e")
	s.Apply(snapshot(t, 1, "serving", "", ""))
	s.MergeCutBacks([]api.CutBack{{Version: "v1", Revision: s.revision}, {Version: "v2", Revision: s.revision}})
	assert.Equal(t, s.Choose("m", []string{"v1"}, 7), "v1")
	assert.DeepEqual(t, s.Alarms(), []string{"v1", "v2"})
	assert.Equal(t, s.Choose("m", nil, 7), "")
}

// Guards against evidence that is counted again each time it arrives.
func TestEvidenceCountsOnce(t *testing.T) {
	a, b := NewTrafficShares("a"), NewTrafficShares("b")
	for _, s := range []*TrafficShares{a, b} {
		s.Apply(snapshot(t, 1, "rolling", "[0.5,1]", ""))
	}
	a.Observe(time.Unix(0, 0), Sample{Version: "v2", Failed: true})
	for range 100 {
		assert.Equal(t, len(b.MergeEvidence(a.EvidenceForDigest(8, 0))), 0)
	}
	assert.Equal(t, b.TotalEvidence("v2").Failed, 1)
}

// Guards against changes of the sequential tests that alter the outcome for recorded
// evidence.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		var trace struct {
			Phase   string
			Batches []struct {
				Origin                                    string
				Samples, Failed, Slow, Rated, Bad, Repeat int
			}
			Want string
		}
		raw, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(raw, &trace), file)
		s := NewTrafficShares("e")
		s.Apply(snapshot(t, 1, trace.Phase, "[0.5,1]", ""))
		sums := map[string]api.Evidence{}
		for _, b := range trace.Batches {
			for range max(b.Repeat, 1) {
				e := sums[b.Origin]
				e.Origin, e.Version, e.Revision = b.Origin, "v2", s.revision
				e.Samples += b.Samples
				e.Failed += b.Failed
				e.Slow += b.Slow
				e.Rated += b.Rated
				e.Bad += b.Bad
				sums[b.Origin] = e
				s.MergeEvidence([]api.Evidence{e})
			}
		}
		got := "none"
		if cuts := s.CutBacks(); len(cuts) > 0 {
			got = cuts[0].Reason
		}
		assert.Equal(t, got, trace.Want, file)
	}
}
