package cascade

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/borageflow/borageflow/internal/manifest"
)

// Estimate is the estimated quality of a version in a class, as shares of good
// answers from 0 to 1.
type Estimate struct {
	// Mean is the expected share of good answers.
	Mean float64
	// Lower is the lower confidence bound of that share.
	Lower float64
	// EffectiveRatings is the number of ratings behind the estimate, reduced by
	// their age. Ratings come from Planner.Observe.
	EffectiveRatings float64
}

// lowerQuantile is the probability that the quality is below Estimate.Lower.
const lowerQuantile = 0.1

// Estimator estimates the quality of each version in each class from priors and
// ratings. It is not safe for concurrent use.
type Estimator struct {
	opts   Options
	priors map[string]betaDist
	stats  map[statsKey]*versionStats
}

type statsKey struct{ class, version string }

// NewEstimator returns an Estimator without priors and ratings.
func NewEstimator(opts Options) *Estimator {
	return &Estimator{opts: opts.withDefaults(), priors: map[string]betaDist{}, stats: map[statsKey]*versionStats{}}
}

// defaultPrior is the prior of a version for which none is set.
var defaultPrior = betaDist{mean: 0.5, weight: 2}

// Configure replaces the priors by those of the manifest snapshot and deletes the
// statistics of versions and classes that the snapshot does not contain. It keeps
// the ratings of all others.
func (e *Estimator) Configure(snapshot *manifest.Snapshot) {
	e.priors = map[string]betaDist{}
	for i := range snapshot.Manifest.Models {
		for _, v := range snapshot.Manifest.Models[i].Versions {
			e.SetPrior(v.Name, v.PriorQuality, v.PriorWeight)
		}
	}
	for key, c := range e.stats {
		_, hasVersion := e.priors[key.version]
		_, hasClass := snapshot.Class(key.class)
		if !hasVersion || !hasClass {
			delete(e.stats, key)
			continue
		}
		c.prior = e.priorFor(key.version)
	}
}

// SetPrior sets the prior quality of a version, clamped to 0 to 1. The weight is
// the number of ratings that the prior counts for; 0 or less deletes the prior.
func (e *Estimator) SetPrior(version string, quality, weight float64) {
	if weight <= 0 {
		delete(e.priors, version)
		return
	}
	e.priors[version] = betaDist{mean: min(max(quality, 0), 1), weight: weight}
}

func (e *Estimator) priorFor(version string) betaDist {
	if b, ok := e.priors[version]; ok {
		return b
	}
	return defaultPrior
}

func (e *Estimator) statsFor(class, version string) *versionStats {
	key := statsKey{class, version}
	c := e.stats[key]
	if c == nil {
		c = &versionStats{prior: e.priorFor(version)}
		e.stats[key] = c
	}
	return c
}

// Estimate returns the quality of a version over all requests of a class, not just
// over those whose answers it delivers.
func (e *Estimator) Estimate(now time.Time, class, version string) Estimate {
	c := e.statsFor(class, version)
	b := c.qualityCurve(now, e.opts.RatingHalfLife).overall
	return Estimate{
		Mean:             b.mean,
		Lower:            betaQuantile(b, lowerQuantile),
		EffectiveRatings: c.effectiveRatings(now, e.opts.RatingHalfLife),
	}
}

// betaQuantile returns the p-quantile of a Beta distribution. For a mean within edge
// of 0 or 1, or without weight, it returns the mean.
func betaQuantile(b betaDist, p float64) float64 {
	// The incomplete beta function is undefined for parameters near 0.
	const edge = 1e-6
	if b.mean <= edge || b.mean >= 1-edge || b.weight <= 0 {
		return b.mean
	}
	return distuv.Beta{Alpha: b.mean * b.weight, Beta: (1 - b.mean) * b.weight}.Quantile(p)
}
