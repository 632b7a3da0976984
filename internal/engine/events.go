package engine

import (
	"context"
	"strconv"
)

// Kinds of cache events: a prefix was added to the cache or removed from it.
const (
	EventCached  = "cached"
	EventEvicted = "evicted"
)

// CacheEvent is one change of the engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by 1 per event, from 1; a gap means that events were lost.
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	// Prefix is the hash of the cached prefix, as 16 hex digits.
	Prefix  string `json:"prefix"`
	Version string `json:"version"`
}

// CacheEvents returns the cache events with a sequence number above after, oldest first,
// from GET /v1/events.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	var response struct {
		Events []CacheEvent `json:"events"`
	}
	err := c.get(ctx, "/v1/events?after="+strconv.FormatInt(after, 10), &response)
	return response.Events, err
}
