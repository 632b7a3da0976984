package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/news"
	"github.com/borageflow/borageflow/internal/overload"
)

// Guards against buffers that requests, health checks and other instances share, each within its bound, that do not fit
// beside the memory for requests. The instances are those that are deployed; the smallest may be a relay.
func TestSharedBuffersFitBesideRequests(t *testing.T) {
	for _, l := range []overload.Limits{
		{MemoryBytes: 136e6, Descriptors: 2870},
		{MemoryBytes: 184e6, Descriptors: 4100},
		{MemoryBytes: 284e6, Descriptors: 4100},
		{MemoryBytes: 536e6, Descriptors: 8192},
	} {
		const ports, buffers, goroutine = 2, 8 << 10, 8 << 10
		healthChecks := ports * maxHealthConnections * int64(buffers+goroutine+2*maxHealthHeaderBytes+2*l.CallerReceiveBufferBytes())
		relay := l.Peers().MessageBytes + news.MaxWaitingCalls*goroutine
		sum := l.Reserved() + sharedBufferBytes + maxQueuedLogBytes + healthChecks + relay
		assert.Check(t, sum <= l.MemoryBytes, "%d bytes of %d", sum, l.MemoryBytes)
	}
}
