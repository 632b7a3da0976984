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
	eager := placement.Options{LoadsPerMinute: 60, LoadBurst: 18, Hysteresis: 0.01, Dwell: time.Nanosecond, Smooth: time.Second}
	bounded := placement.Options{LoadsPerMinute: 6, LoadBurst: 2}
	slow := placement.Options{LoadsPerMinute: 1, LoadBurst: 1}
	t.Logf("%-24s %-10s %7s %7s %6s %9s %9s %10s", "policy", "case", "useful", "served", "loads", "loads/min", "below min", "one domain")
	for _, c := range []struct {
		name string
		run  loadmodel.Placement
	}{
		{"moving", loadmodel.Placement{}},
		{"rollout", loadmodel.Placement{RollAt: time.Hour}},
		{"domain", loadmodel.Placement{FailAt: time.Hour}},
		{"noisy", loadmodel.Placement{Noise: 0.5}},
		{"steady", loadmodel.Placement{Swing: 0.01, Noise: 0.5}},
	} {
		base := c.run
		base.Replicas, base.Domains, base.Versions, base.Load = 18, 4, 6, 0.85
		base.Period, base.Duration, base.LoadTime = time.Hour, 4*time.Hour, 45*time.Second
		if base.Swing == 0 {
			base.Swing = 0.8
		}
		run := func(name string, options *placement.Options) loadmodel.PlacementResult {
			bench := base
			bench.Options = options
			r := bench.Run()
			t.Logf("%-24s %-10s %7.3f %7.3f %6d %9d %9d %10.2f", name, c.name, r.Useful, r.Served, r.Loads, r.MostLoads, r.BelowMin, r.OneDomain)
			return r
		}
		static := run("static", nil)
		run("eager, no hysteresis", &eager)
		run("1 load/min", &slow)
		r := run("planner", &bounded)
		assert.Assert(t, r.BelowMin == 0)
		assert.Assert(t, float64(r.MostLoads) <= bounded.LoadsPerMinute+float64(bounded.LoadBurst))
		if c.name != "steady" {
			assert.Assert(t, r.Useful > static.Useful, "useful share %.3f, static %.3f", r.Useful, static.Useful)
		}
	}
}
