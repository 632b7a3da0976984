package forward

import "time"

// HeaderTimeoutEstimator estimates the time that workers usually take until the response
// header and derives the timeout after which the response counts as lost. Workers lose
// responses and hang while their health checks pass; with a timeout at a multiple of the
// latency target, every response after such a loss was late. The estimate is a quantile
// rather than a mean: up to a fifth of lost responses does not raise it, while a general
// slowdown raises it and thereby stops the retries.
type HeaderTimeoutEstimator struct {
	estimates map[headerTimeKey]*headerTimeEstimate
}

// headerTimeKey identifies an estimate; heavy requests go to the larger models of a
// cascade.
type headerTimeKey struct {
	route string
	heavy bool
}

// headerTimeEstimate is a running estimate of the time to the response header.
type headerTimeEstimate struct {
	// quantileSeconds is the estimated quantile for a prompt of mean length.
	quantileSeconds float64
	// meanTokens is the exponentially weighted mean length of the prompts.
	meanTokens float64
	samples    int
}

const (
	// targetQuantile is the quantile of the time to the response header that is estimated.
	targetQuantile = 0.75
	// minQuantileStep is the relative step by which one sample moves the estimate. The
	// first samples move it further.
	minQuantileStep = 0.05
	// timeoutFactor is the ratio of the timeout to the estimated quantile.
	timeoutFactor = 4.0
	// The bounds of the timeout, as ratios to the latency target. The lower bounds are well
	// above the usual time under normal load. The upper bound also applies until there are
	// enough samples.
	minStreamTimeoutRatio = 0.5
	minPlainTimeoutRatio  = 0.6
	maxTimeoutRatio       = 3.0
	// minSamples is the number of samples from which the estimate is used.
	minSamples = 10
	// meanTokensGain is the weight of one sample in the mean length of the prompts.
	meanTokensGain = 0.05
)

// NewHeaderTimeoutEstimator returns an estimator without samples.
func NewHeaderTimeoutEstimator() *HeaderTimeoutEstimator {
	return &HeaderTimeoutEstimator{estimates: map[headerTimeKey]*headerTimeEstimate{}}
}

// Observe records the time until a response header, or until the wait for it was given up.
func (e *HeaderTimeoutEstimator) Observe(route string, heavy bool, tokens int, elapsed time.Duration) {
	key := headerTimeKey{route, heavy}
	est := e.estimates[key]
	if est == nil {
		est = &headerTimeEstimate{quantileSeconds: elapsed.Seconds(), meanTokens: float64(tokens)}
		e.estimates[key] = est
	}
	est.samples++
	est.meanTokens += meanTokensGain * (float64(tokens) - est.meanTokens)
	step := max(minQuantileStep, 1/(2+float64(est.samples)/4))
	if elapsed.Seconds()/est.lengthFactor(tokens) > est.quantileSeconds {
		est.quantileSeconds *= 1 + step*targetQuantile
	} else {
		est.quantileSeconds *= 1 - step*(1-targetQuantile)
	}
}

// lengthFactor returns the expected time for a prompt of the given length relative to one
// of mean length. Half of the time does not depend on the length.
func (est *headerTimeEstimate) lengthFactor(tokens int) float64 {
	if est.meanTokens <= 0 {
		return 1
	}
	return 0.5 + 0.5*float64(tokens)/est.meanTokens
}

// Timeout returns the timeout for the response header of a request.
func (e *HeaderTimeoutEstimator) Timeout(r *Route, heavy bool, tokens int) time.Duration {
	target := r.LatencyTarget.Seconds()
	longest := maxTimeoutRatio * target
	est := e.estimates[headerTimeKey{r.Name, heavy}]
	if est == nil || est.samples < minSamples {
		return seconds(longest)
	}
	shortest := minPlainTimeoutRatio * target
	if r.Kind == Stream {
		shortest = minStreamTimeoutRatio * target
	}
	return seconds(min(max(timeoutFactor*est.quantileSeconds*est.lengthFactor(tokens), shortest), longest))
}

// Usual returns the time that the header of a response usually takes, 0 until there are enough samples.
func (e *HeaderTimeoutEstimator) Usual(r *Route, heavy bool, tokens int) time.Duration {
	est := e.estimates[headerTimeKey{r.Name, heavy}]
	if est == nil || est.samples < minSamples {
		return 0
	}
	return seconds(est.quantileSeconds * est.lengthFactor(tokens))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
