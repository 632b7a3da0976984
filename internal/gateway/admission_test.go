package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/admission"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// startAdmittingGateway starts a gateway with admission and a worker that serves one request at a time in
// 100 ms, and lets it learn how long answers take.
func startAdmittingGateway(t *testing.T) (*gatewayHarness, *testWorker) {
	t.Helper()
	var serving sync.Mutex
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		serving.Lock()
		defer serving.Unlock()
		time.Sleep(100 * time.Millisecond)
		writeResponse(c, r, 200, "ok")
		return true
	})
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(w.worker())
	s := testSettings(t)
	s.Admission = true
	gw := startGatewayWith(t, s, store)
	for range 4 {
		assert.Equal(t, gw.call("POST", "/unsafe/a", "x").status, http.StatusOK)
	}
	return gw, w
}

// callTogether sends n requests at the same time and returns the responses.
func callTogether(gw *gatewayHarness, n int, path string) []callResult {
	out := make([]callResult, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { out[i] = gw.call("POST", path, "x", DefaultHeaderNames.DeadlineMs, "2000") })
	}
	calls.Wait()
	return out
}

// Guards against callers that all wait at a worker until their time is over: what the worker cannot begin in
// time waits at the gateway or is refused with a time to return, and what was refused has not run.
func TestOverloadWaitsOrIsRefused(t *testing.T) {
	gw, w := startAdmittingGateway(t)
	started := time.Now()
	served, refused := 0, 0
	for _, got := range callTogether(gw, 60, "/unsafe/a") {
		switch got.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			assert.Assert(t, got.header.Get("Retry-After") != "", "refusal without the time to return")
		default:
			t.Fatalf("unexpected response: %+v", got)
		}
	}
	assert.Assert(t, served >= 3 && refused >= 10, "%d served, %d refused\n%s", served, refused, gw.log.String())
	assert.Assert(t, time.Since(started) < 2*time.Second, "the last response came after %v, at the time limit of the callers", time.Since(started))
	assert.Equal(t, len(w.requests()), 4+served)
	assert.Equal(t, gw.gateway.admission.waiting(), 0)
	gw.waitFor("refusals are logged", func() bool { return strings.Contains(gw.log.String(), `"outcome":"refuse"`) })
	var metrics strings.Builder
	gw.gateway.metrics.set.WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `borageflow_gateway_admission_refused_total{priority="0"`))
}

// Guards against callers that left and whose requests are sent all the same, or hold a place in the queue.
func TestCallersThatLeaveAreDroppedFromQueue(t *testing.T) {
	gw, w := startAdmittingGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			req, err := http.NewRequestWithContext(ctx, "POST", gw.url+"/unsafe/left", strings.NewReader("x"))
			if err != nil {
				return
			}
			req.Host = "test"
			req.Header.Set("Authorization", "Bearer key-1")
			req.Header.Set(DefaultHeaderNames.DeadlineMs, "3000")
			if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	gw.waitFor("callers wait", func() bool { return gw.gateway.admission.waiting() > 0 })
	cancel()
	calls.Wait()
	gw.waitFor("nobody waits", func() bool { return gw.gateway.admission.waiting() == 0 })
	time.Sleep(300 * time.Millisecond) // what was sent before ends
	sent := len(w.requests())
	assert.Equal(t, gw.call("POST", "/unsafe/a", "x").status, http.StatusOK)
	assert.Equal(t, len(w.requests()), sent+1)
}

// Guards against requests that wait although the deployment does not ask for it.
func TestAdmissionIsOffByDefault(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool { writeResponse(c, r, 200, "ok"); return true })
	gw := startGateway(t, w)
	for _, got := range callTogether(gw, 20, "/unsafe/a") {
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(gw.gateway.admission.services), 0)
	assert.Equal(t, w.requests()[0].request.Header.Get(DefaultHeaderNames.Urgency), "")
}

// Guards against a request that may have run and is refused as one that has not, because its time ended while it
// waited for room for a repeat.
func TestRepeatThatWaitsInVainMayHaveRun(t *testing.T) {
	w := startWorker(t, "w1", answerOK)
	gw := startGateway(t, w)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for mayHaveRun, want := range map[bool]errkind.Kind{true: errkind.UpstreamFailed, false: errkind.Overloaded} {
		r := &request{gateway: gw.gateway, mayHaveRun: mayHaveRun}
		s := &admittedService{queue: admission.NewQueue(func() float64 { return 0 }), waiters: map[string]chan admission.Decision{}}
		_, refusal := r.awaitRoom(ended, s, admission.Decision{ID: "1"}, make(chan admission.Decision))
		assert.Equal(t, refusal.Kind, want)
	}
}

// Guards against requests that go on to be held back after a reload has switched admission off.
func TestReloadSwitchesAdmissionOff(t *testing.T) {
	gw, _ := startAdmittingGateway(t)
	assert.Equal(t, gw.call("POST", "/unsafe/a", "x").status, http.StatusOK)
	off := *gw.gateway.dispatcher.settings.Load()
	off.Admission = false
	gw.gateway.dispatcher.applySettings(off)
	for range 5 {
		assert.Equal(t, gw.call("POST", "/unsafe/a", "x").status, http.StatusOK)
	}
	time.Sleep(2 * roomMaxAge)
	gw.gateway.admission.mu.Lock()
	defer gw.gateway.admission.mu.Unlock()
	assert.Check(t, gw.gateway.admission.serviceFor(time.Now(), "svc") == nil)
}
