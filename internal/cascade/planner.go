package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Candidate is a version that may serve a request.
type Candidate struct {
	Version string
	// CostPerKiloToken is the price of 1,000 input or output tokens.
	CostPerKiloToken float64
	// FirstTokenMs is the time to first token without queueing.
	FirstTokenMs float64
	// TokenMs is the time between tokens.
	TokenMs float64
	// WaitMs is the predicted queueing time.
	WaitMs float64
}

// PlanRequest asks for a plan.
type PlanRequest struct {
	Class        *api.Class
	Candidates   []Candidate
	PromptTokens int
	MaxTokens    int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Stage is one version of a plan.
type Stage struct {
	Version string
	// AcceptConfidence is the least confidence at which the answer is delivered;
	// 0 for the last stage.
	AcceptConfidence float64
	// Need is the time that the stage takes at most; a later stage is not
	// started with less remaining.
	Need time.Duration
	// MaxCost is the cost of the stage at MaxTokens.
	MaxCost float64
}

// Plan is the sequence of stages for one request.
type Plan struct {
	Class  string
	Stages []Stage
	// Quality is the lower confidence bound of the expected quality.
	Quality float64
	// Cost is the expected cost.
	Cost float64
	// MeetsTarget states whether Quality reaches the controlled target.
	MeetsTarget bool
	// Explore marks a plan that gathers evidence.
	Explore bool
}

// Planner plans requests. It is not safe for concurrent use.
type Planner struct {
	opts      Options
	estimator *Estimator
	classes   map[string]*classState
	rng       *rand.Rand
}

// classState is the state of one class.
type classState struct {
	control controller
	scores  scoreSplit
	use     tokenUse
}

// NewPlanner returns a planner without evidence. rng selects the requests that
// gather evidence.
func NewPlanner(opts Options, rng *rand.Rand) *Planner {
	opts = opts.withDefaults()
	return &Planner{opts: opts, estimator: NewEstimator(opts), classes: map[string]*classState{}, rng: rng}
}

// Estimator returns the planner's estimates for status.
func (p *Planner) Estimator() *Estimator { return p.estimator }

// Configure takes the priors of a snapshot and forgets removed versions and
// classes.
func (p *Planner) Configure(snapshot *manifest.Snapshot) {
	p.estimator.Configure(snapshot)
	for name := range p.classes {
		if _, ok := snapshot.Class(name); !ok {
			delete(p.classes, name)
		}
	}
}

func (p *Planner) class(name string) *classState {
	s := p.classes[name]
	if s == nil {
		s = &classState{use: newTokenUse()}
		p.classes[name] = s
	}
	return s
}

// option is a candidate with what planning needs to know of it.
type option struct {
	Candidate
	cell  *cell
	curve curve
	// meanCost is the expected cost, maxCost the cost at MaxTokens.
	meanCost float64
	maxCost  float64
	// meanTime is the expected time, maxTime the time that a later stage needs.
	meanTime time.Duration
	maxTime  time.Duration
}

// draft is a plan under evaluation. second is nil for a single stage.
type draft struct {
	first, second *option
	// bin is the lowest accepted bin of the first stage.
	bin     int
	quality float64
	cost    float64
}

// Plan returns the cheapest plan whose expected quality reaches the class's
// target and whose time fits. Without one it returns the version of the highest
// expected quality that fits. It refuses with deadline_hopeless when no version
// can answer in time and with no_candidate when none fits the cost ceiling.
func (p *Planner) Plan(now time.Time, r PlanRequest) (Plan, *errkind.Error) {
	state := p.class(r.Class.Name)
	options, refusal := p.options(now, r, state)
	if refusal != nil {
		return Plan{}, refusal
	}
	aim := r.Class.QualityTarget + p.opts.Reserve + state.control.effective(now, p.opts.EvidenceHalfLife)
	best, meets := p.choose(now, options, r, aim)
	state.control.planned(best, aim)
	if meets {
		// What the plan's bound has beyond the target may be spent on evidence.
		surplus := best.quality - aim + p.opts.Reserve
		if e, ok := p.explore(now, options, r, best, surplus); ok {
			return e.plan(r.Class.Name, meets, true), nil
		}
	}
	return best.plan(r.Class.Name, meets, false), nil
}

// options returns the candidates that fit the cost ceiling and can answer in
// time on their own.
func (p *Planner) options(now time.Time, r PlanRequest, state *classState) ([]option, *errkind.Error) {
	affordable := make([]option, 0, len(r.Candidates))
	for _, c := range r.Candidates {
		o := p.option(now, r, c, state)
		if r.Class.CostCeiling == 0 || o.maxCost <= r.Class.CostCeiling {
			affordable = append(affordable, o)
		}
	}
	if len(affordable) == 0 {
		return nil, errkind.New(errkind.NoCandidate, "no version answers this request within the class's cost ceiling")
	}
	inTime := make([]option, 0, len(affordable))
	soonest := time.Duration(math.MaxInt64)
	for _, o := range affordable {
		soonest = min(soonest, o.meanTime)
		if o.meanTime <= r.Remaining {
			inTime = append(inTime, o)
		}
	}
	if len(inTime) == 0 {
		return nil, errkind.New(errkind.DeadlineHopeless, "no version can answer before the deadline").WithRetryAfter(retryAfter(affordable, soonest-r.Remaining))
	}
	return inTime, nil
}

// retryAfter advises to wait until the shortest queue has gone down by the
// missing time.
func retryAfter(options []option, missing time.Duration) time.Duration {
	wait := math.Inf(1)
	for _, o := range options {
		wait = min(wait, o.WaitMs)
	}
	return max(time.Second, min(missing, milliseconds(wait)))
}

func (p *Planner) option(now time.Time, r PlanRequest, c Candidate, state *classState) option {
	known := p.estimator.cell(r.Class.Name, c.Version)
	meanTokens := float64(r.MaxTokens) * state.use.mean
	mostTokens := float64(r.MaxTokens) * state.use.high
	start := c.WaitMs + c.FirstTokenMs
	return option{
		Candidate: c,
		cell:      known,
		curve:     known.curve(now, p.opts.EvidenceHalfLife),
		meanCost:  c.CostPerKiloToken * (float64(r.PromptTokens) + meanTokens) / 1000,
		maxCost:   c.CostPerKiloToken * float64(r.PromptTokens+r.MaxTokens) / 1000,
		meanTime:  milliseconds(start + c.TokenMs*meanTokens),
		maxTime:   milliseconds(start + c.TokenMs*mostTokens),
	}
}

// choose returns the cheapest draft that reaches the aim, else the single
// version of the highest expected quality.
func (p *Planner) choose(now time.Time, options []option, r PlanRequest, aim float64) (draft, bool) {
	strongest := p.single(strongestOf(options))
	var best draft
	found := false
	consider := func(d draft) {
		if d.quality >= aim && (!found || d.cost < best.cost) {
			best, found = d, true
		}
	}
	for i := range options {
		consider(p.single(&options[i]))
		for j := range options {
			p.considerPair(now, &options[i], &options[j], r, strongest.cost, consider)
		}
	}
	if found {
		return best, true
	}
	return strongest, false
}

func strongestOf(options []option) *option {
	best := &options[0]
	for i := range options {
		o := &options[i]
		if o.curve.quality.mean > best.curve.quality.mean {
			best = o
		}
	}
	return best
}

// considerPair offers every threshold of a cheap first and a dearer second
// stage. A cascade that costs more than the strongest version alone is left
// out, so that growing caution never makes a plan cheaper.
func (p *Planner) considerPair(now time.Time, first, second *option, r PlanRequest, limit float64, consider func(draft)) {
	if !pairFits(first, second, r) {
		return
	}
	escalated := p.escalatedCurve(now, first, second)
	for k := 1; k < confidenceBins; k++ {
		if d := p.pair(first, second, &escalated, k); d.cost <= limit {
			consider(d)
		}
	}
}

func pairFits(first, second *option, r PlanRequest) bool {
	if first.Version == second.Version || first.meanCost >= second.meanCost {
		return false
	}
	if r.Class.CostCeiling > 0 && first.maxCost+second.maxCost > r.Class.CostCeiling {
		return false
	}
	return first.maxTime+second.maxTime <= r.Remaining
}

func (p *Planner) single(o *option) draft {
	mean, variance := o.curve.mean[0], o.curve.varianceFrom(0)
	return draft{first: o, quality: mean - p.opts.LowerZ*math.Sqrt(variance), cost: o.meanCost}
}

// escalatedCurve holds, for each threshold bin, the share of good answers of a
// second version over the requests below the threshold, and its variance.
type escalatedCurve struct {
	mean     [confidenceBins + 1]float64
	variance [confidenceBins + 1]float64
}

func (p *Planner) escalatedCurve(now time.Time, first, second *option) escalatedCurve {
	var out escalatedCurve
	evidence := second.cell.later[first.Version]
	for k, share := range first.curve.shares {
		b := laterBin(now, evidence, k, second.curve.quality, p.opts.EvidenceHalfLife)
		out.mean[k+1] = out.mean[k] + share*b.mean
		out.variance[k+1] = out.variance[k] + share*share*b.variance()
	}
	return out
}

func (p *Planner) pair(first, second *option, escalated *escalatedCurve, bin int) draft {
	passed := 1 - first.curve.share[bin]
	mean := first.curve.mean[bin] + escalated.mean[bin]
	variance := first.curve.varianceFrom(bin) + max(escalated.variance[bin], passed*passed*second.curve.quality.variance())
	return draft{
		first: first, second: second, bin: bin,
		quality: mean - p.opts.LowerZ*math.Sqrt(variance),
		cost:    first.meanCost + passed*second.meanCost,
	}
}

func (d draft) plan(class string, meets, explore bool) Plan {
	plan := Plan{Class: class, Quality: d.quality, Cost: d.cost, MeetsTarget: meets, Explore: explore}
	plan.Stages = append(plan.Stages, Stage{Version: d.first.Version, Need: d.first.maxTime, MaxCost: d.first.maxCost})
	if d.second != nil {
		plan.Stages[0].AcceptConfidence = binFloor(d.bin)
		plan.Stages = append(plan.Stages, Stage{Version: d.second.Version, Need: d.second.maxTime, MaxCost: d.second.maxCost})
	}
	return plan
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
