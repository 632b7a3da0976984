package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/borageflow/borageflow/api"
)

// Range, in microseconds, and precision of the latency histograms.
const (
	minLatencyUs      = 1
	maxLatencyUs      = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// classTally accumulates the samples of one class.
type classTally struct {
	counts        api.LoadCounts
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	nonIdempotent map[string]bool // digests of the non-idempotent calls, which may run at most once
	refusedNotRun map[string]bool // digests of the requests that were refused with run state not_run
	repeatable    map[string]bool // digests of all other requests
}

func newClassTally(name string) *classTally {
	return &classTally{
		counts:     api.LoadCounts{Name: name, Refused: map[string]int{}, Versions: map[string]int{}},
		firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram(),
		nonIdempotent: map[string]bool{}, refusedNotRun: map[string]bool{}, repeatable: map[string]bool{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so that RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatencyUs))
}

// collector accumulates the samples of a run by class. It is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	plan    api.LoadPlan
	classes []*classTally
	sendLag *hdrhistogram.Histogram
}

func newCollector(plan api.LoadPlan) *collector {
	c := &collector{plan: plan, sendLag: newHistogram()}
	for _, class := range plan.Classes {
		c.classes = append(c.classes, newClassTally(class.Name))
	}
	return c
}

func (c *collector) add(s *sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.classes[s.class]
	t.counts.Offered++
	if s.skipped {
		t.counts.NotSent++
		return
	}
	record(c.sendLag, s.sendLag)
	t.addDigest(s, c.plan.Classes[s.class])
	switch {
	case s.complete:
		t.addCompleted(s, c.plan.Classes[s.class])
	case s.isLost():
		t.counts.Lost++
	default:
		t.counts.Refused[s.errorKind]++
	}
}

// addDigest stores the digest of a request for the comparison with the ledgers.
func (t *classTally) addDigest(s *sample, class api.LoadClass) {
	if class.Kind == api.LoadKindService && !class.Idempotent {
		t.nonIdempotent[s.requestDigest] = true
	} else {
		t.repeatable[s.requestDigest] = true
	}
	if !s.complete && s.claimsNotRun() {
		t.refusedNotRun[s.requestDigest] = true
	}
}

func (t *classTally) addCompleted(s *sample, class api.LoadClass) {
	n := &t.counts
	n.Completed++
	n.Tokens += s.outputTokens
	n.Wrong += boolToInt(s.wrong)
	n.Poor += boolToInt(s.poor)
	n.SessionMoves += boolToInt(s.sessionMoved)
	if s.costKnown {
		n.Cost += s.cost
		n.CostKnown++
	}
	if class.Kind != api.LoadKindService {
		n.Versions[s.version]++
	}
	if s.firstToken > 0 {
		record(t.firstToken, s.firstToken)
	}
	record(t.total, s.total)
	for _, gap := range s.tokenGaps {
		record(t.betweenTokens, gap)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// result compares each class with the ledgers and returns the result of the run by class, with
// the sum of all classes last.
func (c *collector) result(elapsed time.Duration, ledgers ledgerRuns) api.LoadResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := api.LoadResult{
		Seconds: elapsed.Seconds(), ScheduleLag: summarize(c.sendLag),
		Ledgers: ledgers.ledgerCount, Classes: []api.LoadCounts{},
	}
	all := newClassTally("all")
	for _, t := range c.classes {
		result.Runs += t.compareWithLedgers(ledgers)
		all.merge(t)
		result.Classes = append(result.Classes, t.summary())
	}
	result.Classes = append(result.Classes, all.summary())
	return result
}

// compareWithLedgers counts the non-idempotent calls that ran more than once and the refused
// requests that ran. It returns the number of runs of the class in the ledgers.
func (t *classTally) compareWithLedgers(ledgers ledgerRuns) int {
	runs := 0
	for digest := range t.nonIdempotent {
		runs += ledgers.runsByDigest[digest]
		t.counts.Doubled += boolToInt(ledgers.runsByDigest[digest] > 1)
	}
	for digest := range t.repeatable {
		runs += ledgers.runsByDigest[digest]
	}
	for digest := range t.refusedNotRun {
		t.counts.UntrueRefusals += boolToInt(ledgers.runsByDigest[digest] > 0)
	}
	return runs
}

func (t *classTally) merge(other *classTally) {
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
	t.firstToken.Merge(other.firstToken)
	t.betweenTokens.Merge(other.betweenTokens)
	t.total.Merge(other.total)
}

// summary returns the counts with quality and latencies filled in. Quality is the fraction of
// complete answers that are neither poor nor wrong.
func (t *classTally) summary() api.LoadCounts {
	t.counts.Quality = 1
	if n := t.counts.Completed; n > 0 {
		t.counts.Quality = float64(n-t.counts.Poor-t.counts.Wrong) / float64(n)
	}
	t.counts.FirstToken = summarize(t.firstToken)
	t.counts.BetweenTokens = summarize(t.betweenTokens)
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
