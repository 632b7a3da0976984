package memstore

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/borageflow/borageflow/internal/platform"
)

// maxListStates is the number of instance list states that are kept for lagging readers.
const maxListStates = 4096

// listState is the content of the instance list from the time since until the next state.
type listState struct {
	since     time.Time
	instances []platform.Instance
}

// instanceList holds the states of the instance list that are still visible to readers,
// oldest first. Readers see each change after the lag.
type instanceList struct {
	lag     time.Duration
	history []listState
}

func newInstanceList() instanceList {
	return instanceList{history: []listState{{}}}
}

func (l *instanceList) update(now time.Time, edit func([]platform.Instance) []platform.Instance) {
	last := l.history[len(l.history)-1]
	next := edit(slices.Clone(last.instances))
	sort.Slice(next, func(i, j int) bool { return next[i].Name < next[j].Name })
	l.history = append(l.history, listState{since: now, instances: next})
	l.prune(now)
}

// prune drops the states that are no longer visible to readers.
func (l *instanceList) prune(now time.Time) {
	visibleUntil := now.Add(-l.lag)
	for len(l.history) > 1 && (!l.history[1].since.After(visibleUntil) || len(l.history) > maxListStates) {
		l.history = l.history[1:]
	}
}

func (l *instanceList) visible(now time.Time) []platform.Instance {
	l.prune(now)
	return slices.Clone(l.history[0].instances)
}

// Instances implements platform.Store.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.applyFaults(ctx, KindInstances); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances.visible(s.now()), s.ledger.countCall(KindInstances, nil)
}

// SetInstanceLag sets the delay after which readers see a change of the instance list.
func (s *Store) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.lag = lag
}

// RegisterInstance adds an instance to the instance list or replaces the one of its name.
func (s *Store) RegisterInstance(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.update(s.now(), func(list []platform.Instance) []platform.Instance {
		return append(removeByName(list, instance.Name), instance)
	})
}

// RemoveInstance removes the instance of that name from the instance list.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.update(s.now(), func(list []platform.Instance) []platform.Instance {
		return removeByName(list, name)
	})
}

func removeByName(list []platform.Instance, name string) []platform.Instance {
	return slices.DeleteFunc(list, func(i platform.Instance) bool { return i.Name == name })
}
