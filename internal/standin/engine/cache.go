package engine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCacheEvents is the maximum number of cache events kept. Readers see a gap in the sequence
// numbers in place of older events.
const maxCacheEvents = 4096

// CacheEvent reports that a prefix was cached or evicted. Kind is "cached" or "evicted",
// Prefix a fingerprint of Fingerprint.
type CacheEvent struct {
	Sequence    int64  `json:"sequence"`
	Kind        string `json:"kind"`
	Prefix      string `json:"prefix"`
	Version     string `json:"version"`
	publishedAt time.Time
}

type cacheKey struct{ version, prefix string }

// cache is the prefix cache. Cached prefixes use the memory that running requests do not
// reserve. The engine's mutex guards it.
type cache struct {
	capacityTokens int
	runningTokens  int // reserved by running requests
	prefixTokens   int // in cached prefixes
	prefixes       *simplelru.LRU[cacheKey, int]
	events         []CacheEvent
	lastSequence   int64
	dropEveryNth   int
}

func newCache(capacity, dropNth int) *cache {
	c := &cache{capacityTokens: capacity, dropEveryNth: dropNth}
	// The LRU's own limit counts entries; evictToCapacity limits the tokens.
	c.prefixes, _ = simplelru.NewLRU(max(capacity, 1), func(k cacheKey, tokens int) {
		c.prefixTokens -= tokens
		c.publish("evicted", k)
	})
	return c
}

// reserve reserves tokens for a request and evicts prefixes as needed. It returns false when
// the request does not fit beside the running requests. A request always fits when none
// runs.
func (c *cache) reserve(tokens int) bool {
	if c.runningTokens > 0 && c.runningTokens+tokens > c.capacityTokens {
		return false
	}
	c.runningTokens += tokens
	c.evictToCapacity()
	return true
}

func (c *cache) release(tokens int) { c.runningTokens -= tokens }

// evictToCapacity evicts the least recently used prefixes until all tokens fit.
func (c *cache) evictToCapacity() {
	for c.runningTokens+c.prefixTokens > c.capacityTokens && c.prefixes.Len() > 0 {
		c.prefixes.RemoveOldest()
	}
}

// lookup returns the number of cached tokens of a prefix, 0 when it is not cached.
func (c *cache) lookup(k cacheKey) int {
	tokens, _ := c.prefixes.Get(k)
	return tokens
}

func (c *cache) add(k cacheKey, tokens int) {
	if c.prefixes.Contains(k) || tokens > c.capacityTokens {
		return
	}
	c.prefixes.Add(k, tokens)
	c.prefixTokens += tokens
	c.publish("cached", k)
	c.evictToCapacity()
}

// evictVersion evicts all prefixes of a version.
func (c *cache) evictVersion(version string) {
	for _, k := range c.prefixes.Keys() {
		if k.version == version {
			c.prefixes.Remove(k)
		}
	}
}

func (c *cache) usedFraction() float64 {
	if c.capacityTokens == 0 {
		return 0
	}
	return float64(c.runningTokens+c.prefixTokens) / float64(c.capacityTokens)
}

// publish appends an event. It drops every n-th event, n being dropEveryNth, which leaves a
// gap in the sequence numbers.
func (c *cache) publish(kind string, k cacheKey) {
	c.lastSequence++
	if c.dropEveryNth > 0 && c.lastSequence%int64(c.dropEveryNth) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Sequence: c.lastSequence, Kind: kind, Prefix: k.prefix, Version: k.version, publishedAt: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent{}, c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with a sequence number above n that were published until
// the given time, and the sequence number to continue from.
func (c *cache) eventsAfter(n int64, until time.Time) (events []CacheEvent, next int64) {
	next = n
	events = []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > n && !e.publishedAt.After(until) {
			events = append(events, e)
			next = e.Sequence
		}
	}
	return events, next
}
