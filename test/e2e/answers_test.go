package e2e

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/devcluster"
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
// and so does a pool whose backend servers are all killed.
func TestExhaustedPoolRefusesAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowSpec())
	l := c.newLoad()
	// A sidecar learns its service rate while requests wait, here well below the
	// deadline.
	l.burst(16)
	l.answered(150)
	warm := time.Now()
	l.burst(60)
	l.waitKind(warm, "overloaded", "deadline_hopeless")
	l.answered(50)
	for _, name := range c.named("sidecar-engine") {
		c.processes[name].kill()
	}
	l.waitKind(time.Now(), "no_candidate")
	l.verdict()
	l.checkRefusals(warm)
}

// Guards the same rule in a pool that has not served anything yet: the first
// burst must not wait until its deadline for a refusal.
func TestColdBurstIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowSpec())
	l := c.newLoad()
	l.burst(60)
	l.waitKind(time.Now(), "overloaded", "deadline_hopeless")
	l.answered(80)
	l.verdict()
	l.checkRefusals(time.Time{})
}

// slowSpec has a pool that serves 16 requests of the burst a second.
func slowSpec() devcluster.Spec {
	spec := faultSpec()
	for i := range spec.Engines {
		spec.Engines[i].Config.Slots, spec.Engines[i].Config.StepTime = 1, 10*time.Millisecond
	}
	return spec
}

func (l *load) burst(callers int) {
	for range callers {
		l.loop(func(id string) { l.do(chatCall("north", versionLarge, "burst "+id, false)) })
	}
}

// waitKind waits until a call that began after since is refused with one of kinds.
func (l *load) waitKind(since time.Time, kinds ...string) {
	l.c.t.Helper()
	poll.WaitOn(l.c.t, func(poll.LogT) poll.Result {
		for _, c := range l.done() {
			if c.start.After(since) && slices.Contains(kinds, c.kind) {
				return poll.Success()
			}
		}
		return poll.Continue("no call is refused with %v", kinds)
	}, poll.WithTimeout(settleTimeout))
}

// checkRefusals checks that no refusal of a call that began after since was held
// and each names a time to retry.
func (l *load) checkRefusals(since time.Time) {
	l.c.t.Helper()
	for _, c := range l.done() {
		if c.runState != "not_run" || c.start.Before(since) {
			continue
		}
		took := c.end.Sub(c.start)
		assert.Check(l.c.t, took < c.deadline/2, "refusal was held for %v: %s", took, c)
		assert.Check(l.c.t, c.header.Get("Retry-After") != "", "no Retry-After: %s", c)
	}
}
