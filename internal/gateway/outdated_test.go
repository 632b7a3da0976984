package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// Guards against a final refusal by a configuration that may be outdated.
func TestOutdatedConfigurationRefusesNothingForGood(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, 200, "done")
		return true
	})
	platform := forwarding.NewStore()
	platform.PutConfig(testConfig(1))
	platform.PutWorker(w.worker())
	store := forwarding.NewForwardingStore(platform)
	s := testSettings(t)
	s.MaxApplyDelay, s.MaxRevokeDelay = 600*time.Millisecond, 10*time.Second
	gw := startGatewayWith(t, s, store)
	gw.waitFor("workers are known", func() bool { return len(gw.gateway.dispatcher.usableAddresses()) == 1 })
	assert.Equal(t, gw.call("GET", "/added/x", "").status, http.StatusNotFound)
	assert.Equal(t, gw.call("GET", "/safe/x", "", "Authorization", "Bearer key-2").status, http.StatusUnauthorized)

	store.SetDown(true)
	next := testConfig(2)
	added := next.Routes[0]
	added.Name, added.PathPrefix = "added", "/added/"
	next.Routes = append(next.Routes, added)
	next.Customers["key-2"] = forward.Customer{Name: "bob"}
	platform.PutConfig(next)
	time.Sleep(s.MaxApplyDelay)
	for name, got := range map[string]callResult{
		"route": gw.call("GET", "/added/x", ""),
		"key":   gw.call("GET", "/safe/x", "", "Authorization", "Bearer key-2"),
	} {
		assert.Equal(t, got.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, got.header.Get("Retry-After") != "", name)
	}
	assert.Equal(t, gw.call("GET", "/safe/x", "").status, http.StatusOK, "what the known configuration allows is served")

	store.SetDown(false)
	gw.waitFor("the configuration is in force", func() bool { return gw.call("GET", "/added/x", "").status == http.StatusOK })
	assert.Equal(t, gw.call("GET", "/missing/x", "").status, http.StatusNotFound)
}
