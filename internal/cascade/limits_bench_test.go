package cascade_test

import (
	"fmt"
	"testing"

	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/policybench"
)

// BenchmarkPolicyCascadeLimits prints what the planner achieves where the bounds
// are not promised: many seeds, ratings that call bad answers good, confidence
// without information, and a target that only the strong version reaches.
func BenchmarkPolicyCascadeLimits(b *testing.B) {
	for b.Loop() {
		var table policybench.Table
		table.Row("case", "lowest quality", "mean quality", "mean cost of always strong", "runs below target")
		for _, r := range ratingServices {
			limitRow(&table, "ratings "+r.Name, r, 0.9, func(*policybench.QualityTrace) {})
		}
		prompt := ratingServices[0]
		for _, share := range []float64{0.1, 0.3} {
			r := prompt
			r.FalseGood = share
			limitRow(&table, policyName("bad answers rated good", share), r, 0.9, func(*policybench.QualityTrace) {})
		}
		limitRow(&table, "confidence without information", prompt, 0.9, func(q *policybench.QualityTrace) { q.ConfidenceNoise = 3 })
		limitRow(&table, "target 0.96", prompt, 0.96, func(*policybench.QualityTrace) {})
		limitRow(&table, "target 0.80", prompt, 0.8, func(*policybench.QualityTrace) {})
		fmt.Println(table.String())
	}
}

func policyName(text string, share float64) string {
	return fmt.Sprintf("%s: %.0f%%", text, share*100)
}

func limitRow(table *policybench.Table, name string, ratings policybench.Ratings, target float64, change func(*policybench.QualityTrace)) {
	class := *policyClass
	class.QualityTarget = target
	const seeds = 12
	lowest, quality, cost, below := 1.0, 0.0, 0.0, 0
	for seed := range uint64(seeds) {
		trace := policybench.DefaultQualityTrace(seed+101, policyRequests)
		change(&trace)
		requests := trace.Generate()
		r := trace.RunPlanner(requests, &class, ratings, cascade.Options{})
		lowest = min(lowest, r.Quality(0))
		quality += r.Quality(0) / seeds
		cost += r.MeanCost(0) / trace.RunSingle(requests, 2).MeanCost(0) / seeds
		if r.Quality(0) < target {
			below++
		}
	}
	table.Row(name, lowest, quality, cost, below)
}
