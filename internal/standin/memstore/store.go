// Package memstore is an in-memory platform.Store with fault injection. Tests use
// it directly; the platform stand-in serves it over HTTP.
//
//	s := memstore.New()
//	s.SetFaults(memstore.Faults{LoseAnswers: 1}) // the next write takes effect and answers ErrAmbiguous
//	saved := s.Save()
//	s.Restore(saved)  // back to the saved objects under a higher generation
//	s.Rollback(saved) // back to the saved objects under the same generation
package memstore

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/platform"
)

// Store holds objects in memory. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu         sync.Mutex
	generation int64
	objects    map[string]platform.Object
	changed    chan struct{}
	faults     Faults
	reads      bucket
	writes     bucket
	instances  instanceList
	ledger     Ledger
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store of generation 1.
func New() *Store { return NewWithClock(time.Now) }

// NewWithClock returns an empty store whose rate limits and instance list lag
// follow the clock.
func NewWithClock(now func() time.Time) *Store {
	return &Store{
		now:        now,
		generation: 1,
		objects:    map[string]platform.Object{},
		changed:    make(chan struct{}),
		instances:  newInstanceList(),
		ledger:     newLedger(),
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.begin(ctx, KindGet); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, s.ledger.count(KindGet, eris.Wrapf(platform.ErrNotFound, "%q", key))
	}
	return s.copyOf(o), s.ledger.count(KindGet, nil)
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := s.begin(ctx, KindPut); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return platform.Object{}, s.ledger.count(KindPut, eris.Wrap(platform.ErrAmbiguous, "write dropped"))
	}
	o, err := s.put(key, value, ifVersion)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.ledger.LostAnswers++
		o, err = platform.Object{}, eris.Wrap(platform.ErrAmbiguous, "answer lost")
	}
	return o, s.ledger.count(KindPut, err)
}

func (s *Store) put(key string, value []byte, ifVersion int64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, eris.Wrapf(platform.ErrRefused, "value of %q has %d bytes", key, len(value))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return platform.Object{}, eris.Wrapf(platform.ErrRefused, "value of %q is not JSON", key)
	}
	present := s.objects[key]
	if present.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{
			Present: platform.Object{Key: key, Version: present.Version, Generation: s.generation},
		}
	}
	s.objects[key] = platform.Object{Key: key, Version: ifVersion + 1, Value: compact.Bytes()}
	s.ledger.Written[key]++
	s.wake()
	return platform.Object{Key: key, Version: ifVersion + 1, Generation: s.generation}, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if err := s.begin(ctx, KindList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, platform.Object{Key: key, Version: o.Version, Generation: s.generation})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.ledger.count(KindList, nil)
}

// Watch implements platform.Store. The generation at the time of the call counts
// as seen.
func (s *Store) Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (platform.Object, error) {
	return s.WatchFrom(ctx, key, afterVersion, s.Generation(), wait)
}

// WatchFrom is Watch for a caller that last saw the given generation.
func (s *Store) WatchFrom(ctx context.Context, key string, afterVersion, generation int64, wait time.Duration) (platform.Object, error) {
	if err := s.begin(ctx, KindWatch); err != nil {
		return platform.Object{}, err
	}
	s.watching(1)
	defer s.watching(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o, changed, found := s.look(key, afterVersion, generation)
		if found {
			return o, s.counted(KindWatch, nil)
		}
		select {
		case <-changed:
		case <-timer.C:
			return platform.Object{}, s.counted(KindWatch, eris.Wrap(platform.ErrNotFound, "no change"))
		case <-ctx.Done():
			return platform.Object{}, s.counted(KindWatch, eris.Wrap(platform.ErrUnavailable, ctx.Err().Error()))
		}
		if s.Faults().Unavailable {
			return platform.Object{}, s.counted(KindWatch, eris.Wrap(platform.ErrUnavailable, "outage"))
		}
	}
}

// look returns the object when it differs from what the caller saw, and the
// channel that the next change closes.
func (s *Store) look(key string, afterVersion, generation int64) (platform.Object, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	differs := ok && (o.Version != afterVersion || s.generation != generation)
	return s.copyOf(o), s.changed, differs
}

// Generation returns the store's generation.
func (s *Store) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *Store) copyOf(o platform.Object) platform.Object {
	o.Generation = s.generation
	o.Value = bytes.Clone(o.Value)
	return o
}

// wake releases every waiting watch so that it looks again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
