package forward

import "time"

// A worker that sends nothing for a while may be sound: it puts requests back when its memory runs out, collects
// garbage or waits for a disk. Whether it still works on a request cannot be seen from outside, and not every
// worker stops when the connection closes. Silence alone therefore ends no run; what ends one is the end of
// its connection or the deadline.

// SilenceState is what is known of a request whose worker is silent for longer than usual.
type SilenceState struct {
	Kind RouteKind
	// Runs is the number of workers that ran the request before, and MaxRuns how many may.
	Runs, MaxRuns int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// UsualTime is how long such requests usually take, 0 if that is not known.
	UsualTime time.Duration
	// Suspected is set if workers may have ended under the request.
	Suspected bool
}

// HedgeTime is how long a second worker may take to answer while the first one is kept. Two workers must not run a
// request for longer than 400 ms; the difference covers the time until one has noticed the end.
const HedgeTime = maxOverlap

// MayHedge reports whether a second worker may be asked while the silent one is kept. A stream is never hedged:
// both workers would generate it, and its first events cannot be taken back. The load of all hedges is bounded by
// the retry budget, one arrival each, and none is sent that usually cannot answer in time.
func (s SilenceState) MayHedge() bool {
	return s.Kind == Safe && s.Runs+1 < s.MaxRuns && s.Remaining > minRetryTime && s.UsualTime < HedgeTime && !s.Suspected
}
