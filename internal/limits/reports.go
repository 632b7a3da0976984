package limits

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
)

const (
	// refreshAfter is the longest time between two reports of an entry.
	refreshAfter = 5 * time.Second
	// forgetAfter is the age at which a silent entry no longer counts as heard.
	forgetAfter = 20 * time.Second
	// digestDemands bounds the demand records of one digest. At about 90 bytes a
	// record and two digests a second it stays near 3 KB/s.
	digestDemands = 16
	// reportStep is the relative change of demand that is reported.
	reportStep = 0.2
)

// reports holds the demand records of every entry and chooses which to pass on.
type reports struct {
	self     string
	sequence int
	reported time.Time
	origins  map[string]*origin
	order    []*record
	cursor   int
}

type origin struct {
	heard    time.Time
	sequence int
	records  map[string]*record
}

type record struct {
	demand api.Demand
	// sends is how many more digests carry the record as news.
	sends int
}

func newReports(self string) reports {
	return reports{self: self, origins: map[string]*origin{}}
}

func (r *reports) store(now time.Time, d api.Demand, sends int) {
	o, ok := r.origins[d.Origin]
	if !ok {
		o = &origin{records: map[string]*record{}}
		r.origins[d.Origin] = o
	}
	if d.Sequence > o.sequence {
		o.sequence, o.heard = d.Sequence, now
	}
	held, ok := o.records[d.Customer]
	if !ok {
		held = &record{}
		o.records[d.Customer] = held
		r.order = append(r.order, held)
	}
	if ok && d.Sequence <= held.demand.Sequence {
		return
	}
	held.demand, held.sends = d, sends
}

// others sums what the other entries reported of a customer.
func (r *reports) others(now time.Time, customer string) (heard int, rate float64, running int) {
	for name, o := range r.origins {
		if name == r.self || now.Sub(o.heard) > forgetAfter {
			continue
		}
		heard++
		if held, ok := o.records[customer]; ok {
			rate += held.demand.Rate
			running += held.demand.Running
		}
	}
	return heard, rate, running
}

// forget drops entries that were silent for long.
func (r *reports) forget(now time.Time) {
	dropped := false
	for name, o := range r.origins {
		if now.Sub(o.heard) > 2*forgetAfter {
			delete(r.origins, name)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	kept := r.order[:0]
	for _, held := range r.order {
		if _, ok := r.origins[held.demand.Origin]; ok {
			kept = append(kept, held)
		}
	}
	r.order = kept
}

// sendTimes is how many digests carry a new record: enough that, pushed by every
// entry that learns it, it reaches all n entries with high probability.
func sendTimes(n int) int { return 3 + int(math.Ceil(math.Log2(float64(max(n, 2))))) }

// pick returns the records of one digest: news first, then the others in turn,
// which repairs losses.
func (r *reports) pick() []api.Demand {
	out := make([]api.Demand, 0, digestDemands)
	for i := len(r.order) - 1; i >= 0 && len(out) < digestDemands; i-- {
		if r.order[i].sends > 0 {
			r.order[i].sends--
			out = append(out, r.order[i].demand)
		}
	}
	for range r.order {
		if len(out) >= digestDemands {
			break
		}
		r.cursor = (r.cursor + 1) % len(r.order)
		out = append(out, r.order[r.cursor].demand)
	}
	return out
}

// Demands returns the demand records for one digest to a peer: this entry's own
// news and a bounded choice of what it heard.
func (c *Customers) Demands(now time.Time) []api.Demand {
	c.reports.forget(now)
	due := now.Sub(c.reports.reported) >= refreshAfter
	for i, name := range c.names {
		if c.news(now, name) || (due && i == 0) {
			c.report(now, name)
		}
	}
	return c.reports.pick()
}

// MergeDemands takes the demand records of a peer's digest. Records of this
// entry and records older than those held are ignored.
func (c *Customers) MergeDemands(now time.Time, demands []api.Demand) {
	for _, d := range demands {
		if d.Origin != c.reports.self && !math.IsNaN(d.Rate) && d.Rate >= 0 && d.Running >= 0 {
			c.reports.store(now, d, sendTimes(c.entries))
		}
	}
}

// news reports whether a customer's figures differ enough from the last report.
func (c *Customers) news(now time.Time, name string) bool {
	s := c.state[name]
	if s.limit.RequestsPerSecond <= 0 && s.limit.Concurrency <= 0 {
		return false
	}
	last, ok := s.own.last()
	if !ok {
		return true
	}
	if differs(s.wanted(now), last) {
		return true
	}
	held := c.reports.origins[c.self].records[name]
	return s.limit.Concurrency > 0 && differs(float64(s.running), float64(held.demand.Running))
}

// wanted is the demand that counts: never more than the limit itself.
func (s *customer) wanted(now time.Time) float64 {
	rate := s.demand.rate(now)
	if s.limit.RequestsPerSecond > 0 {
		rate = math.Min(rate, s.limit.RequestsPerSecond)
	}
	if rate < 1e-3 {
		return 0
	}
	return rate
}

func differs(a, b float64) bool {
	return math.Abs(a-b) > reportStep*math.Max(a, b)
}

// report stores the present figures as this entry's record. Sequence numbers
// start at the Unix time in milliseconds, so that they rise over a restart.
func (c *Customers) report(now time.Time, name string) {
	s := c.state[name]
	r := &c.reports
	r.sequence = max(r.sequence+1, int(now.UnixMilli()))
	r.reported = now
	rate := s.wanted(now)
	s.own.add(now, rate)
	d := api.Demand{Customer: name, Origin: c.self, Rate: rate, Running: s.running, Sequence: r.sequence}
	r.store(now, d, sendTimes(c.entries))
}
