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
	// versionRequestsPerSecond is 4,800 requests/s over 37 versions, the target size.
	versionRequestsPerSecond = 130.0
	numEntries               = 100
	ratedAnswerShare         = 0.2
	// operatorDelay is the time until operators withdraw a bad version by hand.
	operatorDelay = 300 * time.Second
	tickInterval  = 100 * time.Millisecond
	// evidencePerDigest is the number of records in a digest, about 0.6 KB.
	evidencePerDigest = 4
)

// versionFault describes a version that turns bad. errors is its share of failed
// answers, slow the factor on its time to first token and badRatings its share of bad
// ratings. phase and steps are those of its rollout.
type versionFault struct {
	name         string
	errors, slow float64
	badRatings   float64
	phase, steps string
}

// drawSample returns a random sample of a version with the fault, or of a healthy
// version if f is nil.
func drawSample(rng *rand.Rand, version string, f *versionFault) Sample {
	s := Sample{Version: version, Class: "quick"}
	errors, slow, bad := 0.005, 1.0, 0.1
	if f != nil {
		errors, slow, bad = math.Max(errors, f.errors), math.Max(slow, f.slow), math.Max(bad, f.badRatings)
	}
	s.Failed = rng.Float64() < errors
	s.FirstTokenMs = 200 * math.Exp(0.3*rng.NormFloat64()) * slow
	if rng.Float64() < ratedAnswerShare && !s.Failed {
		rating := 1.0
		if rng.Float64() < bad {
			rating = 0
		}
		s.Rating = &rating
	}
	return s
}

// circuitBreaker is the policy for comparison, one per entry. It opens permanently when half
// of the last 20 answers failed.
type circuitBreaker struct {
	recent []bool
	open   bool
}

func (b *circuitBreaker) observe(failed bool) {
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

// exposureWithShares returns the number of answers of v2 after it turned bad, until every
// entry has cut it back, and the time to the first cut-back. Entries exchange digests with
// a random peer every 0.5 s.
func exposureWithShares(t testing.TB, f versionFault, entries int, seed uint64) (answers int, cutAfter time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	shares := make([]*TrafficShares, entries)
	manifestSnapshot := snapshot(t, 1, f.phase, f.steps, "")
	for i := range shares {
		shares[i] = NewTrafficShares(fmt.Sprintf("entry-%d", i))
		shares[i].Apply(manifestSnapshot)
		shares[i].SetProgress(progressOf(shares[i], 0))
	}
	now := time.Unix(0, 0)
	const turnsBadAfter = 60 * time.Second
	candidates := []string{"v1", "v2"}
	for at := time.Duration(0); at < turnsBadAfter+operatorDelay; at += tickInterval {
		var bad *versionFault
		if at >= turnsBadAfter {
			bad = &f
		}
		cut := false
		for range drawPoisson(rng, 2*versionRequestsPerSecond*tickInterval.Seconds()) {
			i := rng.IntN(entries)
			v := shares[i].Choose("m", candidates, rng.Uint64())
			sample := drawSample(rng, v, nil)
			if v == "v2" && bad != nil {
				answers++
				sample = drawSample(rng, v, bad)
			}
			cut = len(shares[i].Observe(now.Add(at), sample)) > 0 || cut
		}
		if at%(500*time.Millisecond) == 0 {
			cut = exchangeDigests(rng, shares, int(at/(500*time.Millisecond))) || cut
		}
		if cut && cutAfter == 0 {
			cutAfter = at - turnsBadAfter
		}
		if allEntriesCutBack(shares) {
			break
		}
	}
	return answers, cutAfter
}

func allEntriesCutBack(shares []*TrafficShares) bool {
	for _, s := range shares {
		if s.versions["v2"].cutBack == nil {
			return false
		}
	}
	return true
}

// exposureWithBreakers returns the number of answers of the bad version with a circuit
// breaker per entry, until operators act.
func exposureWithBreakers(f versionFault, share float64, entries int, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 3))
	breakers := make([]circuitBreaker, entries)
	answers := 0
	for range int(2 * versionRequestsPerSecond * share * operatorDelay.Seconds()) {
		breaker := &breakers[rng.IntN(entries)]
		if !breaker.open {
			answers++
			breaker.observe(rng.Float64() < math.Max(f.errors, 0.005))
		}
	}
	return answers
}

// exchangeDigests makes every entry exchange cut-backs and evidence with a random peer and
// reports whether that causes a new cut-back.
func exchangeDigests(rng *rand.Rand, shares []*TrafficShares, round int) (cut bool) {
	for i, a := range shares {
		b := shares[rng.IntN(len(shares))]
		b.MergeCutBacks(a.CutBacks())
		a.MergeCutBacks(b.CutBacks())
		cut = len(b.MergeEvidence(a.EvidenceForDigest(evidencePerDigest, round+i))) > 0 || cut
		cut = len(a.MergeEvidence(b.EvidenceForDigest(evidencePerDigest, round+i+1))) > 0 || cut
	}
	return cut
}

// drawPoisson returns a random number with Poisson distribution.
func drawPoisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// Guards against a bad version that gives at least as many answers as it would with a
// circuit breaker per entry or until operators act, and against cut-backs before the
// version turns bad.
func TestPolicyExposure(t *testing.T) {
	faults := []versionFault{
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
		for _, k := range faults {
			k.phase, k.steps = m.phase, m.steps
			got, after := exposureWithShares(t, k, numEntries, 1)
			share := map[string]float64{"rolling at 5%": 0.05, "rolling at 50%": 0.5, "serving": 0.5}[m.name]
			breakers := exposureWithBreakers(k, share, numEntries, 1)
			operators := int(2 * versionRequestsPerSecond * share * operatorDelay.Seconds())
			t.Logf("%-15s %-15s | %8d %8d %9d | %s", k.name, m.name, got, breakers, operators, after)
			assert.Assert(t, got < breakers, "%s, %s: exposure is not below that with circuit breakers", k.name, m.name)
			assert.Assert(t, got < operators, "%s, %s: exposure is not below that until operators act", k.name, m.name)
			assert.Assert(t, after > 0, "%s %s was cut back before it turned bad", k.name, m.name)
		}
	}
}

// Guards against false alarms: cut-backs of healthy versions in 4 million samples.
func TestPolicyFalseAlarms(t *testing.T) {
	const samples = 2_000_000
	for _, phase := range []string{"serving", "rolling"} {
		alarms := 0
		for seed := range uint64(2) {
			rng := rand.New(rand.NewPCG(seed, 2))
			s := NewTrafficShares("entry-0")
			s.Apply(snapshot(t, 1, phase, "[0.5]", ""))
			s.SetProgress(progressOf(s, 0))
			for i := range samples {
				alarms += len(s.Observe(time.Unix(0, 0), drawSample(rng, []string{"v1", "v2"}[i%2], nil)))
			}
		}
		t.Logf("%s: %d false alarms in %d healthy samples", phase, alarms, 2*samples)
		assert.Equal(t, alarms, 0)
	}
}
