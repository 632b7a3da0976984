// Package cascade plans which versions try a request and in which order, and
// decides after each stage whether to deliver the answer or to escalate. It is
// pure: the current time, the random source and every event are arguments.
package cascade

import "time"

// Options tune a Planner. The zero value selects the defaults.
type Options struct {
	// GoodScore is the lowest score of the rating service that counts as good
	// while the scores do not show two groups: the middle of the scale plus the
	// largest bias that the target must hold under.
	GoodScore float64
	// LowerZ is the number of standard deviations between the expected quality
	// and the lower confidence bound.
	LowerZ float64
	// Reserve is added to the target, so that the noise of the controller does
	// not take the achieved quality below it.
	Reserve float64
	// BlindReserve bounds what is added to the target while there are few recent
	// ratings.
	BlindReserve float64
	// Memory is the number of ratings that evidence in one cell counts for at
	// most; older ratings are forgotten.
	Memory float64
	// EvidenceHalfLife is the time without ratings after which evidence counts
	// for half.
	EvidenceHalfLife time.Duration
	// ControlGain is the change of the margin per rated answer and unit of
	// quality.
	ControlGain float64
	// MinMargin and MaxMargin bound the controller's margin on the target.
	MinMargin float64
	MaxMargin float64
	// Explore is the largest share of requests that gather evidence.
	Explore float64
	// DriftLimit is the log likelihood ratio at which a drift is assumed and
	// evidence discarded.
	DriftLimit float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.GoodScore, 0.6)
	setDefault(&o.LowerZ, 1)
	setDefault(&o.Reserve, 0.005)
	setDefault(&o.BlindReserve, 0.03)
	setDefault(&o.Memory, 400)
	setDefault(&o.EvidenceHalfLife, 10*time.Minute)
	setDefault(&o.ControlGain, 0.004)
	setDefault(&o.MinMargin, -0.05)
	setDefault(&o.MaxMargin, 0.15)
	setDefault(&o.Explore, 0.03)
	setDefault(&o.DriftLimit, 9)
	return o
}

func setDefault[T float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
