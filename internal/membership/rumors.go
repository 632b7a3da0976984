package membership

// maxRumors bounds the items that wait to be relayed.
const maxRumors = 4096

// rumors are items that are passed on to a bounded number of peers, in turn, so
// that the least relayed items go first.
type rumors[K comparable] struct {
	limit int
	queue []K
	sends map[K]int
}

// newRumors relays each item at most limit times.
func newRumors[K comparable](limit int) rumors[K] {
	return rumors[K]{limit: limit, sends: map[K]int{}}
}

// add starts relaying an item afresh.
func (r *rumors[K]) add(key K) {
	if _, ok := r.sends[key]; !ok {
		if len(r.queue) >= maxRumors {
			delete(r.sends, r.queue[0])
			r.queue = r.queue[1:]
		}
		r.queue = append(r.queue, key)
	}
	r.sends[key] = 0
}

// take returns the items that fit into the budget and lowers it. The size
// function returns false for an item that is not to be relayed any more. With
// alone, an item larger than the whole budget is taken if it comes first, else it
// would block the queue.
func (r *rumors[K]) take(budget *int, alone bool, size func(K) (int, bool)) []K {
	var taken []K
	for range len(r.queue) {
		key := r.queue[0]
		bytes, ok := size(key)
		if ok && bytes > *budget && (!alone || len(taken) > 0) {
			break
		}
		r.queue = r.queue[1:]
		if !ok {
			delete(r.sends, key)
			continue
		}
		*budget -= bytes
		taken = append(taken, key)
		r.sends[key]++
		if r.sends[key] >= r.limit {
			delete(r.sends, key)
			continue
		}
		r.queue = append(r.queue, key)
	}
	return taken
}
