// Package errkind holds the closed list of error kinds and the table from kind
// to answer.
package errkind

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// Kind is one entry of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	InvalidRequest      Kind = "invalid_request"
	Unauthenticated     Kind = "unauthenticated"
	ForbiddenVersion    Kind = "forbidden_version"
	UnknownModel        Kind = "unknown_model"
	NoCandidate         Kind = "no_candidate"
	RateLimited         Kind = "rate_limited"
	Overloaded          Kind = "overloaded"
	DeadlineHopeless    Kind = "deadline_hopeless"
	DeadlineExceeded    Kind = "deadline_exceeded"
	NotReady            Kind = "not_ready"
	Draining            Kind = "draining"
	StaleRevision       Kind = "stale_revision"
	StaleIncarnation    Kind = "stale_incarnation"
	SessionInvalid      Kind = "session_invalid"
	VersionWithdrawn    Kind = "version_withdrawn"
	DuplicateInProgress Kind = "duplicate_in_progress"
	DuplicateUnknown    Kind = "duplicate_unknown"
	StoreUnavailable    Kind = "store_unavailable"
	Conflict            Kind = "conflict"
	UpstreamFailed      Kind = "upstream_failed"
	Truncated           Kind = "truncated"
	PayloadTooLarge     Kind = "payload_too_large"
	UnknownRoute        Kind = "unknown_route"
	Internal            Kind = "internal"
)

// Answer is how a kind is reported to a caller or peer.
type Answer struct {
	// HTTPStatus is the status code towards callers and operators.
	HTTPStatus int
	// RPCCode is the JSON-RPC error code towards peers.
	RPCCode int64
	// Retry states whether the same request may succeed later.
	Retry bool
	// RunState is the run state when the error itself states none.
	RunState api.RunState
}

var table = map[Kind]Answer{
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
	UnknownRoute:        {http.StatusNotFound, -32024, false, api.RunStateNotRun},
	Internal:            {http.StatusInternalServerError, -32023, false, api.RunStateUnknown},
}

// All returns every kind of the closed list.
func All() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup returns the answer of a kind; an unlisted kind is answered as Internal.
func Lookup(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// Parse returns the kind named s, or Internal when s is not in the closed list.
func Parse(s string) Kind {
	if _, ok := table[Kind(s)]; ok {
		return Kind(s)
	}
	return Internal
}

// Error is an error of a listed kind.
type Error struct {
	Kind Kind
	// Message is safe to show to a caller.
	Message string
	// RunState states whether the request ran.
	RunState api.RunState
	// RetryAfter is when to try again; 0 means no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of a kind with the run state of the table.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Message: message, RunState: Lookup(k).RunState}
}

// Wrap returns an error of a kind that keeps its cause.
func Wrap(cause error, k Kind, message string) *Error {
	e := New(k, message)
	e.cause = eris.Wrap(cause, message)
	return e
}

// WithRunState sets the run state and returns e.
func (e *Error) WithRunState(s api.RunState) *Error {
	e.RunState = s
	return e
}

// WithRetryAfter sets the advised delay and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// RetryAfterSeconds returns the advised delay in whole seconds, rounded up, as the
// header Retry-After takes it; 0 means no advice.
func (e *Error) RetryAfterSeconds() int { return int(math.Ceil(e.RetryAfter.Seconds())) }

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return string(e.Kind) + ": " + e.cause.Error()
	}
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as *Error; an error of no kind becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
