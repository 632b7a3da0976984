package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wholeEnd returns the end of a server under a request without a prompt.
func wholeEnd(worker int, id uint64, onTrial bool) WorkerEnd {
	e := endOf(worker)
	e.Whole, e.OnTrial = id, onTrial
	return e
}

// Guards against a request that ends one server after the other because servers answered it before.
func TestRequestThatTurnsFatalIsCondemnedOnTrial(t *testing.T) {
	tracker := newTestTracker("a")
	for range 60 {
		tracker.RecordFinished(time.Second, time.Second, testService, []uint64{fatal})
	}
	for i := range 3 {
		tracker.RecordEnd(moment(i), wholeEnd(i, fatal, false))
	}
	assert.Equal(t, tracker.Decide(moment(3), testService, []uint64{fatal}).Action, SendAlone)
	assert.Equal(t, len(tracker.RecordEnd(moment(4), wholeEnd(4, fatal, true))), 1)
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{fatal}).Action, Refuse)
}

// Guards against a service of one server that goes down a third time for a request that nobody has ever got
// an answer to.
func TestSuspectOfSmallServiceIsCondemnedAfterTwoEnds(t *testing.T) {
	for _, servers := range []int{1, 3} {
		tracker := NewTracker("a", time.UnixMilli(0))
		tracker.SetWorkers(0, testService, servers, []string{"v1"})
		tracker.SetWorkers(time.Second, testService, 1, []string{"v1"})
		for i := range 60 {
			tracker.RecordFinished(time.Second, time.Second, testService, []uint64{uint64(i)})
		}
		tracker.RecordEnd(moment(0), wholeEnd(0, fatal, false))
		tracker.RecordEnd(moment(40), wholeEnd(1, fatal, false))
		want := Refuse
		if servers > 1 {
			want = SendAlone
		}
		assert.Equal(t, tracker.Decide(moment(41), testService, []uint64{fatal}).Action, want, "service of %d servers", servers)
		tracker.RecordEnd(moment(80), wholeEnd(2, 5, false))
		tracker.RecordEnd(moment(120), wholeEnd(3, 5, false))
		assert.Equal(t, tracker.Decide(moment(121), testService, []uint64{5}).Action == Refuse, false, "answered before")
	}
}

// Guards against a sound request that is condemned because servers ended under it and another one, and
// against two alike that are never told apart.
func TestRequestsOnTheSameServersAreTriedApart(t *testing.T) {
	const sound = uint64(0x50)
	tracker := newTestTracker("a")
	for i := range 3 {
		assert.Equal(t, len(tracker.RecordEnd(moment(i), wholeEnd(i, sound, false))), 0)
		assert.Equal(t, len(tracker.RecordEnd(moment(i), wholeEnd(i, fatal, false))), i/2, "condemned before another request was known to be there")
		if i == 1 {
			break
		}
	}
	assert.Equal(t, tracker.Decide(moment(3), testService, []uint64{sound}).Action, SendAlone)
	assert.Equal(t, tracker.Decide(moment(3), testService, []uint64{fatal}).Action, SendAlone)
	tracker.RecordFinished(moment(4), moment(3), testService, []uint64{sound})
	assert.Equal(t, len(tracker.RecordEnd(moment(4), wholeEnd(3, fatal, true))), 1)
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{sound}).Action, Send)
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{fatal}).Action, Refuse)
}

// Guards against a sound request that stays condemned because it was on trial on a server that a fatal one
// ended, which is condemned later.
func TestRequestIsAcquittedOnceAnotherExplainsItsEnds(t *testing.T) {
	const sound = uint64(0x50)
	tracker := newTestTracker("a")
	for i := range 2 {
		tracker.RecordEnd(moment(i), wholeEnd(i, sound, false))
	}
	assert.Equal(t, len(tracker.RecordEnd(moment(2), wholeEnd(2, sound, true))), 1)
	for i := range 3 {
		tracker.RecordEnd(moment(i), wholeEnd(i, fatal, false))
	}
	tracker.RecordEnd(moment(4), wholeEnd(4, fatal, true))
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{fatal}).Action, Refuse)
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{sound}).Action, Send)
}

// Guards against a part of prompts that is condemned before its requests could show that they finish, and
// against one that turned fatal and is condemned never.
func TestPartThatWasAnsweredIsCondemnedOnceItsEndsHaveSettled(t *testing.T) {
	play := func(finishesAfterwards bool) *Tracker {
		tracker := newTestTracker("a")
		for range 20 {
			tracker.RecordFinished(time.Second, time.Second, testService, []uint64{77})
		}
		for i := range 4 {
			tracker.RecordEnd(moment(i), endOf(i, 1, 77))
		}
		assert.Equal(t, tracker.Decide(moment(4), testService, []uint64{1, 77}).Action, Send)
		for range 4 {
			tracker.RecordFinished(moment(10), moment(6), testService, []uint64{1})
			if finishesAfterwards {
				tracker.RecordFinished(moment(10), moment(6), testService, []uint64{77})
			}
		}
		tracker.Tick(moment(4) + turnedSettleTime)
		return tracker
	}
	assert.Equal(t, play(false).Decide(moment(30), testService, []uint64{1, 77}).Action, Refuse)
	assert.Equal(t, play(false).Decide(moment(30), testService, []uint64{1}).Action, Send)
	assert.Equal(t, play(true).Decide(moment(30), testService, []uint64{1, 77}).Action, Send)
}

// Guards against a sound first part that is condemned because fatal parts behind it, each with too few ends
// yet, share its ends.
func TestFirstPartWaitsForPartsBehindIt(t *testing.T) {
	tracker := NewTracker("a", time.UnixMilli(0))
	tracker.SetWorkers(time.Second, testService, 5, []string{"v1"})
	for range 400 {
		tracker.RecordFinished(time.Second, time.Second, testService, []uint64{2})
	}
	for i := range 6 {
		for _, v := range tracker.RecordEnd(moment(i), endOf(i, 1, fatal+uint64(i%2))) {
			assert.Assert(t, v.Part.ID >= fatal, "part %x is condemned", v.Part.ID)
		}
	}
	assert.Equal(t, tracker.Decide(moment(7), testService, []uint64{1}).Action == Refuse, false)
	assert.Equal(t, tracker.Decide(moment(7), testService, []uint64{1, fatal}).Action, Refuse)
	assert.Equal(t, tracker.Decide(moment(7), testService, []uint64{1, fatal + 1}).Action, Refuse)
}
