package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine booted, including time in suspend. Data from
// the store gets older while the machine is suspended, and Go's monotonic clock does not
// count that time. If the clock cannot be read, it returns the time since the process
// started.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
