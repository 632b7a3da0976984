package limits

import "math"

// classQueue is a start-time fair queue over the customers of one class.
type classQueue struct {
	// tag is the class's own tag in the queue above.
	tag       float64
	virtual   float64
	count     int
	cost      float64
	customers map[string]*customerQueue
}

type customerQueue struct {
	name  string
	tag   float64
	live  int
	items []*waiting
}

func (c *classQueue) push(w *waiting) {
	q, ok := c.customers[w.item.Customer]
	if !ok {
		q = &customerQueue{name: w.item.Customer}
		c.customers[w.item.Customer] = q
	}
	if q.live == 0 {
		q.tag = math.Max(q.tag, c.virtual)
		q.items = nil
	}
	q.items = append(q.items, w)
	q.live++
	c.count++
	c.cost += w.item.Cost
}

// next returns the customer with the lowest tag; equal tags are ordered by name
// so that the order does not depend on the map.
func (c *classQueue) next() *customerQueue {
	var best *customerQueue
	for _, q := range c.customers {
		if q.live == 0 {
			continue
		}
		if best == nil || q.tag < best.tag || (q.tag == best.tag && q.name < best.name) {
			best = q
		}
	}
	return best
}

// pop takes the first item of the next customer; the class must not be empty.
func (c *classQueue) pop() *waiting {
	q := c.next()
	for q.items[0].removed {
		q.items = q.items[1:]
	}
	w := q.items[0]
	q.items = q.items[1:]
	w.removed = true
	c.left(q, w)
	return w
}

// remove marks an item as gone; its slot is skipped later.
func (c *classQueue) remove(w *waiting) {
	w.removed = true
	c.left(c.customers[w.item.Customer], w)
}

func (c *classQueue) left(q *customerQueue, w *waiting) {
	q.live--
	c.count--
	c.cost -= w.item.Cost
	if c.count == 0 {
		c.cost = 0
	}
	if q.live == 0 {
		q.items = nil
	}
}

// charge moves a customer's tag by the work served.
func (c *classQueue) charge(item *Item) {
	q := c.customers[item.Customer]
	c.virtual = math.Max(c.virtual, q.tag)
	q.tag += item.Cost / item.Weight
	c.prune()
}

// adjust corrects a tag after the true work is known. The tag never falls below
// the class's virtual time, so a corrected customer gains no stored credit.
func (c *classQueue) adjust(customer string, by float64) {
	if q, ok := c.customers[customer]; ok {
		q.tag = math.Max(q.tag+by, c.virtual)
	}
}

// prune forgets idle customers without debt, which bounds the map.
func (c *classQueue) prune() {
	const keep = 64
	if len(c.customers) <= keep {
		return
	}
	for name, q := range c.customers {
		if q.live == 0 && q.tag <= c.virtual {
			delete(c.customers, name)
		}
	}
}
