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
)

// String returns the name used in logs and metrics.
func (t Topic) String() string { return [...]string{"config", "workers", "rollouts"}[t] }

// Update is the content of one answer of the store, or of a relay, about one topic.
type Update struct {
	// Revision is the revision of the store as of the update.
	Revision int64
	// Full reports whether the update lists every object of the topic.
	Full bool

	Configs []*Config
	// Workers and Rollouts are in the order of the changes. An object may change several
	// times in one update.
	Workers  []WorkerChange
	Rollouts []RolloutChange
	// Relayed is set when another process passed the update on. Age is then the time since
	// that process last knew that no newer update existed.
	Relayed bool
	Age     time.Duration

	// Faults lists the objects that could not be decoded. They are not applied.
	Faults []Fault
}

// ChangeCount returns the number of changed objects, including those that could not be decoded.
func (u *Update) ChangeCount() int {
	return len(u.Configs) + len(u.Workers) + len(u.Rollouts) + len(u.Faults)
}

// WorkerChange is a new or changed worker or, if Removed is set, the removal of the worker
// with its ID.
type WorkerChange struct {
	Worker
	Removed bool
}

// RolloutChange is a new or changed rollout order or, if Removed is set, the removal of the
// order for its service.
type RolloutChange struct {
	Rollout
	Removed bool
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
}
