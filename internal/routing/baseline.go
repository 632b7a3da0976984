package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// pickRoundRobin takes the eligible members of the subset in turn.
func (f *Fleet) pickRoundRobin(now time.Time, p *pool, q *Query) (choice, bool) {
	for range p.subset {
		i := p.subset[p.next%len(p.subset)]
		p.next++
		if f.eligible(i, q) {
			return f.score(now, i, q), true
		}
	}
	return choice{}, false
}

// pickLeastReported takes the member with the least reported load per slot;
// ties are broken at random.
func (f *Fleet) pickLeastReported(now time.Time, p *pool, q *Query, rng *rand.Rand) (choice, bool) {
	best, bestLoad := int32(-1), math.Inf(1)
	start := rng.IntN(len(p.subset))
	for k := range p.subset {
		i := p.subset[(start+k)%len(p.subset)]
		if load := f.servers[i].reported(); f.eligible(i, q) && load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return choice{}, false
	}
	return f.score(now, best, q), true
}

// pickTwoReported takes the better of two random members by reported load.
func (f *Fleet) pickTwoReported(now time.Time, p *pool, q *Query, rng *rand.Rand) (choice, bool) {
	best, bestLoad := int32(-1), math.Inf(1)
	for range 2 {
		i := p.subset[rng.IntN(len(p.subset))]
		if load := f.servers[i].reported(); f.eligible(i, q) && load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return choice{}, false
	}
	return f.score(now, best, q), true
}

// reported is the last reported load per slot.
func (s *server) reported() float64 {
	return float64(s.load.outstanding) / float64(s.slots())
}
