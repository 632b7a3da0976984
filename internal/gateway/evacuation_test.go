package gateway

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

func answerOK(_ int, c net.Conn, r receivedRequest) bool {
	writeResponse(c, r, http.StatusOK, "ok")
	return true
}

// evacuated returns the failure domains that the gateway takes to be evacuated.
func (gw *gatewayHarness) evacuated() []string {
	gw.gateway.dispatcher.mu.Lock()
	defer gw.gateway.dispatcher.mu.Unlock()
	return gw.gateway.dispatcher.evacuations.Domains()
}

// Guards against requests to an evacuated failure domain: after the order, while the store is away, and by
// gateways that start during it, whether they read from the store or from a relay that cannot reach it.
// Guards, too, against an order that stays in force after it was taken back.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	a, b := startWorker(t, "a", answerOK), startWorker(t, "b", answerOK)
	domainOf := func(w *testWorker, domain string) forward.Worker {
		out := w.worker()
		out.FailureDomain = domain
		return out
	}
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(domainOf(a, "a"))
	store.PutWorker(domainOf(b, "b"))
	address := freeAddress(t)
	start := func(instance, listen string, own *forwarding.Store) *gatewayHarness {
		s := testSettings(t)
		s.Instance, s.PeerAddress, s.Relays = instance, listen, []string{address}
		s.MaxDrainDelay, s.MaxApplyDelay, s.MaxEvacuateDelay = 3*time.Second, 3*time.Second, 3*time.Second
		return startGatewayWith(t, s, own)
	}
	relay := start("relay", address, forwarding.NewForwardingStore(store))
	gateways := []*gatewayHarness{relay, start("other", freeAddress(t), forwarding.NewForwardingStore(store))}
	store.PutEvacuation("a")
	for _, gw := range gateways {
		gw.waitFor("order is in force", func() bool { return slices.Equal(gw.evacuated(), []string{"a"}) })
	}
	cutOff := forwarding.NewForwardingStore(store)
	cutOff.SetDown(true)
	gateways = append(gateways, start("late", freeAddress(t), cutOff))
	before := len(a.requests())
	for i, gw := range gateways {
		for range 20 {
			assert.Equal(t, gw.call(http.MethodPost, "/unsafe/x", "").status, http.StatusOK, "gateway %d", i)
		}
	}
	assert.Equal(t, len(a.requests()), before, "worker of the evacuated domain got requests")
	assert.Equal(t, len(b.requests()), 60)

	store.PutEvacuation("b")
	relay.waitFor("both orders are in force", func() bool { return len(relay.evacuated()) == 2 })
	refused := relay.call(http.MethodPost, "/unsafe/x", "")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Check(t, refused.header.Get("Retry-After") != "")
	store.RemoveEvacuation("a")
	store.RemoveEvacuation("b")
	for _, gw := range gateways {
		gw.waitFor("order is taken back", func() bool { return len(gw.evacuated()) == 0 })
		assert.Equal(t, gw.call(http.MethodPost, "/unsafe/x", "").status, http.StatusOK)
	}
}

// Guards against a topic of the store that is read where the settings do not call for it.
func TestEvacuationsAreNotReadWithoutTheirBound(t *testing.T) {
	gw := startGateway(t)
	gw.store.PutEvacuation("a")
	assert.Equal(t, gw.store.ActiveWatches(forward.EvacuationTopic), 0)
	assert.Equal(t, len(gw.evacuated()), 0)
}
