// Package forward holds the decisions about forwarded requests: opaque HTTP
// requests on routes that the operator defines, sent directly to workers. It is
// pure: time, random numbers and events are arguments, and it holds no goroutine,
// lock, socket, clock or logger.
package forward

import (
	"time"
)

// Kind states what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a series of events. They run at most once
	// unless the route allows them to be resumed.
	Stream
)

// Config is one version of the operator's configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers map[string]Customer // by API key
	// HasCustomers is false when requests need no key.
	HasCustomers bool
	Limits       ClientLimits
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Target is the time within which an answer counts in full.
	Target time.Duration
	// GapTarget is the longest pause between two events that counts in full.
	GapTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Models are the models of a cascade, smallest first.
	Models []string
	Splits []Split
	// MaxAttempts bounds the workers that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	Resumable bool
}

// Idempotent reports whether a request may run again after a failure.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  float64
}

// Service describes the workers of one name.
type Service struct {
	Name string
	// MaxConnections is what one worker accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int
	KVCapacity int
	// Costs are the prices of the models, per 1,000 generated tokens.
	Costs map[string]float64
}

// Customer is the owner of an API key.
type Customer struct {
	Name string
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// ClientLimits bound what callers send.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Worker is one registered worker.
type Worker struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the worker's software.
	Version string
	Slots   int
	// Born is the Unix time of the worker's start in milliseconds; 0 when unknown. A worker
	// that starts again under its ID has a new one.
	Born     int64
	Draining bool
}

// RolloutState is the recorded state of a rollout.
type RolloutState string

// The recorded states of a rollout; empty before the first record.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout is an order to move the traffic of a service to another version, with
// the state that the system recorded for it.
type Rollout struct {
	Service  string
	Target   string
	Duration time.Duration
	State    RolloutState
	// Step is the recorded progress.
	Step int
	// StatusTarget is the version that State was recorded for.
	StatusTarget string
	// Revision is the store's revision of the object, for conditional updates.
	Revision int64
	// Created is the revision at which the order was created.
	Created int64
}

// Meta is what a caller's request says of itself.
type Meta struct {
	RequestID string
	Deadline  time.Duration
	Model     string
	Session   string
	// PromptTokens and MaxTokens are the sizes of the prompt and of the longest answer.
	PromptTokens int
	MaxTokens    int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the last event that the caller holds; empty for a new stream.
	LastEventID string
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Load is the load that a worker stated in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Forwarded is what the router adds to a request for a worker.
type Forwarded struct {
	Worker    Worker
	Customer  string
	Remaining time.Duration
	// Model replaces the caller's; empty keeps it.
	Model string
	// LastEventID replaces the caller's; empty keeps it.
	LastEventID string
	// Urgency is the priority at the engine, 0 (first) to 9; negative states none.
	Urgency int
}

// AnswerMeta is what the head of a worker's answer says beside its status.
type AnswerMeta struct {
	RequestID string
	// NotRun is the worker's statement that it did not run the request.
	NotRun   bool
	WorkerID string
	// Confidence is the model's opinion of its answer, 0 to 100; negative when absent.
	Confidence int
	Load       Load
	HasLoad    bool
}
