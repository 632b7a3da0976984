// Package service is a stand-in for a plain service. It emulates the service
// protocol of docs/protocols.md: operations with deterministic answers, latency
// and capacity.
//
// The fault kinds cross, truncate, delay, cut, refuse, error, freeze and slow are
// honoured; a fault's target is an operation.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Server is a started service.
type Server = base.Server

// Config sets the size and the speed of a service.
type Config struct {
	// Capacity is the number of calls at once; default 32. More get 429.
	Capacity int
	// Latency is the time of one call; default 1 ms.
	Latency time.Duration
	// Latencies overrides Latency for single operations.
	Latencies map[string]time.Duration
	// StartTime is the time after New during which calls get 503.
	StartTime time.Duration
}

// Service is the stand-in. It is an http.Handler.
type Service struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
	started time.Time

	mu      sync.Mutex
	running int
	crossed *crossing
}

// crossing is a call that waits for the answer of another one.
type crossing struct {
	answer []byte
	other  chan []byte
}

// New returns a service.
func New(config Config) *Service {
	if config.Capacity == 0 {
		config.Capacity = 32
	}
	if config.Latency == 0 {
		config.Latency = time.Millisecond
	}
	s := &Service{
		config: config, started: time.Now(), ledger: base.NewLedger(), faults: base.NewFaults(),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/operations/{operation}", s.call).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.Guard(r)
	return s
}

// Start serves a new service with the default configuration on addr.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the service on addr.
func (s *Service) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger.
func (s *Service) Ledger() *base.Ledger { return s.ledger }

// Faults returns the fault controls.
func (s *Service) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Digest returns the digest of a call that the ledger records.
func Digest(operation string, body []byte) string {
	return strconv.FormatUint(xxhash.Sum64String(operation+"\x00"+string(body)), 16)
}

// Answer returns the answer of an operation to a body: the operation and a
// reference that is a function of operation and body.
func Answer(operation string, body []byte) []byte {
	// Encoding strings cannot fail.
	raw, _ := json.Marshal(map[string]string{
		"operation": operation,
		"reference": Digest(operation, body),
	})
	return raw
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	operation := mux.Vars(r)["operation"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		base.WriteError(w, http.StatusBadRequest, "body cannot be read: "+err.Error())
		return
	}
	// A missing or unreadable attempt counts as attempt 0.
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	request := r.Header.Get("X-Request-Id")
	hit := s.faults.Match(base.Call{Request: request, Attempt: attempt, Target: operation})
	if status := s.refuses(hit); status != 0 {
		s.ledger.Refuse()
		w.Header().Set("Retry-After", "1")
		base.WriteError(w, status, "call did not run")
		return
	}
	defer s.release()
	handle := s.ledger.Start(base.Run{
		Request: request, Attempt: attempt, Operation: operation, Body: Digest(operation, body),
	})
	time.Sleep(s.latency(operation, hit))
	outcome := base.OutcomeFinished
	if hit.Has(base.FaultError) {
		outcome = base.OutcomeFailed
	}
	s.ledger.Finish(handle, outcome, 0)
	s.respond(w, r, hit, Answer(operation, body))
}

// refuses takes a place for the call, or returns the status that refuses it.
func (s *Service) refuses(hit base.Hit) int {
	if hit.Has(base.FaultRefuse) {
		return hit.Status(base.FaultRefuse, http.StatusServiceUnavailable)
	}
	if time.Since(s.started) < s.config.StartTime {
		return http.StatusServiceUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Capacity {
		return http.StatusTooManyRequests
	}
	s.running++
	return 0
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) latency(operation string, hit base.Hit) time.Duration {
	latency, ok := s.config.Latencies[operation]
	if !ok {
		latency = s.config.Latency
	}
	factor := max(1, hit[base.FaultSlow].Factor)
	return time.Duration(float64(latency)*factor) + hit.Delay()
}

// respond answers a call that has run, with the faults that act on it.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, hit base.Hit, answer []byte) {
	// A freeze that begins while a call runs holds its answer.
	if thaw := s.faults.Frozen(); thaw != nil {
		select {
		case <-thaw:
		case <-r.Context().Done():
			return
		}
	}
	if hit.Has(base.FaultError) {
		base.WriteError(w, hit.Status(base.FaultError, http.StatusInternalServerError), "failed by a fault after running")
		return
	}
	if hit.Has(base.FaultCut) {
		panic(http.ErrAbortHandler)
	}
	if hit.Has(base.FaultCross) {
		answer = s.cross(r, answer)
	}
	w.Header().Set("Content-Type", "application/json")
	if hit.Has(base.FaultTruncate) {
		// The stated length exceeds the body, so the connection ends early.
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	}
	// A failed write means that the caller is gone.
	_, _ = w.Write(answer)
}

// cross waits for a second crossed call and returns its answer.
func (s *Service) cross(r *http.Request, answer []byte) []byte {
	s.mu.Lock()
	if first := s.crossed; first != nil {
		s.crossed = nil
		s.mu.Unlock()
		first.other <- answer
		return first.answer
	}
	own := &crossing{answer: answer, other: make(chan []byte, 1)}
	s.crossed = own
	s.mu.Unlock()
	select {
	case other := <-own.other:
		return other
	case <-r.Context().Done():
		s.forget(own)
		return answer
	}
}

func (s *Service) forget(own *crossing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crossed == own {
		s.crossed = nil
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	base.WriteJSON(w, http.StatusOK, map[string]any{
		"running": running, "queued": 0, "slots": s.config.Capacity, "kvUsed": 0,
		"firstTokenMs": float64(s.config.Latency.Microseconds()) / 1000, "tokenMs": 0,
		"ageMs": 0, "versions": []string{},
	})
}
