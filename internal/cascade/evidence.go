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

// tally counts good and bad answers with forgetting.
type tally struct {
	good float64
	bad  float64
	at   time.Time
}

func (t *tally) add(now time.Time, good bool, memory float64) {
	keep := 1 - 1/memory
	t.good *= keep
	t.bad *= keep
	if good {
		t.good++
	} else {
		t.bad++
	}
	t.at = now
}

func (t *tally) scale(factor float64) {
	t.good *= factor
	t.bad *= factor
}

func (t *tally) count() float64 { return t.good + t.bad }

// belief is a Beta distribution by its mean and weight.
type belief struct {
	mean   float64
	weight float64
}

// update adds a tally. The mean keeps the tally's full count; age only lowers
// the weight, so that evidence that goes stale makes the belief less certain
// and never better.
func (b belief) update(now time.Time, t *tally, halfLife time.Duration) belief {
	n := t.count()
	if n == 0 {
		return b
	}
	mean := (b.mean*b.weight + t.good) / (b.weight + n)
	return belief{mean: mean, weight: b.weight + n*freshness(now, t.at, halfLife)}
}

func (b belief) variance() float64 { return b.mean * (1 - b.mean) / (b.weight + 1) }

// freshness falls from 1 to 0 with the age of the last rating.
func freshness(now, at time.Time, halfLife time.Duration) float64 {
	age := max(now.Sub(at), 0)
	return math.Exp2(-float64(age) / float64(halfLife))
}

// cell is what is known about one version in one class.
type cell struct {
	prior belief
	// first holds ratings of answers to unselected requests by confidence.
	first [confidenceBins]tally
	// later holds ratings of answers to requests that an earlier stage
	// escalated, which are harder.
	later tally
	// seen is the distribution of confidence over unselected requests.
	seen [confidenceBins]float64
	// shortfall is the drift test's sum.
	shortfall float64
}

// Pseudo-counts of the shrinkage between related estimates. They are small so
// that a few dozen ratings outweigh them.
const (
	binPriorWeight   = 2
	crossPriorWeight = 4
	seenMemory       = 2000
)

func (c *cell) observeConfidence(confidence float64) {
	for i := range c.seen {
		c.seen[i] *= 1 - 1.0/seenMemory
	}
	c.seen[binOf(confidence)]++
}

// total sums the unselected evidence.
func (c *cell) total() tally {
	var sum tally
	for i := range c.first {
		sum.good += c.first[i].good
		sum.bad += c.first[i].bad
		if c.first[i].at.After(sum.at) {
			sum.at = c.first[i].at
		}
	}
	return sum
}

// overall is the belief about the version's quality on unselected requests.
func (c *cell) overall(now time.Time, halfLife time.Duration) belief {
	sum := c.total()
	b := c.prior
	if n := c.later.count(); n > 0 {
		// Escalated requests are harder, so this errs on the careful side.
		weight := min(n, crossPriorWeight)
		b.mean = (b.mean*b.weight + weight*c.later.good/n) / (b.weight + weight)
		b.weight += weight * freshness(now, c.later.at, halfLife)
	}
	return b.update(now, &sum, halfLife)
}

// escalated is the belief about the version's quality on escalated requests.
func (c *cell) escalated(now time.Time, halfLife time.Duration) belief {
	b := c.prior
	sum := c.total()
	if n := sum.count(); n > 0 {
		weight := min(n, crossPriorWeight)
		mean := min(sum.good/n, b.mean)
		b.mean = (b.mean*b.weight + weight*mean) / (b.weight + weight)
		b.weight += weight * freshness(now, sum.at, halfLife)
	}
	return b.update(now, &c.later, halfLife)
}

// curve holds the quality of a version's answers above each confidence.
type curve struct {
	// share[k], mean[k] and variance[k] are sums over the bins from k: the share
	// of answers, the share of good answers and its variance.
	share    [confidenceBins + 1]float64
	mean     [confidenceBins + 1]float64
	variance [confidenceBins + 1]float64
	overall  belief
}

func (c *cell) curve(now time.Time, halfLife time.Duration) curve {
	out := curve{overall: c.overall(now, halfLife)}
	shares := c.shares()
	for k := confidenceBins - 1; k >= 0; k-- {
		b := c.bin(now, k, out.overall, halfLife)
		out.share[k] = out.share[k+1] + shares[k]
		out.mean[k] = out.mean[k+1] + shares[k]*b.mean
		out.variance[k] = out.variance[k+1] + shares[k]*shares[k]*b.variance()
	}
	return out
}

// shares is the distribution of confidence, even before any observation.
func (c *cell) shares() [confidenceBins]float64 {
	out := c.seen
	sum := 0.0
	for _, s := range out {
		sum += s
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

// bin is the belief about answers of one confidence. Its prior is the lower of
// the version's quality and the stated confidence, because bins below the
// accepted confidence get few ratings.
func (c *cell) bin(now time.Time, k int, overall belief, halfLife time.Duration) belief {
	prior := belief{mean: min(overall.mean, binCentre(k)), weight: binPriorWeight}
	return prior.update(now, &c.first[k], halfLife)
}

// varianceFrom bounds the variance of the quality above bin k from below by
// that of the whole version, whose error the bins share.
func (u *curve) varianceFrom(k int) float64 {
	return max(u.variance[k], u.share[k]*u.share[k]*u.overall.variance())
}
