package base

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FaultKind is the kind of an injected fault, as it appears in FaultSet.
type FaultKind string

// Kinds of faults. Not every stand-in supports every kind; the package comment of
// each stand-in lists the kinds that it supports.
const (
	// FaultRepeat sends the token that follows the first AfterTokens tokens twice.
	FaultRepeat FaultKind = "repeat"
	// FaultCross swaps the answers of two matching requests with each other.
	FaultCross FaultKind = "cross"
	// FaultTruncate ends the answer early without resetting the connection.
	FaultTruncate FaultKind = "truncate"
	// FaultDelay delays the answer by DelayMs.
	FaultDelay FaultKind = "delay"
	// FaultCut resets the connection.
	FaultCut FaultKind = "cut"
	// FaultRefuse answers Status (503 by default) without running the request.
	FaultRefuse FaultKind = "refuse"
	// FaultError runs the request and then answers Status (500 by default).
	FaultError FaultKind = "error"
	// FaultFreeze blocks every call and all work until the fault is removed.
	FaultFreeze FaultKind = "freeze"
	// FaultSlow makes the work take Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultPoor replaces the answer by a low-quality one.
	FaultPoor FaultKind = "poor"
	// FaultBias adds Bias to the scores of a rating service.
	FaultBias FaultKind = "bias"
)

var faultKinds = map[FaultKind]bool{
	FaultRepeat: true, FaultCross: true, FaultTruncate: true, FaultDelay: true,
	FaultCut: true, FaultRefuse: true, FaultError: true, FaultFreeze: true,
	FaultSlow: true, FaultPoor: true, FaultBias: true,
}

// Fault describes one injected fault and the requests that it applies to. An empty
// Request, Target or Customer matches every request.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Request matches the request identifier.
	Request string `json:"request,omitempty"`
	// Target matches the version of an engine or the operation of a service.
	Target   string `json:"target,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Share is the fraction of requests that match, in [0, 1], selected by a hash
	// of kind, request and attempt; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Count is the maximum number of requests that the fault applies to; 0 means
	// no limit.
	Count int `json:"count,omitempty"`
	// AfterTokens is the number of tokens sent before the fault takes effect.
	AfterTokens int `json:"afterTokens,omitempty"`
	// DelayMs is the delay of FaultDelay, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// Status is the HTTP status of FaultRefuse and FaultError.
	Status int `json:"status,omitempty"`
	// Factor multiplies the duration of the work under FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// Bias is the value that FaultBias adds to each score.
	Bias float64 `json:"bias,omitempty"`
}

// FaultSet is the body of GET and POST /standin/faults. A POST replaces all active
// faults.
type FaultSet struct {
	Faults []Fault `json:"faults"`
}

// Call holds the properties of a request that faults are matched against. Target is
// a version or an operation, as in Fault.
type Call struct {
	Request  string
	Attempt  int
	Target   string
	Customer string
}

// MatchedFaults holds the faults that apply to one request, at most one of each kind.
type MatchedFaults map[FaultKind]Fault

// Faults holds the active faults of a stand-in. It is safe for concurrent use.
type Faults struct {
	mu        sync.Mutex
	active    []Fault
	remaining []int
	freezeEnd chan struct{}
}

// NewFaults returns a Faults without active faults.
func NewFaults() *Faults { return &Faults{} }

// Set replaces the active faults.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault{}, faults...)
	f.remaining = make([]int, len(faults))
	frozen := false
	for i, fault := range faults {
		f.remaining[i] = fault.Count
		frozen = frozen || fault.Kind == FaultFreeze
	}
	f.setFrozen(frozen)
}

func (f *Faults) setFrozen(frozen bool) {
	if frozen && f.freezeEnd == nil {
		f.freezeEnd = make(chan struct{})
	}
	if !frozen && f.freezeEnd != nil {
		close(f.freezeEnd)
		f.freezeEnd = nil
	}
}

// Active returns a copy of the active faults.
func (f *Faults) Active() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault{}, f.active...)
}

// FreezeEnd returns a channel that is closed when the current freeze ends, or nil
// while no FaultFreeze is active.
func (f *Faults) FreezeEnd() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freezeEnd
}

// Match returns the faults that apply to c and decrements their remaining counts. Of
// several matching faults of one kind the first applies.
func (f *Faults) Match(c Call) MatchedFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.active) == 0 {
		return nil
	}
	matched := MatchedFaults{}
	for i, fault := range f.active {
		if !fault.matches(c) || (fault.Count > 0 && f.remaining[i] == 0) {
			continue
		}
		if _, duplicate := matched[fault.Kind]; duplicate {
			continue
		}
		if fault.Count > 0 {
			f.remaining[i]--
		}
		matched[fault.Kind] = fault
	}
	return matched
}

func (f Fault) matches(c Call) bool {
	if f.Request != "" && f.Request != c.Request {
		return false
	}
	if f.Target != "" && f.Target != c.Target {
		return false
	}
	if f.Customer != "" && f.Customer != c.Customer {
		return false
	}
	return f.Share == 0 || hashFraction(string(f.Kind), c) < f.Share
}

// hashFraction maps a fault kind and a call to a number in [0, 1). Different kinds give
// independent numbers, so that their shares select different requests.
func hashFraction(kind string, c Call) float64 {
	key := kind + "\x00" + c.Request + "\x00" + strconv.Itoa(c.Attempt)
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Has reports whether a fault of kind k applies.
func (m MatchedFaults) Has(k FaultKind) bool {
	_, ok := m[k]
	return ok
}

// Delay returns the delay of FaultDelay, or 0 without that fault.
func (m MatchedFaults) Delay() time.Duration {
	return time.Duration(m[FaultDelay].DelayMs) * time.Millisecond
}

// StatusOr returns the HTTP status that fault k sets, or fallback when it sets none.
func (m MatchedFaults) StatusOr(k FaultKind, fallback int) int {
	if s := m[k].Status; s != 0 {
		return s
	}
	return fallback
}

// BlockWhileFrozen returns a handler that blocks calls during a freeze and then passes
// them to next. The control paths under /standin/ are never blocked.
func (f *Faults) BlockWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/standin/") && !f.waitForFreezeEnd(r) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// waitForFreezeEnd reports false when the caller disconnected during the freeze.
func (f *Faults) waitForFreezeEnd(r *http.Request) bool {
	for freezeEnd := f.FreezeEnd(); freezeEnd != nil; freezeEnd = f.FreezeEnd() {
		select {
		case <-freezeEnd:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// ServeHTTP serves GET and POST /standin/faults. It answers 400 for a body that is not
// a FaultSet and for an unknown fault kind, and then changes nothing.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		WriteJSON(w, http.StatusOK, FaultSet{Faults: f.Active()})
		return
	}
	var set FaultSet
	if !ReadJSON(w, r, &set) {
		return
	}
	for _, fault := range set.Faults {
		if !faultKinds[fault.Kind] {
			WriteError(w, http.StatusBadRequest, "unknown fault kind "+strconv.Quote(string(fault.Kind)))
			return
		}
	}
	f.Set(set.Faults...)
	WriteJSON(w, http.StatusOK, set)
}
