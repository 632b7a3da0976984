package routing

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxHolders limits the servers remembered per prefix, so that the servers of a
// popular prefix do not take longer to compare than the random choices.
const maxHolders = 6

// Probabilities that a server has a prefix cached, by the kind of evidence.
const (
	// confirmedProbability applies after a cache event of the engine or the end of
	// an attempt.
	confirmedProbability = 0.97
	// sentProbability applies after an attempt was sent.
	sentProbability = 0.85
)

// prefixHolder is a server that probably has a prefix cached.
type prefixHolder struct {
	// server is an index into Fleet.servers.
	server      int32
	updatedAt   time.Time
	probability float64
}

// holderSet holds the servers that probably have one prefix cached.
type holderSet struct {
	holders [maxHolders]prefixHolder
	count   int
}

// prefixIndex estimates which servers have which prompt prefixes cached.
type prefixIndex struct {
	entries  *lru.LRU[uint64, *holderSet]
	halfLife time.Duration
	// calibration is the share of the predicted cache hits that were hits, from 0.1
	// to 1. It scales every probability.
	calibration float64
}

func newPrefixIndex(size int, halfLife time.Duration) *prefixIndex {
	entries, err := lru.NewLRU[uint64, *holderSet](max(size, 1), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &prefixIndex{entries: entries, halfLife: halfLife, calibration: 1}
}

// removeServer removes a server that lost its cache or left the fleet.
func (t *prefixIndex) removeServer(server int32) {
	for _, h := range t.entries.Values() {
		h.remove(server)
	}
}

// holdersOf returns the servers of a prefix, or nil when the prefix is 0 or not in
// the index.
func (t *prefixIndex) holdersOf(prefix uint64) *holderSet {
	if prefix == 0 {
		return nil
	}
	h, _ := t.entries.Get(prefix)
	return h
}

// cacheProbability returns the probability that a server has a prefix cached.
func (t *prefixIndex) cacheProbability(now time.Time, prefix uint64, server int32) float64 {
	h := t.holdersOf(prefix)
	if h == nil {
		return 0
	}
	return t.holderProbability(now, h, server)
}

func (t *prefixIndex) holderProbability(now time.Time, h *holderSet, server int32) float64 {
	for i := range h.holders[:h.count] {
		if e := &h.holders[i]; e.server == server {
			return t.calibration * e.probability * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(t.halfLife))
		}
	}
	return 0
}

// recordAttempt records that the prefix was sent to a server, which caches it
// while it processes the prompt.
func (t *prefixIndex) recordAttempt(now time.Time, prefix uint64, server int32) {
	t.set(now, prefix, server, sentProbability)
}

// recordCacheEvent records that the engine of a server cached or evicted a prefix.
func (t *prefixIndex) recordCacheEvent(now time.Time, prefix uint64, server int32, isCached bool) {
	if isCached {
		t.set(now, prefix, server, confirmedProbability)
		return
	}
	if h := t.holdersOf(prefix); h != nil {
		h.remove(server)
	}
}

// recordOutcome adjusts the calibration by the outcome of an attempt for which a
// cache hit was likely. After the attempt, the server has the prefix cached, whether
// or not it had it before.
func (t *prefixIndex) recordOutcome(now time.Time, prefix uint64, server int32, wasHit bool) {
	if prefix == 0 {
		return
	}
	observed := 0.0
	if wasHit {
		observed = 1
	}
	if predicted := t.cacheProbability(now, prefix, server); predicted > 0.5 {
		t.calibration = min(max(t.calibration+0.01*(observed-t.calibration), 0.1), 1)
	}
	t.set(now, prefix, server, confirmedProbability)
}

func (t *prefixIndex) set(now time.Time, prefix uint64, server int32, probability float64) {
	if prefix == 0 {
		return
	}
	h := t.holdersOf(prefix)
	if h == nil {
		h = &holderSet{}
		t.entries.Add(prefix, h)
	}
	h.set(prefixHolder{server: server, updatedAt: now, probability: probability})
}

// set replaces the entry of the same server. Without one it uses a free entry, or
// replaces the least recently updated one.
func (h *holderSet) set(e prefixHolder) {
	oldest := 0
	for i := range h.holders[:h.count] {
		if h.holders[i].server == e.server {
			h.holders[i] = e
			return
		}
		if h.holders[i].updatedAt.Before(h.holders[oldest].updatedAt) {
			oldest = i
		}
	}
	if h.count < maxHolders {
		h.holders[h.count] = e
		h.count++
		return
	}
	h.holders[oldest] = e
}

func (h *holderSet) remove(server int32) {
	for i := range h.holders[:h.count] {
		if h.holders[i].server == server {
			h.count--
			h.holders[i] = h.holders[h.count]
			return
		}
	}
}
