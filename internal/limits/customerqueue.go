package limits

import (
	"math"
	"slices"
	"strings"
)

// customerQueue holds what one customer has waiting.
type customerQueue struct {
	name   string
	weight float64
	// tag is the work per weight served for the customer.
	tag float64
	// order is the tag up to which the two classes were served.
	order float64
	// served is the rate of work started, in tokens/s.
	served rateEstimate
	lines  [classes]line
}

// line is the first-in, first-out queue of one class of a customer. Between the
// two lines of a customer the lower tag is served first.
type line struct {
	tag   float64
	cost  float64
	items []*entry
	// waits corrects the predicted waits.
	waits margin
}

func (c *customerQueue) len() int {
	return len(c.lines[classShort].items) + len(c.lines[classLong].items)
}

// class returns the class that the customer is served from next; lookups win a
// tie. The queue must not be empty.
func (c *customerQueue) class() int {
	short, long := &c.lines[classShort], &c.lines[classLong]
	if len(long.items) == 0 || (len(short.items) > 0 && short.tag <= long.tag) {
		return classShort
	}
	return classLong
}

func (c *customerQueue) push(e *entry) {
	l := &c.lines[classOf(&e.Item)]
	if len(l.items) == 0 {
		l.tag = math.Max(l.tag, c.order)
	}
	l.items = append(l.items, e)
	l.cost += e.Cost
}

func (c *customerQueue) remove(e *entry) {
	l := &c.lines[classOf(&e.Item)]
	i := slices.Index(l.items, e)
	l.items = slices.Delete(l.items, i, i+1)
	l.cost -= e.Cost
	if len(l.items) == 0 {
		l.cost = 0 // drops rounding errors
	}
}

// charge moves the tags by the work of a served item.
func (c *customerQueue) charge(item *Item, shortWeight float64) {
	l := &c.lines[classOf(item)]
	c.order = math.Max(c.order, l.tag)
	l.tag += item.Cost / classWeight(classOf(item), shortWeight)
	c.tag += item.Cost / item.Weight
}

// ahead returns the customer's own work served before a new item of a class:
// all of its line, and of the other line the part by weight.
func (c *customerQueue) ahead(class int, shortWeight float64) float64 {
	own, rival := &c.lines[class], &c.lines[1-class]
	until := math.Max(own.tag, c.order) + own.cost/classWeight(class, shortWeight)
	part := (until - math.Max(rival.tag, c.order)) * classWeight(1-class, shortWeight)
	return own.cost + math.Min(math.Max(part, 0), rival.cost)
}

// servedUntil returns the customer's waiting work that is served before the fair
// queue's virtual time reaches tag. Lookups are served as if their tag were
// lower by lead.
func (c *customerQueue) servedUntil(tag, lead float64) float64 {
	work, at := 0.0, c.tag
	for _, class := range []int{classShort, classLong} {
		for _, e := range c.lines[class].items {
			if at-lead > tag {
				return work
			}
			work += e.Cost
			at += e.Cost / c.weight
		}
		lead = 0
	}
	return work
}

// customerQueues is ordered by name, so that decisions do not depend on a map.
type customerQueues []*customerQueue

func (q customerQueues) search(name string) (int, bool) {
	return slices.BinarySearchFunc(q, name, func(c *customerQueue, name string) int {
		return strings.Compare(c.name, name)
	})
}

func (q customerQueues) find(name string) *customerQueue {
	if i, ok := q.search(name); ok {
		return q[i]
	}
	return nil
}

func (q *customerQueues) findOrAdd(name string) *customerQueue {
	i, ok := q.search(name)
	if !ok {
		*q = slices.Insert(*q, i, &customerQueue{name: name, tag: math.Inf(-1), weight: 1})
	}
	return (*q)[i]
}
