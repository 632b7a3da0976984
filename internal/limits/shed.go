package limits

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

func (q *FairQueue) add(item Item) {
	w := &waiting{item: item}
	q.items[item.ID] = w
	class := classOf(&item)
	if q.classes[class].count == 0 {
		q.classes[class].tag = math.Max(q.classes[class].tag, q.tag)
	}
	q.classes[class].push(w)
	h, ok := q.held[item.Customer]
	if !ok {
		h = &holding{}
		q.held[item.Customer] = h
	}
	h.weight = item.Weight
	h.items++
	h.cost += item.Cost
}

// release forgets an item that its class queue has given up.
func (q *FairQueue) release(w *waiting) {
	delete(q.items, w.item.ID)
	h := q.held[w.item.Customer]
	h.items--
	h.cost -= w.item.Cost
	if h.items == 0 {
		delete(q.held, w.item.Customer)
	}
}

func (q *FairQueue) unlink(w *waiting) {
	q.classes[classOf(&w.item)].remove(w)
	q.release(w)
}

// nextClass returns the class with the lowest tag; lookups win a tie.
func (q *FairQueue) nextClass() int {
	short, long := &q.classes[classShort], &q.classes[classLong]
	if long.count == 0 || (short.count > 0 && short.tag <= long.tag) {
		return classShort
	}
	return classLong
}

func (q *FairQueue) charge(class int, item *Item) {
	c := &q.classes[class]
	q.tag = math.Max(q.tag, c.tag)
	c.tag += item.Cost / q.classWeight(class)
	c.charge(item)
}

// furthestOver returns the customer with the most waiting items per weight,
// counting the new item; a tie goes against the new item's customer.
func (q *FairQueue) furthestOver(item *Item) string {
	worst := item.Customer
	most := 1 / item.Weight
	if h, ok := q.held[item.Customer]; ok {
		most = float64(h.items+1) / item.Weight
	}
	for name, h := range q.held {
		if name == item.Customer {
			continue
		}
		over := float64(h.items) / h.weight
		if over > most || (over == most && worst != item.Customer && name < worst) {
			worst, most = name, over
		}
	}
	return worst
}

// shed drops the newest waiting item of a customer, a draft before a lookup.
func (q *FairQueue) shed(customer string) {
	for class := range q.classes {
		c, ok := q.classes[class].customers[customer]
		if !ok || c.live == 0 {
			continue
		}
		for i := len(c.items) - 1; i >= 0; i-- {
			w := c.items[i]
			if w.removed {
				continue
			}
			q.unlink(w)
			q.drop(w.item, errkind.Overloaded, "the queue is full and the customer is over its share")
			return
		}
	}
}

func (q *FairQueue) overloaded(item *Item) *errkind.Error {
	return errkind.New(errkind.Overloaded, "the queue is full").WithRetryAfter(q.drainTime(item))
}

// hopeless refuses an item whose expected wait and run pass its deadline.
func (q *FairQueue) hopeless(now time.Time, item *Item) *errkind.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.Wait(*item)
	over := wait + item.Expected - item.Deadline.Sub(now)
	if over <= 0 {
		return nil
	}
	return errkind.New(errkind.DeadlineHopeless, "the deadline cannot be met").
		WithRetryAfter(clampRetry(min(over, max(wait, minRetry))))
}

// Wait returns the expected wait of an item pushed now: the work that fair
// queueing serves before it, divided by the service rate. It is 0 while the rate
// is unknown.
func (q *FairQueue) Wait(item Item) time.Duration {
	rate := q.rate.value
	if rate <= 0 {
		return 0
	}
	return time.Duration(q.ahead(&item) / rate * float64(time.Second))
}

// ahead returns the work served before a new item: within its class each other
// customer gets at most its weighted part while the item's own customer works
// off what it has waiting, and the other class gets at most its weighted part of
// that.
func (q *FairQueue) ahead(item *Item) float64 {
	class := classOf(item)
	c := &q.classes[class]
	own := 0.0
	if mine, ok := c.customers[item.Customer]; ok {
		own = math.Max(mine.tag-c.virtual, 0)
		for _, w := range mine.items {
			if !w.removed {
				own += w.item.Cost / w.item.Weight
			}
		}
	}
	total := 0.0
	for _, other := range c.customers {
		total += servedBefore(other, item.Customer, c.virtual, own)
	}
	rival := &q.classes[1-class]
	part := math.Max(c.tag-q.tag, 0) + total/q.classWeight(class)
	served := (part - math.Max(rival.tag-q.tag, 0)) * q.classWeight(1-class)
	return total + math.Min(math.Max(served, 0), rival.cost)
}

// servedBefore returns the work of one customer served until the fair queue's
// virtual time has moved by span.
func servedBefore(c *customerQueue, self string, virtual, span float64) float64 {
	work, tag := 0.0, math.Max(c.tag-virtual, 0)
	for _, w := range c.items {
		if w.removed {
			continue
		}
		if c.name != self && tag > span {
			break
		}
		work += w.item.Cost
		tag += w.item.Cost / w.item.Weight
	}
	return work
}

// drainTime advises when to try again: when the item's customer has worked off
// half of what it has waiting here.
func (q *FairQueue) drainTime(item *Item) time.Duration {
	wait := q.Wait(*item) / 2
	if wait <= 0 {
		wait = 100 * time.Millisecond
	}
	return clampRetry(wait)
}
