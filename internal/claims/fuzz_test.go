package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// grantedRun is a run that an entry was granted.
type grantedRun struct {
	key      int
	request  string
	entry    *simEntry
	machine  *StateMachine
	hasEnded bool
}

// fuzzHarness drives a simulated fleet with random claims and faults. Its oracle
// holds, per key, the only run that may have happened.
type fuzzHarness struct {
	t   *rapid.T
	sim *sim
	// openRuns holds, by key, the run that is granted and not released.
	openRuns    map[int]*grantedRun
	grantedRuns []*grantedRun
	answers     map[string]string
	undecided   map[string]*claimOp
	ops         []*claimOp
	lastRequest int
	storeDown   bool
	crashes     int
}

// claimOp is one operation of the history that porcupine checks.
type claimOp struct {
	// kind is "claim", "released" or "completed".
	kind       string
	key        int
	request    string
	body       string
	answer     string
	result     Result
	calledAt   int64
	returnedAt int64
	machine    *StateMachine
}

const fuzzKeyCount = 4

func testKey(i int) Key { return Key{"acme", "booking", "reserve", fmt.Sprintf("key-%d", i)} }

func newFuzzHarness(t *rapid.T) *fuzzHarness {
	opts := Options{Shards: 2, SegmentBytes: 900, MaxSegmentAge: 2 * time.Second, RunTimeout: 500 * time.Millisecond, MaxAnswerBytes: 64, MaxConcurrentReads: 2}
	h := &fuzzHarness{t: t, openRuns: map[int]*grantedRun{}, answers: map[string]string{}, undecided: map[string]*claimOp{}}
	h.sim = newSim(3, opts)
	h.sim.planCall = func(bool) callPlan { return h.drawCallPlan() }
	h.sim.onResolved = h.onResolved
	return h
}

func (h *fuzzHarness) drawCallPlan() callPlan {
	plan := callPlan{
		requestDelay:  time.Duration(rapid.IntRange(0, 40).Draw(h.t, "requestDelay")) * time.Millisecond,
		responseDelay: time.Duration(rapid.IntRange(0, 40).Draw(h.t, "responseDelay")) * time.Millisecond,
	}
	if h.storeDown {
		plan.isRefused = true
		return plan
	}
	switch rapid.IntRange(0, 11).Draw(h.t, "callFault") {
	case 0:
		plan.isRefused = true
	case 1:
		plan.isDropped = true
	case 2:
		plan.isAnsweredEarly = true
		plan.requestDelay *= 20
	case 3:
		plan.losesAnswer = true
	}
	return plan
}

func (h *fuzzHarness) onResolved(e *simEntry, r Resolved) {
	op := h.undecided[r.Request]
	if op == nil {
		h.t.Fatalf("request %s was resolved twice or without a claim", r.Request)
	}
	delete(h.undecided, r.Request)
	op.result, op.returnedAt, op.answer = r.Result, int64(h.sim.now), string(r.Answer.Body)+r.Answer.Digest
	switch r.Result {
	case Granted:
		if g := h.openRuns[op.key]; g != nil {
			h.t.Fatalf("key %d granted to %s while %s may have run", op.key, r.Request, g.request)
		}
		g := &grantedRun{key: op.key, request: r.Request, entry: e, machine: e.machine}
		h.openRuns[op.key] = g
		h.grantedRuns = append(h.grantedRuns, g)
	case AlreadyCompleted:
		g := h.openRuns[op.key]
		if g == nil || h.answers[g.request] != op.answer {
			h.t.Fatalf("key %d was answered with %q, which is not the answer of its run", op.key, op.answer)
		}
	}
}

func (h *fuzzHarness) claim(t *rapid.T) {
	key := rapid.IntRange(0, fuzzKeyCount-1).Draw(t, "key")
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	h.sendClaim(key, body, rapid.SampledFrom(h.sim.entries).Draw(t, "entry"))
}

func (h *fuzzHarness) sendClaim(key int, body string, e *simEntry) *claimOp {
	h.lastRequest++
	op := &claimOp{kind: "claim", key: key, request: fmt.Sprintf("r%d", h.lastRequest), body: body, calledAt: int64(h.sim.now), returnedAt: -1, machine: e.machine}
	h.ops = append(h.ops, op)
	h.undecided[op.request] = op
	h.sim.send(e, Claim{Key: testKey(key), Request: op.request, BodyDigest: body, Sidecar: "s", SidecarIncarnation: 1})
	return op
}

// endRun reports the outcome of a run whose granting incarnation is still alive.
func (h *fuzzHarness) endRun(t *rapid.T) {
	var live []*grantedRun
	for _, g := range h.grantedRuns {
		if !g.hasEnded && g.entry.machine == g.machine {
			live = append(live, g)
		}
	}
	if len(live) == 0 {
		t.Skip()
	}
	g := rapid.SampledFrom(live).Draw(t, "grant")
	// The report may go to an entry other than the one that granted the run.
	target := rapid.SampledFrom(append(h.sim.entries, g.entry, g.entry)).Draw(t, "target")
	op := &claimOp{kind: "released", key: g.key, request: g.request, calledAt: int64(h.sim.now), returnedAt: -1}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		g.hasEnded = true
		h.openRuns[g.key] = nil
		h.ops = append(h.ops, op)
		h.sim.send(target, Released{Key: testKey(g.key), Request: g.request})
	case 1:
		h.sim.send(target, Unknown{Key: testKey(g.key), Request: g.request})
	default:
		g.hasEnded = true
		op.kind = "completed"
		op.answer = "answer of " + g.request
		h.answers[g.request] = op.answer
		h.ops = append(h.ops, op)
		h.sim.send(target, Completed{Key: testKey(g.key), Request: g.request, Answer: Answer{Status: 200, Body: []byte(op.answer)}})
	}
}

func (h *fuzzHarness) injectFault(t *rapid.T) {
	e := rapid.SampledFrom(h.sim.entries).Draw(t, "entry")
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		h.crash(e)
	case 1, 2:
		e.isPaused = true
	case 3:
		e.skew += time.Duration(rapid.IntRange(0, 3000).Draw(t, "skew")) * time.Millisecond
	case 4:
		h.storeDown = true
	case 5:
		h.storeDown = false
	default:
		h.sim.resume(e)
	}
}

func (h *fuzzHarness) crash(e *simEntry) {
	for id, op := range h.undecided {
		if op.machine == e.machine {
			delete(h.undecided, id)
		}
	}
	h.crashes++
	h.sim.crash(e)
}

func (h *fuzzHarness) advanceTime(t *rapid.T) {
	h.sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// healAndDrain ends every fault and checks that no claim stays undecided and no
// record unwritten, and that no alarm was raised.
func (h *fuzzHarness) healAndDrain() {
	h.storeDown = false
	h.sim.planCall = func(bool) callPlan { return callPlan{requestDelay: time.Millisecond, responseDelay: time.Millisecond} }
	for _, e := range h.sim.entries {
		h.sim.resume(e)
	}
	h.sim.advance(time.Minute)
	for id := range h.undecided {
		h.t.Fatalf("claim %s was not resolved within a minute after the last fault", id)
	}
	for _, e := range h.sim.entries {
		if n := e.machine.PendingCount(); n != 0 {
			h.t.Fatalf("%s holds %d unwritten records a minute after the last fault", e.name, n)
		}
	}
	if len(h.sim.alarms) > 0 {
		h.t.Fatalf("alarms: %v", h.sim.alarms)
	}
}

// Guards against a second run of a key under store outages, lost and delayed
// writes, pauses, crashes and skewed clocks, and against a history of decisions
// that is not linearizable.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFuzzHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": h.claim, "claim2": h.claim, "end": h.endRun, "disturb": h.injectFault, "pass": h.advanceTime, "pass2": h.advanceTime,
		})
		h.healAndDrain()
		h.checkLiveness()
		checkHistory(t, h)
	})
}

// checkLiveness claims every key once more. Without a crash, a key whose claims
// were all refused or released must be granted, and a completed key must return
// its stored answer.
func (h *fuzzHarness) checkLiveness() {
	if h.crashes > 0 {
		return
	}
	for key := range fuzzKeyCount {
		g := h.openRuns[key]
		op := h.sendClaim(key, "a", h.sim.entries[key%len(h.sim.entries)])
		h.sim.advance(10 * time.Second)
		switch {
		case g == nil && op.result != Granted:
			h.t.Fatalf("key %d has no run, but a claim of it got result %d instead of Granted", key, op.result)
		case g != nil && g.hasEnded && op.result != AlreadyCompleted && op.result != KeyReused:
			h.t.Fatalf("key %d completed, but a claim of it got result %d", key, op.result)
		}
	}
}

func checkHistory(t *rapid.T, h *fuzzHarness) {
	end := int64(h.sim.now) + 1
	var history []porcupine.Operation
	for i, op := range h.ops {
		ret := op.returnedAt
		// An undecided claim and a reported outcome may take effect at any later time or never.
		if ret < 0 || op.kind != "claim" || op.result == StoreUnavailable {
			ret = end
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: op.calledAt, Output: op.result, Return: ret})
	}
	result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, 20*time.Second)
	if result == porcupine.Illegal {
		t.Fatalf("history of %d operations is not linearizable", len(history))
	}
}

// modelState is the state of a key. Its kind is "", "claimed", "orphaned" (written
// but never granted) or "completed".
type modelState struct{ kind, request, body, answer string }

var claimModel = porcupine.NondeterministicModel{
	Init:      func() []any { return []any{modelState{}} },
	Partition: partitionByKey,
	Step: func(state, input, output any) []any {
		return modelStep(state.(modelState), input.(*claimOp), output.(Result))
	},
	Equal: func(a, b any) bool { return a == b },
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, fuzzKeyCount)
	for _, op := range history {
		k := op.Input.(*claimOp).key
		parts[k] = append(parts[k], op)
	}
	return parts
}

func modelStep(s modelState, op *claimOp, result Result) []any {
	isClaimedOrOrphaned := s.kind == "claimed" || s.kind == "orphaned"
	sameRequest := s.request == op.request
	switch {
	case op.kind == "released" && s.kind == "claimed" && sameRequest:
		return []any{modelState{}, s}
	case op.kind == "completed" && s.kind == "claimed" && sameRequest:
		return []any{modelState{"completed", s.request, s.body, op.answer}, s}
	case op.kind != "claim":
		return []any{s}
	}
	claimed := modelState{kind: "claimed", request: op.request, body: op.body}
	orphaned := modelState{kind: "orphaned", request: op.request, body: op.body}
	claimable := s.kind == "" || s.kind == "orphaned"
	switch result {
	case Granted:
		return statesIf(claimable, claimed)
	case InProgress, OutcomeUnknown:
		return statesIf(isClaimedOrOrphaned && s.body == op.body, s)
	case KeyReused:
		return statesIf(s.kind != "" && s.body != op.body, s)
	case AlreadyCompleted:
		return statesIf(s.kind == "completed" && s.answer == op.answer && s.body == op.body, s)
	}
	// The claim was refused, or its entry crashed before the decision.
	if claimable {
		return []any{s, orphaned, claimed}
	}
	return []any{s}
}

func statesIf(ok bool, s modelState) []any {
	if ok {
		return []any{s}
	}
	return nil
}

// Guards against an empty check: a harness that never gets a grant would pass
// TestAtMostOneGrant.
func TestFuzzHarnessGrants(t *testing.T) {
	granted, storedAnswers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newFuzzHarness(t)
		t.Repeat(map[string]func(*rapid.T){"claim": h.claim, "end": h.endRun, "pass": h.advanceTime})
		h.healAndDrain()
		for _, op := range h.ops {
			if op.kind == "claim" && op.result == Granted {
				granted++
			}
			if op.result == AlreadyCompleted {
				storedAnswers++
			}
		}
	})
	assert.Assert(t, granted > 100, "only %d grants, more than 100 are required", granted)
	assert.Assert(t, storedAnswers > 10, "only %d stored answers returned, more than 10 are required", storedAnswers)
}
