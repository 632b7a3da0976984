package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

const (
	// refreshInterval is the longest time between two reports of an entry. In a
	// fleet of more than 25 entries the interval is refreshIntervalPerEntry times
	// their number, so that the reports of all entries fit into the digests.
	refreshInterval         = 5 * time.Second
	refreshIntervalPerEntry = 200 * time.Millisecond
	// maxMissedRefreshes is the number of refresh intervals without a report after
	// which an entry no longer counts as live.
	maxMissedRefreshes = 4
	// sumCacheTTL is how long a cached sum over the other entries is updated
	// incrementally. After that it is recomputed, which leaves out entries that
	// stopped reporting.
	sumCacheTTL = 5 * time.Second
	// maxDigestUpdates and maxDigestRepairs bound the demand records in a digest. With
	// about 85 bytes per record and four digests per second, including answers, the
	// traffic stays below 3 KB/s.
	maxDigestUpdates = 6
	maxDigestRepairs = 2
	// updateSends is the number of digests in which each entry sends a new record.
	// Entries that none of them reaches receive it as a repair.
	updateSends = 4
	// largeFleetEntries is the number of entries above which a report needs several
	// gossip rounds to reach every entry.
	largeFleetEntries = 16
	// reportThreshold is the relative change of demand that is reported.
	// reportThresholdLargeFleet applies in a large fleet, which has more reports.
	reportThreshold           = 0.2
	reportThresholdLargeFleet = 0.4
)

// demandReports holds the latest demand records of all entries and selects those
// that are passed on by gossip.
type demandReports struct {
	// self is the instance name of this entry.
	self string
	// sequence and reportedAt are those of this entry's latest record.
	sequence   int
	reportedAt time.Time
	// expiredAt is when expired origins were last removed.
	expiredAt time.Time
	// origins holds the reporting entries by instance name.
	origins map[string]*origin
	// records holds the records of all origins in the order of their first report.
	records []*demandRecord
	// pending holds the records with sends left.
	pending []*demandRecord
	// entryCount is the number of live entries in the fleet.
	entryCount int
	// sums caches the result of sumOthers by customer.
	sums map[string]demandSum
	// repairCursor is the index in records of the last one sent as a repair.
	repairCursor int
}

// demandSum is the total demand of a customer at the other live entries.
type demandSum struct {
	computedAt time.Time
	// liveOrigins is the number of other entries that reported recently.
	liveOrigins int
	// rate is the sum of the reported demands in requests/s.
	rate float64
	// running is the sum of the reported running requests.
	running int
	// records are the summed records.
	records []*demandRecord
}

// origin is an entry that reports demand.
type origin struct {
	lastReportAt time.Time
	// sequence is the highest sequence number received.
	sequence int
	// records holds the latest record of each customer.
	records map[string]*demandRecord
}

// demandRecord is the latest demand of one customer at one entry.
type demandRecord struct {
	demand api.Demand
	origin *origin
	// isLocal reports whether the record is one of this entry.
	isLocal bool
	// sendsLeft is the number of further digests that carry the record as an update.
	sendsLeft int
	// rateChange is the largest change of the rate, in requests/s, while the record
	// is pending. Large changes are sent first.
	rateChange float64
}

func newDemandReports(self string) demandReports {
	return demandReports{self: self, entryCount: 1, origins: map[string]*origin{}, sums: map[string]demandSum{}}
}

// merge stores a demand record unless the one held is as new.
func (r *demandReports) merge(now time.Time, d api.Demand) {
	o, ok := r.origins[d.Origin]
	if !ok {
		o = &origin{records: map[string]*demandRecord{}}
		r.origins[d.Origin] = o
	}
	if !ok || now.Sub(o.lastReportAt) > r.originTimeout() {
		clear(r.sums)
	}
	if d.Sequence > o.sequence {
		o.sequence, o.lastReportAt = d.Sequence, now
	}
	rec, ok := o.records[d.Customer]
	if !ok {
		delete(r.sums, d.Customer)
		rec = &demandRecord{origin: o, isLocal: d.Origin == r.self}
		o.records[d.Customer] = rec
		r.records = append(r.records, rec)
	}
	if ok && d.Sequence <= rec.demand.Sequence {
		return
	}
	if rec.sendsLeft == 0 {
		r.pending = append(r.pending, rec)
		rec.rateChange = 0
	}
	rec.rateChange = math.Max(rec.rateChange, math.Abs(d.Rate-rec.demand.Rate))
	if cached, found := r.sums[d.Customer]; found && !rec.isLocal {
		cached.rate += d.Rate - rec.demand.Rate
		cached.running += d.Running - rec.demand.Running
		r.sums[d.Customer] = cached
	}
	rec.demand, rec.sendsLeft = d, updateSends
}

// sumOthers returns the sum of the other live entries' demand of a customer. The sum
// is cached for sumCacheTTL and kept up to date by merge, so that a request does not
// visit every record.
func (r *demandReports) sumOthers(now time.Time, customer string) demandSum {
	if cached, ok := r.sums[customer]; ok && now.Sub(cached.computedAt) < sumCacheTTL {
		return cached
	}
	out, timeout := demandSum{computedAt: now}, r.originTimeout()
	for name, o := range r.origins {
		if name == r.self || now.Sub(o.lastReportAt) > timeout {
			continue
		}
		out.liveOrigins++
	}
	for _, rec := range r.records {
		d := &rec.demand
		if d.Customer != customer || rec.isLocal || now.Sub(rec.origin.lastReportAt) > timeout {
			continue
		}
		out.rate += d.Rate
		out.running += d.Running
		out.records = append(out.records, rec)
	}
	r.sums[customer] = out
	return out
}

// expireOrigins removes the other entries without a report for twice the origin timeout, and
// their records. It does so at most once per refresh interval.
func (r *demandReports) expireOrigins(now time.Time) {
	if now.Sub(r.expiredAt) < r.refreshInterval() {
		return
	}
	r.expiredAt = now
	dropped := false
	for name, o := range r.origins {
		if name != r.self && now.Sub(o.lastReportAt) > 2*r.originTimeout() {
			delete(r.origins, name)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	isExpired := func(rec *demandRecord) bool { return r.origins[rec.demand.Origin] == nil }
	r.records = slices.DeleteFunc(r.records, isExpired)
	r.pending = slices.DeleteFunc(r.pending, isExpired)
}

func (r *demandReports) refreshInterval() time.Duration {
	return max(refreshInterval, time.Duration(r.entryCount)*refreshIntervalPerEntry)
}

// originTimeout returns the time without a report after which an entry no longer
// counts as live.
func (r *demandReports) originTimeout() time.Duration {
	return maxMissedRefreshes * r.refreshInterval()
}

func (r *demandReports) propagationDelay() time.Duration {
	if r.entryCount > largeFleetEntries {
		return propagationDelayLargeFleet
	}
	return propagationDelay
}

func (r *demandReports) reportThreshold() float64 {
	if r.entryCount > largeFleetEntries {
		return reportThresholdLargeFleet
	}
	return reportThreshold
}

// nextDigest returns the records of one digest: pending updates, this entry's own
// first and then those with the largest change, followed by repairs. Repairs are
// taken from all records in rotation and replace updates that were lost.
func (r *demandReports) nextDigest() []api.Demand {
	slices.SortStableFunc(r.pending, func(a, b *demandRecord) int {
		if a.isLocal != b.isLocal {
			if a.isLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.rateChange, a.rateChange)
	})
	out := make([]api.Demand, 0, maxDigestUpdates+maxDigestRepairs)
	for _, rec := range r.pending[:min(maxDigestUpdates, len(r.pending))] {
		rec.sendsLeft--
		out = append(out, rec.demand)
	}
	r.pending = slices.DeleteFunc(r.pending, func(rec *demandRecord) bool { return rec.sendsLeft == 0 })
	for range min(maxDigestRepairs, len(r.records)) {
		r.repairCursor = (r.repairCursor + 1) % len(r.records)
		out = append(out, r.records[r.repairCursor].demand)
	}
	return out
}

// Demands returns the demand records for one digest to a peer: this entry's own
// changed demand and a bounded selection of the records of other entries.
func (c *CustomerLimiter) Demands(now time.Time) []api.Demand {
	c.reports.expireOrigins(now)
	due := now.Sub(c.reports.reportedAt) >= c.reports.refreshInterval()
	for i, name := range c.customerNames {
		if c.needsReport(now, name) || (due && i == 0) {
			c.recordOwnDemand(now, name)
		}
	}
	return c.reports.nextDigest()
}

// MergeDemands merges the demand records of a digest received from a peer. It
// ignores invalid records, records of this entry and records that are not newer than
// those held.
func (c *CustomerLimiter) MergeDemands(now time.Time, demands []api.Demand) {
	for _, d := range demands {
		if d.Origin != c.reports.self && !math.IsNaN(d.Rate) && d.Rate >= 0 && d.Running >= 0 {
			c.reports.merge(now, d)
		}
	}
}

// needsReport reports whether a customer's demand or running requests changed enough
// since the last report.
func (c *CustomerLimiter) needsReport(now time.Time, name string) bool {
	s := c.customers[name]
	if s.config.RequestsPerSecond <= 0 && s.config.Concurrency <= 0 {
		return false
	}
	last, ok := s.reportedDemand.latest()
	if !ok {
		return true
	}
	if differsBy(s.cappedDemand(now), last, c.reports.reportThreshold()) {
		return true
	}
	own := c.reports.origins[c.reports.self].records[name]
	return s.config.Concurrency > 0 && differsBy(float64(s.running), float64(own.demand.Running), c.reports.reportThreshold())
}

// cappedDemand returns the customer's demand at this entry, in requests/s, capped at
// its rate limit. Demand below 0.001 requests/s counts as none.
func (s *customer) cappedDemand(now time.Time) float64 {
	rate := s.requestRate.rate(now)
	if s.config.RequestsPerSecond > 0 {
		rate = math.Min(rate, s.config.RequestsPerSecond)
	}
	if rate < 1e-3 {
		return 0
	}
	return rate
}

// differsBy reports whether a and b differ by more than threshold times the larger.
func differsBy(a, b, threshold float64) bool {
	return math.Abs(a-b) > threshold*math.Max(a, b)
}

// recordOwnDemand stores the current demand of a customer as this entry's record.
// Sequence numbers are at least the Unix time in milliseconds, so that they also
// increase across a restart.
func (c *CustomerLimiter) recordOwnDemand(now time.Time, name string) {
	s := c.customers[name]
	r := &c.reports
	r.sequence = max(r.sequence+1, int(now.UnixMilli()))
	r.reportedAt = now
	rate := s.cappedDemand(now)
	s.reportedDemand.add(now, rate)
	d := api.Demand{Customer: name, Origin: c.reports.self, Rate: rate, Running: s.running, Sequence: r.sequence}
	r.merge(now, d)
}
