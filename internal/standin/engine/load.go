package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// smoothingFactor is the weight of a new value in the moving averages of timing.
const smoothingFactor = 0.2

// timing holds exponential moving averages of the time to the first token and of the step
// duration, in milliseconds.
type timing struct{ firstTokenMs, stepMs float64 }

func updateAverage(old *float64, d time.Duration) {
	ms := float64(d.Microseconds()) / 1000
	if *old == 0 {
		*old = ms
		return
	}
	*old += smoothingFactor * (ms - *old)
}

func (t *timing) recordFirstToken(d time.Duration) { updateAverage(&t.firstTokenMs, d) }
func (t *timing) recordStep(d time.Duration)       { updateAverage(&t.stepMs, d) }

// loadReport is the body of GET /v1/load.
type loadReport struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Slots        int      `json:"slots"`
	KVUsed       float64  `json:"kvUsed"`
	FirstTokenMs float64  `json:"firstTokenMs"`
	TokenMs      float64  `json:"tokenMs"`
	AgeMs        int64    `json:"ageMs"`
	Versions     []string `json:"versions"`
	takenAt      time.Time
}

// newLoadReport returns a report of the current load. The caller holds the mutex, or the engine
// is not shared yet.
func (e *Engine) newLoadReport() loadReport {
	versions := make([]string, 0, len(e.versions))
	for v := range e.versions {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	return loadReport{
		Running: len(e.running), Queued: len(e.queue), Slots: e.config.Slots,
		KVUsed: e.cache.usedFraction(), FirstTokenMs: e.timing.firstTokenMs, TokenMs: e.timing.stepMs,
		Versions: versions, takenAt: time.Now(),
	}
}

// runReports renews the load report every LoadPeriod, except while frozen. Readers see reports
// of up to that age.
func (e *Engine) runReports() {
	for e.sleepUnlessClosed(e.config.LoadPeriod) {
		if e.faults.FreezeEnd() != nil {
			continue
		}
		e.mu.Lock()
		e.lastReport = e.newLoadReport()
		e.mu.Unlock()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if e.config.LoadPeriod <= 0 {
		e.lastReport = e.newLoadReport()
	}
	report := e.lastReport
	e.mu.Unlock()
	report.AgeMs = time.Since(report.takenAt).Milliseconds()
	base.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			base.WriteError(w, http.StatusBadRequest, "query parameter after must be an integer")
			return
		}
		after = n
	}
	e.mu.Lock()
	events, next := e.cache.eventsAfter(after, time.Now().Add(-e.config.EventDelay))
	e.mu.Unlock()
	base.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}
