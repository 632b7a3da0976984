package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/overload"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// startLimitedGateway starts a gateway with limits before one worker that answers at once.
func startLimitedGateway(t *testing.T, limits overload.Limits) (*gatewayHarness, *testWorker) {
	t.Helper()
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true })
	return startLimitedGatewayBefore(t, limits, w), w
}

func startLimitedGatewayBefore(t *testing.T, limits overload.Limits, w *testWorker) *gatewayHarness {
	t.Helper()
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(w.worker())
	s := testSettings(t)
	s.Limits = limits
	gw := startGatewayWith(t, s, store)
	gw.waitFor("worker is known", func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == 1 })
	return gw
}

// Guards against a request that is taken without memory for it, is refused without a time to come back,
// or reaches a worker although its refusal says that it has not run.
func TestRequestBeyondMemoryIsRefused(t *testing.T) {
	gw, w := startLimitedGateway(t, overload.Limits{MemoryBytes: 8 << 30})
	large := overload.Request{BodyBytes: 1 << 30, Tolerance: time.Hour}
	rest := overload.Request{BodyBytes: 1 << 20, Tolerance: time.Hour}
	gw.gateway.overload.mu.Lock()
	for _, r := range []overload.Request{large, rest} {
		for gw.gateway.overload.guard.Admit(sinceBoot(), r).Reason == overload.Admitted {
		}
	}
	gw.gateway.overload.mu.Unlock()
	got := gw.call("POST", "/unsafe/a", strings.Repeat("x", 1<<20))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.HasPrefix(got.body, "overloaded"), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(w.requests()), 0)
	(&reservation{gw.gateway.overload, large}).release()
	assert.Equal(t, gw.call("POST", "/unsafe/a", "x").status, http.StatusOK)
	gw.waitFor("refusals are logged", func() bool { return strings.Contains(gw.log.String(), "instance is at its limits") })
}

// Guards against more connections than can be served, and against a connection beyond the bound that
// waits until its caller gives up instead of being closed at once. The requests on all others are in progress: one that
// waits for its caller would make room.
func TestConnectionsAreBounded(t *testing.T) {
	held := make(chan struct{})
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.URL.Path == "/safe/held" {
			<-held
		}
		writeResponse(c, r, 200, "ok")
		return true
	})
	gw := startLimitedGatewayBefore(t, overload.Limits{Descriptors: 1}, w)
	bounds := gw.gateway.overload.bounds
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn, path string) {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n\r\n", path)
	}
	ask := func(c net.Conn) (*http.Response, error) {
		send(c, "/safe/a")
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
	first := dial()
	resp, err := ask(first)
	assert.NilError(t, err)
	assert.Assert(t, !resp.Close, "the connection ends below the bound")
	for range bounds.Callers - 1 {
		send(dial(), "/safe/held")
	}
	gw.waitFor("requests are in progress", func() bool { return gw.gateway.activeRequests.Load() == int64(bounds.Callers-1) })
	beyond := dial()
	assert.NilError(t, beyond.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = beyond.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset"), "the connection beyond the bound: %v", err)
	resp, err = ask(first)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "near the bound, answers end their connections")
	close(held)
	gw.waitFor("a place is free", func() bool { return gw.gateway.overload.callers.Load() < int64(bounds.Callers) })
	resp, err = ask(dial())
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against silent connections that keep all other callers out until their time-outs.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	gw, _ := startLimitedGateway(t, overload.Limits{Descriptors: 1})
	callers := int64(gw.gateway.overload.bounds.Callers)
	for range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	gw.waitFor("connections are open", func() bool { return gw.gateway.overload.callers.Load() == callers })
	gw.waitFor("a request finds room", func() bool {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newTestRequest(t, gw))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	assert.Assert(t, gw.gateway.overload.callers.Load() >= callers-1, "more were closed than room was needed for")
	gw.waitFor("the log says so", func() bool { return strings.Contains(gw.log.String(), "callers are turned away") })
}

// Guards against connections that stay counted after they were closed, so that the instance takes no
// more after some time.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	gw, _ := startLimitedGateway(t, overload.Limits{Descriptors: 1})
	for range 3 * gw.gateway.overload.bounds.Callers {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newTestRequest(t, gw))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	gw.waitFor("connections of callers are closed", func() bool { return gw.gateway.overload.callers.Load() == 0 })
	gw.gateway.pool.close()
	assert.Equal(t, gw.gateway.overload.workers.Load(), int64(0))
}

func newTestRequest(t *testing.T, gw *gatewayHarness) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, gw.url+"/safe/a", http.NoBody)
	assert.NilError(t, err)
	req.Host = "test"
	req.Header.Set("Authorization", "Bearer key-1")
	return req
}

// Guards against answers without end that the kernel holds for a gateway whose callers read fast and then stop: the
// receive buffer of each connection grows to megabytes, which no memory is reserved for.
func TestReceiveBuffersOfWorkersAreBounded(t *testing.T) {
	const bodyBytes = 64 << 20
	w := startWorker(t, "w1", func(_ int, c net.Conn, _ receivedRequest) bool {
		block := make([]byte, 64<<10)
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	})
	receiveBuffer := func(limits overload.Limits) int {
		p := newConnPool(func() {}, newOverloadGuard(limits, newGatewayMetrics(), newNopLogger()))
		c, err := p.get(t.Context(), w.worker().Address, "r-1", time.Second)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		fmt.Fprintf(c, "GET /safe/a HTTP/1.1\r\nHost: test\r\n\r\n")
		_, err = io.CopyN(io.Discard, c.Conn, bodyBytes)
		assert.NilError(t, err)
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		size := 0
		var sizeErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { size, sizeErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
		assert.NilError(t, sizeErr)
		return size
	}
	const doubled = 2 // the system doubles the size that is set, for its own bookkeeping
	t.Logf("without limits: %d bytes", receiveBuffer(overload.Limits{}))
	assert.Equal(t, receiveBuffer(overload.Limits{MemoryBytes: 284e6}), doubled*overload.Limits{MemoryBytes: 284e6}.ReceiveBufferBytes())
	assert.Equal(t, overload.Limits{}.ReceiveBufferBytes(), 0, "earlier deployments keep the buffers of the system")
}
