// Package replay compares a recorded trace with stated outcomes and names every
// outcome that the trace breaks. A bound without any evidence in the trace is
// broken too.
package replay

import (
	"io"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
	"github.com/borageflow/borageflow/internal/trace"
)

var outcomesSchema = schemacheck.Embedded("outcomes")

// DecodeOutcomes decodes stated outcomes. The error is schemacheck.Faults and
// names every fault.
func DecodeOutcomes(raw []byte) (api.Outcomes, error) {
	var outcomes api.Outcomes
	if err := outcomesSchema.Decode(raw, &outcomes); err != nil {
		return api.Outcomes{}, err
	}
	return outcomes, nil
}

// Check reads a trace and returns the verdict. The error is that of a trace that
// cannot be read, never that of a broken outcome.
func Check(r io.Reader, outcomes api.Outcomes) (api.ReplayVerdict, error) {
	h := newHistory()
	err := trace.Read(r, func(record api.TraceRecord) error {
		h.add(record)
		return nil
	})
	if err != nil {
		return api.ReplayVerdict{}, err
	}
	return h.verdict(outcomes), nil
}

// attemptKey identifies an attempt of a request.
type attemptKey struct{ stage, attempt int }

// attempt is one attempt of a request, of which a trace may hold several records.
type attempt struct {
	at       int // microseconds, of its first record
	version  string
	runState string
}

// ran reports whether the attempt ran or may have run.
func (a attempt) ran() bool { return a.runState != string(api.RunStateNotRun) }

// request is what the trace says about one request.
type request struct {
	name     string
	arrival  api.TraceRecord
	arrived  bool
	attempts map[attemptKey]*attempt
	end      api.TraceRecord
	ends     int
	rating   float64
	rated    bool
}

// history is the whole trace by request, in order of first mention.
type history struct {
	requests map[string]*request
	order    []*request
}

func newHistory() *history { return &history{requests: map[string]*request{}} }

func (h *history) add(record api.TraceRecord) {
	if record.Request == "" {
		return
	}
	r := h.requests[record.Request]
	if r == nil {
		r = &request{name: record.Request, attempts: map[attemptKey]*attempt{}}
		h.requests[record.Request] = r
		h.order = append(h.order, r)
	}
	switch record.Event {
	case api.TraceEventArrival:
		r.arrival, r.arrived = record, true
	case api.TraceEventAttempt:
		r.addAttempt(record)
	case api.TraceEventEnd:
		r.end = record
		r.ends++
	case api.TraceEventRating:
		r.rating, r.rated = record.Rating, true
	}
}

// addAttempt joins the records of one attempt; the last stated run state holds.
func (r *request) addAttempt(record api.TraceRecord) {
	key := attemptKey{record.Stage, record.Attempt}
	a := r.attempts[key]
	if a == nil {
		a = &attempt{at: record.At}
		r.attempts[key] = a
	}
	if record.Version != "" {
		a.version = record.Version
	}
	if record.RunState != "" {
		a.runState = record.RunState
	}
}

// runs counts the attempts that ran or may have run.
func (r *request) runs() int {
	n := 0
	for _, a := range r.attempts {
		if a.ran() {
			n++
		}
	}
	return n
}

// class returns the request's class, from its end when that states one.
func (r *request) class() string {
	if r.end.Class != "" {
		return r.end.Class
	}
	return r.arrival.Class
}

func (r *request) customer() string {
	if r.arrival.Customer != "" {
		return r.arrival.Customer
	}
	return r.end.Customer
}

func (r *request) failed() bool { return r.ends > 0 && r.end.ErrorKind != "" }

func (r *request) completed() bool { return r.ends > 0 && r.end.ErrorKind == "" }

// onceKey returns what a non-idempotent request shares with its repeats, or ""
// for a request that may run again.
func (r *request) onceKey(nonIdempotent map[string]bool) string {
	operation := r.arrival.Service + "/" + r.arrival.Operation
	if r.arrival.IdempotencyKey != "" {
		return r.customer() + "\x00" + operation + "\x00" + r.arrival.IdempotencyKey
	}
	if nonIdempotent[operation] {
		return r.name
	}
	return ""
}
