// Package cascade plans which model versions serve a request and in which order,
// and decides after each stage whether to deliver the answer or to escalate to the
// next version. The package has no I/O, clock or global state: the current time,
// the random source and all events are arguments.
package cascade

import "time"

// Options configure a Planner. Fields that are 0 take the defaults.
type Options struct {
	// GoodScore is the lowest score of the rating service that counts as good
	// while the scores do not form two clusters. The default is the middle of the
	// scale plus maxScoreBias.
	GoodScore float64
	// LowerBoundZ is the number of standard deviations from the expected quality
	// down to its lower confidence bound.
	LowerBoundZ float64
	// QualityReserve is added to the target, so that noise of the margin controller
	// does not bring the delivered quality below the target.
	QualityReserve float64
	// MaxUncertaintyReserve limits the additional reserve while there are few
	// recent ratings.
	MaxUncertaintyReserve float64
	// RatingMemory is the largest number of ratings that a confidence bin of one
	// version in one class counts for; older ratings lose weight.
	RatingMemory float64
	// RatingHalfLife is the time without a new rating after which existing
	// ratings count half.
	RatingHalfLife time.Duration
	// ControlGain is the change of the margin per rated answer and unit of
	// difference between required and rated quality.
	ControlGain float64
	// MinMargin and MaxMargin limit the margin that the controller adds to the
	// target.
	MinMargin float64
	MaxMargin float64
	// MaxExploreShare is the share of requests used for exploration. It is
	// sparseExploreFactor times as large for versions with few ratings.
	MaxExploreShare float64
	// DriftThreshold is the log-likelihood ratio at which the drift test detects a
	// drift.
	DriftThreshold float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.GoodScore, 0.6)
	setDefault(&o.LowerBoundZ, 1)
	setDefault(&o.QualityReserve, 0.005)
	setDefault(&o.MaxUncertaintyReserve, 0.03)
	setDefault(&o.RatingMemory, 400)
	setDefault(&o.RatingHalfLife, 10*time.Minute)
	setDefault(&o.ControlGain, 0.004)
	setDefault(&o.MinMargin, -0.05)
	setDefault(&o.MaxMargin, 0.15)
	setDefault(&o.MaxExploreShare, 0.03)
	setDefault(&o.DriftThreshold, 9)
	return o
}

func setDefault[T float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
