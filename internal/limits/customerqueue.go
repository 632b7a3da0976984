package limits

import (
	"math"
	"slices"
	"strings"
)

// customerQueue holds the waiting items of one customer.
type customerQueue struct {
	name   string
	weight float64
	// strict is FairQueueOptions.Strict.
	strict bool
	// virtualTime is the customer's start tag in the fair queue: the work served
	// for it, in tokens per unit of weight.
	virtualTime float64
	// classVirtualTime is the virtual time of the fair queue between the customer's
	// classes.
	classVirtualTime float64
	// servedRate estimates the work started for the customer, in tokens/s.
	servedRate rateEstimator
	classes    [classCount]classQueue
}

// classQueue is the FIFO queue of one class of a customer. Of a customer's
// classes, the one with the lowest virtual time is served first, in a strict queue
// the highest one.
type classQueue struct {
	virtualTime float64
	// totalCost is the sum of the costs of items, in tokens.
	totalCost float64
	items     []*queuedItem
	// waitMargin is the margin added to predicted waits.
	waitMargin marginEstimator
}

func (c *customerQueue) len() int {
	n := 0
	for class := range c.classes {
		n += len(c.classes[class].items)
	}
	return n
}

// lowestClass returns the lowest class with waiting items, -1 without any.
func (c *customerQueue) lowestClass() int {
	for class := range c.classes {
		if len(c.classes[class].items) > 0 {
			return class
		}
	}
	return -1
}

// waitsFrom reports whether an item of a class or a higher one waits.
func (c *customerQueue) waitsFrom(class int) bool {
	for ; class <= MaxClass; class++ {
		if len(c.classes[class].items) > 0 {
			return true
		}
	}
	return false
}

// nextClass returns the class from which the customer is served next. The higher
// class wins a tie. The queue must not be empty.
func (c *customerQueue) nextClass() int {
	next := -1
	for class := MaxClass; class >= 0; class-- {
		queue := &c.classes[class]
		if len(queue.items) > 0 && (next < 0 || !c.strict && queue.virtualTime < c.classes[next].virtualTime) {
			next = class
		}
	}
	return next
}

func (c *customerQueue) push(e *queuedItem) {
	queue := &c.classes[classOf(&e.Item)]
	if len(queue.items) == 0 {
		queue.virtualTime = math.Max(queue.virtualTime, c.classVirtualTime)
	}
	at := len(queue.items)
	for at > 0 && e.since().Before(queue.items[at-1].since()) {
		at--
	}
	queue.items = slices.Insert(queue.items, at, e)
	queue.totalCost += e.Cost
}

func (c *customerQueue) remove(e *queuedItem) {
	queue := &c.classes[classOf(&e.Item)]
	i := slices.Index(queue.items, e)
	queue.items = slices.Delete(queue.items, i, i+1)
	queue.totalCost -= e.Cost
	if len(queue.items) == 0 {
		queue.totalCost = 0 // discards rounding errors
	}
}

// charge advances the virtual times of the customer and of the item's class by the
// cost of a served item.
func (c *customerQueue) charge(item *Item, shortWeight float64) {
	queue := &c.classes[classOf(item)]
	c.classVirtualTime = math.Max(c.classVirtualTime, queue.virtualTime)
	queue.virtualTime += item.Cost / classWeight(classOf(item), shortWeight)
	c.virtualTime += item.Cost / item.Weight
}

// workAhead returns the customer's own work, in tokens, that is served before a new
// item of a class: all work queued in that class, and the work of the other classes
// that the class weights let run in the same time.
func (c *customerQueue) workAhead(class int, shortWeight float64) float64 {
	own := &c.classes[class]
	if c.strict {
		total := 0.0
		for i := class; i <= MaxClass; i++ {
			total += c.classes[i].totalCost
		}
		return total
	}
	end := math.Max(own.virtualTime, c.classVirtualTime) + own.totalCost/classWeight(class, shortWeight)
	total := own.totalCost
	for i := range c.classes {
		other := &c.classes[i]
		if i == class || other.totalCost == 0 {
			continue
		}
		work := (end - math.Max(other.virtualTime, c.classVirtualTime)) * classWeight(i, shortWeight)
		total += math.Min(math.Max(work, 0), other.totalCost)
	}
	return total
}

// workServedBefore returns the customer's waiting work, in tokens, that is served
// before the fair queue's virtual time reaches limit. The start tags of each class
// count as lower by lead than those of the class below it.
func (c *customerQueue) workServedBefore(limit, lead float64) float64 {
	work, virtualTime := 0.0, c.virtualTime
	for class := MaxClass; class >= 0; class-- {
		for _, e := range c.classes[class].items {
			if virtualTime-lead*float64(class) > limit {
				return work
			}
			work += e.Cost
			virtualTime += e.Cost / c.weight
		}
	}
	return work
}

// customerQueues is sorted by customer name, so that scheduling does not depend on
// the iteration order of a map.
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

func (q *customerQueues) findOrInsert(name string) *customerQueue {
	i, ok := q.search(name)
	if !ok {
		*q = slices.Insert(*q, i, &customerQueue{name: name, virtualTime: math.Inf(-1), weight: 1})
	}
	return (*q)[i]
}
