// Package limits implements admission control. At an entry it enforces the
// customers' fleet-wide rate and concurrency limits; at a sidecar it provides fair
// queueing, load shedding and a concurrency limit for the engine. The package does
// no I/O and reads no clock: callers pass the time and serialize the calls.
package limits

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// minEntryShare is the fraction of each limit that is divided equally among the
	// entries regardless of demand, so that an idle entry can admit a request.
	// minEntryShareLargeFleet applies in a large fleet, where reports lag.
	minEntryShare           = 0.1
	minEntryShareLargeFleet = 0.2
	// propagationDelay is the time after which an entry uses an increase of its own
	// reported demand. The fleet does not exceed a limit if reports reach every
	// entry within this time, which equals the time in which a configuration
	// reaches every process. propagationDelayLargeFleet applies in a large fleet.
	propagationDelay           = 3 * time.Second
	propagationDelayLargeFleet = 8 * time.Second
	// rateTimeConstant is the time constant of rateEstimator.
	rateTimeConstant = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// CustomerLimiter enforces the rate and concurrency limits of all customers at one entry.
// The limits are fleet-wide: each entry uses a share of them that follows from the
// demand that the entries report to each other.
type CustomerLimiter struct {
	// customerNames are the keys of customers in the order of the manifest.
	customerNames []string
	customers     map[string]*customer
	reports       demandReports
}

// customer holds the limits of one customer and its use of this entry.
type customer struct {
	config         api.Customer
	bucket         tokenBucket
	requestRate    rateEstimator
	completionRate rateEstimator
	reportedDemand demandHistory
	running        int
}

// NewCustomerLimiter returns the limits of the entry whose instance name is self. It
// refuses every request until limits are applied.
func NewCustomerLimiter(self string) *CustomerLimiter {
	return &CustomerLimiter{customers: map[string]*customer{}, reports: newDemandReports(self)}
}

// SetEntryCount sets the number of live entries in the fleet, including this one.
func (c *CustomerLimiter) SetEntryCount(n int) { c.reports.entryCount = max(n, 1) }

// ApplySnapshot replaces the limits with those of the snapshot's manifest. The running
// requests and estimated rates of customers that remain are kept.
func (c *CustomerLimiter) ApplySnapshot(snapshot *manifest.Snapshot) {
	next := make(map[string]*customer, len(snapshot.Manifest.Customers))
	c.customerNames = c.customerNames[:0]
	for _, config := range snapshot.Manifest.Customers {
		state, ok := c.customers[config.Name]
		if !ok {
			state = &customer{}
		}
		state.config = config
		next[config.Name] = state
		c.customerNames = append(c.customerNames, config.Name)
	}
	c.customers = next
}

// Admit admits or refuses one request of a customer. It returns nil if the request
// is admitted; the caller must then call Done when the request ends. An exceeded
// limit is refused with rate_limited, run state not_run and the time after which
// this entry expects to have capacity. A customer that is not in the manifest is
// refused with unauthenticated.
func (c *CustomerLimiter) Admit(now time.Time, name string) *errkind.Error {
	s, ok := c.customers[name]
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the customer is not in the manifest")
	}
	s.requestRate.add(now, 1)
	if s.config.Concurrency > 0 && !c.hasSlot(now, name) {
		return rateLimited("the customer's concurrency limit is reached", s.expectedSlotWait(now))
	}
	if s.config.RequestsPerSecond > 0 {
		share := c.entryShare(now, name)
		rate := s.config.RequestsPerSecond * share
		depth := math.Max(1, s.burst()*share)
		if wait := s.bucket.take(now, rate, depth, s.burst()*share); wait > 0 {
			return rateLimited("the customer's rate limit is reached", wait)
		}
	}
	s.running++
	return nil
}

// Done records the end of an admitted request. It does nothing if the customer is
// no longer in the manifest.
func (c *CustomerLimiter) Done(now time.Time, name string) {
	s, ok := c.customers[name]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	s.completionRate.add(now, 1)
}

// Running returns the number of the customer's running requests at this entry.
func (c *CustomerLimiter) Running(name string) int {
	if s, ok := c.customers[name]; ok {
		return s.running
	}
	return 0
}

func rateLimited(message string, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.RateLimited, message).WithRetryAfter(clampRetryAfter(wait))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// burst returns the depth of the customer's token bucket: the configured burst, or
// the requests of one second.
func (s *customer) burst() float64 {
	if s.config.Burst > 0 {
		return float64(s.config.Burst)
	}
	return math.Max(1, s.config.RequestsPerSecond)
}

// expectedSlotWait returns the mean time between two completions of the customer's
// requests at this entry, or one second if there were none lately.
func (s *customer) expectedSlotWait(now time.Time) time.Duration {
	rate := s.completionRate.rate(now)
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / rate)
}

// entryShare returns this entry's share of the customer's limits, from 0 to 1.
//
// With n entries, k of which have reported recently (including this one), the
// share is floor/n + (1-floor) * k/n * own/(own+others), or 1/n if all n entries
// are known to be idle. own is the lowest demand that this entry reported within
// the propagation delay, and others is the sum of the latest demands reported by
// the other entries. An increase is thus used only after the other entries know
// it, and a decrease immediately. As a result the shares of all entries sum to at
// most 1 as long as reports propagate within the delay, and a partition of k
// entries uses at most k/n of the limit.
func (c *CustomerLimiter) entryShare(now time.Time, name string) float64 {
	n, byDemand := c.demandShare(now, name)
	floor := minEntryShare
	if n > largeFleetEntries {
		floor = minEntryShareLargeFleet
	}
	return floor/n + (1-floor)*byDemand
}

// demandShare returns the number of entries n, and the share k/n * own/(own+others)
// that this entry has of the part of a limit that is divided by demand.
func (c *CustomerLimiter) demandShare(now time.Time, name string) (n, share float64) {
	peers := c.reports.sumOthers(now, name)
	n = float64(max(c.reports.entryCount, peers.liveOrigins+1))
	knownShare := float64(peers.liveOrigins+1) / n
	own := c.customers[name].reportedDemand.lowest(now, c.reports.propagationDelay())
	switch {
	case own > 0:
		return n, knownShare * own / (own + peers.rate)
	case peers.rate <= 0 && knownShare >= 1:
		return n, 1 / n
	default:
		return n, 0
	}
}

// hasSlot reports whether one more request of a customer may run at this entry.
// Every entry has one slot and the remaining slots are divided by demand, so that
// the slots of all entries sum to at most the limit, or to the number of entries
// if that is larger. An entry whose share decreased may still run more requests
// than it has slots; this excess is subtracted from the divided slots. In addition,
// the running requests reported by all entries must be below the limit.
func (c *CustomerLimiter) hasSlot(now time.Time, name string) bool {
	s := c.customers[name]
	peers := c.reports.sumOthers(now, name)
	if s.running+peers.running >= s.config.Concurrency {
		return false
	}
	n, share := c.demandShare(now, name)
	divisible := math.Max(float64(s.config.Concurrency)-n, 0)
	slotsPerDemand := 0.0
	if total := s.reportedDemand.lowest(now, c.reports.propagationDelay()) + peers.rate; total > 0 {
		slotsPerDemand = divisible * float64(peers.liveOrigins+1) / n / total
	}
	excess := 0
	for _, reported := range peers.records {
		excess += max(reported.demand.Running-slotCount(slotsPerDemand*reported.demand.Rate), 0)
	}
	return s.running < slotCount(math.Max(divisible-float64(excess), 0)*share)
}

// slotCount returns the number of slots of an entry: one, plus its share of the
// divided slots. The small addend absorbs rounding errors.
func slotCount(divisibleShare float64) int { return 1 + int(divisibleShare+1e-9) }
