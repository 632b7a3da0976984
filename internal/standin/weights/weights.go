// Package weights is a stand-in for the weight store of docs/protocols.md. It
// serves the weights of versions within a rate and answers 429 with Retry-After
// above it.
//
// The fault kinds delay, cut, refuse, error, truncate and freeze are honoured; a
// fault's target is a version.
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

// Server is a started weight store.
type Server = base.Server

// Config sets the rate and the content of a weight store.
type Config struct {
	// PerSecond is the number of loads per second; default 1.
	PerSecond float64
	// Burst is the number of loads at once; default 1.
	Burst int
	// Bytes is the size of the weights of a version; default 1024.
	Bytes int
	// Latency is the time of one load.
	Latency time.Duration
	// Versions are the known versions; empty means that all are known.
	Versions []string
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
	limiter *rate.Limiter
}

// New returns a weight store.
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
	r.HandleFunc("/v1/weights/{version}", s.weights).Methods(http.MethodGet)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.Guard(r)
	return s
}

// Start serves a new weight store with the default configuration on addr.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the weight store on addr.
func (s *Store) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger; a run's request is the version.
func (s *Store) Ledger() *base.Ledger { return s.ledger }

// Faults returns the fault controls.
func (s *Store) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Store) weights(w http.ResponseWriter, r *http.Request) {
	version := mux.Vars(r)["version"]
	if len(s.config.Versions) > 0 && !slices.Contains(s.config.Versions, version) {
		base.WriteError(w, http.StatusNotFound, "version "+strconv.Quote(version)+" has no weights")
		return
	}
	hit := s.faults.Match(base.Call{Request: version, Target: version})
	if hit.Has(base.FaultRefuse) {
		s.ledger.Refuse()
		base.WriteError(w, hit.Status(base.FaultRefuse, http.StatusServiceUnavailable), "refused by a fault")
		return
	}
	if !s.limiter.Allow() {
		s.ledger.Refuse()
		seconds := int(math.Ceil(1 / s.config.PerSecond))
		w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
		base.WriteError(w, http.StatusTooManyRequests, "above the rate")
		return
	}
	s.send(w, r, version, hit)
}

func (s *Store) send(w http.ResponseWriter, r *http.Request, version string, hit base.Hit) {
	handle := s.ledger.Start(base.Run{Request: version, Version: version})
	if !base.Sleep(r.Context(), s.config.Latency+hit.Delay()) {
		s.ledger.Finish(handle, base.OutcomeCancelled, 0)
		return
	}
	if hit.Has(base.FaultError) {
		s.ledger.Finish(handle, base.OutcomeFailed, 0)
		base.WriteError(w, hit.Status(base.FaultError, http.StatusInternalServerError), "failed by a fault")
		return
	}
	s.ledger.Finish(handle, base.OutcomeFinished, 0)
	if hit.Has(base.FaultCut) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.config.Bytes))
	size := s.config.Bytes
	if hit.Has(base.FaultTruncate) {
		// The stated length exceeds the body, so the connection ends early.
		size /= 2
	}
	// A failed write means that the caller is gone.
	_, _ = w.Write(bytes.Repeat([]byte{0}, size))
}
