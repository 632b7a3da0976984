package cascade

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

var fuzzVersions = []string{"v1", "v2", "v3", "v4"}

// plannerMachine is a rapid state machine that calls a planner at random and keeps
// the state that the oracle needs.
type plannerMachine struct {
	planner *Planner
	now     time.Time
	class   *api.Class
	ratings int
}

func newPlannerMachine(t *rapid.T) *plannerMachine {
	m := &plannerMachine{planner: NewPlanner(Options{}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))), now: time.Unix(1000, 0)}
	m.class = &api.Class{
		Name:          "c",
		QualityTarget: rapid.SampledFrom([]float64{0, 0.5, 0.8, 0.9, 1}).Draw(t, "target"),
		CostCeiling:   rapid.SampledFrom([]float64{0, 0.5, 5, 50}).Draw(t, "ceiling"),
	}
	for _, v := range fuzzVersions[:3] {
		m.planner.Estimator().SetPrior(v, rapid.Float64Range(0, 1).Draw(t, "prior"), rapid.Float64Range(0.5, 50).Draw(t, "weight"))
	}
	return m
}

func (m *plannerMachine) drawRequest(t *rapid.T) PlanRequest {
	r := PlanRequest{
		Class:        m.class,
		PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 1000).Draw(t, "max"),
		Remaining:    time.Duration(rapid.IntRange(-100, 60_000).Draw(t, "remaining")) * time.Millisecond,
	}
	for _, v := range fuzzVersions[:rapid.IntRange(1, len(fuzzVersions)).Draw(t, "candidates")] {
		r.Candidates = append(r.Candidates, Candidate{
			Version:          v,
			CostPerKiloToken: rapid.Float64Range(0, 20).Draw(t, "cost"),
			FirstTokenMs:     rapid.Float64Range(1, 2000).Draw(t, "first"),
			TokenMs:          rapid.Float64Range(1, 50).Draw(t, "token"),
			WaitMs:           rapid.Float64Range(0, 5000).Draw(t, "wait"),
		})
	}
	return r
}

// expectedRefusal returns the kind of error that Plan must return, "" for none. The
// planner has not observed any answer lengths, so it expects half of MaxTokens.
func expectedRefusal(r PlanRequest) errkind.Kind {
	affordable := false
	for _, c := range r.Candidates {
		if r.Class.CostCeiling > 0 && c.CostPerKiloToken*float64(r.PromptTokens+r.MaxTokens)/1000 > r.Class.CostCeiling {
			continue
		}
		affordable = true
		if fromMs(c.WaitMs+c.FirstTokenMs+c.TokenMs*float64(r.MaxTokens)/2) <= r.Remaining {
			return ""
		}
	}
	if affordable {
		return errkind.DeadlineHopeless
	}
	return errkind.NoCandidate
}

// checkPlan checks that a plan uses each candidate at most once and keeps the cost
// ceiling and the deadline.
func (m *plannerMachine) checkPlan(t *rapid.T, r PlanRequest, p Plan) {
	var maxDuration time.Duration
	cost := 0.0
	seen := map[string]bool{}
	for _, s := range p.Stages {
		i := slices.IndexFunc(r.Candidates, func(c Candidate) bool { return c.Version == s.Version })
		assert.Assert(t, i >= 0 && !seen[s.Version], "stage %q is not a candidate or is planned twice", s.Version)
		seen[s.Version] = true
		maxDuration += s.MaxDuration
		cost += s.MaxCost
	}
	assert.Assert(t, len(p.Stages) >= 1)
	assert.Assert(t, r.Class.CostCeiling == 0 || cost <= r.Class.CostCeiling, "cost %v exceeds the cost ceiling", cost)
	assert.Assert(t, len(p.Stages) == 1 || maxDuration <= r.Remaining, "stages need up to %v, remaining time is %v", maxDuration, r.Remaining)
	assert.Equal(t, p.Stages[len(p.Stages)-1].AcceptConfidence, 0.0)
}

// Plan checks a plan against the oracle, and that a later plan without new ratings
// is not cheaper.
func (m *plannerMachine) Plan(t *rapid.T) {
	r := m.drawRequest(t)
	p, refusal := m.planner.Plan(m.now, r)
	wantKind := expectedRefusal(r)
	if refusal != nil {
		assert.Equal(t, refusal.Kind, wantKind)
		assert.Equal(t, refusal.RunState, api.RunStateNotRun)
		return
	}
	assert.Equal(t, wantKind, errkind.Kind(""))
	m.checkPlan(t, r, p)
	m.checkNext(t, p)
	later, refusal := m.planner.Plan(m.now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "later"))*time.Second), r)
	assert.Assert(t, refusal == nil)
	if !p.IsExploration && !later.IsExploration {
		assert.Assert(t, later.ExpectedCost >= p.ExpectedCost-1e-9, "cost fell from %v to %v without new ratings", p.ExpectedCost, later.ExpectedCost)
	}
}

// checkNext checks the decision on a random answer of the first stage.
func (m *plannerMachine) checkNext(t *rapid.T, p Plan) {
	result := StageResult{
		Confidence: rapid.Float64Range(0, 1).Draw(t, "confidence"),
		Remaining:  time.Duration(rapid.IntRange(-10, 60_000).Draw(t, "left")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "rated") {
		score := rapid.Float64Range(0, 1).Draw(t, "score")
		result.Rating = &score
	}
	d := m.planner.Next(m.now, p, 0, result)
	if !d.Accept {
		assert.Equal(t, d.Stage, 1)
		assert.Assert(t, p.Stages[1].MaxDuration <= result.Remaining, "escalated to a stage that exceeds the remaining time")
		assert.Assert(t, result.Rating != nil || result.Confidence < p.Stages[0].AcceptConfidence, "escalated an unrated answer above the acceptance threshold")
		return
	}
	confident := result.Rating == nil && result.Confidence >= p.Stages[0].AcceptConfidence
	canEscalate := len(p.Stages) == 2 && p.Stages[1].MaxDuration <= result.Remaining
	assert.Assert(t, confident || result.Rating != nil || !canEscalate, "accepted an answer below the threshold although the next stage fits the remaining time")
	assert.Assert(t, m.planner.Next(m.now, p, len(p.Stages)-1, result).Accept, "the answer of the last stage was not accepted")
}

// Observe records up to 30 random answers.
func (m *plannerMachine) Observe(t *rapid.T) {
	o := Observation{
		Class:        m.class,
		Version:      rapid.SampledFrom(fuzzVersions).Draw(t, "version"),
		Confidence:   rapid.Float64Range(-0.5, 1.5).Draw(t, "confidence"),
		Escalated:    rapid.Bool().Draw(t, "escalated"),
		RatingIsLate: rapid.Bool().Draw(t, "late"),
	}
	if rapid.Bool().Draw(t, "later stage") {
		o.PreviousVersion = rapid.SampledFrom(fuzzVersions).Draw(t, "previous")
		o.PreviousConfidence = rapid.Float64Range(0, 1).Draw(t, "previous confidence")
	}
	for range rapid.IntRange(1, 30).Draw(t, "times") {
		o.Rating = nil
		if rapid.Bool().Draw(t, "rated") {
			score := rapid.Float64Range(-0.2, 1.2).Draw(t, "score")
			o.Rating = &score
			m.ratings++
		}
		m.planner.Observe(m.now, o)
	}
}

// Wait advances the time by up to one hour.
func (m *plannerMachine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second)
}

// Check checks the invariants of the estimates and the margin; rapid calls it after
// every action.
func (m *plannerMachine) Check(t *rapid.T) {
	effectiveRatings := 0.0
	for _, v := range fuzzVersions {
		e := m.planner.Estimator().Estimate(m.now, "c", v)
		assert.Assert(t, e.Mean >= 0 && e.Mean <= 1 && e.Lower >= 0 && e.Lower <= 1, "estimate out of range: %+v", e)
		effectiveRatings += e.EffectiveRatings
	}
	assert.Assert(t, effectiveRatings <= float64(m.ratings)+1e-3, "%v effective ratings from %d ratings", effectiveRatings, m.ratings)
	controller := m.planner.classStateFor("c").margin
	assert.Assert(t, controller.margin >= m.planner.opts.MinMargin && controller.margin <= m.planner.opts.MaxMargin)
}

// Guards against plans that violate the candidate list, the deadline or the cost
// ceiling, against wrong errors, against plans that get cheaper without new ratings
// and against estimates outside their range, for random sequences of calls.
func TestPlannerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newPlannerMachine(t)))
	})
}
