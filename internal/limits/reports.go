package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

const (
	// refreshAfter is the longest time between two reports of an entry in a small
	// fleet; refreshEach for every entry of a large one is longer, so that the
	// reports of all entries fit in the digests.
	refreshAfter = 5 * time.Second
	refreshEach  = 200 * time.Millisecond
	// forgetFactor is the number of missed refreshes after which a silent entry no
	// longer counts as heard.
	forgetFactor = 4
	// keepSum is how long a sum over the other entries is updated in place before
	// it is formed anew, which leaves out entries that fell silent.
	keepSum = 5 * time.Second
	// digestNews and digestRepairs bound the demand records of one digest. At
	// about 85 bytes a record and four digests a second, answers included, they
	// stay under 3 KB/s.
	digestNews    = 6
	digestRepairs = 2
	// newsSends is how many digests of each entry carry a new record; the repairs
	// reach the few entries that it misses.
	newsSends = 4
	// largeFleet is the number of entries above which reports need several rounds
	// to reach everyone.
	largeFleet = 16
	// reportStep is the relative change of demand that is reported; largeStep
	// in a large fleet, where reports are many.
	reportStep = 0.2
	largeStep  = 0.4
)

// reports holds the demand records of every entry and chooses which to pass on.
type reports struct {
	self     string
	sequence int
	reported time.Time
	swept    time.Time
	origins  map[string]*origin
	order    []*record
	news     []*record
	entries  int
	sums     map[string]sum
	cursor   int
}

// sum is what the other entries reported of a customer.
type sum struct {
	at      time.Time
	heard   int
	rate    float64
	running int
	records []*record
}

type origin struct {
	heard    time.Time
	sequence int
	records  map[string]*record
}

type record struct {
	demand api.Demand
	origin *origin
	// own marks a record of this entry.
	own bool
	// sends is how many more digests carry the record as news.
	sends int
	// change is the change of the rate that the news states. Large changes are
	// passed on first.
	change float64
}

func newReports(self string) reports {
	return reports{self: self, entries: 1, origins: map[string]*origin{}, sums: map[string]sum{}}
}

func (r *reports) store(now time.Time, d api.Demand) {
	o, ok := r.origins[d.Origin]
	if !ok {
		o = &origin{records: map[string]*record{}}
		r.origins[d.Origin] = o
	}
	if !ok || now.Sub(o.heard) > r.forgetAfter() {
		clear(r.sums)
	}
	if d.Sequence > o.sequence {
		o.sequence, o.heard = d.Sequence, now
	}
	held, ok := o.records[d.Customer]
	if !ok {
		delete(r.sums, d.Customer)
		held = &record{origin: o, own: d.Origin == r.self}
		o.records[d.Customer] = held
		r.order = append(r.order, held)
	}
	if ok && d.Sequence <= held.demand.Sequence {
		return
	}
	if held.sends == 0 {
		r.news = append(r.news, held)
		held.change = 0
	}
	held.change = math.Max(held.change, math.Abs(d.Rate-held.demand.Rate))
	if kept, found := r.sums[d.Customer]; found && !held.own {
		kept.rate += d.Rate - held.demand.Rate
		kept.running += d.Running - held.demand.Running
		r.sums[d.Customer] = kept
	}
	held.demand, held.sends = d, newsSends
}

// others sums what the other entries reported of a customer. The sum is kept
// and updated for keepSum, so that a request does not visit every record.
func (r *reports) others(now time.Time, customer string) sum {
	if kept, ok := r.sums[customer]; ok && now.Sub(kept.at) < keepSum {
		return kept
	}
	out, limit := sum{at: now}, r.forgetAfter()
	for name, o := range r.origins {
		if name == r.self || now.Sub(o.heard) > limit {
			continue
		}
		out.heard++
	}
	for _, held := range r.order {
		d := &held.demand
		if d.Customer != customer || held.own || now.Sub(held.origin.heard) > limit {
			continue
		}
		out.rate += d.Rate
		out.running += d.Running
		out.records = append(out.records, held)
	}
	r.sums[customer] = out
	return out
}

// forget drops entries that were silent for long.
func (r *reports) forget(now time.Time) {
	if now.Sub(r.swept) < r.refreshAfter() {
		return
	}
	r.swept = now
	dropped := false
	for name, o := range r.origins {
		if now.Sub(o.heard) > 2*r.forgetAfter() {
			delete(r.origins, name)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	gone := func(held *record) bool { return r.origins[held.demand.Origin] == nil }
	r.order = slices.DeleteFunc(r.order, gone)
	r.news = slices.DeleteFunc(r.news, gone)
}

func (r *reports) refreshAfter() time.Duration {
	return max(refreshAfter, time.Duration(r.entries)*refreshEach)
}

func (r *reports) forgetAfter() time.Duration { return forgetFactor * r.refreshAfter() }

func (r *reports) spread() time.Duration {
	if r.entries > largeFleet {
		return largeSpread
	}
	return spreadTime
}

func (r *reports) step() float64 {
	if r.entries > largeFleet {
		return largeStep
	}
	return reportStep
}

// pick returns the records of one digest: the largest news first, this entry's
// own before those of others, and some of the rest in turn, which repairs losses.
func (r *reports) pick() []api.Demand {
	slices.SortStableFunc(r.news, func(a, b *record) int {
		if a.own != b.own {
			if a.own {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.change, a.change)
	})
	out := make([]api.Demand, 0, digestNews+digestRepairs)
	for _, held := range r.news[:min(digestNews, len(r.news))] {
		held.sends--
		out = append(out, held.demand)
	}
	r.news = slices.DeleteFunc(r.news, func(held *record) bool { return held.sends == 0 })
	for range min(digestRepairs, len(r.order)) {
		r.cursor = (r.cursor + 1) % len(r.order)
		out = append(out, r.order[r.cursor].demand)
	}
	return out
}

// Demands returns the demand records for one digest to a peer: this entry's own
// news and a bounded choice of what it heard.
func (c *Customers) Demands(now time.Time) []api.Demand {
	c.reports.forget(now)
	due := now.Sub(c.reports.reported) >= c.reports.refreshAfter()
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
			c.reports.store(now, d)
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
	if differs(s.wanted(now), last, c.reports.step()) {
		return true
	}
	held := c.reports.origins[c.reports.self].records[name]
	return s.limit.Concurrency > 0 && differs(float64(s.running), float64(held.demand.Running), reportStep)
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

func differs(a, b, step float64) bool {
	return math.Abs(a-b) > step*math.Max(a, b)
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
	d := api.Demand{Customer: name, Origin: c.reports.self, Rate: rate, Running: s.running, Sequence: r.sequence}
	r.store(now, d)
}
