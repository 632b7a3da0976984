// Package weights is a stand-in for the weight store of docs/protocols.md. It serves the
// weights of model versions up to a rate limit and answers 429 with Retry-After above it.
//
// It supports the fault kinds delay, cut, refuse, error, truncate and freeze; a fault's
// target is a version.
package weights

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// Server is the running HTTP server of a weight store.
type Server = base.Server

// Config sets the rate limit and the content of a weight store.
type Config struct {
	// PerSecond is the maximum rate of loads, in loads per second; default 1.
	PerSecond float64
	// Burst is the maximum number of loads at once; default 1.
	Burst int
	// Bytes is the size of the weights of a version, in bytes; default 1024.
	Bytes int
	// Latency is the time before the weights are sent.
	Latency time.Duration
	// Versions lists the versions that exist; empty means that every version exists.
	Versions []string
}

// Store is a stand-in for a weight store. It is an http.Handler.
type Store struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
	limiter *rate.Limiter
}

// New returns a weight store with the given configuration. Zero fields take the defaults
// that Config documents.
func New(config Config) *Store {
	if config.PerSecond == 0 {
		config.PerSecond = 1
	}
	config.Burst = max(1, config.Burst)
	if config.Bytes == 0 {
		config.Bytes = 1024
	}
	s := &Store{
		config: config, ledger: base.NewLedger(), faults: base.NewFaults(),
		limiter: rate.NewLimiter(rate.Limit(config.PerSecond), config.Burst),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{version}", s.serveWeights).Methods(http.MethodGet)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.BlockWhileFrozen(r)
	return s
}

// Start serves a new weight store with the default configuration on addr, a host:port.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the weight store on addr, a host:port.
func (s *Store) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger of the store's loads. The request of a run is the version.
func (s *Store) Ledger() *base.Ledger { return s.ledger }

// Faults returns the injected faults.
func (s *Store) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	version := mux.Vars(r)["version"]
	if len(s.config.Versions) > 0 && !slices.Contains(s.config.Versions, version) {
		base.WriteError(w, http.StatusNotFound, "version "+strconv.Quote(version)+" has no weights")
		return
	}
	matched := s.faults.Match(base.Call{Request: version, Target: version})
	if matched.Has(base.FaultRefuse) {
		s.ledger.CountRefusal()
		base.WriteError(w, matched.StatusOr(base.FaultRefuse, http.StatusServiceUnavailable), "injected fault: load refused")
		return
	}
	if !s.limiter.Allow() {
		s.ledger.CountRefusal()
		seconds := int(math.Ceil(1 / s.config.PerSecond))
		w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
		base.WriteError(w, http.StatusTooManyRequests, "above the rate")
		return
	}
	s.sendWeights(w, r, version, matched)
}

func (s *Store) sendWeights(w http.ResponseWriter, r *http.Request, version string, matched base.MatchedFaults) {
	handle := s.ledger.StartRun(base.Run{Request: version, Version: version})
	if !base.Sleep(r.Context(), s.config.Latency+matched.Delay()) {
		s.ledger.FinishRun(handle, base.OutcomeCancelled, 0)
		return
	}
	if matched.Has(base.FaultError) {
		s.ledger.FinishRun(handle, base.OutcomeFailed, 0)
		base.WriteError(w, matched.StatusOr(base.FaultError, http.StatusInternalServerError), "injected fault: load failed")
		return
	}
	s.ledger.FinishRun(handle, base.OutcomeFinished, 0)
	if matched.Has(base.FaultCut) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.config.Bytes))
	size := s.config.Bytes
	if matched.Has(base.FaultTruncate) {
		// Content-Length exceeds the body, so the client sees truncated weights.
		size /= 2
	}
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(bytes.Repeat([]byte{0}, size))
}
