package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// A stream that breaks off before its first event must not leave the worker's headers on
// the router's own failure: callers would take it for the worker's answer.
func TestFailureAfterBrokenStreamHasNoWorkerHeaders(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		streamHead(c, r)
		return false
	})
	b := startGateway(t, w)
	a := b.call("POST", "/once/x", "prompt")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, a.header.Get("X-Signature"), "")
}

// The worker must get the caller's method, path, query and body unchanged, the customer
// instead of the key, and its own ID as the only one that may run the request.
func TestForwardsRequestUnchanged(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "hello")
		return true
	})
	b := startGateway(t, w)
	a := b.call("POST", "/unsafe/a%2Fb?q=1&q=2", "body", OwnNames.Customer, "forged", OwnNames.ExpectWorker, "forged", "X-Other", "kept")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "hello")
	assert.Equal(t, a.header.Get("X-Signature"), "w1")
	got := w.requests()[0]
	assert.Equal(t, got.request.Method, "POST")
	assert.Equal(t, got.request.RequestURI, "/unsafe/a%2Fb?q=1&q=2")
	assert.Equal(t, got.request.Host, "test")
	assert.Equal(t, got.body, "body")
	assert.Equal(t, got.request.Header.Get(OwnNames.Customer), "ada")
	assert.Equal(t, got.request.Header.Get(OwnNames.ExpectWorker), "w1")
	assert.Equal(t, got.request.Header.Get("Authorization"), "")
	assert.Equal(t, got.request.Header.Get("X-Other"), "kept")
}

// An unsafe request whose connection broke may have run: it must not be sent again, and the
// answer must not promise that it has not run.
func TestUnsafeRequestIsNotRepeatedAfterReset(t *testing.T) {
	script := func(_ int, _ net.Conn, _ seen) bool { return false }
	w1, w2 := startWorker(t, "w1", script), startWorker(t, "w2", script)
	b := startGateway(t, w1, w2)
	a := b.call("POST", "/unsafe/x", "book")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, len(w1.requests())+len(w2.requests()), 1)
}

// A safe request goes to another worker after a reset and after a worker's own failure.
func TestSafeRequestIsRepeated(t *testing.T) {
	for _, fault := range []string{"reset", "failure"} {
		t.Run(fault, func(t *testing.T) {
			var attempts atomic.Int64
			script := func(_ int, c net.Conn, r seen) bool {
				if attempts.Add(1) == 1 {
					if fault == "failure" {
						reply(c, r, 500, "no")
						return true
					}
					return false
				}
				reply(c, r, 200, "yes")
				return true
			}
			b := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
			a := b.call("GET", "/safe/x", "")
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, "yes")
		})
	}
}

// A statement of a worker that it did not run the request allows another attempt of an
// unsafe request, and a truthful refusal when every worker says so.
func TestNotRunIsSentElsewhere(t *testing.T) {
	refuse := func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 503, "", OwnNames.NotRun+": 1")
		return true
	}
	serve := func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done")
		return true
	}
	w1, w2 := startWorker(t, "w1", refuse), startWorker(t, "w2", serve)
	b := startGateway(t, w1, w2)
	for range 4 {
		assert.Equal(t, b.call("POST", "/unsafe/x", "book").status, 200)
	}
	b = startGateway(t, startWorker(t, "w3", refuse))
	a := b.call("POST", "/unsafe/x", "book")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

// A worker at a reused address answers 421: the request goes elsewhere and the worker that
// is gone gets nothing more.
func TestWrongWorkerAtAddressIsDropped(t *testing.T) {
	w1 := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 421, "", OwnNames.WorkerID+": other")
		return true
	})
	w2 := startWorker(t, "w2", func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done")
		return true
	})
	b := startGateway(t, w1, w2)
	for range 6 {
		assert.Equal(t, b.call("POST", "/unsafe/x", "book").status, 200)
	}
	assert.Assert(t, len(w1.requests()) <= 1, "%d requests reached the address of a worker that is gone", len(w1.requests()))
}

// An answer to another request that arrives late on the same connection must not reach
// this caller.
func TestLateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: 5\r\n\r\nwrong", OwnNames.RequestID)
		reply(c, r, 200, "right")
		return true
	})
	b := startGateway(t, w)
	assert.Equal(t, b.call("GET", "/safe/x", "").body, "right")
}

// Bytes that a worker sends after its answer belong to no request: its connection must
// not be used again.
func TestExtraBytesAfterAnswerAreNotUsed(t *testing.T) {
	w := startWorker(t, "w1", func(n int, c net.Conn, r seen) bool {
		reply(c, r, 200, fmt.Sprint("answer ", n))
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return true
	})
	b := startGateway(t, w)
	for n := 1; n <= 3; n++ {
		assert.Equal(t, b.call("POST", "/unsafe/x", "q").body, fmt.Sprint("answer ", n))
		time.Sleep(20 * time.Millisecond)
	}
}

// A resumable stream that breaks off in the middle of an event goes on at another worker
// without a missing or doubled event.
func TestStreamResumesAtAnotherWorker(t *testing.T) {
	script := func(_ int, c net.Conn, r seen) bool {
		from := 0
		if last := r.request.Header.Get("Last-Event-Id"); last != "" {
			fmt.Sscan(last, &from)
			streamHead(c, r)
			for id := from + 1; id <= 5; id++ {
				chunk(c, event(id))
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		streamHead(c, r)
		chunk(c, event(1)+event(2)+"id: 3\nda")
		time.Sleep(20 * time.Millisecond)
		return false
	}
	b := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	a := b.call("POST", "/stream/x", "prompt")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, event(1)+event(2)+event(3)+event(4)+event(5))
}

// A stream that may not be resumed and breaks off must not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		streamHead(c, r)
		chunk(c, event(1))
		time.Sleep(20 * time.Millisecond)
		return false
	})
	b := startGateway(t, w)
	a := b.call("POST", "/once/x", "prompt")
	assert.Equal(t, a.status, 200)
	assert.Assert(t, a.err != nil, "the stream looked complete: %q", a.body)
}

// An answer without a length that ends with a reset is not complete.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nshort", OwnNames.RequestID, r.request.Header.Get(OwnNames.RequestID))
		return false
	})
	b := startGateway(t, w)
	assert.Equal(t, b.call("POST", "/unsafe/x", "q").status, http.StatusBadGateway)
}

// A caller that leaves must not keep a worker at work.
func TestCallerLeavingClosesWorkerConnection(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, _ seen) bool {
		var one [1]byte
		_, _ = c.Read(one[:]) // returns when the gateway closes
		return false
	})
	b := startGateway(t, w)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-1\r\n\r\n")
	b.waitFor("request reaches the worker", func() bool { return len(w.requests()) == 1 })
	assert.NilError(t, c.Close())
	select {
	case <-w.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the worker's connection stays open after the caller has left")
	}
}

// A key is refused once it is taken away, and every keyed request once the knowledge of
// the keys is too old, truthfully as not run.
func TestKeysAreRefusedWhenUnknownOrStale(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done")
		return true
	})
	b := startGateway(t, w)
	assert.Equal(t, b.call("GET", "/safe/x", "").status, 200)
	assert.Equal(t, b.call("GET", "/safe/x", "", "Authorization", "Bearer other").status, http.StatusUnauthorized)
	next := testConfig(2)
	next.Customers = map[string]forward.Customer{"key-2": {Name: "ada"}}
	b.store.PutConfig(next)
	b.waitFor("key is refused", func() bool { return b.call("GET", "/safe/x", "").status == http.StatusUnauthorized })
	b.store.SetDown(true)
	b.waitFor("stale keys are refused", func() bool {
		return b.call("GET", "/safe/x", "", "Authorization", "Bearer key-2").status == http.StatusServiceUnavailable
	})
	ready, err := http.Get(b.health + "/ready")
	assert.NilError(t, err)
	assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
	b.store.SetDown(false)
	b.waitFor("keys are known again", func() bool {
		return b.call("GET", "/safe/x", "", "Authorization", "Bearer key-2").status == 200
	})
}

// A configuration of a lower version must not replace a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := newCore(Settings{}, nopLog())
	assert.Assert(t, c.applyConfig(testConfig(5)))
	assert.Assert(t, !c.applyConfig(testConfig(4)))
	assert.Equal(t, c.view.Load().config.Version, int64(5))
}

// A request that outlasts the time limit of its route is answered then, not later.
func TestTimeLimitOfRouteIsKept(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, _ seen) bool {
		var one [1]byte
		_, _ = c.Read(one[:])
		return false
	})
	b := startGateway(t, w)
	next := testConfig(2)
	for i := range next.Routes {
		next.Routes[i].Timeout = 300 * time.Millisecond
	}
	b.store.PutConfig(next)
	b.waitFor("configuration is in force", func() bool { return b.gateway.core.view.Load().config.Version == 2 })
	started := time.Now()
	a := b.call("POST", "/unsafe/x", "q")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < 800*time.Millisecond, "answered after %v", time.Since(started))
}

// A cascade drops the answer of the smallest model when its confidence is low, and
// delivers a confident one.
func TestCascadeEscalatesOnLowConfidence(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		model := r.request.Header.Get(OwnNames.Model)
		confidence := "20"
		if r.body == "easy" || model != "small" {
			confidence = "90"
		}
		streamHead(c, r, OwnNames.Confidence+": "+confidence)
		chunk(c, "id: 1\ndata: "+model+"\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	b := startGateway(t, w)
	assert.Equal(t, b.call("POST", "/stream/x", "hard", OwnNames.Model, "auto").body, "id: 1\ndata: large\n\n")
	assert.Equal(t, b.call("POST", "/stream/x", "easy", OwnNames.Model, "auto").body, "id: 1\ndata: small\n\n")
}

// A process that leaves must finish what it has, tell callers to close, and refuse
// streams that would not end in time.
func TestDrainCutsNoRequest(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		<-release
		reply(c, r, 200, "done")
		return true
	})
	b := startGateway(t, w)
	result := make(chan answer, 1)
	go func() { result <- b.call("POST", "/unsafe/x", "q") }()
	b.waitFor("request reaches the worker", func() bool { return len(w.requests()) == 1 })
	left := make(chan error, 1)
	go func() { left <- b.gateway.drain(t.Context()) }()
	b.waitFor("readiness is withdrawn", func() bool {
		resp, err := http.Get(b.health + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	close(release)
	a := <-result
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "done")
	assert.NilError(t, <-left)
}

// Each run of a cascade counts as an attempt: a low confidence after as many runs as the
// route allows must not lead to another one.
func TestCascadeKeepsWithinAttemptsOfRoute(t *testing.T) {
	var attempts atomic.Int64
	script := func(_ int, c net.Conn, r seen) bool {
		if attempts.Add(1) == 1 {
			reply(c, r, 500, "no")
			return true
		}
		streamHead(c, r, OwnNames.Confidence+": 10")
		chunk(c, event(1))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	w1, w2, w3, w4 := startWorker(t, "w1", script), startWorker(t, "w2", script), startWorker(t, "w3", script), startWorker(t, "w4", script)
	b := startGateway(t, w1, w2, w3, w4)
	assert.Equal(t, b.call("POST", "/stream/x", "prompt", OwnNames.Model, "auto").status, 200)
	runs := len(w1.requests()) + len(w2.requests()) + len(w3.requests()) + len(w4.requests())
	assert.Assert(t, runs <= 3, "%d runs, 3 are allowed", runs)
}

// An overdue answer must be waited for when no repeat is left in the budget: giving it up
// would turn a late answer into a failure.
func TestOverdueAnswerIsAwaitedWithoutBudget(t *testing.T) {
	script := func(_ int, c net.Conn, r seen) bool {
		time.Sleep(900 * time.Millisecond) // beyond 3 times the target of 200 ms
		reply(c, r, 200, "late")
		return true
	}
	b := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	for b.gateway.core.spend("svc") {
	}
	a := b.call("GET", "/safe/x", "")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "late")
}

// A worker that answers before it has read a long body must not get other bytes where the
// rest of the body is due, and the buffer of the request must not be used for another one
// while it is still being written.
func TestEarlyAnswerToLongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	var foreign atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					reply(c, seen{request: request}, 200, "early")
					time.Sleep(20 * time.Millisecond)
					rest, _ := io.ReadAll(request.Body) // shorter when the gateway has closed
					foreign.Add(int64(len(rest) - bytes.Count(rest, []byte("x"))))
				}
			}()
		}
	}()
	b := startGateway(t)
	b.store.PutWorker(forward.Worker{ID: "w1", Service: "svc", Address: listener.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 8})
	b.waitFor("worker is known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return len(b.gateway.core.known) == 1
	})
	body := strings.Repeat("x", 1<<20)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 5 {
				a := b.call("POST", "/unsafe/x", body)
				assert.Check(t, a.status == 200 && a.body == "early", "%+v", a)
			}
		})
	}
	group.Wait()
	assert.Equal(t, foreign.Load(), int64(0), "bytes that are not of the body")
}
