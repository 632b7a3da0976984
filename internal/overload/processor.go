package overload

import "time"

const (
	// quotaPeriod is the period of a processor quota: the core stands still for what is left of it once
	// the quota is used up.
	quotaPeriod = 100 * time.Millisecond
	// lagNoise covers collections of garbage and late timers.
	lagNoise = 50 * time.Millisecond
)

// processor estimates how long work waits for the processor.
type processor struct {
	// isKnown reports whether the processor share is known. Otherwise the lag bounds nothing: it may be
	// that of a machine that is shared with others.
	isKnown bool
	// pause is the lag that an instance has without being overloaded.
	pause time.Duration
	// last and previous are the lags of the last two samples.
	last, previous time.Duration
	// admitted is the part of a request that may be admitted beyond those that were.
	admitted float64
}

// quotaPause returns the lag that the quota of a processor share causes: two pauses, as a request waits
// at least before it is sent to a worker and before its answer is.
func quotaPause(share float64) time.Duration {
	if share <= 0 || share > 1 {
		share = 1
	}
	return time.Duration(2*(1-share)*float64(quotaPeriod)) + lagNoise
}

func (p *processor) observe(lag time.Duration) { p.previous, p.last = p.last, lag }

// delay returns the lag that has lasted for two samples. A single one is a suspended machine or the
// start of the process, after which there is no queue.
func (p *processor) delay() time.Duration {
	if d := min(p.last, p.previous); p.isKnown && d > p.pause {
		return d
	}
	return 0
}

// admits decides on a request that bears a delay. Of the requests beyond that, as many are admitted as
// the processor would serve in time, so that not all are refused for the time until the next sample.
func (p *processor) admits(delay, tolerance time.Duration) bool {
	tolerance = max(tolerance, p.pause)
	if delay <= tolerance {
		p.admitted = 0
		return true
	}
	p.admitted += float64(tolerance) / float64(delay)
	if p.admitted < 1 {
		return false
	}
	p.admitted--
	return true
}
