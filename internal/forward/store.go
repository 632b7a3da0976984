package forward

import (
	"context"
	"errors"
	"time"
)

// Topic is a kind of object in the store that a process watches.
type Topic int

// The topics.
const (
	ConfigTopic Topic = iota
	WorkerTopic
	RolloutTopic
	CondemnationTopic
	EvacuationTopic
)

// Topics lists every Topic.
var Topics = []Topic{ConfigTopic, WorkerTopic, RolloutTopic, CondemnationTopic, EvacuationTopic}

// String returns the name used in logs and metrics.
func (t Topic) String() string {
	return [...]string{"config", "workers", "rollouts", "condemnations", "evacuations"}[t]
}

// Update is the content of one answer of the store, or of a relay, about one topic.
type Update struct {
	// Revision is the revision of the store as of the update.
	Revision int64
	// Full reports whether the update lists every object of the topic.
	Full bool

	Configs []*Config
	// Workers, Rollouts and Condemnations are in the order of the changes. An object may change several
	// times in one update.
	Workers  []WorkerChange
	Rollouts []RolloutChange
	// Condemnations may be empty in updates of gateways of earlier versions.
	Condemnations []CondemnationChange `json:",omitempty"`
	// Evacuations holds the failure domains whose workers get no new requests.
	Evacuations []EvacuationChange `json:",omitempty"`
	// Relayed is set when another process passed the update on. Age is then the time since
	// that process last knew that no newer update existed.
	Relayed bool
	Age     time.Duration

	// Faults lists the objects that could not be decoded. They are not applied.
	Faults []Fault
}

// ChangeCount returns the number of changed objects, including those that could not be decoded.
func (u *Update) ChangeCount() int {
	return len(u.Configs) + len(u.Workers) + len(u.Rollouts) + len(u.Condemnations) + len(u.Evacuations) + len(u.Faults)
}

// WorkerChange is a new or changed worker or, if Removed is set, the removal of the worker
// with its ID.
type WorkerChange struct {
	Worker
	// ColdFor is how long the worker stays cold, as of its entry; 0 if it is warm.
	ColdFor time.Duration `json:",omitempty"`
	Removed bool
}

// RolloutChange is a new or changed rollout order or, if Removed is set, the removal of the
// order for its service.
type RolloutChange struct {
	Rollout
	Removed bool
}

// Condemnation is a decision on a part of requests under which workers end, as the store keeps it.
type Condemnation struct {
	Service string
	// Part is the ID of the part of a prompt, or the hash of a whole request.
	Part uint64
	// Sequence orders the decisions on a part.
	Sequence int64
	// Condemned is set if requests with the part are refused.
	Condemned bool
	// Version is the version of the workers' software on which the part was condemned; empty for
	// all.
	Version string
	// EndedWorkers is the number of workers that had ended, and Tries that of earlier condemnations.
	EndedWorkers, Tries int
	ByOperator          bool
	// UntilUnixMs is the end of the condemnation in Unix milliseconds.
	UntilUnixMs int64
}

// CondemnationChange is a new or changed condemnation or, if Removed is set, the removal of its
// object.
type CondemnationChange struct {
	Condemnation
	Removed bool
}

// EvacuationChange is an order that the workers of a failure domain get no new requests or, if
// Removed is set, the end of that order.
type EvacuationChange struct {
	FailureDomain string
	Removed       bool
}

// Fault is an object that could not be decoded; Name is empty if that could not be decoded
// either.
type Fault struct {
	Name    string
	Problem string
}

// RolloutProgress is the state of a rollout to record in the store.
type RolloutProgress struct {
	State  RolloutState
	Target string
	Step   int
}

// The errors of a Store.
var (
	// ErrCompacted is returned by Watch when the store no longer holds the changes since
	// the revision. The topic must be listed again.
	ErrCompacted = errors.New("store no longer holds the changes since the requested revision")
	// ErrConflict is returned when an object is no longer at the expected revision.
	ErrConflict = errors.New("object is no longer at the expected revision")
	// ErrNotFound is returned when an object does not exist.
	ErrNotFound = errors.New("object does not exist")
)

// PageLister is a Store that lists the workers in pages. The handler gets each page as it arrives, so that
// a gateway can serve callers before the last one has.
type PageLister interface {
	OnWorkerPage(handler func(u *Update))
}

// Store is the object store that all processes share.
type Store interface {
	// List returns every object of a topic.
	List(ctx context.Context, topic Topic) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty
	// update after wait. It returns ErrCompacted when the store no longer holds the
	// changes.
	Watch(ctx context.Context, topic Topic, revision int64, wait time.Duration) (Update, error)
	// RecordRollout replaces the recorded state of a rollout and returns the updated order.
	// It returns ErrConflict if the order is no longer at its revision.
	RecordRollout(ctx context.Context, order Rollout, p RolloutProgress) (Rollout, error)
	// RecordCondemnation creates or replaces the object of a condemnation.
	RecordCondemnation(ctx context.Context, c Condemnation) error
	// RemoveCondemnation removes the object of a condemnation. It returns nil if there is none.
	RemoveCondemnation(ctx context.Context, c Condemnation) error
}
