package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// panickyHeaders panics on a request, or on an answer, with a header X-Panic.
type panickyHeaders struct{ HeaderCodec }

func (p panickyHeaders) RequestMeta(h http.Header) forward.RequestMeta {
	if h.Get("X-Panic") == "request" {
		panic("malformed request")
	}
	return p.HeaderCodec.RequestMeta(h)
}

func (p panickyHeaders) ResponseMeta(h http.Header) forward.AnswerMeta {
	if h.Get("X-Panic") != "" {
		panic("malformed answer")
	}
	return p.HeaderCodec.ResponseMeta(h)
}

// Guards against one request or answer that ends the gateway, and against an error that nobody can find
// afterwards.
func TestUnexpectedErrorEndsOneRequestAlone(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		if r.request.URL.Path == "/safe/answer" {
			writeResponse(c, r, 200, "x", "X-Panic: 1")
			return true
		}
		writeResponse(c, r, 200, "sound")
		return true
	})
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(w.worker())
	s := testSettings(t)
	out := &lockedBuffer{}
	log, lines, err := newLogger(s, out)
	assert.NilError(t, err)
	g := newGateway(s, Dependencies{Store: store, Headers: panickyHeaders{DefaultHeaderNames}, LogOutput: out}, log, lines)
	assert.NilError(t, g.start(context.Background()))
	gw := &gatewayHarness{t: t, store: store, gateway: g, log: out, url: "http://" + s.CallerAddress}
	t.Cleanup(func() { assert.Check(t, g.drain(context.Background())) })
	gw.waitFor("worker is known", func() bool { return gw.call("GET", "/safe/x", "").status == 200 })
	assert.Equal(t, gw.call("GET", "/safe/x", "", "X-Panic", "request").status, http.StatusInternalServerError)
	assert.Equal(t, gw.call("GET", "/safe/answer", "").status, http.StatusInternalServerError)
	assert.Equal(t, gw.call("GET", "/safe/x", "").body, "sound")
	gw.waitFor("the causes are logged", func() bool {
		return strings.Contains(out.String(), "malformed request") && strings.Contains(out.String(), "malformed answer")
	})
	var metrics strings.Builder
	g.metrics.set.WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `borageflow_gateway_panics_total{duty="request"} 2`), metrics.String())
}

// Guards against a duty of the gateway that ends the process, or ends for good, after one unexpected error.
func TestUnexpectedErrorDoesNotEndDuty(t *testing.T) {
	gw := startGateway(t)
	assert.Assert(t, !gw.gateway.protect("exchange", func() { panic("malformed message") }))
	assert.Assert(t, gw.gateway.protect("exchange", func() {}))
	gw.waitFor("the error is logged", func() bool { return strings.Contains(gw.log.String(), "malformed message") })
}
