package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
	"github.com/borageflow/borageflow/internal/retry"
)

// Guards against retries that multiply the load on the remaining servers when a
// failure domain fails.
func TestPolicyDomainLost(t *testing.T) {
	t.Logf("%-22s %5s %8s %9s %9s %9s %13s", "policy", "load", "requests", "attempts", "live", "answered", "amplification")
	for _, load := range []float64{0.6, 0.9} {
		run := func(name string, attempts int, budget *retry.BudgetOptions) loadmodel.RetryResult {
			bench := loadmodel.RetryModel{
				Seed: 1, Servers: 18, Domains: 4, Load: load, Duration: 35 * time.Second,
				FailAt: 5 * time.Second, EjectAfter: 3 * time.Second, Timeout: 2 * time.Second,
				Params: retry.Params{Idempotent: true, MaxAttempts: attempts}, Budget: budget,
			}
			r := bench.Run()
			t.Logf("%-22s %5.1f %8d %9d %9d %9.3f %13.2f", name, load, r.Requests, r.Attempts, r.LiveAttempts,
				float64(r.Answered)/float64(r.Requests), r.Amplification())
			return r
		}
		run("no retry", 1, nil)
		run("unbounded", 1000, nil)
		run("3 retries", 4, nil)
		r := run("budget", 4, &retry.BudgetOptions{})
		liveAttemptsPerRequest := float64(r.LiveAttempts) / float64(r.Requests)
		assert.Assert(t, liveAttemptsPerRequest < 1.2, "%.2f attempts per request reached live servers", liveAttemptsPerRequest)
		assert.Assert(t, r.Amplification() < 1.2, "amplification %.2f at load %.1f", r.Amplification(), load)
	}
}

// Guards against hedges that exceed their budget or do not reduce the 99th
// percentile of the latency.
func TestPolicyHedge(t *testing.T) {
	t.Logf("%-22s %9s %9s %9s %9s %9s %9s", "policy", "attempts", "work", "p50", "p95", "p99", "p99.9")
	var withoutHedge loadmodel.RetryResult
	run := func(name string, hedge time.Duration, learned bool, budget *retry.BudgetOptions) loadmodel.RetryResult {
		bench := loadmodel.RetryModel{
			Seed: 1, Servers: 18, Domains: 4, Load: 0.5, Duration: 60 * time.Second, StallShare: 0.02,
			Params: retry.Params{Idempotent: true, Hedge: hedge}, UsesLearnedHedgeDelay: learned, Budget: budget,
		}
		r := bench.Run()
		if name == "no hedge" {
			withoutHedge = r
		}
		p := func(q float64) time.Duration { return loadmodel.Quantile(r.Latency, q).Round(time.Millisecond) }
		t.Logf("%-22s %9.3f %9.3f %9s %9s %9s %9s", name, r.Amplification(), r.Work.Seconds()/withoutHedge.Work.Seconds(),
			p(0.5), p(0.95), p(0.99), p(0.999))
		return r
	}
	run("no hedge", 0, false, nil)
	run("fixed 100 ms, no budget", 100*time.Millisecond, false, nil)
	r := run("learned p95, budget", 0, true, &retry.BudgetOptions{})
	assert.Assert(t, r.Amplification() < 1.2, "attempts per request %.2f", r.Amplification())
	isTailShorter := loadmodel.Quantile(r.Latency, 0.99) < loadmodel.Quantile(withoutHedge.Latency, 0.99)
	assert.Assert(t, isTailShorter, "the hedges did not reduce the 99th percentile of the latency")
}
