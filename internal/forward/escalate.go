package forward

import (
	"math"
	"time"
)

// Escalator decides whether the answer of a small model is dropped for that of a larger
// one. A larger model takes about ten times the work. On days on which it cannot begin its
// answer within the target, a doubtful answer in time is worth as much to the caller as
// a good one too late, and the work is missing for others; so the confidence that is asked
// for falls as the larger models get slow. This serves loads above the capacity of the
// workers.
type Escalator struct {
	routes map[string]*larger
}

// larger is what is known of the larger models on one route.
type larger struct {
	// head is the mean time to the first event, in seconds, as of at.
	head float64
	at   Elapsed
	// waiting counts the requests whose first event is awaited; sinceSum adds up their starts.
	waiting  int
	sinceSum Elapsed
}

const (
	// fullConfidence is the confidence asked for, of 100, while the larger models are fast.
	fullConfidence = 50
	// easyRatio and hardRatio are the parts of the time left to the target that the larger
	// model is expected to take, at which the confidence asked for begins and ends to fall.
	easyRatio = 0.3
	hardRatio = 1.2
	// headGain is the weight of one answer in the mean time.
	headGain = 0.1
	// headHalfLife is the time without answers in which the mean counts for half, so that
	// larger models are tried again.
	headHalfLife = 2 * time.Second
)

// NewEscalator returns an Escalator that has seen nothing.
func NewEscalator() *Escalator { return &Escalator{routes: map[string]*larger{}} }

func (e *Escalator) of(route string) *larger {
	l := e.routes[route]
	if l == nil {
		l = &larger{}
		e.routes[route] = l
	}
	return l
}

// Started records that a request was sent to a larger model.
func (e *Escalator) Started(now Elapsed, route string) {
	l := e.of(route)
	l.waiting++
	l.sinceSum += now
}

// Ended records the first event of a larger model, or the end of the wait for it.
func (e *Escalator) Ended(now, started Elapsed, route string, answered bool) {
	l := e.of(route)
	if l.waiting > 0 {
		l.waiting--
		l.sinceSum -= started
	}
	took := (now - started).Seconds()
	expected := l.expected(now)
	if !answered && took < expected {
		return // it says only that the time is longer than this
	}
	l.head = expected + headGain*(took-expected)
	l.at = now
}

// expected is the mean time to the first event in seconds, weighted by its age.
func (l *larger) expected(now Elapsed) float64 {
	return l.head * math.Exp2(-float64(now-l.at)/float64(headHalfLife))
}

// predict is the expected time to the first event. Requests that have been waiting for
// longer than the mean show a slow-down before their answers do.
func (l *larger) predict(now Elapsed) float64 {
	predicted := l.expected(now)
	if l.waiting > 0 {
		predicted = max(predicted, (now - l.sinceSum/Elapsed(l.waiting)).Seconds())
	}
	return predicted
}

// Confidence is the confidence, of 100, below which an answer is dropped for that of a
// larger model. Left is the time until the target of the request.
func (e *Escalator) Confidence(now Elapsed, route string, left time.Duration) int {
	if left <= 0 {
		return 0
	}
	ratio := e.of(route).predict(now) / left.Seconds()
	part := (hardRatio - ratio) / (hardRatio - easyRatio)
	return int(fullConfidence * min(max(part, 0), 1))
}
