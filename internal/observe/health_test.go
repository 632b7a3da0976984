package observe

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// Guards against clients of the health checks that take the memory and descriptors of the process, or keep the checks of
// the load balancer out: long heads, and connections that bring nothing.
func TestHealthServerIsBounded(t *testing.T) {
	beat := &Heartbeat{}
	beat.Beat(time.Now())
	h, err := StartHealth(HealthOptions{
		Address: "127.0.0.1:0", Heartbeat: beat, StaleAfter: time.Hour, Readiness: func() (bool, string) { return true, "" }, Metrics: metrics.NewSet(),
	})
	assert.NilError(t, err)
	defer func() { _ = h.Close() }()
	get := func(header string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+h.Address()+"/readyz", http.NoBody)
		assert.NilError(t, err)
		req.Header.Set("X-Long", header)
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, get(strings.Repeat("x", 4<<10)), http.StatusOK)
	assert.Equal(t, get(strings.Repeat("x", 64<<10)), http.StatusRequestHeaderFieldsTooLarge)
	var crowd []net.Conn
	for range 4 * maxHealthConnections {
		c, err := net.Dial("tcp", h.Address())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		crowd = append(crowd, c)
	}
	time.Sleep(500 * time.Millisecond) // some of them make room for the check
	assert.Equal(t, get(""), http.StatusOK)
	open := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // fails only on a closed connection
		if _, err := c.Read(make([]byte, 1)); err != nil && strings.Contains(err.Error(), "timeout") {
			open++
		}
	}
	assert.Assert(t, open <= maxHealthConnections, "%d connections are open", open)
}
