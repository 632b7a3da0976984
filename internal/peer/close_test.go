package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a node that dials a link while Close waits for its goroutines. The
// race detector reports such a dial.
func TestLinkDuringClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	for range 300 {
		node, _ := newTestNode("a")
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() { _, _ = node.Link(context.Background(), listener.Addr().String()) })
		}
		node.Close()
		callers.Wait()
	}
}

// Guards against calls of a closed node that open a link or a listener.
func TestClosedNodeRefusesCalls(t *testing.T) {
	node, _ := newTestNode("a")
	node.Close()
	_, err := node.Link(context.Background(), "127.0.0.1:1")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.Assert(t, errors.Is(err, errClosed), "%v", err)
	assert.Equal(t, len(node.outgoing), 0)
	_, err = node.Listen("127.0.0.1:0")
	assert.Assert(t, errors.Is(err, errClosed), "%v", err)
}
