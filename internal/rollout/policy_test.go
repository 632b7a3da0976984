package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// versionRate is 4,800 requests/s over 37 versions (design section 3).
	versionRate   = 130.0
	policyEntries = 100
	ratedShare    = 0.2
	operatorDelay = 300 * time.Second
	tick          = 100 * time.Millisecond
	// evidencePerDigest keeps the evidence of a digest near 0.6 KB.
	evidencePerDigest = 4
)

type fault struct {
	name         string
	errors, slow float64
	badRatings   float64
	phase, steps string
}

// answer draws a sample of a healthy version or of one with the fault.
func answer(rng *rand.Rand, version string, f *fault) Sample {
	s := Sample{Version: version, Class: "quick"}
	errors, slow, bad := 0.005, 1.0, 0.1
	if f != nil {
		errors, slow, bad = math.Max(errors, f.errors), math.Max(slow, f.slow), math.Max(bad, f.badRatings)
	}
	s.Failed = rng.Float64() < errors
	s.FirstTokenMs = 200 * math.Exp(0.3*rng.NormFloat64()) * slow
	if rng.Float64() < ratedShare && !s.Failed {
		rating := 1.0
		if rng.Float64() < bad {
			rating = 0
		}
		s.Rating = &rating
	}
	return s
}

// breaker is the baseline: per entry, opens at half of the last 20 answers failed.
type breaker struct {
	recent []bool
	open   bool
}

func (b *breaker) observe(failed bool) {
	b.recent = append(b.recent, failed)
	if len(b.recent) > 20 {
		b.recent = b.recent[1:]
	}
	n := 0
	for _, f := range b.recent {
		if f {
			n++
		}
	}
	b.open = b.open || len(b.recent) == 20 && n >= 10
}

// exposure counts the answers of bad v2 with Shares and peer exchange every
// 0.5 s, until every entry has cut it back.
func exposure(t testing.TB, f fault, entries int, seed uint64) (answers int, cutAfter time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	all := make([]*Shares, entries)
	snap := snapshot(t, 1, f.phase, f.steps, "")
	for i := range all {
		all[i] = NewShares(fmt.Sprintf("entry-%d", i))
		all[i].Apply(snap)
		all[i].SetProgress(progressOf(all[i], 0))
	}
	now := time.Unix(0, 0)
	const turn = 60 * time.Second
	candidates := []string{"v1", "v2"}
	for at := time.Duration(0); at < turn+operatorDelay; at += tick {
		var bad *fault
		if at >= turn {
			bad = &f
		}
		cut := false
		for range poisson(rng, 2*versionRate*tick.Seconds()) {
			i := rng.IntN(entries)
			v := all[i].Choose("m", candidates, rng.Uint64())
			sample := answer(rng, v, nil)
			if v == "v2" && bad != nil {
				answers++
				sample = answer(rng, v, bad)
			}
			cut = len(all[i].Observe(now.Add(at), sample)) > 0 || cut
		}
		if at%(500*time.Millisecond) == 0 {
			cut = gossip(rng, all, int(at/(500*time.Millisecond))) || cut
		}
		if cut && cutAfter == 0 {
			cutAfter = at - turn
		}
		if everyEntryCut(all) {
			break
		}
	}
	return answers, cutAfter
}

func everyEntryCut(all []*Shares) bool {
	for _, s := range all {
		if s.versions["v2"].cut == nil {
			return false
		}
	}
	return true
}

// breakerExposure counts the same with a breaker per entry, until operators act.
func breakerExposure(f fault, share float64, entries int, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 3))
	guards := make([]breaker, entries)
	answers := 0
	for range int(2 * versionRate * share * operatorDelay.Seconds()) {
		g := &guards[rng.IntN(entries)]
		if !g.open {
			answers++
			g.observe(rng.Float64() < math.Max(f.errors, 0.005))
		}
	}
	return answers
}

func gossip(rng *rand.Rand, all []*Shares, turn int) (cut bool) {
	for i, a := range all {
		b := all[rng.IntN(len(all))]
		b.Merge(a.CutBacks())
		a.Merge(b.CutBacks())
		cut = len(b.MergeEvidence(a.Evidence(evidencePerDigest, turn+i))) > 0 || cut
		cut = len(a.MergeEvidence(b.Evidence(evidencePerDigest, turn+i+1))) > 0 || cut
	}
	return cut
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// Guards against a bad version that answers longer than a fixed-threshold
// breaker or operators would let it.
func TestPolicyExposure(t *testing.T) {
	kinds := []fault{
		{name: "errors 30%", errors: 0.3},
		{name: "errors 80%", errors: 0.8},
		{name: "slow x3", slow: 3},
		{name: "ratings 60% bad", badRatings: 0.6},
		{name: "mixed", errors: 0.1, slow: 1.5, badRatings: 0.3},
	}
	modes := []struct{ name, phase, steps string }{
		{"rolling at 5%", "rolling", "[0.05,1]"}, {"rolling at 50%", "rolling", "[0.5,1]"}, {"serving", "serving", ""},
	}
	t.Logf("%-15s %-15s | %8s %8s %9s | %s", "fault", "phase", "shares", "breaker", "operators", "first cut-back after")
	for _, m := range modes {
		for _, k := range kinds {
			k.phase, k.steps = m.phase, m.steps
			got, after := exposure(t, k, policyEntries, 1)
			share := map[string]float64{"rolling at 5%": 0.05, "rolling at 50%": 0.5, "serving": 0.5}[m.name]
			breakers := breakerExposure(k, share, policyEntries, 1)
			operators := int(2 * versionRate * share * operatorDelay.Seconds())
			t.Logf("%-15s %-15s | %8d %8d %9d | %s", k.name, m.name, got, breakers, operators, after)
			assert.Assert(t, got < breakers, "%s %s", k.name, m.name)
			assert.Assert(t, got < operators, "%s %s", k.name, m.name)
			assert.Assert(t, after > 0, "%s %s was cut back before it turned bad", k.name, m.name)
		}
	}
}

// Guards against cut-backs of healthy versions.
func TestPolicyFalseAlarms(t *testing.T) {
	const samples = 2_000_000
	for _, phase := range []string{"serving", "rolling"} {
		alarms := 0
		for seed := range uint64(2) {
			rng := rand.New(rand.NewPCG(seed, 2))
			s := NewShares("entry-0")
			s.Apply(snapshot(t, 1, phase, "[0.5]", ""))
			s.SetProgress(progressOf(s, 0))
			for i := range samples {
				alarms += len(s.Observe(time.Unix(0, 0), answer(rng, []string{"v1", "v2"}[i%2], nil)))
			}
		}
		t.Logf("%s: %d false alarms in %d healthy samples", phase, alarms, 2*samples)
		assert.Equal(t, alarms, 0)
	}
}
