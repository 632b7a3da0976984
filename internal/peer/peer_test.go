package peer

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// recorder answers every call and records the order of messages.
type recorder struct {
	mu     sync.Mutex
	seen   []string
	opened int
	closed int
}

// Serve implements Handler.
func (r *recorder) Serve(_ *Link, call *Call) {
	r.mu.Lock()
	r.seen = append(r.seen, call.Method)
	r.mu.Unlock()
	if call.Method == MethodRun {
		call.Fail(errkind.New(errkind.Overloaded, "full").WithRetryAfter(time.Second))
		return
	}
	call.Respond(api.ProbeResult{})
}

// LinkOpened implements Handler.
func (r *recorder) LinkOpened(*Link) { r.count(&r.opened) }

// LinkClosed implements Handler.
func (r *recorder) LinkClosed(*Link) { r.count(&r.closed) }

func (r *recorder) count(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *recorder) get(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

func newTestNode(name string) (*Node, *recorder) {
	r := &recorder{}
	hello := func() api.Hello {
		return api.Hello{Member: api.Member{Instance: name, Incarnation: 7, State: api.MemberStateReady}}
	}
	return NewNode(Options{Handler: r, Local: hello}), r
}

func listening(t *testing.T, name string) (*Node, *recorder, string) {
	t.Helper()
	n, r := newTestNode(name)
	address, err := n.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(n.Close)
	return n, r, address
}

// Guards against an error losing its kind, run state or advice on the way.
func TestErrorKeepsKindAndRunState(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	server, _, address := listening(t, "server")
	client, _ := newTestNode("client")
	defer server.Close()
	defer client.Close()
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, link.Key(), Key{Instance: "server", Incarnation: 7})
	err = link.Call(t.Context(), MethodRun, api.RunParams{}, nil)
	e := errkind.From(err)
	assert.Equal(t, e.Kind, errkind.Overloaded)
	assert.Equal(t, e.RunState, api.RunStateNotRun)
	assert.Equal(t, e.RetryAfter, time.Second)
}

// Guards against a call that may have run being taken for one that was not sent.
func TestOnlyUnsentCallsAreProvenNotSent(t *testing.T) {
	client, _ := newTestNode("client")
	defer client.Close()
	_, err := client.Link(t.Context(), "127.0.0.1:1")
	assert.Assert(t, NotSent(err))
	assert.Assert(t, Refused(err))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	server, _ := newTestNode("server")
	defer server.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.serve(&cutter{Conn: conn})
	}()
	link, err := client.Link(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	err = link.Call(t.Context(), MethodProbe, api.ProbeParams{}, nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, !NotSent(err), "a cut call counts as not sent: %v", err)
	assert.Equal(t, errkind.From(err).RunState, api.RunStateUnknown)
	// The server must know its connection before it closes.
	<-served
}

// cutter closes the connection when the answer of the first call after hello is
// written.
type cutter struct {
	net.Conn
	writes int
}

// Write implements net.Conn.
func (c *cutter) Write(b []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, c.Close()
	}
	return c.Conn.Write(b)
}

// Guards against a message before hello being served to an unknown peer.
func TestFirstMessageMustBeHello(t *testing.T) {
	_, r, address := listening(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	body := `{"jsonrpc":"2.0","id":1,"method":"probe","params":{}}`
	frame := make([]byte, lengthBytes)
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = conn.Write(append(frame, body...))
	assert.NilError(t, err)
	answer := make([]byte, 512)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := conn.Read(answer)
	assert.NilError(t, err)
	assert.Assert(t, n > lengthBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, len(r.seen), 0)
}

// Guards against connections that never say hello adding up.
func TestSilentConnectionIsClosed(t *testing.T) {
	_, _, address := listening(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*helloTimeout)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against a peer making this process allocate without bound.
func TestOversizedMessageClosesLink(t *testing.T) {
	_, _, address := listening(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	frame := make([]byte, lengthBytes)
	binary.BigEndian.PutUint32(frame, maxMessageBytes+1)
	_, err = conn.Write(frame)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against links to changing peers adding up.
func TestIdleLinkIsClosed(t *testing.T) {
	_, _, address := listening(t, "server")
	client, r := newTestNode("client")
	defer client.Close()
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	link.closeWhenIdle(time.Millisecond, time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.get(&r.closed) == 1 {
			return poll.Success()
		}
		return poll.Continue("link is open")
	}, poll.WithTimeout(5*time.Second))
	assert.Assert(t, link.ClosedHere())
	again, err := client.Link(context.Background(), address)
	assert.NilError(t, err)
	assert.Assert(t, again != link)
}

// FuzzReadObject guards against a frame that crashes the reader or makes it hold
// more than the frame's bound.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			_, _ = far.Write(raw)
			_ = far.Close()
		}()
		var out map[string]any
		s := newStream(near, &Counters{})
		for s.ReadObject(&out) == nil {
		}
	})
}
