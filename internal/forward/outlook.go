package forward

import (
	"math"
	"time"
)

// Outlook is what is known of the room for a request before it is placed.
type Outlook struct {
	// Wait is the expected time until the answer begins at the worker that would be best now. It is
	// valid only if HasWait is set: the workers of the service state how long work takes, and answers
	// have been timed.
	Wait    time.Duration
	HasWait bool
	// Work is the expected work until the answer begins, and Load the load at the best worker, in
	// requests. Eligible is the number of workers that may get the request now.
	Work, Load float64
	// MeanLoad is the mean load of the workers of the pool to which the best one belongs.
	MeanLoad float64
	Eligible int
	// Share is this gateway's share of the requests for the service.
	Share float64
	// PeersAt is when the loads of the other gateways were learned.
	PeersAt Elapsed
}

// SetEstimateWaits sets whether Outlook states waits for all services.
func (p *Placer) SetEstimateWaits(estimate bool) { p.opts.EstimateWaits = estimate }

// PromptWork returns the work until the answer to a prompt begins, in requests. It may be called at any
// time.
func (p *Placer) PromptWork(prompt []PromptPart) float64 { return p.promptWork(prompt, 0) }

// Outlook returns the outlook for a request. It changes nothing.
func (p *Placer) Outlook(now Elapsed, q WorkerQuery) Outlook {
	q.limitShare, q.coldShare = p.limitShare(now, q.Service), p.coldShare(now, q.Service)
	out := Outlook{Work: p.promptWork(q.Prompt, 0), Load: math.Inf(1), Share: q.limitShare, PeersAt: p.peersAt}
	pool, least := 0, math.Inf(1)
	var sums, counts [2]float64
	for _, s := range p.services[q.Service] {
		if !s.eligible(now, &q) || s.share < 1 {
			continue
		}
		out.Eligible++
		load := p.loadAhead(s, p.estimatedLoad(now, s)) * p.slowness(now, s)
		sums[s.poolIndex()] += load
		counts[s.poolIndex()]++
		score := load
		if s.pooled && s.heavy != q.Heavy {
			score += p.opts.PoolPenalty
		}
		if score < least {
			out.Load, least, pool = load, score, s.poolIndex()
		}
	}
	out.MeanLoad = sums[pool] / max(counts[pool], 1)
	if unit := p.statsFor(q.Service).timePerAhead(pool); out.Eligible > 0 && unit > 0 && (p.opts.EstimateWaits || p.reportsPace(q.Service)) {
		out.Wait, out.HasWait = time.Duration((out.Load+out.Work)*float64(unit)), true
	}
	return out
}

// loadAhead returns the load that a request waits for at a worker with a load. A worker without cascades
// serves as many requests at once as it has slots, and begins with the others in rounds.
func (p *Placer) loadAhead(s *workerState, load float64) float64 {
	if p.statsFor(s.Service).hasCascades || s.Slots <= 0 {
		return load
	}
	return math.Max(load-float64(s.Slots), 0) / float64(s.Slots)
}

// timePerRequest returns the time that one request of load adds to the wait in a pool, 0 if unknown.
func (s *poolStats) timePerRequest(pool int) time.Duration {
	if s.timedLoad[pool] <= 0 {
		return 0
	}
	return time.Duration(float64(s.timedWait[pool]) / s.timedLoad[pool])
}

// timePerAhead returns the time that one request adds to the wait in a pool that a request waits for, as
// loadAhead counts them; 0 if unknown.
func (s *poolStats) timePerAhead(pool int) time.Duration {
	if s.timedAhead[pool] <= 0 {
		return 0
	}
	return time.Duration(float64(s.timedWait[pool]) / s.timedAhead[pool])
}

// timedDecay is the weight of the earlier waits when one more is recorded. The time per request follows
// the latest fifty answers or so.
const timedDecay = 0.98

// recordTimed records how long an answer took to begin at a load, and at the part of it that the request
// waited for.
func (s *poolStats) recordTimed(pool int, wait time.Duration, load, ahead float64) {
	s.timedWait[pool] = time.Duration(timedDecay*float64(s.timedWait[pool])) + wait
	s.timedLoad[pool] = timedDecay*s.timedLoad[pool] + load
	s.timedAhead[pool] = timedDecay*s.timedAhead[pool] + ahead
}
