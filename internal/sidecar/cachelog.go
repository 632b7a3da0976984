package sidecar

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

const (
	// maxRetainedChanges is the number of changes that a log keeps. A reader that is
	// further behind misses the oldest ones.
	maxRetainedChanges = 256
	// maxChangesPerMessage bounds the number of changes in one message.
	maxChangesPerMessage = 32
	// changeBytes is the size of one change in a message: 16 digits, two quotes and
	// a comma, rounded up.
	changeBytes = 20
	// messageOverheadBytes is the size of the cacheNews field without its changes.
	messageOverheadBytes = 50
	// budgetBytesPerSecond is the share of the 5 KB/s of control traffic that cache
	// changes may use, summed over all readers.
	budgetBytesPerSecond = 1024
	// budgetBurstBytes is the number of bytes that may be sent at once after a pause.
	budgetBurstBytes = 4096
)

// CacheChangeLog keeps the latest changes of an engine's prefix cache and delivers
// to each reader the changes that it has not received yet. All readers share one
// byte budget, a token bucket. It is not safe for concurrent use.
type CacheChangeLog[R comparable] struct {
	changes []cacheChange
	// lastSequence is the sequence number of the newest change; the first is 1.
	lastSequence uint64
	// delivered is the sequence number of the last change sent to each reader.
	delivered   map[R]uint64
	budgetBytes float64
	refilledAt  time.Time
}

type cacheChange struct {
	key    string
	cached bool
}

// NewCacheChangeLog returns an empty log with a full byte budget.
func NewCacheChangeLog[R comparable]() *CacheChangeLog[R] {
	return &CacheChangeLog[R]{delivered: map[R]uint64{}, budgetBytes: budgetBurstBytes}
}

// Add appends the caching (cached true) or the eviction of a prefix key. It drops
// the oldest change when the log is full.
func (l *CacheChangeLog[R]) Add(key string, cached bool) {
	if len(l.changes) == maxRetainedChanges {
		copy(l.changes, l.changes[1:])
		l.changes = l.changes[:maxRetainedChanges-1]
	}
	l.changes = append(l.changes, cacheChange{key, cached})
	l.lastSequence++
}

// NextMessage returns the next changes for a reader. It returns nil when the reader
// has received all changes or the byte budget is exhausted.
func (l *CacheChangeLog[R]) NextMessage(now time.Time, reader R) *api.CacheNews {
	l.refill(now)
	oldest := l.lastSequence - uint64(len(l.changes))
	from := max(l.delivered[reader], oldest)
	affordable := max(0, int((l.budgetBytes-messageOverheadBytes)/changeBytes))
	n := min(l.lastSequence-from, maxChangesPerMessage, uint64(affordable)) //nolint:gosec // not negative
	if n == 0 {
		return nil
	}
	l.delivered[reader] = from + n
	l.budgetBytes -= messageOverheadBytes + float64(n)*changeBytes
	return coalesceChanges(l.changes[from-oldest : from-oldest+n])
}

// RemoveReader drops the position of a reader whose link is closed.
func (l *CacheChangeLog[R]) RemoveReader(reader R) { delete(l.delivered, reader) }

func (l *CacheChangeLog[R]) refill(now time.Time) {
	if !l.refilledAt.IsZero() {
		l.budgetBytes = min(budgetBurstBytes, l.budgetBytes+budgetBytesPerSecond*max(0, now.Sub(l.refilledAt).Seconds()))
	}
	l.refilledAt = now
}

// coalesceChanges builds a message with only the last change of each key.
func coalesceChanges(changes []cacheChange) *api.CacheNews {
	lastIndex := make(map[string]int, len(changes))
	for i, c := range changes {
		lastIndex[c.key] = i
	}
	message := &api.CacheNews{}
	for i, c := range changes {
		switch {
		case lastIndex[c.key] != i:
		case c.cached:
			message.Cached = append(message.Cached, c.key)
		default:
			message.Evicted = append(message.Evicted, c.key)
		}
	}
	return message
}
