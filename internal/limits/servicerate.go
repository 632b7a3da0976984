package limits

import "time"

const (
	// rateWindow is the shortest saturated time from which a rate is learned.
	rateWindow = 500 * time.Millisecond
	// rateGain is the weight of the newest measured rate.
	rateGain = 0.3
)

// serviceRate learns the work per second of the backend server. It counts only
// saturated time, in which requests wait: with few running requests a batching
// engine works below its capacity, and that figure would refuse requests that
// could be served.
type serviceRate struct {
	value float64
	known bool

	saturated bool
	since     time.Time
	total     time.Duration

	work  float64
	start time.Duration
}

// waiting tells whether requests wait from now on.
func (r *serviceRate) waiting(now time.Time, yes bool) {
	r.total = r.clock(now)
	r.since, r.saturated = now, yes
}

// clock returns the saturated time so far.
func (r *serviceRate) clock(now time.Time) time.Duration {
	if !r.saturated || now.Before(r.since) {
		return r.total
	}
	return r.total + now.Sub(r.since)
}

// finished adds the part of a request's work that fell in saturated time.
func (r *serviceRate) finished(now time.Time, run started, tokens float64) {
	clock := r.clock(now)
	if whole := now.Sub(run.at); whole > 0 {
		r.work += tokens * float64(clock-run.waitedFor) / float64(whole)
	}
	span := clock - r.start
	if span < rateWindow || r.work <= 0 {
		return
	}
	measured := r.work / span.Seconds()
	if r.known {
		r.value += rateGain * (measured - r.value)
	} else {
		r.value, r.known = measured, true
	}
	r.work, r.start = 0, clock
}
