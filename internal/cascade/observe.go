package cascade

import (
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
	// Stage is the index of the stage in its plan; answers of later stages are
	// to harder requests.
	Stage int
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
		if o.Stage == 0 {
			c.observeConfidence(o.Confidence)
		}
	}
	if o.Rating == nil {
		return
	}
	good := *o.Rating >= p.opts.GoodScore
	c.rate(now, o, good, &p.opts)
	if !o.Escalated {
		state.control.observe(now, good, o.Class.QualityTarget+p.opts.Reserve, &p.opts)
	}
}

// rate adds a rating to the evidence and discards evidence after a drift.
func (c *cell) rate(now time.Time, o Observation, good bool, opts *Options) {
	expected := 0.0
	if o.Stage > 0 {
		expected = c.escalated(now, opts.EvidenceHalfLife).mean
		c.later.add(now, good, opts.Memory)
	} else {
		k := binOf(o.Confidence)
		expected = c.bin(now, k, c.overall(now, opts.EvidenceHalfLife), opts.EvidenceHalfLife).mean
		c.first[k].add(now, good, opts.Memory)
	}
	c.testDrift(expected, good, opts)
}

// driftKeep is the part of the evidence that is kept after a drift.
const driftKeep = 0.1

// testDrift is a one-sided cumulative sum test for answers worse than expected.
func (c *cell) testDrift(expected float64, good bool, opts *Options) {
	if good {
		expected--
	}
	c.shortfall = max(0, c.shortfall+expected-opts.DriftSlack)
	if c.shortfall < opts.DriftLimit {
		return
	}
	c.shortfall = 0
	c.later.scale(driftKeep)
	for k := range c.first {
		c.first[k].scale(driftKeep)
	}
}
