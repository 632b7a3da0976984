package gateway

import (
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

// smallAnswer is what the smallest model answers in these tests.
const smallAnswer = "id: 1\ndata: small\n\nid: 2\ndata: small\n\n"

// answerSmall writes the answer of the smallest model with a low confidence, with a pause between
// its two events.
func answerSmall(c net.Conn, r receivedRequest, pause time.Duration) {
	writeStreamHeader(c, r, DefaultHeaderNames.Confidence+": 10")
	writeChunk(c, smallAnswer[:len(smallAnswer)/2])
	time.Sleep(pause)
	writeChunk(c, smallAnswer[len(smallAnswer)/2:])
	fmt.Fprint(c, "0\r\n\r\n")
}

// startEscalationGateway starts a gateway whose stream route has a latency target of 200 ms, so
// that a larger model is given up after 600 ms.
func startEscalationGateway(t *testing.T, workers ...*testWorker) *gatewayHarness {
	t.Helper()
	config := testConfig(1)
	for i := range config.Routes {
		if config.Routes[i].Name == "stream" {
			config.Routes[i].LatencyTarget = 200 * time.Millisecond
		}
	}
	return startGatewayOf(t, config, workers...)
}

// Guards against a caller who ends with nothing although an answer of the smallest model was
// ready: it was dropped for a larger model that then failed, refused or never began.
func TestEscalationKeepsAnswerAtHand(t *testing.T) {
	for name, larger := range map[string]func(c net.Conn, r receivedRequest) bool{
		"larger model resets":    func(net.Conn, receivedRequest) bool { return false },
		"larger model is silent": func(net.Conn, receivedRequest) bool { time.Sleep(4 * time.Second); return false },
		"larger model has no event": func(c net.Conn, r receivedRequest) bool {
			writeStreamHeader(c, r)
			time.Sleep(30 * time.Millisecond)
			return false
		},
		"larger model is full": func(c net.Conn, r receivedRequest) bool {
			writeResponse(c, r, http.StatusServiceUnavailable, "", DefaultHeaderNames.NotRun+": 1")
			return true
		},
		"larger model fails": func(c net.Conn, r receivedRequest) bool {
			writeResponse(c, r, http.StatusInternalServerError, "no")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(_ int, c net.Conn, r receivedRequest) bool {
				if r.request.Header.Get(DefaultHeaderNames.Model) != "small" {
					return larger(c, r)
				}
				answerSmall(c, r, 50*time.Millisecond)
				return true
			}
			gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
			started := time.Now()
			resp := gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto")
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Equal(t, resp.body, smallAnswer)
			assert.Assert(t, time.Since(started) < time.Second, "answer after %v", time.Since(started))
			gw.waitFor("kept answer is dropped", func() bool { return len(gw.gateway.heldSlots) == 0 })
		})
	}
}

// Guards against two workers that run one request for longer than the overlap, and against a
// caller who ends with nothing because the answer at hand was too long to be kept: the smallest
// model is then asked again.
func TestLongAnswerIsAskedForAgain(t *testing.T) {
	var smallRuns atomic.Int64
	firstEnded := make(chan time.Duration, 1)
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.Header.Get(DefaultHeaderNames.Model) != "small" {
			time.Sleep(4 * time.Second)
			return false
		}
		if smallRuns.Add(1) > 1 {
			answerSmall(c, r, 0)
			return true
		}
		started := time.Now()
		writeStreamHeader(c, r, DefaultHeaderNames.Confidence+": 10")
		writeChunk(c, formatEvent(1))
		_, _ = c.Read(make([]byte, 1)) // returns when the gateway closes the connection
		firstEnded <- time.Since(started)
		return false
	}
	gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script), startWorker(t, "w3", script))
	resp := gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto")
	assert.Equal(t, resp.body, smallAnswer)
	assert.Assert(t, <-firstEnded < 400*time.Millisecond)
	assert.Equal(t, smallRuns.Load(), int64(2))
}

// Guards against an answer that is delivered twice or mixed with that of the larger model, and
// against a kept answer that holds its place for the whole stream of the larger model.
func TestLargerAnswerReplacesKeptOne(t *testing.T) {
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.Header.Get(DefaultHeaderNames.Model) == "small" {
			answerSmall(c, r, 20*time.Millisecond)
			return true
		}
		time.Sleep(100 * time.Millisecond)
		writeStreamHeader(c, r)
		writeChunk(c, formatEvent(1))
		time.Sleep(400 * time.Millisecond)
		writeChunk(c, formatEvent(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	result := make(chan callResult, 1)
	go func() { result <- gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto") }()
	gw.waitFor("an answer is kept", func() bool { return len(gw.gateway.heldSlots) == 1 })
	gw.waitFor("kept answer is dropped", func() bool { return len(gw.gateway.heldSlots) == 0 })
	assert.Equal(t, len(result), 0, "the larger model still answers")
	assert.Equal(t, (<-result).body, formatEvent(1)+formatEvent(2))
}

// Guards against a log line from which an on-call engineer cannot tell why a caller got the
// answer that it got.
func TestRequestLogExplainsEscalation(t *testing.T) {
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.Header.Get(DefaultHeaderNames.Model) != "small" {
			return false
		}
		answerSmall(c, r, 0)
		return true
	}
	gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	assert.Equal(t, gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto").body, smallAnswer)
	gw.waitFor("request is logged", func() bool { return strings.Contains(gw.log.String(), "request has ended") })
	for _, want := range []string{`"confidence":10`, `"min_confidence":`, `"start_ms":`, `"header_ms":-1`, `"no_retry":"route allows no further run"`, `"delivered":"answer set aside for a larger model"`} {
		assert.Assert(t, strings.Contains(gw.log.String(), want), "%s is missing in %s", want, gw.log.String())
	}
	var out strings.Builder
	gw.gateway.metrics.set.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `borageflow_gateway_escalation_outcomes_total{route="stream",outcome="held"} 1`), out.String())
}

// Guards against silence that is noticed when most of the remaining time is gone, so that no other worker can
// answer in time.
func TestSilenceIsNoticedInTimeForAnotherWorker(t *testing.T) {
	r := &request{route: &forward.Route{Resumable: true, MaxAttempts: 3, GapTarget: 800 * time.Millisecond}, deadline: time.Now().Add(2500 * time.Millisecond), runCount: 2}
	assert.Assert(t, time.Until(r.pieceOverdue()) <= time.Second)
	r.deadline = time.Now().Add(time.Minute)
	assert.Assert(t, time.Until(r.pieceOverdue()) > 2300*time.Millisecond)
}

// Guards against a larger model that is given up, because it is silent, for a second answer of the smallest one that
// no worker then gives.
func TestLargerModelIsKeptUntilSmallestAnswers(t *testing.T) {
	var smallRuns atomic.Int64
	larger := formatEvent(1) + formatEvent(2)
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.Header.Get(DefaultHeaderNames.Model) != "small" {
			time.Sleep(1500 * time.Millisecond) // it is overdue after 600 ms
			writeStreamHeader(c, r)
			writeChunk(c, larger)
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		if smallRuns.Add(1) > 1 {
			writeResponse(c, r, http.StatusServiceUnavailable, "full", DefaultHeaderNames.NotRun+": 1")
			return true
		}
		writeStreamHeader(c, r, DefaultHeaderNames.Confidence+": 10")
		writeChunk(c, formatEvent(1))
		_, _ = c.Read(make([]byte, 1)) // returns when the gateway closes the connection: the answer is too slow to be kept
		return false
	}
	gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script), startWorker(t, "w3", script))
	got := gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, gw.log.String())
	assert.Equal(t, got.body, larger)
}
