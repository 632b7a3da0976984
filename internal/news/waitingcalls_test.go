package news

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/peer"
)

// Guards against a peer whose calls wait in any number, each with a goroutine: 400 links took 563 MB in seconds. Load: a
// gateway watches five topics, and three relays serve 370 gateways.
func TestWaitingCallsAreBounded(t *testing.T) {
	w := newWaitingCalls()
	for range 370/3 + 1 {
		link := &peer.Link{}
		for range 5 {
			assert.Assert(t, w.begin(link), "the calls of a large fleet are refused")
		}
	}
	crowd := &peer.Link{}
	taken := 0
	for w.begin(crowd) {
		taken++
	}
	assert.Equal(t, taken, maxCallsPerLink)
	for w.begin(&peer.Link{}) {
	}
	assert.Equal(t, w.total, MaxWaitingCalls)
	for link, n := range w.byLink {
		for range n {
			w.end(link)
		}
	}
	assert.Equal(t, w.total, 0)
	assert.Equal(t, len(w.byLink), 0)
}
