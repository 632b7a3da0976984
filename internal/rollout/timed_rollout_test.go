package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const rolloutDuration = 24 * time.Second

// simulateTimedRollout runs one timed rollout in several processes, which do not see each
// other's evidence. The first process that finds a transition due applies it to all. It
// returns the final transition, the numbers of all requests, of requests to the target and
// of failed answers, and the time of the end.
func simulateTimedRollout(t *testing.T, processes int, perSecond float64, badFrom time.Duration, badShare float64) (final Transition, total, targetRequests, failedAnswers int, at time.Duration) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 7))
	rollouts := make([]*TimedRollout, processes)
	for i := range rollouts {
		rollouts[i] = NewTimedRollout("svc", "v2", rolloutDuration, 0, 0)
	}
	const tick = 50 * time.Millisecond
	for now := time.Duration(0); now < rolloutDuration; now += tick {
		for range int(perSecond * tick.Seconds()) {
			total++
			rollout := rollouts[rng.IntN(processes)]
			if !rollout.SelectsTarget(fmt.Sprint("session", total)) {
				rollout.ObserveOther(Answer{Kind: "r", TimeToFirstByte: 100 * time.Millisecond})
				continue
			}
			targetRequests++
			failed := now >= badFrom && rng.Float64() < badShare
			if failed {
				failedAnswers++
			}
			rollout.ObserveTarget(Answer{Kind: "r", Failed: failed, Worker: fmt.Sprint(rng.IntN(9)), TimeToFirstByte: 100 * time.Millisecond})
		}
		for i, rollout := range rollouts {
			switch due := rollout.DueTransition(now, time.Duration(i)*30*time.Millisecond); due {
			case TransitionRollBack, TransitionComplete:
				return due, total, targetRequests, failedAnswers, now
			case TransitionNextStep:
				step := rollout.Step() + 1
				for _, other := range rollouts {
					other.SetStep(step, now)
				}
			}
		}
	}
	return TransitionNone, total, targetRequests, failedAnswers, rolloutDuration
}

// Guards against a rollout of a good version that does not complete within its duration.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for _, processes := range []int{1, 4, 28} {
		final, _, _, _, at := simulateTimedRollout(t, processes, 60, rolloutDuration, 0)
		assert.Equal(t, final, TransitionComplete, "%d processes", processes)
		assert.Assert(t, at < rolloutDuration*95/100, "rollout completed too late, after %v", at)
	}
}

// Guards against a bad version that is rolled back too late, whether it is bad from the start
// or turns bad later, with the numbers of processes and requests of the deployments. The
// version must get less than 15% of all requests plus 30; the test allows 9.75%, the smallest
// allowed exposure, see timedSteps.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, c := range []struct {
		processes int
		perSecond float64
		from      time.Duration
		share     float64
	}{{4, 60, 0, 0.5}, {4, 60, 0, 0.32}, {5, 120, 15 * time.Second, 0.36}, {28, 400, 0, 0.5}, {28, 400, 17 * time.Second, 0.3}} {
		final, total, targetRequests, bad, _ := simulateTimedRollout(t, c.processes, c.perSecond, c.from, c.share)
		assert.Equal(t, final, TransitionRollBack, "%+v", c)
		allowed := 0.0975*c.perSecond*rolloutDuration.Seconds() + 30
		assert.Assert(t, float64(targetRequests) <= allowed, "%+v: %d of %d requests went to the bad version, %.0f allowed", c, targetRequests, total, allowed)
		t.Logf("%+v: %d requests on the bad version, %d bad answers", c, targetRequests, bad)
	}
}

// Guards against sessions that move to the target in the first half of the rollout.
func TestTargetGetsNothingInFirstHalf(t *testing.T) {
	rollout := NewTimedRollout("svc", "v2", rolloutDuration, 0, 0)
	for i := range 1000 {
		assert.Assert(t, !rollout.SelectsTarget(fmt.Sprint(i)))
	}
	assert.Equal(t, rollout.DueTransition(rolloutDuration/2, 0), TransitionNone)
	assert.Equal(t, rollout.DueTransition(rolloutDuration*53/100, 0), TransitionNextStep)
}

// Guards against a restarted process that does not continue from the recorded step, but goes
// back to an earlier one or completes the rollout at once.
func TestRestartContinuesFromRecordedStep(t *testing.T) {
	rollout := NewTimedRollout("svc", "v2", rolloutDuration, 3, 100*time.Second)
	assert.Equal(t, rollout.Share(), 0.5)
	assert.Equal(t, rollout.DueTransition(100*time.Second+time.Second, 0), TransitionNone)
	assert.Equal(t, rollout.DueTransition(102*time.Second, 0), TransitionNone, "it has no evidence yet")
	assert.Equal(t, rollout.DueTransition(104*time.Second, 0), TransitionNextStep)
	rollout.SetStep(2, 103*time.Second)
	assert.Equal(t, rollout.Step(), 3)
}

// Guards against a new version that is rolled back as slow because its workers start with
// empty caches: they process prompts of 9,190 tokens in full, of which 6,300 are usually
// cached, and requests queue up at first.
func TestColdCachesDoNotTakeBackVersion(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		rollout := NewTimedRollout("svc", "v2", rolloutDuration, 4, 0)
		for range 300 {
			size := 0.5 + rng.Float64()
			rollout.ObserveOther(Answer{Kind: "r", UncachedTokens: int(2890 * size), TimeToFirstByte: time.Duration(float64(100*time.Millisecond) * size)})
		}
		for i := range 200 {
			size := 0.5 + rng.Float64()
			queueFactor := 1 + 0.5*rng.Float64()
			rollout.ObserveTarget(Answer{Kind: "r", Worker: fmt.Sprint(i % 9), UncachedTokens: int(9190 * size), TimeToFirstByte: time.Duration(float64(320*time.Millisecond) * size * queueFactor)})
		}
		bad, reason := rollout.TargetIsBad()
		assert.Assert(t, !bad, "seed %d: %s", seed, reason)
	}
}

// Guards against a version that is 8 times as slow and not rolled back.
func TestSlowVersionIsRolledBack(t *testing.T) {
	rollout := NewTimedRollout("svc", "v2", rolloutDuration, 1, 0)
	for range 50 {
		rollout.ObserveOther(Answer{Kind: "r", TimeToFirstByte: 100 * time.Millisecond})
	}
	for i := 0; i < 40; i++ {
		rollout.ObserveTarget(Answer{Kind: "r", Worker: fmt.Sprint(i % 3), TimeToFirstByte: 800 * time.Millisecond})
	}
	bad, reason := rollout.TargetIsBad()
	assert.Assert(t, bad)
	assert.Equal(t, reason, "latency")
}

// Guards against a good version that is rolled back because of a single faulty worker.
func TestFaultyWorkerDoesNotRollBackVersion(t *testing.T) {
	rollout := NewTimedRollout("svc", "v2", rolloutDuration, 1, 0)
	for i := range 100 {
		rollout.ObserveTarget(Answer{Kind: "r", Failed: i%3 == 0, Worker: fmt.Sprint(i % 3), TimeToFirstByte: 100 * time.Millisecond})
	}
	bad, _ := rollout.TargetIsBad()
	assert.Assert(t, !bad)
}

// Guards against a target with one worker that is never completed because its slow answers count as
// those of the version, and as none of it.
func TestOneSlowWorkerDoesNotMakeARolloutSuspicious(t *testing.T) {
	rollout := NewTimedRollout("svc", "v2", rolloutDuration, 2, 0)
	for i := range 50 {
		rollout.ObserveOther(Answer{Kind: "r", TimeToFirstByte: time.Duration(90+i%20) * time.Millisecond})
	}
	for range 40 {
		rollout.ObserveTarget(Answer{Kind: "r", Worker: "w", TimeToFirstByte: 300 * time.Millisecond})
	}
	assert.Assert(t, !rollout.suspicious)
	assert.Equal(t, rollout.Share(), timedSteps[2].share)
}

// Guards against a version that fails on one kind of request and counts as good, because workers with
// a single failure each count as faulty themselves, and against a good one that counts as bad for the
// failures of some workers.
func TestFewFailuresOnManyWorkersAreSpread(t *testing.T) {
	for _, c := range []struct {
		failures []int // by worker, of 15 workers with 53 answers
		spread   bool
	}{
		{[]int{1, 1, 1, 1}, true},
		{[]int{2, 1, 1}, true},
		{[]int{2, 2, 2}, false},
		{[]int{3, 2, 1}, false},
		{[]int{4, 1}, false},
		{[]int{9}, false},
		{[]int{3, 3, 3, 3, 3, 3}, true},
	} {
		r := NewTimedRollout("svc", "v2", rolloutDuration, 2, 0)
		for worker := range uint32(15) {
			tally := Tally{Answers: 3}
			if worker < 8 {
				tally.Answers++
			}
			if int(worker) < len(c.failures) {
				tally.Failed = c.failures[worker]
			}
			r.workers[worker] = tally
		}
		assert.Check(t, r.failuresAreSpread() == c.spread, "%v", c.failures)
	}
}
