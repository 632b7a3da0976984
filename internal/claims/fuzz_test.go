package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// grant is a run that was admitted and not proven not to have happened.
type grant struct {
	key     int
	request string
	entry   *simEntry
	book    *Book
	ended   bool
}

// world is the simple oracle: per key, the one run that may have happened.
type world struct {
	t       *rapid.T
	sim     *sim
	open    map[int]*grant
	grants  []*grant
	answers map[string]string
	waiting map[string]*claimOp
	ops     []*claimOp
	request int
	outage  bool
	crashes int
}

// claimOp is one operation of the history for porcupine.
type claimOp struct {
	kind    string
	key     int
	request string
	body    string
	answer  string
	result  Result
	call    int64
	ret     int64
	book    *Book
}

const fuzzKeys = 4

func keyOf(i int) Key { return Key{"acme", "booking", "reserve", fmt.Sprintf("key-%d", i)} }

func newWorld(t *rapid.T) *world {
	opts := Options{Shards: 2, SegmentBytes: 900, SegmentAge: 2 * time.Second, RunTimeout: 500 * time.Millisecond, MaxAnswerBytes: 64, MaxReads: 2}
	w := &world{t: t, open: map[int]*grant{}, answers: map[string]string{}, waiting: map[string]*claimOp{}}
	w.sim = newSim(3, opts)
	w.sim.fate = func(bool) fate { return w.drawFate() }
	w.sim.resolved = w.onResolved
	return w
}

func (w *world) drawFate() fate {
	f := fate{
		out:  time.Duration(rapid.IntRange(0, 40).Draw(w.t, "out")) * time.Millisecond,
		back: time.Duration(rapid.IntRange(0, 40).Draw(w.t, "back")) * time.Millisecond,
	}
	if w.outage {
		f.refused = true
		return f
	}
	switch rapid.IntRange(0, 11).Draw(w.t, "fate") {
	case 0:
		f.refused = true
	case 1:
		f.lost = true
	case 2:
		f.early = true
		f.out *= 20
	case 3:
		f.silent = true
	}
	return f
}

func (w *world) onResolved(e *simEntry, r Resolved) {
	op := w.waiting[r.Request]
	if op == nil {
		w.t.Fatalf("request %s was resolved twice or never asked", r.Request)
	}
	delete(w.waiting, r.Request)
	op.result, op.ret, op.answer = r.Result, int64(w.sim.now), string(r.Answer.Body)+r.Answer.Digest
	switch r.Result {
	case Granted:
		if g := w.open[op.key]; g != nil {
			w.t.Fatalf("key %d granted to %s while %s may have run", op.key, r.Request, g.request)
		}
		g := &grant{key: op.key, request: r.Request, entry: e, book: e.book}
		w.open[op.key] = g
		w.grants = append(w.grants, g)
	case AlreadyCompleted:
		g := w.open[op.key]
		if g == nil || w.answers[g.request] != op.answer {
			w.t.Fatalf("key %d answered %q, which is not the answer of its run", op.key, op.answer)
		}
	}
}

func (w *world) claim(t *rapid.T) {
	key := rapid.IntRange(0, fuzzKeys-1).Draw(t, "key")
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	w.sendClaim(key, body, rapid.SampledFrom(w.sim.entries).Draw(t, "entry"))
}

func (w *world) sendClaim(key int, body string, e *simEntry) *claimOp {
	w.request++
	op := &claimOp{kind: "claim", key: key, request: fmt.Sprintf("r%d", w.request), body: body, call: int64(w.sim.now), ret: -1, book: e.book}
	w.ops = append(w.ops, op)
	w.waiting[op.request] = op
	w.sim.send(e, Claim{Key: keyOf(key), Request: op.request, BodyDigest: body, Sidecar: "s", SidecarIncarnation: 1})
	return op
}

// end reports the end of a run to the Book that granted it, unless that died.
func (w *world) end(t *rapid.T) {
	var live []*grant
	for _, g := range w.grants {
		if !g.ended && g.entry.book == g.book {
			live = append(live, g)
		}
	}
	if len(live) == 0 {
		t.Skip()
	}
	g := rapid.SampledFrom(live).Draw(t, "grant")
	// The report may reach another entry than the one that granted.
	target := rapid.SampledFrom(append(w.sim.entries, g.entry, g.entry)).Draw(t, "target")
	op := &claimOp{kind: "released", key: g.key, request: g.request, call: int64(w.sim.now), ret: -1}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		g.ended = true
		w.open[g.key] = nil
		w.ops = append(w.ops, op)
		w.sim.send(target, Released{Key: keyOf(g.key), Request: g.request})
	case 1:
		w.sim.send(target, Unknown{Key: keyOf(g.key), Request: g.request})
	default:
		g.ended = true
		op.kind = "completed"
		op.answer = "answer of " + g.request
		w.answers[g.request] = op.answer
		w.ops = append(w.ops, op)
		w.sim.send(target, Completed{Key: keyOf(g.key), Request: g.request, Answer: Answer{Status: 200, Body: []byte(op.answer)}})
	}
}

func (w *world) disturb(t *rapid.T) {
	e := rapid.SampledFrom(w.sim.entries).Draw(t, "entry")
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		w.crash(e)
	case 1, 2:
		e.paused = true
	case 3:
		e.skew += time.Duration(rapid.IntRange(0, 3000).Draw(t, "skew")) * time.Millisecond
	case 4:
		w.outage = true
	case 5:
		w.outage = false
	default:
		w.sim.resume(e)
	}
}

func (w *world) crash(e *simEntry) {
	for id, op := range w.waiting {
		if op.book == e.book {
			delete(w.waiting, id)
		}
	}
	w.crashes++
	w.sim.crash(e)
}

func (w *world) pass(t *rapid.T) {
	w.sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// settle ends every fault and checks that nothing stays undecided.
func (w *world) settle() {
	w.outage = false
	w.sim.fate = func(bool) fate { return fate{out: time.Millisecond, back: time.Millisecond} }
	for _, e := range w.sim.entries {
		w.sim.resume(e)
	}
	w.sim.advance(time.Minute)
	for id := range w.waiting {
		w.t.Fatalf("claim %s was never resolved", id)
	}
	for _, e := range w.sim.entries {
		if n := e.book.Unwritten(); n != 0 {
			w.t.Fatalf("%s still holds %d unwritten records", e.name, n)
		}
	}
	if len(w.sim.alarms) > 0 {
		w.t.Fatalf("alarms: %v", w.sim.alarms)
	}
}

// Guards against a second run of a key under outages, lost and late writes,
// pauses, crashes and skewed clocks, and against a history that no sequence of
// single decisions explains.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": w.claim, "claim2": w.claim, "end": w.end, "disturb": w.disturb, "pass": w.pass, "pass2": w.pass,
		})
		w.settle()
		w.checkLiveness()
		checkHistory(t, w)
	})
}

// checkLiveness asks for every key once more. Without a crash, a key whose
// claims were all refused or released must be free, and a completed one must
// give its answer.
func (w *world) checkLiveness() {
	if w.crashes > 0 {
		return
	}
	for key := range fuzzKeys {
		g := w.open[key]
		op := w.sendClaim(key, "a", w.sim.entries[key%len(w.sim.entries)])
		w.sim.advance(10 * time.Second)
		switch {
		case g == nil && op.result != Granted:
			w.t.Fatalf("key %d has no run and is answered with result %d", key, op.result)
		case g != nil && g.ended && op.result != AlreadyCompleted && op.result != KeyReused:
			w.t.Fatalf("key %d completed and is answered with result %d", key, op.result)
		}
	}
}

func checkHistory(t *rapid.T, w *world) {
	end := int64(w.sim.now) + 1
	var history []porcupine.Operation
	for i, op := range w.ops {
		ret := op.ret
		// A claim without a decision and a report of an end take effect at any later time or never.
		if ret < 0 || op.kind != "claim" || op.result == StoreUnavailable {
			ret = end
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: op.call, Output: op.result, Return: ret})
	}
	result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, 20*time.Second)
	if result == porcupine.Illegal {
		t.Fatalf("history of %d operations is not linearizable", len(history))
	}
}

// modelState is the state of a key: "", "claimed", "ghost" (written, never
// granted) or "completed".
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
	parts := make([][]porcupine.Operation, fuzzKeys)
	for _, op := range history {
		k := op.Input.(*claimOp).key
		parts[k] = append(parts[k], op)
	}
	return parts
}

func modelStep(s modelState, op *claimOp, result Result) []any {
	held := s.kind == "claimed" || s.kind == "ghost"
	mine := s.request == op.request
	switch {
	case op.kind == "released" && s.kind == "claimed" && mine:
		return []any{modelState{}, s}
	case op.kind == "completed" && s.kind == "claimed" && mine:
		return []any{modelState{"completed", s.request, s.body, op.answer}, s}
	case op.kind != "claim":
		return []any{s}
	}
	claimed := modelState{kind: "claimed", request: op.request, body: op.body}
	ghost := modelState{kind: "ghost", request: op.request, body: op.body}
	free := s.kind == "" || s.kind == "ghost"
	switch result {
	case Granted:
		return when(free, claimed)
	case InProgress, OutcomeUnknown:
		return when(held && s.body == op.body, s)
	case KeyReused:
		return when(s.kind != "" && s.body != op.body, s)
	case AlreadyCompleted:
		return when(s.kind == "completed" && s.answer == op.answer && s.body == op.body, s)
	}
	// Refused, or undecided when its entry died.
	if free {
		return []any{s, ghost, claimed}
	}
	return []any{s}
}

func when(ok bool, s modelState) []any {
	if ok {
		return []any{s}
	}
	return nil
}

// Guards against an empty check: a world that grants nothing passes every bound.
func TestFuzzWorldGrants(t *testing.T) {
	granted, repeats := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){"claim": w.claim, "end": w.end, "pass": w.pass})
		w.settle()
		for _, op := range w.ops {
			if op.kind == "claim" && op.result == Granted {
				granted++
			}
			if op.result == AlreadyCompleted {
				repeats++
			}
		}
	})
	assert.Assert(t, granted > 100, "only %d grants", granted)
	assert.Assert(t, repeats > 10, "only %d stored answers", repeats)
}
