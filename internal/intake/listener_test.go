package intake

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/overload"
)

// testServer echoes the bodies of requests over a Listener.
type testServer struct {
	address             string
	heads               atomic.Int64 // memory reserved for heads
	headBudget          int64        // 0 for no bound
	limits              Limits
	writeStall          time.Duration
	tls                 *tls.Config
	open, full, givenUp atomic.Int64
}

func startServer(t *testing.T, s *testServer, maxConnections int) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if s.limits == (Limits{}) {
		s.limits = Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}
	l := NewListener(inner, Options{
		MaxConnections: maxConnections, SendBuffer: 32 << 10, WriteStall: s.writeStall, TLS: s.tls, Limits: func() Limits { return s.limits },
		ResizeHead: func(from, to int64) bool {
			if s.headBudget > 0 && to > s.headBudget {
				return false
			}
			s.heads.Add(to - from)
			return true
		},
		OnOpen: func() { s.open.Add(1) }, OnClose: func() { s.open.Add(-1) },
		OnFull: func() { s.full.Add(1) }, OnGiveUp: func(overload.Phase) { s.givenUp.Add(1) },
	})
	server := &http.Server{MaxHeaderBytes: 1 << 30, ReadHeaderTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = w.Write(body) // a failure shows at the caller
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = inner.Addr().String()
	return s
}

func dial(t assert.TestingT, s *testServer) net.Conn {
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	return c
}

func waitFor(t *testing.T, name string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", name)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against requests that are changed, joined, lost or left waiting on their way to net/http: with lengths, in
// chunks, without bodies, one behind the other, in pieces of any size, and read while the one before is in progress.
func TestRequestsPassUnchanged(t *testing.T) {
	s := startServer(t, &testServer{}, 0)
	rapid.Check(t, func(t *rapid.T) {
		var wire string
		var want []string
		for n := range rapid.IntRange(1, 5).Draw(t, "requests") {
			head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: x\r\n%s", n, strings.Repeat("A: b\r\n", rapid.IntRange(0, 2000).Draw(t, "fields")))
			switch rapid.SampledFrom([]string{"none", "length", "chunks"}).Draw(t, "body") {
			case "none":
				wire += head + "\r\n"
				want = append(want, "")
			case "length":
				body := strings.Repeat("\r\n\r\nGET", rapid.IntRange(0, 2000).Draw(t, "length"))
				wire += fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				want = append(want, body)
			default:
				chunks, body := drawChunks(t)
				wire += head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
				want = append(want, body)
			}
		}
		pieces := drawPieces(t, wire)
		c := dial(t, s)
		var group sync.WaitGroup
		group.Go(func() {
			for _, piece := range pieces {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		})
		reader := bufio.NewReader(c)
		for _, body := range want {
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), body)
		}
		group.Wait()
		assert.NilError(t, c.Close())
	})
	waitFor(t, "connections are closed", func() bool { return s.open.Load() == 0 })
	assert.Equal(t, s.heads.Load(), int64(0), "memory of heads stays reserved")
}

// answerTo sends a text and returns the status and Retry-After of the answer.
func answerTo(t *testing.T, s *testServer, text string) (status int, retryAfter string) {
	t.Helper()
	c := dial(t, s)
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, text) }() // the answer may come before its end
	time.Sleep(50 * time.Millisecond)              // the refused caller is late to read
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// Guards against a refused caller that cannot read its refusal, as it still sends, and against a head inside the limits
// that is refused.
func TestRefusalCanBeRead(t *testing.T) {
	s := startServer(t, &testServer{headBudget: 300 << 10}, 0)
	const line = "GET / HTTP/1.1\r\nHost: x\r\n"
	status, _ := answerTo(t, s, line+"a: "+strings.Repeat("b", 200<<10))
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	status, _ = answerTo(t, s, strings.Repeat("\r\n", 200<<10))
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = answerTo(t, s, line+strings.Repeat("a: b\r\n", 1000)+"\r\n")
	assert.Equal(t, status, http.StatusOK)
	status, retryAfter := answerTo(t, s, line+strings.Repeat("a:\n", 5<<10)+"\r\n")
	assert.Equal(t, status, http.StatusServiceUnavailable, "there is no memory for its fields")
	assert.Equal(t, retryAfter, "0.5")
	waitFor(t, "memory of heads is returned", func() bool { return s.heads.Load() == 0 })
}

// testTimeout is the time-out that a test waits for, and longTimeout one that cannot have passed.
const (
	testTimeout = time.Second
	longTimeout = time.Minute
)

// Guards against a header time-out of the configuration that is not enforced, and against one that ends a connection
// between two requests.
func TestHeaderTimeoutIsTheOneInForce(t *testing.T) {
	s := startServer(t, &testServer{limits: Limits{HeaderBytes: 16 << 10, HeaderTimeout: testTimeout, IdleTimeout: longTimeout}}, 0)
	kept, silent, slow := dial(t, s), dial(t, s), dial(t, s)
	started := time.Now()
	go func() {
		for _, err := io.WriteString(slow, "GET / HTTP/1.1\r\na: "); err == nil; _, err = slow.Write([]byte("b")) {
			time.Sleep(testTimeout / 4)
		}
	}()
	assert.NilError(t, ask(kept))
	_, err := io.ReadAll(slow)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the slow head does not end")
	assert.Assert(t, time.Since(started) >= testTimeout)
	assert.NilError(t, ask(kept), "it was idle for no longer than allowed")
	assert.NilError(t, ask(silent))
}

// Guards against an idle time-out of the configuration that is not enforced, and against one that ends a head.
func TestIdleTimeoutIsTheOneInForce(t *testing.T) {
	s := startServer(t, &testServer{limits: Limits{HeaderBytes: 16 << 10, HeaderTimeout: longTimeout, IdleTimeout: testTimeout}}, 0)
	kept, silent, slow := dial(t, s), dial(t, s), dial(t, s)
	started := time.Now()
	_, err := io.WriteString(slow, request[:len(request)-1])
	assert.NilError(t, err)
	assert.NilError(t, ask(kept))
	for _, c := range []net.Conn{silent, kept} {
		_, err := io.ReadAll(c)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) >= testTimeout)
	_, err = io.WriteString(slow, request[len(request)-1:])
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err, "its head was slower than the idle time-out, not than its own")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, slow.Close())
	waitFor(t, "connections are closed", func() bool { return s.open.Load() == 0 })
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// ask sends a request and reads the head of its answer.
func ask(c net.Conn) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err
}

// Guards against silent connections that keep new callers out, and against room that is made by closing a connection
// whose request is in progress.
func TestNewCallersFindRoom(t *testing.T) {
	s := startServer(t, &testServer{}, 4)
	busy := dial(t, s)
	_, err := io.WriteString(busy, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
	assert.NilError(t, err)
	for range 3 {
		dial(t, s)
	}
	waitFor(t, "connections are open", func() bool { return s.open.Load() == 4 })
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		status, _ := answerTo(t, s, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, s.givenUp.Load() > 0 && s.givenUp.Load() <= 3, "%d connections were given up", s.givenUp.Load())
	assert.Equal(t, s.full.Load(), int64(0))
	_, err = io.WriteString(busy, strings.Repeat("x", 200_000))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a connection that is closed at once by a stop although a part of a request was read from it.
func TestPartOfHeadIsKnown(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner, Options{Limits: func() Limits { return Limits{1000, time.Minute, time.Minute} }})
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	go func() { _, _ = accepted.Read(make([]byte, 4096)) }()
	_, err = io.WriteString(caller, "GET / HT")
	assert.NilError(t, err)
	waitFor(t, "part is known", func() bool { return accepted.(interface{ HasPart() bool }).HasPart() })
	assert.NilError(t, caller.Close())
}

// Guards against a caller that never reads its answers and holds its connection for good, and against the end of one
// that reads slowly.
func TestUnreadAnswerEnds(t *testing.T) {
	s := startServer(t, &testServer{writeStall: 500 * time.Millisecond}, 0)
	request := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2_000_000)
	ask := func() *net.TCPConn {
		c := dial(t, s).(*net.TCPConn)
		assert.NilError(t, c.SetReadBuffer(32<<10))
		go func() { _, _ = io.WriteString(c, request+request) }() // the second one is not read while the first is answered
		return c
	}
	slow, silent := ask(), ask()
	defer func() { _ = silent.Close() }()
	received := 0
	for block := make([]byte, 32<<10); received < 1_500_000; time.Sleep(20 * time.Millisecond) {
		n, err := slow.Read(block)
		assert.NilError(t, err, "after %d bytes", received)
		received += n
	}
	assert.NilError(t, slow.Close())
	waitFor(t, "both connections are closed", func() bool { return s.open.Load() == 0 })
}

// Guards against heads outside the limits that TLS hides from the listener, against refusals that a caller behind TLS
// cannot read, and against a listener that waits for a handshake.
func TestTLSIsBounded(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	s := startServer(t, &testServer{headBudget: 300 << 10, tls: certified.TLS}, 4)
	open := func() net.Conn {
		raw, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		assert.NilError(t, raw.SetDeadline(time.Now().Add(20*time.Second)))
		t.Cleanup(func() { _ = raw.Close() })
		return raw
	}
	encrypt := func(raw net.Conn) net.Conn {
		return tls.Client(raw, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the certificate is the test's own
	}
	for range 4 {
		open() // begins no handshake
	}
	waitFor(t, "connections are open", func() bool { return s.open.Load() == 4 })
	time.Sleep(200 * time.Millisecond)
	for range 4 {
		c := encrypt(open())
		assert.NilError(t, ask(c))
		assert.NilError(t, c.Close())
	}
	assert.Assert(t, s.givenUp.Load() > 0)
	c := encrypt(open())
	go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\na: "+strings.Repeat("b", 200<<10)) }() // the answer may come before its end
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
