package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// capacityPlacer returns a process with two engines that accept 100 connections and hold 100,000 tokens.
// w1 has the lower load, and w2 room.
func capacityPlacer() *Placer {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{{ID: "w1", Service: "s"}, {ID: "w2", Service: "s"}})
	p.SetCapacities((&Config{Services: map[string]Service{"s": {MaxConnections: 100, Engine: &Engine{KVCapacity: 100_000}}}}).Capacities())
	p.statsFor("s").hasCascades = true
	p.RecordLoad(0, "w2", Load{Slots: 64, Pace: 1})
	for range 40 {
		p.RecordStart(0, "w2", "", nil, 0)
	}
	return p
}

// occupy sends n requests with a prompt to w1, whose answers start at once.
func occupy(p *Placer, n, tokens int) []*InFlight {
	var out []*InFlight
	for i := range n {
		f := p.RecordStart(0, "w1", "m", []PromptPart{{ID: uint64(i), Tokens: tokens}}, 0) //nolint:gosec // small
		f.AnswerStarted(time.Millisecond)
		out = append(out, f)
	}
	return out
}

// Guards against connections beyond those that a worker accepts from all gateways together, whichever way
// the requests are known, and against a worker without room that is never used.
func TestWorkerWithoutConnectionsIsAvoided(t *testing.T) {
	for name, use := range map[string]func(*Placer){
		"own":      func(p *Placer) { occupy(p, 100, 1) },
		"reported": func(p *Placer) { p.RecordLoad(0, "w1", Load{Running: 100, Slots: 64, Pace: 1}) },
		"both":     func(p *Placer) { occupy(p, 50, 1); p.RecordLoad(0, "w1", Load{Running: 100, Slots: 64, Pace: 1}) },
	} {
		p, rng := capacityPlacer(), rand.New(rand.NewPCG(1, 1))
		use(p)
		got, _ := p.Pick(0, WorkerQuery{Service: "s"}, rng)
		assert.Equal(t, got.Worker.ID, "w2", name)
		got, _ = p.Pick(0, WorkerQuery{Service: "s", Exclude: []string{"w2"}}, rng)
		assert.Equal(t, got.Worker.ID, "w1", name)
	}
}

// Guards against the memory of an engine that is filled beyond its size, which preempts requests or ends
// the worker, and against a request that holds its memory after its end.
func TestWorkerWithoutMemoryIsAvoided(t *testing.T) {
	p, rng := capacityPlacer(), rand.New(rand.NewPCG(1, 1))
	p.RecordLoad(0, "w1", Load{Slots: 64, Pace: 1})
	q := WorkerQuery{Service: "s", Prompt: []PromptPart{{ID: 1000, Tokens: 40_000}}}
	held := occupy(p, 2, 30_000)
	got, _ := p.Pick(0, q, rng)
	assert.Equal(t, got.Worker.ID, "w2")
	for _, f := range held {
		f.End()
	}
	got, _ = p.Pick(0, q, rng)
	assert.Equal(t, got.Worker.ID, "w1")
}

// Guards against limits that change the choice for a service whose workers do not state their pace.
func TestCapacityCountsOnlyWithAPace(t *testing.T) {
	p := capacityPlacer()
	p.statsFor("s").reportsPace = false
	occupy(p, 100, 1)
	got, _ := p.Pick(0, WorkerQuery{Service: "s"}, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, got.Worker.ID, "w1")
}

// Guards against rounding errors that add up until a worker without requests counts as full.
func TestIdleWorkerHoldsNoTokens(t *testing.T) {
	p := capacityPlacer()
	large, small := occupy(p, 1, 1<<62), occupy(p, 100, 600)
	for _, f := range append(large, small...) {
		f.End()
	}
	assert.Equal(t, p.workers["w1"].tokens, 0.0)
}

// Guards against refusals, which come at once, that are taken for answers that begin quickly, so that a full worker
// seems to have room.
func TestRefusalsSayNothingOfTheWait(t *testing.T) {
	p := capacityPlacer()
	for range 20 {
		p.RecordStart(0, "w1", "", nil, 0).AnswerStarted(200 * time.Millisecond)
	}
	before := p.statsFor("s").timePerRequest(0)
	for range 100 {
		f := p.RecordStart(time.Second, "w1", "", nil, 0)
		f.RefusalStarted(time.Second + time.Millisecond)
		f.End()
	}
	assert.Equal(t, p.statsFor("s").timePerRequest(0), before)
}
