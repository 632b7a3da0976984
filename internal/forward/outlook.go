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
	Eligible   int
}

// Outlook returns the outlook for a request. It changes nothing.
func (p *Placer) Outlook(now Elapsed, q WorkerQuery) Outlook {
	q.limitShare, q.coldShare = p.limitShare(now, q.Service), p.coldShare(now, q.Service)
	out := Outlook{Work: p.promptWork(q.Prompt, 0), Load: math.Inf(1)}
	pool := 0
	for _, s := range p.services[q.Service] {
		if !s.eligible(now, &q) || s.share < 1 {
			continue
		}
		out.Eligible++
		if load := p.estimatedLoad(now, s) * p.slowness(now, s); load < out.Load {
			out.Load, pool = load, s.poolIndex()
		}
	}
	if unit := p.statsFor(q.Service).timePerRequest(pool); out.Eligible > 0 && unit > 0 && p.reportsPace(q.Service) {
		out.Wait, out.HasWait = time.Duration((out.Load+out.Work)*float64(unit)), true
	}
	return out
}

// timePerRequest returns the time that one request of load adds to the wait in a pool, 0 if unknown.
func (s *poolStats) timePerRequest(pool int) time.Duration {
	if s.timedLoad[pool] <= 0 {
		return 0
	}
	return time.Duration(float64(s.timedWait[pool]) / s.timedLoad[pool])
}

// timedDecay is the weight of the earlier waits when one more is recorded. The time per request follows
// the latest fifty answers or so.
const timedDecay = 0.98

// recordTimed records how long an answer took to begin at a load.
func (s *poolStats) recordTimed(pool int, wait time.Duration, load float64) {
	s.timedWait[pool] = time.Duration(timedDecay*float64(s.timedWait[pool])) + wait
	s.timedLoad[pool] = timedDecay*s.timedLoad[pool] + load
}
