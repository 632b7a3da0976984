package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ejectedWorkers returns how many workers get no requests because of their failures.
func (gw *gatewayHarness) ejectedWorkers() int {
	d := gw.gateway.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for id := range d.usableWorkers {
		if d.health.Ejected(id) {
			n++
		}
	}
	return n
}

// Guards against a sound worker that is ejected because the connection to it was still being opened for a hedge
// when the first worker went on.
func TestHedgeThatIsGivenUpWhileItConnectsIsNoFailure(t *testing.T) {
	script := func(n int, c net.Conn, r receivedRequest) bool {
		time.Sleep(700 * time.Millisecond) // the header is overdue after 600 ms
		writeResponse(c, r, http.StatusOK, "first", "Connection: close")
		return false
	}
	first, second := startWorker(t, "w1", script), startWorker(t, "w2", script)
	gw := startGateway(t, first, second)
	var dials atomic.Int64
	gw.gateway.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		if dials.Add(1)%2 == 0 { // each request dials its first worker, then that of the hedge
			time.Sleep(200 * time.Millisecond)
		}
		return nil
	}
	for range 8 {
		got := gw.call("GET", "/safe/x", "")
		assert.Equal(t, got.body, "first")
	}
	assert.Equal(t, len(first.requests())+len(second.requests()), 8, "no hedge was sent")
	assert.Equal(t, gw.ejectedWorkers(), 0, gw.log.String())
}

// Guards against a worker that breaks off its answer and counts as one that was only silent because the hedge beside
// it answered.
func TestBreakBesideHedgeIsRecorded(t *testing.T) {
	var arrivals atomic.Int64
	broken := make(chan string, 1)
	script := func(id string) func(int, net.Conn, receivedRequest) bool {
		return func(_ int, c net.Conn, r receivedRequest) bool {
			if arrivals.Add(1) == 1 {
				broken <- id
				time.Sleep(700 * time.Millisecond) // the hedge is sent after 600 ms
				return false
			}
			time.Sleep(200 * time.Millisecond)
			writeResponse(c, r, http.StatusOK, "second")
			return true
		}
	}
	gw := startGateway(t, startWorker(t, "w1", script("w1")), startWorker(t, "w2", script("w2")))
	got := gw.call("GET", "/safe/x", "")
	assert.Equal(t, got.body, "second")
	var out bytes.Buffer
	gw.gateway.metrics.set.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf("borageflow_gateway_unfinished_answers_total{worker=%q", <-broken)), out.String())
}

// Guards against a silent worker that is given up for the first part of an answer whose rest does not come.
func TestHedgeWithPartOfAnswerDoesNotReplaceFirst(t *testing.T) {
	whole := strings.Repeat("b", maxBufferedBytes+64<<10)
	var arrivals atomic.Int64
	stall := make(chan struct{})
	t.Cleanup(func() { close(stall) })
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if arrivals.Add(1) == 1 {
			time.Sleep(1200 * time.Millisecond) // the hedge is sent after 600 ms
			writeResponse(c, r, http.StatusOK, whole)
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", DefaultHeaderNames.RequestID, r.request.Header.Get(DefaultHeaderNames.RequestID), len(whole), whole[:len(whole)-1])
		<-stall
		return false
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	got := gw.call("GET", "/safe/x", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(got.body), len(whole))
}

// Guards against a request that is accused alone of the end of its worker while a hedge waited there too, and against
// a hedge that a condemnation of a part of its request does not end.
func TestHedgeWaitsAtItsWorker(t *testing.T) {
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		time.Sleep(800 * time.Millisecond) // the hedge is sent after 600 ms
		writeResponse(c, r, http.StatusOK, "first")
		return true
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	q := gw.gateway.quarantine
	waiting := func() (attempts, workers int) {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.pending), len(q.pendingWorkers)
	}
	result := make(chan callResult, 1)
	go func() { result <- gw.call("GET", "/safe/x", "") }()
	gw.waitFor("both attempts wait", func() bool {
		attempts, workers := waiting()
		return attempts == 2 && workers == 2 || len(result) > 0
	})
	assert.Equal(t, len(result), 0, "the hedge was not known to wait")
	assert.Equal(t, (<-result).body, "first")
	attempts, workers := waiting()
	assert.Equal(t, attempts+workers, 0)
}

// Guards against a silent worker that is left for an answer whose end nothing marks: that of a worker that has crashed
// looks the same.
func TestHedgeWithUnmarkedEndIsNotTaken(t *testing.T) {
	var arrivals atomic.Int64
	listeners := map[string]net.Listener{}
	serve := func(id string) func(int, net.Conn, receivedRequest) bool {
		return func(_ int, c net.Conn, r receivedRequest) bool {
			if arrivals.Add(1) == 1 {
				time.Sleep(1500 * time.Millisecond) // the header is overdue after 600 ms
				writeResponse(c, r, http.StatusOK, "first", "Connection: close")
				return false
			}
			_ = listeners[id].Close() // the worker crashes inside its answer
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nsec", DefaultHeaderNames.RequestID, r.request.Header.Get(DefaultHeaderNames.RequestID))
			return false
		}
	}
	first, second := startWorker(t, "w1", nil), startWorker(t, "w2", nil)
	for _, w := range []*testWorker{first, second} {
		listeners[w.id] = w.listener
		w.mu.Lock()
		w.script = serve(w.id)
		w.mu.Unlock()
	}
	got := startGateway(t, first, second).call("GET", "/safe/x", "")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "first")
	assert.Equal(t, arrivals.Load(), int64(2), "no hedge was sent")
}
