package limits

import (
	"math"
	"slices"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Item is a request in a FairQueue.
type Item struct {
	// ID identifies the request; it is unique in the queue.
	ID       string
	Customer string
	// Weight is the customer's weight in the fair queue. Values below 1 count as 1.
	Weight float64
	// Short marks a lookup, a short request that is served before drafts, which
	// are long.
	Short bool
	// Class orders requests that are not Short, from 0, which is served last, to
	// MaxClass. Drafts have class 0; lookups count as class 1.
	Class int
	// Since is the time from which the item counts as waiting within its customer
	// and class, for example the first try of a caller that returns; zero means the
	// time of the push.
	Since time.Time
	// Cost is the expected work in tokens. Values below 1 count as 1.
	Cost float64
	// Deadline is the time at which the caller stops waiting; zero means none.
	Deadline time.Time
	// Expected is the expected run time once started.
	Expected time.Duration
}

// Dropped is an item that was removed from a FairQueue without being started.
type Dropped struct {
	Item Item
	// Err is the refusal to return, with run state not_run and a retry delay.
	Err *errkind.Error
}

// FairQueueOptions configures a FairQueue. Zero values select the defaults.
type FairQueueOptions struct {
	// Bound is the maximum number of waiting items. The default is 256.
	Bound int
	// ShortWeight is the ratio of the work of a class to that of the class below it
	// that is served while a customer has both waiting, for example of lookups to
	// drafts. The default is 4.
	ShortWeight float64
	// Strict serves the higher classes of a customer first, whatever its lower ones
	// got. ShortWeight is then not used.
	Strict bool
	// Lead is the work, in tokens per unit of weight, by which a customer's requests
	// may run ahead of those of other customers for each class that they are above.
	// The default of 2,000 is more than a long draft usually takes.
	Lead float64
	// Credit is the work, in tokens per unit of weight, by which a customer that
	// used less than its share may be served ahead of the others. The default
	// is 2,000.
	Credit float64
	// Rate is the assumed service rate, in tokens/s, until one has been measured.
	// With the default of 0, no item is refused for its expected wait until then.
	Rate float64
	// Quantile is the fraction of the predicted waits and run times that must not be too
	// low. The default is 0.95.
	Quantile float64
}

// MaxClass is the highest class of an Item. Ten classes hold the ten priorities of an engine.
const MaxClass = classCount - 1

const (
	classLong  = 0
	classShort = 1
	classCount = 10

	defaultBound       = 256
	defaultShortWeight = 4
	defaultLead        = 2000
	defaultCredit      = 2000
)

// FairQueue holds the requests that wait for a backend server. It is a start-time
// fair queue (SFQ) between customers: serving an item increases its customer's
// start tag by cost/weight, and the customer with the lowest start tag is served
// next. The start tag counts as lower by Lead for each class that the customer's
// next item is above the lowest, so lookups run before drafts unless their customer
// exceeds its share by that much. A second fair queue within each customer divides
// the service between the classes, so that none starves.
type FairQueue struct {
	pushCount uint64
	opts      FairQueueOptions
	customers customerQueues
	// items holds the waiting items by ID.
	items map[string]*queuedItem
	// running holds the running items by ID.
	running map[string]runningItem
	// dropped holds the dropped items that were not yet returned.
	dropped []Dropped
	// virtualTime is the highest start tag of a served item.
	virtualTime float64
	serviceRate serviceRateEstimator
	// runMargins holds the margin added to the expected run times of each class.
	runMargins [classCount]marginEstimator
}

// queuedItem is a waiting item.
type queuedItem struct {
	Item
	pushedAt time.Time
	// predictedWait is the wait predicted at Push, without a margin.
	predictedWait time.Duration
	// sequence orders the pushes, several of which may share one pushedAt.
	sequence uint64
}

// runningItem is an item that was started and has not finished.
type runningItem struct {
	item      Item
	startedAt time.Time
	// saturatedTimeAtStart is the service rate's total saturated time at startedAt.
	saturatedTimeAtStart time.Duration
}

// NewFairQueue returns an empty queue.
func NewFairQueue(opts FairQueueOptions) *FairQueue {
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
	if opts.Quantile <= 0 {
		opts.Quantile = marginQuantile
	}
	q := &FairQueue{opts: opts, items: map[string]*queuedItem{}, running: map[string]runningItem{}}
	q.serviceRate.tokensPerSecond = opts.Rate
	return q
}

func (e *queuedItem) since() time.Time {
	if e.Since.IsZero() {
		return e.pushedAt
	}
	return e.Since
}

// Len returns the number of waiting items.
func (q *FairQueue) Len() int { return len(q.items) }

func classOf(item *Item) int {
	if item.Short {
		return classShort
	}
	return min(max(item.Class, classLong), MaxClass)
}

// classWeight returns the weight of a class in the fair queue of a customer.
func classWeight(class int, shortWeight float64) float64 {
	weight := 1.0
	for range class {
		weight *= shortWeight
	}
	return weight
}

// normalize applies the lower bounds of an item's weight and cost.
func normalize(item *Item) {
	item.Weight = math.Max(item.Weight, 1)
	item.Cost = math.Max(item.Cost, 1)
}

// Push adds an item. It refuses the item with duplicate_in_progress if its ID
// already waits, with deadline_hopeless if the item is not expected to finish
// before its deadline, and with overloaded if the queue is full and no other item gives
// way to it: one of the customer that exceeds its share the most or, in a strict queue,
// one of the lowest class. The newest such item is dropped instead and returned by the
// next call of TakeDropped, Pop or Expire. Call TakeDropped after each Push to avoid
// delaying that refusal.
func (q *FairQueue) Push(now time.Time, item Item) *errkind.Error {
	normalize(&item)
	if _, ok := q.items[item.ID]; ok {
		return errkind.New(errkind.DuplicateInProgress, "a request with the same ID is already queued")
	}
	wait := q.predictWait(now, &item)
	if err := q.checkDeadline(now, &item, wait); err != nil {
		return err
	}
	if len(q.items) >= q.opts.Bound {
		victim, ok := q.victimFor(&item)
		if !ok {
			return q.overloadedError(now, &item)
		}
		q.shedNewest(now, victim)
	}
	q.pushCount++
	q.enqueue(&queuedItem{Item: item, pushedAt: now, predictedWait: wait, sequence: q.pushCount})
	q.serviceRate.setSaturated(now, true)
	return nil
}

// TakeDropped returns the items dropped since the last call.
func (q *FairQueue) TakeDropped() []Dropped {
	out := q.dropped
	q.dropped = nil
	return out
}

// Pop removes the next item to start and returns it, or false if none waits. It also
// returns the items dropped since the last call: those that can no longer meet their
// deadline, and those that were shed.
func (q *FairQueue) Pop(now time.Time) (Item, []Dropped, bool) {
	for len(q.items) > 0 {
		c := q.nextCustomer()
		class := c.nextClass()
		e := c.classes[class].items[0]
		q.dequeue(e)
		c.classes[class].waitMargin.observe(now, now.Sub(e.pushedAt), e.predictedWait, q.opts.Quantile)
		if missesDeadline(now, &e.Item) {
			q.drop(now, e.Item, errkind.DeadlineHopeless, "the deadline cannot be met")
			continue
		}
		q.virtualTime = math.Max(q.virtualTime, c.virtualTime)
		c.charge(&e.Item, q.opts.ShortWeight)
		c.servedRate.add(now, e.Cost)
		q.serviceRate.setSaturated(now, len(q.items) > 0)
		return e.Item, q.TakeDropped(), true
	}
	q.serviceRate.setSaturated(now, false)
	return Item{}, q.TakeDropped(), false
}

// Next returns the item that Pop would start next, or false if none waits.
func (q *FairQueue) Next() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	c := q.nextCustomer()
	return c.classes[c.nextClass()].items[0].Item, true
}

// nextCustomer returns the customer to serve next; ties are broken by name. The
// queue must not be empty.
func (q *FairQueue) nextCustomer() *customerQueue {
	var best *customerQueue
	var lowest float64
	for _, c := range q.customers {
		if c.len() == 0 {
			continue
		}
		tag := c.virtualTime - float64(c.nextClass())*q.opts.Lead
		if best == nil || tag < lowest {
			best, lowest = c, tag
		}
	}
	return best
}

// Remove removes a waiting item, for example because its caller disconnected, and
// reports whether the item was waiting.
func (q *FairQueue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.dequeue(e)
	}
	return ok
}

// Expire drops all waiting items that can no longer meet their deadline and returns
// the items dropped since the last call. Call it on a timer: Pop drops such items
// too, but is not called while no request ends.
func (q *FairQueue) Expire(now time.Time) []Dropped {
	for _, c := range q.customers {
		for class := range c.classes {
			for _, e := range slices.Clone(c.classes[class].items) {
				if missesDeadline(now, &e.Item) {
					q.dequeue(e)
					c.classes[class].waitMargin.observe(now, now.Sub(e.pushedAt), e.predictedWait, q.opts.Quantile)
					q.drop(now, e.Item, errkind.DeadlineHopeless, "the deadline cannot be met")
				}
			}
		}
	}
	return q.TakeDropped()
}

// Started records that an item returned by Pop was started.
func (q *FairQueue) Started(now time.Time, item Item) {
	normalize(&item)
	q.running[item.ID] = runningItem{item: item, startedAt: now, saturatedTimeAtStart: q.serviceRate.saturatedTime(now)}
}

// Finished records that a running item ended and took the given work in tokens. The
// difference from the item's cost is charged to its customer, so that understating
// the cost brings no advantage. It does nothing if the item is not running.
func (q *FairQueue) Finished(now time.Time, id string, tokens float64) {
	run, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	cold := q.serviceRate.tokensPerSecond <= 0
	q.serviceRate.recordEnd(now, run, tokens)
	if cold && q.serviceRate.tokensPerSecond > 0 {
		q.recheckDeadlines(now)
	}
	class := classOf(&run.item)
	q.runMargins[class].observe(now, now.Sub(run.startedAt), run.item.Expected, q.opts.Quantile)
	if c := q.customers.find(run.item.Customer); c != nil {
		c.virtualTime = math.Max(c.virtualTime+(tokens-run.item.Cost)/run.item.Weight, q.virtualTime-q.opts.Credit)
	}
}

// missesDeadline reports whether an item started now is expected to end after its
// deadline.
func missesDeadline(now time.Time, item *Item) bool {
	return !item.Deadline.IsZero() && now.Add(item.Expected).After(item.Deadline)
}

// drop records an item already removed from the queue as dropped.
func (q *FairQueue) drop(now time.Time, item Item, kind errkind.Kind, message string) {
	err := errkind.New(kind, message).WithRetryAfter(q.retryDelay(now, &item))
	q.dropped = append(q.dropped, Dropped{Item: item, Err: err})
}
