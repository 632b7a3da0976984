package overload

import "time"

const (
	// refusingTime is how long most requests must be refused before readiness is withdrawn. Callers that
	// are refused for a moment are served better by their retries.
	refusingTime = 2 * time.Second
	// refusedShare is the part of the requests in an interval that counts as most.
	refusedShare = 0.5
	// minRequests is the least number of requests in an interval that show an overload.
	minRequests = 5
	// withdrawnTime is how long readiness is withdrawn: a load balancer notices after two failed checks,
	// one a second, and has new callers go elsewhere for some seconds.
	withdrawnTime = 4 * time.Second
	// readyTime is how long an instance then stays ready whatever its load. Where all instances are
	// overloaded, it helps no caller that each of them says so: the load balancer uses all again.
	readyTime = 40 * time.Second
)

// Readiness decides when an overloaded instance says that it is not ready.
type Readiness struct {
	refusingSince  time.Duration
	isRefusing     bool
	withdrawnUntil time.Duration
	readyUntil     time.Duration
}

// Observe records the requests that arrived since the last call and those that were refused for the
// instance's own limits.
func (r *Readiness) Observe(now time.Duration, arrived, refused int) {
	if arrived < minRequests || float64(refused) < refusedShare*float64(arrived) {
		r.isRefusing = false
		return
	}
	if !r.isRefusing {
		r.isRefusing, r.refusingSince = true, now
	}
	if now-r.refusingSince >= refusingTime && now >= r.readyUntil {
		r.withdrawnUntil = now + withdrawnTime
		r.readyUntil = r.withdrawnUntil + readyTime
	}
}

// IsReady reports whether the instance takes new callers.
func (r *Readiness) IsReady(now time.Duration) bool { return now >= r.withdrawnUntil }
