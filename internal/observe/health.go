package observe

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

const (
	healthHeaderTimeout = 2 * time.Second
	healthReadTimeout   = 2 * time.Second
)

// Heartbeat is the tick of a main loop, read by the health endpoints. A loop
// that is blocked stops ticking, so that its tick goes stale.
type Heartbeat struct{ last atomic.Int64 }

// Beat records that the loop runs.
func (h *Heartbeat) Beat(now time.Time) { h.last.Store(now.UnixNano()) }

// Fresh reports whether the loop ran within limit.
func (h *Heartbeat) Fresh(now time.Time, limit time.Duration) bool {
	return now.UnixNano()-h.last.Load() <= int64(limit)
}

// Readiness says whether the process takes new work, and why not.
type Readiness func() (ready bool, reason string)

// HealthServer serves /livez, /readyz and /metrics on a listener of its own, so
// that it answers while the main loop is blocked.
type HealthServer struct {
	server   *http.Server
	listener net.Listener
}

// HealthOptions configure a HealthServer.
type HealthOptions struct {
	Address   string
	Heartbeat *Heartbeat
	// Stale is the age at which the heartbeat counts as stale.
	Stale   time.Duration
	Ready   Readiness
	Metrics *metrics.Set
}

// StartHealth opens the listener and serves it in a goroutine.
func StartHealth(o HealthOptions) (*HealthServer, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "health listener %s cannot be opened", o.Address)
	}
	router := mux.NewRouter()
	router.HandleFunc("/livez", o.livez).Methods(http.MethodGet)
	router.HandleFunc("/readyz", o.readyz).Methods(http.MethodGet)
	router.HandleFunc("/metrics", o.metrics).Methods(http.MethodGet)
	h := &HealthServer{
		server: &http.Server{
			Handler: router, ReadHeaderTimeout: healthHeaderTimeout,
			ReadTimeout: healthReadTimeout,
		},
		listener: listener,
	}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

// Address returns the bound address.
func (h *HealthServer) Address() string { return h.listener.Addr().String() }

// Close stops the server.
func (h *HealthServer) Close() error { return h.server.Close() }

func (o HealthOptions) alive() bool { return o.Heartbeat.Fresh(time.Now(), o.Stale) }

func (o HealthOptions) livez(w http.ResponseWriter, _ *http.Request) {
	if !o.alive() {
		http.Error(w, "main loop is blocked", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// readyz answers unready when the main loop is blocked, even if the last state
// that it published was ready.
func (o HealthOptions) readyz(w http.ResponseWriter, _ *http.Request) {
	if !o.alive() {
		http.Error(w, "main loop is blocked", http.StatusServiceUnavailable)
		return
	}
	if ready, reason := o.Ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (o HealthOptions) metrics(w http.ResponseWriter, _ *http.Request) {
	o.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
