package peer

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/overload"
)

// dialRaw opens a connection to a node and sends the length of a message and n bytes of it.
func dialRaw(t *testing.T, address string, length, n int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))                                            // fails only on a closed connection
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(length)), make([]byte, n)...)) // a refusal shows at a read
	return c
}

// Guards against a first message of megabytes, which needs no hello, and against links without a hello that keep all
// other instances out.
func TestLinksWithoutHelloAreBounded(t *testing.T) {
	const links = 8
	n, _ := newTestNode("a")
	n.bounds = overload.Peers{Links: links}
	defer n.Close()
	address, err := n.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	_, err = io.ReadAll(dialRaw(t, address, maxHelloBytes+1, 0))
	assert.NilError(t, err, "a long first message is not ended")
	for range 2 * links {
		dialRaw(t, address, 100, 1)
	}
	other, _ := newTestNode("b")
	defer other.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := other.Link(t.Context(), address); err != nil {
			return poll.Continue("no link: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(helloTimeout))
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Assert(t, len(n.accepted) <= links, "%d links", len(n.accepted))
}

// Guards against messages without their ends that take the memory of an instance, and against memory that a message
// holds once it was handled or its link has closed.
func TestMessagesShareMemory(t *testing.T) {
	memory := semaphore.NewWeighted(1 << 20)
	read := func(text []byte) error {
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		s := newStream(local, &Counters{})
		s.memory = memory
		go func() {
			_, _ = remote.Write(text) // the reader may end first
			time.Sleep(50 * time.Millisecond)
			_ = remote.Close()
		}()
		var v json.RawMessage
		err := s.ReadObject(&v)
		if err == nil {
			assert.Assert(t, s.held > 0)
			err = s.ReadObject(&v) // the end of the connection
		}
		assert.Equal(t, s.held, int64(0))
		return err
	}
	message := func(n int) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(n)), `"`+strings.Repeat("x", n-2)+`"`...)
	}
	assert.ErrorIs(t, read(message(2<<20)), errNoMessageMemory)
	for range 3 {
		assert.ErrorIs(t, read(message(900<<10)), io.EOF)
		assert.ErrorIs(t, read(message(900 << 10)[:500<<10]), io.ErrUnexpectedEOF)
	}
	assert.Assert(t, memory.TryAcquire(1<<20), "memory is not returned")
}
