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
	// virtualTime is the customer's start tag in the fair queue: the work served
	// for it, in tokens per unit of weight.
	virtualTime float64
	// classVirtualTime is the virtual time of the fair queue between the customer's
	// two classes.
	classVirtualTime float64
	// servedRate estimates the work started for the customer, in tokens/s.
	servedRate rateEstimator
	classes    [classCount]classQueue
}

// classQueue is the FIFO queue of one class of a customer. Of a customer's two
// classes, the one with the lower virtual time is served first.
type classQueue struct {
	virtualTime float64
	// totalCost is the sum of the costs of items, in tokens.
	totalCost float64
	items     []*queuedItem
	// waitMargin is the margin added to predicted waits.
	waitMargin marginEstimator
}

func (c *customerQueue) len() int {
	return len(c.classes[classShort].items) + len(c.classes[classLong].items)
}

// nextClass returns the class from which the customer is served next. Lookups win
// a tie. The queue must not be empty.
func (c *customerQueue) nextClass() int {
	short, long := &c.classes[classShort], &c.classes[classLong]
	if len(long.items) == 0 || (len(short.items) > 0 && short.virtualTime <= long.virtualTime) {
		return classShort
	}
	return classLong
}

func (c *customerQueue) push(e *queuedItem) {
	queue := &c.classes[classOf(&e.Item)]
	if len(queue.items) == 0 {
		queue.virtualTime = math.Max(queue.virtualTime, c.classVirtualTime)
	}
	queue.items = append(queue.items, e)
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
// item of a class: all work queued in that class, and the work of the other class
// that the class weights let run in the same time.
func (c *customerQueue) workAhead(class int, shortWeight float64) float64 {
	ownQueue, otherQueue := &c.classes[class], &c.classes[1-class]
	ownEnd := math.Max(ownQueue.virtualTime, c.classVirtualTime) + ownQueue.totalCost/classWeight(class, shortWeight)
	otherWork := (ownEnd - math.Max(otherQueue.virtualTime, c.classVirtualTime)) * classWeight(1-class, shortWeight)
	return ownQueue.totalCost + math.Min(math.Max(otherWork, 0), otherQueue.totalCost)
}

// workServedBefore returns the customer's waiting work, in tokens, that is served
// before the fair queue's virtual time reaches limit. Lookups are served as if
// their start tag were lower by lead.
func (c *customerQueue) workServedBefore(limit, lead float64) float64 {
	work, virtualTime := 0.0, c.virtualTime
	for _, class := range []int{classShort, classLong} {
		for _, e := range c.classes[class].items {
			if virtualTime-lead > limit {
				return work
			}
			work += e.Cost
			virtualTime += e.Cost / c.weight
		}
		lead = 0
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
