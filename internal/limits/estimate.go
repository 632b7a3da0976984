package limits

import (
	"math"
	"time"
)

// rateEstimator estimates a rate as an exponentially weighted moving average with
// time constant rateTimeConstant.
type rateEstimator struct {
	// value is the rate per second at updatedAt.
	value     float64
	updatedAt time.Time
}

func (r *rateEstimator) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	if age := now.Sub(r.updatedAt); age > 0 {
		r.value *= math.Exp(-age.Seconds() / rateTimeConstant.Seconds())
		r.updatedAt = now
	}
}

func (r *rateEstimator) add(now time.Time, n float64) {
	r.decay(now)
	r.value += n / rateTimeConstant.Seconds()
}

// rate returns the estimated rate per second.
func (r *rateEstimator) rate(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// tokenBucket is a token bucket whose rate and depth may change between calls.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// take removes one token and returns 0, or returns the time until a token is
// available, at most maxRetryAfter. The first call fills the bucket with initial
// tokens. rate is in tokens/s.
func (b *tokenBucket) take(now time.Time, rate, depth, initial float64) time.Duration {
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = initial, now
	}
	if age := now.Sub(b.updatedAt); age > 0 {
		b.tokens += age.Seconds() * rate
		b.updatedAt = now
	}
	b.tokens = math.Min(b.tokens, depth)
	if b.tokens >= 1-1e-9 {
		b.tokens--
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := math.Min((1-b.tokens)/rate, maxRetryAfter.Seconds())
	return time.Duration(wait*float64(time.Second)) + time.Nanosecond
}

// demandHistory holds the demands that this entry reported of one customer and that
// were current within the last propagationDelayLargeFleet.
type demandHistory struct {
	// reports are in ascending order of reportedAt.
	reports []reportedRate
}

// reportedRate is a reported demand in requests/s.
type reportedRate struct {
	reportedAt time.Time
	rate       float64
}

func (h *demandHistory) add(now time.Time, value float64) {
	h.trim(now)
	h.reports = append(h.reports, reportedRate{now, value})
}

// trim removes reports that were superseded at least propagationDelayLargeFleet ago.
func (h *demandHistory) trim(now time.Time) {
	expired := 0
	for expired+1 < len(h.reports) && now.Sub(h.reports[expired+1].reportedAt) >= propagationDelayLargeFleet {
		expired++
	}
	h.reports = append(h.reports[:0], h.reports[expired:]...)
}

func (h *demandHistory) latest() (float64, bool) {
	if len(h.reports) == 0 {
		return 0, false
	}
	return h.reports[len(h.reports)-1].rate, true
}

// lowest returns the lowest demand that was current within the last delay. It is 0
// until the first report is at least that old.
func (h *demandHistory) lowest(now time.Time, delay time.Duration) float64 {
	h.trim(now)
	if len(h.reports) == 0 || now.Sub(h.reports[0].reportedAt) < delay {
		return 0
	}
	lowest := math.Inf(1)
	for i := len(h.reports) - 1; i >= 0; i-- {
		lowest = math.Min(lowest, h.reports[i].rate)
		if now.Sub(h.reports[i].reportedAt) >= delay {
			break
		}
	}
	return lowest
}
