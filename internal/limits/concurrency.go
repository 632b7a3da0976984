package limits

import (
	"math"
	"time"
)

// Concurrency decides how many requests a sidecar runs on its engine at once.
//
// Rule: once a window of Window completions, the mean time per token is compared
// with the allowed time, which is Tolerance times the lowest seen and at most
// MaxTokenTime. Above it the limit falls by a tenth, but not below a quarter of
// Slots: there the engine is slow for another reason than concurrency, and the
// lowest time is learned anew. Below it the limit rises by one, if it was used in
// full. When the throughput (running requests divided by time per token) falls
// below worthwhile times the best seen at a lower limit, the limit returns to that
// one and rests there for probeRest windows. A refusal by the engine lowers it by
// one at once.
type Concurrency struct {
	opts   ConcurrencyOptions
	limit  float64
	lowest float64
	sum    float64
	load   float64
	count  int
	full   bool
	// best is the highest throughput seen, at limit bestAt.
	best, bestAt float64
	rest         int
}

const (
	// worthwhile is the part of the best throughput below which a higher limit
	// does harm: the engine has run out of memory for more requests.
	worthwhile = 0.95
	// bestFade lowers the remembered best once a window, so that a lasting change
	// of the engine is learned.
	bestFade = 0.998
	// probeRest is the number of windows between two tries of a higher limit.
	probeRest = 16
)

// ConcurrencyOptions configure a Concurrency; zero values mean the defaults.
type ConcurrencyOptions struct {
	// Slots is the configured number of useful requests, the first limit;
	// default 16.
	Slots int
	// Max is the largest limit; default 4 * Slots.
	Max int
	// Tolerance is the allowed time per token relative to the lowest; default 3.
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
		opts.Tolerance = 3
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
	c.load += float64(running)
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
	rate := c.load / float64(c.count) / mean
	switch {
	case mean > allowed && c.limit <= c.low():
		c.lowest = mean
	case mean > allowed:
		c.set(math.Max(c.limit*0.9, c.low()))
	case c.full && c.limit > c.bestAt && rate < c.best*worthwhile:
		c.set(c.bestAt)
		c.rest = probeRest
	case c.full && c.rest > 0:
		c.rest--
	case c.full:
		c.set(c.limit + 1)
	}
	c.best *= bestFade
	if rate > c.best {
		c.best, c.bestAt = rate, c.load/float64(c.count)
	}
	c.load = 0
	c.sum, c.count, c.full = 0, 0, false
}

// low is the limit below which slowness is not put down to concurrency.
func (c *Concurrency) low() float64 { return math.Max(1, float64(c.opts.Slots)/4) }

// Reset forgets the learned times, for instance after the engine restarted or
// loaded other versions.
func (c *Concurrency) Reset() { *c = Concurrency{opts: c.opts, limit: c.limit} }

func (c *Concurrency) set(limit float64) {
	c.limit = math.Min(math.Max(limit, 1), float64(c.opts.Max))
}
