package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writePlainBody is writeBody for an answer that is no stream.
func writePlainBody(c net.Conn, r receivedRequest, framing, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Borageflow-Request: %s\r\n", r.request.Header.Get(DefaultHeaderNames.RequestID))
	switch framing {
	case "length":
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	default:
		fmt.Fprintf(c, "%s\r\n%s", head, body)
	}
	return framing != "connection"
}

// workerEnds are what becomes of a worker after its answer: it lives on, ends with it, or cuts its connections a
// little before it refuses new ones.
var workerEnds = []string{"lives", "ends", "ends later"}

// unmarkedEndCase is an answer that ends between two of its parts, with its connection or where its framing says.
type unmarkedEndCase struct {
	framing, route, worker string
}

// isWhole reports whether something says that the answer is whole.
func (c unmarkedEndCase) isWhole() bool { return c.framing != "connection" || c.worker == "lives" }

func (c unmarkedEndCase) isStream() bool { return c.route == "stream" || c.route == "once" }

// first answers the first attempt with a part of what other workers answer.
func (c unmarkedEndCase) first(conn net.Conn, r receivedRequest, listener net.Listener) bool {
	if c.worker == "ends" {
		_ = listener.Close()
	}
	open := false
	if c.isStream() {
		open = writeBody(conn, r, c.framing, formatEvent(1)+formatEvent(2))
	} else {
		open = writePlainBody(conn, r, c.framing, "a part")
	}
	if c.worker == "ends later" {
		time.AfterFunc(laterEnd, func() { _ = listener.Close() })
	}
	return open && c.worker == "lives"
}

// laterEnd is the time for which a worker that crashes still accepts connections.
const laterEnd = 40 * time.Millisecond

// expect checks what the caller has received, and the number of runs.
func (c unmarkedEndCase) expect(t *testing.T, got callResult, runs int) {
	t.Helper()
	part, whole := "a part", "the whole"
	if c.isStream() {
		part, whole = formatEvent(1)+formatEvent(2), formatEvent(1)+formatEvent(2)+formatEvent(3)
	}
	switch {
	case c.isWhole():
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, part)
		assert.Equal(t, runs, 1)
	case c.route == "stream" || c.route == "safe":
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, whole)
		assert.Equal(t, runs, 2)
	case c.route == "once":
		assert.Assert(t, got.err != nil, "the broken stream looks complete: %q", got.body)
		assert.Equal(t, got.body, part)
		assert.Equal(t, runs, 1)
	default:
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, runs, 1)
	}
}

// Guards against an answer that ends with the connection of a worker that has crashed and reaches its caller as
// complete, and against one of a sound worker that does not.
func TestEndWithConnectionOfEndedWorkerIsNotComplete(t *testing.T) {
	for _, framing := range streamFramings {
		for _, route := range []string{"safe", "unsafe", "stream", "once"} {
			for _, worker := range workerEnds {
				c := unmarkedEndCase{framing, route, worker}
				t.Run(framing+"/"+route+"/"+worker, func(t *testing.T) {
					t.Parallel()
					c.play(t)
				})
			}
		}
	}
}

func (c unmarkedEndCase) play(t *testing.T) {
	t.Helper()
	runs := make(chan struct{}, 10)
	var workers [2]*testWorker
	for n := range workers {
		workers[n] = startWorker(t, fmt.Sprint("w", n), func(_ int, conn net.Conn, r receivedRequest) bool {
			runs <- struct{}{}
			switch {
			case len(runs) == 1:
				return c.first(conn, r, workers[n].listener)
			case !c.isStream():
				return writePlainBody(conn, r, c.framing, "the whole")
			case r.request.Header.Get("Last-Event-Id") == "2":
				return writeBody(conn, r, c.framing, formatEvent(3))
			}
			return writeBody(conn, r, c.framing, formatEvent(1)+formatEvent(2)+formatEvent(3))
		})
	}
	got := startGateway(t, workers[:]...).call("POST", "/"+c.route+"/x", "prompt")
	c.expect(t, got, len(runs))
}

// Guards against a whole stream that looks broken because its worker has ended right behind the last event: another
// worker that is asked to go on has nothing left.
func TestStreamOfEndedWorkerEndsWithEmptyResumption(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			c := unmarkedEndCase{"connection", "stream", "ends"}
			var workers [2]*testWorker
			for n := range workers {
				workers[n] = startWorker(t, fmt.Sprint("w", n), func(_ int, conn net.Conn, r receivedRequest) bool {
					if r.request.Header.Get("Last-Event-Id") == "2" {
						return writeBody(conn, r, framing, "")
					}
					return c.first(conn, r, workers[n].listener)
				})
			}
			got := startGateway(t, workers[:]...).call("POST", "/stream/x", "prompt")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, formatEvent(1)+formatEvent(2))
		})
	}
}

// Guards against a stream that looks complete because no worker is left that could be asked whether it goes on.
func TestStreamOfEndedWorkerIsCutWithoutAnotherOne(t *testing.T) {
	c := unmarkedEndCase{"connection", "stream", "ends"}
	var w *testWorker
	w = startWorker(t, "w1", func(_ int, conn net.Conn, r receivedRequest) bool { return c.first(conn, r, w.listener) })
	got := startGateway(t, w).call("POST", "/stream/x", "prompt")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.err != nil, "the broken stream looks complete: %q", got.body)
	assert.Equal(t, got.body, formatEvent(1)+formatEvent(2))
}

// Guards against an answer of an ended worker that was set aside and is delivered as complete.
func TestHeldAnswerOfEndedWorkerIsNotDelivered(t *testing.T) {
	var workers [3]*testWorker
	runs := make(chan struct{}, 10)
	for n := range workers {
		workers[n] = startWorker(t, fmt.Sprint("w", n), func(_ int, conn net.Conn, r receivedRequest) bool {
			if r.request.Header.Get(DefaultHeaderNames.Model) != "small" {
				time.Sleep(50 * time.Millisecond)
				return false
			}
			runs <- struct{}{}
			if len(runs) > 1 {
				return writeBody(conn, r, "chunks", smallAnswer)
			}
			_ = workers[n].listener.Close()
			return writeBody(conn, r, "connection", formatEvent(1), DefaultHeaderNames.Confidence+": 10")
		})
	}
	got := startEscalationGateway(t, workers[:]...).call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, smallAnswer)
}

// Guards against a connection of its own for each look at a worker: the one that shows that it lives carries the next
// request.
func TestLookAtLivingWorkerOpensNoExtraConnection(t *testing.T) {
	const calls = 5
	gw := startGateway(t, startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		return writePlainBody(c, r, "connection", "ok")
	}))
	for range calls {
		got := gw.call("GET", "/safe/x", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, "ok")
	}
	assert.Assert(t, gw.gateway.metrics.workerConnections.Get() <= calls+1, "%d connections", gw.gateway.metrics.workerConnections.Get())
}
