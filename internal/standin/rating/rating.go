// Package rating is a stand-in for the rating service of docs/protocols.md. It
// scores answers of the stand-in engine: poor answers low, good ones high, with
// noise.
//
// Lateness is the fault delay, sparseness the fault refuse with a share, absence
// the fault refuse without one, and bias the fault bias. The fault kinds cut,
// error and freeze are honoured too; a fault's target is a version.
package rating

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// Scores of answers before noise and bias.
const (
	GoodScore = 0.9
	PoorScore = 0.1
)

// Server is a started rating service.
type Server = base.Server

// Config sets the behaviour of a rating service.
type Config struct {
	// Latency is the time of one rating.
	Latency time.Duration
	// Noise is the width of the noise of a score; 0 means none.
	Noise float64
	// Bias is added to every score.
	Bias float64
}

// Rating is the stand-in. It is an http.Handler.
type Rating struct {
	config  Config
	ledger  *base.Ledger
	faults  *base.Faults
	handler http.Handler
}

// New returns a rating service.
func New(config Config) *Rating {
	s := &Rating{config: config, ledger: base.NewLedger(), faults: base.NewFaults()}
	r := mux.NewRouter()
	r.HandleFunc("/v1/ratings", s.rate).Methods(http.MethodPost)
	r.Handle("/standin/ledger", s.ledger).Methods(http.MethodGet)
	r.Handle("/standin/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.handler = s.faults.Guard(r)
	return s
}

// Start serves a new rating service with the default configuration on addr.
func Start(addr string) (*Server, error) { return New(Config{}).Start(addr) }

// Start serves the rating service on addr.
func (s *Rating) Start(addr string) (*Server, error) { return base.Serve(addr, s, nil) }

// Ledger returns the ledger.
func (s *Rating) Ledger() *base.Ledger { return s.ledger }

// Faults returns the fault controls.
func (s *Rating) Faults() *base.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Rating) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

type rateBody struct {
	Request string `json:"request"`
	Class   string `json:"class"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

func (s *Rating) rate(w http.ResponseWriter, r *http.Request) {
	var body rateBody
	if !base.ReadJSON(w, r, &body) {
		return
	}
	hit := s.faults.Match(base.Call{Request: body.Request, Target: body.Version})
	if hit.Has(base.FaultRefuse) {
		s.ledger.Refuse()
		base.WriteError(w, hit.Status(base.FaultRefuse, http.StatusServiceUnavailable), "no rating")
		return
	}
	handle := s.ledger.Start(base.Run{Request: body.Request, Version: body.Version, Operation: body.Class})
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
	base.WriteJSON(w, http.StatusOK, map[string]float64{"score": s.score(body, hit)})
}

func (s *Rating) score(body rateBody, hit base.Hit) float64 {
	score := Score(body.Answer) + s.config.Bias + hit[base.FaultBias].Bias
	unit := float64(xxhash.Sum64String(body.Request+"\x00"+body.Answer)>>11) / (1 << 53)
	score += (unit - 0.5) * s.config.Noise
	return min(1, max(0, score))
}

// Score returns the score of an answer without noise and bias.
func Score(answer string) float64 {
	if answer == "" || engine.IsPoor(answer) {
		return PoorScore
	}
	return GoodScore
}
