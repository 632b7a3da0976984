package limits

import (
	"math"
	"time"
)

const (
	// marginQuantile is the default fraction of predictions that must not be too low.
	marginQuantile = 0.95
	// marginStep is the change per observation, relative to the larger of the
	// actual and the predicted value.
	marginStep = 0.1
	// marginHalfLife is the time in which a margin halves without observations.
	marginHalfLife = 2 * time.Minute
	// maxMargin bounds a margin, so that one stall does not cause refusals for long.
	maxMargin = time.Minute
)

// marginEstimator estimates the margin to add to predicted times so that a fraction
// of the actual times, the quantile, does not exceed them. Without a margin,
// predictions are too low because requests of other customers arrive later and
// answers are longer than expected.
type marginEstimator struct {
	value      time.Duration
	observedAt time.Time
}

// current returns the margin at now. It halves in each marginHalfLife without an
// observation: a margin that leads to the refusal of every request would otherwise
// never be corrected.
func (m *marginEstimator) current(now time.Time) time.Duration {
	if m.value == 0 {
		return 0
	}
	return seconds(m.value.Seconds() * math.Exp2(-now.Sub(m.observedAt).Seconds()/marginHalfLife.Seconds()))
}

// observe moves the margin one step toward the quantile of actual - predicted.
func (m *marginEstimator) observe(now time.Time, actual, predicted time.Duration, quantile float64) {
	m.value, m.observedAt = m.current(now), now
	step := marginStep * math.Max(actual.Seconds(), predicted.Seconds())
	if actual > predicted+m.value {
		m.value += seconds(step * quantile)
	} else {
		m.value -= seconds(step * (1 - quantile))
	}
	m.value = min(max(m.value, 0), maxMargin)
}
