// Package retry decides about the attempts of one request: when to start another
// one, when to hedge, which streamed parts reach the caller and how the request
// ends. It does no I/O: callers pass the time and serialize the calls.
package retry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Limiter limits retries and hedges. *Budget implements it.
type Limiter interface {
	// Allow reports whether a retry or hedge is allowed, and takes a token from
	// the budget if so.
	Allow(now time.Time) bool
}

// Params describes a request.
type Params struct {
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Hedge is the delay after Start at which an idempotent request without a
	// delivered part gets a second attempt; 0 means no hedge.
	Hedge time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// MaxAttempts limits the number of attempts, including hedges; 0 means 3.
	MaxAttempts int
	// Streamed is set when a delivered part reaches the caller at once. Otherwise
	// the parts are buffered until Succeed, and Discard may drop them.
	Streamed bool
	// CanResume is set when engines of the version can continue a stream at an
	// offset. It applies to an attempt that is canceled because a part is missing;
	// for an attempt that ended, AttemptEnded.CanResume applies.
	CanResume bool
	// Budget limits all attempts but the first one and those after a refused
	// connection; nil means no limit.
	Budget Limiter
}

// Event is an input of Request.Handle.
type Event interface{ isEvent() }

// AttemptStarted reports that an attempt is about to be sent to a server. The
// caller must pass it to Handle before it sends the first byte, and must not send
// an attempt that was canceled before. Until this event, the attempt counts as
// proven not run.
type AttemptStarted struct {
	Attempt int
	// Server is the name of the backend server; later attempts avoid it.
	Server string
}

// PartReceived reports that a part of the response was received.
type PartReceived struct {
	Attempt int
	// Sequence numbers the parts of one attempt from 1.
	Sequence int
	// Tokens is the number of tokens in the part.
	Tokens int
}

// AttemptEnded reports that an attempt ended, or could not be started.
type AttemptEnded struct {
	Attempt int
	// Kind is the error kind; empty means that the end-of-stream marker was
	// received.
	Kind errkind.Kind
	// RunState is the run state that the sidecar reported; empty means unknown.
	RunState api.RunState
	// LastSequence is the sequence number of the last part according to the
	// end-of-stream marker.
	LastSequence int
	// CanResume is set when the engine can continue the stream at an offset.
	CanResume bool
	// ConnectionRefusedBeforeSend is set when the connection was refused before
	// anything was sent, which proves that the request did not run.
	ConnectionRefusedBeforeSend bool
	// RetryAfter is the delay that a refusal advises before a retry; 0 means none.
	RetryAfter time.Duration
}

// HedgeTimer reports that Params.Hedge has passed since Start.
type HedgeTimer struct{}

// DeadlineTimer reports that Params.Deadline has passed.
type DeadlineTimer struct{}

// Leaving reports that this process ends before the response has come.
type Leaving struct{}

// CallerDisconnected reports that the caller no longer waits for the response.
type CallerDisconnected struct{}

func (AttemptStarted) isEvent()     {}
func (PartReceived) isEvent()       {}
func (AttemptEnded) isEvent()       {}
func (HedgeTimer) isEvent()         {}
func (DeadlineTimer) isEvent()      {}
func (Leaving) isEvent()            {}
func (CallerDisconnected) isEvent() {}

// Decision is an output of Request.Start and Request.Handle.
type Decision interface{ isDecision() }

// StartAttempt asks for a new attempt.
type StartAttempt struct {
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	// After is the delay before the attempt is sent.
	After time.Duration
	// ExcludeServers holds the servers of earlier attempts. A server outside the
	// list is preferred, and required when Hedge is set.
	ExcludeServers []string
	// Offset is the number of tokens already delivered, at which the stream
	// resumes.
	Offset int
	// PinVersion requires the version of the first attempt.
	PinVersion bool
	// Hedge is set for an attempt that runs in parallel with another one.
	Hedge bool
}

// SetHedgeTimer asks for a HedgeTimer event after a delay.
type SetHedgeTimer struct{ After time.Duration }

// Deliver passes a part on to the caller, or to the buffer of a request that is not
// streamed.
type Deliver struct{ Attempt, Sequence int }

// DropPart discards a received part.
type DropPart struct{ Attempt, Sequence int }

// Discard drops the buffered parts of a request that is not streamed, because a
// new attempt starts from the beginning.
type Discard struct{}

// CancelAttempt stops an attempt whose response is no longer needed.
type CancelAttempt struct{ Attempt int }

// Succeed ends the request with the response of an attempt.
type Succeed struct{ Attempt int }

// Fail ends the request with an error.
type Fail struct {
	Kind errkind.Kind
	// RunState is ran when an attempt ran, unknown when one may have run, and
	// not_run only when this is proven for every attempt.
	RunState api.RunState
	// RetryAfter is the advised delay before the caller repeats the request; 0
	// means that no advice is given.
	RetryAfter time.Duration
}

func (StartAttempt) isDecision()  {}
func (SetHedgeTimer) isDecision() {}
func (Deliver) isDecision()       {}
func (DropPart) isDecision()      {}
func (Discard) isDecision()       {}
func (CancelAttempt) isDecision() {}
func (Succeed) isDecision()       {}
func (Fail) isDecision()          {}
