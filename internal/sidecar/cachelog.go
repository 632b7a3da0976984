package sidecar

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

const (
	// maxCacheChanges bounds the kept changes of the prefix cache. A reader that is
	// further behind misses the oldest.
	maxCacheChanges = 256
	// maxNewsChanges bounds the changes in one message.
	maxNewsChanges = 32
	// changeBytes is the size of one change in a message: 16 digits, two quotes and
	// a comma, rounded up.
	changeBytes = 20
	// newsBytes is the size of a message's field without its changes.
	newsBytes = 50
	// newsRate is the part of the 5 KB/s of control traffic that all readers
	// together may use for changes, in bytes per second.
	newsRate = 1024
	// newsBurst is the number of bytes that may be used at once after a pause.
	newsBurst = 4096
)

// CacheLog keeps the latest changes of an engine's prefix cache and hands each
// reader those that it has not got yet, within a common budget of bytes.
type CacheLog[R comparable] struct {
	changes []cacheChange
	// last is the number of the newest change; numbers start at 1.
	last uint64
	// read is the number of the last change handed to each reader.
	read   map[R]uint64
	budget float64
	at     time.Time
}

type cacheChange struct {
	key    string
	cached bool
}

// NewCacheLog returns an empty log.
func NewCacheLog[R comparable]() *CacheLog[R] {
	return &CacheLog[R]{read: map[R]uint64{}, budget: newsBurst}
}

// Add records that a key was cached or evicted.
func (l *CacheLog[R]) Add(key string, cached bool) {
	if len(l.changes) == maxCacheChanges {
		copy(l.changes, l.changes[1:])
		l.changes = l.changes[:maxCacheChanges-1]
	}
	l.changes = append(l.changes, cacheChange{key, cached})
	l.last++
}

// Take returns the next changes for a reader, or nil when there is none or the
// budget is used up.
func (l *CacheLog[R]) Take(now time.Time, reader R) *api.CacheNews {
	l.refill(now)
	oldest := l.last - uint64(len(l.changes))
	from := max(l.read[reader], oldest)
	affordable := max(0, int((l.budget-newsBytes)/changeBytes))
	n := min(l.last-from, maxNewsChanges, uint64(affordable)) //nolint:gosec // not negative
	if n == 0 {
		return nil
	}
	l.read[reader] = from + n
	l.budget -= newsBytes + float64(n)*changeBytes
	return newsOf(l.changes[from-oldest : from-oldest+n])
}

// Forget removes a reader that is gone.
func (l *CacheLog[R]) Forget(reader R) { delete(l.read, reader) }

func (l *CacheLog[R]) refill(now time.Time) {
	if !l.at.IsZero() {
		l.budget = min(newsBurst, l.budget+newsRate*max(0, now.Sub(l.at).Seconds()))
	}
	l.at = now
}

// newsOf states the last change of each key.
func newsOf(changes []cacheChange) *api.CacheNews {
	final := make(map[string]int, len(changes))
	for i, c := range changes {
		final[c.key] = i
	}
	news := &api.CacheNews{}
	for i, c := range changes {
		switch {
		case final[c.key] != i:
		case c.cached:
			news.Cached = append(news.Cached, c.key)
		default:
			news.Evicted = append(news.Evicted, c.key)
		}
	}
	return news
}
