package memstore

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/platform"
)

// Faults holds the active faults of a Store; the zero value has none.
type Faults struct {
	// Unavailable fails every call without effect, as in an outage.
	Unavailable bool `json:"unavailable"`
	// DelayMs is the time in milliseconds by which every call is delayed.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of next writes that take effect but fail with
	// platform.ErrAmbiguous, as if their answer was lost.
	LoseAnswers int `json:"loseAnswers"`
	// DropWrites is the number of next writes that take no effect and fail with
	// platform.ErrAmbiguous.
	DropWrites int `json:"dropWrites"`
	// ReadsPerSecond limits the rate of reads, lists, watches and instance lists;
	// 0 means no limit.
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// WritesPerSecond limits the rate of writes; 0 means no limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// SetFaults replaces the active faults and refills the rate limits. Unavailable also fails
// the watches that are waiting.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.readBucket = tokenBucket{}
	s.writeBucket = tokenBucket{}
	s.wakeWatches()
}

// Faults returns the active faults with the remaining counts of LoseAnswers and
// DropWrites.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Snapshot is a copy of all objects of a Store at one time.
type Snapshot struct {
	objects map[string]platform.Object
}

// Save returns a copy of all objects for Restore or Rollback.
func (s *Store) Save() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: maps.Clone(s.objects)}
}

// Restore replaces all objects by the saved ones and increments the generation.
func (s *Store) Restore(saved Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(saved.objects)
	s.generation++
	s.wakeWatches()
}

// Rollback replaces all objects by the saved ones without a new generation, as a faulty
// restore does.
func (s *Store) Rollback(saved Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(saved.objects)
	s.wakeWatches()
}

// applyFaults applies the delay, the outage and the rate limit to a call. It returns
// platform.ErrUnavailable or a platform.RateLimitError when the call fails.
func (s *Store) applyFaults(ctx context.Context, kind CallKind) error {
	if err := s.waitForDelay(ctx); err != nil {
		return s.countCall(kind, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return s.ledger.countCall(kind, eris.Wrap(platform.ErrUnavailable, "outage"))
	}
	limit, bucket := s.faults.ReadsPerSecond, &s.readBucket
	if kind == KindPut {
		limit, bucket = s.faults.WritesPerSecond, &s.writeBucket
	}
	if wait := bucket.take(s.now(), limit); wait > 0 {
		return s.ledger.countCall(kind, &platform.RateLimitError{RetryAfter: wait})
	}
	return nil
}

func (s *Store) waitForDelay(ctx context.Context) error {
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

// tokenBucket is a rate limiter whose burst is the tokens of one second, at least 1.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// take removes a token and returns 0, or returns the time until the next token is
// available.
func (b *tokenBucket) take(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	burst := math.Max(perSecond, 1)
	if b.updatedAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = math.Min(burst, b.tokens+now.Sub(b.updatedAt).Seconds()*perSecond)
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
	}
	b.tokens--
	return 0
}
