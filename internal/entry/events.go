// Package entry holds the process that accepts callers' requests: a pure core
// that decides, and the wiring that gives it clocks and connections.
package entry

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Event is an input of the core.
type Event interface{ event() }

// RequestArrived is a caller's request after its syntax was checked.
type RequestArrived struct {
	// Request is the identifier that this process gave the request.
	Request string
	// Key is the caller's API key.
	Key   string
	Kind  api.RunKind
	Class string
	// Session is the session handle sent by the caller; SessionNew asks for one.
	Session string
	// Deadline bounds the request; 0 leaves it to the class.
	Deadline time.Duration
	// Model is a model, a version or "auto"; chat only.
	Model     string
	Messages  []api.ChatMessage
	MaxTokens int
	Stream    bool
	// Service, Operation, IdempotencyKey and Body belong to service calls.
	Service        string
	Operation      string
	IdempotencyKey string
	Body           json.RawMessage
}

// SessionNew is the session header of a caller that wants a new session.
const SessionNew = "new"

// CallerGone says that the caller's connection is closed or too slow.
type CallerGone struct{ Request string }

// SnapshotApplied hands over a higher manifest.
type SnapshotApplied struct{ Snapshot *manifest.Snapshot }

// MembersChanged lists the members that this process knows.
type MembersChanged struct{ Members []api.Member }

// PartReceived is streamed text of an attempt.
type PartReceived struct{ Part api.Part }

// AttemptEnded is the result of an attempt, or the failure of its transport.
type AttemptEnded struct {
	Request string
	Attempt int
	// Result is valid when Err is nil.
	Result api.RunResult
	Err    *errkind.Error
	// NotSent means that no byte of the attempt left this process.
	NotSent bool
}

// ProbeAnswered is the answer of a probe, or its failure.
type ProbeAnswered struct {
	BackendServer string
	Result        api.ProbeResult
	Err           error
}

// PeerLeaving says that an instance leaves.
type PeerLeaving struct {
	Instance    string
	Incarnation int
}

// RatingArrived is the score of an answer.
type RatingArrived struct {
	Request string
	Stage   int
	// Score is from 0 to 1; Err is set when there is none.
	Score float64
	Err   error
}

// StoreRead is the outcome of a ReadObject effect.
type StoreRead struct {
	Key     string
	Version int64
	Value   []byte
	Err     error
}

// StoreWritten is the outcome of a WriteObject effect.
type StoreWritten struct {
	Key     string
	Version int64
	Err     error
}

// UsageHeld says that a sidecar of another failure domain holds the usage records
// of a request, or that it could not be asked.
type UsageHeld struct{ Request string }

// SessionKeysRead hands over the session keys of the platform.
type SessionKeysRead struct{ Value []byte }

// DigestReceived is what a peer reported beside the manifest.
type DigestReceived struct {
	CutBacks []api.CutBack
	Demands  []api.Demand
	Evidence []api.Evidence
	Rollouts []api.RolloutProgress
}

// DrainStarted begins a graceful stop.
type DrainStarted struct{}

// Tick lets the core act on the passing of time.
type Tick struct{}

func (RequestArrived) event()  {}
func (CallerGone) event()      {}
func (SnapshotApplied) event() {}
func (MembersChanged) event()  {}
func (PartReceived) event()    {}
func (AttemptEnded) event()    {}
func (ProbeAnswered) event()   {}
func (PeerLeaving) event()     {}
func (RatingArrived) event()   {}
func (StoreRead) event()       {}
func (StoreWritten) event()    {}
func (UsageHeld) event()       {}
func (SessionKeysRead) event() {}
func (DigestReceived) event()  {}
func (DrainStarted) event()    {}
func (Tick) event()            {}

// Effect is an output of the core.
type Effect interface{ effect() }

// StartAttempt sends an attempt to a sidecar.
type StartAttempt struct {
	Address  string
	Instance string
	Params   api.RunParams
}

// CancelAttempt stops an attempt.
type CancelAttempt struct {
	Address string
	Cancel  api.CancelParams
}

// Deliver streams text to the caller.
type Deliver struct {
	Request string
	Version string
	Session string
	Text    string
	Tokens  int
}

// Answer ends a request towards the caller.
type Answer struct {
	Request string
	// Err is nil on success.
	Err     *errkind.Error
	Version string
	Session string
	// Text is the rest of the answer that was not delivered before.
	Text         string
	FinishReason string
	InputTokens  int
	OutputTokens int
	Cost         float64
	// Body is the answer of a service call.
	Body json.RawMessage
	// Repeated says that the body is the stored answer of an earlier request.
	Repeated bool
}

// ReadObject reads an object of the platform.
type ReadObject struct{ Key string }

// WriteObject writes an object of the platform conditionally.
type WriteObject struct {
	Key       string
	Value     []byte
	IfVersion int64
}

// HoldUsage hands the usage records of a request to a sidecar; it is answered by
// a UsageHeld.
type HoldUsage struct {
	Address string
	Request string
	Hold    api.UsageHold
}

// ConfirmUsage tells a sidecar that a usage record is written.
type ConfirmUsage struct {
	Address string
	Confirm api.UsageConfirm
}

// Probe asks a sidecar for its load.
type Probe struct {
	Address       string
	BackendServer string
	Instance      string
	Incarnation   int
}

// Rate sends an answer to the rating service.
type Rate struct {
	Request string
	Stage   int
	Class   string
	Version string
	Prompt  string
	Text    string
	// Timeout bounds the wait for the score.
	Timeout time.Duration
}

// Publish hands the peer exchange what it should spread.
type Publish struct {
	CutBacks []api.CutBack
	Demands  []api.Demand
	// Evidence and Rollouts go to other entries only.
	Evidence []api.Evidence
	Rollouts []api.RolloutProgress
}

// OfferConfig hands a newer manifest, received with a result, to the exchange.
type OfferConfig struct{ Offer api.ConfigOffer }

// Trace is one line of the decision log.
type Trace struct{ Record api.TraceRecord }

// Drained says that the last request has ended and usage is flushed.
type Drained struct{}

func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (Deliver) effect()       {}
func (Answer) effect()        {}
func (ReadObject) effect()    {}
func (WriteObject) effect()   {}
func (HoldUsage) effect()     {}
func (ConfirmUsage) effect()  {}
func (Probe) effect()         {}
func (Rate) effect()          {}
func (Publish) effect()       {}
func (OfferConfig) effect()   {}
func (Trace) effect()         {}
func (Drained) effect()       {}
