package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow worker that no operator sees and that keeps its share of the requests.
func TestSlowWorkerIsShownAndAvoided(t *testing.T) {
	answer := func(wait time.Duration) func(int, net.Conn, receivedRequest) bool {
		return func(_ int, c net.Conn, r receivedRequest) bool {
			time.Sleep(wait)
			writeResponse(c, r, http.StatusOK, "ok", DefaultHeaderNames.Load+": 0,0,8,100")
			return true
		}
	}
	const usual = 20 * time.Millisecond
	slow := startWorker(t, "slow", answer(4*usual))
	gw := startGateway(t, startWorker(t, "w1", answer(usual)), startWorker(t, "w2", answer(usual)), slow)
	slowness := func() (learned float64) {
		for _, w := range gw.gateway.dispatcher.state(sinceBoot()).Workers {
			if w.ID == "slow" {
				learned = w.Learned
			}
		}
		return learned
	}
	const callers, calls = 6, 240
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range calls / callers {
				gw.call("GET", "/safe/x", "")
			}
		})
	}
	wait.Wait()
	t.Logf("%d of %d requests to the slow worker, estimate %.2f", len(slow.requests()), calls, slowness())
	assert.Assert(t, slowness() > 1.3, "%.2f", slowness())
	assert.Assert(t, len(slow.requests()) < calls/6, "%d requests to the slow worker", len(slow.requests()))
}
