package limits

import "time"

const (
	// minMeasuredTime is the shortest saturated time over which a rate is measured.
	minMeasuredTime = 500 * time.Millisecond
	// newRateWeight is the weight of a new measurement in the moving average.
	newRateWeight = 0.3
)

// serviceRateEstimator estimates the service rate of the backend server. It measures
// only while the server is saturated, that is, while requests wait: a batching
// engine with few running requests works below its capacity, and a rate measured
// then would lead to the refusal of requests that can be served.
type serviceRateEstimator struct {
	tokensPerSecond float64
	// measured reports whether tokensPerSecond is a measured rate and not the
	// assumed one.
	measured bool

	saturated bool
	// changedAt is the time of the last call of setSaturated, and saturatedTotal
	// the saturated time until then.
	changedAt      time.Time
	saturatedTotal time.Duration

	// windowTokens is the work done in saturated time since windowStart, which is
	// a value of saturatedTime.
	windowTokens float64
	windowStart  time.Duration
}

// setSaturated records whether requests wait from now on.
func (r *serviceRateEstimator) setSaturated(now time.Time, saturated bool) {
	r.saturatedTotal = r.saturatedTime(now)
	r.changedAt, r.saturated = now, saturated
}

// saturatedTime returns the total saturated time until now.
func (r *serviceRateEstimator) saturatedTime(now time.Time) time.Duration {
	if !r.saturated || now.Before(r.changedAt) {
		return r.saturatedTotal
	}
	return r.saturatedTotal + now.Sub(r.changedAt)
}

// recordEnd records the end of a request. Its tokens are counted in proportion to
// the part of its run time that was saturated.
func (r *serviceRateEstimator) recordEnd(now time.Time, run runningItem, tokens float64) {
	saturated := r.saturatedTime(now)
	if runTime := now.Sub(run.startedAt); runTime > 0 {
		r.windowTokens += tokens * float64(saturated-run.saturatedTimeAtStart) / float64(runTime)
	}
	measuredTime := saturated - r.windowStart
	if measuredTime < minMeasuredTime || r.windowTokens <= 0 {
		return
	}
	measured := r.windowTokens / measuredTime.Seconds()
	if r.measured {
		r.tokensPerSecond += newRateWeight * (measured - r.tokensPerSecond)
	} else {
		r.tokensPerSecond, r.measured = measured, true
	}
	r.windowTokens, r.windowStart = 0, saturated
}
