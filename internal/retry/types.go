// Package retry decides what happens to one request over its attempts: when to
// start another, when to hedge, which streamed parts reach the caller and how
// the request ends. It is pure: callers pass the time and serialise the calls.
package retry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Spender grants retries and hedges. *Budget implements it.
type Spender interface {
	// Spend takes one unit and reports whether it was there.
	Spend(now time.Time) bool
}

// Params describe a request.
type Params struct {
	// Idempotent states that the request may run more than once.
	Idempotent bool
	// Hedge is the delay before a second attempt of an idempotent request; 0
	// means no hedge.
	Hedge time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// MaxAttempts bounds the attempts, hedges included; 0 means 3.
	MaxAttempts int
	// Streamed states that a delivered part reaches the caller at once. Otherwise
	// the parts are held until Succeed and Discard may take them back.
	Streamed bool
	// CanResume states that engines of the version can continue a stream at an
	// offset; it decides for a stream in which a part is missing.
	CanResume bool
	// Budget grants every attempt but the first and those after a refused
	// connection; nil grants all.
	Budget Spender
}

// Event is an input of Handle.
type Event interface{ isEvent() }

// AttemptStarted tells that an attempt is about to be sent to a server. It must
// be handled before the first byte is sent, and an attempt cancelled before it
// must not be sent: until then the attempt counts as proven not run.
type AttemptStarted struct {
	Attempt int
	// Server is the backend server; later attempts avoid it.
	Server string
}

// PartReceived tells that an attempt delivered a part.
type PartReceived struct {
	Attempt int
	// Sequence numbers the parts of one attempt from 1.
	Sequence int
	// Tokens is the number of tokens in the part.
	Tokens int
}

// AttemptEnded tells that an attempt ended, or could not be started.
type AttemptEnded struct {
	Attempt int
	// Kind is the error kind; empty means the end-of-stream marker came.
	Kind errkind.Kind
	// RunState is what the sidecar states; empty means unknown.
	RunState api.RunState
	// LastSequence is the number of the last part, as the marker states it.
	LastSequence int
	// CanResume states that the engine can continue the stream at an offset.
	CanResume bool
	// ConnectionRefusedBeforeSend proves that the request did not run.
	ConnectionRefusedBeforeSend bool
	// RetryAfter is the advice that came with a refusal.
	RetryAfter time.Duration
}

// HedgeTimer tells that Params.Hedge has passed since Start.
type HedgeTimer struct{}

// DeadlineTimer tells that Params.Deadline has passed.
type DeadlineTimer struct{}

// CallerGone tells that the caller no longer waits.
type CallerGone struct{}

func (AttemptStarted) isEvent() {}
func (PartReceived) isEvent()   {}
func (AttemptEnded) isEvent()   {}
func (HedgeTimer) isEvent()     {}
func (DeadlineTimer) isEvent()  {}
func (CallerGone) isEvent()     {}

// Decision is an output of Handle.
type Decision interface{ isDecision() }

// StartAttempt asks for a new attempt.
type StartAttempt struct {
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	// After is the delay before it is sent.
	After time.Duration
	// ExcludeServers were used by earlier attempts; a server outside the list is
	// preferred, and required when Hedge is set.
	ExcludeServers []string
	// Offset is the number of tokens already held, at which the stream resumes.
	Offset int
	// PinVersion requires the version of the first attempt.
	PinVersion bool
	// Hedge marks an attempt beside a running one.
	Hedge bool
}

// SetHedgeTimer asks for a HedgeTimer event.
type SetHedgeTimer struct{ After time.Duration }

// Deliver passes a part on.
type Deliver struct{ Attempt, Sequence int }

// DropPart ignores a part.
type DropPart struct{ Attempt, Sequence int }

// Discard drops the held parts of a request that is not streamed, because a new
// attempt starts from the beginning.
type Discard struct{}

// CancelAttempt stops an attempt whose outcome is no longer wanted.
type CancelAttempt struct{ Attempt int }

// Succeed ends the request with the response of an attempt.
type Succeed struct{ Attempt int }

// Fail ends the request with an error.
type Fail struct {
	Kind errkind.Kind
	// RunState is ran when an attempt ran, unknown when one may have run, and
	// not_run only with proof for every attempt.
	RunState api.RunState
	// RetryAfter is when to try again; 0 means no advice.
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
