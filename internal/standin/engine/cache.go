package engine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxEvents bounds the kept cache events; older ones are a gap for the reader.
const maxEvents = 4096

// CacheEvent tells that a prefix was cached or evicted.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	Version  string `json:"version"`
	at       time.Time
}

type cacheKey struct{ version, prefix string }

// cache holds prompt prefixes in the memory that running requests leave free.
// The engine's mutex guards it.
type cache struct {
	capacity int // tokens
	running  int // tokens held by running requests
	held     int // tokens held by cached prefixes
	prefixes *simplelru.LRU[cacheKey, int]
	events   []CacheEvent
	sequence int64
	dropNth  int
}

func newCache(capacity, dropNth int) *cache {
	c := &cache{capacity: capacity, dropNth: dropNth}
	// The size bound of the library counts entries; tokens are bounded here.
	c.prefixes, _ = simplelru.NewLRU(max(capacity, 1), func(k cacheKey, tokens int) {
		c.held -= tokens
		c.publish("evicted", k)
	})
	return c
}

// reserve takes tokens for a running request, evicting prefixes as needed. It
// reports false when the request does not fit beside the running ones.
func (c *cache) reserve(tokens int) bool {
	if c.running > 0 && c.running+tokens > c.capacity {
		return false
	}
	c.running += tokens
	c.shrink()
	return true
}

func (c *cache) release(tokens int) { c.running -= tokens }

func (c *cache) shrink() {
	for c.running+c.held > c.capacity && c.prefixes.Len() > 0 {
		c.prefixes.RemoveOldest()
	}
}

// lookup returns the cached tokens of a prefix.
func (c *cache) lookup(k cacheKey) int {
	tokens, _ := c.prefixes.Get(k)
	return tokens
}

func (c *cache) add(k cacheKey, tokens int) {
	if c.prefixes.Contains(k) || tokens > c.capacity {
		return
	}
	c.prefixes.Add(k, tokens)
	c.held += tokens
	c.publish("cached", k)
	c.shrink()
}

// forget evicts every prefix of a version.
func (c *cache) forget(version string) {
	for _, k := range c.prefixes.Keys() {
		if k.version == version {
			c.prefixes.Remove(k)
		}
	}
}

func (c *cache) used() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.running+c.held) / float64(c.capacity)
}

// publish appends an event. Every dropNth event is lost, which leaves a gap in
// the sequence numbers.
func (c *cache) publish(kind string, k cacheKey) {
	c.sequence++
	if c.dropNth > 0 && c.sequence%int64(c.dropNth) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Sequence: c.sequence, Kind: kind, Prefix: k.prefix, Version: k.version, at: time.Now(),
	})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent{}, c.events[len(c.events)-maxEvents/2:]...)
	}
}

// after returns the events above sequence n that happened before until.
func (c *cache) after(n int64, until time.Time) (events []CacheEvent, next int64) {
	next = n
	events = []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > n && !e.at.After(until) {
			events = append(events, e)
			next = e.Sequence
		}
	}
	return events, next
}
