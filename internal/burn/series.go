// Package burn computes the rates at which service-level objectives use up their error
// budgets. It reads trace records or counter samples and reports burn rates over several
// windows, as text and as an HTML page, with a verdict on whether to alert. The current
// time is always an argument; the package reads no clock.
package burn

import "time"

// Windows lists the time windows of a report, from short to long.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

const (
	// bucketDuration is the resolution of a slidingCounter.
	bucketDuration = 30 * time.Second
	// bucketCount is the number of buckets that cover the longest window, plus the one
	// that is being filled.
	bucketCount = int64(72*time.Hour/bucketDuration) + 1
)

// bucket counts the requests that ended in one bucketDuration. Its index is the number of
// bucketDurations since the start.
type bucket struct {
	index int64
	good  uint64
	total uint64
}

// slidingCounter counts good and total requests in a ring buffer of buckets. Its size
// is fixed by the longest window: 207 KB.
type slidingCounter struct{ buckets []bucket }

func newSlidingCounter() *slidingCounter {
	return &slidingCounter{buckets: make([]bucket, bucketCount)}
}

// add counts requests that ended at a time since the start. It ignores requests that are
// older than the newest one by more than the longest window.
func (s *slidingCounter) add(at time.Duration, good, total uint64) {
	index := int64(at / bucketDuration)
	b := &s.buckets[index%bucketCount]
	if b.index > index {
		return
	}
	if b.index < index {
		*b = bucket{index: index}
	}
	b.good += good
	b.total += total
}

// sum returns the counts of the window that ends at now. The window starts at a bucket
// boundary, so it may be up to bucketDuration longer.
func (s *slidingCounter) sum(now, window time.Duration) (good, total int) {
	last := int64(now / bucketDuration)
	first := max(0, int64((now-window)/bucketDuration))
	if now < window {
		first = 0
	}
	first = max(first, last-bucketCount+1)
	for index := first; index <= last; index++ {
		b := s.buckets[index%bucketCount]
		if b.index == index {
			good += int(b.good)
			total += int(b.total)
		}
	}
	return good, total
}
