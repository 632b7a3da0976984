package cascade_test

import (
	"fmt"
	"testing"

	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/policybench"
)

// BenchmarkPolicyCascadeLimits prints quality and cost under conditions for which no
// bounds are guaranteed: many seeds, bad answers that are rated good, confidence that
// carries no information, and other targets, one of which only the most expensive
// version reaches.
func BenchmarkPolicyCascadeLimits(b *testing.B) {
	for b.Loop() {
		var table policybench.Table
		table.AddRow("case", "lowest quality", "mean quality", "mean cost of always strong", "runs below target")
		for _, r := range ratingServices {
			addLimitRow(&table, "ratings "+r.Name, r, 0.9, func(*policybench.QualityTrace) {})
		}
		timely := ratingServices[0]
		for _, share := range []float64{0.1, 0.3} {
			r := timely
			r.FalseGood = share
			addLimitRow(&table, percentName("bad answers rated good", share), r, 0.9, func(*policybench.QualityTrace) {})
		}
		addLimitRow(&table, "confidence without information", timely, 0.9, func(q *policybench.QualityTrace) { q.ConfidenceNoise = 3 })
		addLimitRow(&table, "target 0.96", timely, 0.96, func(*policybench.QualityTrace) {})
		addLimitRow(&table, "target 0.80", timely, 0.8, func(*policybench.QualityTrace) {})
		fmt.Println(table.String())
	}
}

func percentName(text string, share float64) string {
	return fmt.Sprintf("%s: %.0f%%", text, share*100)
}

func addLimitRow(table *policybench.Table, name string, ratings policybench.RatingService, target float64, modify func(*policybench.QualityTrace)) {
	class := *policyClass
	class.QualityTarget = target
	const seeds = 12
	lowest, quality, cost, belowTarget := 1.0, 0.0, 0.0, 0
	for seed := range uint64(seeds) {
		trace := policybench.DefaultQualityTrace(seed+101, policyRequests)
		modify(&trace)
		requests := trace.Generate()
		r := trace.RunPlanner(requests, &class, ratings, cascade.Options{})
		lowest = min(lowest, r.Quality(0))
		quality += r.Quality(0) / seeds
		cost += r.MeanCost(0) / trace.RunSingle(requests, 2).MeanCost(0) / seeds
		if r.Quality(0) < target {
			belowTarget++
		}
	}
	table.AddRow(name, lowest, quality, cost, belowTarget)
}
