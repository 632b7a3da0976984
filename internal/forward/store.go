package forward

import (
	"context"
	"errors"
	"time"
)

// Topic is a kind of object that a process follows.
type Topic int

// The topics.
const (
	ConfigTopic Topic = iota
	WorkerTopic
	RolloutTopic
)

// String returns the name used in logs and metrics.
func (t Topic) String() string { return [...]string{"config", "workers", "rollouts"}[t] }

// Update is what a call to the store told about one topic.
type Update struct {
	// Revision is the store's revision after the update.
	Revision int64
	// Full reports whether the update lists every object of the topic.
	Full bool

	Configs []*Config
	// Workers and Rollouts are in the order of the changes: an object may change several
	// times in one update.
	Workers  []WorkerChange
	Rollouts []RolloutChange
	// Relayed is set when another process passed the update on, and Age is then how old its
	// knowledge was that no newer update existed.
	Relayed bool
	Age     time.Duration

	// Faults are objects that could not be decoded. They take no part in the update.
	Faults []Fault
}

// Changes returns the number of changes, usable or not.
func (u *Update) Changes() int {
	return len(u.Configs) + len(u.Workers) + len(u.Rollouts) + len(u.Faults)
}

// WorkerChange is an entry of a worker, or the end of the entry with its ID.
type WorkerChange struct {
	Worker
	Removed bool
}

// RolloutChange is an order, or the end of the order for its service.
type RolloutChange struct {
	Rollout
	Removed bool
}

// Fault is an object that could not be decoded.
type Fault struct {
	Name    string
	Problem string
}

// Progress is the recorded state of a rollout.
type Progress struct {
	State  RolloutState
	Target string
	Step   int
}

// The errors of a Store.
var (
	// ErrHistoryGone says that the changes since a revision are no longer held: list again.
	ErrHistoryGone = errors.New("history of the store is gone")
	// ErrConflict says that an object has another revision than the stated one.
	ErrConflict = errors.New("object has another revision")
	// ErrNotFound says that an object does not exist.
	ErrNotFound = errors.New("object does not exist")
)

// Store holds what all processes share.
type Store interface {
	// List returns every object of a topic.
	List(ctx context.Context, topic Topic) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty update
	// when wait has passed. It returns ErrHistoryGone when the changes are no longer held.
	Watch(ctx context.Context, topic Topic, revision int64, wait time.Duration) (Update, error)
	// RecordRollout replaces the recorded state of a rollout if the order still has its
	// revision, and ErrConflict otherwise.
	RecordRollout(ctx context.Context, order Rollout, p Progress) (Rollout, error)
}
