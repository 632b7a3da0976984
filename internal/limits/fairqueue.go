package limits

import (
	"math"
	"slices"
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
	// work while a customer has both waiting; default 4.
	ShortWeight float64
	// Lead is the work in tokens per unit of weight by which a customer's lookups
	// may run ahead of other customers' drafts; default 2,000, more than the
	// longest usual draft.
	Lead float64
	// Credit is the work in tokens per unit of weight that a customer which used
	// less than its share may be served ahead of the others; default 2,000.
	Credit float64
	// Rate is the assumed service rate in tokens/s until Finished has shown
	// one; default 0, which refuses nothing for its wait.
	Rate float64
}

const (
	classLong  = 0
	classShort = 1
	classes    = 2

	defaultBound       = 256
	defaultShortWeight = 4
	defaultLead        = 2000
	defaultCredit      = 2000
)

// FairQueue holds the requests that wait for a backend server. It is a
// start-time fair queue between customers: work served moves a customer's tag by
// work/weight, and the lowest tag is served next. A lookup competes with a tag
// lower by Lead, so it runs before drafts unless its customer is that far over
// its share. Within a customer a second fair queue shares between lookups and
// drafts, so that neither starves.
type FairQueue struct {
	pushes    uint64
	opts      Options
	customers customerQueues
	items     map[string]*entry
	running   map[string]started
	dropped   []Dropped
	virtual   float64
	rate      serviceRate
	// runs corrects the expected run times of each class.
	runs [classes]margin
}

// entry is an item that waits.
type entry struct {
	Item
	pushed time.Time
	// wait is the plain prediction made at Push.
	wait time.Duration
	// order numbers the pushes, which may happen at the same time.
	order uint64
}

// started is a running item.
type started struct {
	item Item
	at   time.Time
	// waitedFor is the clock of saturated time when it started.
	waitedFor time.Duration
}

// NewFairQueue returns an empty queue.
func NewFairQueue(opts Options) *FairQueue {
	if opts.Bound <= 0 {
		opts.Bound = defaultBound
	}
	if opts.ShortWeight <= 0 {
		opts.ShortWeight = defaultShortWeight
	}
	if opts.Lead <= 0 {
		opts.Lead = defaultLead
	}
	if opts.Credit <= 0 {
		opts.Credit = defaultCredit
	}
	q := &FairQueue{opts: opts, items: map[string]*entry{}, running: map[string]started{}}
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

func classWeight(class int, shortWeight float64) float64 {
	if class == classShort {
		return shortWeight
	}
	return 1
}

func normalize(item *Item) {
	item.Weight = math.Max(item.Weight, 1)
	item.Cost = math.Max(item.Cost, 1)
}

// Push adds an item. It refuses with deadline_hopeless when the item is not
// expected to end before its deadline, and with overloaded when the queue is full
// and the item's customer is furthest over its share. An item of another
// customer that had to make room is returned by the next TakeDropped or Pop; call
// TakeDropped after each Push, so that its refusal is not delayed.
func (q *FairQueue) Push(now time.Time, item Item) *errkind.Error {
	normalize(&item)
	if _, ok := q.items[item.ID]; ok {
		return errkind.New(errkind.DuplicateInProgress, "the request already waits")
	}
	wait := q.wait(now, &item)
	if err := q.hopeless(now, &item, wait); err != nil {
		return err
	}
	if len(q.items) >= q.opts.Bound {
		victim := q.furthestOver(&item)
		if victim == item.Customer {
			return q.overloaded(now, &item)
		}
		q.shed(now, victim)
	}
	q.pushes++
	q.add(&entry{Item: item, pushed: now, wait: wait, order: q.pushes})
	q.rate.waiting(now, true)
	return nil
}

// TakeDropped returns the items dropped since the last call.
func (q *FairQueue) TakeDropped() []Dropped {
	out := q.dropped
	q.dropped = nil
	return out
}

// Pop returns the next item to start and the items dropped since the last call,
// each of which can no longer meet its deadline or was shed.
func (q *FairQueue) Pop(now time.Time) (Item, []Dropped, bool) {
	for len(q.items) > 0 {
		c := q.next()
		class := c.class()
		e := c.lines[class].items[0]
		q.unlink(e)
		c.lines[class].waits.observe(now, now.Sub(e.pushed), e.wait)
		if late(now, &e.Item) {
			q.drop(now, e.Item, errkind.DeadlineHopeless, "the deadline cannot be met")
			continue
		}
		q.virtual = math.Max(q.virtual, c.tag)
		c.charge(&e.Item, q.opts.ShortWeight)
		c.served.add(now, e.Cost)
		q.rate.waiting(now, len(q.items) > 0)
		return e.Item, q.TakeDropped(), true
	}
	q.rate.waiting(now, false)
	return Item{}, q.TakeDropped(), false
}

// next returns the customer to serve; equal tags go by name. The queue must not
// be empty.
func (q *FairQueue) next() *customerQueue {
	var best *customerQueue
	var lowest float64
	for _, c := range q.customers {
		if c.len() == 0 {
			continue
		}
		tag := c.tag
		if c.class() == classShort {
			tag -= q.opts.Lead
		}
		if best == nil || tag < lowest {
			best, lowest = c, tag
		}
	}
	return best
}

// Remove takes a waiting item out, for instance when its caller is gone, and
// reports whether it was there.
func (q *FairQueue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.unlink(e)
	}
	return ok
}

// Expire drops every waiting item that can no longer meet its deadline. Calling
// it on a timer answers them while no request ends.
func (q *FairQueue) Expire(now time.Time) []Dropped {
	for _, c := range q.customers {
		for class := range c.lines {
			for _, e := range slices.Clone(c.lines[class].items) {
				if late(now, &e.Item) {
					q.unlink(e)
					c.lines[class].waits.observe(now, now.Sub(e.pushed), e.wait)
					q.drop(now, e.Item, errkind.DeadlineHopeless, "the deadline cannot be met")
				}
			}
		}
	}
	return q.TakeDropped()
}

// Started tells that a popped item runs.
func (q *FairQueue) Started(now time.Time, item Item) {
	normalize(&item)
	q.running[item.ID] = started{item: item, at: now, waitedFor: q.rate.clock(now)}
}

// Finished tells that a running item ended after tokens of work. The difference
// to the expected work is charged to its customer, so that an understated cost
// gains nothing.
func (q *FairQueue) Finished(now time.Time, id string, tokens float64) {
	run, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	cold := q.rate.value <= 0
	q.rate.finished(now, run, tokens)
	if cold && q.rate.value > 0 {
		q.reassess(now)
	}
	class := classOf(&run.item)
	q.runs[class].observe(now, now.Sub(run.at), run.item.Expected)
	if c := q.customers.find(run.item.Customer); c != nil {
		c.tag = math.Max(c.tag+(tokens-run.item.Cost)/run.item.Weight, q.virtual-q.opts.Credit)
	}
}

func late(now time.Time, item *Item) bool {
	return !item.Deadline.IsZero() && now.Add(item.Expected).After(item.Deadline)
}

func (q *FairQueue) drop(now time.Time, item Item, kind errkind.Kind, message string) {
	err := errkind.New(kind, message).WithRetryAfter(q.drainTime(now, &item))
	q.dropped = append(q.dropped, Dropped{Item: item, Err: err})
}
