// Package overload decides what an instance near its own limits still takes: connections, requests
// and the memory that they need. It is pure: it has no goroutine, lock, socket or clock.
//
// A load balancer that spreads callers by a hash gives a small instance as many of them as a large
// one. A caller that is refused at once can be served by another instance; one that waits for the
// processor, the link or the memory of this one is answered late, with all others that wait.
package overload

import "time"

// Limits are what the platform grants an instance. A field that is 0 is unknown and bounds nothing.
type Limits struct {
	MemoryBytes int64
	// Descriptors is the number of open files and sockets.
	Descriptors int
	// LinkBytesPerSecond is the rate of the instance's own link in each direction.
	LinkBytesPerSecond float64
	// ProcessorShare is the part of one core.
	ProcessorShare float64
}

// Reason names the limit that a request was refused for.
type Reason string

// The reasons of a refusal.
const (
	Admitted  Reason = ""
	Processor Reason = "processor"
	Link      Reason = "link"
	Memory    Reason = "memory"
)

// Request is what is known of a request before its body is read.
type Request struct {
	// BodyBytes is the memory that is reserved for its body. It grows as the body arrives; see Extend.
	BodyBytes int64
	// StatedBytes is the length that the caller states, for which there must be room; 0 if it states none.
	StatedBytes int64
	// Tolerance is the delay in this instance that the caller can bear; see Tolerance.
	Tolerance time.Duration
}

// Verdict is the decision on a request. A refused request may come back after RetryAfter.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// targetShare is the part of the latency target, and of the allowed pause between two events, that
	// a request may spend waiting in an instance: the worker needs the rest.
	targetShare = 0.5
	// timeoutShare is that part of the time limit, which leaves time for a second attempt.
	timeoutShare = 0.25
	// minRetryAfter is the shortest pause of a refused caller. Its next connection reaches another instance, which may be
	// as busy.
	minRetryAfter = 50 * time.Millisecond
	// MaxRetryAfter is the longest pause of a refused caller.
	MaxRetryAfter = 500 * time.Millisecond
)

// Tolerance returns the delay within an instance that a request can bear. A value that is 0 is unknown.
func Tolerance(latencyTarget, gapTarget, timeLimit time.Duration) time.Duration {
	out := time.Duration(timeoutShare * float64(timeLimit))
	for _, target := range []time.Duration{latencyTarget, gapTarget} {
		if bound := time.Duration(targetShare * float64(target)); bound > 0 && (out == 0 || bound < out) {
			out = bound
		}
	}
	return out
}

// Guard holds the load of one instance and admits requests.
type Guard struct {
	processor processor
	link      link
	memory    memory
}

// NewGuard returns a Guard for an instance without load.
func NewGuard(l Limits) *Guard {
	return &Guard{
		processor: processor{isKnown: l.ProcessorShare > 0, pause: quotaPause(l.ProcessorShare)},
		link:      link{rate: l.LinkBytesPerSecond * linkPayloadShare},
		memory:    newMemory(l.MemoryBytes),
	}
}

// Admit decides on a request. An admitted one needs a call of Release at its end.
func (g *Guard) Admit(now time.Duration, r Request) Verdict {
	if !g.memory.fits(max(r.BodyBytes, r.StatedBytes)) {
		return Verdict{Memory, MaxRetryAfter}
	}
	if delay := g.link.delay(now); delay > max(r.Tolerance, minLinkDelay) {
		return Verdict{Link, retryAfter(delay)}
	}
	if delay := g.processor.delay(); !g.processor.admits(delay, r.Tolerance) {
		return Verdict{Processor, retryAfter(delay)}
	}
	g.memory.take(r.BodyBytes)
	return Verdict{}
}

func retryAfter(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), MaxRetryAfter)
}

// Extend reserves n more bytes for the body of an admitted request, and returns the request to release. It
// reports whether there is memory for them.
func (g *Guard) Extend(r Request, n int64) (Request, bool) {
	if !g.memory.hasRoom(n) || !g.memory.hasRoomForBody(r.BodyBytes, r.BodyBytes+n) {
		return r, false
	}
	return g.Settle(r, r.BodyBytes+n), true
}

// Settle replaces the memory reserved for the body of an admitted request by what it takes, and returns the request
// to release.
func (g *Guard) Settle(r Request, bodyBytes int64) Request {
	g.memory.release(r.BodyBytes)
	g.memory.take(bodyBytes)
	r.BodyBytes = bodyBytes
	return r
}

// AcceptCaller reports whether there is memory for a further connection of a caller beside so many open ones, and
// reserves it. The next sample counts those that have closed.
func (g *Guard) AcceptCaller(open int) bool {
	if !g.memory.acceptsCaller(open) {
		return false
	}
	g.memory.callers = int64(open+1) * callerBytes
	return true
}

// EndsConnections reports whether answers are to end the connections of their callers, whose next ones reach other
// instances, because their memory is nearly used up.
func (g *Guard) EndsConnections() bool { return g.memory.share() > closeShare }

// HoldAnswer reserves memory for an answer of n bytes that is kept while a request waits for another one, and reports
// whether there is room. Its connection to the worker counts as any other.
func (g *Guard) HoldAnswer(n int64) bool {
	n += 2 * receiveBufferBytes
	if !g.memory.hasRoom(n) {
		return false
	}
	g.memory.requests += n
	return true
}

// DropAnswer returns the memory of an answer of n bytes that was kept.
func (g *Guard) DropAnswer(n int64) { g.memory.requests -= n + 2*receiveBufferBytes }

// Release returns the memory of an admitted request.
func (g *Guard) Release(r Request) { g.memory.release(r.BodyBytes) }

// Sample is what an instance measures of itself at regular intervals.
type Sample struct {
	// Lag is how late work that was due has begun.
	Lag time.Duration
	// MemoryBytes is the memory that the process uses, 0 if unknown.
	MemoryBytes int64
	// SentBytes is the number of bytes written to all connections since the last sample.
	SentBytes int64
	// Callers and Workers are the numbers of open connections to callers and to workers, and Links those to other
	// instances that they have opened.
	Callers, Workers, Links int
}

// Observe records a sample.
func (g *Guard) Observe(now time.Duration, s Sample) {
	g.processor.observe(s.Lag)
	g.link.observe(now, s.SentBytes)
	g.memory.observe(s)
}

// Load is the state of a Guard for operators.
type Load struct {
	Lag         time.Duration
	LinkDelay   time.Duration
	MemoryShare float64
	// RequestBytes is the memory that is reserved for connections, requests and their heads.
	RequestBytes int64
}

// Load returns the present state.
func (g *Guard) Load(now time.Duration) Load {
	return Load{Lag: g.processor.delay(), LinkDelay: g.link.delay(now), MemoryShare: g.memory.share(), RequestBytes: g.memory.inUse()}
}
