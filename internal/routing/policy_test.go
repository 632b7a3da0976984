package routing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/policybench"
	"github.com/borageflow/borageflow/internal/routing"
)

const policySeed = 7

func mixedTraffic(drafts float64) []policybench.Arrival {
	return policybench.Traffic{
		Seed: policySeed, Duration: 70 * time.Second,
		LookupsPerSecond: 260, DraftsPerSecond: drafts,
		Prefixes: 400, PrefixSkew: 0.9,
	}.Generate()
}

// Guards against a change that makes the chosen algorithm worse than one of its
// baselines in the tail or in prefix hits.
func TestPolicyBackendServerChoice(t *testing.T) {
	arrivals := mixedTraffic(36)
	results := map[routing.Algorithm]policybench.FleetResult{}
	var table policybench.Table
	table.Row("algorithm", "p50 ms", "p95 ms", "p99 ms", "lookup p50", "lookup p95", "lookup p99", "prefix hits", "busy", "unanswered")
	for _, a := range []routing.Algorithm{routing.RoundRobin, routing.LeastReported, routing.PowerOfTwoReported, routing.PowerOfD} {
		r := policybench.DefaultFleetRun(a, policySeed).Run(arrivals)
		results[a] = r
		all := r.All()
		table.Row(a, policybench.Percentile(all, 50), policybench.Percentile(all, 95), policybench.Percentile(all, 99),
			policybench.Percentile(r.Lookups, 50), policybench.Percentile(r.Lookups, 95), policybench.Percentile(r.Lookups, 99),
			r.HitRate(), r.Busy, r.Unanswered)
	}
	t.Log(table.String())
	chosen := results[routing.PowerOfD]
	for a, r := range results {
		if a == routing.PowerOfD {
			continue
		}
		for _, p := range []float64{50, 95, 99} {
			assert.Assert(t, policybench.Percentile(chosen.All(), p) <= policybench.Percentile(r.All(), p), "p%.0f against %s", p, a)
		}
		assert.Assert(t, chosen.HitRate() > r.HitRate(), "prefix hits against %s", a)
	}
}
