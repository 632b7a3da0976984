package cascade

import (
	"math"
	"time"
)

// confidenceBins divide the range of an engine's confidence.
const confidenceBins = 20

// binOf returns the bin of a confidence; values outside 0 to 1 are clamped.
func binOf(confidence float64) int {
	if math.IsNaN(confidence) {
		return 0
	}
	return min(max(int(confidence*confidenceBins), 0), confidenceBins-1)
}

// binFloor is the least confidence in a bin.
func binFloor(bin int) float64 { return float64(bin) / confidenceBins }

// binCentre is the middle of a bin.
func binCentre(bin int) float64 { return (float64(bin) + 0.5) / confidenceBins }

// tally counts good and bad answers with forgetting. It is kept small because
// there are many per class and version.
type tally struct {
	good float32
	bad  float32
	// at is the time of the last rating in Unix nanoseconds.
	at int64
}

func (t *tally) add(now time.Time, good bool, memory float64) {
	t.scale(1 - 1/memory)
	if good {
		t.good++
	} else {
		t.bad++
	}
	t.at = now.UnixNano()
}

func (t *tally) scale(factor float64) {
	t.good *= float32(factor)
	t.bad *= float32(factor)
}

func (t *tally) count() float64 { return float64(t.good) + float64(t.bad) }

// tallies holds evidence by confidence.
type tallies [confidenceBins]tally

// sum adds up all evidence.
func (t *tallies) sum() tally {
	var out tally
	for i := range t {
		out.good += t[i].good
		out.bad += t[i].bad
		out.at = max(out.at, t[i].at)
	}
	return out
}

func (t *tallies) scale(factor float64) {
	for i := range t {
		t[i].scale(factor)
	}
}

// belief is a Beta distribution by its mean and weight.
type belief struct {
	mean   float64
	weight float64
	// stale is the part of the weight that age has taken away.
	stale float64
}

// update adds a tally. The mean keeps the tally's full count; age only lowers
// the weight, so that evidence that goes stale makes the belief less certain
// and never better.
func (b belief) update(now time.Time, t *tally, halfLife time.Duration) belief {
	n := t.count()
	if n == 0 {
		return b
	}
	mean := (b.mean*b.weight + float64(t.good)) / (b.weight + n)
	fresh := n * freshness(now, t.at, halfLife)
	return belief{mean: mean, weight: b.weight + fresh, stale: n - fresh}
}

// variances holds a variance with and without the effect of age.
type variances struct{ aged, settled float64 }

// widestSpread is the largest value of mean x (1 - mean).
const widestSpread = 0.25

// variances returns the variance of a belief. What age has taken from it may be
// about anything by now, so its part of the spread widens.
func (b belief) variances() variances {
	spread := b.mean * (1 - b.mean)
	total := b.weight + b.stale
	aged := spread
	if total > 0 {
		aged += widestSpread * b.stale / total
	}
	return variances{aged: aged / (b.weight + 1), settled: spread / (total + 1)}
}

// plus adds the variance of an independent part of weight share.
func (v variances) plus(share float64, w variances) variances {
	return variances{aged: v.aged + share*share*w.aged, settled: v.settled + share*share*w.settled}
}

// together is the variance of a sum whose parts err in the same direction. Taken
// as independent, two unproven versions would seem surer than either of them.
func (v variances) together(w variances) variances {
	add := func(a, b float64) float64 {
		deviation := math.Sqrt(a) + math.Sqrt(b)
		return deviation * deviation
	}
	return variances{aged: add(v.aged, w.aged), settled: add(v.settled, w.settled)}
}

// atLeast returns the larger of two variances.
func (v variances) atLeast(w variances) variances {
	return variances{aged: max(v.aged, w.aged), settled: max(v.settled, w.settled)}
}

// freshness falls from 1 to 0 with the age of the last rating.
func freshness(now time.Time, at int64, halfLife time.Duration) float64 {
	age := max(now.UnixNano()-at, 0)
	return math.Exp2(-float64(age) / float64(halfLife))
}

// cell is what is known about one version in one class.
type cell struct {
	prior belief
	// first holds ratings of answers to unselected requests by confidence.
	first tallies
	// later holds ratings of answers to requests that another version escalated,
	// by that version and its confidence. Binned in this way the evidence does
	// not depend on the threshold that escalated the requests.
	later map[string]*tallies
	// seen is the distribution of confidence over unselected requests.
	seen [confidenceBins]float32
	// drift is the sum of the drift test.
	drift float64
}

// Pseudo-counts of the shrinkage between related estimates. They are small so
// that a few dozen ratings outweigh them.
const (
	binPriorWeight   = 2
	laterPriorWeight = 4
	seenMemory       = 2000
)

func (c *cell) observeConfidence(confidence float64) {
	for i := range c.seen {
		c.seen[i] *= 1 - 1.0/seenMemory
	}
	c.seen[binOf(confidence)]++
}

// evidence sums the ratings that count.
func (c *cell) evidence(now time.Time, halfLife time.Duration) float64 {
	sum := c.first.sum()
	n := sum.count() * freshness(now, sum.at, halfLife)
	for _, t := range c.later {
		sum := t.sum()
		n += sum.count() * freshness(now, sum.at, halfLife)
	}
	return n
}

// overall pools the ratings of every confidence. Where a threshold selected the
// delivered answers its mean is too high; curve weighs by confidence instead.
func (c *cell) overall(now time.Time, halfLife time.Duration) belief {
	sum := c.first.sum()
	return c.prior.update(now, &sum, halfLife)
}

// laterFrom returns the evidence on requests that a version escalated.
func (c *cell) laterFrom(version string) *tallies {
	t := c.later[version]
	if t == nil {
		t = &tallies{}
		if c.later == nil {
			c.later = map[string]*tallies{}
		}
		c.later[version] = t
	}
	return t
}

// laterPrior does not age, because the weight of a prior moves the mean.
func laterPrior(overall belief) belief {
	return belief{mean: overall.mean, weight: min(overall.weight+overall.stale, laterPriorWeight)}
}

// laterBin is the belief about answers to requests that another version
// escalated with a confidence in bin k.
func laterBin(now time.Time, t *tallies, k int, overall belief, halfLife time.Duration) belief {
	prior := laterPrior(overall)
	if t == nil {
		return prior
	}
	return prior.update(now, &t[k], halfLife)
}

// curve holds the quality of a version's answers above each confidence.
type curve struct {
	// share[k], mean[k] and variance[k] are sums over the bins from k: the share
	// of answers, the share of good answers and its variance.
	share    [confidenceBins + 1]float64
	mean     [confidenceBins + 1]float64
	variance [confidenceBins + 1]variances
	// shares is the distribution of confidence by bin.
	shares [confidenceBins]float64
	// bins is the share of good answers by bin.
	bins [confidenceBins]float64
	// quality is the belief about unselected requests: the mean over all bins
	// with the weight of all ratings.
	quality belief
}

func (c *cell) curve(now time.Time, halfLife time.Duration) curve {
	out := curve{shares: c.shares()}
	overall := c.overall(now, halfLife)
	priors := c.binPriors(overall, &out.shares)
	for k := confidenceBins - 1; k >= 0; k-- {
		b := priors.at(k).update(now, &c.first[k], halfLife)
		out.bins[k] = b.mean
		out.share[k] = out.share[k+1] + out.shares[k]
		out.mean[k] = out.mean[k+1] + out.shares[k]*b.mean
		out.variance[k] = out.variance[k+1].plus(out.shares[k], b.variances())
	}
	out.quality = belief{mean: min(out.mean[0], 1), weight: overall.weight, stale: overall.stale}
	return out
}

// shares is the distribution of confidence, even before any observation.
func (c *cell) shares() [confidenceBins]float64 {
	var out [confidenceBins]float64
	sum := 0.0
	for i, s := range c.seen {
		out[i] = float64(s)
		sum += out[i]
	}
	for i := range out {
		if sum == 0 {
			out[i] = 1.0 / confidenceBins
		} else {
			out[i] /= sum
		}
	}
	return out
}

// binPriors are the beliefs about answers of each confidence before ratings of
// that confidence. Bins below the accepted confidence get few ratings, so a lower
// confidence is taken to be worse once there are ratings. Without ratings a
// stated confidence says nothing about a version, and the mean over all answers
// stays what it was.
type binPriors struct {
	base, shift, weight float64
	// trust is the part of the stated confidence that is used.
	trust float64
}

// trustRatings is the number of ratings at which half of the stated confidence
// is used.
const trustRatings = 20

func (c *cell) binPriors(overall belief, shares *[confidenceBins]float64) binPriors {
	sum := c.first.sum()
	p := binPriors{base: min(c.prior.mean, overall.mean), trust: sum.count() / (sum.count() + trustRatings)}
	// Without ratings a bin is as sure as the version.
	p.weight = max(p.trust*binPriorWeight+(1-p.trust)*c.prior.weight, c.prior.weight/confidenceBins)
	for k, share := range shares {
		p.shift -= share * p.shape(k)
	}
	return p
}

func (p binPriors) shape(k int) float64 { return p.trust * min(0, binCentre(k)-p.base) }

func (p binPriors) at(k int) belief {
	return belief{mean: min(max(p.base+p.shape(k)+p.shift, 0), 1), weight: p.weight}
}

// varianceFrom bounds the variance of the quality above bin k from below by
// that of the whole version, whose error the bins share.
func (u *curve) varianceFrom(k int) variances {
	return u.variance[k].atLeast(variances{}.plus(u.share[k], u.quality.variances()))
}
