package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// recorder responds to every call and records the methods in order. It fails
// MethodRun with Overloaded.
type recorder struct {
	mu      sync.Mutex
	methods []string
	opened  int
	closed  int
}

// Serve implements Handler.
func (r *recorder) Serve(_ *Link, call *Call) {
	r.mu.Lock()
	r.methods = append(r.methods, call.Method)
	r.mu.Unlock()
	if call.Method == MethodRun {
		call.Fail(errkind.New(errkind.Overloaded, "full").WithRetryAfter(time.Second))
		return
	}
	call.Respond(api.ProbeResult{})
}

// LinkOpened implements Handler.
func (r *recorder) LinkOpened(*Link) { r.increment(&r.opened) }

// LinkClosed implements Handler.
func (r *recorder) LinkClosed(*Link) { r.increment(&r.closed) }

func (r *recorder) increment(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *recorder) load(n *int) int {
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

func startTestNode(t *testing.T, name string) (*Node, *recorder, string) {
	t.Helper()
	n, r := newTestNode(name)
	address, err := n.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(n.Close)
	return n, r, address
}

// Guards against losing the kind, run state or retry delay of an error between two
// processes.
func TestErrorKeepsKindAndRunState(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	server, _, address := startTestNode(t, "server")
	client, _ := newTestNode("client")
	defer server.Close()
	defer client.Close()
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, link.Key(), Key{Instance: "server", Incarnation: 7})
	err = link.Call(t.Context(), MethodRun, api.RunParams{}, nil)
	e := errkind.FromError(err)
	assert.Equal(t, e.Kind, errkind.Overloaded)
	assert.Equal(t, e.RunState, api.RunStateNotRun)
	assert.Equal(t, e.RetryAfter, time.Second)
}

// Guards against reporting a call as not sent although it may have run: the
// connection closes while the remote process answers.
func TestOnlyUnsentCallsAreProvenNotSent(t *testing.T) {
	client, _ := newTestNode("client")
	defer client.Close()
	_, err := client.Link(t.Context(), "127.0.0.1:1")
	assert.Assert(t, IsNotSent(err))
	assert.Assert(t, IsConnectionRefused(err))

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
		server.serveConn(&closeOnSecondWrite{Conn: conn})
	}()
	link, err := client.Link(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	err = link.Call(t.Context(), MethodProbe, api.ProbeParams{}, nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, !IsNotSent(err), "an interrupted call counts as not sent: %v", err)
	assert.Equal(t, errkind.FromError(err).RunState, api.RunStateUnknown)
	// server.Close must not run before serveConn has registered the connection.
	<-served
}

// closeOnSecondWrite closes the connection instead of writing the answer to the
// first call after hello.
type closeOnSecondWrite struct {
	net.Conn
	writes int
}

// Write implements net.Conn.
func (c *closeOnSecondWrite) Write(b []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, c.Close()
	}
	return c.Conn.Write(b)
}

// Guards against serving a call before hello, when the peer is unknown.
func TestFirstMessageMustBeHello(t *testing.T) {
	_, r, address := startTestNode(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	body := `{"jsonrpc":"2.0","id":1,"method":"probe","params":{}}`
	frame := make([]byte, lengthPrefixBytes)
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = conn.Write(append(frame, body...))
	assert.NilError(t, err)
	answer := make([]byte, 512)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := conn.Read(answer)
	assert.NilError(t, err)
	assert.Assert(t, n > lengthPrefixBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, len(r.methods), 0)
}

// Guards against the accumulation of connections that never send hello.
func TestSilentConnectionIsClosed(t *testing.T) {
	_, _, address := startTestNode(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*helloTimeout)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against unbounded allocation: the length prefix of a peer's message is
// above maxMessageBytes.
func TestOversizedMessageClosesLink(t *testing.T) {
	_, _, address := startTestNode(t, "server")
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	frame := make([]byte, lengthPrefixBytes)
	binary.BigEndian.PutUint32(frame, maxMessageBytes+1)
	_, err = conn.Write(frame)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against the accumulation of idle links to peers that were called once.
func TestIdleLinkIsClosed(t *testing.T) {
	_, _, address := startTestNode(t, "server")
	client, r := newTestNode("client")
	defer client.Close()
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	link.closeAfterIdle(time.Millisecond, time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.load(&r.closed) == 1 {
			return poll.Success()
		}
		return poll.Continue("link is open")
	}, poll.WithTimeout(5*time.Second))
	assert.Assert(t, link.ClosedLocally())
	second, err := client.Link(context.Background(), address)
	assert.NilError(t, err)
	assert.Assert(t, second != link)
}

// FuzzReadObject guards against a frame that crashes the reader or makes it allocate
// more than maxMessageBytes.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, raw []byte) {
		local, remote := net.Pipe()
		defer local.Close()
		go func() {
			_, _ = remote.Write(raw)
			_ = remote.Close()
		}()
		var out map[string]any
		s := newStream(local, &Counters{})
		for s.ReadObject(&out) == nil {
		}
	})
}

// panicker panics on MethodRun.
type panicker struct{ recorder }

// Serve implements Handler.
func (p *panicker) Serve(link *Link, call *Call) {
	if call.Method == MethodRun {
		panic("malformed message")
	}
	p.recorder.Serve(link, call)
}

// Guards against one message that ends the process, and against an unexpected error that is not reported.
func TestPanicOfOneMessageEndsThatOneAlone(t *testing.T) {
	var reported atomic.Value
	server := NewNode(Options{Handler: &panicker{}, Local: func() api.Hello { return api.Hello{} }, OnPanic: func(method string, value any) {
		reported.Store(fmt.Sprint(method, ": ", value))
	}})
	address, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	client, _, _ := startTestNode(t, "client")
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	var out api.ProbeResult
	err = link.Call(t.Context(), MethodRun, struct{}{}, &out)
	assert.Equal(t, errkind.FromError(err).Kind, errkind.Internal)
	assert.Equal(t, reported.Load(), MethodRun+": malformed message")
	assert.NilError(t, link.Call(t.Context(), MethodProbe, struct{}{}, &out))
}
