package forward

import "time"

// Fallback decides what a caller gets whose answer of the smallest model was set aside for
// that of a larger model. Where the larger models have more work than they can do, they may
// begin late, break off or not begin at all. The caller then gets the answer that was set
// aside, or, if that was not kept, a second one of the smallest model.
type Fallback struct {
	escalatedAt Elapsed
	latest      Elapsed
	askedAgain  bool
}

// LargerState is the state of the attempt at the larger model.
type LargerState int

// The states of an attempt at the larger model.
const (
	// LargerPending means that its answer has not begun.
	LargerPending LargerState = iota
	// LargerBegan means that its first event has arrived.
	LargerBegan
	// LargerFailed means that the attempt has failed and is not repeated.
	LargerFailed
)

// HeldState is the state of the answer that was set aside.
type HeldState int

// The states of an answer that was set aside.
const (
	// HeldReading means that the rest of the answer is still arriving.
	HeldReading HeldState = iota
	// HeldComplete means that the whole answer can be delivered.
	HeldComplete
	// HeldLost means that the answer was not kept to its end.
	HeldLost
)

// FallbackAction is what happens next to a request with an answer set aside.
type FallbackAction int

// The actions.
const (
	// KeepWaiting leaves the request as it is.
	KeepWaiting FallbackAction = iota
	// DropHeld discards the answer that was set aside: the larger model answers.
	DropHeld
	// AwaitHeld waits for the rest of the answer that was set aside.
	AwaitHeld
	// DeliverHeld delivers the answer that was set aside.
	DeliverHeld
	// AskSmallest asks the smallest model again.
	AskSmallest
)

const (
	// maxOverlap is how long the rest of an answer that was set aside is read while the
	// larger model is asked. Two workers must not run a request for longer than 400 ms; the
	// difference covers the time until the first of them has noticed the end.
	maxOverlap = 300 * time.Millisecond
	// fallbackTargetFactor and fallbackLimitShare give the latest moment for the first event
	// of the larger model, as a multiple of the latency target and as a share of the time
	// limit of the request. Callers of streams leave at four times the target. Until then an
	// answer that comes late from the larger model is worth more than a late one of the
	// smallest.
	fallbackTargetFactor = 3
	fallbackLimitShare   = 0.8
)

// NewFallback returns the decision for a request that started at the given time, whose answer
// is set aside now. limit is the time limit of the request.
func NewFallback(started, now Elapsed, target, limit time.Duration) *Fallback {
	wait := time.Duration(fallbackLimitShare * float64(limit))
	if target > 0 {
		wait = min(wait, fallbackTargetFactor*target)
	}
	return &Fallback{escalatedAt: now, latest: started + wait}
}

// ReadUntil returns until when the rest of the answer may be read while the larger model is
// asked.
func (f *Fallback) ReadUntil() Elapsed { return f.escalatedAt + maxOverlap }

// Latest returns the time at which a larger model that has not begun is given up, if there is
// an answer to deliver instead.
func (f *Fallback) Latest() Elapsed { return f.latest }

// Decide returns what happens next. mayRun reports whether the request may run once more after
// the attempt at the larger model.
func (f *Fallback) Decide(now Elapsed, larger LargerState, held HeldState, mayRun bool) FallbackAction {
	if larger == LargerBegan {
		return DropHeld
	}
	if larger == LargerPending && now < f.latest {
		return KeepWaiting
	}
	switch held {
	case HeldComplete:
		return DeliverHeld
	case HeldReading:
		return AwaitHeld
	}
	if f.askedAgain || !mayRun {
		return KeepWaiting
	}
	return AskSmallest
}

// RecordAskedAgain records that the smallest model is asked again. This happens once.
func (f *Fallback) RecordAskedAgain() { f.askedAgain = true }
