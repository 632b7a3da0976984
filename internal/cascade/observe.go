package cascade

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
)

// Observation is one answer of a stage. It is given once when the answer ends,
// with the rating if there is one. A rating that arrives later is given again
// with Late set.
type Observation struct {
	Class *api.Class
	// Version and Confidence are those of the answer.
	Version    string
	Confidence float64
	// Rating is the rating service's score; nil without one.
	Rating *float64
	// PreviousVersion and PreviousConfidence are those of the answer that was
	// escalated to this stage; empty for a first stage.
	PreviousVersion    string
	PreviousConfidence float64
	// Escalated states that the answer was not delivered.
	Escalated bool
	// Late states that the answer was observed before without its rating.
	Late bool
	// OutputTokens and MaxTokens teach the length of answers; 0 means unknown.
	OutputTokens int
	MaxTokens    int
}

// Observe records an answer or its late rating.
func (p *Planner) Observe(now time.Time, o Observation) {
	state := p.class(o.Class.Name)
	c := p.estimator.cell(o.Class.Name, o.Version)
	if !o.Late {
		state.use.observe(o.OutputTokens, o.MaxTokens)
		if o.PreviousVersion == "" {
			c.observeConfidence(o.Confidence)
		}
	}
	if o.Rating == nil {
		return
	}
	state.scores.observe(*o.Rating, &p.opts)
	good := state.scores.good(*o.Rating, &p.opts)
	c.rate(now, o, good, &p.opts)
	if !o.Escalated {
		state.control.observe(now, good, o.Class.QualityTarget, &p.opts)
	}
}

// rate adds a rating to the evidence and discards evidence after a drift.
func (c *cell) rate(now time.Time, o Observation, good bool, opts *Options) {
	known := c.curve(now, opts.EvidenceHalfLife)
	expected := 0.0
	if o.PreviousVersion != "" {
		t, k := c.laterFrom(o.PreviousVersion), binOf(o.PreviousConfidence)
		expected = laterBin(now, t, k, known.quality, opts.EvidenceHalfLife).mean
		t[k].add(now, good, opts.Memory)
	} else {
		k := binOf(o.Confidence)
		expected = known.bins[k]
		c.first[k].add(now, good, opts.Memory)
	}
	c.testDrift(expected, good, opts)
}

// driftKeep is the part of the evidence that is kept after a drift.
const driftKeep = 0.1

// driftOdds is the ratio by which a drift is expected to lower the odds of a
// good answer.
const driftOdds = 0.4

// testDrift is a sequential likelihood ratio test for answers worse than
// expected.
func (c *cell) testDrift(expected float64, good bool, opts *Options) {
	before := min(max(expected, 0.01), 0.99)
	odds := driftOdds * before / (1 - before)
	after := odds / (1 + odds)
	if good {
		c.drift += math.Log(after / before)
	} else {
		c.drift += math.Log((1 - after) / (1 - before))
	}
	c.drift = max(c.drift, 0)
	if c.drift < opts.DriftLimit {
		return
	}
	c.drift = 0
	c.first.scale(driftKeep)
	for _, t := range c.later {
		t.scale(driftKeep)
	}
}
