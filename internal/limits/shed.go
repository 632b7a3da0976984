package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// keepCustomers is the number of customers above which idle ones without debt
// are forgotten.
const keepCustomers = 64

func (q *FairQueue) add(e *entry) {
	if len(q.customers) > keepCustomers {
		q.customers = slices.DeleteFunc(q.customers, func(c *customerQueue) bool {
			return c.len() == 0 && c.tag <= q.virtual-q.opts.Credit
		})
	}
	c := q.customers.findOrAdd(e.Customer)
	if c.len() == 0 {
		c.tag = math.Max(c.tag, q.virtual-q.opts.Credit)
	}
	c.weight = e.Weight
	c.push(e)
	q.items[e.ID] = e
}

func (q *FairQueue) unlink(e *entry) {
	q.customers.find(e.Customer).remove(e)
	delete(q.items, e.ID)
}

// furthestOver returns the customer with the most waiting items per weight,
// counting the new item; a tie goes against the new item's customer.
func (q *FairQueue) furthestOver(item *Item) string {
	worst := item.Customer
	most := 1 / item.Weight
	if c := q.customers.find(item.Customer); c != nil {
		most = float64(c.len()+1) / item.Weight
	}
	for _, c := range q.customers {
		if over := float64(c.len()) / c.weight; c.name != item.Customer && over > most {
			worst, most = c.name, over
		}
	}
	return worst
}

// shed drops the newest waiting item of a customer, a draft before a lookup.
func (q *FairQueue) shed(now time.Time, customer string) {
	c := q.customers.find(customer)
	for class := range c.lines {
		items := c.lines[class].items
		if len(items) == 0 {
			continue
		}
		e := items[len(items)-1]
		q.unlink(e)
		q.drop(now, e.Item, errkind.Overloaded, "the queue is full and the customer is over its share")
		return
	}
}

func (q *FairQueue) overloaded(now time.Time, item *Item) *errkind.Error {
	return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(q.drainTime(now, item))
}

// hopeless refuses an item whose expected wait and run pass its deadline. An
// item that need not wait is never refused for a learned margin.
func (q *FairQueue) hopeless(now time.Time, item *Item, wait time.Duration) *errkind.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	need := item.Expected
	if wait > 0 {
		need += wait + q.waitMargin(now, item) + q.runs[classOf(item)].of(now)
	}
	over := need - item.Deadline.Sub(now)
	if over <= 0 {
		return nil
	}
	return errkind.New(errkind.DeadlineHopeless, "the deadline cannot be met").
		WithRetryAfter(clampRetry(min(over, max(wait, minRetry))))
}

// reassess judges every waiting item anew, in the order of arrival, once the first
// rate is known: until then nothing could be found hopeless.
func (q *FairQueue) reassess(now time.Time) {
	waiting := make([]*entry, 0, len(q.items))
	for _, e := range q.items {
		waiting = append(waiting, e)
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		return cmp.Compare(a.order, b.order)
	})
	for _, e := range waiting {
		q.unlink(e)
	}
	for _, e := range waiting {
		e.wait = q.wait(now, &e.Item)
		if err := q.hopeless(now, &e.Item, e.wait); err != nil {
			q.dropped = append(q.dropped, Dropped{Item: e.Item, Err: err})
			continue
		}
		q.add(e)
	}
}

func (q *FairQueue) waitMargin(now time.Time, item *Item) time.Duration {
	if c := q.customers.find(item.Customer); c != nil {
		return c.lines[classOf(item)].waits.of(now)
	}
	return 0
}

// Wait returns the expected wait of an item pushed now, with the learned margin.
// It is 0 while nothing waits or the service rate is unknown.
func (q *FairQueue) Wait(now time.Time, item Item) time.Duration {
	normalize(&item)
	wait := q.wait(now, &item)
	if wait > 0 {
		wait += q.waitMargin(now, &item)
	}
	return wait
}

// wait predicts the wait of a new item as the longer of two figures: the work
// that the queue as it stands serves before the item, divided by the service
// rate; and the work of its own customer before it, divided by the rate at which
// that customer was served lately, which counts those who arrive later.
func (q *FairQueue) wait(now time.Time, item *Item) time.Duration {
	if q.rate.value <= 0 || len(q.items) == 0 {
		return 0
	}
	queued := q.ahead(item) / q.rate.value
	mine := q.customers.find(item.Customer)
	if mine == nil {
		return seconds(queued)
	}
	own := mine.ahead(classOf(item), q.opts.ShortWeight)
	rate := math.Min(math.Max(mine.served.rate(now), q.share(item)), q.rate.value)
	return seconds(math.Max(queued, own/rate))
}

// share returns the service rate that a customer has in any case: its weighted
// part among the customers that wait.
func (q *FairQueue) share(item *Item) float64 {
	sum := item.Weight
	for _, c := range q.customers {
		if c.len() > 0 && c.name != item.Customer {
			sum += c.weight
		}
	}
	return q.rate.value * item.Weight / sum
}

// seconds converts a number of seconds.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// ahead returns the work served before a new item: what its own customer has
// waiting before it, and what the others are served until then.
func (q *FairQueue) ahead(item *Item) float64 {
	class := classOf(item)
	tag, total := q.virtual-q.opts.Credit, 0.0
	if mine := q.customers.find(item.Customer); mine != nil {
		tag = math.Max(tag, mine.tag)
		total = mine.ahead(class, q.opts.ShortWeight)
	}
	tag += total / item.Weight
	if class == classShort {
		tag -= q.opts.Lead
	}
	for _, c := range q.customers {
		if c.name != item.Customer {
			total += c.servedUntil(tag, q.opts.Lead)
		}
	}
	return total
}

// drainTime advises when to try again: when half of the work before a new item
// of the customer is done.
func (q *FairQueue) drainTime(now time.Time, item *Item) time.Duration {
	wait := q.Wait(now, *item) / 2
	if wait <= 0 {
		wait = 100 * time.Millisecond
	}
	return clampRetry(wait)
}
