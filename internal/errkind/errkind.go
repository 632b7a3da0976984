// Package errkind defines the kinds of errors that callers, operators and peers
// receive, and the HTTP status, JSON-RPC code and run state of each.
package errkind

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// Kind is the name of an error kind, as callers and peers receive it.
type Kind string

// The error kinds. The list is closed: an unlisted kind is handled as Internal.
const (
	// InvalidRequest is a malformed request, or one with missing or contradictory
	// fields.
	InvalidRequest Kind = "invalid_request"
	// Unauthenticated is a missing or unknown API key or operator key.
	Unauthenticated Kind = "unauthenticated"
	// ForbiddenVersion is a model version or service that the customer may not use.
	ForbiddenVersion Kind = "forbidden_version"
	// UnknownModel is a model, service, operation or path that does not exist.
	UnknownModel Kind = "unknown_model"
	// NoCandidate means that no backend server or version can serve the request.
	NoCandidate Kind = "no_candidate"
	// RateLimited means that a rate limit of the customer or of the store is
	// exceeded.
	RateLimited Kind = "rate_limited"
	// Overloaded means that a queue is full or a component is at its limit.
	Overloaded Kind = "overloaded"
	// DeadlineHopeless is a refusal because the request cannot be completed before
	// its deadline.
	DeadlineHopeless Kind = "deadline_hopeless"
	// DeadlineExceeded means that the deadline passed, or that the caller canceled.
	DeadlineExceeded Kind = "deadline_exceeded"
	// NotReady means that a component lacks what it needs to serve, such as a
	// manifest or session keys.
	NotReady Kind = "not_ready"
	// Draining means that the instance is shutting down.
	Draining Kind = "draining"
	// StaleRevision means that the sender used an older manifest than the receiver,
	// or that a newer manifest did not arrive at the receiver in time.
	StaleRevision Kind = "stale_revision"
	// StaleIncarnation is a message for another incarnation of the instance.
	StaleIncarnation Kind = "stale_incarnation"
	// SessionInvalid is a session token that was not issued by this router or does
	// not fit the request.
	SessionInvalid Kind = "session_invalid"
	// VersionWithdrawn means that the requested version, or every allowed version
	// of the model, is being withdrawn or has been withdrawn.
	VersionWithdrawn Kind = "version_withdrawn"
	// DuplicateInProgress is a repeated request whose first call may still be
	// running.
	DuplicateInProgress Kind = "duplicate_in_progress"
	// DuplicateUnknown is a repeated request whose first call may have run with an
	// unknown outcome.
	DuplicateUnknown Kind = "duplicate_unknown"
	// StoreUnavailable means that the store could not be reached, or that its
	// answer is missing or out of date.
	StoreUnavailable Kind = "store_unavailable"
	// Conflict means that another change came first, or that the requested change
	// does not fit the stored state.
	Conflict Kind = "conflict"
	// UpstreamFailed is a failure of a backend server or its sidecar, or of the
	// connection to it, including an invalid answer.
	UpstreamFailed Kind = "upstream_failed"
	// Truncated is an answer that broke off before its end.
	Truncated Kind = "truncated"
	// PayloadTooLarge is a request or result that exceeds a size limit.
	PayloadTooLarge Kind = "payload_too_large"
	// HeaderTooLarge is a request whose header exceeds the size limit.
	HeaderTooLarge Kind = "header_too_large"
	// Quarantined is a request like others under which backend servers have ended.
	Quarantined Kind = "quarantined"
	// UnknownRoute is a request path without a route.
	UnknownRoute Kind = "unknown_route"
	// Internal is any other error, including one of an unlisted kind.
	Internal Kind = "internal"
)

// Response describes how a kind is reported to callers, operators and peers.
type Response struct {
	// HTTPStatus is the status code sent to callers and operators.
	HTTPStatus int
	// RPCCode is the JSON-RPC error code sent to peers.
	RPCCode int64
	// IsRetryable reports whether the same request may succeed later.
	IsRetryable bool
	// RunState is the default run state of an error of this kind.
	RunState api.RunState
}

// responses holds how each kind is reported.
var responses = map[Kind]Response{
	InvalidRequest:      {http.StatusBadRequest, -32001, false, api.RunStateNotRun},
	Unauthenticated:     {http.StatusUnauthorized, -32002, false, api.RunStateNotRun},
	ForbiddenVersion:    {http.StatusForbidden, -32003, false, api.RunStateNotRun},
	UnknownModel:        {http.StatusNotFound, -32004, false, api.RunStateNotRun},
	NoCandidate:         {http.StatusServiceUnavailable, -32005, true, api.RunStateNotRun},
	RateLimited:         {http.StatusTooManyRequests, -32006, true, api.RunStateNotRun},
	Overloaded:          {http.StatusServiceUnavailable, -32007, true, api.RunStateNotRun},
	DeadlineHopeless:    {http.StatusServiceUnavailable, -32008, true, api.RunStateNotRun},
	DeadlineExceeded:    {http.StatusGatewayTimeout, -32009, true, api.RunStateUnknown},
	NotReady:            {http.StatusServiceUnavailable, -32010, true, api.RunStateNotRun},
	Draining:            {http.StatusServiceUnavailable, -32011, true, api.RunStateNotRun},
	StaleRevision:       {http.StatusServiceUnavailable, -32012, true, api.RunStateNotRun},
	StaleIncarnation:    {http.StatusServiceUnavailable, -32013, true, api.RunStateNotRun},
	SessionInvalid:      {http.StatusBadRequest, -32014, false, api.RunStateNotRun},
	VersionWithdrawn:    {http.StatusGone, -32015, false, api.RunStateNotRun},
	DuplicateInProgress: {http.StatusConflict, -32016, true, api.RunStateUnknown},
	DuplicateUnknown:    {http.StatusConflict, -32017, false, api.RunStateUnknown},
	StoreUnavailable:    {http.StatusServiceUnavailable, -32018, true, api.RunStateNotRun},
	Conflict:            {http.StatusConflict, -32019, false, api.RunStateNotRun},
	UpstreamFailed:      {http.StatusBadGateway, -32020, true, api.RunStateUnknown},
	Truncated:           {http.StatusBadGateway, -32021, true, api.RunStateRan},
	PayloadTooLarge:     {http.StatusRequestEntityTooLarge, -32022, false, api.RunStateNotRun},
	HeaderTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, -32026, false, api.RunStateNotRun},
	UnknownRoute:        {http.StatusNotFound, -32024, false, api.RunStateNotRun},
	Quarantined:         {http.StatusServiceUnavailable, -32025, false, api.RunStateNotRun},
	Internal:            {http.StatusInternalServerError, -32023, false, api.RunStateUnknown},
}

// All returns every kind, in no particular order.
func All() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup returns how a kind is reported. An unlisted kind is reported as Internal.
func Lookup(k Kind) Response {
	if response, ok := responses[k]; ok {
		return response
	}
	return responses[Internal]
}

// Parse returns the kind with the name s, or Internal if there is none.
func Parse(s string) Kind {
	if _, ok := responses[Kind(s)]; ok {
		return Kind(s)
	}
	return Internal
}

// Error is an error of a listed kind.
type Error struct {
	Kind Kind
	// Message is the text shown to callers and peers; it is safe to show to them.
	Message string
	// RunState states whether the request ran on a backend server.
	RunState api.RunState
	// RetryAfter is the advised delay before a retry; 0 means no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k with the default run state of that kind.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message, RunState: Lookup(k).RunState}
}

// Wrap returns an error of kind k that wraps cause. The text of cause is part of
// Error(), for logs, but not of Message.
func Wrap(cause error, k Kind, message string) *Error {
	e := New(k, message)
	e.cause = eris.Wrap(cause, message)
	return e
}

// WithRunState sets the run state of e and returns e.
func (e *Error) WithRunState(s api.RunState) *Error {
	e.RunState = s
	return e
}

// WithRetryAfter sets the advised delay of e and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// RetryAfterSeconds returns the advised delay in whole seconds, rounded up, as the
// Retry-After header requires; 0 means no advice.
func (e *Error) RetryAfterSeconds() int { return int(math.Ceil(e.RetryAfter.Seconds())) }

// Error returns the kind followed by the message, or by the message and the cause
// if there is one.
func (e *Error) Error() string {
	if e.cause != nil {
		return string(e.Kind) + ": " + e.cause.Error()
	}
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// FromError returns the *Error in the chain of err. An error without one is wrapped as
// Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

// Is reports whether the chain of err contains an *Error, and the first one is of
// kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
