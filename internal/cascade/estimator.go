package cascade

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/borageflow/borageflow/internal/manifest"
)

// Estimate is the estimated quality of a version in a class.
type Estimate struct {
	// Mean is the expected share of good answers.
	Mean float64
	// Lower is the lower confidence bound of that share.
	Lower float64
	// Evidence is the number of ratings that still count.
	Evidence float64
}

// lowerQuantile is the probability that the quality is below Estimate.Lower.
const lowerQuantile = 0.1

// Estimator holds quality estimates per class and version.
type Estimator struct {
	opts   Options
	priors map[string]belief
	cells  map[cellKey]*cell
}

type cellKey struct{ class, version string }

// NewEstimator returns an estimator without evidence.
func NewEstimator(opts Options) *Estimator {
	return &Estimator{opts: opts.withDefaults(), priors: map[string]belief{}, cells: map[cellKey]*cell{}}
}

// defaultPrior is used for a version that no snapshot names.
var defaultPrior = belief{mean: 0.5, weight: 2}

// Configure takes the priors of a snapshot and forgets removed versions and
// classes. Evidence on the others is kept.
func (e *Estimator) Configure(snapshot *manifest.Snapshot) {
	e.priors = map[string]belief{}
	for i := range snapshot.Manifest.Models {
		for _, v := range snapshot.Manifest.Models[i].Versions {
			e.SetPrior(v.Name, v.PriorQuality, v.PriorWeight)
		}
	}
	for key, c := range e.cells {
		_, versionKnown := e.priors[key.version]
		_, classKnown := snapshot.Class(key.class)
		if !versionKnown || !classKnown {
			delete(e.cells, key)
			continue
		}
		c.prior = e.prior(key.version)
	}
}

// SetPrior states the expected quality of a version and the number of ratings
// that the statement counts for.
func (e *Estimator) SetPrior(version string, quality, weight float64) {
	if weight <= 0 {
		delete(e.priors, version)
		return
	}
	e.priors[version] = belief{mean: min(max(quality, 0), 1), weight: weight}
}

func (e *Estimator) prior(version string) belief {
	if b, ok := e.priors[version]; ok {
		return b
	}
	return defaultPrior
}

func (e *Estimator) cell(class, version string) *cell {
	key := cellKey{class, version}
	c := e.cells[key]
	if c == nil {
		c = &cell{prior: e.prior(version)}
		e.cells[key] = c
	}
	return c
}

// Estimate returns the quality of a version on unselected requests of a class.
func (e *Estimator) Estimate(now time.Time, class, version string) Estimate {
	c := e.cell(class, version)
	b := c.curve(now, e.opts.EvidenceHalfLife).quality
	return Estimate{
		Mean:     b.mean,
		Lower:    betaQuantile(b, lowerQuantile),
		Evidence: c.evidence(now, e.opts.EvidenceHalfLife),
	}
}

// betaQuantile returns a quantile of a belief.
func betaQuantile(b belief, p float64) float64 {
	// The incomplete beta function has no result for parameters near 0.
	const edge = 1e-6
	if b.mean <= edge || b.mean >= 1-edge || b.weight <= 0 {
		return b.mean
	}
	return distuv.Beta{Alpha: b.mean * b.weight, Beta: (1 - b.mean) * b.weight}.Quantile(p)
}
