package engine

import (
	"context"
	"strconv"
)

// Kinds of cache events.
const (
	EventCached  = "cached"
	EventEvicted = "evicted"
)

// CacheEvent is a change of the engine's prefix cache.
type CacheEvent struct {
	// Sequence rises from 1; gaps are lost events.
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	// Prefix is the prefix fingerprint in 16 hex digits.
	Prefix  string `json:"prefix"`
	Version string `json:"version"`
}

// Events returns the cache events above a sequence number, oldest first.
func (c *Client) Events(ctx context.Context, after int64) ([]CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var answer struct {
		Events []CacheEvent `json:"events"`
	}
	err := c.get(ctx, "/v1/events?after="+strconv.FormatInt(after, 10), &answer)
	return answer.Events, err
}
