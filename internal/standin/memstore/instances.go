package memstore

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/borageflow/borageflow/internal/platform"
)

// maxHistory bounds the kept states of the instance list.
const maxHistory = 4096

// listState is the instance list from a point in time on.
type listState struct {
	from      time.Time
	instances []platform.Instance
}

// instanceList keeps earlier states so that readers see the list with a lag.
type instanceList struct {
	lag     time.Duration
	history []listState
}

func newInstanceList() instanceList {
	return instanceList{history: []listState{{}}}
}

func (l *instanceList) change(now time.Time, edit func([]platform.Instance) []platform.Instance) {
	last := l.history[len(l.history)-1]
	next := edit(slices.Clone(last.instances))
	sort.Slice(next, func(i, j int) bool { return next[i].Name < next[j].Name })
	l.history = append(l.history, listState{from: now, instances: next})
	l.prune(now)
}

// prune drops the states that no reader can see any more.
func (l *instanceList) prune(now time.Time) {
	visible := now.Add(-l.lag)
	for len(l.history) > 1 && (!l.history[1].from.After(visible) || len(l.history) > maxHistory) {
		l.history = l.history[1:]
	}
}

func (l *instanceList) seen(now time.Time) []platform.Instance {
	l.prune(now)
	return slices.Clone(l.history[0].instances)
}

// Instances implements platform.Store.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.begin(ctx, KindInstances); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances.seen(s.now()), s.ledger.count(KindInstances, nil)
}

// SetInstanceLag sets how late readers see changes of the instance list.
func (s *Store) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.lag = lag
}

// RegisterInstance adds or updates a line of the instance list.
func (s *Store) RegisterInstance(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.change(s.now(), func(list []platform.Instance) []platform.Instance {
		return append(without(list, instance.Name), instance)
	})
}

// RemoveInstance removes a line of the instance list.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.change(s.now(), func(list []platform.Instance) []platform.Instance {
		return without(list, name)
	})
}

func without(list []platform.Instance, name string) []platform.Instance {
	return slices.DeleteFunc(list, func(i platform.Instance) bool { return i.Name == name })
}
