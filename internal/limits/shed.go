package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// pruneThreshold is the number of customers above which idle customers without debt
// are removed: those at least Credit behind the virtual time.
const pruneThreshold = 64

// enqueue adds an item to its customer's queue. A customer that was idle starts at
// most Credit behind the virtual time.
func (q *FairQueue) enqueue(e *queuedItem) {
	if len(q.customers) > pruneThreshold {
		q.customers = slices.DeleteFunc(q.customers, func(c *customerQueue) bool {
			return c.len() == 0 && c.virtualTime <= q.virtualTime-q.opts.Credit
		})
	}
	c := q.customers.findOrInsert(e.Customer)
	if c.len() == 0 {
		c.virtualTime = math.Max(c.virtualTime, q.virtualTime-q.opts.Credit)
	}
	c.weight, c.strict = e.Weight, q.opts.Strict
	c.push(e)
	q.items[e.ID] = e
}

func (q *FairQueue) dequeue(e *queuedItem) {
	q.customers.find(e.Customer).remove(e)
	delete(q.items, e.ID)
}

// customerMostOverShare returns the customer with the most waiting items per unit of
// weight, including the new item. In a tie it returns the new item's customer.
func (q *FairQueue) customerMostOverShare(item *Item) string {
	selected := item.Customer
	highest := 1 / item.Weight
	if c := q.customers.find(item.Customer); c != nil {
		highest = float64(c.len()+1) / item.Weight
	}
	for _, c := range q.customers {
		if waitingPerWeight := float64(c.len()) / c.weight; c.name != item.Customer && waitingPerWeight > highest {
			selected, highest = c.name, waitingPerWeight
		}
	}
	return selected
}

// victimFor returns the customer of which an item is dropped for a new one in a full queue, or false if the new
// item is refused. In a strict queue no item is dropped for one of a lower class.
func (q *FairQueue) victimFor(item *Item) (string, bool) {
	if !q.opts.Strict {
		victim := q.customerMostOverShare(item)
		return victim, victim != item.Customer
	}
	selected, lowest, highest := "", classOf(item), 0.0
	for _, c := range q.customers {
		class, waiting := c.lowestClass(), float64(c.len())/c.weight
		if class < 0 || class > lowest {
			continue
		}
		if class == classOf(item) {
			if c.name == item.Customer || waiting <= q.waitingWith(item) {
				continue // within a class, only customers that are more over their share give way
			}
		}
		if class < lowest || selected == "" || waiting > highest {
			selected, lowest, highest = c.name, class, waiting
		}
	}
	return selected, selected != ""
}

// waitingWith returns the waiting items per unit of weight of the item's customer, including the item.
func (q *FairQueue) waitingWith(item *Item) float64 {
	n := 1
	if c := q.customers.find(item.Customer); c != nil {
		n += c.len()
	}
	return float64(n) / item.Weight
}

// shedNewest drops the newest waiting item of a customer's lowest class.
func (q *FairQueue) shedNewest(now time.Time, customer string) {
	c := q.customers.find(customer)
	for class := range c.classes {
		items := c.classes[class].items
		if len(items) == 0 {
			continue
		}
		e := items[len(items)-1]
		q.dequeue(e)
		q.drop(now, e.Item, errkind.Overloaded, "the queue is full and the customer is over its share")
		return
	}
}

func (q *FairQueue) overloadedError(now time.Time, item *Item) *errkind.Error {
	return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(q.retryDelay(now, item))
}

// checkDeadline returns a refusal if the expected wait and run time of an item end
// after its deadline. The estimated margins count only if the item has to wait.
func (q *FairQueue) checkDeadline(now time.Time, item *Item, wait time.Duration) *errkind.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	required := item.Expected
	if wait > 0 {
		required += wait + q.waitMargin(now, item) + q.runMargins[classOf(item)].current(now)
	}
	overrun := required - item.Deadline.Sub(now)
	if overrun <= 0 {
		return nil
	}
	return errkind.New(errkind.DeadlineHopeless, "the deadline cannot be met").
		WithRetryAfter(clampRetryAfter(min(overrun, max(wait, minRetryAfter))))
}

// recheckDeadlines repeats checkDeadline for all waiting items in order of arrival
// and drops those that fail. It is called once the first service rate is measured:
// before that, no wait could be predicted.
func (q *FairQueue) recheckDeadlines(now time.Time) {
	waiting := make([]*queuedItem, 0, len(q.items))
	for _, e := range q.items {
		waiting = append(waiting, e)
	}
	slices.SortFunc(waiting, func(a, b *queuedItem) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
	for _, e := range waiting {
		q.dequeue(e)
	}
	for _, e := range waiting {
		e.predictedWait = q.predictWait(now, &e.Item)
		if err := q.checkDeadline(now, &e.Item, e.predictedWait); err != nil {
			q.dropped = append(q.dropped, Dropped{Item: e.Item, Err: err})
			continue
		}
		q.enqueue(e)
	}
}

func (q *FairQueue) waitMargin(now time.Time, item *Item) time.Duration {
	if c := q.customers.find(item.Customer); c != nil {
		return c.classes[classOf(item)].waitMargin.current(now)
	}
	return 0
}

// ExpectedWait returns the expected wait of an item pushed now, including the estimated
// margin. It is 0 if no item waits or the service rate is unknown.
func (q *FairQueue) ExpectedWait(now time.Time, item Item) time.Duration {
	normalize(&item)
	wait := q.predictWait(now, &item)
	if wait > 0 {
		wait += q.waitMargin(now, &item)
	}
	return wait
}

// predictWait predicts the wait of a new item, without a margin, as the longer of two
// estimates: the queued work served before the item divided by the service rate,
// and the customer's own work served before it divided by the rate at which the
// customer was served lately. The second accounts for items that other customers
// push later.
func (q *FairQueue) predictWait(now time.Time, item *Item) time.Duration {
	if q.serviceRate.tokensPerSecond <= 0 || len(q.items) == 0 {
		return 0
	}
	queueWait := q.workAhead(item) / q.serviceRate.tokensPerSecond
	customer := q.customers.find(item.Customer)
	if customer == nil {
		return seconds(queueWait)
	}
	customerWork := customer.workAhead(classOf(item), q.opts.ShortWeight)
	rate := math.Min(math.Max(customer.servedRate.rate(now), q.guaranteedRate(item)), q.serviceRate.tokensPerSecond)
	return seconds(math.Max(queueWait, customerWork/rate))
}

// guaranteedRate returns the item's customer's weighted share of the service rate
// among the customers with waiting items, in tokens/s. In a strict queue only those with items of its
// class or a higher one count, because lower ones are served later.
func (q *FairQueue) guaranteedRate(item *Item) float64 {
	totalWeight := item.Weight
	for _, c := range q.customers {
		if c.name != item.Customer && c.len() > 0 && (!q.opts.Strict || c.waitsFrom(classOf(item))) {
			totalWeight += c.weight
		}
	}
	return q.serviceRate.tokensPerSecond * item.Weight / totalWeight
}

// seconds converts a number of seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// workAhead returns the work, in tokens, that is served before a new item: the work
// of its own customer ahead of it, and the work of other customers until then.
func (q *FairQueue) workAhead(item *Item) float64 {
	class := classOf(item)
	limit, work := q.virtualTime-q.opts.Credit, 0.0
	if customer := q.customers.find(item.Customer); customer != nil {
		limit = math.Max(limit, customer.virtualTime)
		work = customer.workAhead(class, q.opts.ShortWeight)
	}
	limit += work / item.Weight
	limit -= float64(class) * q.opts.Lead
	for _, c := range q.customers {
		if c.name != item.Customer {
			work += c.workServedBefore(limit, q.opts.Lead)
		}
	}
	return work
}

// retryDelay returns the delay after which a refused request should be retried: half
// of the wait expected for a new item of the customer, or 100 ms if no wait is expected.
func (q *FairQueue) retryDelay(now time.Time, item *Item) time.Duration {
	wait := q.ExpectedWait(now, *item) / 2
	if wait <= 0 {
		wait = 100 * time.Millisecond
	}
	return clampRetryAfter(wait)
}
