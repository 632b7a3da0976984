package cascade

import (
	"math"
	"time"
)

// marginController is an integral controller. It keeps the rated quality of
// delivered answers at the target by adjusting a margin that is added to the
// quality required of plans.
type marginController struct {
	margin float64
	// lastRatingNs is the time of the last rating in Unix nanoseconds.
	lastRatingNs int64
	// meanExcess is the moving average of how far the quality bound of
	// single-stage plans exceeds the required quality. It is not an estimation
	// error, so the controller does not correct the margin for it.
	meanExcess float64
	// ratingCount is the number of ratings of delivered answers as of
	// lastRatingNs. It decays with Options.RatingHalfLife.
	ratingCount float64
}

// recentRatings returns ratingCount decayed to now.
func (c *marginController) recentRatings(now time.Time, halfLife time.Duration) float64 {
	return c.ratingCount * decayFactor(now, c.lastRatingNs, halfLife)
}

// requiredQuality returns the quality that the lower bound of a plan must reach.
// With fewer recent ratings, a drop in quality is detected later, so the reserve
// above the target is larger.
func (c *marginController) requiredQuality(now time.Time, target float64, o *Options) float64 {
	deviation := math.Sqrt(target * (1 - target) / (c.recentRatings(now, o.RatingHalfLife) + 1))
	reserve := o.QualityReserve + min(o.MaxUncertaintyReserve, uncertaintyReserveStdErrs*deviation)
	return target + reserve + c.effectiveMargin(now, o.RatingHalfLife)
}

// uncertaintyReserveStdErrs is the number of standard errors of the rated quality
// that are added to the target as a reserve. With 5% of the answers rated, 9 of 72
// runs with a reserve of 0.25 and 6 of 72 with 0.5 ended below the target after the
// quality of a version had dropped; none did with 0.75.
const uncertaintyReserveStdErrs = 0.75

// excessGain is the weight of one plan in meanExcess, which thereby averages over
// a few dozen requests.
const excessGain = 0.03

// recordPlan updates meanExcess with the chosen plan. The threshold of a two-stage
// plan is chosen to just reach the required quality, so its excess counts as 0.
func (c *marginController) recordPlan(d planDraft, required float64) {
	excess := 0.0
	if d.second == nil {
		excess = max(d.qualityBound-required, 0)
	}
	c.meanExcess += excessGain * (excess - c.meanExcess)
}

// recordRating moves the margin by the difference between the required quality and
// the rating of a delivered answer.
func (c *marginController) recordRating(now time.Time, good bool, target float64, o *Options) {
	required := c.requiredQuality(now, target, o) - c.effectiveMargin(now, o.RatingHalfLife)
	c.ratingCount = c.recentRatings(now, o.RatingHalfLife) + 1
	measured := 0.0
	if good {
		measured = 1
	}
	c.margin += o.ControlGain * (required + c.meanExcess - measured)
	c.margin = min(max(c.margin, o.MinMargin), o.MaxMargin)
	c.lastRatingNs = now.UnixNano()
}

// effectiveMargin returns the margin at time now. A negative margin decays when
// ratings stop, so that plans become more conservative.
func (c *marginController) effectiveMargin(now time.Time, halfLife time.Duration) float64 {
	if c.margin >= 0 {
		return c.margin
	}
	return c.margin * decayFactor(now, c.lastRatingNs, halfLife)
}

// tokenUsage estimates the share of MaxTokens that answers use, from 0 to 1.
type tokenUsage struct {
	meanShare float64
	// highShare is the estimated quantile tokenShareQuantile of the share.
	highShare float64
}

// newTokenUsage returns the estimate before any answer: a mean of one half, and a
// high share of 1 because an answer may use all of MaxTokens.
func newTokenUsage() tokenUsage { return tokenUsage{meanShare: 0.5, highShare: 1} }

const (
	// tokenShareMeanGain and tokenShareQuantileGain are the step sizes of the
	// estimates per answer.
	tokenShareMeanGain     = 0.02
	tokenShareQuantileGain = 0.01
	// tokenShareQuantile is the quantile that tokenUsage.highShare estimates.
	tokenShareQuantile = 0.95
)

// recordAnswer updates the estimates with the length of an answer and the
// request's MaxTokens. It ignores unknown values, which are 0.
func (u *tokenUsage) recordAnswer(outputTokens, maxTokens int) {
	if outputTokens <= 0 || maxTokens <= 0 {
		return
	}
	share := min(float64(outputTokens)/float64(maxTokens), 1)
	u.meanShare += tokenShareMeanGain * (share - u.meanShare)
	// Stochastic approximation of the quantile.
	if share > u.highShare {
		u.highShare += tokenShareQuantileGain * tokenShareQuantile
	} else {
		u.highShare -= tokenShareQuantileGain * (1 - tokenShareQuantile)
	}
	u.highShare = math.Min(math.Max(u.highShare, u.meanShare), 1)
}
