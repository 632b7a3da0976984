package cascade

import (
	"math"
	"time"
)

// numConfidenceBins is the number of equal bins over the confidence range 0 to 1.
const numConfidenceBins = 20

// confidenceBin returns the bin of a confidence. Values outside 0 to 1 are clamped,
// NaN is in bin 0.
func confidenceBin(confidence float64) int {
	if math.IsNaN(confidence) {
		return 0
	}
	return min(max(int(confidence*numConfidenceBins), 0), numConfidenceBins-1)
}

// binLowerBound returns the lowest confidence in a bin.
func binLowerBound(bin int) float64 { return float64(bin) / numConfidenceBins }

func binMidpoint(bin int) float64 { return (float64(bin) + 0.5) / numConfidenceBins }

// ratingCounts counts good and bad ratings with exponential forgetting. It uses
// float32 to save memory, because each class and version has many of them.
type ratingCounts struct {
	good float32
	bad  float32
	// lastRatingNs is the time of the last rating in Unix nanoseconds.
	lastRatingNs int64
}

// add counts one rating. Older ratings are scaled down so that at most memory
// ratings count.
func (t *ratingCounts) add(now time.Time, good bool, memory float64) {
	t.scale(1 - 1/memory)
	if good {
		t.good++
	} else {
		t.bad++
	}
	t.lastRatingNs = now.UnixNano()
}

func (t *ratingCounts) scale(factor float64) {
	t.good *= float32(factor)
	t.bad *= float32(factor)
}

func (t *ratingCounts) total() float64 { return float64(t.good) + float64(t.bad) }

// binnedCounts holds rating counts by confidence bin.
type binnedCounts [numConfidenceBins]ratingCounts

// sum returns the counts over all bins and the time of the latest rating.
func (t *binnedCounts) sum() ratingCounts {
	var out ratingCounts
	for i := range t {
		out.good += t[i].good
		out.bad += t[i].bad
		out.lastRatingNs = max(out.lastRatingNs, t[i].lastRatingNs)
	}
	return out
}

func (t *binnedCounts) scale(factor float64) {
	for i := range t {
		t[i].scale(factor)
	}
}

// betaDist is a Beta distribution of the share of good answers. Its weight is the
// sum of the two Beta parameters, in ratings.
type betaDist struct {
	mean   float64
	weight float64
	// expiredWeight is the weight lost to the age of the ratings.
	expiredWeight float64
}

// update returns the posterior after the counts in t. The mean uses the full
// counts; age reduces only the weight, so that old ratings make the estimate less
// certain but never raise it.
func (b betaDist) update(now time.Time, t *ratingCounts, halfLife time.Duration) betaDist {
	n := t.total()
	if n == 0 {
		return b
	}
	mean := (b.mean*b.weight + float64(t.good)) / (b.weight + n)
	currentWeight := n * decayFactor(now, t.lastRatingNs, halfLife)
	return betaDist{mean: mean, weight: b.weight + currentWeight, expiredWeight: n - currentWeight}
}

// variancePair holds a variance with and without the effect of the age of ratings.
type variancePair struct{ withAging, withoutAging float64 }

// maxRatingVariance is the largest variance of a single rating, mean x (1 - mean).
const maxRatingVariance = 0.25

// variances returns the variances of the estimated share. The expired weight gives
// no information on the present quality, so with aging that part of the distribution
// counts with the largest possible variance.
func (b betaDist) variances() variancePair {
	spread := b.mean * (1 - b.mean)
	total := b.weight + b.expiredWeight
	agedSpread := spread
	if total > 0 {
		agedSpread += maxRatingVariance * b.expiredWeight / total
	}
	return variancePair{withAging: agedSpread / (b.weight + 1), withoutAging: spread / (total + 1)}
}

// addScaled returns the variance of a sum of v and an independent term with variance
// w that is multiplied by share.
func (v variancePair) addScaled(share float64, w variancePair) variancePair {
	return variancePair{withAging: v.withAging + share*share*w.withAging, withoutAging: v.withoutAging + share*share*w.withoutAging}
}

// addCorrelated returns the variance of a sum of two fully correlated terms. Treated
// as independent, two versions with few ratings would appear more certain together
// than each of them alone.
func (v variancePair) addCorrelated(w variancePair) variancePair {
	add := func(a, b float64) float64 {
		deviation := math.Sqrt(a) + math.Sqrt(b)
		return deviation * deviation
	}
	return variancePair{withAging: add(v.withAging, w.withAging), withoutAging: add(v.withoutAging, w.withoutAging)}
}

// max returns the larger value of each variance.
func (v variancePair) max(w variancePair) variancePair {
	return variancePair{withAging: max(v.withAging, w.withAging), withoutAging: max(v.withoutAging, w.withoutAging)}
}

// decayFactor returns the exponential decay since the last rating, from 1 to 0.
func decayFactor(now time.Time, lastRatingNs int64, halfLife time.Duration) float64 {
	age := max(now.UnixNano()-lastRatingNs, 0)
	return math.Exp2(-float64(age) / float64(halfLife))
}

// versionStats holds the ratings and confidences of one version in one class.
type versionStats struct {
	prior betaDist
	// firstStage counts the ratings of first-stage answers by their confidence.
	firstStage binnedCounts
	// laterStage counts the ratings of answers to escalated requests. The key is
	// the version that escalated, and the bin is that version's confidence, so
	// that the counts do not depend on the escalation threshold.
	laterStage map[string]*binnedCounts
	// confidenceHistogram counts the confidences of first-stage answers, with
	// exponential forgetting.
	confidenceHistogram [numConfidenceBins]float32
	// driftStatistic is the cumulative log-likelihood ratio of the drift test.
	driftStatistic float64
}

const (
	// binPriorWeight and laterStagePriorWeight are the weights, in ratings, with
	// which an estimate is drawn toward a related one. They are small so that a
	// few dozen ratings outweigh them.
	binPriorWeight        = 2
	laterStagePriorWeight = 4
	// confidenceMemory is the largest number of answers that confidenceHistogram
	// counts for.
	confidenceMemory = 2000
)

func (c *versionStats) recordConfidence(confidence float64) {
	for i := range c.confidenceHistogram {
		c.confidenceHistogram[i] *= 1 - 1.0/confidenceMemory
	}
	c.confidenceHistogram[confidenceBin(confidence)]++
}

// effectiveRatings returns the number of ratings of all stages, reduced by their age.
func (c *versionStats) effectiveRatings(now time.Time, halfLife time.Duration) float64 {
	sum := c.firstStage.sum()
	n := sum.total() * decayFactor(now, sum.lastRatingNs, halfLife)
	for _, t := range c.laterStage {
		sum := t.sum()
		n += sum.total() * decayFactor(now, sum.lastRatingNs, halfLife)
	}
	return n
}

// pooledQuality returns the quality estimated from first-stage ratings of all
// confidences together. Its mean is too high when mostly answers above a threshold
// were rated; qualityCurve corrects this by weighting each bin.
func (c *versionStats) pooledQuality(now time.Time, halfLife time.Duration) betaDist {
	sum := c.firstStage.sum()
	return c.prior.update(now, &sum, halfLife)
}

// laterStageCounts returns the rating counts for requests that previousVersion
// escalated, and creates them if necessary.
func (c *versionStats) laterStageCounts(previousVersion string) *binnedCounts {
	t := c.laterStage[previousVersion]
	if t == nil {
		t = &binnedCounts{}
		if c.laterStage == nil {
			c.laterStage = map[string]*binnedCounts{}
		}
		c.laterStage[previousVersion] = t
	}
	return t
}

// laterStagePrior returns the prior for answers to escalated requests. Its weight
// does not decay with age, because the weight of a prior also affects the mean.
func laterStagePrior(overall betaDist) betaDist {
	return betaDist{mean: overall.mean, weight: min(overall.weight+overall.expiredWeight, laterStagePriorWeight)}
}

// laterStageQuality returns the estimated quality of answers to requests that
// another version escalated with a confidence in the given bin.
func laterStageQuality(now time.Time, t *binnedCounts, bin int, overall betaDist, halfLife time.Duration) betaDist {
	prior := laterStagePrior(overall)
	if t == nil {
		return prior
	}
	return prior.update(now, &t[bin], halfLife)
}

// qualityCurve holds the estimated quality of a version's answers for each
// acceptance threshold.
type qualityCurve struct {
	// acceptedShare[k] is the share of answers in bin k and above,
	// acceptedGoodShare[k] the share of answers that are good and in those bins,
	// and acceptedVariance[k] the variance of acceptedGoodShare[k].
	acceptedShare     [numConfidenceBins + 1]float64
	acceptedGoodShare [numConfidenceBins + 1]float64
	acceptedVariance  [numConfidenceBins + 1]variancePair
	// binShare is the share of answers in each bin.
	binShare [numConfidenceBins]float64
	// binQuality is the share of good answers among the answers of each bin.
	binQuality [numConfidenceBins]float64
	// overall is the quality over all requests: the mean over all bins, with the
	// weight of all first-stage ratings.
	overall betaDist
}

// qualityCurve computes the quality curve at time now.
func (c *versionStats) qualityCurve(now time.Time, halfLife time.Duration) qualityCurve {
	out := qualityCurve{binShare: c.confidenceDistribution()}
	overall := c.pooledQuality(now, halfLife)
	priors := c.binPriorModel(overall, &out.binShare)
	for k := numConfidenceBins - 1; k >= 0; k-- {
		b := priors.prior(k).update(now, &c.firstStage[k], halfLife)
		out.binQuality[k] = b.mean
		out.acceptedShare[k] = out.acceptedShare[k+1] + out.binShare[k]
		out.acceptedGoodShare[k] = out.acceptedGoodShare[k+1] + out.binShare[k]*b.mean
		out.acceptedVariance[k] = out.acceptedVariance[k+1].addScaled(out.binShare[k], b.variances())
	}
	out.overall = betaDist{mean: min(out.acceptedGoodShare[0], 1), weight: overall.weight, expiredWeight: overall.expiredWeight}
	return out
}

// confidenceDistribution returns the share of answers in each bin. It is uniform
// before the first answer.
func (c *versionStats) confidenceDistribution() [numConfidenceBins]float64 {
	var out [numConfidenceBins]float64
	sum := 0.0
	for i, s := range c.confidenceHistogram {
		out[i] = float64(s)
		sum += out[i]
	}
	for i := range out {
		if sum == 0 {
			out[i] = 1.0 / numConfidenceBins
		} else {
			out[i] /= sum
		}
	}
	return out
}

// binPriorModel computes the prior quality of each confidence bin. Bins below the
// acceptance threshold get few ratings, so once the version has ratings, the prior
// assumes lower quality at lower confidence. Without ratings the engine's
// confidence is not trusted and all bins have the same prior. meanCorrection keeps
// the mean over all bins unchanged.
type binPriorModel struct {
	baseQuality, meanCorrection, weight float64
	// confidenceTrust is the weight of the engine's confidence, from 0 to 1.
	confidenceTrust float64
}

// halfTrustRatings is the number of ratings at which confidenceTrust is 0.5.
const halfTrustRatings = 20

func (c *versionStats) binPriorModel(overall betaDist, binShare *[numConfidenceBins]float64) binPriorModel {
	sum := c.firstStage.sum()
	p := binPriorModel{baseQuality: min(c.prior.mean, overall.mean), confidenceTrust: sum.total() / (sum.total() + halfTrustRatings)}
	// Without ratings each bin has the weight of the version's prior.
	p.weight = max(p.confidenceTrust*binPriorWeight+(1-p.confidenceTrust)*c.prior.weight, c.prior.weight/numConfidenceBins)
	for k, share := range binShare {
		p.meanCorrection -= share * p.lowConfidencePenalty(k)
	}
	return p
}

// lowConfidencePenalty returns the change of the prior in a bin whose confidence is
// below baseQuality; it is 0 or negative.
func (p binPriorModel) lowConfidencePenalty(bin int) float64 {
	return p.confidenceTrust * min(0, binMidpoint(bin)-p.baseQuality)
}

func (p binPriorModel) prior(bin int) betaDist {
	return betaDist{mean: min(max(p.baseQuality+p.lowConfidencePenalty(bin)+p.meanCorrection, 0), 1), weight: p.weight}
}

// flooredVariance returns acceptedVariance[k], but at least the variance that
// follows from the overall estimate, because the errors of the bins are correlated.
func (u *qualityCurve) flooredVariance(k int) variancePair {
	return u.acceptedVariance[k].max(variancePair{}.addScaled(u.acceptedShare[k], u.overall.variances()))
}
