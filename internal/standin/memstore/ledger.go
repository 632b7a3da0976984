package memstore

import (
	"errors"
	"maps"

	"github.com/borageflow/borageflow/internal/platform"
)

// CallKind identifies a method of platform.Store in the Ledger.
type CallKind string

// Kinds of calls, by method of platform.Store.
const (
	KindGet       CallKind = "get"
	KindPut       CallKind = "put"
	KindList      CallKind = "list"
	KindWatch     CallKind = "watch"
	KindInstances CallKind = "instances"
)

// CallCounts counts the calls of one kind by outcome.
type CallCounts struct {
	Total       int `json:"total"`
	Succeeded   int `json:"done"`
	NotFound    int `json:"notFound"`
	Conflict    int `json:"conflict"`
	RateLimited int `json:"rateLimited"`
	Unavailable int `json:"unavailable"`
	Ambiguous   int `json:"ambiguous"`
	Refused     int `json:"refused"`
}

// Ledger holds the counters of a Store.
type Ledger struct {
	// CallsByKind holds the call counts by kind. A watch is counted when it ends.
	CallsByKind map[CallKind]CallCounts `json:"calls"`
	// WritesByKey is the number of writes that took effect, by key.
	WritesByKey map[string]int `json:"written"`
	// LostAnswers is the number of writes that took effect and whose answer was
	// lost.
	LostAnswers int `json:"lostAnswers"`
	// ActiveWatches is the number of waiting watches.
	ActiveWatches int `json:"watching"`
	// MaxActiveWatches is the highest number of waiting watches at once.
	MaxActiveWatches int `json:"maxWatching"`
}

func newLedger() Ledger {
	return Ledger{CallsByKind: map[CallKind]CallCounts{}, WritesByKey: map[string]int{}}
}

// Ledger returns a copy of the store's counters.
func (s *Store) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger
	out.CallsByKind = maps.Clone(out.CallsByKind)
	out.WritesByKey = maps.Clone(out.WritesByKey)
	return out
}

func (s *Store) countCall(kind CallKind, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.countCall(kind, err)
}

func (s *Store) addActiveWatches(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ActiveWatches += change
	s.ledger.MaxActiveWatches = max(s.ledger.MaxActiveWatches, s.ledger.ActiveWatches)
}

// countCall counts a call by the outcome that err stands for and returns err.
func (l *Ledger) countCall(kind CallKind, err error) error {
	c := l.CallsByKind[kind]
	c.Total++
	switch {
	case err == nil:
		c.Succeeded++
	case errors.Is(err, platform.ErrNotFound):
		c.NotFound++
	case errors.Is(err, platform.ErrConflict):
		c.Conflict++
	case errors.Is(err, platform.ErrRateLimited):
		c.RateLimited++
	case errors.Is(err, platform.ErrAmbiguous):
		c.Ambiguous++
	case errors.Is(err, platform.ErrRefused):
		c.Refused++
	default:
		c.Unavailable++
	}
	l.CallsByKind[kind] = c
	return err
}
