package platform

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

func objectKey(r *http.Request) string {
	raw := mux.Vars(r)["key"]
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

// writeResult answers with body, or with the HTTP status that err maps to. For an
// ambiguous error it closes the connection without a response.
func writeResult(w http.ResponseWriter, body any, err error) {
	var conflict *platform.ConflictError
	var limited *platform.RateLimitError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, toWire(conflict.Stored))
	case errors.As(err, &limited):
		seconds := int(math.Ceil(limited.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, "object does not exist", http.StatusNotFound)
	case errors.Is(err, platform.ErrAmbiguous):
		closeWithoutResponse(w)
	case errors.Is(err, platform.ErrRefused):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	// Without HTML escaping a stored value is returned byte for byte.
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// closeWithoutResponse closes the connection of a call that gets no response.
func closeWithoutResponse(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.Close()
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.Ledger())
}

// faultRequest is the body of POST /standin/faults. Absent fields change nothing.
type faultRequest struct {
	// Faults replaces all active faults.
	Faults *memstore.Faults `json:"faults"`
	// Action is save, restore or rollback.
	Action string `json:"action"`
	// InstanceLagMs is the new lag of the instance list, in milliseconds.
	InstanceLagMs *int `json:"instanceLagMs"`
	// RemoveInstance is the name of an instance to remove from the instance list.
	RemoveInstance string `json:"removeInstance"`
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in faultRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.runAction(in.Action) {
		http.Error(w, "action must be save, restore or rollback", http.StatusBadRequest)
		return
	}
	if in.Faults != nil {
		s.store.SetFaults(*in.Faults)
	}
	if in.InstanceLagMs != nil {
		s.store.SetInstanceLag(time.Duration(*in.InstanceLagMs) * time.Millisecond)
	}
	if in.RemoveInstance != "" {
		s.store.RemoveInstance(in.RemoveInstance)
	}
	writeJSON(w, http.StatusOK, map[string]any{"faults": s.store.Faults()})
}

// runAction reports false when the action is unknown. The empty action does nothing.
func (s *Server) runAction(action string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch action {
	case "":
	case "save":
		s.saved = s.store.Save()
	case "restore":
		s.store.Restore(s.saved)
	case "rollback":
		s.store.Rollback(s.saved)
	default:
		return false
	}
	return true
}
