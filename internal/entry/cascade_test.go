package entry

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// newCascadeCore returns a core with a cheap version that reaches the quality
// target only if its low-confidence answers are escalated to the expensive
// version.
func newCascadeCore(t *testing.T, now time.Time, weighting api.Weighting) *Core {
	t.Helper()
	raw, err := json.Marshal(api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: manifest.HashAPIKey("operator")}},
		Customers:     []api.Customer{{Name: "north", KeyHashes: []string{manifest.HashAPIKey("north")}, Models: []string{"small", "large"}}},
		Models: []api.Model{
			{Name: "small", Versions: []api.Version{{Name: "small-1", Phase: api.PhaseServing, CostPerKiloToken: 1, PriorQuality: 0.8, PriorWeight: 200}}},
			{Name: "large", Versions: []api.Version{{Name: "large-1", Phase: api.PhaseServing, CostPerKiloToken: 20, PriorQuality: 0.99, PriorWeight: 200}}},
		},
		Classes: []api.Class{{Name: "lookup", QualityTarget: 0.9, DeadlineMs: 60000, Weighting: weighting, MaxOutputTokens: 8}},
	})
	assert.NilError(t, err)
	snapshot, err := manifest.Compile(raw, api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	c := NewCore(Config{Self: api.Member{Instance: "entry-1", Incarnation: 1, FailureDomain: "fd-a"}}, rand.New(rand.NewPCG(1, 1)))
	c.Handle(now, SnapshotApplied{Snapshot: snapshot})
	c.Handle(now, MembersChanged{Members: []api.Member{{
		Instance: "s", Incarnation: 2, Role: string(api.RoleSidecar), FailureDomain: "fd-a", Address: "s", BackendServer: "b",
		Versions: []string{"small-1", "large-1"}, Slots: 8, State: api.MemberStateReady,
	}}})
	c.trainPlanner(now)
	return c
}

// trainPlanner gives the planner ratings by which low confidence of the cheap
// version means a bad answer.
func (c *Core) trainPlanner(now time.Time) {
	class, _ := c.snapshot.Class("lookup")
	for i := range 2000 {
		confidence, score := 0.9, 1.0
		if i%5 == 0 {
			confidence, score = 0.2, 0.0
		}
		c.planner.Observe(now, observation(class, "small-1", confidence, score))
		c.planner.Observe(now, observation(class, "large-1", 0.95, 1))
	}
}

func observation(class *api.Class, version string, confidence, score float64) cascade.Observation {
	return cascade.Observation{Class: class, Version: version, Confidence: confidence, Rating: &score, Escalated: confidence < 0.5, OutputTokens: 8, MaxTokens: 8}
}

func attemptEnded(start StartAttempt, result api.RunResult) AttemptEnded {
	result.Request, result.Attempt = start.Params.Request, start.Params.Attempt
	return AttemptEnded{Request: result.Request, Attempt: result.Attempt, Result: result}
}

func findAnswer(effects []Effect) (Answer, bool) {
	for _, e := range effects {
		if a, ok := e.(Answer); ok {
			return a, true
		}
	}
	return Answer{}, false
}

// Guards against a low-confidence answer being delivered instead of escalated,
// and, for a class that weighs latency, against that answer being lost when the
// next stage fails.
func TestEscalationAndFallback(t *testing.T) {
	for _, c := range []struct {
		weighting api.Weighting
		answered  bool
	}{{api.WeightingLatency, true}, {api.WeightingExposure, false}} {
		now := time.Unix(1000, 0)
		core := newCascadeCore(t, now, c.weighting)
		request := newArrival("a")
		request.Model, request.Timeout = "auto", 0
		first, ok := findStartAttempt(core.Handle(now, request))
		assert.Assert(t, ok)
		assert.Equal(t, first.Params.Version, "small-1")
		effects := core.Handle(now, attemptEnded(first, api.RunResult{
			RunState: api.RunStateRan, Text: "low confidence", Confidence: 0.2, InputTokens: 1, OutputTokens: 8,
		}))
		_, early := findAnswer(effects)
		assert.Assert(t, !early, "the low-confidence answer was delivered")
		second, ok := findStartAttempt(effects)
		assert.Assert(t, ok, "no second stage")
		assert.Equal(t, second.Params.Version, "large-1")
		assert.Assert(t, second.Params.Attempt > first.Params.Attempt)
		a, ok := findAnswer(core.Handle(now, attemptEnded(second, api.RunResult{
			Kind: string(errkind.NoCandidate), RunState: api.RunStateNotRun,
		})))
		assert.Assert(t, ok)
		assert.Equal(t, a.Err == nil, c.answered, "%s: %v", c.weighting, a.Err)
		if c.answered {
			assert.Equal(t, a.Text, "low confidence")
			assert.Equal(t, a.Version, "small-1")
		}
	}
}
