package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/errkind"
)

// A request must take the longest prefix of its host, whatever the order of the routes.
func TestMatchTakesLongestPrefix(t *testing.T) {
	routes := NewRoutes([]Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/"},
	})
	for path, want := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/x/?q=/x/y/": "short"} {
		assert.Equal(t, routes.Match("a.example:80", path).Name, want)
	}
	assert.Assert(t, routes.Match("a.example", "/y/") == nil)
	assert.Assert(t, routes.Match("c.example", "/x/") == nil)
}

// Splits must get their weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"b", 10}}}
	assert.Equal(t, r.PickService(0.89), "a")
	assert.Equal(t, r.PickService(0.91), "b")
	assert.Equal(t, (&Route{}).PickService(0.5), "")
}

// A key that the configuration does not hold, or knowledge of the keys that is too old,
// must not let a request run; anonymous routes need neither.
func TestAuthorize(t *testing.T) {
	c := &Config{HasCustomers: true, Customers: map[string]Customer{"k": {Name: "ada"}}}
	view := KeyView{Config: c, ConfirmedAt: 10 * time.Second}
	route := &Route{}
	customer, refusal := Authorize(view, route, "k", 12*time.Second, 3*time.Second)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, customer.Name, "ada")
	_, refusal = Authorize(view, route, "other", 12*time.Second, 3*time.Second)
	assert.Equal(t, refusal.Kind, errkind.Unauthenticated)
	_, refusal = Authorize(view, route, "k", 14*time.Second, 3*time.Second)
	assert.Equal(t, refusal.Kind, errkind.StoreUnavailable)
	_, refusal = Authorize(view, &Route{Anonymous: true}, "", time.Hour, 3*time.Second)
	assert.Assert(t, refusal == nil)
}

// The entries of workers that lapse while the store is away must stay in use until they
// had the time to come back; those that vanish at other times, or that were draining, must
// not.
func TestLapsedWorkersKeepServing(t *testing.T) {
	w := NewWorkers(2 * time.Second)
	a, b := Worker{ID: "a", Service: "s"}, Worker{ID: "b", Service: "s", Draining: true}
	w.Replace(0, []WorkerChange{{Worker: a}, {Worker: b}, {Worker: Worker{ID: "c", Service: "s"}}})
	w.Remove(time.Second, "c")
	assert.Equal(t, len(w.Usable(time.Second)), 1)
	w.StoreLost()
	w.StoreReached(10 * time.Second)
	w.Replace(10*time.Second, nil)
	assert.Equal(t, len(w.Usable(11*time.Second)), 1)
	w.Expire(12 * time.Second)
	assert.Equal(t, len(w.Usable(12*time.Second)), 0)
}

// A lapsed worker that comes back draining must get nothing.
func TestLapsedWorkerThatDrainsGetsNothing(t *testing.T) {
	w := NewWorkers(2 * time.Second)
	w.Replace(0, []WorkerChange{{Worker: Worker{ID: "a", Service: "s"}}})
	w.StoreLost()
	w.StoreReached(5 * time.Second)
	w.Replace(5*time.Second, nil)
	w.Put(Worker{ID: "a", Service: "s", Draining: true})
	assert.Equal(t, len(w.Usable(5*time.Second)), 0)
}

func fleet(n int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{ID: fmt.Sprint("w", i), Service: "s", Address: fmt.Sprint("a", i), Version: "v1", Slots: 8, FailureDomain: "d"}
	}
	return out
}

func newTestPlacer(n int) *Placer {
	p := NewPlacer(PlaceOptions{FailureDomain: "d"})
	p.SetWorkers(fleet(n))
	return p
}

// Requests must spread over the workers by the load that this process causes itself.
func TestPickSpreadsOwnRequests(t *testing.T) {
	p := newTestPlacer(4)
	rng := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range 40 {
		got, ok := p.Pick(0, Query{Service: "s"}, rng)
		assert.Assert(t, ok)
		p.Start(0, got.Worker.ID, "", nil)
		count[got.Worker.ID]++
	}
	for id, n := range count {
		assert.Equal(t, n, 10, "worker %s", id)
	}
}

// Two processes that know nothing of each other must gather requests with the same shared
// prompt part on the same few workers, as long as these are not overloaded.
func TestSharedPromptPartsAreGathered(t *testing.T) {
	seen := map[string]bool{}
	for process := range 8 {
		p := newTestPlacer(20)
		rng := rand.New(rand.NewPCG(uint64(process), 2))
		for request := range 3 {
			prompt := []PromptPart{{ID: 7, Tokens: 2000}, {ID: 8, Tokens: 4000}, {ID: uint64(100*process + request), Tokens: 10}}
			got, _ := p.Pick(0, Query{Service: "s", Prompt: prompt, Model: "m"}, rng)
			p.Start(0, got.Worker.ID, "m", prompt)
			p.End(got.Worker.ID, true)
			seen[got.Worker.ID] = true
		}
	}
	assert.Assert(t, len(seen) <= homes, "shared parts are read on %d workers", len(seen))
}

// A popular prompt part must not overload its home: beyond the allowance its requests go to
// the least loaded worker. The load is 60 requests at once for one part on 20 workers.
func TestPopularPartDoesNotOverloadItsHome(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(3, 2))
	count := map[string]int{}
	prompt := []PromptPart{{ID: 7, Tokens: 2000}, {ID: 8, Tokens: 10}}
	for range 60 {
		got, _ := p.Pick(0, Query{Service: "s", Prompt: prompt, Model: "m"}, rng)
		p.Start(0, got.Worker.ID, "m", prompt)
		count[got.Worker.ID]++
	}
	for id, n := range count {
		assert.Assert(t, n <= 3+4, "worker %s has %d of 60 requests", id, n)
	}
}

// Heavy requests must stay off the workers of the light pool while those of their own
// pool have room, so that quick answers do not wait behind them.
func TestHeavyRequestsKeepToTheirPool(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(4, 2))
	pools := map[bool]map[string]bool{true: {}, false: {}}
	for i := range 200 {
		heavy := i%2 == 0
		got, _ := p.Pick(0, Query{Service: "s", Heavy: heavy}, rng)
		p.Start(0, got.Worker.ID, "", nil)
		p.End(got.Worker.ID, true)
		if i > 0 {
			pools[heavy][got.Worker.ID] = true
		}
	}
	for id := range pools[true] {
		assert.Assert(t, !pools[false][id], "worker %s serves both", id)
	}
	assert.Equal(t, len(pools[false]), 5)
}

// Guards against a pool whose workers queue prompts while those of the other have none:
// each light request finds three prompts waiting at every worker of its own pool.
func TestFullPoolUsesTheOther(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(4, 3))
	p.sawHeavy("s")
	for id, s := range p.workers {
		load := Load{Running: 2, Slots: 64}
		if !s.heavy {
			load.Waiting = 3
		}
		p.Stated(0, id, load)
	}
	got, _ := p.Pick(0, Query{Service: "s"}, rng)
	assert.Assert(t, p.workers[got.Worker.ID].heavy)
}

// A worker that has not been heard of for long must not look idle: its last statement
// gives way to the mean of its pool.
func TestOldStatementGivesWayToMean(t *testing.T) {
	p := newTestPlacer(2)
	for range 200 {
		p.Stated(0, "w0", Load{Running: 20, Slots: 48})
		p.Stated(0, "w1", Load{Running: 20, Slots: 48})
	}
	p.Stated(0, "w1", Load{Running: 0, Slots: 48})
	assert.Assert(t, p.load(0, p.workers["w1"]) < 1)
	assert.Assert(t, p.load(time.Minute, p.workers["w1"]) > 15)
}

// Guards against an engine with a queue of unread prompts that is preferred to one which
// only has more answers under way: callers waited for the prompts. Plain workers have no
// prompts to read; each of their requests weighs the same.
func TestUnreadPromptsWeighMore(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 2))
	p := newTestPlacer(2)
	stated := func() {
		p.Stated(0, "w0", Load{Running: 4, Waiting: 8, Slots: 64})
		p.Stated(0, "w1", Load{Running: 16, Slots: 64})
	}
	stated()
	got, _ := p.Pick(0, Query{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w0")
	p.sawHeavy("s")
	stated()
	got, _ = p.Pick(0, Query{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w1")

	// An own request stops weighing when its answer begins, not when it ends.
	for range 8 {
		p.Start(0, "w1", "m", nil)
	}
	got, _ = p.Pick(0, Query{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w0")
	for range 8 {
		p.Began("w1")
	}
	got, _ = p.Pick(0, Query{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w1")
}

// A worker that starts again under its ID holds nothing of before.
func TestReborneWorkerHoldsNoPrompt(t *testing.T) {
	p := newTestPlacer(1)
	prompt := []PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 10}}
	p.Start(0, "w0", "m", prompt)
	rng := rand.New(rand.NewPCG(5, 2))
	got, _ := p.Pick(0, Query{Service: "s", Prompt: prompt, Model: "m"}, rng)
	assert.Equal(t, got.CachedTokens, 110)
	reborn := fleet(1)
	reborn[0].Born = 5
	p.SetWorkers(reborn)
	got, _ = p.Pick(0, Query{Service: "s", Prompt: prompt, Model: "m"}, rng)
	assert.Equal(t, got.CachedTokens, 0)
	assert.Equal(t, got.Load, 0.0)
}

// A decision must look at each worker once: its work grows with the fleet only that much.
func TestPickLooksAtEachWorkerOnce(t *testing.T) {
	p := newTestPlacer(900)
	got, _ := p.Pick(0, Query{Service: "s"}, rand.New(rand.NewPCG(6, 2)))
	assert.Equal(t, got.Candidates, 900)
}

// The number of own requests must never go below zero or drift, whatever the order of
// starts, ends and changes of the list.
func TestOwnRequestsNeverDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPlacer(3)
		own, begun := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				p.Start(0, id, "m", nil)
				own[id]++
			case 1:
				ofBegun := begun[id] > 0 && rapid.Bool().Draw(t, "begun")
				p.End(id, ofBegun)
				own[id] = max(own[id]-1, 0)
				if ofBegun {
					begun[id]--
				}
				begun[id] = min(begun[id], own[id])
			case 2:
				p.SetWorkers(fleet(3))
			case 3:
				p.Began(id)
				begun[id] = min(begun[id]+1, own[id])
			}
		}
		for id, n := range own {
			if p.workers[id].own != n {
				t.Fatalf("worker %s has %d requests, %d counted", id, n, p.workers[id].own)
			}
			if p.workers[id].begun != begun[id] {
				t.Fatalf("worker %s has begun %d answers, %d counted", id, begun[id], p.workers[id].begun)
			}
		}
	})
}

// Only proof or the nature of the request allows another attempt.
func TestRetryNeedsProofOrIdempotence(t *testing.T) {
	yes := func() bool { return true }
	base := Retry{MaxAttempts: 3, Remaining: time.Second, BudgetLeft: yes}
	for _, c := range []struct {
		outcome    Outcome
		idempotent bool
		runs       int
		want       bool
	}{
		{NotSent, false, 0, true},
		{NotRun, false, 0, true},
		{WrongWorker, false, 0, true},
		{Broken, false, 1, false},
		{FailedAnswer, false, 1, false},
		{Broken, true, 1, true},
		{FailedAnswer, true, 2, true},
		{Broken, true, 3, false},
		{Answered, true, 1, false},
	} {
		r := base
		r.Outcome, r.Idempotent, r.Runs = c.outcome, c.idempotent, c.runs
		assert.Equal(t, r.Again(1), c.want, "%+v", c)
	}
	late := base
	late.Outcome, late.Remaining = NotRun, time.Millisecond
	assert.Assert(t, !late.Again(0))
	spent := base
	spent.Outcome, spent.BudgetLeft = NotRun, func() bool { return false }
	assert.Assert(t, !spent.Again(0))
}

// While larger models answer within a small part of the time left, every doubtful answer
// is dropped for theirs.
func TestFastLargerModelsAreAskedAtFullConfidence(t *testing.T) {
	e := NewEscalator()
	for i := range 50 {
		now := time.Duration(i) * 100 * time.Millisecond
		e.Started(now, "r")
		e.Ended(now+200*time.Millisecond, now, "r", true)
	}
	assert.Equal(t, e.Confidence(5*time.Second, "r", time.Second), fullConfidence)
}

// When larger models cannot begin within the target, nothing is dropped for them; when
// they are fast again, they are used again.
func TestSlowLargerModelsAreNotAsked(t *testing.T) {
	e := NewEscalator()
	now := time.Duration(0)
	for range 50 {
		e.Started(now, "r")
		e.Ended(now+3*time.Second, now, "r", true)
		now += 100 * time.Millisecond
	}
	now += 3 * time.Second
	assert.Equal(t, e.Confidence(now, "r", time.Second), 0)
	assert.Equal(t, e.Confidence(now, "other", time.Second), fullConfidence)
	assert.Equal(t, e.Confidence(now+10*time.Second, "r", time.Second), fullConfidence)
	assert.Equal(t, e.Confidence(now, "other", -time.Second), 0)
}

// Requests that are still waiting must show a stall of the larger models before any of
// their answers does.
func TestWaitingRequestsShowStall(t *testing.T) {
	e := NewEscalator()
	for range 10 {
		e.Started(0, "r")
	}
	assert.Equal(t, e.Confidence(100*time.Millisecond, "r", time.Second), fullConfidence)
	assert.Equal(t, e.Confidence(2*time.Second, "r", time.Second), 0)
}

// A cascade ends at its last model and at an answer that states no confidence.
func TestNextModel(t *testing.T) {
	models := []string{"s", "m", "l"}
	next, ok := NextModel(models, 0, 20, 50)
	assert.Assert(t, ok)
	assert.Equal(t, next, 2)
	for _, c := range [][3]int{{0, 60, 50}, {2, 20, 50}, {0, -1, 50}} {
		_, ok := NextModel(models, c[0], c[1], c[2])
		assert.Assert(t, !ok, "%v", c)
	}
}

// Lost answers must be noticed within a few times the usual time, although a fifth of all
// answers is lost; a general slow-down must lengthen the wait, so that no storm of repeats
// begins.
func TestPatienceFollowsUsualTime(t *testing.T) {
	r := &Route{Name: "r", Kind: Stream, Target: 1500 * time.Millisecond}
	p := NewPatience()
	assert.Equal(t, p.Wait(r, false, 100), 4500*time.Millisecond)
	for i := range 500 {
		took := 200 * time.Millisecond
		if i%6 == 0 {
			took = p.Wait(r, false, 100)
		}
		p.Head("r", false, 100, took)
	}
	assert.Assert(t, p.Wait(r, false, 100) < 1200*time.Millisecond, "%v", p.Wait(r, false, 100))
	assert.Assert(t, p.Wait(r, false, 1000) > 2*p.Wait(r, false, 100))
	for range 100 {
		p.Head("r", false, 100, min(time.Second, p.Wait(r, false, 100)))
	}
	assert.Assert(t, p.Wait(r, false, 100) > 2*time.Second, "%v", p.Wait(r, false, 100))
	assert.Equal(t, p.Wait(r, true, 100), 4500*time.Millisecond)
}
