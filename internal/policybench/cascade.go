package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
)

// RatingService describes a simulated rating service.
type RatingService struct {
	Name string
	// Share is the fraction of delivered answers that get a rating.
	Share float64
	// Delay is the time until a rating arrives.
	Delay time.Duration
	// Bias is added to every score.
	Bias float64
	// FalseGood is the fraction of bad answers that are scored like good ones.
	FalseGood float64
	// AbsentFrom and AbsentTo are the indexes of the first request without a rating
	// and of the next request that can get one again.
	AbsentFrom, AbsentTo int
}

// CascadeResult holds the outcomes of a policy on a trace.
type CascadeResult struct {
	// Good has one entry per request: 1 for a good delivered answer, else 0.
	Good []float64
	// Cost has one entry per request: the cost of all its stages.
	Cost []float64
	// DeadlineMisses is the number of requests whose last stage ended after the deadline.
	DeadlineMisses int
	// Explored is the number of requests that the planner used for exploration.
	Explored int
}

// Quality returns the fraction of good answers from the request with index from on.
func (r CascadeResult) Quality(from int) float64 { return Mean(r.Good[from:]) }

// MeanCost returns the cost per request from the request with index from on.
func (r CascadeResult) MeanCost(from int) float64 { return Mean(r.Cost[from:]) }

func (q QualityTrace) answerCost(version int, r QualityRequest) float64 {
	return q.Versions[version].CostPerKiloToken * float64(r.PromptTokens+r.OutputTokens) / 1000
}

// RunSingle sends every request to the version with the given index.
func (q QualityTrace) RunSingle(requests []QualityRequest, version int) CascadeResult {
	var out CascadeResult
	for _, r := range requests {
		out.add(r.Answers[version].Good, q.answerCost(version, r))
	}
	return out
}

// RunStatic runs a cascade of two versions, given by index. It delivers the answer of the first
// version when its confidence reaches the threshold, else that of the second.
func (q QualityTrace) RunStatic(requests []QualityRequest, first, second int, threshold float64) CascadeResult {
	var out CascadeResult
	for _, r := range requests {
		if r.Answers[first].Confidence >= threshold {
			out.add(r.Answers[first].Good, q.answerCost(first, r))
			continue
		}
		out.add(r.Answers[second].Good, q.answerCost(first, r)+q.answerCost(second, r))
	}
	return out
}

// StaticCascade is a cascade of two versions with a fixed confidence threshold, and its
// result.
type StaticCascade struct {
	First, Second int
	Threshold     float64
	Result        CascadeResult
}

// BestStatic returns the cheapest static cascade whose quality on the whole trace reaches the
// target, or false without one. It tries all pairs of versions and thresholds in steps of 0.01.
// Unlike a policy in service, it knows the outcomes of the trace in advance.
func (q QualityTrace) BestStatic(requests []QualityRequest, target float64) (StaticCascade, bool) {
	best := StaticCascade{}
	bestCost := math.Inf(1)
	for first := range q.Versions {
		for second := first + 1; second < len(q.Versions); second++ {
			// The last threshold, 1.01, is above every confidence: the second version always answers.
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

// plannerRun is the state of a planner's run on a trace.
type plannerRun struct {
	trace   QualityTrace
	class   *api.Class
	ratings RatingService
	planner *cascade.Planner
	rng     *rand.Rand
	pending []pendingRating
	result  CascadeResult
}

type pendingRating struct {
	dueAt       time.Time
	observation cascade.Observation
}

// RunPlanner runs a planner on a trace. Each rating is observed after its delay, as an
// observation with RatingIsLate set.
func (q QualityTrace) RunPlanner(requests []QualityRequest, class *api.Class, ratings RatingService, opts cascade.Options) CascadeResult {
	run := &plannerRun{trace: q, class: class, ratings: ratings}
	run.planner = cascade.NewPlanner(opts, rand.New(rand.NewPCG(q.Seed, 4))) //nolint:gosec // a reproducible run
	run.rng = rand.New(rand.NewPCG(q.Seed, 5))                               //nolint:gosec // a reproducible run
	for _, v := range q.Versions {
		run.planner.Estimator().SetPrior(v.Name, v.PriorQuality, v.PriorWeight)
	}
	for i, r := range requests {
		run.deliverRatings(Epoch.Add(r.At))
		run.runRequest(i, r)
	}
	return run.result
}

func (p *plannerRun) deliverRatings(now time.Time) {
	for len(p.pending) > 0 && !p.pending[0].dueAt.After(now) {
		p.planner.Observe(now, p.pending[0].observation)
		p.pending = p.pending[1:]
	}
}

func (p *plannerRun) runRequest(i int, r QualityRequest) {
	now := Epoch.Add(r.At)
	deadline := now.Add(time.Duration(p.class.DeadlineMs) * time.Millisecond)
	plan, refusal := p.planner.Plan(now, cascade.PlanRequest{
		Class: p.class, Candidates: p.candidates(), PromptTokens: r.PromptTokens,
		MaxTokens: QualityMaxTokens, Remaining: deadline.Sub(now),
	})
	if refusal != nil {
		panic("planner refused a request of the generated trace, whose deadlines can all be met")
	}
	if plan.IsExploration {
		p.result.Explored++
	}
	cost := 0.0
	previous := -1
	for stage := 0; ; {
		version := p.versionIndex(plan.Stages[stage].Version)
		answer := r.Answers[version]
		cost += p.trace.answerCost(version, r)
		now = now.Add(p.answerTime(version, r))
		decision := p.planner.Next(now, plan, stage, cascade.StageResult{Confidence: answer.Confidence, Remaining: deadline.Sub(now)})
		p.observe(now, i, previous, version, r, decision.Accept)
		if decision.Accept {
			p.result.add(answer.Good, cost)
			break
		}
		stage, previous = decision.Stage, version
	}
	if now.After(deadline) {
		p.result.DeadlineMisses++
	}
}

func (p *plannerRun) candidates() []cascade.Candidate {
	out := make([]cascade.Candidate, len(p.trace.Versions))
	for i, v := range p.trace.Versions {
		out[i] = cascade.Candidate{Version: v.Name, CostPerKiloToken: v.CostPerKiloToken, FirstTokenMs: v.FirstTokenMs, TokenMs: v.TokenMs}
	}
	return out
}

func (p *plannerRun) versionIndex(name string) int {
	for i, v := range p.trace.Versions {
		if v.Name == name {
			return i
		}
	}
	panic("planner chose a version that is not a candidate: " + name)
}

func (p *plannerRun) answerTime(version int, r QualityRequest) time.Duration {
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
	if !delivered || !p.hasRating(i) {
		return
	}
	rating := p.ratingScore(answer)
	obs.Rating = &rating
	obs.RatingIsLate = true
	p.pending = append(p.pending, pendingRating{dueAt: now.Add(p.ratings.Delay), observation: obs})
}

func (p *plannerRun) hasRating(i int) bool {
	absent := i >= p.ratings.AbsentFrom && i < p.ratings.AbsentTo
	return p.rng.Float64() < p.ratings.Share && !absent
}

func (p *plannerRun) ratingScore(a VersionAnswer) float64 {
	score := a.Score
	if !a.Good && p.rng.Float64() < p.ratings.FalseGood {
		score = 0.85 // the mean score of a good answer; see sampleScore
	}
	return clampToUnit(score + p.ratings.Bias)
}
