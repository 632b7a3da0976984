package memstore

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/platform"
)

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// Unavailable refuses every call without effect.
	Unavailable bool `json:"unavailable"`
	// DelayMs is added to every call, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of coming writes that take effect and whose answer
	// is lost.
	LoseAnswers int `json:"loseAnswers"`
	// DropWrites is the number of coming writes that take no effect and whose
	// answer is lost.
	DropWrites int `json:"dropWrites"`
	// ReadsPerSecond limits reads, lists, watches and instance lists; 0 means no limit.
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// WritesPerSecond limits writes; 0 means no limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// SetFaults replaces the faults in force. An outage also ends waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads = bucket{}
	s.writes = bucket{}
	s.wake()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Saved is a copy of all objects.
type Saved struct {
	objects map[string]platform.Object
}

// Save copies all objects.
func (s *Store) Save() Saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Saved{objects: maps.Clone(s.objects)}
}

// Restore puts saved objects back and raises the generation.
func (s *Store) Restore(saved Saved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(saved.objects)
	s.generation++
	s.wake()
}

// Rollback puts saved objects back without raising the generation, as a faulty
// restore would.
func (s *Store) Rollback(saved Saved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(saved.objects)
	s.wake()
}

// begin applies delay, outage and rate limit to a call.
func (s *Store) begin(ctx context.Context, kind Kind) error {
	if err := s.delay(ctx); err != nil {
		return s.counted(kind, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return s.ledger.count(kind, eris.Wrap(platform.ErrUnavailable, "outage"))
	}
	limit, tokens := s.faults.ReadsPerSecond, &s.reads
	if kind == KindPut {
		limit, tokens = s.faults.WritesPerSecond, &s.writes
	}
	if wait := tokens.take(s.now(), limit); wait > 0 {
		return s.ledger.count(kind, &platform.RateLimitError{RetryAfter: wait})
	}
	return nil
}

func (s *Store) delay(ctx context.Context) error {
	delay := time.Duration(s.Faults().DelayMs) * time.Millisecond
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

// bucket is a token bucket with a burst of one second.
type bucket struct {
	tokens float64
	at     time.Time
}

// take returns 0 when a token was taken, else how long until one is there.
func (b *bucket) take(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	burst := math.Max(perSecond, 1)
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = math.Min(burst, b.tokens+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
	}
	b.tokens--
	return 0
}
