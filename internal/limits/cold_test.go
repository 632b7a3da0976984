package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Guards against items that wait until their deadline although they cannot meet it:
// a burst arrives before the service rate is known, and the first measured rate shows
// that most of the burst cannot be served in time.
func TestColdBurstIsReassessed(t *testing.T) {
	now := time.Unix(1_000, 0)
	q := NewFairQueue(FairQueueOptions{Bound: 100})
	for i := range 100 {
		err := q.Push(now, Item{ID: fmt.Sprint(i), Customer: "c", Cost: 10, Deadline: now.Add(4 * time.Second)})
		assert.Assert(t, err == nil, "%v", err)
	}
	item, _, ok := q.Pop(now)
	assert.Assert(t, ok)
	q.Started(now, item)
	q.Finished(now.Add(500*time.Millisecond), item.ID, 10)
	dropped := q.TakeDropped()
	assert.Assert(t, len(dropped) > 80, "%d of 99 items were dropped, only 7 can be served", len(dropped))
	assert.Assert(t, q.Len() > 0, "all items were dropped")
	for _, d := range dropped {
		assert.Equal(t, d.Err.Kind, errkind.DeadlineHopeless)
		assert.Assert(t, d.Err.RetryAfter > 0)
	}
}
