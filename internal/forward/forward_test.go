package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Guards against a request that is matched to a shorter prefix of its host, depending on
// the order of the routes.
func TestMatchTakesLongestPrefix(t *testing.T) {
	routes := NewRouteTable([]Route{
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

// Guards against splits that do not get requests in proportion to their weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"b", 10}}}
	assert.Equal(t, r.PickService(0.89), "a")
	assert.Equal(t, r.PickService(0.91), "b")
	assert.Equal(t, (&Route{}).PickService(0.5), "")
}

// Guards against a request that runs with an unknown key, or with a key that was checked
// against a configuration that is too old, and against anonymous routes that ask for a key.
func TestAuthorize(t *testing.T) {
	c := &Config{HasCustomers: true, Customers: map[string]Customer{"k": {Name: "ada"}}}
	confirmed := ConfirmedConfig{Config: c, ConfirmedAt: 10 * time.Second}
	route := &Route{}
	bounds := AgeBounds{Accept: 3 * time.Second, Refuse: 2 * time.Second}
	customer, refusal := Authorize(confirmed, route, "k", 13*time.Second, bounds)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, customer.Name, "ada")
	_, refusal = Authorize(confirmed, route, "other", 12*time.Second, bounds)
	assert.Equal(t, refusal.Kind, errkind.Unauthenticated)
	_, refusal = Authorize(confirmed, route, "other", 12*time.Second+1, bounds)
	assert.Equal(t, refusal.Kind, errkind.StoreUnavailable)
	_, refusal = Authorize(confirmed, route, "k", 14*time.Second, bounds)
	assert.Equal(t, refusal.Kind, errkind.StoreUnavailable)
	_, refusal = Authorize(confirmed, &Route{Anonymous: true}, "", time.Hour, bounds)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, RefuseUnknownRoute(confirmed, 12*time.Second, bounds).Kind, errkind.UnknownRoute)
	assert.Equal(t, RefuseUnknownRoute(confirmed, 12*time.Second+1, bounds).Kind, errkind.StoreUnavailable)
}

// Guards against workers that are dropped because their entries expire while the store does
// not answer: they stay usable for the grace period. Workers whose entries disappear at
// other times, and draining workers, must not.
func TestWorkersRemovedInOutageStayUsable(t *testing.T) {
	w := NewWorkerList(2 * time.Second)
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

// Guards against a retained worker that registers again as draining and still gets
// requests.
func TestRetainedWorkerThatDrainsIsUnusable(t *testing.T) {
	w := NewWorkerList(2 * time.Second)
	w.Replace(0, []WorkerChange{{Worker: Worker{ID: "a", Service: "s"}}})
	w.StoreLost()
	w.StoreReached(5 * time.Second)
	w.Replace(5*time.Second, nil)
	w.Put(Worker{ID: "a", Service: "s", Draining: true})
	assert.Equal(t, len(w.Usable(5*time.Second)), 0)
}

func testWorkers(n int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{ID: fmt.Sprint("w", i), Service: "s", Address: fmt.Sprint("a", i), Version: "v1", Slots: 8, FailureDomain: "d"}
	}
	return out
}

func newTestPlacer(n int) *Placer {
	p := NewPlacer(PlacerOptions{FailureDomain: "d"})
	p.SetWorkers(testWorkers(n))
	return p
}

// Guards against requests that concentrate on some workers although this process knows its
// own load on each.
func TestPickSpreadsOwnRequests(t *testing.T) {
	p := newTestPlacer(4)
	rng := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range 40 {
		got, ok := p.Pick(0, WorkerQuery{Service: "s"}, rng)
		assert.Assert(t, ok)
		p.RecordStart(0, got.Worker.ID, "", nil, 0)
		count[got.Worker.ID]++
	}
	for id, n := range count {
		assert.Equal(t, n, 10, "worker %s", id)
	}
}

// Guards against processes that spread requests with the same shared prompt part over many
// workers: without exchanging any data, they must choose the same few, as long as these are
// not overloaded.
func TestSharedPromptPartsAreGathered(t *testing.T) {
	seen := map[string]bool{}
	for process := range 8 {
		p := newTestPlacer(20)
		rng := rand.New(rand.NewPCG(uint64(process), 2))
		for request := range 3 {
			prompt := []PromptPart{{ID: 7, Tokens: 2000}, {ID: 8, Tokens: 4000}, {ID: uint64(100*process + request), Tokens: 10}}
			got, _ := p.Pick(0, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
			p.RecordStart(0, got.Worker.ID, "m", prompt, 0).End()
			seen[got.Worker.ID] = true
		}
	}
	assert.Assert(t, len(seen) <= rendezvousReplicas, "shared parts are cached on %d workers", len(seen))
}

// Guards against a popular prompt part that overloads its rendezvous workers: requests
// beyond the allowance go to the least loaded worker. The load is 60 concurrent requests
// for one part on 20 workers.
func TestPopularPartDoesNotOverloadItsHome(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(3, 2))
	count := map[string]int{}
	prompt := []PromptPart{{ID: 7, Tokens: 2000}, {ID: 8, Tokens: 10}}
	for range 60 {
		got, _ := p.Pick(0, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
		p.RecordStart(0, got.Worker.ID, "m", prompt, 0)
		count[got.Worker.ID]++
	}
	for id, n := range count {
		assert.Assert(t, n <= 3+4, "worker %s has %d of 60 requests, want at most 7", id, n)
	}
}

// Guards against heavy requests on workers of the light pool while the heavy pool has
// capacity: fast answers would wait behind them.
func TestHeavyRequestsStayInTheirPool(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(4, 2))
	pools := map[bool]map[string]bool{true: {}, false: {}}
	for i := range 200 {
		heavy := i%2 == 0
		got, _ := p.Pick(0, WorkerQuery{Service: "s", Heavy: heavy}, rng)
		p.RecordStart(0, got.Worker.ID, "", nil, 0).End()
		if i > 0 {
			pools[heavy][got.Worker.ID] = true
		}
	}
	for id := range pools[true] {
		assert.Assert(t, !pools[false][id], "worker %s serves light and heavy requests", id)
	}
	assert.Equal(t, len(pools[false]), 5)
}

// Guards against a pool whose workers queue prompts while the other pool has no queue:
// every worker of the light pool has three prompts waiting.
func TestFullPoolUsesTheOther(t *testing.T) {
	p := newTestPlacer(20)
	rng := rand.New(rand.NewPCG(4, 3))
	p.markCascading("s")
	for id, s := range p.workers {
		load := Load{Running: 2, Slots: 64}
		if !s.heavy {
			load.Waiting = 3
		}
		p.RecordLoad(0, id, load)
	}
	got, _ := p.Pick(0, WorkerQuery{Service: "s"}, rng)
	assert.Assert(t, p.workers[got.Worker.ID].heavy)
}

// Guards against a worker that looks idle because its last report is old: the report decays
// to the mean of the pool.
func TestOldReportDecaysToPoolMean(t *testing.T) {
	p := newTestPlacer(2)
	for range 200 {
		p.RecordLoad(0, "w0", Load{Running: 20, Slots: 48})
		p.RecordLoad(0, "w1", Load{Running: 20, Slots: 48})
	}
	p.RecordLoad(0, "w1", Load{Running: 0, Slots: 48})
	assert.Assert(t, p.estimatedLoad(0, p.workers["w1"]) < 1)
	assert.Assert(t, p.estimatedLoad(time.Minute, p.workers["w1"]) > 15)
}

// Guards against a preference for an engine with a queue of unread prompts over one that
// only has more running answers: callers waited for the prompts. On plain workers, which
// read no prompts, all requests weigh the same.
func TestUnreadPromptsWeighMore(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 2))
	p := newTestPlacer(2)
	reportLoads := func() {
		p.RecordLoad(0, "w0", Load{Running: 4, Waiting: 8, Slots: 64})
		p.RecordLoad(0, "w1", Load{Running: 16, Slots: 64})
	}
	reportLoads()
	got, _ := p.Pick(0, WorkerQuery{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w0")
	p.markCascading("s")
	reportLoads()
	got, _ = p.Pick(0, WorkerQuery{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w1")

	// A request of this process loses most of its weight when its answer starts, not when it
	// ends.
	var inFlight []*InFlight
	for range 8 {
		inFlight = append(inFlight, p.RecordStart(0, "w1", "m", nil, 0))
	}
	got, _ = p.Pick(0, WorkerQuery{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w0")
	for _, f := range inFlight {
		f.AnswerStarted(0)
	}
	got, _ = p.Pick(0, WorkerQuery{Service: "s"}, rng)
	assert.Equal(t, got.Worker.ID, "w1")
}

// Guards against load and cached prompts that are kept for a worker after it restarted
// under the same ID.
func TestRestartedWorkerHasEmptyCache(t *testing.T) {
	p := newTestPlacer(1)
	prompt := []PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 10}}
	p.RecordStart(0, "w0", "m", prompt, 0)
	rng := rand.New(rand.NewPCG(5, 2))
	got, _ := p.Pick(0, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
	assert.Equal(t, got.CachedTokens, 110)
	restarted := testWorkers(1)
	restarted[0].StartUnixMs = 5
	p.SetWorkers(restarted)
	got, _ = p.Pick(0, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
	assert.Equal(t, got.CachedTokens, 0)
	assert.Equal(t, got.Load, 0.0)
}

// Guards against a choice of worker whose cost grows faster than linearly with the number
// of workers.
func TestPickExaminesEachWorkerOnce(t *testing.T) {
	p := newTestPlacer(900)
	got, _ := p.Pick(0, WorkerQuery{Service: "s"}, rand.New(rand.NewPCG(6, 2)))
	assert.Equal(t, got.Candidates, 900)
}

// Guards against loads that drift or become negative after any order of starts, ends and
// changes of the worker list.
func TestOwnLoadMatchesEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlacer(PlacerOptions{FailureDomain: "a", TokensPerWork: 1000})
		p.SetWorkers(testWorkers(3))
		type request struct {
			inFlight  *InFlight
			work      float64
			answering bool
		}
		requests := map[string][]request{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
			list := requests[id]
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0:
				tokens, cached := rapid.IntRange(0, 5000).Draw(t, "tokens"), rapid.IntRange(0, 1000).Draw(t, "cached")
				f := p.RecordStart(0, id, "m", []PromptPart{{ID: 1, Tokens: tokens}}, cached)
				requests[id] = append(list, request{f, minPromptWork + float64(max(tokens-cached, 0))/1000, false})
			case step == 1:
				p.SetWorkers(testWorkers(3))
			case len(list) == 0:
			case step == 2:
				i := rapid.IntRange(0, len(list)-1).Draw(t, "ended")
				list[i].inFlight.End()
				requests[id] = slices.Delete(list, i, i+1)
			case step == 3:
				i := rapid.IntRange(0, len(list)-1).Draw(t, "started")
				list[i].inFlight.AnswerStarted(0)
				list[i].answering = true
			}
		}
		for id, list := range requests {
			unread, answering := 0.0, 0
			for _, r := range list {
				if r.answering {
					answering++
				} else {
					unread += r.work
				}
			}
			if math.Abs(p.workers[id].unreadWork-unread) > 1e-6 {
				t.Fatalf("worker %s has %.3f of unread work, Placer counts %.3f", id, unread, p.workers[id].unreadWork)
			}
			if p.workers[id].answering != answering {
				t.Fatalf("worker %s has %d running answers, Placer counts %d", id, answering, p.workers[id].answering)
			}
		}
	})
}

// Guards against a second run of a request that is not idempotent: another attempt needs
// the proof that the request did not run, or an idempotent request.
func TestRetryNeedsProofOrIdempotence(t *testing.T) {
	yes := func() bool { return true }
	base := RetryState{MaxAttempts: 3, Remaining: time.Second, TakeBudget: yes}
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
		{WorkerFailed, false, 1, false},
		{Broken, true, 1, true},
		{WorkerFailed, true, 2, true},
		{Broken, true, 3, false},
		{Answered, true, 1, false},
	} {
		r := base
		r.Outcome, r.Idempotent, r.Runs = c.outcome, c.idempotent, c.runs
		ok, reason := r.ShouldRetry(1)
		assert.Equal(t, ok, c.want, "%+v", c)
		assert.Equal(t, reason == "", c.want, "%+v", c)
	}
	expired := base
	expired.Outcome, expired.Remaining = NotRun, time.Millisecond
	_, reason := expired.ShouldRetry(0)
	assert.Equal(t, reason, "no time is left")
	exhausted := base
	exhausted.Outcome, exhausted.TakeBudget = NotRun, func() bool { return false }
	_, reason = exhausted.ShouldRetry(0)
	assert.Equal(t, reason, "retry budget is empty")
}

// Guards against low-confidence answers that are delivered although the larger models
// answer within a small part of the remaining time.
func TestFastLargerModelsGetMaxThreshold(t *testing.T) {
	e := NewEscalator()
	for i := range 50 {
		now := time.Duration(i) * 100 * time.Millisecond
		e.RecordStart(now, "r")
		e.RecordFirstEvent(now+200*time.Millisecond, now, "r", true)
	}
	assert.Equal(t, e.Threshold(5*time.Second, "r", time.Second), maxThreshold)
}

// Guards against answers that are discarded for larger models that cannot start within the
// target, and against larger models that stay unused after they have become fast again.
func TestSlowLargerModelsAreNotUsed(t *testing.T) {
	e := NewEscalator()
	now := time.Duration(0)
	for range 50 {
		e.RecordStart(now, "r")
		e.RecordFirstEvent(now+3*time.Second, now, "r", true)
		now += 100 * time.Millisecond
	}
	now += 3 * time.Second
	assert.Equal(t, e.Threshold(now, "r", time.Second), 0)
	assert.Equal(t, e.Threshold(now, "other", time.Second), maxThreshold)
	assert.Equal(t, e.Threshold(now+10*time.Second, "r", time.Second), maxThreshold)
	assert.Equal(t, e.Threshold(now, "other", -time.Second), 0)
}

// Guards against a stall of the larger models that is noticed only when their answers
// arrive: pending requests must reveal it before.
func TestPendingRequestsRevealStall(t *testing.T) {
	e := NewEscalator()
	for range 10 {
		e.RecordStart(0, "r")
	}
	assert.Equal(t, e.Threshold(100*time.Millisecond, "r", time.Second), maxThreshold)
	assert.Equal(t, e.Threshold(2*time.Second, "r", time.Second), 0)
}

// Guards against a cascade that continues after its last model, after a confident answer,
// or after an answer that states no confidence.
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

// Guards against lost answers that are noticed late: with a fifth of all answers lost, the
// timeout must stay within a few times the usual time. Guards also against a storm of
// retries in a general slowdown, which must lengthen the timeout.
func TestPatienceFollowsUsualTime(t *testing.T) {
	r := &Route{Name: "r", Kind: Stream, LatencyTarget: 1500 * time.Millisecond}
	e := NewHeaderTimeoutEstimator()
	assert.Equal(t, e.Timeout(r, false, 100), 4500*time.Millisecond)
	for i := range 500 {
		took := 200 * time.Millisecond
		if i%6 == 0 {
			took = e.Timeout(r, false, 100)
		}
		e.Observe("r", false, 100, took)
	}
	assert.Assert(t, e.Timeout(r, false, 100) < 1200*time.Millisecond, "%v", e.Timeout(r, false, 100))
	assert.Assert(t, e.Timeout(r, false, 1000) > 2*e.Timeout(r, false, 100))
	for range 100 {
		e.Observe("r", false, 100, min(time.Second, e.Timeout(r, false, 100)))
	}
	assert.Assert(t, e.Timeout(r, false, 100) > 2*time.Second, "%v", e.Timeout(r, false, 100))
	assert.Equal(t, e.Timeout(r, true, 100), 4500*time.Millisecond)
}

// Guards against a worker that drains and gets requests again because an older copy of the store
// lists it as ready, and against one that started again under its ID and gets none.
func TestDrainingWorkerStaysSoInAnOlderCopy(t *testing.T) {
	list := NewWorkerList(2 * time.Second)
	w := Worker{ID: "w", Service: "svc", Address: "a:1", StartUnixMs: 1, Draining: true}
	list.Put(w)
	w.Draining = false
	list.Put(w)
	assert.Equal(t, len(list.Usable(0)), 0)
	w.StartUnixMs = 2
	list.Put(w)
	assert.Equal(t, len(list.Usable(0)), 1)
}
