package forward

import "time"

// DurationEstimator estimates how long the whole answers of a route usually take. The estimate is a high quantile:
// an instance that leaves must end what it takes.
type DurationEstimator struct {
	byRoute map[string]*durationEstimate
}

type durationEstimate struct {
	quantileSeconds float64
	samples         int
}

const (
	// durationQuantile is the quantile of the durations that is estimated.
	durationQuantile = 0.95
	// minDurationSamples is the number of samples from which the estimate is used.
	minDurationSamples = 20
)

// NewDurationEstimator returns an estimator without samples.
func NewDurationEstimator() *DurationEstimator {
	return &DurationEstimator{byRoute: map[string]*durationEstimate{}}
}

// Observe records the duration of a request that was answered as a whole.
func (e *DurationEstimator) Observe(route string, d time.Duration) {
	est := e.byRoute[route]
	if est == nil {
		est = &durationEstimate{quantileSeconds: d.Seconds()}
		e.byRoute[route] = est
	}
	est.samples++
	step := max(minQuantileStep, 1/(2+float64(est.samples)/4))
	if d.Seconds() > est.quantileSeconds {
		est.quantileSeconds *= 1 + step*durationQuantile
	} else {
		est.quantileSeconds *= 1 - step*(1-durationQuantile)
	}
}

// EndsWithin reports whether a request of a route is taken by an instance that ends all its requests after a time.
// limit is the time limit of the request. While the usual duration is not known, a request that may run once only is
// not taken: refused, it goes to another instance, and cut off, nobody knows whether it has run.
func (e *DurationEstimator) EndsWithin(left time.Duration, r *Route, limit time.Duration) bool {
	if limit <= left {
		return true
	}
	est := e.byRoute[r.Name]
	if est == nil || est.samples < minDurationSamples {
		return r.Idempotent() && left > 0
	}
	return seconds(est.quantileSeconds) <= left
}
