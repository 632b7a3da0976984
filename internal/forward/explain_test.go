package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drawnPlacer is a process in a state that is drawn from a seed.
type drawnPlacer struct {
	*Placer
	rng *rand.Rand
	now Elapsed
}

func drawPlacer(seed uint64) *drawnPlacer {
	d := &drawnPlacer{rng: rand.New(rand.NewPCG(seed, 11))}
	d.Placer = NewPlacer(PlacerOptions{FailureDomain: "a", LeavingIsSet: seed%2 == 0, MinGateways: 4})
	var list []Worker
	for i := range 3 + d.rng.IntN(60) {
		list = append(list, Worker{ID: fmt.Sprintf("w%d", i), Service: "s", Version: fmt.Sprintf("v%d", d.rng.IntN(2)), FailureDomain: string(rune('a' + d.rng.IntN(3))), Slots: 8})
	}
	d.SetWorkers(list)
	d.SetColdStarts(0, map[string]ColdStart{"s": {Duration: time.Second, PerSecond: 17}}, d.rng.Float64)
	d.SetUrgentRequests(map[string]UrgentRequests{"s": {Priority: 0, Target: time.Second}})
	if d.rng.IntN(2) == 0 {
		d.markCascading("s")
	}
	if d.rng.IntN(4) == 0 {
		d.SetEvacuated([]string{string(rune('a' + d.rng.IntN(3)))})
	}
	for range 40 {
		d.step(list[d.rng.IntN(len(list))].ID)
	}
	return d
}

// step lets something happen at a worker.
func (d *drawnPlacer) step(id string) {
	d.now += time.Duration(d.rng.IntN(100)) * time.Millisecond
	switch d.rng.IntN(8) {
	case 0:
		d.RecordLoad(d.now, id, Load{Running: d.rng.IntN(8), Waiting: d.rng.IntN(4), Slots: 8, Pace: float64(d.rng.IntN(2)) * (0.5 + d.rng.Float64())})
	case 1:
		d.RecordFailure(d.now, id)
	case 2:
		d.RecordCold(d.now, id, time.Second, d.rng.Float64())
	case 3:
		d.RecordRateLimit(d.now, d.now, id, 2, true, d.rng.Float64())
	case 4:
		load := d.rng.Float64()
		d.SetPeerLoads(d.now, 4, func(id string) float64 { return load * float64(id[len(id)-1]%4) })
		d.SetPeerDemand(d.now, 4, func(string) float64 { return 10 })
	case 5:
		d.SetShare(id, 0.5)
	default:
		q := d.query()
		if placed, ok := d.Pick(d.now, q, d.rng); ok {
			in := d.RecordStart(d.now, placed.Worker.ID, q.Model, q.Prompt, placed.CachedTokens)
			in.AnswerStarted(d.now + 30*time.Millisecond)
		}
	}
}

func (d *drawnPlacer) query() WorkerQuery {
	q := WorkerQuery{Service: "s", Route: "r", Priority: d.rng.IntN(3), TargetLeft: time.Second, Bytes: d.rng.IntN(9000), Heavy: d.statsFor("s").hasCascades && d.rng.IntN(2) == 0}
	if d.rng.IntN(3) > 0 {
		q.Prompt = []PromptPart{{ID: uint64(d.rng.IntN(5)), Tokens: 2000}, {ID: 100 + uint64(d.rng.IntN(9)), Tokens: 3000}, {ID: d.rng.Uint64(), Tokens: 200}} //nolint:gosec // small
	}
	if d.rng.IntN(3) == 0 {
		q.Allowed = func(version string) bool { return version == "v1" }
	}
	if d.rng.IntN(4) == 0 {
		q.Exclude = []string{"w0", "w1"}
	}
	return q
}

// Guards against an explanation that differs from the decision, against workers that it leaves out or lists
// twice, and against a question that changes a later decision: of two processes in the same state, one is asked
// before each of ten decisions.
func TestExplanationIsTheDecision(t *testing.T) {
	decisions := 0
	for seed := range uint64(1000) {
		asked, other := drawPlacer(seed), drawPlacer(seed)
		for range 10 {
			draw := asked.rng.Uint64()
			assert.Equal(t, other.rng.Uint64(), draw)
			q := asked.query()
			other.query()
			e := asked.Explain(asked.now, q, rand.New(rand.NewPCG(draw, 1)))
			got, ok := asked.Pick(asked.now, q, rand.New(rand.NewPCG(draw, 1)))
			want, wantOK := other.Pick(other.now, q, rand.New(rand.NewPCG(draw, 1)))
			assert.Equal(t, got, want, "seed %d: the question changed the decision", seed)
			assert.Equal(t, ok, wantOK)
			assert.Equal(t, e.Found, ok, "seed %d", seed)
			assert.Equal(t, e.Placement, got, "seed %d", seed)
			assert.Equal(t, len(e.Candidates)+len(e.Excluded), len(asked.services["s"]))
			if ok {
				in, otherIn := asked.RecordStart(asked.now, got.Worker.ID, q.Model, q.Prompt, got.CachedTokens), other.RecordStart(other.now, got.Worker.ID, q.Model, q.Prompt, got.CachedTokens)
				in.AnswerStarted(asked.now + 20*time.Millisecond)
				otherIn.AnswerStarted(other.now + 20*time.Millisecond)
			}
			asked.now += 30 * time.Millisecond
			other.now += 30 * time.Millisecond
			decisions++
		}
	}
	assert.Equal(t, decisions, 10_000)
}

// Guards against a worker that is left out for another reason than the one that is named.
func TestExclusionsNameTheirRule(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{
		{ID: "evacuated", Service: "s", FailureDomain: "b"},
		{ID: "cold", Service: "s"},
		{ID: "leaving", Service: "s"},
		{ID: "pausing", Service: "s"},
		{ID: "limited", Service: "s"},
		{ID: "tried", Service: "s"},
		{ID: "version", Service: "s", Version: "v2"},
		{ID: "free", Service: "s"},
	})
	p.SetColdStarts(0, map[string]ColdStart{"s": {Duration: time.Second, PerSecond: 1}}, func() float64 { return 0 })
	p.SetEvacuated([]string{"b"})
	p.RecordCold(0, "cold", time.Second, 0)
	p.RecordLeaving(0, "leaving")
	p.RecordPause(0, "pausing", time.Second)
	p.RecordRateLimit(0, 0, "limited", 1, true, 0)
	q := WorkerQuery{Service: "s", Exclude: []string{"tried"}, Allowed: func(v string) bool { return v != "v2" }}
	e := p.Explain(0, q, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, e.Worker.ID, "free")
	assert.Equal(t, len(e.Excluded), 7)
	for _, x := range e.Excluded {
		assert.Equal(t, string(x.Rule), x.Worker.ID)
	}
}
