package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Exclusion is the rule by which a worker may not get a request.
type Exclusion string

// The rules, in the order in which they are looked at.
const (
	NotExcluded       Exclusion = ""
	ExcludedVersion   Exclusion = "version"   // its version may not get the request
	ExcludedTried     Exclusion = "tried"     // it had the request before
	ExcludedEvacuated Exclusion = "evacuated" // its failure domain is evacuated
	ExcludedLeaving   Exclusion = "leaving"   // it has said that it leaves
	ExcludedPausing   Exclusion = "pausing"   // it wants no requests for a time
	ExcludedLimited   Exclusion = "limited"   // the limit that it named is used up
	ExcludedCold      Exclusion = "cold"      // it is cold and has had its requests
)

// ScoreTerms are the parts of the score of a worker, in requests.
type ScoreTerms struct {
	// Load is the estimated load, Failures and PeerFailures the penalties for requests of this and of
	// other gateways that had no answer, OtherPool that for a worker of the other pool.
	Load, Failures, PeerFailures, OtherPool float64
	// StatesPace is set if the workers of the service state their pace. Work is then the work of the request, and
	// Slowness by how much longer all of this takes on the worker. Capacity is the penalty for a worker
	// without room for the request.
	StatesPace               bool
	Work, Slowness, Capacity float64
	// Leaving is what another failure domain costs.
	Leaving float64
}

// Total returns the score.
func (t *ScoreTerms) Total() float64 {
	score := t.Load + t.Failures + t.PeerFailures + t.OtherPool
	if !t.StatesPace {
		return score + t.Leaving
	}
	return (score+t.Work)*t.Slowness + t.Capacity + t.Leaving
}

// ExplainedCandidate is a worker that may get a request.
type ExplainedCandidate struct {
	Worker Worker
	ScoreTerms
	// LoadAge is the age of the last report, negative if there is none.
	LoadAge time.Duration
	// Share is the part of its normal traffic that the worker gets, and CachedTokens the prefix of the prompt
	// that it is expected to have cached.
	Share        float64
	CachedTokens int
}

// ExcludedWorker is a worker that may not get a request.
type ExcludedWorker struct {
	Worker Worker
	Rule   Exclusion
}

// Explanation is where a request would go now, and why.
type Explanation struct {
	Placement
	// Found is set if a worker may get the request. The placement is valid only then.
	Found bool
	// Candidates are in the order of their scores.
	Candidates []ExplainedCandidate
	Excluded   []ExcludedWorker
}

// Explain returns what Pick would decide with the same random numbers, and from what. It changes nothing.
func (p *Placer) Explain(now Elapsed, q WorkerQuery, rng *rand.Rand) Explanation {
	q.isQuestion = true
	d := p.demandFor(q.Service)
	before := *d
	d.add(now) // Pick counts the request before it decides
	c := p.choose(now, &q, rng)
	*d = before
	out := Explanation{Found: c.worker != nil}
	if out.Found {
		out.Placement = p.placement(now, &c)
	}
	cached := p.cachedPrefixes(now, &q)
	for _, s := range p.services[q.Service] {
		if rule := s.exclusion(now, &q); rule != NotExcluded {
			out.Excluded = append(out.Excluded, ExcludedWorker{s.Worker, rule})
			continue
		}
		e := ExplainedCandidate{Worker: s.Worker, ScoreTerms: p.scoreTerms(now, s, &q), LoadAge: -1, Share: s.share}
		if s.hasReport {
			e.LoadAge = now - s.reportedAt
		}
		if i := slices.IndexFunc(cached, func(c cachedPrefix) bool { return c.worker == s }); i >= 0 {
			e.CachedTokens = cached[i].tokens
		}
		out.Candidates = append(out.Candidates, e)
	}
	slices.SortStableFunc(out.Candidates, func(a, b ExplainedCandidate) int { return cmp.Compare(a.Total(), b.Total()) })
	return out
}
