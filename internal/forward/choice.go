package forward

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// leastLoaded chooses a worker by its score alone. It returns the worker, the score up to which
// workers are filled, and the number of workers compared. A worker with a reduced share is
// skipped at random in proportion, unless no other worker is left.
//
// While nothing is known of other processes, the worker with the lowest score is chosen. The
// loads of other processes are as old as the last exchange. If all processes chose the lowest
// score, they would all send their requests to the same worker until the next exchange, to one
// that was just added above all. Each therefore chooses at random so that the work which all
// of them place meanwhile levels the scores.
func (p *Placer) leastLoaded(now Elapsed, q *WorkerQuery, rng *rand.Rand) (*workerState, float64, int) {
	p.candidates = p.candidates[:0]
	list := p.services[q.Service]
	if len(list) > maxCompared && list[0].stats.reportsPace {
		p.compareSample(now, q, list, rng)
	}
	for _, ignoreShare := range []bool{false, true} {
		if len(p.candidates) > 0 {
			break
		}
		for _, s := range list {
			p.compare(now, q, s, ignoreShare, rng)
		}
	}
	if len(p.candidates) == 0 {
		return nil, math.Inf(1), 0
	}
	if s := p.trial(rng); s != nil {
		return s, math.Inf(-1), len(p.candidates)
	}
	work := p.unseenWork(now, q)
	if q.leaving != nil {
		work = q.leaving.unseen
	}
	worker, level := chooseLevel(p.candidates, work, rng.Float64())
	return worker, level, len(p.candidates)
}

// maxCompared is the number of workers from which one is chosen where a service has more. The least loaded
// of so many is most likely among the least loaded 5% of all, and each costs about 80 ns.
const maxCompared = 48

// compareSample compares maxCompared workers at equal distances in the list, from a random one on.
func (p *Placer) compareSample(now Elapsed, q *WorkerQuery, list []*workerState, rng *rand.Rand) {
	step, at := float64(len(list))/maxCompared, rng.Float64()
	for i := range maxCompared {
		p.compare(now, q, list[min(int((float64(i)+at)*step), len(list)-1)], false, rng)
	}
}

// compare adds a worker to the candidates if the request may go there. One with a reduced share is added at
// random in proportion, unless ignoreShare is set.
func (p *Placer) compare(now Elapsed, q *WorkerQuery, s *workerState, ignoreShare bool, rng *rand.Rand) {
	if s.eligible(now, q) && (ignoreShare || s.share >= 1 || rng.Float64() < s.share) {
		score := p.score(now, s, q)
		if q.leaving != nil && s.FailureDomain == p.opts.FailureDomain {
			q.leaving.leastAtHome = min(q.leaving.leastAtHome, score)
		}
		p.candidates = append(p.candidates, scoredWorker{s, score + rng.Float64()*tieBreakNoise})
	}
}

// trialShare is the share of the requests that go to any worker with room, where workers are chosen by their
// speed. A worker that is or was slow then gets some requests at any load, and its recovery is noticed. It is
// a third of the 1% of the answers that may be late when callers judge by the 99th percentile.
const trialShare = 0.0033

// trial returns the worker for a request that is sent to any candidate with room, or nil.
func (p *Placer) trial(rng *rand.Rand) *workerState {
	if !p.candidates[0].worker.stats.reportsPace || rng.Float64() >= trialShare {
		return nil
	}
	c := p.candidates[rng.IntN(len(p.candidates))]
	if c.score >= overCapacityPenalty {
		return nil
	}
	return c.worker
}

// usesPeerLoads reports whether the loads that other processes state are used for a pool: if its
// requests wait longer for their answers than a stated load is old. Where answers start within
// some ten milliseconds, such a load is gone before it is known, and the reports in the answers
// of the workers say more.
func (p *Placer) usesPeerLoads(stats *poolStats, pool int) bool {
	return p.expectedWait(stats, pool) >= p.peerInterval
}

// scoredWorker is a candidate with its score.
type scoredWorker struct {
	worker *workerState
	score  float64
}

// chooseLevel returns the worker for a request and the level of water-filling: the score that the
// workers with the lowest scores reach if work is divided so that they end up equal. A worker is
// chosen with a probability in proportion to what it lacks to that level, by the random number
// draw in [0, 1). Without work it returns the worker with the lowest score, otherwise it sorts candidates.
func chooseLevel(candidates []scoredWorker, work, draw float64) (*workerState, float64) {
	byScore := func(a, b scoredWorker) int { return cmp.Compare(a.score, b.score) }
	if work <= 0 {
		least := slices.MinFunc(candidates, byScore)
		return least.worker, least.score
	}
	slices.SortFunc(candidates, byScore)
	sum, level, filled := 0.0, candidates[0].score, 1
	for i := range candidates {
		if i > 0 && level <= candidates[i].score {
			break
		}
		sum += candidates[i].score
		level, filled = (work+sum)/float64(i+1), i+1
	}
	for _, c := range candidates[:filled] {
		if draw -= (level - c.score) / max(work, math.SmallestNonzeroFloat64); draw < 0 {
			return c.worker, level
		}
	}
	return candidates[0].worker, level
}

// unseenWork returns the work that other processes have placed on the workers of a pool and that
// this one does not know of yet, in requests: since their last reports, which are up to one
// interval old, and since the last exchange. All processes are taken to place as much as this one.
func (p *Placer) unseenWork(now Elapsed, q *WorkerQuery) float64 {
	age := now - p.peersAt
	if p.peers <= 1 || age > p.opts.PeerLoadTTL {
		return 0
	}
	i := 0
	if q.Heavy {
		i = 1
	}
	stats := p.statsFor(q.Service)
	if !p.usesPeerLoads(stats, i) {
		return 0
	}
	return float64(p.peers-1) * stats.startRate(now, i) * (age + p.peerInterval).Seconds()
}

// tieBreakNoise is the range of a random addition to scores, in requests. It spreads
// requests over workers of equal load.
const tieBreakNoise = 0.1

// matches reports whether a request may go to a worker by its version and earlier attempts.
func (s *workerState) matches(q *WorkerQuery) bool { return s.mismatch(q) == NotExcluded }

// mismatch returns the rule by which a request may not go to a worker for its version or earlier attempts.
func (s *workerState) mismatch(q *WorkerQuery) Exclusion {
	switch {
	case q.Allowed != nil && !q.Allowed(s.Version):
		return ExcludedVersion
	case slices.Contains(q.Exclude, s.ID):
		return ExcludedTried
	}
	return NotExcluded
}

// eligible reports whether a request may go to a worker now.
func (s *workerState) eligible(now Elapsed, q *WorkerQuery) bool {
	return s.exclusion(now, q) == NotExcluded
}

// exclusion returns the rule by which a request may not go to a worker now.
func (s *workerState) exclusion(now Elapsed, q *WorkerQuery) Exclusion {
	if rule := s.mismatch(q); rule != NotExcluded {
		return rule
	}
	return s.withheld(now, q)
}

// score returns the estimated load of a worker, as a usual worker of the service would feel it, with the
// penalties for failures, for another pool and for leaving the failure domain. Lower is better.
func (p *Placer) score(now Elapsed, s *workerState, q *WorkerQuery) float64 {
	terms := p.scoreTerms(now, s, q)
	return terms.Total()
}

// scoreTerms returns the parts of the score.
func (p *Placer) scoreTerms(now Elapsed, s *workerState, q *WorkerQuery) ScoreTerms {
	terms := ScoreTerms{
		Load: p.estimatedLoad(now, s), Failures: failurePenalty * s.recentFailures(now),
		PeerFailures: peerFailurePenalty * decayed(s.peerFailures, now-s.peerFailuresAt), Leaving: p.leavingCost(now, s, q),
	}
	if s.pooled && s.heavy != q.Heavy {
		terms.OtherPool = p.opts.PoolPenalty
	}
	if s.stats.reportsPace {
		terms.StatesPace = true
		terms.Work, terms.Slowness, terms.Capacity = q.work, p.slowness(now, s), s.capacityCost(now, q.tokens)
	}
	return terms
}
