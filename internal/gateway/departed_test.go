package gateway

import (
	"bytes"
	"fmt"
	"net"
	"strings"
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
