package limits

import (
	"math"
	"time"
)

const (
	// rateWindow is the shortest span of work from which a service rate is
	// learned.
	rateWindow = 500 * time.Millisecond
	// rateGain is the weight of the newest measured rate.
	rateGain = 0.3
)

// serviceRate learns the work per second of the backend server while it is busy.
type serviceRate struct {
	value float64
	work  float64
	since time.Time
	busy  time.Duration
	known bool
}

func (r *serviceRate) started(now time.Time, running int) {
	if running == 0 {
		r.since = now
	}
}

func (r *serviceRate) finished(now time.Time, tokens float64, running int) {
	r.work += tokens
	r.busy += now.Sub(r.since)
	r.since = now
	if r.busy < rateWindow || r.work <= 0 {
		return
	}
	measured := r.work / r.busy.Seconds()
	if !r.known {
		r.value, r.known = measured, true
	} else {
		r.value += rateGain * (measured - r.value)
	}
	r.work, r.busy = 0, 0
	_ = running
}

// Concurrency decides how many requests a sidecar runs on its engine at once.
//
// Rule: once a window of Window completions, the mean time per token is compared
// with the allowed time, which is Tolerance times the lowest seen and at most
// MaxTokenTime. Above it the limit falls by a tenth. Below it the limit rises by
// one, if it was used in full. A refusal by the engine lowers it by one at once.
type Concurrency struct {
	opts   ConcurrencyOptions
	limit  float64
	lowest float64
	sum    float64
	count  int
	full   bool
}

// ConcurrencyOptions configure a Concurrency; zero values mean the defaults.
type ConcurrencyOptions struct {
	// Slots is the configured number of useful requests, the first limit;
	// default 16.
	Slots int
	// Max is the largest limit; default 4 * Slots.
	Max int
	// Tolerance is the allowed time per token relative to the lowest; default 2.
	Tolerance float64
	// MaxTokenTime bounds the allowed time per token; default 71 ms.
	MaxTokenTime time.Duration
	// Window is the number of completions between two decisions; default 16.
	Window int
}

// NewConcurrency returns the concurrency toward one engine.
func NewConcurrency(opts ConcurrencyOptions) *Concurrency {
	if opts.Slots <= 0 {
		opts.Slots = 16
	}
	if opts.Max <= 0 {
		opts.Max = 4 * opts.Slots
	}
	if opts.Tolerance <= 0 {
		opts.Tolerance = 2
	}
	if opts.MaxTokenTime <= 0 {
		opts.MaxTokenTime = 71 * time.Millisecond
	}
	if opts.Window <= 0 {
		opts.Window = 16
	}
	return &Concurrency{opts: opts, limit: float64(opts.Slots)}
}

// Limit returns how many requests may run at once; at least 1.
func (c *Concurrency) Limit() int { return max(1, int(c.limit)) }

// Completed reports an ended request: its mean time per token and how many
// requests ran when it ended, itself included.
func (c *Concurrency) Completed(perToken time.Duration, running int) {
	if perToken <= 0 {
		return
	}
	c.sum += perToken.Seconds()
	c.count++
	c.full = c.full || running >= c.Limit()
	if c.count >= c.opts.Window {
		c.decide()
	}
}

// Refused reports that the engine refused a request as too many.
func (c *Concurrency) Refused() { c.set(c.limit - 1) }

func (c *Concurrency) decide() {
	mean := c.sum / float64(c.count)
	if c.lowest == 0 || mean < c.lowest {
		c.lowest = mean
	}
	allowed := math.Min(c.lowest*c.opts.Tolerance, c.opts.MaxTokenTime.Seconds())
	switch {
	case mean > allowed:
		c.set(c.limit * 0.9)
	case c.full:
		c.set(c.limit + 1)
	}
	// The lowest figure ages, so that a lasting change of the engine is learned.
	c.lowest *= 1.01
	c.sum, c.count, c.full = 0, 0, false
}

func (c *Concurrency) set(limit float64) {
	c.limit = math.Min(math.Max(limit, 1), float64(c.opts.Max))
}
