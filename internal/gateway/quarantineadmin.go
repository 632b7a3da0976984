package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/quarantine"
)

// CondemnedPart is a part of requests that is condemned or on probation, for operators.
type CondemnedPart struct {
	Service string `json:"service"`
	// Part is the ID of the part of a prompt, or the hash of a whole request, in hexadecimal.
	Part string `json:"part"`
	// Version is the version of the workers' software on which the part was condemned; empty for
	// all.
	Version string `json:"version,omitempty"`
	// EndedWorkers is the number of workers that had ended, and Tries that of earlier condemnations.
	EndedWorkers int  `json:"endedWorkers"`
	Tries        int  `json:"tries"`
	ByOperator   bool `json:"byOperator,omitempty"`
	// RemainingMs is the time until the condemnation ends in milliseconds, negative after its end.
	RemainingMs int64 `json:"remainingMs"`
}

// maxCondemnedFor bounds the time for which an operator can condemn a part.
const maxCondemnedFor = 30 * 24 * time.Hour

// addQuarantineRoutes adds the list of condemned parts and, for operators, the changes of it.
func (g *Gateway) addQuarantineRoutes(router *mux.Router, isForOperators bool) {
	router.HandleFunc("/quarantine", g.serveQuarantine).Methods(http.MethodGet)
	if !isForOperators {
		router.HandleFunc("/quarantine/{part}", func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "changes are taken on the metrics listener only", http.StatusMethodNotAllowed)
		})
		return
	}
	router.HandleFunc("/quarantine/{part}", g.setCondemned).Methods(http.MethodPut)
	router.HandleFunc("/quarantine/{part}", g.liftCondemned).Methods(http.MethodDelete)
}

// serveQuarantine responds with the condemned parts as JSON.
func (g *Gateway) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := sinceBoot()
	parts := []CondemnedPart{}
	for _, v := range g.quarantine.condemnations() {
		parts = append(parts, CondemnedPart{
			v.Part.Service, formatPart(v.Part.ID), v.Version, v.Crashes, v.Tries, v.ByOperator, (v.Until - now).Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(parts); err != nil {
		g.log.Warn("response with the condemned parts was not sent", zap.Error(err))
	}
}

// partOf returns the part in the path and the service in the query of an operator's request, or
// responds with 400.
func partOf(w http.ResponseWriter, req *http.Request) (quarantine.Part, bool) {
	text, service := mux.Vars(req)["part"], req.URL.Query().Get("service")
	id, err := strconv.ParseUint(text, 16, 64)
	switch {
	case err != nil:
		http.Error(w, fmt.Sprintf("part %q is not a hexadecimal number of at most 64 bits", text), http.StatusBadRequest)
	case service == "":
		http.Error(w, "service must be set in the query", http.StatusBadRequest)
	default:
		return quarantine.Part{Service: service, ID: id}, true
	}
	return quarantine.Part{}, false
}

// setCondemned condemns a part for the time in the query, a Go duration; without one for the time of
// a first condemnation.
func (g *Gateway) setCondemned(w http.ResponseWriter, req *http.Request) {
	part, ok := partOf(w, req)
	if !ok {
		return
	}
	lifetime := quarantine.CondemnedFor
	if text := req.URL.Query().Get("for"); text != "" {
		var err error
		if lifetime, err = time.ParseDuration(text); err != nil || lifetime <= 0 || lifetime > maxCondemnedFor {
			http.Error(w, fmt.Sprintf("time %q is not a duration above 0 and up to %v", text, maxCondemnedFor), http.StatusBadRequest)
			return
		}
	}
	g.quarantine.set(part, lifetime)
	w.WriteHeader(http.StatusNoContent)
}

// liftCondemned ends the condemnation of a part, and responds with 404 if there is none.
func (g *Gateway) liftCondemned(w http.ResponseWriter, req *http.Request) {
	part, ok := partOf(w, req)
	if !ok {
		return
	}
	if !g.quarantine.lift(part) {
		http.Error(w, "part is not condemned", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// set condemns a part on behalf of an operator. The store and the other gateways learn of it as of
// other verdicts.
func (q *quarantineGuard) set(part quarantine.Part, lifetime time.Duration) {
	q.mu.Lock()
	v := q.tracker.Set(sinceBoot(), part, lifetime)
	q.mu.Unlock()
	q.apply([]quarantine.Verdict{v}, "set by an operator")
}

// lift ends the condemnation of a part on behalf of an operator and reports whether there was one.
func (q *quarantineGuard) lift(part quarantine.Part) bool {
	q.mu.Lock()
	v, ok := q.tracker.Lift(sinceBoot(), part)
	q.mu.Unlock()
	if ok {
		q.logVerdicts([]quarantine.Verdict{v}, "lifted by an operator")
	}
	return ok
}
