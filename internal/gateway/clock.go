package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// elapsed is the time since the machine's boot, counting suspended time: knowledge ages
// while the machine is suspended, and Go's monotonic clock does not count that.
func elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
