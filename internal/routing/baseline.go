package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// pickRoundRobin picks the eligible members of the subset in turn.
func (f *Fleet) pickRoundRobin(now time.Time, p *pool, q *Query) (scoredServer, bool) {
	for range p.subset {
		i := p.subset[p.nextRoundRobin%len(p.subset)]
		p.nextRoundRobin++
		if f.eligible(i, q) {
			return f.score(now, i, q), true
		}
	}
	return scoredServer{}, false
}

// pickLeastReported picks the eligible member of the subset with the lowest
// reported load per slot. A random start breaks ties.
func (f *Fleet) pickLeastReported(now time.Time, p *pool, q *Query, rng *rand.Rand) (scoredServer, bool) {
	best, bestLoad := int32(-1), math.Inf(1)
	start := rng.IntN(len(p.subset))
	for k := range p.subset {
		i := p.subset[(start+k)%len(p.subset)]
		if load := f.servers[i].reportedLoadPerSlot(); f.eligible(i, q) && load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return scoredServer{}, false
	}
	return f.score(now, best, q), true
}

// pickPowerOfTwoReported picks the one of two random members with the lower
// reported load per slot.
func (f *Fleet) pickPowerOfTwoReported(now time.Time, p *pool, q *Query, rng *rand.Rand) (scoredServer, bool) {
	best, bestLoad := int32(-1), math.Inf(1)
	for range 2 {
		i := p.subset[rng.IntN(len(p.subset))]
		if load := f.servers[i].reportedLoadPerSlot(); f.eligible(i, q) && load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return scoredServer{}, false
	}
	return f.score(now, best, q), true
}

// reportedLoadPerSlot returns the running and queued requests of the last report
// per slot.
func (s *server) reportedLoadPerSlot() float64 {
	return float64(s.load.outstanding) / float64(s.slotCount())
}
