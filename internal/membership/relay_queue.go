package membership

// maxRelayItems bounds the number of queued items.
const maxRelayItems = 4096

// relayQueue is a FIFO queue of items that are each sent a bounded number of times.
// A sent item goes to the end of the queue, so that all items get their turn.
type relayQueue[K comparable] struct {
	maxSends int
	queue    []K
	sends    map[K]int
}

// newRelayQueue returns a queue that sends each item at most limit times.
func newRelayQueue[K comparable](limit int) relayQueue[K] {
	return relayQueue[K]{maxSends: limit, sends: map[K]int{}}
}

// add queues an item, or resets the send count of one that is already queued. The
// oldest item is dropped when the queue is full.
func (r *relayQueue[K]) add(key K) {
	if _, ok := r.sends[key]; !ok {
		if len(r.queue) >= maxRelayItems {
			delete(r.sends, r.queue[0])
			r.queue = r.queue[1:]
		}
		r.queue = append(r.queue, key)
	}
	r.sends[key] = 0
}

// dequeue returns the items that fit into the budget, counts them as sent and
// subtracts their sizes, in bytes, from the budget. The size function returns false
// for an item that must not be relayed any more; it is dropped. With
// allowOversized, the first item is returned even if it exceeds the budget, because
// it would block the queue otherwise.
func (r *relayQueue[K]) dequeue(budget *int, allowOversized bool, size func(K) (int, bool)) []K {
	var keys []K
	for range len(r.queue) {
		key := r.queue[0]
		bytes, ok := size(key)
		if ok && bytes > *budget && (!allowOversized || len(keys) > 0) {
			break
		}
		r.queue = r.queue[1:]
		if !ok {
			delete(r.sends, key)
			continue
		}
		*budget -= bytes
		keys = append(keys, key)
		r.sends[key]++
		if r.sends[key] >= r.maxSends {
			delete(r.sends, key)
			continue
		}
		r.queue = append(r.queue, key)
	}
	return keys
}
