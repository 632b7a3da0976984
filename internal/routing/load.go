package routing

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
)

// maxLoadChanges limits the list of starts and ends since the last report. Every
// response carries a report, so a longer list would only add changes that the
// next report covers.
const maxLoadChanges = 128

// tokenMsGain is the weight of a report in the average time between tokens. It
// averages over a few dozen reports, because the duration of a single engine step
// depends on the prompts that are processed in it.
const tokenMsGain = 0.05

// loadChange is the start (+1) or end (-1) of an attempt of this entry.
type loadChange struct {
	time  time.Time
	delta int
}

// loadEstimator estimates the load of one server from its reports and from the
// attempts of this entry.
type loadEstimator struct {
	hasReport bool
	// reportedAt is when the server measured the last report; without one, it is
	// when the estimator was made.
	reportedAt time.Time
	probedAt   time.Time
	// outstanding is the number of running and queued requests in the last report.
	outstanding int
	slots       int
	// tokenMs is the average reported time between tokens; 0 means none reported.
	tokenMs float64
	// serviceMs is the average duration of this entry's attempts; 0 means none ended.
	serviceMs float64
	// inFlight is the number of this entry's attempts in flight.
	inFlight int
	// deltaSinceReport is the sum of changesSinceReport.
	deltaSinceReport   int
	changesSinceReport []loadChange
	// prefillEnd is when the server is expected to have processed the prompts
	// that this entry sent.
	prefillEnd time.Time
}

func newLoadEstimator(now time.Time) loadEstimator {
	return loadEstimator{reportedAt: now}
}

// recordReport replaces the last report unless the new one was measured earlier.
func (l *loadEstimator) recordReport(now time.Time, r api.LoadReport) {
	reportedAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if l.hasReport && reportedAt.Before(l.reportedAt) {
		return
	}
	l.hasReport = true
	l.reportedAt = reportedAt
	l.outstanding = max(r.Running, 0) + max(r.Queued, 0)
	l.slots = r.Slots
	if r.TokenMs > 0 {
		l.tokenMs = ewma(l.tokenMs, r.TokenMs, tokenMsGain)
	}
	l.dropReportedChanges()
}

// dropReportedChanges removes the starts and ends that the last report covers.
func (l *loadEstimator) dropReportedChanges() {
	kept := l.changesSinceReport[:0]
	l.deltaSinceReport = 0
	for _, change := range l.changesSinceReport {
		if change.time.After(l.reportedAt) {
			kept = append(kept, change)
			l.deltaSinceReport += change.delta
		}
	}
	l.changesSinceReport = kept
}

func (l *loadEstimator) recordChange(now time.Time, delta int) {
	if len(l.changesSinceReport) == maxLoadChanges {
		l.deltaSinceReport -= l.changesSinceReport[0].delta
		copy(l.changesSinceReport, l.changesSinceReport[1:])
		l.changesSinceReport = l.changesSinceReport[:maxLoadChanges-1]
	}
	l.changesSinceReport = append(l.changesSinceReport, loadChange{time: now, delta: delta})
	l.deltaSinceReport += delta
}

func (l *loadEstimator) startAttempt(now time.Time, prefillMs float64) {
	l.inFlight++
	l.recordChange(now, 1)
	if l.prefillEnd.Before(now) {
		l.prefillEnd = now
	}
	l.prefillEnd = l.prefillEnd.Add(fromMs(prefillMs))
}

func (l *loadEstimator) endAttempt(now time.Time, attempt Attempt, o Outcome) {
	if l.inFlight == 0 {
		return
	}
	l.inFlight--
	l.recordChange(now, -1)
	if l.inFlight == 0 {
		l.prefillEnd = now
	}
	if o.OK && !attempt.StartedAt.IsZero() {
		l.serviceMs = ewma(l.serviceMs, toMs(now.Sub(attempt.StartedAt)), 0.1)
	}
}

// backlogMs returns the predicted time until the server has processed the prompts
// that this entry sent, in milliseconds.
func (l *loadEstimator) backlogMs(now time.Time) float64 {
	return max(toMs(l.prefillEnd.Sub(now)), 0)
}

// outstandingRequests returns the predicted number of requests at the server. It
// adds this entry's starts and ends since the last report to the reported number.
// With the age of the report, the prediction moves to the larger of the fleet's
// mean and the number of this entry's attempts in flight.
func (l *loadEstimator) outstandingRequests(now time.Time, halfLife time.Duration, meanOutstanding float64) float64 {
	fallback := max(meanOutstanding, float64(l.inFlight))
	if !l.hasReport {
		return fallback
	}
	reportWeight := math.Exp2(-float64(now.Sub(l.reportedAt)) / float64(halfLife))
	corrected := max(float64(l.outstanding+l.deltaSinceReport), float64(l.inFlight))
	return reportWeight*corrected + (1-reportWeight)*fallback
}

// fleetAverages holds moving averages over all servers, in which each new value has
// a weight of 2%. They stand in for the values of a server that has none of its own.
type fleetAverages struct {
	outstanding float64
	tokenMs     float64
	serviceMs   float64
}

func (m *fleetAverages) recordReport(r api.LoadReport) {
	m.outstanding += 0.02 * (float64(r.Running+r.Queued) - m.outstanding)
	if r.TokenMs > 0 {
		m.tokenMs += 0.02 * (r.TokenMs - m.tokenMs)
	}
}

func (m *fleetAverages) recordServiceTime(d time.Duration) {
	m.serviceMs += 0.02 * (toMs(d) - m.serviceMs)
}

// ewma returns the exponentially weighted moving average after a value x. An
// average of 0 means that x is the first value.
func ewma(average, x, gain float64) float64 {
	if average == 0 {
		return x
	}
	return average + gain*(x-average)
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
