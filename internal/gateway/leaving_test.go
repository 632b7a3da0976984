package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// domainBytes returns the bytes that were counted for a cause.
func (gw *gatewayHarness) domainBytes(cause forward.LeavingCause) uint64 {
	return gw.gateway.metrics.set.GetOrCreateCounter(`borageflow_gateway_domain_bytes_total{cause="` + string(cause) + `",domain="other"}`).Get()
}

// Guards against bytes between failure domains that are not counted, are counted for a worker at home, or for
// another cause.
func TestBytesBetweenDomainsAreCounted(t *testing.T) {
	home, away := startWorker(t, "home", answerOK), startWorker(t, "away", answerOK)
	s := testSettings(t)
	s.MaxEvacuateDelay = 3 * time.Second
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	for domain, w := range map[string]forward.Worker{s.FailureDomain: home.worker(), "elsewhere": away.worker()} {
		w.FailureDomain = domain
		store.PutWorker(w)
	}
	gw := startGatewayWith(t, s, store)
	const body = "0123456789"
	assert.Equal(t, gw.call(http.MethodPost, "/unsafe/x", body).status, http.StatusOK)
	for _, cause := range forward.LeavingCauses {
		assert.Equal(t, gw.domainBytes(cause), uint64(0), "%s, at home", cause)
	}
	store.PutEvacuation(s.FailureDomain)
	gw.waitFor("order is in force", func() bool { return len(gw.evacuated()) == 1 })
	assert.Equal(t, gw.call(http.MethodPost, "/unsafe/x", body).status, http.StatusOK)
	gw.waitFor("bytes are counted", func() bool { return gw.domainBytes(forward.LeftNoWorker) > 0 })
	// Request and answer have a head each; the bodies are those of the request and of answerOK.
	bytes := gw.domainBytes(forward.LeftNoWorker)
	assert.Assert(t, bytes > uint64(len(body)+len("ok")) && bytes < 2000, "%d bytes", bytes)
	for _, cause := range forward.LeavingCauses[1:] {
		assert.Equal(t, gw.domainBytes(cause), uint64(0), "%s", cause)
	}
}

// Guards against a cost of leaving that takes effect where the settings do not name it, and against one that
// is lost.
func TestLeavingIsWeighedWhereItIsSet(t *testing.T) {
	const head = `{"role":"gateway","instance":"g","failureDomain":"a","listen":{"callers":"127.0.0.1:1","health":"127.0.0.1:2"},"store":{"address":"127.0.0.1:3"}`
	s, err := ParseSettings([]byte(head + `}`))
	assert.NilError(t, err)
	assert.Assert(t, !s.LeavingIsSet)
	s, err = ParseSettings([]byte(head + `,"leaving":{"msPerMegabyte":80.5,"msPerRoundTrip":3}}`))
	assert.NilError(t, err)
	assert.Assert(t, s.LeavingIsSet)
	assert.Equal(t, s.LeavingCost, forward.LeavingCost{PerMegabyte: 80500 * time.Microsecond, PerRoundTrip: 3 * time.Millisecond})
	_, err = ParseSettings([]byte(head + `,"leaving":{"msPerMegabyte":-1}}`))
	assert.ErrorContains(t, err, "msPerMegabyte")
}
