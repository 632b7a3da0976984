package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
)

// Ratings describes a rating service.
type Ratings struct {
	Name string
	// Share of the delivered answers that get a rating.
	Share float64
	// Delay until a rating arrives.
	Delay time.Duration
	// Bias is added to every score.
	Bias float64
	// FalseGood is the share of bad answers that are scored like good ones.
	FalseGood float64
	// AbsentFrom and AbsentTo bound the requests without any rating.
	AbsentFrom, AbsentTo int
}

// CascadeResult is the outcome of one policy on a trace.
type CascadeResult struct {
	// Good has one entry per request: 1 if the delivered answer was good.
	Good []float64
	// Cost has one entry per request.
	Cost []float64
	// Late counts requests whose stages ended after the deadline.
	Late int
	// Explored counts requests that gathered evidence.
	Explored int
}

// Quality is the share of good answers from a request on.
func (r CascadeResult) Quality(from int) float64 { return Mean(r.Good[from:]) }

// MeanCost is the cost per request from a request on.
func (r CascadeResult) MeanCost(from int) float64 { return Mean(r.Cost[from:]) }

func (q QualityTrace) cost(version int, r QualityRequest) float64 {
	return q.Versions[version].CostPerKiloToken * float64(r.PromptTokens+r.OutputTokens) / 1000
}

// RunSingle sends every request to one version.
func (q QualityTrace) RunSingle(requests []QualityRequest, version int) CascadeResult {
	var out CascadeResult
	for _, r := range requests {
		out.add(r.Answers[version].Good, q.cost(version, r))
	}
	return out
}

// RunStatic runs a cascade of two versions with a fixed threshold.
func (q QualityTrace) RunStatic(requests []QualityRequest, first, second int, threshold float64) CascadeResult {
	var out CascadeResult
	for _, r := range requests {
		if r.Answers[first].Confidence >= threshold {
			out.add(r.Answers[first].Good, q.cost(first, r))
			continue
		}
		out.add(r.Answers[second].Good, q.cost(first, r)+q.cost(second, r))
	}
	return out
}

// StaticCascade is a cascade with a fixed threshold.
type StaticCascade struct {
	First, Second int
	Threshold     float64
	Result        CascadeResult
}

// BestStatic sweeps every pair of versions and threshold in steps of 0.01 and
// returns the cheapest whose quality on the whole trace reaches the target. It
// knows the outcome of the trace in advance.
func (q QualityTrace) BestStatic(requests []QualityRequest, target float64) (StaticCascade, bool) {
	best := StaticCascade{}
	bestCost := math.Inf(1)
	for first := range q.Versions {
		for second := first + 1; second < len(q.Versions); second++ {
			for step := 0; step <= 101; step++ {
				c := StaticCascade{First: first, Second: second, Threshold: float64(step) / 100}
				c.Result = q.RunStatic(requests, first, second, c.Threshold)
				if cost := c.Result.MeanCost(0); c.Result.Quality(0) >= target && cost < bestCost {
					best, bestCost = c, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func (r *CascadeResult) add(good bool, cost float64) {
	value := 0.0
	if good {
		value = 1
	}
	r.Good = append(r.Good, value)
	r.Cost = append(r.Cost, cost)
}

// plannerRun plays a trace against a planner.
type plannerRun struct {
	trace   QualityTrace
	class   *api.Class
	ratings Ratings
	planner *cascade.Planner
	rng     *rand.Rand
	pending []pendingRating
	result  CascadeResult
}

type pendingRating struct {
	due time.Time
	obs cascade.Observation
}

// RunPlanner runs the planner on a trace. A rating that comes after its answer
// is given to the planner with Late set.
func (q QualityTrace) RunPlanner(requests []QualityRequest, class *api.Class, ratings Ratings, opts cascade.Options) CascadeResult {
	run := &plannerRun{trace: q, class: class, ratings: ratings}
	run.planner = cascade.NewPlanner(opts, rand.New(rand.NewPCG(q.Seed, 4))) //nolint:gosec // a reproducible run
	run.rng = rand.New(rand.NewPCG(q.Seed, 5))                               //nolint:gosec // a reproducible run
	for _, v := range q.Versions {
		run.planner.Estimator().SetPrior(v.Name, v.PriorQuality, v.PriorWeight)
	}
	for i, r := range requests {
		run.deliverRatings(Epoch.Add(r.At))
		run.request(i, r)
	}
	return run.result
}

func (p *plannerRun) deliverRatings(now time.Time) {
	for len(p.pending) > 0 && !p.pending[0].due.After(now) {
		p.planner.Observe(now, p.pending[0].obs)
		p.pending = p.pending[1:]
	}
}

func (p *plannerRun) request(i int, r QualityRequest) {
	now := Epoch.Add(r.At)
	deadline := now.Add(time.Duration(p.class.DeadlineMs) * time.Millisecond)
	plan, refusal := p.planner.Plan(now, cascade.PlanRequest{
		Class: p.class, Candidates: p.candidates(), PromptTokens: r.PromptTokens,
		MaxTokens: QualityMaxTokens, Remaining: deadline.Sub(now),
	})
	if refusal != nil {
		panic("the generated trace has no hopeless request")
	}
	if plan.Explore {
		p.result.Explored++
	}
	cost := 0.0
	previous := -1
	for stage := 0; ; {
		version := p.index(plan.Stages[stage].Version)
		answer := r.Answers[version]
		cost += p.trace.cost(version, r)
		now = now.Add(p.duration(version, r))
		decision := p.planner.Next(now, plan, stage, cascade.StageResult{Confidence: answer.Confidence, Remaining: deadline.Sub(now)})
		p.observe(now, i, previous, version, r, decision.Accept)
		if decision.Accept {
			p.result.add(answer.Good, cost)
			break
		}
		stage, previous = decision.Stage, version
	}
	if now.After(deadline) {
		p.result.Late++
	}
}

func (p *plannerRun) candidates() []cascade.Candidate {
	out := make([]cascade.Candidate, len(p.trace.Versions))
	for i, v := range p.trace.Versions {
		out[i] = cascade.Candidate{Version: v.Name, CostPerKiloToken: v.CostPerKiloToken, FirstTokenMs: v.FirstTokenMs, TokenMs: v.TokenMs}
	}
	return out
}

func (p *plannerRun) index(name string) int {
	for i, v := range p.trace.Versions {
		if v.Name == name {
			return i
		}
	}
	panic("the planner named a version that is no candidate: " + name)
}

func (p *plannerRun) duration(version int, r QualityRequest) time.Duration {
	v := p.trace.Versions[version]
	return time.Duration((v.FirstTokenMs + v.TokenMs*float64(r.OutputTokens)) * float64(time.Millisecond))
}

func (p *plannerRun) observe(now time.Time, i, previous, version int, r QualityRequest, delivered bool) {
	answer := r.Answers[version]
	obs := cascade.Observation{
		Class: p.class, Version: p.trace.Versions[version].Name, Confidence: answer.Confidence,
		Escalated: !delivered, OutputTokens: r.OutputTokens, MaxTokens: QualityMaxTokens,
	}
	if previous >= 0 {
		obs.PreviousVersion, obs.PreviousConfidence = p.trace.Versions[previous].Name, r.Answers[previous].Confidence
	}
	p.planner.Observe(now, obs)
	if !delivered || !p.rated(i) {
		return
	}
	rating := p.rating(answer)
	obs.Rating = &rating
	obs.Late = true
	p.pending = append(p.pending, pendingRating{due: now.Add(p.ratings.Delay), obs: obs})
}

func (p *plannerRun) rated(i int) bool {
	absent := i >= p.ratings.AbsentFrom && i < p.ratings.AbsentTo
	return p.rng.Float64() < p.ratings.Share && !absent
}

func (p *plannerRun) rating(a VersionAnswer) float64 {
	score := a.Score
	if !a.Good && p.rng.Float64() < p.ratings.FalseGood {
		score = 0.85
	}
	return unit(score + p.ratings.Bias)
}
