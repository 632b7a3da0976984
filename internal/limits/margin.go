package limits

import (
	"math"
	"time"
)

const (
	// marginQuantile is the share of predictions that shall hold.
	marginQuantile = 0.95
	// marginGain is the step of one observation relative to the larger of the
	// true and the predicted value.
	marginGain = 0.1
	// marginHalf is the time in which a margin halves.
	marginHalf = 2 * time.Minute
	// marginMost bounds the margin, so that one stall refuses no work for long.
	marginMost = time.Minute
)

// margin learns what must be added to predictions so that marginQuantile of the
// true values are not above them. Later arrivals of other customers and answers
// of unexpected length make plain predictions too low.
type margin struct {
	extra time.Duration
	at    time.Time
}

// of returns the margin. It halves in each marginHalf without an observation, so
// that a margin that lets no request in does not keep itself.
func (m *margin) of(now time.Time) time.Duration {
	if m.extra == 0 {
		return 0
	}
	return seconds(m.extra.Seconds() * math.Exp2(-now.Sub(m.at).Seconds()/marginHalf.Seconds()))
}

func (m *margin) observe(now time.Time, actual, predicted time.Duration) {
	m.extra, m.at = m.of(now), now
	step := marginGain * math.Max(actual.Seconds(), predicted.Seconds())
	if actual > predicted+m.extra {
		m.extra += seconds(step * marginQuantile)
	} else {
		m.extra -= seconds(step * (1 - marginQuantile))
	}
	m.extra = min(max(m.extra, 0), marginMost)
}
