package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
)

// Guards against a placement that does not follow the demand, exceeds the load rate of
// the weight store, or lets a used version fall below its minimum of replicas.
func TestPolicyPlacement(t *testing.T) {
	eager := placement.PlannerOptions{LoadsPerMinute: 60, LoadBurst: 18, Hysteresis: 0.01, MinDwell: time.Nanosecond, DemandTimeConstant: time.Second}
	bounded := placement.PlannerOptions{LoadsPerMinute: 6, LoadBurst: 2}
	slow := placement.PlannerOptions{LoadsPerMinute: 1, LoadBurst: 1}
	t.Logf("%-24s %-10s %7s %7s %6s %9s %9s %10s", "policy", "case", "useful", "served", "loads", "loads/min", "below min", "one domain")
	for _, c := range []struct {
		name string
		run  loadmodel.PlacementModel
	}{
		{"moving", loadmodel.PlacementModel{}},
		{"rollout", loadmodel.PlacementModel{RolloutAt: time.Hour}},
		{"domain", loadmodel.PlacementModel{FailAt: time.Hour}},
		{"noisy", loadmodel.PlacementModel{Noise: 0.5}},
		{"steady", loadmodel.PlacementModel{DemandAmplitude: 0.01, Noise: 0.5}},
	} {
		base := c.run
		base.Replicas, base.Domains, base.Versions, base.Load = 18, 4, 6, 0.85
		base.Period, base.Duration, base.LoadTime = time.Hour, 4*time.Hour, 45*time.Second
		if base.DemandAmplitude == 0 {
			base.DemandAmplitude = 0.8
		}
		run := func(name string, options *placement.PlannerOptions) loadmodel.PlacementResult {
			bench := base
			bench.Options = options
			r := bench.Run()
			t.Logf("%-24s %-10s %7.3f %7.3f %6d %9d %9d %10.2f", name, c.name, r.UsefulShare, r.ServedShare, r.Loads, r.MaxLoadsPerMinute, r.MinViolations, r.SingleDomainShare)
			return r
		}
		static := run("static", nil)
		run("eager, no hysteresis", &eager)
		run("1 load/min", &slow)
		r := run("planner", &bounded)
		assert.Assert(t, r.MinViolations == 0)
		assert.Assert(t, float64(r.MaxLoadsPerMinute) <= bounded.LoadsPerMinute+float64(bounded.LoadBurst))
		if c.name != "steady" {
			assert.Assert(t, r.UsefulShare > static.UsefulShare, "useful share %.3f, static %.3f", r.UsefulShare, static.UsefulShare)
		}
	}
}
