package gateway

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldListener accepts nothing until release is closed, like the listener of a paused process.
type heldListener struct {
	net.Listener
	release chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// Guards against requests that are sent to workers although their callers left while the gateway was paused.
func TestBacklogOfCallersThatLeftReachesNoWorker(t *testing.T) {
	const callers = 200
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
				writeResponse(c, r, 200, formatEvent(1))
				return true
			})
			gw := startGateway(t, w)
			inner, err := net.Listen("tcp", ownHost()+":0")
			assert.NilError(t, err)
			held := &heldListener{Listener: inner, release: make(chan struct{})}
			server, listener := gw.gateway.newCallerServer(held)
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(listener) }()
			call := func(id string) net.Conn {
				c, err := net.Dial("tcp", inner.Addr().String())
				assert.NilError(t, err)
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: %s\r\nContent-Length: 6\r\n\r\nprompt", path, DefaultHeaderNames.RequestID, id)
				return c
			}
			for n := range callers {
				assert.NilError(t, call(fmt.Sprint("left-", n)).Close())
			}
			stays := call("stays")
			defer func() { _ = stays.Close() }()
			close(held.release)
			gw.waitFor("all requests have ended", func() bool { return strings.Count(gw.log.String(), "request has ended") == callers+1 })
			received := w.requests()
			assert.Equal(t, len(received), 1, "requests reached the worker after their callers had left")
			assert.Equal(t, received[0].request.Header.Get(DefaultHeaderNames.RequestID), "stays")
			assert.NilError(t, stays.SetReadDeadline(time.Now().Add(time.Second)))
			head := make([]byte, len("HTTP/1.1 200"))
			_, err = stays.Read(head)
			assert.NilError(t, err)
			assert.Equal(t, string(head), "HTTP/1.1 200")
			var out bytes.Buffer
			gw.gateway.metrics.set.WritePrometheus(&out)
			assert.Assert(t, !strings.Contains(out.String(), "borageflow_gateway_refused_total"), "callers that had left count as refused")
		})
	}
}

// Guards against a worker that is taken for unreachable because callers left while connections to it were opened.
func TestCallerThatLeavesMakesNoWorkerUnreachable(t *testing.T) {
	var workers []*testWorker
	for n := range 5 {
		workers = append(workers, startWorker(t, fmt.Sprint("w", n), func(_ int, c net.Conn, r receivedRequest) bool {
			writeResponse(c, r, 200, "done")
			return true
		}))
	}
	gw := startGateway(t, workers...)
	left := make(chan struct{})
	gw.gateway.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		<-left
		time.Sleep(20 * time.Millisecond) // net/http notices the close
		return nil
	}
	const callers = 8
	var open []net.Conn
	for n := range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
		assert.NilError(t, err)
		fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: r-%d\r\n\r\n", DefaultHeaderNames.RequestID, n)
		open = append(open, c)
	}
	gw.waitFor("all requests wait for a connection", func() bool { return gw.gateway.activeRequests.Load() == callers })
	time.Sleep(50 * time.Millisecond)
	for _, c := range open {
		assert.NilError(t, c.Close())
	}
	close(left)
	gw.waitFor("all requests have ended", func() bool { return gw.gateway.activeRequests.Load() == 0 })
	gw.gateway.dispatcher.mu.Lock()
	defer gw.gateway.dispatcher.mu.Unlock()
	for _, w := range workers {
		assert.Equal(t, gw.gateway.dispatcher.health.Share(w.id), 1.0, w.id)
		assert.Equal(t, len(w.requests()), 0)
	}
}
