package routing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/policybench"
	"github.com/borageflow/borageflow/internal/routing"
)

var algorithms = []routing.Algorithm{routing.RoundRobin, routing.LeastReported, routing.PowerOfTwoReported, routing.PowerOfD}

// mixedTraffic generates lookups and drafts. Their prefixes are reused with a skewed
// popularity, or never. Without reuse the prompts cost about twice as much to
// process, so half the rate puts the same load on the servers.
func mixedTraffic(seed uint64, drafts float64, reuse bool) []policybench.Arrival {
	traffic := policybench.Traffic{
		Seed: seed, Duration: 70 * time.Second,
		LookupsPerSecond: 200, DraftsPerSecond: drafts,
		Prefixes: 400, PrefixSkew: 0.9,
	}
	if !reuse {
		traffic.LookupsPerSecond, traffic.DraftsPerSecond = 100, drafts/2
		traffic.Prefixes, traffic.PrefixSkew = 1_000_000, 0
	}
	return traffic.Generate()
}

var percentiles = []float64{50, 95, 99}

// Guards against a change that makes PowerOfD worse than one of the baselines at any
// percentile of the time to first token, or in prefix hits.
func TestPolicyBackendServerChoice(t *testing.T) {
	for _, reuse := range []bool{true, false} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("reuse=%v/seed=%d", reuse, seed), func(t *testing.T) {
				t.Parallel()
				compareAlgorithms(t, mixedTraffic(seed, 16, reuse), seed, reuse)
			})
		}
	}
}

func compareAlgorithms(t *testing.T, arrivals []policybench.Arrival, seed uint64, reuse bool) {
	results := map[routing.Algorithm]policybench.FleetResult{}
	var table policybench.Table
	table.AddRow("first token, ms", "p50", "p95", "p99", "lookup p50", "lookup p95", "lookup p99", "prefix hits", "busy", "unanswered")
	for _, a := range algorithms {
		r := policybench.DefaultFleetRun(a, seed).Run(arrivals)
		results[a] = r
		row := []any{a}
		for _, times := range [][]float64{r.All(), r.Lookups} {
			for _, p := range percentiles {
				row = append(row, policybench.Percentile(times, p))
			}
		}
		table.AddRow(append(row, r.HitRate(), r.Utilization, r.Unanswered)...)
	}
	t.Log(table.String())
	powerOfD := results[routing.PowerOfD]
	for _, a := range algorithms[:3] {
		for _, p := range percentiles {
			assert.Check(t, policybench.Percentile(powerOfD.All(), p) <= policybench.Percentile(results[a].All(), p), "p%.0f against %s", p, a)
		}
		if reuse {
			assert.Check(t, powerOfD.HitRate() > results[a].HitRate(), "prefix hits against %s", a)
		}
	}
}

// maxLookupP95Ms is the objective for the 95th percentile of the time to first
// token of lookups, in milliseconds.
const maxLookupP95Ms = 800.0

// Guards against lookups that queue behind long drafts.
func TestPolicyLookupsBesideDrafts(t *testing.T) {
	var table policybench.Table
	table.AddRow("drafts/s", "lookup p50 ms", "lookup p95 ms", "lookup p99 ms", "draft p95 ms", "busy")
	for _, drafts := range []float64{0, 4, 8, 16} {
		r := policybench.DefaultFleetRun(routing.PowerOfD, 1).Run(mixedTraffic(1, drafts, true))
		table.AddRow(drafts, policybench.Percentile(r.Lookups, 50), policybench.Percentile(r.Lookups, 95), policybench.Percentile(r.Lookups, 99),
			policybench.Percentile(r.Drafts, 95), r.Utilization)
		assert.Check(t, policybench.Percentile(r.Lookups, 95) <= maxLookupP95Ms, "with %v drafts/s", drafts)
	}
	t.Log(table.String())
}
