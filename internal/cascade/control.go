package cascade

import (
	"math"
	"time"
)

// controller holds the measured quality of delivered answers at the target by
// raising or lowering a margin on the quality that plans must reach.
type controller struct {
	margin float64
	// at is the time of the last rating in Unix nanoseconds.
	at int64
	// excess is how far the bound of recent single-stage plans is above the aim.
	// It is not an error of the estimates, so it is left out of the margin.
	excess float64
	// recent counts the ratings of delivered answers; it halves with every half
	// life of evidence.
	recent float64
}

// rated is the number of recent ratings at a time.
func (c *controller) rated(now time.Time, halfLife time.Duration) float64 {
	return c.recent * freshness(now, c.at, halfLife)
}

// aim is the quality that the bound of a plan must reach. The fewer recent
// ratings there are, the later a fall of the quality is noticed and the more is
// held in reserve.
func (c *controller) aim(now time.Time, target float64, o *Options) float64 {
	deviation := math.Sqrt(target * (1 - target) / (c.rated(now, o.EvidenceHalfLife) + 1))
	reserve := o.Reserve + min(o.BlindReserve, blindDeviations*deviation)
	return target + reserve + c.effective(now, o.EvidenceHalfLife)
}

// blindDeviations is the part of the standard error of the measured quality
// that is held in reserve. At 0.25, 9 of 72 runs with 5% rated ended below the
// target after a drift, at 0.5 6 of 72, at 0.75 none.
const blindDeviations = 0.75

// excessGain averages the excess over some dozens of requests.
const excessGain = 0.03

// planned records a plan before its answer is measured. A cascade is tuned to
// the aim and has no excess.
func (c *controller) planned(d draft, aim float64) {
	excess := 0.0
	if d.second == nil {
		excess = max(d.quality-aim, 0)
	}
	c.excess += excessGain * (excess - c.excess)
}

func (c *controller) observe(now time.Time, good bool, target float64, o *Options) {
	aim := c.aim(now, target, o) - c.effective(now, o.EvidenceHalfLife)
	c.recent = c.rated(now, o.EvidenceHalfLife) + 1
	measured := 0.0
	if good {
		measured = 1
	}
	c.margin += o.ControlGain * (aim + c.excess - measured)
	c.margin = min(max(c.margin, o.MinMargin), o.MaxMargin)
	c.at = now.UnixNano()
}

// effective is the margin to use now. A negative margin fades when ratings
// stop, so that the plan becomes more careful.
func (c *controller) effective(now time.Time, halfLife time.Duration) float64 {
	if c.margin >= 0 {
		return c.margin
	}
	return c.margin * freshness(now, c.at, halfLife)
}

// tokenUse estimates which part of MaxTokens answers use.
type tokenUse struct {
	mean float64
	// high is exceeded by about one answer in twenty.
	high float64
}

// newTokenUse assumes that an answer may use every token, and expects half.
func newTokenUse() tokenUse { return tokenUse{mean: 0.5, high: 1} }

// Gains of the estimates of token use, per answer.
const (
	useMeanGain = 0.02
	useHighGain = 0.01
	useHighRank = 0.95
)

func (u *tokenUse) observe(output, limit int) {
	if output <= 0 || limit <= 0 {
		return
	}
	x := min(float64(output)/float64(limit), 1)
	u.mean += useMeanGain * (x - u.mean)
	// Stochastic approximation of a quantile.
	if x > u.high {
		u.high += useHighGain * useHighRank
	} else {
		u.high -= useHighGain * (1 - useHighRank)
	}
	u.high = math.Min(math.Max(u.high, u.mean), 1)
}
