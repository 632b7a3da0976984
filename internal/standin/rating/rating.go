// Package rating is a stand-in for the rating service of docs/protocols.md. It
// scores answers of the stand-in engine: good answers high and poor answers low, with
// noise.
//
// It supports the fault kinds delay, refuse, bias, cut, error and freeze; a fault's
// target is a version. Use delay for late ratings, refuse with a share for sparse
// ratings, refuse without a share for an outage, and bias for skewed scores.
package rating

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// Scores of good and poor answers before noise and bias.
const (
	GoodScore = 0.9
	PoorScore = 0.1
)

// Server is the running HTTP server of a rating service.
type Server = base.Server

// Config sets the latency and the errors of a rating service.
type Config struct {
	// Latency is the duration of one rating.
	Latency time.Duration
	// Noise is the width of the uniform noise that is added to each score; 0 means
	// none.
	Noise float64
	// Bias is added to each score.
	Bias float64
}

// Rating is a stand-in for a rating service. It is an http.Handler.
type Rating struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
}

// New returns a rating service with the given configuration.
func New(config Config) *Rating {
	s := &Rating{config: config, ledger: base.NewLedger(), faults: base.NewFaults()}
	r := mux.NewRouter()
	r.HandleFunc("/v1/ratings", s.serveRating).Methods(http.MethodPost)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.BlockWhileFrozen(r)
	return s
}

// Start serves a new rating service with the default configuration on addr, a host:port.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the rating service on addr, a host:port.
func (s *Rating) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger of the service's ratings.
func (s *Rating) Ledger() *base.Ledger { return s.ledger }

// Faults returns the injected faults.
func (s *Rating) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Rating) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

type ratingRequest struct {
	Request string `json:"request"`
	Class   string `json:"class"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

func (s *Rating) serveRating(w http.ResponseWriter, r *http.Request) {
	var body ratingRequest
	if !base.ReadJSON(w, r, &body) {
		return
	}
	matched := s.faults.Match(base.Call{Request: body.Request, Target: body.Version})
	if matched.Has(base.FaultRefuse) {
		s.ledger.CountRefusal()
		base.WriteError(w, matched.StatusOr(base.FaultRefuse, http.StatusServiceUnavailable), "injected fault: answer was not rated")
		return
	}
	handle := s.ledger.StartRun(base.Run{Request: body.Request, Version: body.Version, Operation: body.Class})
	if !base.Sleep(r.Context(), s.config.Latency+matched.Delay()) {
		s.ledger.FinishRun(handle, base.OutcomeCancelled, 0)
		return
	}
	if matched.Has(base.FaultError) {
		s.ledger.FinishRun(handle, base.OutcomeFailed, 0)
		base.WriteError(w, matched.StatusOr(base.FaultError, http.StatusInternalServerError), "injected fault: rating failed")
		return
	}
	s.ledger.FinishRun(handle, base.OutcomeFinished, 0)
	if matched.Has(base.FaultCut) {
		panic(http.ErrAbortHandler)
	}
	base.WriteJSON(w, http.StatusOK, map[string]float64{"score": s.score(body, matched)})
}

// score returns the score with bias and noise, in [0, 1]. The noise depends only on request
// and answer.
func (s *Rating) score(body ratingRequest, matched base.MatchedFaults) float64 {
	score := Score(body.Answer) + s.config.Bias + matched[base.FaultBias].Bias
	unit := float64(xxhash.Sum64String(body.Request+"\x00"+body.Answer)>>11) / (1 << 53)
	score += (unit - 0.5) * s.config.Noise
	return min(1, max(0, score))
}

// Score returns the score of an answer without noise and bias: PoorScore for a poor or
// empty answer, else GoodScore.
func Score(answer string) float64 {
	if answer == "" || engine.IsPoorAnswer(answer) {
		return PoorScore
	}
	return GoodScore
}
