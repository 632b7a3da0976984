// Package forwarding holds stand-ins for the dependencies of a gateway: the store with its
// configuration, and workers that answer forwarded requests.
package forwarding

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// Store is an in-memory forward.Store. SetDown simulates an outage and LoseHistory the
// loss of its change history.
type Store struct {
	// backing is the store that this one forwards to; nil for a store with its own
	// data.
	backing  *Store
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	config   *forward.Config
	workers  map[string]forward.Worker
	rollouts map[string]forward.Rollout
	// condemnations are keyed by service and part.
	condemnations map[string]forward.Condemnation
	// evacuations holds the evacuated failure domains.
	evacuations map[string]bool
	changes     []storeChange
	down        bool
	recorded    []forward.RolloutProgress
	// oldestRevision is the first revision of the remaining history. Watches that
	// started from an earlier revision receive no further changes.
	oldestRevision int64
	listCalls      int
	activeWatches  map[forward.Topic]int
}

type storeChange struct {
	revision int64
	topic    forward.Topic
	update   forward.Update
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, changed: make(chan struct{}), workers: map[string]forward.Worker{}, rollouts: map[string]forward.Rollout{}, condemnations: map[string]forward.Condemnation{}, evacuations: map[string]bool{}, activeWatches: map[forward.Topic]int{}}
}

// NewForwardingStore returns a store that forwards lists and watches to backing. SetDown on it
// simulates a lost connection to backing, which itself stays up.
func NewForwardingStore(backing *Store) *Store {
	s := NewStore()
	s.backing = backing
	return s
}

var errStoreDown = errors.New("store is down")

func (s *Store) appendChange(topic forward.Topic, u forward.Update) {
	s.revision++
	u.Revision = s.revision
	s.changes = append(s.changes, storeChange{s.revision, topic, u})
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutConfig replaces the configuration.
func (s *Store) PutConfig(c *forward.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	s.appendChange(forward.ConfigTopic, forward.Update{Configs: []*forward.Config{c}})
}

// PutWorker adds a worker or replaces the one of its ID.
func (s *Store) PutWorker(w forward.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[w.ID] = w
	s.appendChange(forward.WorkerTopic, forward.Update{Workers: []forward.WorkerChange{{Worker: w}}})
}

// PutColdWorker adds or replaces a worker whose entry says how long it stays cold.
func (s *Store) PutColdWorker(w forward.Worker, coldFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[w.ID] = w
	s.appendChange(forward.WorkerTopic, forward.Update{Workers: []forward.WorkerChange{{Worker: w, ColdFor: coldFor}}})
}

// RemoveWorker removes the entry of a worker.
func (s *Store) RemoveWorker(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.workers, id)
	s.appendChange(forward.WorkerTopic, forward.Update{Workers: []forward.WorkerChange{{Worker: forward.Worker{ID: id}, Removed: true}}})
}

// PutRollout writes a new rollout, which moves a service to another version.
func (s *Store) PutRollout(r forward.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Revision = s.revision + 1
	r.CreatedRevision = r.Revision
	s.rollouts[r.Service] = r
	s.appendChange(forward.RolloutTopic, forward.Update{Rollouts: []forward.RolloutChange{{Rollout: r}}})
}

// PutEvacuation orders the evacuation of a failure domain.
func (s *Store) PutEvacuation(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations[domain] = true
	s.appendChange(forward.EvacuationTopic, forward.Update{Evacuations: []forward.EvacuationChange{{FailureDomain: domain}}})
}

// RemoveEvacuation takes the order back.
func (s *Store) RemoveEvacuation(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuations, domain)
	s.appendChange(forward.EvacuationTopic, forward.Update{Evacuations: []forward.EvacuationChange{{FailureDomain: domain, Removed: true}}})
}

// SetDown makes every call fail while down is true, including the watches that wait.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseHistory drops all earlier changes. Watches that wait receive no further changes, and
// new watches from an earlier revision fail with forward.ErrCompacted.
func (s *Store) LoseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldestRevision = s.revision
	s.changes = nil
}

// List implements forward.Store.
func (s *Store) List(ctx context.Context, topic forward.Topic) (forward.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.backing != nil && !s.down {
		return s.backing.List(ctx, topic)
	}
	if s.down {
		return forward.Update{}, errStoreDown
	}
	u := forward.Update{Revision: s.revision, Full: true}
	switch topic {
	case forward.ConfigTopic:
		if s.config != nil {
			u.Configs = []*forward.Config{s.config}
		}
	case forward.WorkerTopic:
		for _, w := range s.workers {
			u.Workers = append(u.Workers, forward.WorkerChange{Worker: w})
		}
	case forward.RolloutTopic:
		for _, r := range s.rollouts {
			u.Rollouts = append(u.Rollouts, forward.RolloutChange{Rollout: r})
		}
	case forward.EvacuationTopic:
		for domain := range s.evacuations {
			u.Evacuations = append(u.Evacuations, forward.EvacuationChange{FailureDomain: domain})
		}
	case forward.CondemnationTopic:
		for _, c := range s.condemnations {
			u.Condemnations = append(u.Condemnations, forward.CondemnationChange{Condemnation: c})
		}
	}
	return u, nil
}

// Watch implements forward.Store.
func (s *Store) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	if s.backing != nil {
		return s.watchBacking(ctx, topic, revision, wait)
	}
	timer := time.After(wait)
	s.mu.Lock()
	s.activeWatches[topic]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeWatches[topic]--
	}()
	for first := true; ; first = false {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return forward.Update{}, errStoreDown
		}
		if revision < s.oldestRevision {
			s.mu.Unlock()
			if first {
				return forward.Update{}, forward.ErrCompacted
			}
			select {
			case <-timer:
				return forward.Update{Revision: revision}, nil
			case <-ctx.Done():
				return forward.Update{}, ctx.Err()
			}
		}
		for _, change := range s.changes {
			if change.revision > revision && change.topic == topic {
				s.mu.Unlock()
				return change.update, nil
			}
		}
		changed, now := s.changed, s.revision
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			return forward.Update{Revision: now}, nil
		case <-ctx.Done():
			return forward.Update{}, ctx.Err()
		}
	}
}

// watchBacking watches the backing store. SetDown cancels the watch.
func (s *Store) watchBacking(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	down, changed := s.down, s.changed
	s.activeWatches[topic]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeWatches[topic]--
	}()
	if down {
		return forward.Update{}, errStoreDown
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.backing.Watch(ctx, topic, revision, wait)
}

// ActiveWatches returns the number of active watches on a topic.
func (s *Store) ActiveWatches(topic forward.Topic) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeWatches[topic]
}

// ListCalls returns the number of calls of List so far.
func (s *Store) ListCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

// Rollout returns the rollout of a service with its recorded state, or the zero value
// without one.
func (s *Store) Rollout(service string) forward.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts[service]
}

// RolloutRecords returns the progress records of all rollouts in the order in which
// RecordRollout accepted them.
func (s *Store) RolloutRecords() []forward.RolloutProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorded)
}

// RecordRollout implements forward.Store.
func (s *Store) RecordRollout(_ context.Context, rollout forward.Rollout, p forward.RolloutProgress) (forward.Rollout, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.rollouts[rollout.Service]
	switch {
	case s.down:
		return forward.Rollout{}, errStoreDown
	case current.Revision != rollout.Revision:
		return forward.Rollout{}, forward.ErrConflict
	}
	current.State, current.StatusTarget, current.Step = p.State, p.Target, p.Step
	current.Revision = s.revision + 1
	s.rollouts[rollout.Service] = current
	s.recorded = append(s.recorded, p)
	s.appendChange(forward.RolloutTopic, forward.Update{Rollouts: []forward.RolloutChange{{Rollout: current}}})
	return current, nil
}

func condemnationKey(c *forward.Condemnation) string { return fmt.Sprintf("%s/%x", c.Service, c.Part) }

// RecordCondemnation implements forward.Store.
func (s *Store) RecordCondemnation(ctx context.Context, c forward.Condemnation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return errStoreDown
	case s.backing != nil:
		return s.backing.RecordCondemnation(ctx, c)
	}
	s.condemnations[condemnationKey(&c)] = c
	s.appendChange(forward.CondemnationTopic, forward.Update{Condemnations: []forward.CondemnationChange{{Condemnation: c}}})
	return nil
}

// RemoveCondemnation implements forward.Store.
func (s *Store) RemoveCondemnation(ctx context.Context, c forward.Condemnation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return errStoreDown
	case s.backing != nil:
		return s.backing.RemoveCondemnation(ctx, c)
	}
	delete(s.condemnations, condemnationKey(&c))
	s.appendChange(forward.CondemnationTopic, forward.Update{Condemnations: []forward.CondemnationChange{{Condemnation: c, Removed: true}}})
	return nil
}

// Condemnations returns the condemnations in the store.
func (s *Store) Condemnations() []forward.Condemnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.condemnations))
}

// ForgetCondemnations drops all condemnations without a change that watches see, as a store does
// that comes back from an older copy.
func (s *Store) ForgetCondemnations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.condemnations)
}
