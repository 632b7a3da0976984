package perf

import (
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/peer"
)

// emptyHandler answers every call with an empty object.
type emptyHandler struct{}

// Serve implements peer.Handler.
func (emptyHandler) Serve(_ *peer.Link, call *peer.Call) { call.Respond(struct{}{}) }

// LinkOpened implements peer.Handler.
func (emptyHandler) LinkOpened(*peer.Link) {}

// LinkClosed implements peer.Handler.
func (emptyHandler) LinkClosed(*peer.Link) {}

func newNode(i int) *peer.Node {
	return peer.NewNode(peer.Options{Handler: emptyHandler{}, Local: func() api.Hello { return api.Hello{Member: testMember(i)} }})
}

// TestSlopesLinks measures the heap and stack memory of one end of a link between
// daemons, without kernel memory.
func TestSlopesLinks(t *testing.T) {
	requirePerfFlag(t)
	server := newNode(0)
	defer server.Close()
	address, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var used []float64
	for _, n := range memberCounts {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var clients []*peer.Node
		for i := range n {
			client := newNode(i + 1)
			link, err := client.Link(context.Background(), address)
			assert.NilError(t, err)
			assert.NilError(t, link.Call(context.Background(), peer.MethodProbe, api.ProbeParams{}, nil))
			clients = append(clients, client)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
		used = append(used, bytes/2)
		t.Logf("%d links: %.0f kB for one end each", n, bytes/2000)
		for _, client := range clients {
			client.Close()
		}
	}
	t.Logf("one end of a link: %.1f kB", slope(used)/1000)
}
