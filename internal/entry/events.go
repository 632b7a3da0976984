// Package entry routes callers' requests to backend servers. Its Core is a
// state machine without I/O: it takes events and returns effects, and the
// daemon supplies the clock and the connections.
package entry

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Event is an input of Core.Handle.
type Event interface{ event() }

// RequestArrived is a caller's request whose syntax is valid.
type RequestArrived struct {
	// Request is the identifier that this process gave the request.
	Request string
	// APIKey is the caller's API key.
	APIKey string
	Kind   api.RunKind
	// Class is the request class; empty means the customer's default class.
	Class string
	// Session is the caller's session token, SessionNew to start a session, or
	// empty.
	Session string
	// Timeout bounds the time from arrival to answer; 0 means the limit of the
	// class.
	Timeout time.Duration
	// Model is a model, a version or "auto". Model, Messages, MaxTokens and
	// Stream belong to chat requests.
	Model    string
	Messages []api.ChatMessage
	// MaxTokens bounds the answer; 0 means the limit of the class.
	MaxTokens int
	Stream    bool
	// Service, Operation, IdempotencyKey and Body belong to service calls.
	Service        string
	Operation      string
	IdempotencyKey string
	Body           json.RawMessage
}

// SessionNew is the value of RequestArrived.Session that starts a session.
const SessionNew = "new"

// CallerDisconnected reports that the caller's connection is closed or reads too
// slowly.
type CallerDisconnected struct{ Request string }

// SnapshotApplied carries a manifest that the peer exchange accepted. Core
// ignores it unless its revision is newer.
type SnapshotApplied struct{ Snapshot *manifest.Snapshot }

// MembersChanged carries all members that this process knows.
type MembersChanged struct{ Members []api.Member }

// PartReceived carries a streamed part of an attempt's answer.
type PartReceived struct{ Part api.Part }

// AttemptEnded carries the result of an attempt or the error of its transport.
type AttemptEnded struct {
	Request string
	Attempt int
	// Result is valid when Err is nil.
	Result api.RunResult
	Err    *errkind.Error
	// NotSent states that no byte of the attempt left this process, so that it
	// cannot have run.
	NotSent bool
}

// ProbeAnswered carries the answer to a Probe or its error.
type ProbeAnswered struct {
	BackendServer string
	Result        api.ProbeResult
	Err           error
}

// PeerLeaving reports that an instance has begun a graceful stop.
type PeerLeaving struct {
	Instance    string
	Incarnation int
}

// RatingReceived carries the score of an answer that was sent for rating.
type RatingReceived struct {
	Request string
	Stage   int
	// Score is from 0 to 1; it is valid when Err is nil.
	Score float64
	Err   error
}

// ObjectRead is the outcome of a ReadObject effect. Err is platform.ErrNotFound
// when the object does not exist.
type ObjectRead struct {
	Key     string
	Version int64
	Value   []byte
	Err     error
}

// ObjectWritten is the outcome of a WriteObject effect. Version is the new
// version of the object.
type ObjectWritten struct {
	Key     string
	Version int64
	Err     error
}

// UsageReplicated ends the wait that ReplicateUsage started: the sidecar holds a copy of
// the usage records of a request, or the call to it failed.
type UsageReplicated struct{ Request string }

// SessionKeysRead carries the value of the store object that holds the session
// keys.
type SessionKeysRead struct{ Value []byte }

// DigestReceived carries what a peer's digest reports in addition to the
// manifest.
type DigestReceived struct {
	CutBacks []api.CutBack
	Demands  []api.Demand
	Evidence []api.Evidence
	Rollouts []api.RolloutProgress
}

// LeaveScheduled announces a graceful stop. Requests that still run at EndsAt are answered then, and no
// non-idempotent call is taken that may run beyond it.
type LeaveScheduled struct{ EndsAt time.Time }

// DrainStarted ends the wait for callers: usage records and claims are written.
type DrainStarted struct{}

// Tick makes Handle run the work that is due.
type Tick struct{}

func (RequestArrived) event()     {}
func (CallerDisconnected) event() {}
func (SnapshotApplied) event()    {}
func (MembersChanged) event()     {}
func (PartReceived) event()       {}
func (AttemptEnded) event()       {}
func (ProbeAnswered) event()      {}
func (PeerLeaving) event()        {}
func (RatingReceived) event()     {}
func (ObjectRead) event()         {}
func (ObjectWritten) event()      {}
func (UsageReplicated) event()    {}
func (SessionKeysRead) event()    {}
func (DigestReceived) event()     {}
func (LeaveScheduled) event()     {}
func (DrainStarted) event()       {}
func (Tick) event()               {}

// Effect is an output of Core.Handle that the daemon carries out.
type Effect interface{ effect() }

// StartAttempt sends an attempt to a sidecar. It is answered by PartReceived
// events and one AttemptEnded.
type StartAttempt struct {
	Address  string
	Instance string
	Params   api.RunParams
}

// CancelAttempt asks a sidecar to stop an attempt.
type CancelAttempt struct {
	Address string
	Params  api.CancelParams
}

// Deliver streams text to the caller.
type Deliver struct {
	Request string
	Version string
	Session string
	Text    string
	Tokens  int
}

// Answer ends a request and gives the caller its result or error.
type Answer struct {
	Request string
	// Err is nil on success.
	Err     *errkind.Error
	Version string
	Session string
	// Text is the part of the answer that was not streamed by Deliver.
	Text         string
	FinishReason string
	InputTokens  int
	OutputTokens int
	// Cost is the cost of all stages that ran, in the unit of the manifest's prices.
	Cost float64
	// Body is the answer of a service call.
	Body json.RawMessage
	// Repeated states that Body is the stored answer of an earlier request with
	// the same idempotency key.
	Repeated bool
}

// ReadObject reads an object from the store. It is answered by an ObjectRead.
type ReadObject struct{ Key string }

// WriteObject writes an object to the store if its version is still IfVersion.
// It is answered by an ObjectWritten.
type WriteObject struct {
	Key       string
	Value     []byte
	IfVersion int64
}

// ReplicateUsage sends copies of the usage records of a request to a sidecar in
// another failure domain. It is answered by a UsageReplicated.
type ReplicateUsage struct {
	Address string
	Request string
	Params  api.UsageHold
}

// ConfirmUsage notifies a sidecar that a usage record is written to the store.
type ConfirmUsage struct {
	Address string
	Params  api.UsageConfirm
}

// Probe asks a sidecar for the load of its backend server. It is answered by a
// ProbeAnswered.
type Probe struct {
	Address       string
	BackendServer string
	Instance      string
	Incarnation   int
}

// RateAnswer sends an answer to the rating service. It is answered by a
// RatingReceived.
type RateAnswer struct {
	Request string
	Stage   int
	Class   string
	Version string
	Prompt  string
	Text    string
	// Timeout bounds the wait for the score.
	Timeout time.Duration
}

// Publish passes data to the peer exchange, which distributes it.
type Publish struct {
	CutBacks []api.CutBack
	Demands  []api.Demand
	// Evidence and Rollouts are sent to other entries only.
	Evidence []api.Evidence
	Rollouts []api.RolloutProgress
}

// OfferConfig passes a newer manifest, received with a result, to the peer
// exchange.
type OfferConfig struct{ Offer api.ConfigOffer }

// Trace writes one record to the decision log.
type Trace struct{ Record api.TraceRecord }

// Drained reports that a graceful stop is complete: all requests have ended and
// everything is written.
type Drained struct{}

func (StartAttempt) effect()   {}
func (CancelAttempt) effect()  {}
func (Deliver) effect()        {}
func (Answer) effect()         {}
func (ReadObject) effect()     {}
func (WriteObject) effect()    {}
func (ReplicateUsage) effect() {}
func (ConfirmUsage) effect()   {}
func (Probe) effect()          {}
func (RateAnswer) effect()     {}
func (Publish) effect()        {}
func (OfferConfig) effect()    {}
func (Trace) effect()          {}
func (Drained) effect()        {}
