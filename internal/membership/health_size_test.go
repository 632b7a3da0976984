package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// processorTime returns the processor time of the thread. Beside load, a run of 50 ms is interrupted by other
// processes and one of 2 ms is not, so that elapsed times cannot be compared.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var at unix.Timespec
	assert.NilError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at))
	return time.Duration(at.Nano())
}

// timeOfList returns the least processor time of some runs in which n new servers are listed.
func timeOfList(t *testing.T, n int) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := time.Hour
	for range 7 {
		h := NewHealthTracker(HealthConfig{})
		now := time.Unix(0, 0)
		started := processorTime(t)
		for i := range n {
			name := fmt.Sprintf("i-%06d", i)
			h.Handle(now, ServerChanged{Server: name, Incarnation: 1, Versions: []string{"v"}})
			h.Handle(now, SignalsReceived{Server: name, Signals: Signals{Ready: true, Alive: true}})
		}
		shortest = min(shortest, processorTime(t)-started)
	}
	return shortest
}

// Guards against a first list of several thousand workers that takes seconds of the processor of a small
// instance, in which it serves nobody: each worker was inserted by sorting all of them.
func TestListTakesLinearTime(t *testing.T) {
	small, large := timeOfList(t, 500), timeOfList(t, 4000)
	assert.Assert(t, large < 16*small, "8 times the servers took %v instead of %v", large, small)
}

// Guards against a server that stays in the sorted lists after it was removed, or is in them twice.
func TestSortedListsFollowServers(t *testing.T) {
	h := NewHealthTracker(HealthConfig{})
	now := time.Unix(0, 0)
	for _, name := range []string{"c", "a", "b", "a"} {
		h.Handle(now, ServerChanged{Server: name, Incarnation: 1, Versions: []string{"v", "v"}})
	}
	h.Handle(now, ServerRemoved{Server: "b"})
	for _, list := range [][]*server{h.sorted, h.serving["v"]} {
		var names []string
		for _, s := range list {
			names = append(names, s.name)
		}
		assert.DeepEqual(t, names, []string{"a", "c"})
	}
}
