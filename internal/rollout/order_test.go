package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const orderTime = 24 * time.Second

// play lets several processes follow one ordered rollout without seeing each other's
// evidence; whichever finds a change due records it for all. It returns what the target got
// and the final state.
func playOrder(t *testing.T, processes int, perSecond float64, badFrom time.Duration, badShare float64) (state Due, total, onTarget, badAnswers int, at time.Duration) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 7))
	orders := make([]*Order, processes)
	for i := range orders {
		orders[i] = NewOrder("svc", "v2", orderTime, 0, 0)
	}
	const tick = 50 * time.Millisecond
	for now := time.Duration(0); now < orderTime; now += tick {
		for range int(perSecond * tick.Seconds()) {
			total++
			o := orders[rng.IntN(processes)]
			if !o.Takes(fmt.Sprint("session", total)) {
				o.Usual(Answer{Kind: "r", FirstByte: 100 * time.Millisecond})
				continue
			}
			onTarget++
			failed := now >= badFrom && rng.Float64() < badShare
			if failed {
				badAnswers++
			}
			o.Observed(Answer{Kind: "r", Failed: failed, Worker: fmt.Sprint(rng.IntN(9)), FirstByte: 100 * time.Millisecond})
		}
		for i, o := range orders {
			switch due := o.Due(now, time.Duration(i)*30*time.Millisecond); due {
			case DueRollBack, DueComplete:
				return due, total, onTarget, badAnswers, now
			case DueStep:
				step := o.Step() + 1
				for _, other := range orders {
					other.SetStep(step, now)
				}
			}
		}
	}
	return DueNothing, total, onTarget, badAnswers, orderTime
}

// A good version must be completed before the ordered time is over.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for _, processes := range []int{1, 4, 28} {
		state, _, _, _, at := playOrder(t, processes, 60, orderTime, 0)
		assert.Equal(t, state, DueComplete, "%d processes", processes)
		assert.Assert(t, at < orderTime*95/100, "completed after %v", at)
	}
}

// A bad version must be taken back before it has got 15% of all requests and 30 more, at
// the sizes of the deployments, whether it is bad at once or late.
func TestBadVersionIsTakenBack(t *testing.T) {
	for _, c := range []struct {
		processes int
		perSecond float64
		from      time.Duration
		share     float64
	}{{4, 60, 0, 0.5}, {4, 60, 0, 0.32}, {5, 120, 15 * time.Second, 0.36}, {28, 400, 0, 0.5}, {28, 400, 17 * time.Second, 0.3}} {
		state, total, onTarget, bad, _ := playOrder(t, c.processes, c.perSecond, c.from, c.share)
		assert.Equal(t, state, DueRollBack, "%+v", c)
		allowed := 0.0975*c.perSecond*orderTime.Seconds() + 30
		assert.Assert(t, float64(onTarget) <= allowed, "%+v: %d of %d requests on the bad version, %.0f allowed", c, onTarget, total, allowed)
		t.Logf("%+v: %d requests on the bad version, %d bad answers", c, onTarget, bad)
	}
}

// Sessions must not change to the target in the first half.
func TestTargetGetsNothingInFirstHalf(t *testing.T) {
	o := NewOrder("svc", "v2", orderTime, 0, 0)
	for i := range 1000 {
		assert.Assert(t, !o.Takes(fmt.Sprint(i)))
	}
	assert.Equal(t, o.Due(orderTime/2, 0), DueNothing)
	assert.Equal(t, o.Due(orderTime*53/100, 0), DueStep)
}

// A process that starts again must go on from the recorded step and neither fall back
// nor complete at once.
func TestRestartGoesOnFromRecordedStep(t *testing.T) {
	o := NewOrder("svc", "v2", orderTime, 3, 100*time.Second)
	assert.Equal(t, o.Share(), 0.5)
	assert.Equal(t, o.Due(100*time.Second+time.Second, 0), DueNothing)
	assert.Equal(t, o.Due(102*time.Second, 0), DueStep)
	o.SetStep(2, 103*time.Second)
	assert.Equal(t, o.Step(), 3)
}

// The workers of a new version have cached nothing: a prompt of 9,190 tokens of which 6,300
// are usually cached is read whole, and the workers fall behind at first. That must not be
// taken for a slow version.
func TestColdCachesDoNotTakeBackVersion(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		o := NewOrder("svc", "v2", orderTime, 4, 0)
		for range 300 {
			size := 0.5 + rng.Float64()
			o.Usual(Answer{Kind: "r", Tokens: int(2890 * size), FirstByte: time.Duration(float64(100*time.Millisecond) * size)})
		}
		for i := range 200 {
			size := 0.5 + rng.Float64()
			behind := 1 + 0.5*rng.Float64()
			o.Observed(Answer{Kind: "r", Worker: fmt.Sprint(i % 9), Tokens: int(9190 * size), FirstByte: time.Duration(float64(320*time.Millisecond) * size * behind)})
		}
		bad, reason := o.Bad()
		assert.Assert(t, !bad, "seed %d: %s", seed, reason)
	}
}

// A version that answers several times slower must be found by its latency.
func TestSlowVersionIsTakenBack(t *testing.T) {
	o := NewOrder("svc", "v2", orderTime, 1, 0)
	for range 50 {
		o.Usual(Answer{Kind: "r", FirstByte: 100 * time.Millisecond})
	}
	for i := 0; i < 40; i++ {
		o.Observed(Answer{Kind: "r", Worker: fmt.Sprint(i % 3), FirstByte: 800 * time.Millisecond})
	}
	bad, reason := o.Bad()
	assert.Assert(t, bad)
	assert.Equal(t, reason, "latency")
}

// A single faulty worker of the target must not take back a good version.
func TestFaultyWorkerDoesNotTakeBackVersion(t *testing.T) {
	o := NewOrder("svc", "v2", orderTime, 1, 0)
	for i := range 100 {
		o.Observed(Answer{Kind: "r", Failed: i%3 == 0, Worker: fmt.Sprint(i % 3), FirstByte: 100 * time.Millisecond})
	}
	bad, _ := o.Bad()
	assert.Assert(t, !bad)
}
