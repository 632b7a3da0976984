// Package memstore provides an in-memory platform.Store with fault injection. Tests use
// it directly, and the platform stand-in serves it over HTTP.
//
//	s := memstore.New()
//	s.SetFaults(memstore.Faults{LoseAnswers: 1}) // the next write takes effect and returns ErrAmbiguous
//	saved := s.Save()
//	s.Restore(saved)  // restores the saved objects with a new generation
//	s.Rollback(saved) // restores the saved objects with the same generation
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

	mu          sync.Mutex
	generation  int64
	objects     map[string]platform.Object
	changed     chan struct{}
	faults      Faults
	readBucket  tokenBucket
	writeBucket tokenBucket
	instances   instanceList
	ledger      Ledger
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store of generation 1.
func New() *Store { return NewWithClock(time.Now) }

// NewWithClock returns an empty store of generation 1. Its rate limits and the lag of its
// instance list use the time that now returns.
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
	if err := s.applyFaults(ctx, KindGet); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, s.ledger.countCall(KindGet, eris.Wrapf(platform.ErrNotFound, "%q", key))
	}
	return s.copyObject(o), s.ledger.countCall(KindGet, nil)
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := s.applyFaults(ctx, KindPut); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return platform.Object{}, s.ledger.countCall(KindPut, eris.Wrap(platform.ErrAmbiguous, "injected fault: write dropped"))
	}
	o, err := s.put(key, value, ifVersion)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.ledger.LostAnswers++
		o, err = platform.Object{}, eris.Wrap(platform.ErrAmbiguous, "injected fault: answer lost after the write")
	}
	return o, s.ledger.countCall(KindPut, err)
}

func (s *Store) put(key string, value []byte, ifVersion int64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, eris.Wrapf(platform.ErrRefused, "value of key %q has %d bytes, more than the maximum", key, len(value))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return platform.Object{}, eris.Wrapf(platform.ErrRefused, "value of key %q is not valid JSON", key)
	}
	current := s.objects[key]
	if current.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{
			Stored: platform.Object{Key: key, Version: current.Version, Generation: s.generation},
		}
	}
	s.objects[key] = platform.Object{Key: key, Version: ifVersion + 1, Value: compact.Bytes()}
	s.ledger.WritesByKey[key]++
	s.wakeWatches()
	return platform.Object{Key: key, Version: ifVersion + 1, Generation: s.generation}, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if err := s.applyFaults(ctx, KindList); err != nil {
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
	return out, s.ledger.countCall(KindList, nil)
}

// Watch implements platform.Store. It reports changes relative to afterVersion in the
// generation at the time of the call.
func (s *Store) Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (platform.Object, error) {
	return s.WatchFrom(ctx, key, afterVersion, s.Generation(), wait)
}

// WatchFrom waits until the object differs from afterVersion in the given generation and
// returns it. It returns platform.ErrNotFound when nothing changed during wait, and
// platform.ErrUnavailable when ctx ended or during an outage.
func (s *Store) WatchFrom(ctx context.Context, key string, afterVersion, generation int64, wait time.Duration) (platform.Object, error) {
	if err := s.applyFaults(ctx, KindWatch); err != nil {
		return platform.Object{}, err
	}
	s.addActiveWatches(1)
	defer s.addActiveWatches(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o, changed, found := s.objectIfChanged(key, afterVersion, generation)
		if found {
			return o, s.countCall(KindWatch, nil)
		}
		select {
		case <-changed:
		case <-timer.C:
			return platform.Object{}, s.countCall(KindWatch, eris.Wrap(platform.ErrNotFound, "object has not changed"))
		case <-ctx.Done():
			return platform.Object{}, s.countCall(KindWatch, eris.Wrap(platform.ErrUnavailable, ctx.Err().Error()))
		}
		if s.Faults().Unavailable {
			return platform.Object{}, s.countCall(KindWatch, eris.Wrap(platform.ErrUnavailable, "outage"))
		}
	}
}

// objectIfChanged returns the object, a channel that the next change of the store closes,
// and whether the object differs from afterVersion and generation.
func (s *Store) objectIfChanged(key string, afterVersion, generation int64) (platform.Object, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	differs := ok && (o.Version != afterVersion || s.generation != generation)
	return s.copyObject(o), s.changed, differs
}

// Generation returns the generation of the store, which Restore increments.
func (s *Store) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *Store) copyObject(o platform.Object) platform.Object {
	o.Generation = s.generation
	o.Value = bytes.Clone(o.Value)
	return o
}

// wakeWatches makes every waiting watch check its object again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
