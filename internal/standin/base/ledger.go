package base

import (
	"net/http"
	"sync"
	"time"
)

// maxLedger bounds the runs and the orders that a ledger keeps; later ones are
// only counted.
const maxLedger = 1 << 20

// Outcomes of a run.
const (
	OutcomeRunning   = "running"
	OutcomeFinished  = "finished"
	OutcomeCancelled = "cancelled"
	OutcomeFailed    = "failed"
)

// Run is one run of a request on a stand-in. A refused request has no run.
type Run struct {
	Request   string `json:"request"`
	Attempt   int    `json:"attempt"`
	Customer  string `json:"customer,omitempty"`
	Version   string `json:"version,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Body is a digest of what the caller asked; it tells a caller's requests
	// apart when the router names them differently.
	Body string `json:"body,omitempty"`
	// StartedUs and FinishedUs are microseconds since the stand-in was made;
	// FinishedUs is 0 while the run goes on.
	StartedUs  int64  `json:"startedUs"`
	FinishedUs int64  `json:"finishedUs,omitempty"`
	Outcome    string `json:"outcome"`
	// Offset is the token at which a resumed answer starts.
	Offset int `json:"offset,omitempty"`
	// Tokens counts the tokens that this run generated.
	Tokens int `json:"tokens,omitempty"`
	// Nth is 1 for the first run of a request, 2 for the second, and so on.
	Nth int `json:"nth"`
}

// Order is one order that a stand-in received.
type Order struct {
	AtUs    int64  `json:"atUs"`
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Done is false when the order was refused or failed.
	Done bool `json:"done"`
}

// LedgerView is a copy of a ledger, served at GET /standin/ledger.
type LedgerView struct {
	Runs   []Run   `json:"runs"`
	Orders []Order `json:"orders"`
	// Requests is how often each request ran.
	Requests map[string]int `json:"requests"`
	// Refused counts the requests that were refused without a run.
	Refused int `json:"refused"`
	// Dropped counts the runs and orders that did not fit.
	Dropped int `json:"dropped"`
}

// Ledger records what ran, for whom and how often.
type Ledger struct {
	mu       sync.Mutex
	epoch    time.Time
	runs     []Run
	orders   []Order
	requests map[string]int
	refused  int
	dropped  int
}

// NewLedger returns an empty ledger whose times count from now.
func NewLedger() *Ledger {
	return &Ledger{epoch: time.Now(), requests: map[string]int{}}
}

func (l *Ledger) now() int64 { return time.Since(l.epoch).Microseconds() }

// Start records a run and returns its handle for Finish.
func (l *Ledger) Start(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxLedger {
		l.dropped++
		return -1
	}
	l.requests[r.Request]++
	r.Nth = l.requests[r.Request]
	r.StartedUs = l.now()
	r.Outcome = OutcomeRunning
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// Finish records the end of a run.
func (l *Ledger) Finish(handle int, outcome string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handle < 0 {
		return
	}
	l.runs[handle].FinishedUs = l.now()
	l.runs[handle].Outcome = outcome
	l.runs[handle].Tokens = tokens
}

// Refuse counts a request that was refused without a run.
func (l *Ledger) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// Order records an order.
func (l *Ledger) Order(o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.orders) >= maxLedger {
		l.dropped++
		return
	}
	o.AtUs = l.now()
	l.orders = append(l.orders, o)
}

// View returns a copy of the ledger.
func (l *Ledger) View() LedgerView {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := LedgerView{
		Runs:     append([]Run{}, l.runs...),
		Orders:   append([]Order{}, l.orders...),
		Requests: make(map[string]int, len(l.requests)),
		Refused:  l.refused,
		Dropped:  l.dropped,
	}
	for request, times := range l.requests {
		view.Requests[request] = times
	}
	return view
}

// ServeHTTP answers GET /standin/ledger.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, l.View())
}
