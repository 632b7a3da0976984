package limits_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
)

func overload(load float64, queue loadmodel.Queue, adaptive bool) loadmodel.OverloadResult {
	run := loadmodel.Overload{
		Seed: 1, Load: load, Entries: 4, Duration: 30 * time.Minute,
		Customers: 10, LargeShare: 0.6, Queue: queue,
	}
	if adaptive {
		run.Limit = limits.NewConcurrencyLimiter(limits.ConcurrencyLimiterOptions{Slots: 32})
	}
	return run.Run()
}

// Guards against faults of the queue under overload: the backend server works on
// requests that miss their deadline, small customers starve, or requests are refused
// after a long wait, without cause or without a retry delay.
func TestPolicyOverload(t *testing.T) {
	t.Logf("%-18s %4s %7s %6s %6s %5s %8s %7s %9s %8s", "queue", "load", "goodput", "large", "small",
		"late", "refused", "waited", "lookup95", "draft95")
	for _, load := range []float64{0.8, 2, 5} {
		fair := overload(load, limits.NewFairQueue(limits.FairQueueOptions{}), false)
		logResult(t, "fair", load, fair)
		logResult(t, "fair, adaptive", load, overload(load, limits.NewFairQueue(limits.FairQueueOptions{}), true))
		logResult(t, "FIFO, no bound", load, overload(load, &loadmodel.FIFO{}, false))
		logResult(t, "FIFO, bound 256", load, overload(load, &loadmodel.FIFO{Bound: 256}, false))
		robin := &loadmodel.RoundRobin{FIFO: loadmodel.FIFO{Bound: 256}}
		logResult(t, "round robin, 256", load, overload(load, robin, false))

		assert.DeepEqual(t, fair.Violations, []string(nil))
		if load <= 1 {
			continue
		}
		large, small := fair.GoodRelativeToFairShare()
		assert.Assert(t, fair.Goodput() > 0.9, "goodput %.3f at load %.0f", fair.Goodput(), load)
		assert.Assert(t, small > 0.9, "the small customer with the least work got %.2f of its share", small)
		assert.Assert(t, large > 0.9, "the large customer got %.2f of its share", large)
		assert.Assert(t, float64(fair.RefusedAfterWait) < 0.05*float64(fair.Refused),
			"%d of %d refused requests waited in the queue first", fair.RefusedAfterWait, fair.Refused)
	}
}

func logResult(t *testing.T, name string, load float64, r loadmodel.OverloadResult) {
	t.Helper()
	large, small := r.GoodRelativeToFairShare()
	t.Logf("%-18s %4.1f %7.3f %6.2f %6.2f %5d %8d %7d %9s %8s", name, load, r.Goodput(), large, small,
		r.Late, r.Refused, r.RefusedAfterWait,
		loadmodel.Quantile(r.Lookups, 0.95).Round(time.Millisecond),
		loadmodel.Quantile(r.Drafts, 0.95).Round(100*time.Millisecond))
}

type fleetCase struct {
	name string
	// maxAdmittedShare is the largest allowed ratio of admitted requests to the
	// limit; 0 disables the check for a baseline.
	maxAdmittedShare float64
	run              loadmodel.Fleet
}

func fleetCases(entries int) []fleetCase {
	n := float64(entries)
	rate := 5 * n
	if entries > 100 {
		rate = 2 * n
	}
	base := loadmodel.Fleet{Seed: 1, Entries: entries, Rate: rate, Offered: 2 * rate, Skew: 1, Duration: time.Minute, RequestTime: 100 * time.Millisecond}
	newCase := func(name string, maxAdmittedShare float64, change func(*loadmodel.Fleet)) fleetCase {
		run := base
		change(&run)
		return fleetCase{name, maxAdmittedShare, run}
	}
	shareAfterJoin := (n + max(1, n/10)) / n
	return []fleetCase{
		newCase("exchange", 1, func(*loadmodel.Fleet) {}),
		newCase("exchange, loss", 1, func(f *loadmodel.Fleet) { f.DigestLoss = 0.3 }),
		newCase("exchange, demand shifts", 1, func(f *loadmodel.Fleet) { f.RotateInterval = 30 * time.Second }),
		newCase("exchange, loss, demand shifts", 1, func(f *loadmodel.Fleet) { f.RotateInterval, f.DigestLoss = 30*time.Second, 0.3 }),
		newCase("exchange, below limit", 1, func(f *loadmodel.Fleet) { f.Offered = 0.8 * rate }),
		newCase("exchange, below limit, burst 4s", 1, func(f *loadmodel.Fleet) { f.Offered, f.Burst = 0.8*rate, int(4*rate) }),
		newCase("exchange, entries join", shareAfterJoin, func(f *loadmodel.Fleet) { f.JoinAt = 90 * time.Second }),
		newCase("baseline: equal split", 0, func(f *loadmodel.Fleet) { f.FixedShare = 1 / n }),
		newCase("baseline: equal, below limit", 0, func(f *loadmodel.Fleet) { f.FixedShare, f.Offered = 1/n, 0.8*rate }),
		newCase("baseline: whole limit each", 0, func(f *loadmodel.Fleet) { f.FixedShare = 1 }),
	}
}

// Guards against a fleet that admits requests above a customer's rate limit while
// demand is skewed or shifts between entries, digests are lost, or entries join.
func TestPolicyFleetRate(t *testing.T) {
	cases := append(fleetCases(4), fleetCases(370)...)
	results := make([]loadmodel.FleetResult, len(cases))
	var wait sync.WaitGroup
	for i := range cases {
		wait.Go(func() { results[i] = cases[i].run.Run() })
	}
	wait.Wait()
	t.Logf("%-32s %7s %7s %6s %6s %8s", "case", "entries", "offered", "over", "mean", "bytes/s")
	for i, c := range cases {
		r := results[i]
		t.Logf("%-32s %7d %7.2f %6.2f %6.2f %8.0f", c.name, c.run.Entries, c.run.Offered/c.run.Rate, r.MaxOverLimit, r.MeanAdmitted, r.BytesPerSecond)
		if c.maxAdmittedShare > 0 {
			assert.Check(t, r.MaxOverLimit <= c.maxAdmittedShare, "%s: admitted %.2f of the limit", c.name, r.MaxOverLimit)
		}
	}
}

// Guards against a fleet that runs more requests of a customer at once than its
// concurrency limit while the demand exceeds the limit.
func TestPolicyFleetConcurrency(t *testing.T) {
	var runs []*loadmodel.Fleet
	for _, entries := range []int{4, 370} {
		for _, limit := range []int{entries / 2, 2 * entries} {
			runs = append(runs, &loadmodel.Fleet{
				Seed: 1, Entries: entries, Offered: 2 * float64(limit), Skew: 1, RotateInterval: 30 * time.Second,
				Duration: time.Minute, Concurrency: limit, RequestTime: time.Second,
			})
		}
	}
	results := make([]loadmodel.FleetResult, len(runs))
	var wait sync.WaitGroup
	for i, run := range runs {
		wait.Go(func() { results[i] = run.Run() })
	}
	wait.Wait()
	t.Logf("%7s %7s %12s %12s", "entries", "limit", "most running", "mean running")
	for i, run := range runs {
		r := results[i]
		t.Logf("%7d %7d %12.2f %12.2f", run.Entries, run.Concurrency, r.MaxRunning, r.MeanRunning)
		// Each entry has at least one slot, so the fleet may run one request per entry
		// even if the limit is lower.
		maxRunning := max(1, float64(run.Entries)/float64(run.Concurrency))
		assert.Check(t, r.MaxRunning <= maxRunning, "running requests reached %.2f of the limit, at most %.2f is allowed", r.MaxRunning, maxRunning)
	}
}

// Guards against a concurrency limit that exceeds the memory of an engine or leaves
// much of its capacity unused.
func TestPolicyConcurrency(t *testing.T) {
	t.Logf("%-16s %5s %8s %5s %9s %8s", "limit", "knee", "goodput", "late", "lookup95", "draft95")
	for _, knee := range []int{8, 16, 32, 64} {
		goodput := map[bool]float64{}
		for _, adaptive := range []bool{false, true} {
			run := loadmodel.Overload{
				Seed: 1, Load: 2, Entries: 4, Duration: 30 * time.Minute, Customers: 10, LargeShare: 0.6,
				Queue: limits.NewFairQueue(limits.FairQueueOptions{}), Knee: knee,
			}
			name := "fixed 32"
			if adaptive {
				name = "adaptive from 32"
				run.Limit = limits.NewConcurrencyLimiter(limits.ConcurrencyLimiterOptions{Slots: 32})
			}
			r := run.Run()
			goodput[adaptive] = r.Goodput()
			t.Logf("%-16s %5d %8.3f %5d %9s %8s", name, knee, r.Goodput(), r.Late,
				loadmodel.Quantile(r.Lookups, 0.95).Round(time.Millisecond),
				loadmodel.Quantile(r.Drafts, 0.95).Round(100*time.Millisecond))
		}
		if knee == 32 {
			assert.Check(t, goodput[true] > 0.9, "goodput %.3f with the slots equal to the knee", goodput[true])
		} else {
			assert.Check(t, goodput[true] > goodput[false], "the adaptive limit does not improve goodput at a knee of %d", knee)
		}
	}
}
