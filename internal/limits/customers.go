// Package limits decides which requests are admitted: customers' fleet-wide
// rates and concurrency at an entry, and fair queueing, load shedding and
// concurrency toward the engine at a sidecar. It is pure: callers pass the time
// and serialise the calls.
package limits

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// floorShare is the part of each limit divided equally among the entries
	// whatever they report, so that a request at an idle entry can be admitted.
	// largeFloor applies in a large fleet, where reports lag.
	floorShare = 0.1
	largeFloor = 0.2
	// spreadTime is how long an entry waits before it uses a rise of its own
	// reported demand. Reports that reach every entry within it cause no
	// overshoot; it equals the time a configuration needs to reach every process.
	// largeSpread applies in a large fleet.
	spreadTime  = 3 * time.Second
	largeSpread = 8 * time.Second
	// demandTime is the time constant of the demand estimate.
	demandTime = 5 * time.Second
	// minRetry and maxRetry bound the advised delay of a refusal.
	minRetry = 10 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Customers holds the limits of every customer at one entry.
type Customers struct {
	names   []string
	state   map[string]*customer
	reports reports
}

type customer struct {
	limit   api.Customer
	bucket  bucket
	demand  rateEstimate
	ended   rateEstimate
	own     window
	running int
}

// NewCustomers returns the limits of the entry instance self. Nothing is
// admitted before the first Apply.
func NewCustomers(self string) *Customers {
	return &Customers{state: map[string]*customer{}, reports: newReports(self)}
}

// SetEntries sets the number of live entries of the fleet, this one included.
func (c *Customers) SetEntries(n int) { c.reports.entries = max(n, 1) }

// Apply takes the limits of a snapshot. Running counts and demand estimates of
// customers that stay are kept.
func (c *Customers) Apply(snapshot *manifest.Snapshot) {
	next := make(map[string]*customer, len(snapshot.Manifest.Customers))
	c.names = c.names[:0]
	for _, limit := range snapshot.Manifest.Customers {
		state, ok := c.state[limit.Name]
		if !ok {
			state = &customer{}
		}
		state.limit = limit
		next[limit.Name] = state
		c.names = append(c.names, limit.Name)
	}
	c.state = next
}

// Admit counts one request of a customer. A refusal is rate_limited with run
// state not_run and the time after which this entry has room; an admitted
// request must be ended by Done.
func (c *Customers) Admit(now time.Time, name string) *errkind.Error {
	s, ok := c.state[name]
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the customer is not in the manifest")
	}
	s.demand.add(now, 1)
	if s.limit.Concurrency > 0 && !c.hasSlot(now, name) {
		return refuse("the customer's concurrency limit is reached", s.slotWait(now))
	}
	if s.limit.RequestsPerSecond > 0 {
		share := c.share(now, name)
		rate := s.limit.RequestsPerSecond * share
		depth := math.Max(1, s.burst()*share)
		if wait := s.bucket.take(now, rate, depth, s.burst()*share); wait > 0 {
			return refuse("the customer's rate limit is reached", wait)
		}
	}
	s.running++
	return nil
}

// Done ends a request that Admit admitted. It is ignored for a customer that
// the manifest no longer holds.
func (c *Customers) Done(now time.Time, name string) {
	s, ok := c.state[name]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	s.ended.add(now, 1)
}

// Running returns the customer's running requests at this entry.
func (c *Customers) Running(name string) int {
	if s, ok := c.state[name]; ok {
		return s.running
	}
	return 0
}

func refuse(message string, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.RateLimited, message).WithRetryAfter(clampRetry(wait))
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetry), maxRetry) }

func (s *customer) burst() float64 {
	if s.limit.Burst > 0 {
		return float64(s.limit.Burst)
	}
	return math.Max(1, s.limit.RequestsPerSecond)
}

// slotWait is the mean time between ends of the customer's requests here.
func (s *customer) slotWait(now time.Time) time.Duration {
	rate := s.ended.rate(now)
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / rate)
}

// share returns this entry's part of the customer's limits, from 0 to 1.
//
// With n entries, of which k were heard (this one included), the share is
// floor/n + (1-floor) * k/n * own / (own + others), or 1/n while all are known
// to be idle. own is the lowest figure
// this entry reported within spreadTime, others are the latest figures heard:
// a rise is used only after the others know it, a fall at once. Hence the shares
// of all entries sum to at most 1 while reports spread within spreadTime, and a
// group of k entries cut off from the rest takes at most k/n.
func (c *Customers) share(now time.Time, name string) float64 {
	n, part := c.part(now, name)
	floor := floorShare
	if n > largeFleet {
		floor = largeFloor
	}
	return floor/n + (1-floor)*part
}

// part returns the number of entries n and this entry's part k/n * own /
// (own + others) of what is divided by demand.
func (c *Customers) part(now time.Time, name string) (n, part float64) {
	sum := c.reports.others(now, name)
	n = float64(max(c.reports.entries, sum.heard+1))
	known := float64(sum.heard+1) / n
	own := c.state[name].own.lowest(now, c.reports.spread())
	switch {
	case own > 0:
		return n, known * own / (own + sum.rate)
	case sum.rate <= 0 && known >= 1:
		return n, 1 / n
	default:
		return n, 0
	}
}

// hasSlot reports whether one more request may run here. Every entry has one
// slot and the rest are divided by demand, so that the slots of all entries sum
// to at most the limit, or to n when there are more entries than the limit.
// Requests that run at another entry beyond its slots, because its share fell
// while they ran, are taken off what is divided. Besides, the running requests
// that the other entries reported count.
func (c *Customers) hasSlot(now time.Time, name string) bool {
	s := c.state[name]
	sum := c.reports.others(now, name)
	if s.running+sum.running >= s.limit.Concurrency {
		return false
	}
	n, part := c.part(now, name)
	rest := math.Max(float64(s.limit.Concurrency)-n, 0)
	scale := 0.0
	if total := s.own.lowest(now, c.reports.spread()) + sum.rate; total > 0 {
		scale = rest * float64(sum.heard+1) / n / total
	}
	over := 0
	for _, held := range sum.records {
		over += max(held.demand.Running-slots(scale*held.demand.Rate), 0)
	}
	return s.running < slots(math.Max(rest-float64(over), 0)*part)
}

// slots returns the slots of an entry whose part of the divided ones is given.
func slots(part float64) int { return 1 + int(part+1e-9) }
