package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against watches that keep a change unknown beyond its bound, and against calls without pause.
func TestWatchEndsWithinBound(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ age, bound, timeout, longest, want time.Duration }{
		{0, 0, 700 * ms, 1500 * ms, 1500 * ms},
		{0, 4000 * ms, 700 * ms, 1500 * ms, 1500 * ms},
		{0, 2000 * ms, 700 * ms, 1500 * ms, 1100 * ms},
		{500 * ms, 2000 * ms, 700 * ms, 1500 * ms, 600 * ms},
		{1500 * ms, 2000 * ms, 700 * ms, 1500 * ms, minWatchWait},
		{time.Hour, 2000 * ms, 700 * ms, 1500 * ms, minWatchWait},
		{0, 500 * ms, 700 * ms, 200 * ms, 200 * ms},
	} {
		assert.Equal(t, WatchWait(c.age, c.bound, c.timeout, c.longest), c.want)
	}
}
