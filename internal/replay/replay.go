// Package replay checks a recorded trace against expected outcomes and lists every
// outcome that the trace violates. A bound for which the trace holds no data counts as
// violated too.
package replay

import (
	"io"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
	"github.com/borageflow/borageflow/internal/trace"
)

var outcomesSchema = schemacheck.Embedded("outcomes")

// DecodeOutcomes decodes expected outcomes (schema/outcomes.json). For a document that does
// not match the schema it returns schemacheck.Faults with every fault.
func DecodeOutcomes(raw []byte) (api.Outcomes, error) {
	var outcomes api.Outcomes
	if err := outcomesSchema.Decode(raw, &outcomes); err != nil {
		return api.Outcomes{}, err
	}
	return outcomes, nil
}

// Check reads a trace and returns the verdict on the outcomes. It returns an error only
// when the trace cannot be read; violated outcomes are part of the verdict.
func Check(r io.Reader, outcomes api.Outcomes) (api.ReplayVerdict, error) {
	idx := newRequestIndex()
	err := trace.Read(r, func(record api.TraceRecord) error {
		idx.addRecord(record)
		return nil
	})
	if err != nil {
		return api.ReplayVerdict{}, err
	}
	return idx.verdict(outcomes), nil
}

// attemptKey identifies an attempt within a request.
type attemptKey struct{ stage, attempt int }

// attempt merges the trace records of one attempt of a request.
type attempt struct {
	startedAtUs int // time of its first record
	version     string
	runState    string
}

// mayHaveRun reports whether the attempt ran or may have run, that is, whether its run
// state is anything but not_run.
func (a attempt) mayHaveRun() bool { return a.runState != string(api.RunStateNotRun) }

// request merges the trace records of one request.
type request struct {
	id         string
	arrival    api.TraceRecord
	hasArrival bool
	attempts   map[attemptKey]*attempt
	end        api.TraceRecord
	endCount   int
	rating     float64
	hasRating  bool
}

// requestIndex holds the requests of a trace by ID and in the order of their first
// record.
type requestIndex struct {
	byID    map[string]*request
	inOrder []*request
}

func newRequestIndex() *requestIndex { return &requestIndex{byID: map[string]*request{}} }

// addRecord merges a record into its request. Records without a request are ignored.
func (idx *requestIndex) addRecord(record api.TraceRecord) {
	if record.Request == "" {
		return
	}
	r := idx.byID[record.Request]
	if r == nil {
		r = &request{id: record.Request, attempts: map[attemptKey]*attempt{}}
		idx.byID[record.Request] = r
		idx.inOrder = append(idx.inOrder, r)
	}
	switch record.Event {
	case api.TraceEventArrival:
		r.arrival, r.hasArrival = record, true
	case api.TraceEventAttempt:
		r.addAttempt(record)
	case api.TraceEventEnd:
		r.end = record
		r.endCount++
	case api.TraceEventRating:
		r.rating, r.hasRating = record.Rating, true
	}
}

// addAttempt merges a record into its attempt. Later versions and run states replace
// earlier ones.
func (r *request) addAttempt(record api.TraceRecord) {
	key := attemptKey{record.Stage, record.Attempt}
	a := r.attempts[key]
	if a == nil {
		a = &attempt{startedAtUs: record.At}
		r.attempts[key] = a
	}
	if record.Version != "" {
		a.version = record.Version
	}
	if record.RunState != "" {
		a.runState = record.RunState
	}
}

// runCount counts the attempts that ran or may have run.
func (r *request) runCount() int {
	n := 0
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			n++
		}
	}
	return n
}

// class returns the class in the end record, or else in the arrival record.
func (r *request) class() string {
	if r.end.Class != "" {
		return r.end.Class
	}
	return r.arrival.Class
}

// customer returns the customer in the arrival record, or else in the end record.
func (r *request) customer() string {
	if r.arrival.Customer != "" {
		return r.arrival.Customer
	}
	return r.end.Customer
}

func (r *request) hasFailed() bool { return r.endCount > 0 && r.end.ErrorKind != "" }

func (r *request) hasCompleted() bool { return r.endCount > 0 && r.end.ErrorKind == "" }

// deduplicationKey returns the key that a non-idempotent request shares with its repeats:
// the customer, operation and idempotency key, or the request ID without an idempotency
// key. It returns "" for a request that may run more than once.
func (r *request) deduplicationKey(nonIdempotent map[string]bool) string {
	operation := r.arrival.Service + "/" + r.arrival.Operation
	if r.arrival.IdempotencyKey != "" {
		return r.customer() + "\x00" + operation + "\x00" + r.arrival.IdempotencyKey
	}
	if nonIdempotent[operation] {
		return r.id
	}
	return ""
}
