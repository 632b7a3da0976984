package base

import (
	"net/http"
	"sync"
	"time"
)

// maxLedgerEntries limits the runs and, separately, the orders that a ledger keeps.
// Later ones are only counted as dropped.
const maxLedgerEntries = 1 << 20

// Values of Run.Outcome.
const (
	OutcomeRunning   = "running"
	OutcomeFinished  = "finished"
	OutcomeCancelled = "cancelled"
	OutcomeFailed    = "failed"
)

// Run is one execution of a request on a stand-in. A refused request has no run.
type Run struct {
	Request   string `json:"request"`
	Attempt   int    `json:"attempt"`
	Customer  string `json:"customer,omitempty"`
	Version   string `json:"version,omitempty"`
	Operation string `json:"operation,omitempty"`
	// BodyDigest is a digest of the request's content. It identifies the caller's request
	// when the router assigns a different request identifier.
	BodyDigest string `json:"body,omitempty"`
	// StartedUs and FinishedUs are microseconds since the ledger was created;
	// FinishedUs is 0 during the run.
	StartedUs  int64  `json:"startedUs"`
	FinishedUs int64  `json:"finishedUs,omitempty"`
	Outcome    string `json:"outcome"`
	// Offset is the index of the first token of a resumed answer.
	Offset int `json:"offset,omitempty"`
	// Tokens is the number of tokens that this run generated.
	Tokens int `json:"tokens,omitempty"`
	// RunNumber is 1 for the first run of a request and increases with each further
	// run.
	RunNumber int `json:"nth"`
}

// Order is one load or unload order that a stand-in received. AtUs is in microseconds
// since the ledger was created; Fence is the fencing token of the order.
type Order struct {
	AtUs    int64  `json:"atUs"`
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Applied reports whether the order took effect; it is false for a refused or
	// failed order.
	Applied bool `json:"done"`
}

// LedgerSnapshot is a copy of a ledger and the body of GET /standin/ledger.
type LedgerSnapshot struct {
	Runs   []Run   `json:"runs"`
	Orders []Order `json:"orders"`
	// RunsByRequest is the number of runs by request identifier.
	RunsByRequest map[string]int `json:"requests"`
	// Refused is the number of requests that were refused without a run.
	Refused int `json:"refused"`
	// Dropped is the number of runs and orders that exceeded the capacity of the
	// ledger.
	Dropped int `json:"dropped"`
}

// Ledger records the runs and orders of a stand-in. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	createdAt time.Time
	runs      []Run
	orders    []Order
	requests  map[string]int
	refused   int
	dropped   int
}

// NewLedger returns an empty ledger. Its timestamps count from this call.
func NewLedger() *Ledger {
	return &Ledger{createdAt: time.Now(), requests: map[string]int{}}
}

func (l *Ledger) elapsedUs() int64 { return time.Since(l.createdAt).Microseconds() }

// StartRun records the start of a run and returns its handle for FinishRun. The handle is
// -1 when the ledger is full.
func (l *Ledger) StartRun(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxLedgerEntries {
		l.dropped++
		return -1
	}
	l.requests[r.Request]++
	r.RunNumber = l.requests[r.Request]
	r.StartedUs = l.elapsedUs()
	r.Outcome = OutcomeRunning
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// FinishRun records the outcome of a run and the number of tokens that it generated. It
// ignores the handle -1.
func (l *Ledger) FinishRun(handle int, outcome string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handle < 0 {
		return
	}
	l.runs[handle].FinishedUs = l.elapsedUs()
	l.runs[handle].Outcome = outcome
	l.runs[handle].Tokens = tokens
}

// CountRefusal counts a request that was refused without a run.
func (l *Ledger) CountRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// RecordOrder adds an order to the ledger and sets its timestamp.
func (l *Ledger) RecordOrder(o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.orders) >= maxLedgerEntries {
		l.dropped++
		return
	}
	o.AtUs = l.elapsedUs()
	l.orders = append(l.orders, o)
}

// Snapshot returns a copy of the ledger.
func (l *Ledger) Snapshot() LedgerSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := LedgerSnapshot{
		Runs:          append([]Run{}, l.runs...),
		Orders:        append([]Order{}, l.orders...),
		RunsByRequest: make(map[string]int, len(l.requests)),
		Refused:       l.refused,
		Dropped:       l.dropped,
	}
	for request, runs := range l.requests {
		snapshot.RunsByRequest[request] = runs
	}
	return snapshot
}

// ServeHTTP serves GET /standin/ledger with a LedgerSnapshot.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, l.Snapshot())
}
