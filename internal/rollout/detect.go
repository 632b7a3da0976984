package rollout

import "math"

// alarmLevel is the log-likelihood ratio at which a sequential test decides. A
// CUSUM test with this level raises a false alarm at most once in e^20 = 4.8e8
// samples of a version whose rate is at its tolerated limit.
const alarmLevel = 20.0

// grossRate is a rate of bad samples that a second test looks for, so that a
// version that fails outright is cut back after some ten samples.
const grossRate = 0.5

// counts are samples of one kind, of which some are bad.
type counts struct{ samples, bad float64 }

// baseline estimates the usual rate of bad samples with a long memory.
type baseline struct{ mean, weight float64 }

const (
	baselineMemory = 5000 // samples
	priorWeight    = 100  // samples that the prior counts for
)

func newBaseline(prior float64) baseline { return baseline{prior, priorWeight} }

func (b *baseline) add(d counts) {
	if d.samples == 0 {
		return
	}
	total := b.weight + d.samples
	b.mean += (d.bad - b.mean*d.samples) / total
	b.weight = math.Min(total, baselineMemory)
}

// upper is the mean plus two standard errors, so that a baseline of few samples
// does not make a healthy version look bad.
func (b baseline) upper() float64 {
	p := math.Min(math.Max(b.mean, 0.002), 0.9)
	return math.Min(p+2*math.Sqrt(p*(1-p)/b.weight), 0.9)
}

// cusum is a pair of sequential tests of the rate of bad samples: against twice
// the tolerated rise, and against grossRate.
type cusum struct{ near, gross float64 }

// add takes samples under the highest tolerated rate p0 and a tolerated rise,
// and reports whether the rate is decided to be bad.
func (c *cusum) add(d counts, p0, rise float64) bool {
	if d.samples == 0 {
		return false
	}
	near := math.Min(p0+2*rise, 0.95)
	gross := math.Max(grossRate, math.Min(p0+3*rise, 0.97))
	c.near = math.Max(0, c.near+ratio(d, p0, near))
	c.gross = math.Max(0, c.gross+ratio(d, p0, gross))
	return c.near >= alarmLevel || c.gross >= alarmLevel
}

// suspicious reports whether samples should no longer shape a baseline.
func (c *cusum) suspicious() bool { return math.Max(c.near, c.gross) > alarmLevel/4 }

// ratio is the log-likelihood ratio of rate p1 against p0.
func ratio(d counts, p0, p1 float64) float64 {
	good := d.samples - d.bad
	return d.bad*math.Log(p1/p0) + good*math.Log((1-p1)/(1-p0))
}

// median follows the median of a stream with steps of 2 %.
type median struct{ value float64 }

func (m *median) add(x float64) {
	switch {
	case x > m.value:
		m.value *= 1.02
	case x < m.value:
		m.value /= 1.02
	}
}
