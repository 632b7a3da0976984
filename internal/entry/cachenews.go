package entry

import (
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
)

// cacheNews passes changes of an engine's prefix cache to the choice of backend
// servers. Those of an earlier incarnation are left out, and so are keys that are
// not numbers.
func (c *Core) cacheNews(now time.Time, server string, incarnation int, news *api.CacheNews) {
	s, ok := c.servers[server]
	if news == nil || !ok || s.Incarnation != incarnation {
		return
	}
	c.cacheEvents(now, server, news.Evicted, false)
	c.cacheEvents(now, server, news.Cached, true)
}

func (c *Core) cacheEvents(now time.Time, server string, keys []string, cached bool) {
	for _, text := range keys {
		key, err := strconv.ParseUint(text, 16, 64)
		if err == nil {
			c.fleet.CacheEvent(now, server, key, cached)
		}
	}
}
