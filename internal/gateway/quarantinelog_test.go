package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// Guards against a broken answer of which the log does not say why it counts as no end of its worker.
func TestLogTellsWhyBreakIsNotCounted(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, time.Minute)
	f.configure = func(c *forwarding.WorkerConfig) { c.Form = forwarding.BreaksOnly }
	f.start()
	gw := startGatewayWith(t, testSettings(t), f.store)
	resp := gw.call("GET", "/safe/fatal", "")
	assert.Equal(t, resp.status, http.StatusBadGateway)
	gw.waitFor("break is logged", func() bool {
		log := gw.log.String()
		return strings.Contains(log, "counts as no end of a worker") && strings.Contains(log, string(workerAccepts))
	})
	assert.Assert(t, !strings.Contains(gw.log.String(), "worker has ended"), gw.log.String())
}

// Guards against a suspected request that is sent without a word on why.
func TestLogTellsWhySuspectIsSent(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 4, 50*time.Millisecond)
	gw := startGatewayWith(t, testSettings(t), f.store)
	for range 60 {
		gw.call("GET", "/safe/sound", "")
	}
	gw.call("GET", "/safe/fatal", "")
	gw.waitFor("suspect is logged", func() bool {
		gw.call("GET", "/safe/fatal", "")
		return strings.Contains(gw.log.String(), "request has a suspected part")
	})
	assert.Assert(t, strings.Contains(gw.log.String(), `"outcome":"sent"`), gw.log.String())
}
