package cascade

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Candidate is a version that may serve a request, with its price and latencies. All
// values but WaitMs are declared in the manifest.
type Candidate struct {
	Version string
	// CostPerKiloToken is the price of 1,000 input or output tokens.
	CostPerKiloToken float64
	// FirstTokenMs is the time to first token in milliseconds, without queueing.
	FirstTokenMs float64
	// TokenMs is the time between two tokens in milliseconds.
	TokenMs float64
	// WaitMs is the predicted queueing time in milliseconds.
	WaitMs float64
}

// PlanRequest describes a request for which Planner.Plan chooses the stages.
type PlanRequest struct {
	Class        *api.Class
	Candidates   []Candidate
	PromptTokens int
	MaxTokens    int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Stage is one step of a plan: a version and the condition to deliver its answer.
type Stage struct {
	Version string
	// AcceptConfidence is the lowest confidence at which the answer is delivered;
	// 0 for the last stage.
	AcceptConfidence float64
	// MaxDuration is the time of the stage for a long answer; about one answer in
	// twenty is longer. A later stage is not started when less time remains.
	MaxDuration time.Duration
	// MaxCost is the cost of the prompt and an answer of PlanRequest.MaxTokens.
	MaxCost float64
}

// Plan is the sequence of stages for one request. It has one or two stages.
type Plan struct {
	Class  string
	Stages []Stage
	// QualityLowerBound is the lower confidence bound of the expected quality.
	QualityLowerBound float64
	// ExpectedCost is the expected cost over both outcomes of the first stage.
	ExpectedCost float64
	// MeetsTarget reports whether the plan's lower bound reaches the class's target
	// plus reserve and margin.
	MeetsTarget bool
	// IsExploration reports whether the plan was chosen to collect ratings rather than for
	// its quality and cost.
	IsExploration bool
}

// Planner chooses the stages of requests and learns the quality of versions from
// ratings. It is not safe for concurrent use.
type Planner struct {
	opts      Options
	estimator *Estimator
	classes   map[string]*classState
	rng       *rand.Rand
	// candidateBuffer and draftBuffer are reused by every call of Plan.
	candidateBuffer []evaluatedCandidate
	draftBuffer     []planDraft
}

// classState holds what the planner learns per class, independent of the version.
type classState struct {
	margin     marginController
	scores     scoreClassifier
	tokenUsage tokenUsage
}

// NewPlanner returns a Planner without ratings. rng selects the requests that are
// used for exploration.
func NewPlanner(opts Options, rng *rand.Rand) *Planner {
	opts = opts.withDefaults()
	return &Planner{opts: opts, estimator: NewEstimator(opts), classes: map[string]*classState{}, rng: rng}
}

// Estimator returns the planner's quality estimator.
func (p *Planner) Estimator() *Estimator { return p.estimator }

// Configure replaces the priors by those of the manifest snapshot and deletes the
// state of versions and classes that the snapshot does not contain.
func (p *Planner) Configure(snapshot *manifest.Snapshot) {
	p.estimator.Configure(snapshot)
	for name := range p.classes {
		if _, ok := snapshot.Class(name); !ok {
			delete(p.classes, name)
		}
	}
}

func (p *Planner) classStateFor(name string) *classState {
	s := p.classes[name]
	if s == nil {
		s = &classState{tokenUsage: newTokenUsage()}
		p.classes[name] = s
	}
	return s
}

// evaluatedCandidate is a candidate with its estimated quality, costs and times for
// one request.
type evaluatedCandidate struct {
	Candidate
	stats *versionStats
	curve qualityCurve
	// meanCost is the expected cost, maxCost the cost with an answer of MaxTokens.
	meanCost float64
	maxCost  float64
	// meanTime is the expected time, maxTime the time for a long answer; see
	// tokenUsage.highShare.
	meanTime time.Duration
	maxTime  time.Duration
}

// planDraft is a plan under evaluation. second is nil for a single-stage plan.
type planDraft struct {
	first, second *evaluatedCandidate
	// acceptBin is the lowest confidence bin in which the first stage's answer is
	// delivered.
	acceptBin int
	// qualityBound is the lower confidence bound of the expected quality.
	qualityBound float64
	// qualityBoundWithoutAging is the same bound if ratings did not age.
	qualityBoundWithoutAging float64
	cost                     float64
}

// Plan returns the cheapest plan whose lower quality bound reaches the class's
// target plus reserve and margin, and which fits the remaining time. If there is
// none, it returns the fitting plan with the highest lower bound. A small share of
// requests gets a plan that collects ratings instead. Plan returns an error of kind
// deadline_hopeless when no version can answer in time and no_candidate when none
// fits the cost ceiling.
func (p *Planner) Plan(now time.Time, r PlanRequest) (Plan, *errkind.Error) {
	state := p.classStateFor(r.Class.Name)
	candidates, refusal := p.eligibleCandidates(now, r, state)
	if refusal != nil {
		return Plan{}, refusal
	}
	required := state.margin.requiredQuality(now, r.Class.QualityTarget, &p.opts)
	best, meetsTarget, safest := p.chooseDraft(p.allDrafts(now, candidates, r), required)
	state.margin.recordPlan(best, required)
	if meetsTarget {
		// Quality beyond the target may be given up for exploration.
		surplus := best.qualityBound - required + p.opts.QualityReserve
		if exploratory, ok := p.explorationDraft(now, candidates, r, best, safest, surplus); ok {
			return exploratory.toPlan(r.Class.Name, meetsTarget, true), nil
		}
	}
	return best.toPlan(r.Class.Name, meetsTarget, false), nil
}

// eligibleCandidates returns the candidates that fit the cost ceiling and whose
// expected time as a single stage is within the deadline.
func (p *Planner) eligibleCandidates(now time.Time, r PlanRequest, state *classState) ([]evaluatedCandidate, *errkind.Error) {
	affordable := p.candidateBuffer[:0]
	for _, c := range r.Candidates {
		e := p.evaluateCandidate(now, r, c, state)
		if r.Class.CostCeiling == 0 || e.maxCost <= r.Class.CostCeiling {
			affordable = append(affordable, e)
		}
	}
	p.candidateBuffer = affordable
	if len(affordable) == 0 {
		return nil, errkind.New(errkind.NoCandidate, "no candidate version can serve this request within the class's cost ceiling")
	}
	shortestTime := affordable[0].meanTime
	for i := range affordable {
		shortestTime = min(shortestTime, affordable[i].meanTime)
	}
	if shortestTime > r.Remaining {
		return nil, errkind.New(errkind.DeadlineHopeless, "no candidate version can answer before the request's deadline").WithRetryAfter(retryAfter(affordable, shortestTime-r.Remaining))
	}
	return slices.DeleteFunc(affordable, func(e evaluatedCandidate) bool { return e.meanTime > r.Remaining }), nil
}

// retryAfter returns the time after which a retry may meet the deadline: the missing
// time, but at most the shortest predicted queueing time and at least 1 s.
func retryAfter(candidates []evaluatedCandidate, missing time.Duration) time.Duration {
	waitMs := math.Inf(1)
	for _, e := range candidates {
		waitMs = min(waitMs, e.WaitMs)
	}
	return max(time.Second, min(missing, fromMs(waitMs)))
}

// evaluateCandidate computes the quality, costs and times of a candidate for a
// request.
func (p *Planner) evaluateCandidate(now time.Time, r PlanRequest, c Candidate, state *classState) evaluatedCandidate {
	stats := p.estimator.statsFor(r.Class.Name, c.Version)
	meanTokens := float64(r.MaxTokens) * state.tokenUsage.meanShare
	highTokens := float64(r.MaxTokens) * state.tokenUsage.highShare
	startMs := c.WaitMs + c.FirstTokenMs
	return evaluatedCandidate{
		Candidate: c,
		stats:     stats,
		curve:     stats.qualityCurve(now, p.opts.RatingHalfLife),
		meanCost:  c.CostPerKiloToken * (float64(r.PromptTokens) + meanTokens) / 1000,
		maxCost:   c.CostPerKiloToken * float64(r.PromptTokens+r.MaxTokens) / 1000,
		meanTime:  fromMs(startMs + c.TokenMs*meanTokens),
		maxTime:   fromMs(startMs + c.TokenMs*highTokens),
	}
}

// chooseDraft returns the cheapest draft that reaches the required quality and costs
// no more than the safest draft. If there is none, it returns the safest draft,
// which is the one with the highest bound without aging. Aging of ratings lowers
// the bounds and raises the required quality; the choice of the safest draft
// ignores it, so that aging alone never makes the chosen plan cheaper.
func (p *Planner) chooseDraft(drafts []planDraft, required float64) (best planDraft, meetsTarget bool, safest planDraft) {
	safest = drafts[0]
	for _, d := range drafts {
		if d.qualityBoundWithoutAging > safest.qualityBoundWithoutAging {
			safest = d
		}
	}
	best, meetsTarget = safest, safest.qualityBound >= required
	for _, d := range drafts {
		if d.qualityBound >= required && d.cost <= safest.cost && (!meetsTarget || d.cost < best.cost) {
			best, meetsTarget = d, true
		}
	}
	return best, meetsTarget, safest
}

// maxSecondStages is the number of versions considered as second stage. With 37
// versions, evaluating all pairs took 0.5 ms per plan.
const maxSecondStages = 4

// allDrafts returns the single-stage draft of every candidate, and for every pair
// that fits the two-stage drafts with every acceptance threshold. The result is
// valid until the next call.
func (p *Planner) allDrafts(now time.Time, candidates []evaluatedCandidate, r PlanRequest) []planDraft {
	var buffer [maxSecondStages + 1]*evaluatedCandidate
	secondStages := bestSecondStages(buffer[:0], candidates)
	out := p.draftBuffer[:0]
	for i := range candidates {
		out = append(out, p.singleStageDraft(&candidates[i]))
		for _, second := range secondStages {
			if twoStageFits(&candidates[i], second, r) {
				out = p.appendTwoStageDrafts(out, now, &candidates[i], second)
			}
		}
	}
	p.draftBuffer = out
	return out
}

// bestSecondStages appends to out the maxSecondStages candidates with the highest
// mean quality, best first.
func bestSecondStages(out []*evaluatedCandidate, candidates []evaluatedCandidate) []*evaluatedCandidate {
	for i := range candidates {
		e := &candidates[i]
		position := len(out)
		for position > 0 && out[position-1].curve.overall.mean < e.curve.overall.mean {
			position--
		}
		out = slices.Insert(out, position, e)
		out = out[:min(len(out), maxSecondStages)]
	}
	return out
}

// appendTwoStageDrafts appends the drafts of a pair for every acceptance threshold.
func (p *Planner) appendTwoStageDrafts(out []planDraft, now time.Time, first, second *evaluatedCandidate) []planDraft {
	escalated := p.escalatedQuality(now, first, second)
	for k := 1; k < numConfidenceBins; k++ {
		out = append(out, p.twoStageDraft(first, second, &escalated, k))
	}
	return out
}

// twoStageFits reports whether the first candidate is cheaper than the second and
// both together fit the cost ceiling and the remaining time.
func twoStageFits(first, second *evaluatedCandidate, r PlanRequest) bool {
	if first.Version == second.Version || first.meanCost >= second.meanCost {
		return false
	}
	if r.Class.CostCeiling > 0 && first.maxCost+second.maxCost > r.Class.CostCeiling {
		return false
	}
	return first.maxTime+second.maxTime <= r.Remaining
}

func (p *Planner) singleStageDraft(e *evaluatedCandidate) planDraft {
	d := planDraft{first: e, cost: e.meanCost}
	d.setQualityBounds(e.curve.acceptedGoodShare[0], e.curve.flooredVariance(0), p.opts.LowerBoundZ)
	return d
}

// setQualityBounds sets the bounds to z standard deviations below the mean.
func (d *planDraft) setQualityBounds(mean float64, v variancePair, z float64) {
	d.qualityBound = mean - z*math.Sqrt(v.withAging)
	d.qualityBoundWithoutAging = mean - z*math.Sqrt(v.withoutAging)
}

// escalatedQuality holds the quality of a second stage on the requests that a first
// stage escalates.
type escalatedQuality struct {
	// goodShare[k] is the share of all requests that the first stage answers with
	// a confidence below bin k and the second stage answers well, and variance[k]
	// is its variance.
	goodShare [numConfidenceBins + 1]float64
	variance  [numConfidenceBins + 1]variancePair
	// pooledVariance is the variance of the quality estimated from the ratings of
	// all bins together. The errors of the bins are correlated, so it is a floor
	// for their sum.
	pooledVariance variancePair
}

// escalatedQuality computes the quality of second on requests that first escalates.
func (p *Planner) escalatedQuality(now time.Time, first, second *evaluatedCandidate) escalatedQuality {
	var out escalatedQuality
	counts := second.stats.laterStage[first.Version]
	pooled := second.curve.overall
	for k, share := range first.curve.binShare {
		b := laterStageQuality(now, counts, k, second.curve.overall, p.opts.RatingHalfLife)
		out.goodShare[k+1] = out.goodShare[k] + share*b.mean
		out.variance[k+1] = out.variance[k].addScaled(share, b.variances())
		pooled.weight += b.weight - laterStagePrior(second.curve.overall).weight
		pooled.expiredWeight += b.expiredWeight
	}
	out.pooledVariance = pooled.variances()
	return out
}

// twoStageDraft returns the plan that escalates answers of first with a confidence
// below the bin to second.
func (p *Planner) twoStageDraft(first, second *evaluatedCandidate, escalated *escalatedQuality, bin int) planDraft {
	escalatedShare := 1 - first.curve.acceptedShare[bin]
	d := planDraft{first: first, second: second, acceptBin: bin, cost: first.meanCost + escalatedShare*second.meanCost}
	later := escalated.variance[bin].max(variancePair{}.addScaled(escalatedShare, escalated.pooledVariance))
	d.setQualityBounds(first.curve.acceptedGoodShare[bin]+escalated.goodShare[bin], first.curve.flooredVariance(bin).addCorrelated(later), p.opts.LowerBoundZ)
	return d
}

func (d planDraft) toPlan(class string, meetsTarget, isExploration bool) Plan {
	plan := Plan{Class: class, QualityLowerBound: d.qualityBound, ExpectedCost: d.cost, MeetsTarget: meetsTarget, IsExploration: isExploration}
	plan.Stages = append(plan.Stages, Stage{Version: d.first.Version, MaxDuration: d.first.maxTime, MaxCost: d.first.maxCost})
	if d.second != nil {
		plan.Stages[0].AcceptConfidence = binLowerBound(d.acceptBin)
		plan.Stages = append(plan.Stages, Stage{Version: d.second.Version, MaxDuration: d.second.maxTime, MaxCost: d.second.maxCost})
	}
	return plan
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
