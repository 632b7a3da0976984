// Package sidecar implements the decisions of the process that runs beside one backend
// server: which attempts it admits, in which order they start, which usage records it
// writes and when it has drained. Core takes events and returns effects; package daemon
// connects it to clocks, links and the backend server.
package sidecar

import (
	"encoding/json"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// LinkID identifies the connection to an entry within this process.
type LinkID uint64

// Event is an input of Core.Handle.
type Event interface{ event() }

// SnapshotApplied carries a manifest of a higher revision that the exchange put in
// force.
type SnapshotApplied struct{ Snapshot *manifest.Snapshot }

// ConfigConfirmed reports that a peer, asked after the last ConfirmConfig, has no
// manifest of a higher revision.
type ConfigConfirmed struct{}

// RunRequested carries an attempt that an entry sent.
type RunRequested struct {
	Link   LinkID
	Params api.RunParams
}

// CancelRequested asks to cancel an attempt.
type CancelRequested struct {
	Link    LinkID
	Request string
	Attempt int
}

// LinkClosed reports that the connection to an entry is closed.
type LinkClosed struct{ Link LinkID }

// BackendPart carries text that the engine generated for an attempt, and its number
// of tokens.
type BackendPart struct {
	Request string
	Attempt int
	Text    string
	Tokens  int
}

// BackendEnded reports that an attempt has ended on the backend server. Err is nil on
// success.
type BackendEnded struct {
	Request      string
	Attempt      int
	Err          *errkind.Error
	InputTokens  int
	CachedTokens int
	OutputTokens int
	FinishReason string
	Confidence   float64
	Body         json.RawMessage
}

// BackendLoad carries a load report of the backend server, or the error of reading it.
type BackendLoad struct {
	Load api.LoadReport
	Err  error
}

// DrainStarted starts the graceful stop: new attempts are refused from here on.
type DrainStarted struct{}

// UsageConfirmed reports that an entry has stored the usage record of a stage, so that
// the local copy can be dropped.
type UsageConfirmed struct{ Params api.UsageConfirm }

// UsageReplicaReceived carries copies of usage records for requests that ran in another
// failure domain.
type UsageReplicaReceived struct {
	// ID is returned in the UsageReplicaStored effect.
	ID      uint64
	Records []api.UsageRecord
}

// UsageWritten reports the outcome of a WriteUsage effect.
type UsageWritten struct {
	ObjectKey string
	// Err is the error of the store, nil on success.
	Err error
}

// Tick lets the core process timeouts when no other event arrives.
type Tick struct{}

func (SnapshotApplied) event()      {}
func (ConfigConfirmed) event()      {}
func (RunRequested) event()         {}
func (CancelRequested) event()      {}
func (LinkClosed) event()           {}
func (BackendPart) event()          {}
func (BackendEnded) event()         {}
func (BackendLoad) event()          {}
func (DrainStarted) event()         {}
func (UsageConfirmed) event()       {}
func (UsageReplicaReceived) event() {}
func (UsageWritten) event()         {}
func (Tick) event()                 {}

// Effect is an output of Core.Handle, which the caller carries out.
type Effect interface{ effect() }

// StartBackend starts an attempt on the backend server. DeadlineMs in Params is the
// time left.
type StartBackend struct{ Params api.RunParams }

// CancelBackend cancels an attempt on the backend server.
type CancelBackend struct {
	Request string
	Attempt int
}

// SendPart sends generated text to the entry.
type SendPart struct {
	Link LinkID
	Part api.Part
}

// SendResult sends the result of an attempt to the entry.
type SendResult struct {
	Link   LinkID
	Result api.RunResult
}

// FetchConfig requests the manifest of the entry on a link, because the entry uses a
// higher revision than this process.
type FetchConfig struct{ Link LinkID }

// ConfirmConfig requests a ConfigConfirmed event after this process was paused.
type ConfirmConfig struct{}

// UsageDropped reports that the usage record of a run cannot be kept. The entry that
// answered the caller still holds its own record.
type UsageDropped struct {
	Request string
	Err     error
}

// AnnounceLeaving notifies all linked entries that this instance is leaving.
type AnnounceLeaving struct{}

// MemberChanged publishes the changed member record of this process.
type MemberChanged struct{ Member api.Member }

// WriteUsage writes a batch of unconfirmed usage records to the store under ObjectKey.
type WriteUsage struct {
	ObjectKey string
	Value     []byte
}

// UsageReplicaStored answers the UsageReplicaReceived event with the same ID. Err is nil
// when all of its records were kept.
type UsageReplicaStored struct {
	ID  uint64
	Err *errkind.Error
}

// Drained reports that no attempt is left and all usage records are written.
type Drained struct{}

func (StartBackend) effect()       {}
func (CancelBackend) effect()      {}
func (SendPart) effect()           {}
func (SendResult) effect()         {}
func (FetchConfig) effect()        {}
func (ConfirmConfig) effect()      {}
func (UsageDropped) effect()       {}
func (AnnounceLeaving) effect()    {}
func (MemberChanged) effect()      {}
func (WriteUsage) effect()         {}
func (UsageReplicaStored) effect() {}
func (Drained) effect()            {}
