package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// arrivals holds the times at which a worker received requests.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// mostWithin returns the largest number of arrivals within a window after a time.
func (a *arrivals) mostWithin(window time.Duration, after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, from := range a.at {
		if from.Before(after) {
			continue
		}
		n := 0
		for _, at := range a.at[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a worker that gets more requests than the limit that it names, summed over all
// gateways: in any 4 s at most one and a half times what the limit allows and 5 more.
func TestWorkerGetsNoMoreThanItsLimit(t *testing.T) {
	const limit = 1.0
	var limited arrivals
	serve := func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, http.StatusOK, "done")
		return true
	}
	w0 := startWorker(t, "w0", func(_ int, c net.Conn, r receivedRequest) bool {
		limited.add()
		writeResponse(c, r, http.StatusOK, "done", DefaultHeaderNames.RateLimit+": "+fmt.Sprint(limit))
		return true
	})
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	for _, w := range []*testWorker{w0, startWorker(t, "w1", serve), startWorker(t, "w2", serve)} {
		store.PutWorker(w.worker())
	}
	relay := freeAddress(t)
	var gateways []*gatewayHarness
	for i := range 4 {
		s := testSettings(t)
		s.Instance, s.PeerAddress, s.Relays = fmt.Sprint("gateway-", i), freeAddress(t), []string{relay}
		if i == 0 {
			s.PeerAddress = relay
		}
		gateways = append(gateways, startGatewayWith(t, s, store))
	}
	started := time.Now()
	var calls sync.WaitGroup
	refused := 0
	for time.Since(started) < 8*time.Second {
		for _, gw := range gateways {
			calls.Go(func() {
				if gw.call("GET", "/safe/x", "").status != http.StatusOK {
					limited.mu.Lock()
					refused++
					limited.mu.Unlock()
				}
			})
		}
		time.Sleep(80 * time.Millisecond)
	}
	calls.Wait()
	assert.Equal(t, refused, 0)
	most := limited.mostWithin(4*time.Second, started.Add(time.Second))
	assert.Assert(t, most <= int(1.5*4*limit)+5, "%d requests in 4 s", most)
	assert.Assert(t, most >= 1, "the worker is not used any more")
}

// Guards against callers that wait for a worker which may not get their requests: if no worker of
// the service may, the request is refused at once, as not run and with a time to come back.
func TestRequestIsRefusedWhileAllWorkersAreAtTheirLimits(t *testing.T) {
	var served arrivals
	w := startWorker(t, "w", func(_ int, c net.Conn, r receivedRequest) bool {
		served.add()
		writeResponse(c, r, http.StatusOK, "done", DefaultHeaderNames.RateLimit+": 0.5")
		return true
	})
	gw := startGateway(t, w)
	refusals := 0
	for range 40 {
		started := time.Now()
		got := gw.call("GET", "/safe/x", "")
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
		if got.status != http.StatusOK {
			refusals++
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, refusals >= 30, "%d refused", refusals)
	assert.Assert(t, served.mostWithin(4*time.Second, time.Time{}) <= int(1.5*4*0.5)+5)
	gw.waitFor("worker gets requests again", func() bool {
		time.Sleep(50 * time.Millisecond)
		return gw.call("GET", "/safe/x", "").status == http.StatusOK
	})
}

// Guards against a worker that gets requests after it has said in an answer that it leaves, also when
// its entry in the store disappears and comes back as ready, and against a worker that starts again
// under the same ID and gets none.
func TestLeavingWorkerGetsNothing(t *testing.T) {
	leaving := startWorker(t, "w0", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, http.StatusOK, "w0", DefaultHeaderNames.Leaving+": 1")
		return true
	})
	other := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, http.StatusOK, "w1")
		return true
	})
	gw := startGateway(t, leaving, other)
	gw.waitFor("worker has said that it leaves", func() bool { return gw.call("GET", "/safe/x", "").body == "w0" })
	expectNone := func() {
		t.Helper()
		before := len(leaving.requests())
		for range 20 {
			assert.Equal(t, gw.call("GET", "/safe/x", "").body, "w1")
		}
		assert.Equal(t, len(leaving.requests()), before)
	}
	usable := func(n int) func() bool {
		return func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == n }
	}
	expectNone()
	gw.store.RemoveWorker("w0")
	gw.waitFor("entry has disappeared", usable(1))
	gw.store.PutWorker(leaving.worker())
	gw.waitFor("entry is back", usable(2))
	expectNone()
	restarted := leaving.worker()
	restarted.StartUnixMs = 7
	gw.store.PutWorker(restarted)
	gw.waitFor("worker that started again gets requests", func() bool { return gw.call("GET", "/safe/x", "").body == "w0" })
}

// Guards against callers that wait for workers of which all leave.
func TestRequestIsRefusedWhileAllWorkersLeave(t *testing.T) {
	w := startWorker(t, "w", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, http.StatusOK, "done", DefaultHeaderNames.Leaving+": 1")
		return true
	})
	gw := startGateway(t, w)
	assert.Equal(t, gw.call("GET", "/safe/x", "").status, http.StatusOK)
	started := time.Now()
	got := gw.call("POST", "/unsafe/x", "q")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	assert.Equal(t, len(w.requests()), 1)
}

// Guards against a worker that turned a request away with a time to come back and gets others
// before it has passed, and against one that gets none afterwards.
func TestWorkerThatAskedForAPauseGetsNothingInIt(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var turnedAway arrivals
	busy := startWorker(t, "w0", func(_ int, c net.Conn, r receivedRequest) bool {
		turnedAway.add()
		writeResponse(c, r, http.StatusServiceUnavailable, "", DefaultHeaderNames.NotRun+": 1", "Retry-After: 1.5")
		return true
	})
	other := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, http.StatusOK, "w1")
		return true
	})
	gw := startGateway(t, busy, other)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Equal(t, gw.call("GET", "/safe/x", "").body, "w1")
	}
	assert.Equal(t, turnedAway.mostWithin(pause-100*time.Millisecond, time.Time{}), 1)
	assert.Assert(t, len(busy.requests()) >= 2)
}

// Guards against callers that wait, or are told to come back at once, while all workers of a service
// asked for a pause.
func TestRequestIsRefusedWhileAllWorkersAskedForAPause(t *testing.T) {
	w := startWorker(t, "w", func(n int, c net.Conn, r receivedRequest) bool {
		if n == 1 {
			writeResponse(c, r, http.StatusServiceUnavailable, "", DefaultHeaderNames.NotRun+": 1", "Retry-After: 2")
			return true
		}
		writeResponse(c, r, http.StatusOK, "done")
		return true
	})
	gw := startGateway(t, w)
	started := time.Now()
	for range 3 {
		got := gw.call("POST", "/unsafe/x", "q")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, wait >= 1.4 && wait <= 3.4, "%v", wait)
	}
	assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	assert.Equal(t, len(w.requests()), 1)
}
