package observe

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/intake"
)

// Bounds of the requests to the health listener, which shares the memory of the process.
const (
	healthHeaderTimeout = 2 * time.Second
	healthReadTimeout   = 2 * time.Second
	healthIdleTimeout   = time.Minute
	// maxHealthConnections leaves room for a load balancer, a monitor and operators.
	maxHealthConnections = 32
	maxHealthHeaderBytes = 8 << 10
	// healthReceiveBuffer is the size of the kernel's receive buffers in bytes, which holds any request.
	healthReceiveBuffer = 8 << 10
)

// Heartbeat holds the time of the last iteration of a main loop. The health endpoints read
// it: when the loop is blocked, the time becomes stale.
type Heartbeat struct{ lastBeatUnixNs atomic.Int64 }

// Beat records an iteration of the loop.
func (h *Heartbeat) Beat(now time.Time) { h.lastBeatUnixNs.Store(now.UnixNano()) }

// IsFresh reports whether the last beat is at most limit old.
func (h *Heartbeat) IsFresh(now time.Time, limit time.Duration) bool {
	return now.UnixNano()-h.lastBeatUnixNs.Load() <= int64(limit)
}

// ReadinessFunc reports whether the process accepts new work. When it does not, reason is the
// text that /readyz answers.
type ReadinessFunc func() (ready bool, reason string)

// HealthServer serves /livez, /readyz and /metrics on its own listener and goroutines, so
// that it can answer while the main loop is blocked.
type HealthServer struct {
	server   *http.Server
	listener net.Listener
}

// HealthOptions configures a HealthServer.
type HealthOptions struct {
	// Address is the host:port to listen on.
	Address string
	// Heartbeat is the heartbeat of the main loop.
	Heartbeat *Heartbeat
	// StaleAfter is the age of the last beat above which the loop counts as blocked.
	StaleAfter time.Duration
	// Readiness is called for every request to /readyz.
	Readiness ReadinessFunc
	// Metrics is the set that /metrics serves, in addition to the process metrics.
	Metrics *metrics.Set
}

// StartHealth opens the listener and serves it in a goroutine. It returns an error when
// the address cannot be listened on.
func StartHealth(o HealthOptions) (*HealthServer, error) {
	listener, err := intake.ListenConfig(healthReceiveBuffer).Listen(context.Background(), "tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "health listener %s cannot be opened", o.Address)
	}
	router := mux.NewRouter()
	router.HandleFunc("/livez", o.livez).Methods(http.MethodGet)
	router.HandleFunc("/readyz", o.readyz).Methods(http.MethodGet)
	router.HandleFunc("/metrics", o.metrics).Methods(http.MethodGet)
	h := &HealthServer{
		server: &http.Server{
			Handler: router, ReadHeaderTimeout: healthHeaderTimeout, ReadTimeout: healthReadTimeout, IdleTimeout: healthIdleTimeout,
		},
		listener: listener,
	}
	limits := intake.Limits{HeaderBytes: maxHealthHeaderBytes, HeaderTimeout: healthHeaderTimeout, IdleTimeout: healthIdleTimeout}
	bounded := intake.NewListener(listener, intake.Options{MaxConnections: maxHealthConnections, Limits: func() intake.Limits { return limits }})
	go func() { _ = h.server.Serve(bounded) }()
	return h, nil
}

// Address returns the address that the server listens on, with the actual port.
func (h *HealthServer) Address() string { return h.listener.Addr().String() }

// Close closes the listener and all connections.
func (h *HealthServer) Close() error { return h.server.Close() }

func (o HealthOptions) isAlive() bool { return o.Heartbeat.IsFresh(time.Now(), o.StaleAfter) }

func (o HealthOptions) livez(w http.ResponseWriter, _ *http.Request) {
	if !o.isAlive() {
		http.Error(w, "main loop is blocked", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// readyz answers 503 when the main loop is blocked, even if the readiness that the loop
// published last was true.
func (o HealthOptions) readyz(w http.ResponseWriter, _ *http.Request) {
	if !o.isAlive() {
		http.Error(w, "main loop is blocked", http.StatusServiceUnavailable)
		return
	}
	if ready, reason := o.Readiness(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (o HealthOptions) metrics(w http.ResponseWriter, _ *http.Request) {
	o.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
