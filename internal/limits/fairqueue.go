package limits

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Item is one waiting request.
type Item struct {
	ID       string
	Customer string
	// Weight is the customer's share; values below 1 count as 1.
	Weight float64
	// Short marks a quick lookup, which runs before long drafts.
	Short bool
	// Cost is the expected work in tokens; values below 1 count as 1.
	Cost float64
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Expected is the expected run time once started.
	Expected time.Duration
}

// Dropped is an item that left the queue without being started.
type Dropped struct {
	Item Item
	// Err is the refusal with run state not_run and a retry time.
	Err *errkind.Error
}

// Options configure a FairQueue; zero values mean the defaults.
type Options struct {
	// Bound is the largest number of waiting items; default 256.
	Bound int
	// ShortWeight is how many units of lookup work run for one unit of draft
	// work while both wait; default 4.
	ShortWeight float64
	// Rate is the assumed service rate in tokens/s until Finished has shown
	// one; default 0, which refuses nothing as hopeless.
	Rate float64
}

const (
	classLong  = 0
	classShort = 1
	classes    = 2

	defaultBound       = 256
	defaultShortWeight = 4
)

// FairQueue holds the requests that wait for a backend server. Between the two
// classes, and between the customers of a class, it is a start-time fair queue:
// each served unit of work moves its owner's tag by work/weight, and the lowest
// tag is served next.
type FairQueue struct {
	opts    Options
	classes [classes]classQueue
	items   map[string]*waiting
	held    map[string]*holding
	running map[string]Item
	dropped []Dropped
	tag     float64
	rate    serviceRate
}

type waiting struct {
	item Item
	// removed marks an item that was taken out of the middle of its queue.
	removed bool
}

// holding sums what one customer has waiting.
type holding struct {
	weight float64
	items  int
	cost   float64
}

// NewFairQueue returns an empty queue.
func NewFairQueue(opts Options) *FairQueue {
	if opts.Bound <= 0 {
		opts.Bound = defaultBound
	}
	if opts.ShortWeight <= 0 {
		opts.ShortWeight = defaultShortWeight
	}
	q := &FairQueue{opts: opts, items: map[string]*waiting{}, held: map[string]*holding{}, running: map[string]Item{}}
	for i := range q.classes {
		q.classes[i].customers = map[string]*customerQueue{}
	}
	q.rate.value = opts.Rate
	return q
}

// Len returns the number of waiting items.
func (q *FairQueue) Len() int { return len(q.items) }

func classOf(item *Item) int {
	if item.Short {
		return classShort
	}
	return classLong
}

func (q *FairQueue) classWeight(class int) float64 {
	if class == classShort {
		return q.opts.ShortWeight
	}
	return 1
}

// Push adds an item. It refuses with deadline_hopeless when the item cannot end
// before its deadline, and with overloaded when the queue is full and the item's
// customer is furthest over its share. An item of another customer that had to
// make room is returned by the next TakeDropped or Pop.
func (q *FairQueue) Push(now time.Time, item Item) *errkind.Error {
	item.Weight = math.Max(item.Weight, 1)
	item.Cost = math.Max(item.Cost, 1)
	if _, ok := q.items[item.ID]; ok {
		return errkind.New(errkind.DuplicateInProgress, "the request already waits")
	}
	if err := q.hopeless(now, &item); err != nil {
		return err
	}
	if len(q.items) >= q.opts.Bound {
		victim := q.furthestOver(&item)
		if victim == item.Customer {
			return q.overloaded(&item)
		}
		q.shed(victim)
	}
	q.add(item)
	return nil
}

// TakeDropped returns the items dropped since the last call.
func (q *FairQueue) TakeDropped() []Dropped {
	out := q.dropped
	q.dropped = nil
	return out
}

// Pop returns the next item to start and the items dropped on the way, each of
// which can no longer meet its deadline or was shed.
func (q *FairQueue) Pop(now time.Time) (Item, []Dropped, bool) {
	for len(q.items) > 0 {
		class := q.nextClass()
		w := q.classes[class].pop()
		q.release(w)
		if late(now, &w.item) {
			q.drop(w.item, errkind.DeadlineHopeless, "the deadline cannot be met")
			continue
		}
		q.charge(class, &w.item)
		return w.item, q.TakeDropped(), true
	}
	return Item{}, q.TakeDropped(), false
}

// Remove takes a waiting item out, for instance when its caller is gone.
func (q *FairQueue) Remove(id string) bool {
	w, ok := q.items[id]
	if !ok {
		return false
	}
	q.unlink(w)
	return true
}

// Expire drops every waiting item that can no longer meet its deadline.
func (q *FairQueue) Expire(now time.Time) []Dropped {
	for _, w := range q.items {
		if late(now, &w.item) {
			q.unlink(w)
			q.drop(w.item, errkind.DeadlineHopeless, "the deadline cannot be met")
		}
	}
	return q.TakeDropped()
}

// Started tells that a popped item runs.
func (q *FairQueue) Started(now time.Time, item Item) {
	q.rate.started(now, len(q.running))
	q.running[item.ID] = item
}

// Finished tells that a running item ended after tokens of work. The difference
// to the expected work is charged to its customer, so that an understated cost
// gains nothing.
func (q *FairQueue) Finished(now time.Time, id string, tokens float64) {
	item, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.rate.finished(now, tokens, len(q.running))
	q.classes[classOf(&item)].adjust(item.Customer, (tokens-item.Cost)/item.Weight)
}

func late(now time.Time, item *Item) bool {
	return !item.Deadline.IsZero() && now.Add(item.Expected).After(item.Deadline)
}

func (q *FairQueue) drop(item Item, kind errkind.Kind, message string) {
	err := errkind.New(kind, message).WithRetryAfter(q.drainTime(&item))
	q.dropped = append(q.dropped, Dropped{Item: item, Err: err})
}
