package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var logStart = time.Unix(1_700_000_000, 0)

// Guards against readers that exceed their part of the control budget: 20 entries
// read for 100 s while the engine's cache changes faster than may be told.
func TestCacheNewsStaysWithinBudget(t *testing.T) {
	const readers, seconds = 20, 100
	log := NewCacheLog[int]()
	sent := 0
	for step := range seconds * 50 {
		now := logStart.Add(time.Duration(step) * 20 * time.Millisecond)
		log.Add(fmt.Sprintf("%016x", step), step%2 == 0)
		if news := log.Take(now, step%readers); news != nil {
			raw, err := json.Marshal(map[string]any{"cacheNews": news})
			assert.NilError(t, err)
			sent += len(raw)
		}
	}
	assert.Assert(t, sent <= newsRate*seconds+newsBurst, "sent %d bytes", sent)
	assert.Assert(t, sent > newsRate*seconds/2, "sent %d bytes", sent)
}

// Guards against a reader that ends with another last state of a key than the
// log, gets a change twice, or gets a change that it missed after a newer one.
func TestCacheLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, now := NewCacheLog[int](), logStart
		var want [8]string
		got := map[int]map[string]string{0: {}, 1: {}}
		take := func(reader int) bool {
			news := log.Take(now, reader)
			if news == nil {
				return false
			}
			for _, k := range news.Evicted {
				got[reader][k] = "evicted"
			}
			for _, k := range news.Cached {
				got[reader][k] = "cached"
			}
			return true
		}
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 {
				take(rapid.IntRange(0, 1).Draw(t, "reader"))
				continue
			}
			k, cached := rapid.IntRange(0, 7).Draw(t, "key"), rapid.Bool().Draw(t, "cached")
			log.Add(fmt.Sprint(k), cached)
			want[k] = map[bool]string{true: "cached", false: "evicted"}[cached]
		}
		for reader := range 2 {
			now = now.Add(time.Minute)
			for take(reader) {
				now = now.Add(time.Minute)
			}
		}
		assert.Assert(t, len(log.changes) <= maxCacheChanges)
		for _, c := range log.changes {
			var k int
			_, err := fmt.Sscan(c.key, &k)
			assert.NilError(t, err)
			assert.Equal(t, got[0][c.key], want[k])
			assert.Equal(t, got[1][c.key], want[k])
		}
	})
}
