package forward

import (
	"math"
	"time"
)

// The workers of a service differ in speed, some slow down when they are nearly full, and some share
// their machine with others. A process estimates how fast each worker serves from two sources:
//   - the pace that the worker states with its load. It changes many times a second and is worth
//     little some hundred milliseconds later.
//   - the times until the answers of the worker began, compared with those of all workers for requests
//     of the same kind and size at the same load. What the stated pace explains is left out, so that
//     only a lasting difference is learned.

const (
	// paceHalfLife is the age at which a stated pace has half its weight. Noise of other programs on a
	// machine lasts some hundred milliseconds.
	paceHalfLife = 250 * time.Millisecond
	// maxPaceAge is the age from which a stated pace does not count: less than 1% of its weight is left.
	maxPaceAge = 7 * paceHalfLife
	// paceLife is how long before an answer the pace that it states is taken to have held.
	paceLife = 2 * paceHalfLife
	// speedHalfLife is the time in which an answer loses half its weight in the estimate. A worker that
	// gets no requests because it was slow is tried again after a few such times.
	speedHalfLife = 4 * time.Second
	// maxSlowness bounds the estimate in both directions, so that a few answers cannot keep a worker
	// from all requests, or draw all requests to it.
	maxSlowness = 8.0
	// nearFull is the share of the slots in use from which a worker's speed is estimated by itself.
	nearFull = 0.8
	// speedDeviation is the deviation of the logarithm of the workers' speeds that is expected before
	// anything is known: most are within 1.4 times of the usual.
	speedDeviation = 0.35
	// minSpeedPrior and maxSpeedPrior bound the number of answers at the usual speed that the estimate
	// starts from.
	minSpeedPrior, maxSpeedPrior = 2.0, 16.0
	// minUsualAnswers is the number of answers of a kind after which its usual time is known.
	minUsualAnswers = 8
	// usualGain is the weight of one answer in the usual time of its kind.
	usualGain = 0.02
	// maxSpeedKinds bounds the kinds of requests that are told apart.
	maxSpeedKinds = 128
)

// speedKind tells requests apart whose answers take different times on the same worker. Size is the
// class of their own work until the answer starts.
type speedKind struct {
	route, model string
	size         int
}

// usualTime is the mean logarithm of the time until an answer starts, in seconds for each unit of demand.
type usualTime struct {
	mean    float64
	answers int
}

// speedFit is the decayed sum of the logarithms by which answers took longer than usual.
type speedFit struct {
	sum, weight float64
	at          Elapsed
}

// workerSpeed is what is known of the speed of one incarnation of a worker.
type workerSpeed struct {
	// normal holds the answers of the worker, and full how much longer they take when it is nearly full.
	normal, full speedFit
	// isSlow is set while the worker is reported as slow, since changedAt.
	isSlow    bool
	changedAt Elapsed
}

// serviceSpeed is what is known of the times of a service.
type serviceSpeed struct {
	usual map[speedKind]*usualTime
	// variance is that of the logarithm of the times on one worker.
	variance float64
}

// reportsPace reports whether the workers of a service state how long work takes on them. Decisions that
// need expected times are made only for such services.
func (p *Placer) reportsPace(service string) bool { return p.statsFor(service).reportsPace }

// slowness returns how much longer than on a usual worker of its service the same load takes on a worker.
// It is 1 for services whose workers do not state their pace.
func (p *Placer) slowness(now Elapsed, s *workerState) float64 {
	stats := s.stats
	if !stats.reportsPace {
		return 1
	}
	estimate := s.learnedSlowness(now, stats.speed.prior()) + s.paceExponent(now)
	if estimate == 0 {
		return 1
	}
	return min(max(math.Exp(estimate), 1/maxSlowness), maxSlowness)
}

// learnedSlowness returns the logarithm of the slowness that the answers of a worker show at its load.
func (s *workerState) learnedSlowness(now Elapsed, prior float64) float64 {
	learned := s.speed.normal.estimate(now, prior)
	if s.speed.full.weight > 0 && s.isNearlyFull() {
		learned += s.speed.full.estimate(now, prior)
	}
	return learned
}

// paceExponent returns the logarithm of the stated pace, weighted by its age.
func (s *workerState) paceExponent(now Elapsed) float64 {
	if s.logPace == 0 || now-s.reportedAt > maxPaceAge {
		return 0
	}
	return s.logPace * math.Exp2(-float64(now-s.reportedAt)/float64(paceHalfLife))
}

// recordPace records the pace that a worker stated with its load.
func (s *workerState) recordPace(pace float64) {
	s.logPace = 0
	if pace > 0 {
		s.stats.reportsPace = true
		s.logPace = logOfPace(pace)
	}
}

// logOfPace returns the logarithm of a stated pace within bounds.
func logOfPace(pace float64) float64 { return math.Log(min(max(pace, 1/maxSlowness), maxSlowness)) }

// isNearlyFull reports whether most slots of a worker are in use: by its last report, and by what this
// process has sent and ended since.
func (s *workerState) isNearlyFull() bool {
	slots := max(s.load.Slots, s.Slots)
	if slots <= 0 {
		return false
	}
	inUse := s.inFlight
	if s.hasReport {
		inUse += s.load.Running + s.load.Waiting - s.inFlightAtReport
	}
	return float64(inUse) >= nearFull*float64(slots)
}

// estimate returns the mean of the logarithms, shrunk towards 0 by prior answers at the usual speed.
func (f *speedFit) estimate(now Elapsed, prior float64) float64 {
	if f.weight == 0 {
		return 0
	}
	decay := math.Exp2(-float64(now-f.at) / float64(speedHalfLife))
	return f.sum * decay / (f.weight*decay + prior)
}

// add adds the logarithm by which one answer took longer, with a weight.
func (f *speedFit) add(now Elapsed, excess, weight float64) {
	decay := math.Exp2(-float64(now-f.at) / float64(speedHalfLife))
	f.sum, f.weight, f.at = f.sum*decay+weight*excess, f.weight*decay+weight, now
}

// prior returns the number of answers at the usual speed that estimates start from. The more the times
// on one worker vary, the more of its answers are needed to tell its speed.
func (v *serviceSpeed) prior() float64 {
	return min(max(v.variance/(speedDeviation*speedDeviation), minSpeedPrior), maxSpeedPrior)
}

// usualFor returns the usual time of a kind, nil if too many kinds are known.
func (v *serviceSpeed) usualFor(kind speedKind) *usualTime {
	u := v.usual[kind]
	if u == nil && len(v.usual) < maxSpeedKinds {
		if v.usual == nil {
			v.usual = map[speedKind]*usualTime{}
		}
		u = &usualTime{}
		v.usual[kind] = u
	}
	return u
}

// record adds an answer and returns by how much its logarithm is above the usual. It returns false while
// the usual is not known.
func (u *usualTime) record(value float64) (float64, bool) {
	excess, known := value-u.mean, u.answers >= minUsualAnswers
	if limit := math.Log(maxSlowness); known {
		excess = min(max(excess, -limit), limit)
	}
	u.answers++
	u.mean += max(1/float64(u.answers), usualGain) * excess
	return excess, known
}

// sizeClass returns the class of a request by its own work. Each class is four times as wide as the one
// before: within it, times grow nearly in proportion to the work.
func sizeClass(work float64) int { return int(math.Round(math.Log2(max(work, minPromptWork)) / 2)) }

// demand returns the time that an answer is expected to take, in units of its service: in proportion to
// the load on engines, which read one prompt after the other, and only beyond the slots elsewhere.
func (f *InFlight) demand() float64 {
	if f.readsPrompt {
		return f.load
	}
	slots := max(f.worker.load.Slots, f.worker.Slots, 1)
	return max(f.load/float64(slots), 1)
}

// speedWeight returns the weight of the answer in the estimate of the worker's speed. The more of its time
// was spent on requests before it, whose models and sizes are not known, the less it says; the weight is
// the inverse of the variance, which grows with the square.
func (f *InFlight) speedWeight() float64 {
	own := 1 / f.demand()
	if f.readsPrompt {
		own = min(f.work/max(f.load, minPromptWork), 1)
	}
	return own * own
}

// SpeedChange is a change of what is reported about the speed of a worker.
type SpeedChange int

// The changes.
const (
	SpeedUnchanged SpeedChange = iota
	SpeedSlow
	SpeedRecovered
)

const (
	// slowFrom and recoveredBelow are the slowness from which a worker is reported as slow, and below
	// which as recovered.
	slowFrom, recoveredBelow = 1.75, 1.3
	// minSlowAnswers is the least number of answers on which a worker is reported as slow.
	minSlowAnswers = 3
	// minSlowTime is the least time between two reports on a worker.
	minSlowTime = 2 * time.Second
)

// Served records that the worker answered the request with success, after AnswerStarted. route is the kind
// of the request, and pace the pace that the answer states, 0 if none. It returns whether the worker is
// slow now, or not any more.
func (f *InFlight) Served(now Elapsed, route string, pace float64) SpeedChange {
	if f == nil || !f.stats.reportsPace || f.wait <= 0 {
		return SpeedUnchanged
	}
	kind := speedKind{route: route, model: f.model, size: sizeClass(f.work)}
	usual := f.stats.speed.usualFor(kind)
	if usual == nil {
		return SpeedUnchanged
	}
	value := math.Log(f.wait.Seconds() / f.demand())
	if pace > 0 {
		// The pace was the same for the last part of a long wait only.
		value -= logOfPace(pace) * min(float64(paceLife)/float64(f.wait), 1)
	}
	excess, known := usual.record(value)
	if !known {
		return SpeedUnchanged
	}
	f.worker.recordExcess(now, excess, f.speedWeight(), f.wasNearlyFull, &f.stats.speed)
	return f.worker.speedChange(now, f.stats.speed.prior())
}

// recordExcess records by how much the logarithm of an answer's time was above the usual.
func (s *workerState) recordExcess(now Elapsed, excess, weight float64, full bool, v *serviceSpeed) {
	prior := v.prior()
	learned := s.speed.normal.estimate(now, prior)
	if full {
		step := excess - learned
		learned += s.speed.full.estimate(now, prior)
		s.speed.full.add(now, step, weight)
	} else {
		s.speed.normal.add(now, excess, weight)
	}
	v.variance += usualGain * ((excess-learned)*(excess-learned) - v.variance)
}

// speedChange updates whether the worker is reported as slow.
func (s *workerState) speedChange(now Elapsed, prior float64) SpeedChange {
	slowness := math.Exp(s.speed.normal.estimate(now, prior))
	wasSlow := s.speed.isSlow
	switch {
	case s.speed.changedAt > 0 && now-s.speed.changedAt < minSlowTime:
	case !wasSlow && slowness >= slowFrom && s.speed.normal.weight >= minSlowAnswers:
		s.speed.isSlow, s.speed.changedAt = true, now
		return SpeedSlow
	case wasSlow && slowness < recoveredBelow:
		s.speed.isSlow, s.speed.changedAt = false, now
		return SpeedRecovered
	}
	return SpeedUnchanged
}

// SpeedEstimate is what is known of the speed of a worker.
type SpeedEstimate struct {
	// Slowness is how much longer than on a usual worker the same load takes now. Learned is the part
	// that the answers of the worker show, and Answers their decayed number.
	Slowness, Learned, Answers float64
}

// SpeedEstimate returns the estimate for a worker, or false if its service states no pace.
func (p *Placer) SpeedEstimate(now Elapsed, id string) (SpeedEstimate, bool) {
	s := p.workers[id]
	if s == nil || !s.stats.reportsPace {
		return SpeedEstimate{}, false
	}
	decay := math.Exp2(-float64(now-s.speed.normal.at) / float64(speedHalfLife))
	return SpeedEstimate{
		Slowness: p.slowness(now, s),
		Learned:  math.Exp(s.learnedSlowness(now, s.stats.speed.prior())),
		Answers:  s.speed.normal.weight * decay,
	}, true
}

// SlowWorkers returns the number of workers that are reported as slow.
func (p *Placer) SlowWorkers() int {
	n := 0
	for _, s := range p.workers {
		if s.speed.isSlow {
			n++
		}
	}
	return n
}
