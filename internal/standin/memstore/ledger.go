package memstore

import (
	"errors"
	"maps"

	"github.com/borageflow/borageflow/internal/platform"
)

// Kind is a kind of call.
type Kind string

// The kinds of call.
const (
	KindGet       Kind = "get"
	KindPut       Kind = "put"
	KindList      Kind = "list"
	KindWatch     Kind = "watch"
	KindInstances Kind = "instances"
)

// Calls counts the calls of one kind by outcome.
type Calls struct {
	Total       int `json:"total"`
	Done        int `json:"done"`
	NotFound    int `json:"notFound"`
	Conflict    int `json:"conflict"`
	RateLimited int `json:"rateLimited"`
	Unavailable int `json:"unavailable"`
	Ambiguous   int `json:"ambiguous"`
	Refused     int `json:"refused"`
}

// Ledger counts what the store did.
type Ledger struct {
	// Calls counts calls by kind. A watch is counted when it ends.
	Calls map[Kind]Calls `json:"calls"`
	// Written counts the writes that took effect by key.
	Written map[string]int `json:"written"`
	// LostAnswers counts writes that took effect and whose answer was lost.
	LostAnswers int `json:"lostAnswers"`
	// Watching is the number of waiting watches.
	Watching int `json:"watching"`
	// MaxWatching is the highest number of waiting watches at once.
	MaxWatching int `json:"maxWatching"`
}

func newLedger() Ledger {
	return Ledger{Calls: map[Kind]Calls{}, Written: map[string]int{}}
}

// Ledger returns a copy of the ledger.
func (s *Store) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger
	out.Calls = maps.Clone(out.Calls)
	out.Written = maps.Clone(out.Written)
	return out
}

func (s *Store) counted(kind Kind, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.count(kind, err)
}

func (s *Store) watching(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Watching += change
	s.ledger.MaxWatching = max(s.ledger.MaxWatching, s.ledger.Watching)
}

// count records a call and returns its error.
func (l *Ledger) count(kind Kind, err error) error {
	c := l.Calls[kind]
	c.Total++
	switch {
	case err == nil:
		c.Done++
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
	l.Calls[kind] = c
	return err
}
