package rollout

import "math"

// alarmThreshold is the log-likelihood ratio at which a CUSUM test detects a bad rate.
// A version whose rate is at its tolerated limit causes a false alarm at most once in
// e^20 = 4.8e8 samples.
const alarmThreshold = 20.0

// grossBadRate is the rate of bad samples that a second test looks for, so that a
// version that mostly fails is cut back after about ten samples.
const grossBadRate = 0.5

// sampleCounts holds the number of samples of one kind and how many of them are bad.
type sampleCounts struct{ samples, bad float64 }

// rateBaseline estimates the normal rate of bad samples over a long time. weight is the
// number of samples that the mean counts for.
type rateBaseline struct{ mean, weight float64 }

const (
	// baselineMemorySamples limits the weight of past samples.
	baselineMemorySamples = 5000
	// priorWeightSamples is the weight of the prior rate.
	priorWeightSamples = 100
)

func newBaseline(prior float64) rateBaseline { return rateBaseline{prior, priorWeightSamples} }

func (b *rateBaseline) add(counts sampleCounts) {
	if counts.samples == 0 {
		return
	}
	total := b.weight + counts.samples
	b.mean += (counts.bad - b.mean*counts.samples) / total
	b.weight = math.Min(total, baselineMemorySamples)
}

// upperBound returns the mean plus two standard errors, so that a baseline from few
// samples does not cause false alarms.
func (b rateBaseline) upperBound() float64 {
	p := math.Min(math.Max(b.mean, 0.002), 0.9)
	return math.Min(p+2*math.Sqrt(p*(1-p)/b.weight), 0.9)
}

// cusumDetector holds the statistics of two sequential tests of the rate of bad samples:
// moderate tests for twice the tolerated rise, gross for grossBadRate.
type cusumDetector struct{ moderate, gross float64 }

// add updates the tests with samples and reports whether one of them detects a bad rate.
// p0 is the highest tolerated rate, rise the tolerated rise of the rate.
func (c *cusumDetector) add(counts sampleCounts, p0, rise float64) bool {
	if counts.samples == 0 {
		return false
	}
	moderateRate := math.Min(p0+2*rise, 0.95)
	grossRate := math.Max(grossBadRate, math.Min(p0+3*rise, 0.97))
	c.moderate = math.Max(0, c.moderate+logLikelihoodRatio(counts, p0, moderateRate))
	c.gross = math.Max(0, c.gross+logLikelihoodRatio(counts, p0, grossRate))
	return c.moderate >= alarmThreshold || c.gross >= alarmThreshold
}

// isSuspicious reports whether a test is beyond a quarter of its threshold. Samples are
// then kept out of the baseline.
func (c *cusumDetector) isSuspicious() bool { return math.Max(c.moderate, c.gross) > alarmThreshold/4 }

// logLikelihoodRatio returns the log-likelihood ratio of rate p1 to rate p0.
func logLikelihoodRatio(counts sampleCounts, p0, p1 float64) float64 {
	good := counts.samples - counts.bad
	return counts.bad*math.Log(p1/p0) + good*math.Log((1-p1)/(1-p0))
}

// medianEstimator estimates the median of a stream of values. Each value moves the
// estimate by 2%.
type medianEstimator struct{ value float64 }

func (m *medianEstimator) add(x float64) {
	switch {
	case x > m.value:
		m.value *= 1.02
	case x < m.value:
		m.value /= 1.02
	}
}
