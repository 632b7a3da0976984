package routing

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
)

// maxMarks bounds the remembered starts and ends since the last report. Reports
// ride on every response, so a longer list would only hold events that the next
// report covers.
const maxMarks = 128

// tokenGain averages the reported time between tokens over some dozens of
// reports, because a single step varies with the prompts processed in it.
const tokenGain = 0.05

// mark is one start (+1) or end (-1) of an own attempt.
type mark struct {
	at    time.Time
	delta int
}

// loadView is what the entry knows about the load of one server.
type loadView struct {
	known       bool
	asOf        time.Time
	probedAt    time.Time
	outstanding int
	slots       int
	tokenMs     float64
	serviceMs   float64
	// own counts own attempts in flight.
	own int
	// since is own starts less own ends that the last report does not cover.
	since int
	marks []mark
	// prefillUntil is when the prompts that this entry sent are processed.
	prefillUntil time.Time
}

func newLoadView(now time.Time) loadView {
	return loadView{asOf: now}
}

// report replaces the reported load unless it is older than the one held.
func (l *loadView) report(now time.Time, r api.LoadReport) {
	asOf := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if l.known && asOf.Before(l.asOf) {
		return
	}
	l.known = true
	l.asOf = asOf
	l.outstanding = max(r.Running, 0) + max(r.Queued, 0)
	l.slots = r.Slots
	if r.TokenMs > 0 {
		l.tokenMs = ewma(l.tokenMs, r.TokenMs, tokenGain)
	}
	l.dropCovered()
}

// dropCovered forgets the starts and ends that the last report includes.
func (l *loadView) dropCovered() {
	kept := l.marks[:0]
	l.since = 0
	for _, m := range l.marks {
		if m.at.After(l.asOf) {
			kept = append(kept, m)
			l.since += m.delta
		}
	}
	l.marks = kept
}

func (l *loadView) mark(now time.Time, delta int) {
	if len(l.marks) == maxMarks {
		l.since -= l.marks[0].delta
		copy(l.marks, l.marks[1:])
		l.marks = l.marks[:maxMarks-1]
	}
	l.marks = append(l.marks, mark{at: now, delta: delta})
	l.since += delta
}

func (l *loadView) start(now time.Time, prefillMs float64) {
	l.own++
	l.mark(now, 1)
	if l.prefillUntil.Before(now) {
		l.prefillUntil = now
	}
	l.prefillUntil = l.prefillUntil.Add(milliseconds(prefillMs))
}

func (l *loadView) end(now time.Time, w Work, o Outcome) {
	if l.own == 0 {
		return
	}
	l.own--
	l.mark(now, -1)
	if l.own == 0 {
		l.prefillUntil = now
	}
	if o.OK && !w.Started.IsZero() {
		l.serviceMs = ewma(l.serviceMs, toMs(now.Sub(w.Started)), 0.1)
	}
}

// backlogMs is the time until the prompts that this entry sent are processed.
func (l *loadView) backlogMs(now time.Time) float64 {
	return max(toMs(l.prefillUntil.Sub(now)), 0)
}

// estimate returns the predicted number of requests at the server. The report,
// corrected by own starts and ends since, fades with age towards the larger of
// the fleet's mean and the own attempts in flight.
func (l *loadView) estimate(now time.Time, halfLife time.Duration, meanOutstanding float64) float64 {
	fallback := max(meanOutstanding, float64(l.own))
	if !l.known {
		return fallback
	}
	trust := math.Exp2(-float64(now.Sub(l.asOf)) / float64(halfLife))
	corrected := max(float64(l.outstanding+l.since), float64(l.own))
	return trust*corrected + (1-trust)*fallback
}

// fleetMean holds averages over all reports, for servers without one of their own.
type fleetMean struct {
	outstanding float64
	tokenMs     float64
	serviceMs   float64
}

func (m *fleetMean) observe(r api.LoadReport) {
	m.outstanding += 0.02 * (float64(r.Running+r.Queued) - m.outstanding)
	if r.TokenMs > 0 {
		m.tokenMs += 0.02 * (r.TokenMs - m.tokenMs)
	}
}

func (m *fleetMean) served(d time.Duration) {
	m.serviceMs += 0.02 * (toMs(d) - m.serviceMs)
}

// ewma moves an average towards x; the first value is taken as it is.
func ewma(average, x, gain float64) float64 {
	if average == 0 {
		return x
	}
	return average + gain*(x-average)
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
