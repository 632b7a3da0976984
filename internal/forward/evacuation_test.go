package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func evacuationUpdate(revision int64, full bool, domains ...string) *Update {
	u := &Update{Revision: revision, Full: full}
	for _, d := range domains {
		u.Evacuations = append(u.Evacuations, EvacuationChange{FailureDomain: d})
	}
	return u
}

// Guards against an order that is forgotten while it is in force: by a list that repeats it, beside
// another order, and by a store that comes back from a copy without it.
func TestEvacuationsFollowOrders(t *testing.T) {
	e := NewEvacuations(2 * time.Second)
	began, ended := e.Apply(0, evacuationUpdate(10, true))
	assert.Check(t, began == nil && ended == nil)
	began, _ = e.Apply(0, evacuationUpdate(11, false, "a"))
	assert.DeepEqual(t, began, []string{"a"})
	began, _ = e.Apply(0, evacuationUpdate(12, false, "b", "unknown"))
	assert.DeepEqual(t, began, []string{"b", "unknown"})
	began, ended = e.Apply(0, evacuationUpdate(13, true, "a", "b"))
	assert.Check(t, began == nil)
	assert.DeepEqual(t, ended, []string{"unknown"})

	older := EraRevision(1, 5)
	_, ended = e.Apply(time.Second, evacuationUpdate(older, true, "b"))
	assert.Check(t, ended == nil, "an order that an older copy lacks ended at once: %v", ended)
	assert.Check(t, e.Contains("a"))
	began, _ = e.Apply(2*time.Second, evacuationUpdate(EraRevision(1, 6), false, "a"))
	assert.Check(t, began == nil, "an order that is written again is a new one")
	assert.Check(t, e.Expire(10*time.Second) == nil)
	assert.DeepEqual(t, e.Domains(), []string{"a", "b"})

	_, ended = e.Apply(11*time.Second, &Update{Revision: EraRevision(1, 7), Evacuations: []EvacuationChange{{FailureDomain: "b", Removed: true}}})
	assert.DeepEqual(t, ended, []string{"b"})
	_, ended = e.Apply(12*time.Second, evacuationUpdate(EraRevision(2, 3), true))
	assert.Check(t, ended == nil)
	assert.Check(t, e.Expire(13900*time.Millisecond) == nil)
	assert.DeepEqual(t, e.Expire(14*time.Second), []string{"a"})
}

// Guards against requests to an evacuated failure domain by any way to a worker: the least loaded one,
// a cached prompt, the rendezvous worker of a part, and the only one that is left.
func TestEvacuatedWorkersGetNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := NewPlacer(PlacerOptions{FailureDomain: "a"})
	list := []Worker{
		{ID: "a1", Service: "svc", FailureDomain: "a"},
		{ID: "a2", Service: "svc", FailureDomain: "a"},
		{ID: "b1", Service: "svc", FailureDomain: "b"},
	}
	p.SetWorkers(list)
	prompt := []PromptPart{{ID: 7, Tokens: 6000}, {ID: 8, Tokens: 100}}
	for range 20 {
		p.RecordStart(0, "a1", "", prompt, 0).End()
	}
	p.SetEvacuated([]string{"a"})
	p.RecordStart(0, "b1", "", nil, 0)
	for range 100 {
		placed, ok := p.Pick(0, WorkerQuery{Service: "svc", Prompt: prompt}, rng)
		assert.Assert(t, ok && placed.Worker.ID == "b1", "placed at %q", placed.Worker.ID)
	}
	p.SetWorkers(append(list, Worker{ID: "a3", Service: "svc", FailureDomain: "a"}))
	placed, _ := p.Pick(0, WorkerQuery{Service: "svc"}, rng)
	assert.Equal(t, placed.Worker.ID, "b1", "a worker that is added during the evacuation got a request")
	_, ok := p.Pick(0, WorkerQuery{Service: "svc", Exclude: []string{"b1"}}, rng)
	assert.Check(t, !ok)

	p.SetEvacuated([]string{"a", "b"})
	_, ok = p.Pick(0, WorkerQuery{Service: "svc"}, rng)
	assert.Check(t, !ok && p.AllEvacuated("svc"))
	p.SetEvacuated(nil)
	_, ok = p.Pick(0, WorkerQuery{Service: "svc"}, rng)
	assert.Check(t, ok && !p.AllEvacuated("svc"))
}

// Guards against an order that ends at once at a gateway behind a relay when the store comes back from a copy
// without it: the relay passes the list on as a removal.
func TestRestoredStoreEndsNoOrderBehindARelay(t *testing.T) {
	e := NewEvacuations(2 * time.Second)
	e.Apply(0, evacuationUpdate(10, true, "a"))
	removal := &Update{Revision: EraRevision(1, 5), Evacuations: []EvacuationChange{{FailureDomain: "a", Removed: true}}}
	_, ended := e.Apply(time.Second, removal)
	assert.Check(t, ended == nil && e.Contains("a"), "ended %v", ended)
	e.Apply(2*time.Second, evacuationUpdate(EraRevision(1, 6), false, "a"))
	assert.Check(t, e.Expire(10*time.Second) == nil, "an order that is written again ended")
	removal.Revision = EraRevision(1, 7)
	_, ended = e.Apply(11*time.Second, removal)
	assert.DeepEqual(t, ended, []string{"a"})
}
