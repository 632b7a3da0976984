package gateway

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against long IDs of sessions that take the memory of an instance: 16,384 of them are remembered.
func TestSessionsAreBoundedInBytes(t *testing.T) {
	tracker := newRolloutTracker(Settings{})
	long := strings.Repeat("x", 12<<10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range 2 * maxSessions {
		tracker.recordSession(time.Second, "svc", long+strconv.Itoa(n), "v1")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	taken := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, taken < 8<<20, "%d bytes", taken)
	runtime.KeepAlive(tracker)
}
