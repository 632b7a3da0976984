package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// smoothing is the weight of a new measurement in the reported times.
const smoothing = 0.2

// timing holds smoothed times, in milliseconds.
type timing struct{ firstMs, stepMs float64 }

func smooth(old *float64, d time.Duration) {
	ms := float64(d.Microseconds()) / 1000
	if *old == 0 {
		*old = ms
		return
	}
	*old += smoothing * (ms - *old)
}

func (t *timing) first(d time.Duration) { smooth(&t.firstMs, d) }
func (t *timing) step(d time.Duration)  { smooth(&t.stepMs, d) }

// load is the answer of GET /v1/load.
type load struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Slots        int      `json:"slots"`
	KVUsed       float64  `json:"kvUsed"`
	FirstTokenMs float64  `json:"firstTokenMs"`
	TokenMs      float64  `json:"tokenMs"`
	AgeMs        int64    `json:"ageMs"`
	Versions     []string `json:"versions"`
	taken        time.Time
}

// measure takes a load report; the mutex is held or the engine is not shared.
func (e *Engine) measure() load {
	versions := make([]string, 0, len(e.versions))
	for v := range e.versions {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	return load{
		Running: len(e.running), Queued: len(e.queue), Slots: e.config.Slots,
		KVUsed: e.cache.used(), FirstTokenMs: e.timing.firstMs, TokenMs: e.timing.stepMs,
		Versions: versions, taken: time.Now(),
	}
}

// runReports takes a report every LoadPeriod, so that readers see an old one.
func (e *Engine) runReports() {
	for e.sleep(e.config.LoadPeriod) {
		if e.faults.Frozen() != nil {
			continue
		}
		e.mu.Lock()
		e.report = e.measure()
		e.mu.Unlock()
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if e.config.LoadPeriod <= 0 {
		e.report = e.measure()
	}
	report := e.report
	e.mu.Unlock()
	report.AgeMs = time.Since(report.taken).Milliseconds()
	base.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			base.WriteError(w, http.StatusBadRequest, "after is not a number")
			return
		}
		after = n
	}
	e.mu.Lock()
	events, next := e.cache.after(after, time.Now().Add(-e.config.EventDelay))
	e.mu.Unlock()
	base.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}
