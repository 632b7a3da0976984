package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// olderCopyCase is a gateway that knew that a worker had left when the store came back from an older copy.
type olderCopyCase struct {
	store       *forwarding.Store
	gateways    []*gatewayHarness
	left, other *testWorker
	copy        forwarding.Copy
}

// incarnation returns the entry of a worker that started at a time.
func incarnation(w *testWorker, startUnixMs int64) forward.Worker {
	entry := w.worker()
	entry.StartUnixMs = startUnixMs
	return entry
}

// workerScript answers the requests of a worker.
type workerScript = func(n int, c net.Conn, r receivedRequest) bool

func answerDone(_ int, c net.Conn, r receivedRequest) bool {
	writeResponse(c, r, http.StatusOK, "done")
	return true
}

// startOlderCopyCase starts two workers and gateways with relays or without, and copies the store.
func startOlderCopyCase(t *testing.T, relayed bool, left workerScript) *olderCopyCase {
	t.Helper()
	c := &olderCopyCase{left: startWorker(t, "left", left), other: startWorker(t, "other", answerDone)}
	if relayed {
		var relay, second *gatewayHarness
		c.store, relay, second = startRelayPair(t)
		c.gateways = []*gatewayHarness{relay, second}
	} else {
		c.store = forwarding.NewStore()
		c.store.PutConfig(testConfig(1))
		c.gateways = []*gatewayHarness{startGatewayWith(t, testSettings(t), c.store)}
	}
	c.store.PutWorker(incarnation(c.left, 1))
	c.store.PutWorker(incarnation(c.other, 1))
	c.waitForWorkers(2)
	c.copy = c.store.CopyWorkers()
	return c
}

func (c *olderCopyCase) waitForWorkers(n int) {
	for _, gw := range c.gateways {
		gw.waitFor(fmt.Sprint("workers in use: ", n), func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == n })
	}
}

// drill takes the store away for a moment. It comes back with the copy, which all gateways read.
func (c *olderCopyCase) drill(t *testing.T) {
	t.Helper()
	c.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	c.store.ComeBack(c.copy)
	for _, gw := range c.gateways {
		gw.waitFor("list of the next era is in force", func() bool {
			gw.gateway.dispatcher.mu.Lock()
			defer gw.gateway.dispatcher.mu.Unlock()
			return gw.gateway.dispatcher.workersRevision >= forward.EraRevision(1, 0)
		})
	}
}

// requestsOfLeft sends unsafe requests through all gateways for a time and returns how many reached the worker that had
// left.
func (c *olderCopyCase) requestsOfLeft(t *testing.T, d time.Duration) int {
	t.Helper()
	before := len(c.left.requests())
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, gw := range c.gateways {
			assert.Equal(t, gw.call("POST", "/unsafe/x", "x").status, http.StatusOK)
		}
	}
	return len(c.left.requests()) - before
}

// Guards against requests at a worker whose entry was removed, after the store has come back from an older copy with the
// entry: six unsafe requests reached such a worker and were lost with it. Guards also against a worker that is born again,
// or writes another entry, and gets nothing.
func TestRemovedWorkerGetsNothingFromAnOlderCopy(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, returns := range []string{"not", "born again", "by a new entry"} {
			t.Run(fmt.Sprintf("relayed %v, returns %s", relayed, returns), func(t *testing.T) {
				t.Parallel()
				c := startOlderCopyCase(t, relayed, answerDone)
				c.store.RemoveWorker("left")
				c.waitForWorkers(1)
				c.drill(t)
				assert.Equal(t, c.requestsOfLeft(t, 2500*time.Millisecond), 0)
				switch returns {
				case "not":
					c.store.RemoveWorker("left") // the removal is written again
					assert.Equal(t, c.requestsOfLeft(t, 2500*time.Millisecond), 0)
					return
				case "born again":
					c.store.PutWorker(incarnation(c.left, 2))
				default:
					entry := incarnation(c.left, 1)
					entry.Slots++
					c.store.PutWorker(entry)
				}
				c.waitForWorkers(2)
				assert.Assert(t, c.requestsOfLeft(t, 200*time.Millisecond) > 0)
			})
		}
	}
}

// Guards against a worker that drained until its entry was removed and gets requests from an older copy that lists it as ready.
func TestDrainedWorkerGetsNothingFromAnOlderCopy(t *testing.T) {
	c := startOlderCopyCase(t, false, answerDone)
	draining := incarnation(c.left, 1)
	draining.Draining = true
	c.store.PutWorker(draining)
	c.waitForWorkers(1)
	c.store.RemoveWorker("left")
	c.gateways[0].waitFor("removal is in force", func() bool {
		c.gateways[0].gateway.dispatcher.mu.Lock()
		defer c.gateways[0].gateway.dispatcher.mu.Unlock()
		_, ok := c.gateways[0].gateway.dispatcher.workers.Find("left")
		return !ok
	})
	c.drill(t)
	assert.Equal(t, c.requestsOfLeft(t, 500*time.Millisecond), 0)
	assert.Assert(t, len(c.other.requests()) > 0)
}

// Guards against the notice of a worker that says that it leaves in an answer that ends after its entry was removed: it was
// dropped, and the worker got requests again from an older copy of the store in which its entry had stood for long.
func TestNoticeOfRemovedWorkerOutlastsItsEntry(t *testing.T) {
	answer := make(chan struct{})
	c := startOlderCopyCase(t, false, func(_ int, conn net.Conn, r receivedRequest) bool {
		<-answer
		writeResponse(conn, r, http.StatusOK, "done", DefaultHeaderNames.Leaving+": 1")
		return true
	})
	gw := c.gateways[0]
	for len(c.left.requests()) == 0 {
		go gw.call("POST", "/unsafe/x", "x")
		time.Sleep(5 * time.Millisecond)
	}
	c.store.RemoveWorker("left")
	c.waitForWorkers(1)
	close(answer)
	gw.waitFor("notice is known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return gw.gateway.dispatcher.placer.IsLeaving("left")
	})
	c.drill(t)
	// Another entry of the same incarnation: what the worker itself has said holds.
	entry := incarnation(c.left, 1)
	entry.Slots++
	c.store.PutWorker(entry)
	c.waitForWorkers(2)
	assert.Equal(t, c.requestsOfLeft(t, 300*time.Millisecond), 0)
	c.store.PutWorker(incarnation(c.left, 2))
	gw.waitFor("worker that was born again gets requests", func() bool { return c.requestsOfLeft(t, 20*time.Millisecond) > 0 })
}

// Guards against a worker that is kept out after a drill of the store because another one was found at its address before:
// that says nothing of its leaving, and the list of the next era may name its address.
func TestWorkerThatWasNotAtItsAddressIsUsedInTheNextEra(t *testing.T) {
	d := newDispatcher(testSettings(t), newNopLogger())
	list := &forward.Update{Full: true, Revision: forward.EraRevision(1, 5), Workers: []forward.WorkerChange{{Worker: forward.Worker{ID: "w", Service: "svc", Address: "10.1.0.1:80", StartUnixMs: 1}}}}
	d.applyWorkers(0, list)
	d.removeWorker(time.Second, "w")
	assert.Equal(t, len(d.usableWorkers), 0)
	list.Revision = forward.EraRevision(2, 4)
	d.applyWorkers(2*time.Second, list)
	assert.Equal(t, len(d.usableWorkers), 1)
}
