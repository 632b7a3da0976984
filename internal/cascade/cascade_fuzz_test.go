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

// machine drives a planner and keeps what a simple oracle needs.
type machine struct {
	planner *Planner
	now     time.Time
	class   *api.Class
	ratings int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{planner: NewPlanner(Options{}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))), now: time.Unix(1000, 0)}
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

func (m *machine) request(t *rapid.T) PlanRequest {
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

// expectedRefusal is the oracle of refusals: the planner has seen no answer
// lengths, so it expects half of MaxTokens.
func expectedRefusal(r PlanRequest) errkind.Kind {
	affordable := false
	for _, c := range r.Candidates {
		if r.Class.CostCeiling > 0 && c.CostPerKiloToken*float64(r.PromptTokens+r.MaxTokens)/1000 > r.Class.CostCeiling {
			continue
		}
		affordable = true
		if milliseconds(c.WaitMs+c.FirstTokenMs+c.TokenMs*float64(r.MaxTokens)/2) <= r.Remaining {
			return ""
		}
	}
	if affordable {
		return errkind.DeadlineHopeless
	}
	return errkind.NoCandidate
}

func (m *machine) checkPlan(t *rapid.T, r PlanRequest, p Plan) {
	var need time.Duration
	cost := 0.0
	seen := map[string]bool{}
	for _, s := range p.Stages {
		i := slices.IndexFunc(r.Candidates, func(c Candidate) bool { return c.Version == s.Version })
		assert.Assert(t, i >= 0 && !seen[s.Version], "stage %q is no candidate or planned twice", s.Version)
		seen[s.Version] = true
		need += s.Need
		cost += s.MaxCost
	}
	assert.Assert(t, len(p.Stages) >= 1)
	assert.Assert(t, r.Class.CostCeiling == 0 || cost <= r.Class.CostCeiling, "cost %v above the ceiling", cost)
	assert.Assert(t, len(p.Stages) == 1 || need <= r.Remaining, "stages need %v of %v", need, r.Remaining)
	assert.Equal(t, p.Stages[len(p.Stages)-1].AcceptConfidence, 0.0)
}

// Plan checks a plan against the oracle and that the passing of time alone
// never makes it cheaper.
func (m *machine) Plan(t *rapid.T) {
	r := m.request(t)
	p, refusal := m.planner.Plan(m.now, r)
	want := expectedRefusal(r)
	if refusal != nil {
		assert.Equal(t, refusal.Kind, want)
		assert.Equal(t, refusal.RunState, api.RunStateNotRun)
		return
	}
	assert.Equal(t, want, errkind.Kind(""))
	m.checkPlan(t, r, p)
	m.checkNext(t, p)
	later, refusal := m.planner.Plan(m.now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "later"))*time.Second), r)
	assert.Assert(t, refusal == nil)
	if !p.Explore && !later.Explore {
		assert.Assert(t, later.Cost >= p.Cost-1e-9, "cost fell from %v to %v without a rating", p.Cost, later.Cost)
	}
}

func (m *machine) checkNext(t *rapid.T, p Plan) {
	res := StageResult{
		Confidence: rapid.Float64Range(0, 1).Draw(t, "confidence"),
		Remaining:  time.Duration(rapid.IntRange(-10, 60_000).Draw(t, "left")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "rated") {
		score := rapid.Float64Range(0, 1).Draw(t, "score")
		res.Rating = &score
	}
	d := m.planner.Next(m.now, p, 0, res)
	if !d.Accept {
		assert.Equal(t, d.Stage, 1)
		assert.Assert(t, p.Stages[1].Need <= res.Remaining, "escalated without time")
		assert.Assert(t, res.Rating != nil || res.Confidence < p.Stages[0].AcceptConfidence, "escalated a confident answer")
		return
	}
	confident := res.Rating == nil && res.Confidence >= p.Stages[0].AcceptConfidence
	canEscalate := len(p.Stages) == 2 && p.Stages[1].Need <= res.Remaining
	assert.Assert(t, confident || res.Rating != nil || !canEscalate, "accepted an unsure answer with time left")
	assert.Assert(t, m.planner.Next(m.now, p, len(p.Stages)-1, res).Accept, "the last stage was not accepted")
}

// Observe records an answer.
func (m *machine) Observe(t *rapid.T) {
	o := Observation{
		Class:      m.class,
		Version:    rapid.SampledFrom(fuzzVersions).Draw(t, "version"),
		Confidence: rapid.Float64Range(-0.5, 1.5).Draw(t, "confidence"),
		Escalated:  rapid.Bool().Draw(t, "escalated"),
		Late:       rapid.Bool().Draw(t, "late"),
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

// Wait lets time pass.
func (m *machine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second)
}

// Check holds after every step.
func (m *machine) Check(t *rapid.T) {
	evidence := 0.0
	for _, v := range fuzzVersions {
		e := m.planner.Estimator().Estimate(m.now, "c", v)
		assert.Assert(t, e.Mean >= 0 && e.Mean <= 1 && e.Lower >= 0 && e.Lower <= 1, "estimate %+v", e)
		evidence += e.Evidence
	}
	assert.Assert(t, evidence <= float64(m.ratings)+1e-3, "evidence %v from %d ratings", evidence, m.ratings)
	c := m.planner.class("c").control
	assert.Assert(t, c.margin >= m.planner.opts.MinMargin && c.margin <= m.planner.opts.MaxMargin)
}

// Guards against plans outside the candidates, the deadline or the ceiling,
// wrong refusals, plans that get cheaper without ratings, and estimates that
// leave their range, in any order of events.
func TestPlannerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newMachine(t)))
	})
}
