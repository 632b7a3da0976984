package rollout

import (
	"math"
	"time"
)

// Pending is a request that was sent to a worker and has no answer yet. Waiting for its answer
// would count the slowest answers last, or never if the caller or the router gives up before.
type Pending struct {
	rollout   *TimedRollout
	toTarget  bool
	answer    Answer
	startedAt time.Duration
	done      bool
}

// Start records that a request was sent to a worker, with the kind, worker and uncached tokens of
// its answer.
func (r *TimedRollout) Start(now time.Duration, toTarget bool, a Answer) *Pending {
	if r.rate.weight == 0 {
		r.firstRequestAt = now
	}
	r.rate.add(now)
	if r.Share() < 1 && now-r.firstRequestAt >= rateTime {
		r.requests++
		r.usualRate += max(usualRateGain, 1/r.requests) * (r.rate.weight - r.usualRate)
	}
	a.AtFullShare = r.Share() >= 1
	a.InBurst = r.inBurst(now)
	p := &Pending{rollout: r, toTarget: toTarget, answer: a, startedAt: now}
	if toTarget {
		r.pending[p] = struct{}{}
	}
	return p
}

// Answered records that the answer began. A nil Pending stands for a request without a rollout.
func (p *Pending) Answered(now time.Duration, failed bool) {
	if p == nil || p.done {
		return
	}
	p.answer.Failed = failed
	p.finish(now)
}

// Abandoned records that the request ended without an answer. Its time is only a lower bound, so
// that it counts for a target if it speaks against it, and for the other versions if it is longer
// than predicted.
func (p *Pending) Abandoned(now time.Duration) {
	if p == nil || p.done {
		return
	}
	a := p.answer
	a.TimeToFirstByte, a.At = now-p.startedAt, now
	baseline := p.rollout.baselineFor(a.Kind)
	counts := !baseline.isUsual(a)
	if p.toTarget {
		evidence, ok := baseline.slowEvidence(a)
		counts = ok && evidence > 0
	}
	if !counts {
		p.end()
		return
	}
	p.finish(now)
}

func (p *Pending) finish(now time.Duration) {
	p.end()
	p.answer.TimeToFirstByte, p.answer.At = now-p.startedAt, now
	p.answer.InBurst = p.answer.InBurst || p.rollout.inBurst(now)
	if p.toTarget {
		p.rollout.ObserveTarget(p.answer)
		return
	}
	p.rollout.ObserveOther(p.answer)
}

func (p *Pending) end() {
	p.done = true
	delete(p.rollout.pending, p)
}

// overdueEvidence is the evidence from which a request to the target counts as slow before its
// answer begins. Its time is then among the slowest thirtieth of the other versions.
const overdueEvidence = 0.95

// Tick counts the requests to the target whose answers are overdue by now.
func (r *TimedRollout) Tick(now time.Duration) {
	for p := range r.pending {
		a := p.answer
		a.TimeToFirstByte, a.At = now-p.startedAt, now
		a.InBurst = a.InBurst || r.inBurst(now)
		if evidence, ok := r.baselineFor(a.Kind).slowEvidence(a); ok && evidence >= overdueEvidence {
			p.finish(now)
		}
	}
	r.tickPaces(now)
}

const (
	// rateTime is the time over which the rate of requests is averaged.
	rateTime = time.Second
	// burstFactor is the rate, in multiples of the usual one, above which answers are compared
	// only with others of the same burst.
	burstFactor = 1.5
)

// requestRate is a decaying count of requests.
type requestRate struct {
	weight float64
	at     time.Duration
}

func (q *requestRate) add(now time.Duration) { q.weight, q.at = q.decayed(now)+1, now }

func (q *requestRate) decayed(now time.Duration) float64 {
	return q.weight * math.Exp(-float64(now-q.at)/float64(rateTime))
}

// inBurst reports whether requests arrive much faster than usual.
func (r *TimedRollout) inBurst(now time.Duration) bool {
	return r.requests >= minBaselineAnswers && r.rate.decayed(now) > burstFactor*r.usualRate
}

// usualRateGain is the weight of one request in the usual rate.
const usualRateGain = 0.005
