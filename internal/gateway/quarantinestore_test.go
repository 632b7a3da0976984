package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// condemn sends fatal requests to a gateway until their part is condemned.
func condemn(gw *gatewayHarness) {
	n := int64(0)
	gw.waitFor("part is condemned", func() bool {
		n += 10
		for i := range int64(4) {
			gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(n+i, "a", "b"))
		}
		return gw.refusesFatal(n + 9)
	})
}

// refusesFatal sends a fatal request and reports whether it is refused as quarantined.
func (gw *gatewayHarness) refusesFatal(n int64) bool {
	resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(n, "a", "b", fatalPart))
	return resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == ""
}

// Guards against gateways that start, or all start again after a power loss, and end workers anew.
func TestCondemnationOutlastsGateways(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 8, 100*time.Millisecond)
	first := startGatewayWith(t, testSettings(t), f.store)
	condemn(first)
	first.waitFor("condemnation is in the store", func() bool { return len(f.store.Condemnations()) == 1 })
	first.gateway.stopBackground()
	ends := f.endCount()
	second := startGatewayWith(t, testSettings(t), f.store)
	second.waitFor("condemnations are known", func() bool { return len(second.gateway.quarantine.condemnations()) == 1 })
	assert.Assert(t, second.refusesFatal(1))
	assert.Equal(t, f.endCount(), ends)
}

// Guards against a condemnation that is lost with the newest changes of the store.
func TestCondemnationIsWrittenAgainToOlderStore(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 8, 100*time.Millisecond)
	gw := startGatewayWith(t, testSettings(t), f.store)
	condemn(gw)
	gw.waitFor("condemnation is in the store", func() bool { return len(f.store.Condemnations()) == 1 })
	f.store.ForgetCondemnations()
	f.store.LoseHistory()
	gw.waitFor("condemnation is in the store again", func() bool { return len(f.store.Condemnations()) == 1 })
	assert.Assert(t, gw.refusesFatal(1))
}

// Guards against gateways whose exchange is cut and that learn of a condemnation by ended workers.
func TestCondemnationSpreadsThroughStore(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 8, 100*time.Millisecond)
	var gateways []*gatewayHarness
	for i := range 3 {
		s := testSettings(t)
		s.Instance = fmt.Sprintf("g%d", i)
		gateways = append(gateways, startGatewayWith(t, s, forwarding.NewForwardingStore(f.store)))
	}
	condemn(gateways[0])
	ends := f.endCount()
	gateways[2].waitFor("condemnation is known", func() bool { return len(gateways[2].gateway.quarantine.condemnations()) == 1 })
	assert.Assert(t, gateways[2].refusesFatal(1))
	assert.Equal(t, f.endCount(), ends)
}

// Guards against a condemnation that an operator cannot set, see or lift, and against changes through
// the listener of the balancer.
func TestOperatorSetsAndLiftsCondemnations(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 2, time.Minute)
	s := testSettings(t)
	s.MetricsAddress = freeAddress(t)
	gw := startGatewayWith(t, s, f.store)
	ask := func(address, method, path string) (int, string) {
		req, err := http.NewRequest(method, "http://"+address+path, nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		raw, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, strings.TrimSpace(string(raw))
	}
	check := func(address, method, path string, want int) {
		t.Helper()
		status, body := ask(address, method, path)
		assert.Equal(t, status, want, body)
	}
	check(s.HealthAddress, "PUT", "/quarantine/b?service=svc", http.StatusMethodNotAllowed)
	check(s.MetricsAddress, "PUT", "/quarantine/b?service=svc&for=-1s", http.StatusBadRequest)
	check(s.MetricsAddress, "PUT", "/quarantine/x?service=svc", http.StatusBadRequest)
	check(s.MetricsAddress, "DELETE", "/quarantine/b?service=svc", http.StatusNotFound)
	check(s.MetricsAddress, "PUT", "/quarantine/b?service=svc&for=1h", http.StatusNoContent)
	_, list := ask(s.HealthAddress, "GET", "/quarantine")
	assert.Assert(t, strings.Contains(list, `"part":"b"`) && strings.Contains(list, `"byOperator":true`), list)
	resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(1, "a", "b"))
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	gw.waitFor("condemnation is in the store", func() bool { return len(f.store.Condemnations()) == 1 })
	firstEnd := f.store.Condemnations()[0].UntilUnixMs
	check(s.MetricsAddress, "PUT", "/quarantine/b?service=svc&for=5h", http.StatusNoContent)
	gw.waitFor("the later end is in the store", func() bool {
		return f.store.Condemnations()[0].UntilUnixMs > firstEnd+(3*time.Hour).Milliseconds()
	})
	check(s.MetricsAddress, "DELETE", "/quarantine/b?service=svc", http.StatusNoContent)
	resp = gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(2, "a", "b"))
	assert.Equal(t, resp.status, http.StatusOK)
	gw.waitFor("the end of the condemnation is in the store", func() bool { return !f.store.Condemnations()[0].Condemned })
}
