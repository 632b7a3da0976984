package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against decisions that lose an answer at hand or give up a larger model that may still
// answer.
func TestFallbackDecisions(t *testing.T) {
	const started, escalated = 10 * time.Second, 10*time.Second + 100*time.Millisecond
	f := NewFallback(started, escalated, time.Second, 10*time.Second)
	assert.Equal(t, f.ReadUntil(), escalated+maxOverlap)
	assert.Equal(t, f.Latest(), started+3*time.Second)
	early, late := started+2*time.Second, started+3*time.Second
	for _, c := range []struct {
		at     Elapsed
		larger LargerState
		held   HeldState
		mayRun bool
		want   FallbackAction
	}{
		{early, LargerPending, HeldComplete, true, KeepWaiting},
		{early, LargerBegan, HeldComplete, true, DropHeld},
		{late, LargerBegan, HeldComplete, true, DropHeld},
		{early, LargerFailed, HeldComplete, true, DeliverHeld},
		{early, LargerFailed, HeldReading, true, AwaitHeld},
		{early, LargerFailed, HeldLost, true, AskSmallest},
		{early, LargerFailed, HeldLost, false, KeepWaiting},
		{late, LargerPending, HeldComplete, false, DeliverHeld},
		{late, LargerPending, HeldReading, false, AwaitHeld},
		{late, LargerPending, HeldLost, true, AskSmallest},
		{late, LargerPending, HeldLost, false, KeepWaiting},
	} {
		assert.Equal(t, f.Decide(c.at, c.larger, c.held, c.mayRun), c.want, "%+v", c)
	}
	f.RecordAskedAgain()
	assert.Equal(t, f.Decide(late, LargerFailed, HeldLost, true), KeepWaiting)
	assert.Equal(t, NewFallback(0, 0, 0, 10*time.Second).Latest(), 8*time.Second)
	assert.Equal(t, NewFallback(0, 0, 4*time.Second, 12*time.Second).Latest(), 9600*time.Millisecond)
}

// simulateSlowLarger plays callers with a time limit of 5 s whose smallest model answers within
// 0.4 s and whose larger models have twice the work that they can do, with some attempts that
// fail. It returns the shares of the callers with an answer, and with one of a larger model.
func simulateSlowLarger(useFallback bool) (answered, larger float64) {
	const callers, limit, target = 2000, 5 * time.Second, time.Second
	rng := rand.New(rand.NewPCG(3, 3))
	heavy := &queueModel{freeAt: make([]time.Duration, 10)}
	for i := range callers {
		started := time.Duration(i) * 10 * time.Millisecond
		smallBegins := started + time.Duration(20+rng.IntN(200))*time.Millisecond
		smallLasts := time.Duration(50+rng.IntN(400)) * time.Millisecond
		f := NewFallback(started, smallBegins, target, limit)
		begins := heavy.serve(smallBegins, 200*time.Millisecond, rng.IntN(len(heavy.freeAt)))
		fails := rng.IntN(20) == 0
		if !fails && begins <= started+limit && (!useFallback || begins <= f.Latest()) {
			answered++
			larger++
			continue
		}
		if !useFallback {
			continue
		}
		state, at := LargerPending, f.Latest()
		if fails && begins < f.Latest() {
			state, at = LargerFailed, begins
		}
		held := HeldComplete
		if smallLasts > maxOverlap {
			held = HeldLost
			if at < f.ReadUntil() {
				held = HeldReading
			}
		}
		switch f.Decide(at, state, held, true) {
		case DeliverHeld, AwaitHeld:
			answered++
		case AskSmallest:
			if at+400*time.Millisecond <= started+limit {
				answered++
			}
		}
	}
	return answered / callers, larger / callers
}

// Guards against callers who end with nothing although the smallest model had an answer for
// them: the larger models have twice the work that they can do, and a twentieth of their
// attempts fail.
func TestFallbackUnderOverloadOfLargerModels(t *testing.T) {
	without, _ := simulateSlowLarger(false)
	with, larger := simulateSlowLarger(true)
	t.Logf("answered: %.3f without fallback, %.3f with it (%.3f by a larger model)", without, with, larger)
	assert.Assert(t, without < 0.9, "the load does not overload the larger models")
	assert.Equal(t, with, 1.0)
	assert.Assert(t, larger > 0)
}
