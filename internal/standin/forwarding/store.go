// Package forwarding stands in for what a gateway needs: the store with its configuration,
// and workers that answer forwarded requests.
package forwarding

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// Store is a store in memory that can be taken down and lose its history.
type Store struct {
	// shared is the store behind this way to it, nil for the store itself.
	shared   *Store
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	config   *forward.Config
	workers  map[string]forward.Worker
	rollouts map[string]forward.Rollout
	log      []storeChange
	down     bool
	records  []forward.Progress
	// oldest is the first revision of the history that is left. Watches that waited when
	// the history was lost hear nothing more.
	oldest   int64
	lists    int
	watchers map[forward.Topic]int
}

type storeChange struct {
	revision int64
	topic    forward.Topic
	update   forward.Update
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, changed: make(chan struct{}), workers: map[string]forward.Worker{}, rollouts: map[string]forward.Rollout{}, watchers: map[forward.Topic]int{}}
}

// NewWay returns a way to a store. It can be down while the store is not.
func NewWay(to *Store) *Store {
	s := NewStore()
	s.shared = to
	return s
}

var errStoreDown = errors.New("store is down")

func (s *Store) commit(topic forward.Topic, u forward.Update) {
	s.revision++
	u.Revision = s.revision
	s.log = append(s.log, storeChange{s.revision, topic, u})
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutConfig writes a configuration.
func (s *Store) PutConfig(c *forward.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	s.commit(forward.ConfigTopic, forward.Update{Configs: []*forward.Config{c}})
}

// PutWorker writes the entry of a worker.
func (s *Store) PutWorker(w forward.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[w.ID] = w
	s.commit(forward.WorkerTopic, forward.Update{Workers: []forward.WorkerChange{{Worker: w}}})
}

// Order writes an order to move a service to another version.
func (s *Store) Order(r forward.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Revision = s.revision + 1
	r.Created = r.Revision
	s.rollouts[r.Service] = r
	s.commit(forward.RolloutTopic, forward.Update{Rollouts: []forward.RolloutChange{{Rollout: r}}})
}

// SetDown has the store answer nothing, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseHistory drops the changes so far. Watches that wait hear nothing more.
func (s *Store) LoseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest = s.revision
	s.log = nil
}

// List implements forward.Store.
func (s *Store) List(ctx context.Context, topic forward.Topic) (forward.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.shared != nil && !s.down {
		return s.shared.List(ctx, topic)
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
	}
	return u, nil
}

// Watch implements forward.Store.
func (s *Store) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	if s.shared != nil {
		return s.watchShared(ctx, topic, revision, wait)
	}
	timer := time.After(wait)
	s.mu.Lock()
	s.watchers[topic]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watchers[topic]--
	}()
	for first := true; ; first = false {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return forward.Update{}, errStoreDown
		}
		if revision < s.oldest {
			s.mu.Unlock()
			if first {
				return forward.Update{}, forward.ErrHistoryGone
			}
			select {
			case <-timer:
				return forward.Update{Revision: revision}, nil
			case <-ctx.Done():
				return forward.Update{}, ctx.Err()
			}
		}
		for _, change := range s.log {
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

// watchShared watches the store behind a way that may go down.
func (s *Store) watchShared(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	down, changed := s.down, s.changed
	s.watchers[topic]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watchers[topic]--
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
	return s.shared.Watch(ctx, topic, revision, wait)
}

// WatchesOf returns the number of watches on a topic that wait now.
func (s *Store) WatchesOf(topic forward.Topic) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers[topic]
}

// Lists returns the number of lists so far.
func (s *Store) Lists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// Rollout returns the order of a service with its recorded state.
func (s *Store) Rollout(service string) forward.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts[service]
}

// Records returns what was recorded of rollouts, in order.
func (s *Store) Records() []forward.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// RecordRollout implements forward.Store.
func (s *Store) RecordRollout(_ context.Context, order forward.Rollout, p forward.Progress) (forward.Rollout, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.rollouts[order.Service]
	switch {
	case s.down:
		return forward.Rollout{}, errStoreDown
	case held.Revision != order.Revision:
		return forward.Rollout{}, forward.ErrConflict
	}
	held.State, held.StatusTarget, held.Step = p.State, p.Target, p.Step
	held.Revision = s.revision + 1
	s.rollouts[order.Service] = held
	s.records = append(s.records, p)
	s.commit(forward.RolloutTopic, forward.Update{Rollouts: []forward.RolloutChange{{Rollout: held}}})
	return held, nil
}
