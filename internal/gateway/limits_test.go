package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against a request header that is longer than the configuration allows and reaches
// a worker.
func TestLongHeaderIsRefused(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true })
	gw := startGateway(t, w)
	config := testConfig(2)
	config.Limits.HeaderBytes = 2000
	gw.store.PutConfig(config)
	gw.waitFor("configuration is in force", func() bool { return gw.gateway.dispatcher.snapshot.Load().config.Version == 2 })
	assert.Equal(t, gw.call("GET", "/safe/a", "", "X-Long", strings.Repeat("a", 1500)).status, http.StatusOK)
	got := gw.call("GET", "/safe/a", "", "X-Long", strings.Repeat("a", 2000))
	assert.Equal(t, got.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(w.requests()), 1)
}

// Guards against callers that hold a connection and its memory with a body that never ends. The
// time to read the body counts against the time limit of the request.
func TestSlowBodyIsEnded(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true })
	gw := startGateway(t, w)
	c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST /safe/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: 400\r\nContent-Length: 100\r\n\r\nabc", DefaultHeaderNames.DeadlineMs)
	started := time.Now()
	assert.NilError(t, c.SetReadDeadline(started.Add(3*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Assert(t, time.Since(started) < 2*time.Second)
	assert.Equal(t, len(w.requests()), 0)
}

// emptyRetryBudget takes all retries of the service, also the part of one that a budget holds at its start.
func (gw *gatewayHarness) emptyRetryBudget() {
	d := gw.gateway.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	o := retryOptions(d.settings.Load())
	o.Slack = 0
	d.retryBudgets["svc"] = forward.NewRetryBudget(sinceBoot(), o)
}

// refillRetryBudget earns some retries, as first attempts of other callers do.
func (gw *gatewayHarness) refillRetryBudget() {
	for range 50 {
		gw.gateway.dispatcher.recordFirstAttempt("svc")
	}
}

// Guards against a stalled stream that goes on at a second worker while the first one still has it, and against
// one that does not go on once the first worker has ended it and the budget has a retry again. After a start,
// callers waited 17 s in this way (incident inc-f482).
func TestStalledStreamGoesOnOnceItsWorkerHasEnded(t *testing.T) {
	var endedAt, resumedAt atomic.Int64
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		writeStreamHeader(c, r)
		if r.request.Header.Get("Last-Event-Id") == "" {
			writeChunk(c, formatEvent(1))
			time.Sleep(2500 * time.Millisecond)
			endedAt.Store(time.Now().UnixNano())
			return false
		}
		resumedAt.Store(time.Now().UnixNano())
		writeChunk(c, formatEvent(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	gw.emptyRetryBudget()
	time.AfterFunc(2*time.Second, gw.refillRetryBudget)
	got := gw.call("POST", "/stream/a", "x", DefaultHeaderNames.DeadlineMs, "9000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, formatEvent(1)+formatEvent(2))
	after := time.Duration(resumedAt.Load() - endedAt.Load())
	assert.Assert(t, after > 0 && after < time.Second, "resumed %v after its worker had ended it", after)
}

// Guards against a response that does not begin while the budget has no retry left, and that
// is then awaited until its deadline although a retry becomes available.
func TestOverdueAnswerIsRepeatedOnceBudgetAllows(t *testing.T) {
	var first atomic.Bool
	stall := make(chan struct{})
	t.Cleanup(func() { close(stall) })
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if first.CompareAndSwap(false, true) {
			<-stall
			return false
		}
		writeResponse(c, r, 200, "ok")
		return true
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	gw.emptyRetryBudget()
	time.AfterFunc(time.Second, gw.refillRetryBudget)
	started := time.Now()
	got := gw.call("GET", "/safe/a", "", DefaultHeaderNames.DeadlineMs, "9000")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, time.Since(started) < 2500*time.Millisecond, "retried after %v", time.Since(started))
}

// Guards against a read deadline for the body that stays set after the body was read. It would
// end the running request, or the next one on the connection.
func TestBodyLimitEndsWithBody(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		time.Sleep(300 * time.Millisecond)
		writeResponse(c, r, 200, "ok")
		return true
	})
	gw := startGateway(t, w)
	c, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for range 2 {
		fmt.Fprintf(c, "POST /unsafe/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n%s: 600\r\nContent-Length: 3\r\n\r\nabc", DefaultHeaderNames.DeadlineMs)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
		time.Sleep(700 * time.Millisecond)
	}
}
