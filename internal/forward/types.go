// Package forward decides how HTTP requests are forwarded. It matches opaque requests to
// the routes that the operator defines, chooses the workers that they are sent to directly,
// and decides on retries and larger models. The package is pure: time, random numbers and
// events are arguments, and it uses no goroutine, lock, socket, clock or logger.
package forward

import (
	"time"
)

// RouteKind states whether the requests of a route may run more than once.
type RouteKind int

// The kinds of a route.
const (
	// Safe requests may run more than once.
	Safe RouteKind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a sequence of events. They run at most once unless
	// the route is Resumable.
	Stream
)

// Config is one version of the operator's configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers map[string]Customer // by API key
	// HasCustomers is set when requests need an API key.
	HasCustomers bool
	Limits       ClientLimits
}

// Route defines how requests of one host and path prefix are forwarded.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller waits for the answer; 0 means no bound.
	Timeout time.Duration
	// LatencyTarget is the latency within which an answer counts in full.
	LatencyTarget time.Duration `json:"Target"`
	// GapTarget is the longest pause between two events that counts in full.
	GapTarget time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Models lists the models of a cascade, smallest first.
	Models []string
	Splits []Split
	// MaxAttempts bounds the number of workers that run one request.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable allows an interrupted stream to run again on another worker.
	Resumable bool
}

// Idempotent reports whether a request may run again after a failure.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Split sends a share of a route's requests to a service. Weights are relative to their
// sum.
type Split struct {
	Service string
	Weight  float64
}

// Service describes a named group of workers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one worker accepts from all clients
	// together.
	MaxConnections int
	// ColdStart is how long a worker stays cold after its start. ColdPerSecond is the number of
	// requests a second that a cold worker takes from all gateways together; 0 means no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int
	KVCapacity int
	// Costs holds the price of each model per 1,000 generated tokens.
	Costs map[string]float64
}

// Customer is the owner of an API key.
type Customer struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// ClientLimits bounds the requests of callers.
type ClientLimits struct {
	// HeaderBytes bounds the length of the header lines; 0 means no bound.
	HeaderBytes int
	// BodyBytes bounds the length of the body; 0 means the default of package gateway.
	BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a header to its last, and IdleTimeout the time without a
	// byte of one; 0 means the default of package gateway.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Worker is a registered worker.
type Worker struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the worker's software.
	Version string
	Slots   int
	// StartUnixMs is the start time of the worker in Unix milliseconds, 0 if unknown. It changes
	// when a worker restarts under the same ID.
	StartUnixMs int64 `json:"Born"`
	Draining    bool
}

// RolloutState is the recorded state of a rollout.
type RolloutState string

// The recorded states of a rollout; empty before the first record.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout is an order to move the traffic of a service to another version, with its
// recorded state.
type Rollout struct {
	Service string
	// TargetVersion is the version to move the traffic to.
	TargetVersion string `json:"Target"`
	// Duration is the planned length of the rollout.
	Duration time.Duration
	State    RolloutState
	// Step is the index of the recorded step.
	Step int
	// StatusTarget is the version for which State was recorded.
	StatusTarget string
	// Revision is the revision of the object in the store, for conditional updates.
	Revision int64
	// CreatedRevision is the revision of the store at which the order was created.
	CreatedRevision int64 `json:"Created"`
}

// RequestMeta is the metadata of a caller's request.
type RequestMeta struct {
	RequestID string
	// TimeLimit is how long the caller waits for the response; 0 if it states none.
	TimeLimit time.Duration
	Model     string
	Session   string
	// PromptTokens is the length of the prompt, and MaxTokens the length of the longest
	// answer to generate.
	PromptTokens int
	MaxTokens    int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the ID of the last event that the caller received; empty for a new
	// stream.
	LastEventID string
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Load is the load that a worker reports in an answer, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the worker at the moment, relative to its usual time: 1 means as
	// usual, 0 that the worker did not state it.
	Pace float64
}

// AttemptMeta holds the values that the router sets on a request to a worker.
type AttemptMeta struct {
	Worker   Worker
	Customer string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Model replaces the model that the caller named; empty keeps it.
	Model string
	// LastEventID replaces the event ID that the caller sent; empty keeps it.
	LastEventID string
	// Urgency is the priority of the request at the engine, from 0 (first) to 9; a negative
	// value sends none.
	Urgency int
}

// AnswerMeta is the metadata in the header of a worker's answer.
type AnswerMeta struct {
	RequestID string
	// NotRun is set when the worker states that it did not run the request.
	NotRun   bool
	WorkerID string
	// Confidence is the model's confidence in its answer, 0 to 100; negative if absent.
	Confidence int
	Load       Load
	HasLoad    bool
	// RateLimit is the number of requests a second that the worker takes from all gateways
	// together, and is valid only if HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// Leaving is set when the worker states that it leaves.
	Leaving bool
	// RetryAfter is the time for which the worker wants no requests of this gateway if it turned
	// the request away. It is valid only if HasRetryAfter is set.
	RetryAfter    time.Duration
	HasRetryAfter bool
}
