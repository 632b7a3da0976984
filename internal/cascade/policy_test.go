package cascade_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/policybench"
)

const policyRequests = 40_000

var policyClass = &api.Class{Name: "quick", QualityTarget: 0.9, DeadlineMs: 30_000}

// ratingServices are the conditions of the rating service under which the quality
// target must be met.
var ratingServices = []policybench.RatingService{
	{Name: "prompt", Share: 1, Delay: time.Second},
	{Name: "late", Share: 1, Delay: time.Minute},
	{Name: "sparse 5%", Share: 0.05, Delay: time.Second},
	{Name: "biased +0.1", Share: 1, Delay: time.Second, Bias: 0.1},
	{Name: "biased -0.1", Share: 1, Delay: time.Second, Bias: -0.1},
	{Name: "late, sparse, +0.1", Share: 0.05, Delay: time.Minute, Bias: 0.1},
	{Name: "absent", Share: 0},
	{Name: "absent from half", Share: 1, Delay: time.Second, AbsentFrom: policyRequests / 2, AbsentTo: policyRequests},
}

// Guards against a planner that misses the quality target under one of the
// conditions of the rating service, or that is no cheaper than always using the most
// expensive version although all answers are rated.
func TestPolicyCascadeCostAtTarget(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			checkCostAtTarget(t, seed)
		})
	}
}

func checkCostAtTarget(t *testing.T, seed uint64) {
	trace := policybench.DefaultQualityTrace(seed, policyRequests)
	requests := trace.Generate()
	strong := trace.RunSingle(requests, len(trace.Versions)-1)
	var table policybench.Table
	table.AddRow("policy", "ratings", "quality", "cost", "cost, 2nd half", "of always strong", "explored", "late")
	addBaselineRows(t, &table, trace, requests)
	for _, ratings := range ratingServices {
		r := trace.RunPlanner(requests, policyClass, ratings, cascade.Options{})
		addRow(&table, "planner", ratings.Name, r, strong)
		assert.Check(t, r.Quality(0) >= policyClass.QualityTarget, "ratings %s: quality %.4f", ratings.Name, r.Quality(0))
		assert.Check(t, r.DeadlineMisses == 0, "ratings %s: %d requests missed the deadline", ratings.Name, r.DeadlineMisses)
		if ratings.Share == 1 {
			assert.Check(t, r.MeanCost(0) < strong.MeanCost(0), "ratings %s: cost is not below that of always using the strong version", ratings.Name)
		}
	}
	t.Log(fmt.Sprintf("target %.2f", policyClass.QualityTarget), table.String())
}

// addBaselineRows adds the results of always using one version, and of the cascade
// with a fixed threshold that turned out best for this trace.
func addBaselineRows(t *testing.T, table *policybench.Table, trace policybench.QualityTrace, requests []policybench.QualityRequest) {
	strong := trace.RunSingle(requests, len(trace.Versions)-1)
	for i, v := range trace.Versions {
		addRow(table, "always "+v.Name, "-", trace.RunSingle(requests, i), strong)
	}
	static, ok := trace.BestStatic(requests, policyClass.QualityTarget)
	assert.Assert(t, ok)
	name := fmt.Sprintf("static %s-%s at %.2f", trace.Versions[static.First].Name, trace.Versions[static.Second].Name, static.Threshold)
	addRow(table, name, "hindsight", static.Result, strong)
}

func addRow(table *policybench.Table, policy, ratings string, r, strong policybench.CascadeResult) {
	half := len(r.Good) / 2
	table.AddRow(policy, ratings, r.Quality(0), r.MeanCost(0), r.MeanCost(half), r.MeanCost(0)/strong.MeanCost(0), r.Explored, r.DeadlineMisses)
}

const (
	driftSeeds    = 8
	driftRequests = 20_000
	// driftAt is the index of the first request after the drift.
	driftAt = driftRequests / 2
	// driftWindow is the number of requests over which quality is averaged.
	driftWindow = 250
)

// Guards against a class that stays below its target after the quality of a version
// drops but its confidence does not. Every run must meet the target.
func TestPolicyCascadeDrift(t *testing.T) {
	var table policybench.Table
	table.AddRow("drifting", "ratings", "before", "after", "lowest seed", "worst 250", "recovery requests", "recovery s", "cost before", "cost after")
	// The large version drifts less, because every plan needs it to reach the
	// target and no plan could after a larger drift.
	drifts := map[string]float64{"small": -1.2, "medium": -1.2, "large": -0.5}
	var mutex sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for _, version := range []string{"small", "medium", "large"} {
			for _, ratings := range ratingServices[:3] {
				t.Run(version+", "+ratings.Name, func(t *testing.T) {
					t.Parallel()
					before, after, lowestSeed, costs := driftRuns(version, drifts[version], ratings)
					recovery, lowest := recoveryRequests(after)
					mutex.Lock()
					defer mutex.Unlock()
					table.AddRow(version, ratings.Name, policybench.Mean(before), policybench.Mean(after), lowestSeed, lowest,
						recovery, float64(recovery)/policybench.DefaultQualityTrace(0, 0).RequestsPerSecond, costs[0], costs[1])
					assert.Check(t, lowestSeed >= policyClass.QualityTarget, "quality after the drift in the worst run %.4f", lowestSeed)
				})
			}
		}
	})
	t.Log(table.String())
}

// driftRuns returns the quality of each request before and after the drift, averaged
// over the seeds, the lowest quality of a seed after the drift, and the mean cost
// before and after it.
func driftRuns(version string, skill float64, ratings policybench.RatingService) (before, after []float64, lowest float64, costs [2]float64) {
	sum := make([]float64, driftRequests)
	lowest = 1
	for seed := range uint64(driftSeeds) {
		trace := policybench.DefaultQualityTrace(seed+1, driftRequests)
		trace.DriftAt, trace.DriftVersion, trace.DriftSkill = driftAt, version, skill
		r := trace.RunPlanner(trace.Generate(), policyClass, ratings, cascade.Options{})
		for i, good := range r.Good {
			sum[i] += good / driftSeeds
		}
		lowest = min(lowest, r.Quality(driftAt))
		costs[0] += policybench.Mean(r.Cost[:driftAt]) / driftSeeds
		costs[1] += r.MeanCost(driftAt) / driftSeeds
	}
	return sum[:driftAt], sum[driftAt:], lowest, costs
}

// recoveryRequests returns the number of requests from the drift to the end of the
// last window whose quality is more than two standard errors below the target, and
// the lowest quality of a window.
func recoveryRequests(after []float64) (int, float64) {
	tolerance := 2 * math.Sqrt(policyClass.QualityTarget*(1-policyClass.QualityTarget)/(driftWindow*driftSeeds))
	recovery, lowest := 0, 1.0
	for i := 0; i+driftWindow <= len(after); i += driftWindow {
		quality := policybench.Mean(after[i : i+driftWindow])
		lowest = min(lowest, quality)
		if quality < policyClass.QualityTarget-tolerance {
			recovery = i + driftWindow
		}
	}
	return recovery, lowest
}
