package rollout

import (
	"math"
	"slices"
	"time"
)

// paceSuffix marks the kinds of paces. Their times are compared with each other only.
const paceSuffix = "/pace"

// Pace is the time between the first two events of a stream, as evidence of the speed of a version.
// In contrast to the time to the first byte it holds no queueing and no reading of the prompt, so
// that it differs little between the answers of one version at equal load of the worker.
type Pace struct {
	rollout      *TimedRollout
	toTarget     bool
	answer       Answer
	firstEventAt time.Duration
	done         bool
}

// StartPace records that the first event of the answer arrived, from a worker with the given number
// of running requests. It returns nil for a nil Pending, which stands for a request without a
// rollout.
func (p *Pending) StartPace(now time.Duration, running int) *Pace {
	if p == nil {
		return nil
	}
	pace := &Pace{rollout: p.rollout, toTarget: p.toTarget, firstEventAt: now, answer: Answer{
		Kind: p.answer.Kind + paceSuffix, Worker: p.answer.Worker, Running: running,
	}}
	if p.toTarget {
		p.rollout.pace.pending[pace] = struct{}{}
	}
	return pace
}

// NextEvent records that the second event arrived.
func (p *Pace) NextEvent(now time.Duration) {
	if p != nil && !p.done {
		p.finish(now)
	}
}

// Abandoned records that the stream ended before its second event. A time that was cut off counts if
// it speaks against the target already.
func (p *Pace) Abandoned(now time.Duration) {
	if p == nil || p.done {
		return
	}
	if !p.toTarget || !p.isOverdue(now, 0) {
		p.end()
		return
	}
	p.finish(now)
}

// Discard records that the pace says nothing about the worker.
func (p *Pace) Discard() {
	if p != nil {
		p.end()
	}
}

func (p *Pace) at(now time.Duration) Answer {
	a := p.answer
	a.TimeToFirstByte, a.At = now-p.firstEventAt, now
	return a
}

// isOverdue reports whether the second event is so late that the evidence against the target is
// above a bound.
func (p *Pace) isOverdue(now time.Duration, bound float64) bool {
	a := p.at(now)
	evidence, ok := p.rollout.baselineFor(a.Kind).paceEvidence(a)
	return ok && evidence > bound
}

func (p *Pace) end() {
	p.done = true
	delete(p.rollout.pace.pending, p)
}

func (p *Pace) finish(now time.Duration) {
	p.end()
	a := p.at(now)
	baseline := p.rollout.baselineFor(a.Kind)
	if !p.toTarget {
		baseline.addPace(a)
		return
	}
	if evidence, ok := baseline.paceEvidence(a); ok {
		p.rollout.observePace(a, evidence)
	}
}

// tickPaces counts the streams of the target whose second event is overdue by now.
func (r *TimedRollout) tickPaces(now time.Duration) {
	for p := range r.pace.pending {
		if p.isOverdue(now, overdueEvidence) {
			p.finish(now)
		}
	}
}

func paceTime(a Answer) answerTime {
	return answerTime{ms: float64(a.TimeToFirstByte) / float64(time.Millisecond), work: float64(a.Running)}
}

// addPace adds a pace of another version.
func (b *kindBaseline) addPace(a Answer) {
	if a.TimeToFirstByte > 0 {
		b.keep(paceTime(a))
		b.paceRatios = nil
	}
}

// paceEvidence returns the log-likelihood ratio of a slow version to a good one for a pace, and
// whether it can be compared. It is compared at equal load of the worker, so that those of all times
// serve, in a burst and after the other versions have lost their requests as well.
func (b *kindBaseline) paceEvidence(a Answer) (float64, bool) {
	if len(b.times) < minBaselineAnswers || a.TimeToFirstByte <= 0 {
		return 0, false
	}
	if b.paceRatios == nil {
		b.paceModel = fitTimes(b.times, paceOutlierFactor*median(b.times))
		for _, other := range b.times {
			b.paceRatios = append(b.paceRatios, b.paceModel.ratio(other))
		}
		slices.Sort(b.paceRatios)
	}
	faster, _ := slices.BinarySearch(b.paceRatios, b.paceModel.ratio(paceTime(a))/toleratedSlowdown)
	rank := (float64(len(b.paceRatios)-faster) + 0.5) / float64(len(b.paceRatios)+1)
	return math.Log(slowPaceShare*slowPaceOrder*math.Pow(1-rank, slowPaceOrder-1) + 1 - slowPaceShare), true
}

const (
	// slowPaceShare is the share of slow streams of a slow version. Their ranks among the paces of the
	// other versions have the density of the slowest of slowPaceOrder: a pace has a least value, the
	// time of one step of the engine, that a slow version raises for all its streams.
	slowPaceShare = 0.8
	slowPaceOrder = 4
	// paceOutlierFactor bounds the influence of streams that were interrupted by the prompts of others,
	// up to a third of all, relative to the median.
	paceOutlierFactor = 1.5
)

func median(times []answerTime) float64 {
	ms := make([]float64, len(times))
	for i, t := range times {
		ms[i] = t.ms
	}
	slices.Sort(ms)
	return ms[len(ms)/2]
}
