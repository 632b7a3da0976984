package cascade

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
)

// Observation is one answer of a stage, with its rating if there is one. The caller
// passes it to Planner.Observe once when the answer ends, and a second time, marked
// as late, if its rating arrives afterwards.
type Observation struct {
	Class *api.Class
	// Version is the version that answered, Confidence its engine's confidence from
	// 0 to 1.
	Version    string
	Confidence float64
	// Rating is the rating service's score from 0 to 1; nil without a rating.
	Rating *float64
	// PreviousVersion and PreviousConfidence are those of the answer that was
	// escalated to this stage; empty for a first stage.
	PreviousVersion    string
	PreviousConfidence float64
	// Escalated reports that the answer was not delivered.
	Escalated bool
	// RatingIsLate reports that the answer was observed before without its rating.
	RatingIsLate bool
	// OutputTokens is the length of the answer and MaxTokens the request's limit;
	// 0 means unknown.
	OutputTokens int
	MaxTokens    int
}

// Observe records an answer or its late rating.
func (p *Planner) Observe(now time.Time, o Observation) {
	state := p.classStateFor(o.Class.Name)
	c := p.estimator.statsFor(o.Class.Name, o.Version)
	if !o.RatingIsLate {
		state.tokenUsage.recordAnswer(o.OutputTokens, o.MaxTokens)
		if o.PreviousVersion == "" {
			c.recordConfidence(o.Confidence)
		}
	}
	if o.Rating == nil {
		return
	}
	state.scores.recordScore(*o.Rating, &p.opts)
	good := state.scores.isGood(*o.Rating, &p.opts)
	c.recordRating(now, o, good, &p.opts)
	if !o.Escalated {
		state.margin.recordRating(now, good, o.Class.QualityTarget, &p.opts)
	}
}

// recordRating counts a rating and runs the drift test on it.
func (c *versionStats) recordRating(now time.Time, o Observation, good bool, opts *Options) {
	curve := c.qualityCurve(now, opts.RatingHalfLife)
	expected := 0.0
	if o.PreviousVersion != "" {
		t, k := c.laterStageCounts(o.PreviousVersion), confidenceBin(o.PreviousConfidence)
		expected = laterStageQuality(now, t, k, curve.overall, opts.RatingHalfLife).mean
		t[k].add(now, good, opts.RatingMemory)
	} else {
		k := confidenceBin(o.Confidence)
		expected = curve.binQuality[k]
		c.firstStage[k].add(now, good, opts.RatingMemory)
	}
	c.updateDriftTest(expected, good, opts)
}

// driftRetention is the share of the rating counts that is kept after a drift.
const driftRetention = 0.1

// driftOddsRatio is the factor on the odds of a good answer that the drift test
// looks for.
const driftOddsRatio = 0.4

// updateDriftTest adds a rating to a sequential likelihood ratio test for answers
// that are worse than expected. When the test reaches the threshold, it scales all
// rating counts down to driftRetention.
func (c *versionStats) updateDriftTest(expected float64, good bool, opts *Options) {
	goodBefore := min(max(expected, 0.01), 0.99)
	odds := driftOddsRatio * goodBefore / (1 - goodBefore)
	goodAfter := odds / (1 + odds)
	if good {
		c.driftStatistic += math.Log(goodAfter / goodBefore)
	} else {
		c.driftStatistic += math.Log((1 - goodAfter) / (1 - goodBefore))
	}
	c.driftStatistic = max(c.driftStatistic, 0)
	if c.driftStatistic < opts.DriftThreshold {
		return
	}
	c.driftStatistic = 0
	c.firstStage.scale(driftRetention)
	for _, t := range c.laterStage {
		t.scale(driftRetention)
	}
}
