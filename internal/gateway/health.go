package gateway

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/intake"
)

// listenHealth serves readiness, liveness, status and metrics on an address, and with isForOperators
// also changes by operators.
func (g *Gateway) listenHealth(address string, isForOperators bool) (*http.Server, error) {
	listener, err := intake.ListenConfig(g.overload.callerReceiveBuffer).Listen(g.ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen for health checks or metrics on %s", address)
	}
	router := mux.NewRouter()
	router.HandleFunc("/readyz", g.serveReadyz)
	if g.settings.ReadyPath != "" {
		router.HandleFunc(g.settings.ReadyPath, g.serveReadyz)
	}
	router.HandleFunc("/state", g.serveState)
	g.addQuarantineRoutes(router, isForOperators)
	if isForOperators {
		router.HandleFunc("/explain", g.serveExplain).Methods(http.MethodGet)
	}
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server := newServer(router)
	server.ReadTimeout, server.IdleTimeout = healthTimeout, defaultCallerIdleTimeout
	go func() { _ = server.Serve(intake.NewListener(listener, g.healthOptions())) }()
	return server, nil
}

func (g *Gateway) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() {
		http.Error(w, "instance is leaving", http.StatusServiceUnavailable)
		return
	}
	if ok, reason := g.dispatcher.isReady(sinceBoot()); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	if !g.overload.isReady() {
		http.Error(w, "instance is at its limits", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
