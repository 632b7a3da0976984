package rollout

import (
	"math"
	"time"
)

const (
	// baselineAnswers is the number of the latest answers of other versions that those of the
	// target are compared with.
	baselineAnswers = 96
	// minBaselineAnswers is the number of answers from which a comparison is made.
	minBaselineAnswers = 8
	// burstBaselineAge is the greatest age of an answer that one in a burst is compared with.
	// The times change within a second while queues build up.
	burstBaselineAge = time.Second
	// toleratedSlowdown is the factor by which the answers of a good target may be slower. Its
	// workers start with empty caches and queue requests at first.
	toleratedSlowdown = 1.3
	// toleratedAlone is that factor while the target gets all requests, so that its answers are
	// compared with those of a time in which the other versions shared the load.
	toleratedAlone = 2.6
	// slowRankExponent is the exponent of the density of the ranks of a slow version's answers
	// among those of the other versions. Slow versions of the deployments answer 1.6 to 12
	// times slower.
	slowRankExponent = 0.5
	// priorWeight is the number of answers of its own kind that the relative times of all kinds
	// count for in the rank of an answer.
	priorWeight = 20
	// maxEvidencePerLog bounds the evidence of an answer by the logarithm of its slowdown. Where
	// the times of the other versions hardly differ, the rank alone would make a small slowdown
	// strong evidence.
	maxEvidencePerLog = 2.0
)

// kindBaseline holds the answer times of the other versions for one kind of answer.
type kindBaseline struct {
	// times holds the latest answers, next is the index of the oldest of them.
	times []answerTime
	next  int
	// ratios and otherRatios count the relative times of all kinds in this process and in the
	// others.
	ratios, otherRatios *RatioHistogram
	// paceModel predicts the paces, and paceRatios holds their sorted ratios to it; nil until they are
	// needed.
	paceModel  timeModel
	paceRatios []float64
}

// answerTime is the time to first byte of an answer, or its pace, and the work that it depends on:
// the uncached tokens, or the requests that ran on the worker.
type answerTime struct {
	ms, work float64
	inBurst  bool
	at       time.Duration
}

func timeOf(a Answer) answerTime {
	return answerTime{float64(a.TimeToFirstByte) / float64(time.Millisecond), float64(a.UncachedTokens), a.InBurst, a.At}
}

// addTime adds the time of an answer of another version.
func (b *kindBaseline) addTime(a Answer) {
	if len(b.times) >= minBaselineAnswers && !a.InBurst {
		b.ratios.count(fitAnswerTimes(b.times).ratio(timeOf(a)))
	}
	b.keep(timeOf(a))
}

// keep keeps a time in place of the oldest one.
func (b *kindBaseline) keep(t answerTime) {
	if len(b.times) < baselineAnswers {
		b.times = append(b.times, t)
		return
	}
	b.times[b.next] = t
	b.next = (b.next + 1) % baselineAnswers
}

// isUsual reports whether an answer is not slower than predicted.
func (b *kindBaseline) isUsual(a Answer) bool {
	return len(b.times) < minBaselineAnswers || fitAnswerTimes(b.times).ratio(timeOf(a)) <= 1
}

// slowEvidence returns the log-likelihood ratio of a slow version to a good one for an answer of
// the target, and whether it can be compared: with the answers of the other versions in the same
// burst, or outside of bursts. The ratio is that of the answer's rank among them: uniform for a
// good version, with a density that rises towards the slowest for a slow one. It does not depend
// on how the times are distributed. Where a kind has few answers, the relative times of all kinds
// and processes tell how rare a slow one is.
func (b *kindBaseline) slowEvidence(a Answer) (float64, bool) {
	times := make([]answerTime, 0, baselineAnswers)
	for _, t := range b.times {
		if t.inBurst == a.InBurst && (!a.InBurst || a.At-t.at <= burstBaselineAge) {
			times = append(times, t)
		}
	}
	if len(times) < minBaselineAnswers || a.TimeToFirstByte <= 0 {
		return 0, false
	}
	model := fitAnswerTimes(times)
	tolerated := toleratedSlowdown
	if a.AtFullShare {
		tolerated = toleratedAlone
	}
	ratio := model.ratio(timeOf(a)) / tolerated
	slower, all := 0.5, 1.0
	if n, total := tail(ratio, b.ratios, b.otherRatios); total > 0 && !a.InBurst {
		slower, all = priorWeight*(n+0.5)/(total+1), priorWeight
	}
	for _, other := range times {
		all++
		if model.ratio(other) >= ratio {
			slower++
		}
	}
	rank := slower / all
	evidence := math.Log(slowRankExponent) + (slowRankExponent-1)*math.Log(rank)
	return math.Min(evidence, math.Max(maxEvidencePerLog*math.Log(ratio), 0)), true
}

// timeModel predicts the time of an answer from its work, linearly.
type timeModel struct{ meanMs, meanWork, msPerWork float64 }

// fitAnswerTimes fits a timeModel to times to the first byte. Those far above the mean count as
// outlierFactor times the mean, because requests that queued say nothing about the work.
func fitAnswerTimes(times []answerTime) timeModel {
	var sum float64
	for _, t := range times {
		sum += t.ms
	}
	return fitTimes(times, outlierFactor*sum/float64(len(times)))
}

// fitTimes fits a timeModel by least squares. Times above the limit count as the limit.
func fitTimes(times []answerTime, limit float64) timeModel {
	var m timeModel
	for _, t := range times {
		m.meanMs += math.Min(t.ms, limit) / float64(len(times))
		m.meanWork += t.work / float64(len(times))
	}
	var covariance, variance float64
	for _, t := range times {
		d := t.work - m.meanWork
		covariance += d * (math.Min(t.ms, limit) - m.meanMs)
		variance += d * d
	}
	if variance > 0 && m.meanWork > 0 {
		m.msPerWork = math.Min(math.Max(covariance/variance, 0), m.meanMs/m.meanWork)
	}
	return m
}

// outlierFactor bounds the influence of single slow answers on a timeModel.
const outlierFactor = 3.0

// ratio returns the time of an answer relative to the predicted one.
func (m timeModel) ratio(t answerTime) float64 {
	predicted := m.meanMs + m.msPerWork*(t.work-m.meanWork)
	return t.ms / math.Max(predicted, minPredictedShare*m.meanMs)
}

// minPredictedShare is the least predicted time relative to the mean.
const minPredictedShare = 0.2
