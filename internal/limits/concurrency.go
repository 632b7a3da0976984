package limits

import (
	"math"
	"time"
)

// ConcurrencyLimiter is an adaptive limit on the number of requests that a sidecar runs
// on its engine at once.
//
// After every Window completions it compares the mean time per token with the
// allowed time: Tolerance times the lowest mean seen, and at most MaxTokenTime.
//   - Above the allowed time, the limit decreases by 10%, but not below a quarter
//     of Slots. At that floor the engine is slow for a reason other than
//     concurrency, and the current mean becomes the new lowest.
//   - Within the allowed time, the limit increases by one if it was reached.
//   - If the throughput (running requests divided by time per token) drops below
//     minThroughputRatio times the best seen at a lower limit, the limit returns
//     to that lower limit and does not increase for probePauseWindows windows.
//
// A refusal by the engine decreases the limit by one immediately.
type ConcurrencyLimiter struct {
	opts  ConcurrencyLimiterOptions
	limit float64
	// lowestTokenTime is the lowest mean time per token of a window, in seconds.
	lowestTokenTime float64
	// tokenTimeSum (seconds), runningSum and completions cover the current window.
	tokenTimeSum float64
	runningSum   float64
	completions  int
	// limitReached reports whether the limit was reached in the current window.
	limitReached bool
	// bestThroughput is the highest throughput seen, decayed over time, and
	// bestThroughputLimit the mean number of running requests at that time.
	bestThroughput, bestThroughputLimit float64
	// pauseWindows is the number of windows left in which the limit must not
	// increase.
	pauseWindows int
}

const (
	// minThroughputRatio is the fraction of the best throughput below which a
	// higher limit is harmful, because the engine has no memory for more requests.
	minThroughputRatio = 0.95
	// bestThroughputDecay is applied to the best throughput once per window, so
	// that the limit adapts to a lasting change of the engine.
	bestThroughputDecay = 0.998
	// probePauseWindows is the number of windows between two attempts at a higher
	// limit.
	probePauseWindows = 16
)

// ConcurrencyLimiterOptions configures an adaptive concurrency limit. Zero values select the defaults.
type ConcurrencyLimiterOptions struct {
	// Slots is the configured number of requests that the engine runs efficiently
	// and the initial limit. The default is 16.
	Slots int
	// Max is the largest limit. The default is 4 * Slots.
	Max int
	// Tolerance is the allowed ratio of the time per token to the lowest one. The
	// default is 3.
	Tolerance float64
	// MaxTokenTime bounds the allowed time per token. The default is 71 ms.
	MaxTokenTime time.Duration
	// Window is the number of completions between two adjustments. The default
	// is 16.
	Window int
}

// NewConcurrencyLimiter returns a concurrency limit for one engine, initially opts.Slots.
func NewConcurrencyLimiter(opts ConcurrencyLimiterOptions) *ConcurrencyLimiter {
	if opts.Slots <= 0 {
		opts.Slots = 16
	}
	if opts.Max <= 0 {
		opts.Max = 4 * opts.Slots
	}
	if opts.Tolerance <= 0 {
		opts.Tolerance = 3
	}
	if opts.MaxTokenTime <= 0 {
		opts.MaxTokenTime = 71 * time.Millisecond
	}
	if opts.Window <= 0 {
		opts.Window = 16
	}
	return &ConcurrencyLimiter{opts: opts, limit: float64(opts.Slots)}
}

// Limit returns the number of requests that may run at once, at least 1.
func (c *ConcurrencyLimiter) Limit() int { return max(1, int(c.limit)) }

// RecordCompletion records a completed request: its mean time per token, and the number
// of requests that were running when it ended, including itself. Requests without
// a positive time per token are ignored.
func (c *ConcurrencyLimiter) RecordCompletion(perToken time.Duration, running int) {
	if perToken <= 0 {
		return
	}
	c.tokenTimeSum += perToken.Seconds()
	c.runningSum += float64(running)
	c.completions++
	c.limitReached = c.limitReached || running >= c.Limit()
	if c.completions >= c.opts.Window {
		c.adjust()
	}
}

// RecordRefusal records that the engine refused a request because it was at capacity.
func (c *ConcurrencyLimiter) RecordRefusal() { c.setLimit(c.limit - 1) }

// adjust sets the limit from the figures of a full window and starts the next one.
func (c *ConcurrencyLimiter) adjust() {
	mean := c.tokenTimeSum / float64(c.completions)
	if c.lowestTokenTime == 0 || mean < c.lowestTokenTime {
		c.lowestTokenTime = mean
	}
	allowed := math.Min(c.lowestTokenTime*c.opts.Tolerance, c.opts.MaxTokenTime.Seconds())
	throughput := c.runningSum / float64(c.completions) / mean
	switch {
	case mean > allowed && c.limit <= c.decreaseFloor():
		c.lowestTokenTime = mean
	case mean > allowed:
		c.setLimit(math.Max(c.limit*0.9, c.decreaseFloor()))
	case c.limitReached && c.limit > c.bestThroughputLimit && throughput < c.bestThroughput*minThroughputRatio:
		c.setLimit(c.bestThroughputLimit)
		c.pauseWindows = probePauseWindows
	case c.limitReached && c.pauseWindows > 0:
		c.pauseWindows--
	case c.limitReached:
		c.setLimit(c.limit + 1)
	}
	c.bestThroughput *= bestThroughputDecay
	if throughput > c.bestThroughput {
		c.bestThroughput, c.bestThroughputLimit = throughput, c.runningSum/float64(c.completions)
	}
	c.runningSum = 0
	c.tokenTimeSum, c.completions, c.limitReached = 0, 0, false
}

// decreaseFloor returns the lowest limit that a slow engine leads to: below it,
// concurrency is not assumed to be the cause.
func (c *ConcurrencyLimiter) decreaseFloor() float64 { return math.Max(1, float64(c.opts.Slots)/4) }

// Reset discards all measurements and keeps the limit. Call it when they no longer
// apply, for example after the engine restarted or loaded other versions.
func (c *ConcurrencyLimiter) Reset() { *c = ConcurrencyLimiter{opts: c.opts, limit: c.limit} }

func (c *ConcurrencyLimiter) setLimit(limit float64) {
	c.limit = math.Min(math.Max(limit, 1), float64(c.opts.Max))
}
