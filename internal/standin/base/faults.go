package base

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of fault. Not every stand-in has an answer stream; the package of each
// stand-in says which kinds it honours.
const (
	// FaultRepeat sends the token after AfterTokens tokens twice.
	FaultRepeat FaultKind = "repeat"
	// FaultCross swaps the answers of two matching requests.
	FaultCross FaultKind = "cross"
	// FaultTruncate closes the answer cleanly before its end.
	FaultTruncate FaultKind = "truncate"
	// FaultDelay holds the answer for DelayMs.
	FaultDelay FaultKind = "delay"
	// FaultCut resets the connection.
	FaultCut FaultKind = "cut"
	// FaultRefuse answers Status (503 by default) without running the request.
	FaultRefuse FaultKind = "refuse"
	// FaultError runs the request and then answers Status (500 by default).
	FaultError FaultKind = "error"
	// FaultFreeze holds every call and all work until the fault is removed.
	FaultFreeze FaultKind = "freeze"
	// FaultSlow makes the work Factor times slower.
	FaultSlow FaultKind = "slow"
	// FaultPoor makes the answer a poor one.
	FaultPoor FaultKind = "poor"
	// FaultBias adds Bias to the scores of a rating service.
	FaultBias FaultKind = "bias"
)

var faultKinds = map[FaultKind]bool{
	FaultRepeat: true, FaultCross: true, FaultTruncate: true, FaultDelay: true,
	FaultCut: true, FaultRefuse: true, FaultError: true, FaultFreeze: true,
	FaultSlow: true, FaultPoor: true, FaultBias: true,
}

// Fault is one injected fault. Empty match fields match everything.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Request matches the request identifier.
	Request string `json:"request,omitempty"`
	// Target matches the version of an engine or the operation of a service.
	Target   string `json:"target,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Share is the matched share of requests, chosen by a hash of the request
	// and attempt; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Count bounds how many requests the fault hits; 0 means no bound.
	Count int `json:"count,omitempty"`
	// AfterTokens is the number of tokens sent before the fault acts.
	AfterTokens int `json:"afterTokens,omitempty"`
	// DelayMs is the delay of FaultDelay, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// Status is the HTTP status of FaultRefuse and FaultError.
	Status int `json:"status,omitempty"`
	// Factor is the slowdown of FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// Bias is added to scores by FaultBias.
	Bias float64 `json:"bias,omitempty"`
}

// FaultSet is the body of POST and GET /standin/faults. A POST replaces the set.
type FaultSet struct {
	Faults []Fault `json:"faults"`
}

// Call identifies a request to match against faults.
type Call struct {
	Request  string
	Attempt  int
	Target   string
	Customer string
}

// Hit is the set of faults that act on one request.
type Hit map[FaultKind]Fault

// Faults holds the active faults.
type Faults struct {
	mu     sync.Mutex
	active []Fault
	left   []int
	thaw   chan struct{}
}

// NewFaults returns an empty set.
func NewFaults() *Faults { return &Faults{} }

// Set replaces the active faults.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault{}, faults...)
	f.left = make([]int, len(faults))
	frozen := false
	for i, fault := range faults {
		f.left[i] = fault.Count
		frozen = frozen || fault.Kind == FaultFreeze
	}
	f.setFrozen(frozen)
}

func (f *Faults) setFrozen(frozen bool) {
	if frozen && f.thaw == nil {
		f.thaw = make(chan struct{})
	}
	if !frozen && f.thaw != nil {
		close(f.thaw)
		f.thaw = nil
	}
}

// Active returns a copy of the active faults.
func (f *Faults) Active() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault{}, f.active...)
}

// Frozen returns a channel that is closed when the freeze ends, or nil when
// nothing is frozen.
func (f *Faults) Frozen() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.thaw
}

// Match returns the faults that act on a call and uses up their counts.
func (f *Faults) Match(c Call) Hit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.active) == 0 {
		return nil
	}
	hit := Hit{}
	for i, fault := range f.active {
		if !fault.matches(c) || (fault.Count > 0 && f.left[i] == 0) {
			continue
		}
		if _, taken := hit[fault.Kind]; taken {
			continue
		}
		if fault.Count > 0 {
			f.left[i]--
		}
		hit[fault.Kind] = fault
	}
	return hit
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
	return f.Share == 0 || share(string(f.Kind), c) < f.Share
}

// share maps a call to a number in [0, 1) that differs between fault kinds.
func share(kind string, c Call) float64 {
	key := kind + "\x00" + c.Request + "\x00" + strconv.Itoa(c.Attempt)
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Has reports whether a fault of kind k acts.
func (h Hit) Has(k FaultKind) bool {
	_, ok := h[k]
	return ok
}

// Delay returns the delay of FaultDelay, or 0.
func (h Hit) Delay() time.Duration {
	return time.Duration(h[FaultDelay].DelayMs) * time.Millisecond
}

// Status returns the status of fault k, or otherwise when it states none.
func (h Hit) Status(k FaultKind, otherwise int) int {
	if s := h[k].Status; s != 0 {
		return s
	}
	return otherwise
}

// Guard holds calls while the stand-in is frozen. The control paths under
// /standin/ pass.
func (f *Faults) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/standin/") && !f.wait(r) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Faults) wait(r *http.Request) bool {
	for thaw := f.Frozen(); thaw != nil; thaw = f.Frozen() {
		select {
		case <-thaw:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// ServeHTTP answers GET and POST /standin/faults.
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
