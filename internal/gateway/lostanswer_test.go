package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against a request that runs twice, or whose caller is told that it has not run, after its
// connection broke at any point up to the answer.
func TestRequestIsTruthfulWhereverItsConnectionBreaks(t *testing.T) {
	body := strings.Repeat("b", 200<<10)
	// Each break reads a part of the request, runs it if all of it has arrived, and ends the connection.
	breaks := map[string]struct {
		readBytes int64 // -1: all
		answer    string
	}{
		"before the request":       {0, ""},
		"inside its head":          {30, ""},
		"inside its body":          {100 << 10, ""},
		"after its body":           {-1, ""},
		"inside the answer's head": {-1, "HTTP/1.1 200 O"},
		"inside the answer's body": {-1, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"},
	}
	for name, b := range breaks {
		for _, reset := range []bool{false, true} {
			for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x"} {
				t.Run(fmt.Sprintf("%s, reset %v, %s", name, reset, path), func(t *testing.T) {
					t.Parallel()
					var runs atomic.Int64
					breaker := startBreakingWorker(t, func(c *net.TCPConn) {
						if b.readBytes >= 0 {
							_, _ = io.CopyN(io.Discard, c, b.readBytes) // the rest stays unread
						} else {
							req, err := http.ReadRequest(bufio.NewReader(c))
							if err != nil {
								return
							}
							if n, _ := io.Copy(io.Discard, req.Body); n == int64(len(body)) {
								runs.Add(1)
							}
							fmt.Fprint(c, b.answer)
						}
						if reset {
							_ = c.SetLinger(0)
						}
					})
					gw := startGateway(t)
					for _, w := range []string{"w1", "w2"} {
						gw.store.PutWorker(forward.Worker{ID: w, Service: "svc", Address: breaker, FailureDomain: "a", Version: "v1", Slots: 8})
					}
					gw.waitFor("workers are known", func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == 1 })
					resp := gw.call("POST", path, body, DefaultHeaderNames.DeadlineMs, "1500")
					notRun := resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests
					assert.Assert(t, !notRun || runs.Load() == 0, "status %d after %d runs", resp.status, runs.Load())
					if path != "/safe/x" {
						assert.Assert(t, runs.Load() <= 1, "%d runs", runs.Load())
					}
					if b.readBytes < 0 {
						assert.Assert(t, runs.Load() >= 1, "no worker got the whole request")
					}
					assert.Assert(t, resp.status != http.StatusOK || resp.err != nil, "an answer that broke off looks complete")
				})
			}
		}
	}
}

// startBreakingWorker listens for connections, passes each to serve and closes it then. It returns the
// address.
func startBreakingWorker(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(ownHost())})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}
