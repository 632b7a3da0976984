package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/borageflow/borageflow/api"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestUs  = 1
	highestUs = int64(time.Hour / time.Microsecond)
	digits    = 3
)

// tally is the outcome of one class.
type tally struct {
	counts     api.LoadCounts
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	mayRunOnce map[string]bool // digests of the non-idempotent calls
	saidNotRun map[string]bool // digests of the refusals with not_run
	repeatable map[string]bool // digests of all other requests
}

func newTally(name string) *tally {
	return &tally{
		counts: api.LoadCounts{Name: name, Refused: map[string]int{}, Versions: map[string]int{}},
		first:  newHistogram(), between: newHistogram(), total: newHistogram(),
		mayRunOnce: map[string]bool{}, saidNotRun: map[string]bool{}, repeatable: map[string]bool{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestUs, highestUs, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range, so it is always accepted.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), highestUs))
}

// collector gathers the samples of a run.
type collector struct {
	mu      sync.Mutex
	plan    api.LoadPlan
	classes []*tally
	lag     *hdrhistogram.Histogram
}

func newCollector(plan api.LoadPlan) *collector {
	c := &collector{plan: plan, lag: newHistogram()}
	for _, class := range plan.Classes {
		c.classes = append(c.classes, newTally(class.Name))
	}
	return c
}

func (c *collector) add(s *sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.classes[s.class]
	t.counts.Offered++
	if s.notSent {
		t.counts.NotSent++
		return
	}
	record(c.lag, s.lag)
	t.remember(s, c.plan.Classes[s.class])
	switch {
	case s.complete:
		t.completed(s, c.plan.Classes[s.class])
	case s.lost():
		t.counts.Lost++
	default:
		t.counts.Refused[s.kind]++
	}
}

// remember keeps the digest of a request for the comparison with the ledgers.
func (t *tally) remember(s *sample, class api.LoadClass) {
	if class.Kind == api.LoadKindService && !class.Idempotent {
		t.mayRunOnce[s.digest] = true
	} else {
		t.repeatable[s.digest] = true
	}
	if !s.complete && s.refusedUnrun() {
		t.saidNotRun[s.digest] = true
	}
}

func (t *tally) completed(s *sample, class api.LoadClass) {
	n := &t.counts
	n.Completed++
	n.Tokens += s.tokens
	n.Wrong += count(s.wrong)
	n.Poor += count(s.poor)
	n.SessionMoves += count(s.moved)
	if s.priced {
		n.Cost += s.cost
		n.CostKnown++
	}
	if class.Kind != api.LoadKindService {
		n.Versions[s.version]++
	}
	if s.first > 0 {
		record(t.first, s.first)
	}
	record(t.total, s.total)
	for _, gap := range s.gaps {
		record(t.between, gap)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// result sums the classes up and compares them with the ledgers.
func (c *collector) result(elapsed time.Duration, ledgers ledgers) api.LoadResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := api.LoadResult{
		Seconds: elapsed.Seconds(), ScheduleLag: summarize(c.lag),
		Ledgers: ledgers.read, Classes: []api.LoadCounts{},
	}
	all := newTally("all")
	for _, t := range c.classes {
		result.Runs += t.compare(ledgers)
		all.merge(t)
		result.Classes = append(result.Classes, t.finish())
	}
	result.Classes = append(result.Classes, all.finish())
	return result
}

// compare counts doubled calls and untrue refusals and returns the runs of the
// class in the ledgers.
func (t *tally) compare(ledgers ledgers) int {
	runs := 0
	for digest := range t.mayRunOnce {
		runs += ledgers.runs[digest]
		t.counts.Doubled += count(ledgers.runs[digest] > 1)
	}
	for digest := range t.repeatable {
		runs += ledgers.runs[digest]
	}
	for digest := range t.saidNotRun {
		t.counts.UntrueRefusals += count(ledgers.runs[digest] > 0)
	}
	return runs
}

func (t *tally) merge(other *tally) {
	a, b := &t.counts, other.counts
	a.Offered += b.Offered
	a.NotSent += b.NotSent
	a.Completed += b.Completed
	a.Lost += b.Lost
	a.Wrong += b.Wrong
	a.Poor += b.Poor
	a.Doubled += b.Doubled
	a.UntrueRefusals += b.UntrueRefusals
	a.SessionMoves += b.SessionMoves
	a.Cost += b.Cost
	a.CostKnown += b.CostKnown
	a.Tokens += b.Tokens
	for kind, n := range b.Refused {
		a.Refused[kind] += n
	}
	for version, n := range b.Versions {
		a.Versions[version] += n
	}
	t.first.Merge(other.first)
	t.between.Merge(other.between)
	t.total.Merge(other.total)
}

func (t *tally) finish() api.LoadCounts {
	t.counts.Quality = 1
	if n := t.counts.Completed; n > 0 {
		t.counts.Quality = float64(n-t.counts.Poor-t.counts.Wrong) / float64(n)
	}
	t.counts.FirstToken = summarize(t.first)
	t.counts.BetweenTokens = summarize(t.between)
	t.counts.Total = summarize(t.total)
	return t.counts
}

func summarize(h *hdrhistogram.Histogram) api.LatencySummary {
	if h.TotalCount() == 0 {
		return api.LatencySummary{}
	}
	at := func(percentile float64) int { return int(h.ValueAtPercentile(percentile)) }
	return api.LatencySummary{
		Count: int(h.TotalCount()), Mean: h.Mean(), Max: int(h.Max()),
		P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
	}
}
