package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

// Guards against cache changes that exceed their share of the control traffic: 20
// entries read for 100 s while the engine's cache changes faster than the budget
// allows to send.
func TestCacheNewsStaysWithinBudget(t *testing.T) {
	const readers, seconds = 20, 100
	log := NewCacheChangeLog[int]()
	sent := 0
	for step := range seconds * 50 {
		now := testStart.Add(time.Duration(step) * 20 * time.Millisecond)
		log.Add(fmt.Sprintf("%016x", step), step%2 == 0)
		if message := log.NextMessage(now, step%readers); message != nil {
			raw, err := json.Marshal(map[string]any{"cacheNews": message})
			assert.NilError(t, err)
			sent += len(raw)
		}
	}
	assert.Assert(t, sent <= budgetBytesPerSecond*seconds+budgetBurstBytes, "sent %d bytes", sent)
	assert.Assert(t, sent > budgetBytesPerSecond*seconds/2, "sent %d bytes", sent)
}

// Guards against a reader whose final state of a key differs from the log, because
// a change was delivered twice, not at all, or after a newer change of that key.
func TestCacheLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, now := NewCacheChangeLog[int](), testStart
		var want [8]string
		got := map[int]map[string]string{0: {}, 1: {}}
		receive := func(reader int) bool {
			message := log.NextMessage(now, reader)
			if message == nil {
				return false
			}
			for _, k := range message.Evicted {
				got[reader][k] = "evicted"
			}
			for _, k := range message.Cached {
				got[reader][k] = "cached"
			}
			return true
		}
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 {
				receive(rapid.IntRange(0, 1).Draw(t, "reader"))
				continue
			}
			k, cached := rapid.IntRange(0, 7).Draw(t, "key"), rapid.Bool().Draw(t, "cached")
			log.Add(fmt.Sprint(k), cached)
			want[k] = map[bool]string{true: "cached", false: "evicted"}[cached]
		}
		for reader := range 2 {
			now = now.Add(time.Minute)
			for receive(reader) {
				now = now.Add(time.Minute)
			}
		}
		assert.Assert(t, len(log.changes) <= maxRetainedChanges)
		for _, c := range log.changes {
			var k int
			_, err := fmt.Sscan(c.key, &k)
			assert.NilError(t, err)
			assert.Equal(t, got[0][c.key], want[k])
			assert.Equal(t, got[1][c.key], want[k])
		}
	})
}
