// Package burn measures how fast service-level objectives use up their error
// budget. It reads trace records or counters and reports burn rates over several
// windows, as text and as a page, with a verdict on whether to alert. It takes
// the time as an argument and holds no clock.
package burn

import "time"

// Windows are the windows of a report, from short to long.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

const (
	// bucketTime is the resolution of a series.
	bucketTime = 30 * time.Second
	// bucketCount covers the longest window, and the bucket that is being filled.
	bucketCount = int64(72*time.Hour/bucketTime) + 1
)

type bucket struct {
	index int64
	good  uint64
	total uint64
}

// series counts good and total requests in buckets of fixed time. Its memory is
// bounded by the longest window: 207 KB.
type series struct{ buckets []bucket }

func newSeries() *series { return &series{buckets: make([]bucket, bucketCount)} }

// add counts requests that ended at a time since the start. Requests older than
// the longest window before the newest one are not counted.
func (s *series) add(at time.Duration, good, total uint64) {
	index := int64(at / bucketTime)
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

// sum returns the requests in the window that ends at now. The window starts at
// a bucket border, so it may be up to bucketTime longer.
func (s *series) sum(now, window time.Duration) (good, total int) {
	last := int64(now / bucketTime)
	first := max(0, int64((now-window)/bucketTime))
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
