package forward

import (
	"math"
	"time"
)

// Escalator computes the confidence below which the answer of a small model is discarded
// and a larger model is asked instead. A larger model takes about ten times the work. When
// it cannot start its answer within the latency target, a low-confidence answer in time is
// worth as much to the caller as a good answer that is late, and the work would be missing
// for other requests. The threshold therefore falls as the larger models become slower.
// This keeps the service usable at loads above the capacity of the workers.
type Escalator struct {
	routes map[string]*firstEventEstimate
}

// firstEventEstimate is the estimated time to the first event of the larger models on one
// route.
type firstEventEstimate struct {
	// meanSeconds is the exponentially weighted mean of the time to the first event, as of
	// updatedAt.
	meanSeconds float64
	updatedAt   Elapsed
	// pending is the number of requests that wait for their first event, and startSum the
	// sum of their start times.
	pending  int
	startSum Elapsed
}

const (
	// maxThreshold is the confidence threshold, of 100, while the larger models are fast.
	maxThreshold = 50
	// rampStartRatio and rampEndRatio are ratios of the predicted time to the first event
	// to the time left until the target. The threshold falls linearly from maxThreshold at
	// the first to 0 at the second.
	rampStartRatio = 0.3
	rampEndRatio   = 1.2
	// firstEventGain is the weight of one sample in the mean.
	firstEventGain = 0.1
	// firstEventHalfLife is the time in which the mean decays to a half without samples, so
	// that larger models that were slow are tried again.
	firstEventHalfLife = 2 * time.Second
)

// NewEscalator returns an Escalator without samples.
func NewEscalator() *Escalator { return &Escalator{routes: map[string]*firstEventEstimate{}} }

func (e *Escalator) estimate(route string) *firstEventEstimate {
	l := e.routes[route]
	if l == nil {
		l = &firstEventEstimate{}
		e.routes[route] = l
	}
	return l
}

// RecordStart records that a request was sent to a larger model.
func (e *Escalator) RecordStart(now Elapsed, route string) {
	est := e.estimate(route)
	est.pending++
	est.startSum += now
}

// RecordFirstEvent records that a request received the first event of a larger model, or that it
// stopped waiting for it (answered is false).
func (e *Escalator) RecordFirstEvent(now, started Elapsed, route string, answered bool) {
	est := e.estimate(route)
	if est.pending > 0 {
		est.pending--
		est.startSum -= started
	}
	tookSeconds := (now - started).Seconds()
	mean := est.decayedSeconds(now)
	if !answered && tookSeconds < mean {
		return // the time to the first event is only known to be longer
	}
	est.meanSeconds = mean + firstEventGain*(tookSeconds-mean)
	est.updatedAt = now
}

// decayedSeconds returns the mean time to the first event, reduced by its age.
func (est *firstEventEstimate) decayedSeconds(now Elapsed) float64 {
	return est.meanSeconds * math.Exp2(-float64(now-est.updatedAt)/float64(firstEventHalfLife))
}

// predictedSeconds returns the time to the first event to expect for a new request. Pending
// requests that have waited for longer than the mean reveal a slowdown before their first
// events arrive.
func (est *firstEventEstimate) predictedSeconds(now Elapsed) float64 {
	predicted := est.decayedSeconds(now)
	if est.pending > 0 {
		predicted = max(predicted, (now - est.startSum/Elapsed(est.pending)).Seconds())
	}
	return predicted
}

// Threshold returns the threshold, 0 to maxThreshold, for an answer on a route: an answer
// of lower confidence is discarded and a larger model is asked. The argument remaining is
// the time until the latency target of the request.
func (e *Escalator) Threshold(now Elapsed, route string, remaining time.Duration) int {
	if remaining <= 0 {
		return 0
	}
	ratio := e.estimate(route).predictedSeconds(now) / remaining.Seconds()
	fraction := (rampEndRatio - ratio) / (rampEndRatio - rampStartRatio)
	return int(maxThreshold * min(max(fraction, 0), 1))
}
