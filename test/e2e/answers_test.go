package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// Guards guarantees 5 and 6 against backend servers that repeat, cross, truncate,
// delay, cut, refuse or fail after running: no caller may get a foreign, doubled
// or shortened answer, and not_run must be true. The service protocol names no
// request in its answers, so a crossed service answer cannot be detected.
func TestAnswersAreWholeUnderBackendFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.answered(100)
	since := time.Now()
	for _, e := range c.Engines {
		e.Faults().Set(
			base.Fault{Kind: base.FaultRepeat, Share: 0.06, AfterTokens: 3},
			base.Fault{Kind: base.FaultCross, Share: 0.06},
			base.Fault{Kind: base.FaultTruncate, Share: 0.06, AfterTokens: 5},
			base.Fault{Kind: base.FaultDelay, Share: 0.06, AfterTokens: 2, DelayMs: 300},
			base.Fault{Kind: base.FaultCut, Share: 0.06, AfterTokens: 4},
			base.Fault{Kind: base.FaultRefuse, Share: 0.06},
			base.Fault{Kind: base.FaultError, Share: 0.06},
		)
	}
	for _, s := range c.Services {
		s.Faults().Set(
			base.Fault{Kind: base.FaultTruncate, Share: 0.06}, base.Fault{Kind: base.FaultDelay, Share: 0.06, DelayMs: 300},
			base.Fault{Kind: base.FaultCut, Share: 0.06}, base.Fault{Kind: base.FaultRefuse, Share: 0.06},
			base.Fault{Kind: base.FaultError, Share: 0.06},
		)
	}
	l.answered(2000)
	c.healBackends()
	l.recovered("backend servers that repeat, cross, truncate, delay, cut, refuse and fail", since)
	l.verdict()
}

func (c *cluster) healBackends() {
	for _, e := range c.Engines {
		e.Faults().Set()
	}
	for _, s := range c.Services {
		s.Faults().Set()
	}
}

// Guards guarantee 6 and the rule that a request that is given up is answered at
// once: a pool that runs out sheds load with a true not_run and a time to retry,
// and so does a pool without a backend server.
func TestExhaustedPoolRefusesAtOnce(t *testing.T) {
	t.Parallel()
	spec := faultSpec()
	for i := range spec.Engines {
		spec.Engines[i].Config.Slots, spec.Engines[i].Config.StepTime = 1, 10*time.Millisecond
	}
	c := startCluster(t, spec)
	l := c.newLoad()
	begin := time.Now()
	for range 60 {
		l.loop(func(id string) { l.do(chatCall("north", versionLarge, "burst "+id, false)) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, call := range l.done() {
			if call.kind == "overloaded" || call.kind == "deadline_hopeless" {
				return poll.Success()
			}
		}
		return poll.Continue("no call is refused")
	}, poll.WithTimeout(settleTimeout))
	l.answered(50)
	for _, name := range c.named("sidecar-engine") {
		c.processes[name].kill()
	}
	gone := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, call := range l.done() {
			if call.start.After(gone) && call.kind == "no_candidate" {
				return poll.Success()
			}
		}
		return poll.Continue("no call is refused with no_candidate")
	}, poll.WithTimeout(settleTimeout))
	l.stop()
	refused := 0
	for _, call := range l.done() {
		if call.runState != "not_run" {
			continue
		}
		refused++
		took := call.end.Sub(call.start)
		assert.Check(t, took < call.deadline/2, "refusal was held for %v: %s", took, call)
		assert.Check(t, call.header.Get("Retry-After") != "", "no Retry-After: %s", call)
	}
	t.Logf("%d refusals in %v", refused, time.Since(begin).Round(time.Millisecond))
	l.verdict()
}
