package forward

import "time"

const (
	// watchReserve is what replacing a watch that got no answer takes: the pause after the failed call,
	// a list and the transit of a request.
	watchReserve = 200 * time.Millisecond
	// minWatchWait bounds the calls to the store where the bound leaves no time for a watch.
	minWatchWait = 250 * time.Millisecond
)

// WatchWait returns how long the store may hold a watch, at most longest. A watch that gets no answer is
// given up after its wait and timeout. What has changed since the state was the newest one, age ago,
// must be known within bound even then. A bound of 0 states none.
func WatchWait(age, bound, timeout, longest time.Duration) time.Duration {
	if bound == 0 {
		return longest
	}
	return min(longest, max(minWatchWait, bound-timeout-watchReserve-age))
}
