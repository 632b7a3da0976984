package cascade_test

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/policybench"
)

// TestMain sets a fixed rapid seed for reproducible runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// plannerTrace is a recorded sequence of events with expected outcomes, decoded from
// a file in testdata.
type plannerTrace struct {
	Description string
	Class       api.Class
	Candidates  []cascade.Candidate
	Priors      map[string][2]float64
	Events      []plannerEvent
}

// plannerEvent holds one event: one of Plan, Next and Observe is set. At is in
// milliseconds.
type plannerEvent struct {
	At      int
	Plan    *plannerRequest
	Next    *plannerResult
	Observe *plannerObservation
}

type plannerRequest struct {
	PromptTokens, MaxTokens, RemainingMs int
	// Want lists the versions of the expected stages. WantRefusal is the kind of the
	// expected error.
	Want        []string
	WantRefusal string
}

type plannerResult struct {
	Stage       int
	Confidence  float64
	Rating      *float64
	RemainingMs int
	WantAccept  bool
	WantReason  cascade.Reason
}

type plannerObservation struct {
	Version    string
	Confidence float64
	Rating     *float64
	Escalated  bool
	Times      int
}

// Guards against changes of the planner that alter plans or decisions for recorded
// sequences of events.
func TestRecordedPlannerTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			assert.NilError(t, err)
			var trace plannerTrace
			assert.NilError(t, json.Unmarshal(raw, &trace))
			replayPlanner(t, trace)
		})
	}
}

func replayPlanner(t *testing.T, trace plannerTrace) {
	// Exploration is practically off, because the recorded outcomes contain none.
	p := cascade.NewPlanner(cascade.Options{MaxExploreShare: 1e-12}, rand.New(rand.NewPCG(1, 1)))
	for version, prior := range trace.Priors {
		p.Estimator().SetPrior(version, prior[0], prior[1])
	}
	var plan cascade.Plan
	for _, e := range trace.Events {
		now := policybench.Epoch.Add(time.Duration(e.At) * time.Millisecond)
		switch {
		case e.Plan != nil:
			plan = checkPlannedStages(t, p, now, trace, *e.Plan)
		case e.Next != nil:
			d := p.Next(now, plan, e.Next.Stage, cascade.StageResult{
				Confidence: e.Next.Confidence, Rating: e.Next.Rating, Remaining: time.Duration(e.Next.RemainingMs) * time.Millisecond,
			})
			assert.Equal(t, d.Accept, e.Next.WantAccept, "at %d", e.At)
			assert.Equal(t, d.Reason, e.Next.WantReason, "at %d", e.At)
		case e.Observe != nil:
			for range e.Observe.Times {
				p.Observe(now, cascade.Observation{
					Class: &trace.Class, Version: e.Observe.Version, Confidence: e.Observe.Confidence, Rating: e.Observe.Rating, Escalated: e.Observe.Escalated,
				})
			}
		}
	}
}

func checkPlannedStages(t *testing.T, p *cascade.Planner, now time.Time, trace plannerTrace, r plannerRequest) cascade.Plan {
	plan, refusal := p.Plan(now, cascade.PlanRequest{
		Class: &trace.Class, Candidates: trace.Candidates,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
	})
	if r.WantRefusal != "" {
		assert.Assert(t, refusal != nil)
		assert.Equal(t, string(refusal.Kind), r.WantRefusal)
		return plan
	}
	assert.Assert(t, refusal == nil, "%v", refusal)
	var got []string
	for _, s := range plan.Stages {
		got = append(got, s.Version)
	}
	assert.Check(t, slices.Equal(got, r.Want), "at %v: stages %v, want %v, lower quality bound %.3f", now.Sub(policybench.Epoch), got, r.Want, plan.QualityLowerBound)
	return plan
}
