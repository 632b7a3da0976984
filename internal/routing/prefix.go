package routing

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxHolders bounds the servers remembered per prefix, so that a popular prefix
// costs no more in a decision than the random choices do.
const maxHolders = 6

// Probabilities that a prefix is cached, by the kind of evidence.
const (
	confirmedProbability = 0.97
	routedProbability    = 0.85
)

// holder is the belief that one server caches a prefix.
type holder struct {
	server      int32
	at          time.Time
	probability float64
}

// holders are the servers believed to cache one prefix.
type holders struct {
	list [maxHolders]holder
	n    int
}

// prefixTable remembers which servers hold which prefixes.
type prefixTable struct {
	entries  *lru.LRU[uint64, *holders]
	halfLife time.Duration
	// calibration is the measured share of believed hits that were hits.
	calibration float64
}

func newPrefixTable(size int, halfLife time.Duration) *prefixTable {
	entries, err := lru.NewLRU[uint64, *holders](max(size, 1), nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &prefixTable{entries: entries, halfLife: halfLife, calibration: 1}
}

// forget removes a server whose cache is gone.
func (t *prefixTable) forget(server int32) {
	for _, h := range t.entries.Values() {
		h.remove(server)
	}
}

func (t *prefixTable) find(prefix uint64) *holders {
	if prefix == 0 {
		return nil
	}
	h, _ := t.entries.Get(prefix)
	return h
}

func (t *prefixTable) probability(now time.Time, prefix uint64, server int32) float64 {
	h := t.find(prefix)
	if h == nil {
		return 0
	}
	return t.believed(now, h, server)
}

func (t *prefixTable) believed(now time.Time, h *holders, server int32) float64 {
	for i := range h.list[:h.n] {
		if e := &h.list[i]; e.server == server {
			return t.calibration * e.probability * math.Exp2(-float64(now.Sub(e.at))/float64(t.halfLife))
		}
	}
	return 0
}

// routed records that the prefix was sent to a server, which caches it.
func (t *prefixTable) routed(now time.Time, prefix uint64, server int32) {
	t.set(now, prefix, server, routedProbability)
}

// event records a cache event.
func (t *prefixTable) event(now time.Time, prefix uint64, server int32, isCached bool) {
	if isCached {
		t.set(now, prefix, server, confirmedProbability)
		return
	}
	if h := t.find(prefix); h != nil {
		h.remove(server)
	}
}

// outcome compares the belief with what the engine reported and corrects both
// the entry and the calibration.
func (t *prefixTable) outcome(now time.Time, prefix uint64, server int32, hit bool) {
	if prefix == 0 {
		return
	}
	observed := 0.0
	if hit {
		observed = 1
	}
	if believed := t.probability(now, prefix, server); believed > 0.5 {
		t.calibration = min(max(t.calibration+0.01*(observed-t.calibration), 0.1), 1)
	}
	t.set(now, prefix, server, confirmedProbability)
}

func (t *prefixTable) set(now time.Time, prefix uint64, server int32, probability float64) {
	if prefix == 0 {
		return
	}
	h := t.find(prefix)
	if h == nil {
		h = &holders{}
		t.entries.Add(prefix, h)
	}
	h.set(holder{server: server, at: now, probability: probability})
}

// set replaces the entry of the server, else a free one, else the oldest.
func (h *holders) set(e holder) {
	oldest := 0
	for i := range h.list[:h.n] {
		if h.list[i].server == e.server {
			h.list[i] = e
			return
		}
		if h.list[i].at.Before(h.list[oldest].at) {
			oldest = i
		}
	}
	if h.n < maxHolders {
		h.list[h.n] = e
		h.n++
		return
	}
	h.list[oldest] = e
}

func (h *holders) remove(server int32) {
	for i := range h.list[:h.n] {
		if h.list[i].server == server {
			h.n--
			h.list[i] = h.list[h.n]
			return
		}
	}
}
