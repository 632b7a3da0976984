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

// Guards against a caller that gets another request's answer, or a repeated or
// truncated one, and against a not_run for a request that ran (guarantees 5 and
// 6), while backend servers repeat, cross, truncate, delay, cut, refuse or fail
// after running. The service protocol names no request in its answers, so a
// crossed service answer cannot be detected.
func TestAnswersAreWholeUnderBackendFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.waitAnswered(100)
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
	l.waitAnswered(2000)
	c.clearBackendFaults()
	l.waitRecovered("backend servers that repeat, cross, truncate, delay, cut, refuse and fail", since)
	l.checkGuarantees()
}

// clearBackendFaults ends the faults of all engines and services.
func (c *cluster) clearBackendFaults() {
	for _, e := range c.Engines {
		e.Faults().Set()
	}
	for _, s := range c.Services {
		s.Faults().Set()
	}
}

// Guards against refusals that are held back, lack a Retry-After or report
// not_run for a request that ran (guarantee 6). They come about in a pool whose
// capacity is exhausted, and in one whose sidecars are all killed.
func TestExhaustedPoolRefusesAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowSpec())
	l := c.newLoad()
	// A sidecar estimates its service rate while requests are queued, here with
	// waits well below the deadline.
	l.startBurst(16)
	l.waitAnswered(150)
	warmedAt := time.Now()
	l.startBurst(60)
	l.waitRefused(warmedAt, "overloaded", "deadline_hopeless")
	l.waitAnswered(50)
	for _, name := range c.instancesWithPrefix("sidecar-engine") {
		c.processes[name].kill()
	}
	l.waitRefused(time.Now(), "no_candidate")
	l.checkGuarantees()
	l.checkRefusals(warmedAt)
}

// Guards against a first burst whose refusals wait until the deadline, because
// the pool has served nothing and so has no estimate of its service rate.
func TestColdBurstIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowSpec())
	l := c.newLoad()
	l.startBurst(60)
	l.waitRefused(time.Now(), "overloaded", "deadline_hopeless")
	l.waitAnswered(80)
	l.checkGuarantees()
	l.checkRefusals(time.Time{})
}

// slowSpec returns faultSpec with a pool that serves 16 requests of the burst
// per second.
func slowSpec() devcluster.Spec {
	spec := faultSpec()
	for i := range spec.Engines {
		spec.Engines[i].Config.Slots, spec.Engines[i].Config.StepTime = 1, 10*time.Millisecond
	}
	return spec
}

// startBurst starts callers that send requests for the large version until the load stops.
func (l *load) startBurst(callers int) {
	for range callers {
		l.startCaller(func(id string) { l.do(chatCall("north", versionLarge, "burst "+id, false)) })
	}
}

// waitRefused waits until a call that began after since is refused with one of
// kinds.
func (l *load) waitRefused(since time.Time, kinds ...string) {
	l.cluster.t.Helper()
	poll.WaitOn(l.cluster.t, func(poll.LogT) poll.Result {
		for _, c := range l.recordedCalls() {
			if c.start.After(since) && slices.Contains(kinds, c.kind) {
				return poll.Success()
			}
		}
		return poll.Continue("no call has been refused with one of %v", kinds)
	}, poll.WithTimeout(settleTimeout))
}

// checkRefusals checks the not_run responses to calls that began after since:
// each must arrive within half of the deadline and carry a Retry-After.
func (l *load) checkRefusals(since time.Time) {
	l.cluster.t.Helper()
	for _, c := range l.recordedCalls() {
		if c.runState != "not_run" || c.start.Before(since) {
			continue
		}
		took := c.end.Sub(c.start)
		assert.Check(l.cluster.t, took < c.deadline/2, "refusal took %v, more than half of the deadline: %s", took, c)
		assert.Check(l.cluster.t, c.header.Get("Retry-After") != "", "refusal has no Retry-After header: %s", c)
	}
}
