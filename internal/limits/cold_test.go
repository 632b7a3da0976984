package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Guards against a burst at a cold queue, whose rate is not known yet, being held
// until the deadlines pass although the first measured rate shows that most of it
// cannot be served.
func TestColdBurstIsReassessed(t *testing.T) {
	now := time.Unix(1_000, 0)
	q := NewFairQueue(Options{Bound: 100})
	for i := range 100 {
		err := q.Push(now, Item{ID: fmt.Sprint(i), Customer: "c", Cost: 10, Deadline: now.Add(4 * time.Second)})
		assert.Assert(t, err == nil, "%v", err)
	}
	item, _, ok := q.Pop(now)
	assert.Assert(t, ok)
	q.Started(now, item)
	q.Finished(now.Add(500*time.Millisecond), item.ID, 10)
	dropped := q.TakeDropped()
	assert.Assert(t, len(dropped) > 80, "%d of 99 dropped, 7 can be served", len(dropped))
	assert.Assert(t, q.Len() > 0, "everything was dropped")
	for _, d := range dropped {
		assert.Equal(t, d.Err.Kind, errkind.DeadlineHopeless)
		assert.Assert(t, d.Err.RetryAfter > 0)
	}
}
