package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against gateways that send their requests to workers which are busy with the requests of
// other gateways: the loads must reach every gateway through its relay within a second, and go
// when the requests have ended.
func TestLoadsReachOtherGateways(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		if r.body == "slow" {
			time.Sleep(600 * time.Millisecond)
		} else {
			<-release
		}
		writeResponse(c, r, http.StatusOK, "done")
		return true
	})
	store, relay, other := startRelayPair(t)
	store.PutWorker(w.worker())
	estimate := func(gw *gatewayHarness) float64 {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		load, _ := gw.gateway.dispatcher.placer.LoadEstimate(sinceBoot(), "w1")
		return load
	}
	for _, gw := range []*gatewayHarness{relay, other} {
		gw.waitFor("worker is known", func() bool {
			gw.gateway.dispatcher.mu.Lock()
			defer gw.gateway.dispatcher.mu.Unlock()
			return len(gw.gateway.dispatcher.usableWorkers) == 1
		})
	}
	for _, gw := range []*gatewayHarness{relay, other} {
		gw.call("POST", "/unsafe/x", "slow") // the loads of others count where answers take long
	}
	done := make(chan callResult, 5)
	call := func(gw *gatewayHarness, n int) {
		for range n {
			go func() { done <- gw.call("POST", "/unsafe/x", "q") }()
		}
	}
	call(other, 3)
	call(relay, 2)
	started := time.Now()
	relay.waitFor("relay knows all requests", func() bool { return estimate(relay) == 5 })
	other.waitFor("gateway knows all requests", func() bool { return estimate(other) == 5 })
	assert.Assert(t, time.Since(started) < 2*time.Second)
	close(release)
	for range 5 {
		assert.Equal(t, (<-done).status, http.StatusOK)
	}
	relay.waitFor("loads have ended at the relay", func() bool { return estimate(relay) == 0 })
	other.waitFor("loads have ended at the gateway", func() bool { return estimate(other) == 0 })
}
