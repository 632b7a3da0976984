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
	// optionBuffer and draftBuffer are reused by every call of Plan.
	optionBuffer []option
	draftBuffer  []draft
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
	// settled is the quality's lower bound without the effect of age.
	settled float64
	cost    float64
}

// Plan returns the cheapest plan whose expected quality reaches the class's
// target and whose time fits. Without one it returns the plan of the highest
// expected quality that fits. It refuses with deadline_hopeless when no version
// can answer in time and with no_candidate when none fits the cost ceiling.
func (p *Planner) Plan(now time.Time, r PlanRequest) (Plan, *errkind.Error) {
	state := p.class(r.Class.Name)
	options, refusal := p.options(now, r, state)
	if refusal != nil {
		return Plan{}, refusal
	}
	aim := state.control.aim(now, r.Class.QualityTarget, &p.opts)
	best, meets, surest := p.choose(p.drafts(now, options, r), aim)
	state.control.planned(best, aim)
	if meets {
		// What the plan's bound has beyond the target may be spent on evidence.
		surplus := best.quality - aim + p.opts.Reserve
		if e, ok := p.explore(now, options, r, best, surest, surplus); ok {
			return e.plan(r.Class.Name, meets, true), nil
		}
	}
	return best.plan(r.Class.Name, meets, false), nil
}

// options returns the candidates that fit the cost ceiling and can answer in
// time on their own.
func (p *Planner) options(now time.Time, r PlanRequest, state *classState) ([]option, *errkind.Error) {
	affordable := p.optionBuffer[:0]
	for _, c := range r.Candidates {
		o := p.option(now, r, c, state)
		if r.Class.CostCeiling == 0 || o.maxCost <= r.Class.CostCeiling {
			affordable = append(affordable, o)
		}
	}
	p.optionBuffer = affordable
	if len(affordable) == 0 {
		return nil, errkind.New(errkind.NoCandidate, "no version answers this request within the class's cost ceiling")
	}
	soonest := affordable[0].meanTime
	for i := range affordable {
		soonest = min(soonest, affordable[i].meanTime)
	}
	if soonest > r.Remaining {
		return nil, errkind.New(errkind.DeadlineHopeless, "no version can answer before the deadline").WithRetryAfter(retryAfter(affordable, soonest-r.Remaining))
	}
	return slices.DeleteFunc(affordable, func(o option) bool { return o.meanTime > r.Remaining }), nil
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

// choose returns the cheapest draft that reaches the aim and costs no more than
// the draft of the highest bound, else that draft. The highest bound leaves
// aside the age of ratings. Age lowers the bounds of the drafts and raises the
// aim, so growing caution never makes a plan cheaper.
func (p *Planner) choose(drafts []draft, aim float64) (best draft, meets bool, surest draft) {
	surest = drafts[0]
	for _, d := range drafts {
		if d.settled > surest.settled {
			surest = d
		}
	}
	best, meets = surest, surest.quality >= aim
	for _, d := range drafts {
		if d.quality >= aim && d.cost <= surest.cost && (!meets || d.cost < best.cost) {
			best, meets = d, true
		}
	}
	return best, meets, surest
}

// maxSeconds bounds the versions considered as second stage. With 37 versions
// all pairs took 0.5 ms.
const maxSeconds = 4

// drafts returns every single version and every pair that fits, with every
// threshold. Second stages are the versions of the highest expected quality.
func (p *Planner) drafts(now time.Time, options []option, r PlanRequest) []draft {
	var buffer [maxSeconds + 1]*option
	seconds := bestOptions(buffer[:0], options)
	out := p.draftBuffer[:0]
	for i := range options {
		out = append(out, p.single(&options[i]))
		for _, second := range seconds {
			if pairFits(&options[i], second, r) {
				out = p.appendPairs(out, now, &options[i], second)
			}
		}
	}
	p.draftBuffer = out
	return out
}

// bestOptions appends the options of the highest expected quality to out.
func bestOptions(out []*option, options []option) []*option {
	for i := range options {
		o := &options[i]
		at := len(out)
		for at > 0 && out[at-1].curve.quality.mean < o.curve.quality.mean {
			at--
		}
		out = slices.Insert(out, at, o)
		out = out[:min(len(out), maxSeconds)]
	}
	return out
}

func (p *Planner) appendPairs(out []draft, now time.Time, first, second *option) []draft {
	escalated := p.escalatedCurve(now, first, second)
	for k := 1; k < confidenceBins; k++ {
		out = append(out, p.pair(first, second, &escalated, k))
	}
	return out
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
	d := draft{first: o, cost: o.meanCost}
	d.bound(o.curve.mean[0], o.curve.varianceFrom(0), p.opts.LowerZ)
	return d
}

func (d *draft) bound(mean float64, v variances, z float64) {
	d.quality = mean - z*math.Sqrt(v.aged)
	d.settled = mean - z*math.Sqrt(v.settled)
}

// escalatedCurve holds, for each threshold bin, the share of good answers of a
// second version over the requests below the threshold, and its variance.
type escalatedCurve struct {
	mean     [confidenceBins + 1]float64
	variance [confidenceBins + 1]variances
	// whole is the variance from all evidence, whose error the bins share.
	whole variances
}

func (p *Planner) escalatedCurve(now time.Time, first, second *option) escalatedCurve {
	var out escalatedCurve
	evidence := second.cell.later[first.Version]
	whole := second.curve.quality
	for k, share := range first.curve.shares {
		b := laterBin(now, evidence, k, second.curve.quality, p.opts.EvidenceHalfLife)
		out.mean[k+1] = out.mean[k] + share*b.mean
		out.variance[k+1] = out.variance[k].plus(share, b.variances())
		whole.weight += b.weight - laterPrior(second.curve.quality).weight
		whole.stale += b.stale
	}
	out.whole = whole.variances()
	return out
}

func (p *Planner) pair(first, second *option, escalated *escalatedCurve, bin int) draft {
	passed := 1 - first.curve.share[bin]
	d := draft{first: first, second: second, bin: bin, cost: first.meanCost + passed*second.meanCost}
	later := escalated.variance[bin].atLeast(variances{}.plus(passed, escalated.whole))
	d.bound(first.curve.mean[bin]+escalated.mean[bin], first.curve.varianceFrom(bin).together(later), p.opts.LowerZ)
	return d
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
