// Package service is a stand-in for a plain service. It implements the service
// protocol of docs/protocols.md: operations with deterministic answers, a latency
// and a limited capacity.
//
// It supports the fault kinds cross, truncate, delay, cut, refuse, error, freeze and
// slow; a fault's target is an operation.
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

// maxCallBytes is the maximum size of the body of a call.
const maxCallBytes = 1 << 20

// Server is the running HTTP server of a service.
type Server = base.Server

// Config sets the capacity and the latency of a service.
type Config struct {
	// Capacity is the maximum number of concurrent calls; default 32. Further calls
	// get status 429.
	Capacity int
	// Latency is the duration of one call; default 1 ms.
	Latency time.Duration
	// Latencies overrides Latency by operation.
	Latencies map[string]time.Duration
	// StartTime is the time after New during which calls get status 503.
	StartTime time.Duration
}

// Service is a stand-in for a plain service. It is an http.Handler.
type Service struct {
	config    Config
	ledger    *base.Ledger
	faults    *base.Faults
	handler   http.Handler
	startedAt time.Time

	mu          sync.Mutex
	running     int
	pendingSwap *answerSwap
}

// answerSwap is a call that waits for a second call to exchange answers with, under
// base.FaultCross.
type answerSwap struct {
	answer   []byte
	received chan []byte
}

// New returns a service with the given configuration. Zero fields take the defaults that
// Config documents.
func New(config Config) *Service {
	if config.Capacity == 0 {
		config.Capacity = 32
	}
	if config.Latency == 0 {
		config.Latency = time.Millisecond
	}
	s := &Service{
		config: config, startedAt: time.Now(), ledger: base.NewLedger(), faults: base.NewFaults(),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/operations/{operation}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.BlockWhileFrozen(r)
	return s
}

// Start serves a new service with the default configuration on addr, a host:port.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the service on addr, a host:port.
func (s *Service) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger of the service's calls.
func (s *Service) Ledger() *base.Ledger { return s.ledger }

// Faults returns the injected faults.
func (s *Service) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Digest returns the digest of a call that the ledger records as base.Run.BodyDigest.
func Digest(operation string, body []byte) string {
	return strconv.FormatUint(xxhash.Sum64String(operation+"\x00"+string(body)), 16)
}

// Answer returns the JSON answer of an operation to a body: the operation and, as
// reference, the Digest of the two.
func Answer(operation string, body []byte) []byte {
	// Encoding strings cannot fail.
	raw, _ := json.Marshal(map[string]string{
		"operation": operation,
		"reference": Digest(operation, body),
	})
	return raw
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	operation := mux.Vars(r)["operation"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		base.WriteError(w, http.StatusBadRequest, "request body cannot be read: "+err.Error())
		return
	}
	// A missing or unreadable attempt counts as attempt 0.
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	request := r.Header.Get("X-Request-Id")
	matched := s.faults.Match(base.Call{Request: request, Attempt: attempt, Target: operation})
	if status := s.admit(matched); status != 0 {
		s.ledger.CountRefusal()
		w.Header().Set("Retry-After", "1")
		base.WriteError(w, status, "call did not run")
		return
	}
	defer s.release()
	handle := s.ledger.StartRun(base.Run{
		Request: request, Attempt: attempt, Operation: operation, BodyDigest: Digest(operation, body),
	})
	time.Sleep(s.latency(operation, matched))
	outcome := base.OutcomeFinished
	if matched.Has(base.FaultError) {
		outcome = base.OutcomeFailed
	}
	s.ledger.FinishRun(handle, outcome, 0)
	s.writeAnswer(w, r, matched, Answer(operation, body))
}

// admit reserves capacity for a call and returns 0, or returns the HTTP status with which
// the call is refused.
func (s *Service) admit(matched base.MatchedFaults) int {
	if matched.Has(base.FaultRefuse) {
		return matched.StatusOr(base.FaultRefuse, http.StatusServiceUnavailable)
	}
	if time.Since(s.startedAt) < s.config.StartTime {
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

func (s *Service) latency(operation string, matched base.MatchedFaults) time.Duration {
	latency, ok := s.config.Latencies[operation]
	if !ok {
		latency = s.config.Latency
	}
	factor := max(1, matched[base.FaultSlow].Factor)
	return time.Duration(float64(latency)*factor) + matched.Delay()
}

// writeAnswer answers a call that has run and applies the faults that matched it.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, matched base.MatchedFaults, answer []byte) {
	// A freeze that begins during a call delays its answer.
	if freezeEnd := s.faults.FreezeEnd(); freezeEnd != nil {
		select {
		case <-freezeEnd:
		case <-r.Context().Done():
			return
		}
	}
	if matched.Has(base.FaultError) {
		base.WriteError(w, matched.StatusOr(base.FaultError, http.StatusInternalServerError), "injected fault: call ran and failed")
		return
	}
	if matched.Has(base.FaultCut) {
		panic(http.ErrAbortHandler)
	}
	if matched.Has(base.FaultCross) {
		answer = s.swapAnswer(r, answer)
	}
	w.Header().Set("Content-Type", "application/json")
	if matched.Has(base.FaultTruncate) {
		// Content-Length exceeds the body, so the client sees a truncated answer.
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	}
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(answer)
}

// swapAnswer exchanges answers with another call that FaultCross matches. The first call
// waits for the second, and keeps its own answer when its caller disconnects.
func (s *Service) swapAnswer(r *http.Request, answer []byte) []byte {
	s.mu.Lock()
	if waiting := s.pendingSwap; waiting != nil {
		s.pendingSwap = nil
		s.mu.Unlock()
		waiting.received <- answer
		return waiting.answer
	}
	pending := &answerSwap{answer: answer, received: make(chan []byte, 1)}
	s.pendingSwap = pending
	s.mu.Unlock()
	select {
	case other := <-pending.received:
		return other
	case <-r.Context().Done():
		s.cancelSwap(pending)
		return answer
	}
}

func (s *Service) cancelSwap(pending *answerSwap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingSwap == pending {
		s.pendingSwap = nil
	}
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	base.WriteJSON(w, http.StatusOK, map[string]any{
		"running": running, "queued": 0, "slots": s.config.Capacity, "kvUsed": 0,
		"firstTokenMs": float64(s.config.Latency.Microseconds()) / 1000, "tokenMs": 0,
		"ageMs": 0, "versions": []string{},
	})
}
