package entry

import (
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
)

// applyCacheChanges updates the prefix cache state that routing keeps for a
// backend server. Changes reported by an earlier incarnation are ignored.
func (c *Core) applyCacheChanges(now time.Time, server string, incarnation int, changes *api.CacheNews) {
	s, ok := c.servers[server]
	if changes == nil || !ok || s.Incarnation != incarnation {
		return
	}
	c.applyCacheKeys(now, server, changes.Evicted, false)
	c.applyCacheKeys(now, server, changes.Cached, true)
}

// applyCacheKeys records prefix keys, written in hexadecimal, as cached or
// evicted. Keys that are not numbers are ignored.
func (c *Core) applyCacheKeys(now time.Time, server string, keys []string, cached bool) {
	for _, text := range keys {
		key, err := strconv.ParseUint(text, 16, 64)
		if err == nil {
			c.fleet.RecordCacheEvent(now, server, key, cached)
		}
	}
}
