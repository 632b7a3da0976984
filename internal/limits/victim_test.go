package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Guards against a full strict queue that drops a more urgent request for a less urgent one, and against one that
// refuses a more urgent one while less urgent ones wait.
func TestFullStrictQueueKeepsTheMostUrgent(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func(classes ...int) *FairQueue {
		q := NewFairQueue(FairQueueOptions{Bound: len(classes), Strict: true})
		for i, class := range classes {
			assert.Check(t, q.Push(now, Item{ID: fmt.Sprint(i), Customer: "hot", Class: class}) == nil)
		}
		return q
	}
	q := full(9, 9, 9)
	err := q.Push(now, Item{ID: "new", Customer: "other", Class: 1})
	assert.Check(t, err != nil && err.Kind == errkind.Overloaded, "a less urgent request took the place of a more urgent one")
	assert.Equal(t, len(q.TakeDropped()), 0)

	q = full(9, 1, 9)
	assert.Check(t, q.Push(now, Item{ID: "new", Customer: "other", Class: 5}) == nil)
	dropped := q.TakeDropped()
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Item.ID, "1")

	q = full(5, 5, 5)
	assert.Check(t, q.Push(now, Item{ID: "new", Customer: "other", Class: 5}) == nil, "a customer with nothing waiting is refused for one with all")
	assert.Equal(t, q.TakeDropped()[0].Item.ID, "2")
	assert.Check(t, q.Push(now, Item{ID: "more", Customer: "hot", Class: 5}) != nil)
}
