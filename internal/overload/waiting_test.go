package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func nothingArrived(string) bool { return false }

// Guards against a crowd of silent connections that keeps new callers out until their time-outs, and against giving up
// one that was opened a moment ago, has a whole head, or has bytes that the process is late to read. Load: all
// connections of an instance are open.
func TestLongestWaitForHeadIsGivenUp(t *testing.T) {
	var w Waiting[string]
	now := time.Minute
	w.Begin(now, "first", FirstHead)
	served := w.Begin(now, "served", FirstHead)
	w.Begin(now+minHeadWait/2, "second", FirstHead)
	w.End(served)
	_, _, ok := w.GiveUp(now+minHeadWait-1, nothingArrived)
	assert.Assert(t, !ok, "a connection is given up before its head can have come")
	conn, phase, ok := w.GiveUp(now+minHeadWait, nothingArrived)
	assert.Assert(t, ok)
	assert.Equal(t, conn, "first")
	assert.Equal(t, phase, FirstHead)
	_, _, ok = w.GiveUp(now+minHeadWait, func(c string) bool { return c == "first" })
	assert.Assert(t, !ok, "bytes of the first one have arrived, and the second one is too young")
	conn, _, ok = w.GiveUp(now+time.Second, func(c string) bool { return c == "first" })
	assert.Assert(t, ok)
	assert.Equal(t, conn, "second")
}

// Guards against the loss of a caller that has brought more than another one: refused callers go first, then those
// without a head, then those inside a later head, and those with a slow body last.
func TestConnectionsAreGivenUpByWhatTheyBrought(t *testing.T) {
	var w Waiting[string]
	var waiters []*Waiter[string]
	for i, phase := range []Phase{Body, LaterHead, FirstHead, Refused} {
		waiters = append(waiters, w.Begin(time.Duration(i), phase.String(), phase))
	}
	for i := len(waiters) - 1; i >= 0; i-- {
		conn, phase, ok := w.GiveUp(time.Minute, nothingArrived)
		assert.Assert(t, ok)
		assert.Equal(t, conn, phase.String())
		assert.Equal(t, phase, waiters[i].phase)
		w.End(waiters[i])
		w.End(waiters[i])
	}
	_, _, ok := w.GiveUp(time.Minute, nothingArrived)
	assert.Assert(t, !ok)
}

// Guards against a long body that arrives at a fair rate and is given up. Load: 4 MiB over a link of 10 Mbit/s that ten
// callers share.
func TestFairBodyIsKept(t *testing.T) {
	var w Waiting[string]
	fair, slow := w.Begin(0, "fair", Body), w.Begin(0, "slow", Body)
	for second := 1; second <= 30; second++ {
		fair.Receive(125_000)
		slow.Receive(1000)
		conn, _, ok := w.GiveUp(time.Duration(second)*time.Second, nothingArrived)
		assert.Assert(t, ok)
		assert.Equal(t, conn, "slow")
	}
	w.End(slow)
	_, _, ok := w.GiveUp(30*time.Second, nothingArrived)
	assert.Assert(t, !ok)
}
