package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
)

type holder struct {
	name   string
	a      *Advancer
	paused bool
	held   []Event
	wanted bool
}

// rolloutWorld runs three Advancers over one object on virtual time.
type rolloutWorld struct {
	t       *rapid.T
	now     time.Time
	version int64
	value   []byte
	last    api.RolloutProgress
	// changedAt is the true time of the last change of step or holder.
	changedAt time.Time
	holders   []*holder
	samples   int
	cut       string
	outage    bool
	lossy     bool
	restarts  int
}

func declared() Declared {
	return Declared{
		Rollout:     api.Rollout{Version: "v2", Steps: []float64{0.05, 0.5, 1}, StepSeconds: 60, MinSamples: 50},
		Declaration: "d1", Revision: api.Revision{Generation: 1, Version: 1},
	}
}

func (w *rolloutWorld) start(h *holder) {
	w.restarts++
	h.a = NewAdvancer(fmt.Sprintf("%s@%d", h.name, w.restarts), "v2", AdvancerOptions{})
	h.held, h.paused = nil, false
	w.send(h, declared())
	w.send(h, Candidate{h.wanted})
}

func (w *rolloutWorld) send(h *holder, e Event) {
	if h.paused {
		h.held = append(h.held, e)
		return
	}
	for _, effect := range h.a.Handle(w.now, e) {
		switch effect := effect.(type) {
		case ReadObject:
			w.send(h, StoreRead{Version: w.version, Value: w.value, NotFound: w.version == 0 && !w.outage, Failed: w.outage})
		case WriteObject:
			w.send(h, w.put(effect))
		}
	}
}

func (w *rolloutWorld) put(e WriteObject) StoreWritten {
	if w.outage {
		return StoreWritten{Outcome: Failed}
	}
	if e.IfVersion != w.version {
		return StoreWritten{Outcome: Conflict}
	}
	var p api.RolloutProgress
	if err := json.Unmarshal(e.Value, &p); err != nil {
		w.t.Fatalf("object cannot be decoded: %v", err)
	}
	if p.Step > w.last.Step {
		if w.now.Sub(w.changedAt) < time.Minute {
			w.t.Fatalf("step %d came %s after the last change", p.Step, w.now.Sub(w.changedAt))
		}
		if p.Evidence == nil || p.Evidence.Samples < 50 || p.Holder != w.last.Holder {
			w.t.Fatalf("step %d without evidence of its holder: %+v", p.Step, p.Evidence)
		}
	}
	if w.last.State == api.RolloutStateBackedOut && p.State != api.RolloutStateBackedOut || p.Step < w.last.Step {
		w.t.Fatalf("progress went back from %+v to %+v", w.last, p)
	}
	if p.Step != w.last.Step || p.Holder != w.last.Holder {
		w.changedAt = w.now
	}
	w.version, w.value, w.last = w.version+1, e.Value, p
	if w.lossy {
		return StoreWritten{Outcome: Ambiguous}
	}
	return StoreWritten{Version: w.version, Outcome: Written}
}

func (w *rolloutWorld) pass(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		w.samples += 2
		for _, h := range w.holders {
			if h.paused {
				continue
			}
			w.send(h, EvidenceSum{api.Evidence{Samples: w.samples}})
			if w.cut != "" {
				w.send(h, CutBackSeen{w.cut})
			}
			w.send(h, Tick{})
		}
	}
}

func (w *rolloutWorld) resume(h *holder) {
	held := h.held
	h.paused, h.held = false, nil
	for _, e := range held {
		w.send(h, e)
	}
}

func newRolloutWorld(t *rapid.T) *rolloutWorld {
	w := &rolloutWorld{t: t, now: time.Unix(1_800_000_000, 0)}
	for i := range 3 {
		h := &holder{name: fmt.Sprintf("e%d", i), wanted: i == 0}
		w.holders = append(w.holders, h)
		w.start(h)
	}
	return w
}

// Guards against a step without time or evidence, against progress that goes
// back, and against a rollout that stops when its holder does.
func TestAdvancerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutWorld(t)
		pick := func(t *rapid.T) *holder { return rapid.SampledFrom(w.holders).Draw(t, "holder") }
		t.Repeat(map[string]func(*rapid.T){
			"pass":   func(t *rapid.T) { w.pass(rapid.IntRange(1, 100).Draw(t, "seconds")) },
			"pause":  func(t *rapid.T) { pick(t).paused = true },
			"resume": func(t *rapid.T) { w.resume(pick(t)) },
			"crash":  func(t *rapid.T) { w.start(pick(t)) },
			"store":  func(t *rapid.T) { w.outage = rapid.Bool().Draw(t, "outage") },
			"loss":   func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
			"want": func(t *rapid.T) {
				h := pick(t)
				h.wanted = !h.wanted
				w.send(h, Candidate{h.wanted})
			},
			"cut": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
					w.cut = "errors"
				}
			},
		})
		w.outage, w.lossy = false, false
		for _, h := range w.holders {
			w.resume(h)
		}
		w.send(w.holders[1], Candidate{true})
		w.pass(600)
		want := api.RolloutStateComplete
		if w.cut != "" && w.last.State != api.RolloutStateComplete {
			want = api.RolloutStateBackedOut
		}
		if w.last.State != want {
			t.Fatalf("the rollout ended as %+v", w.last)
		}
	})
}

// Guards against a retreat that waits for the store.
func TestRetreatNeedsNoStore(t *testing.T) {
	s := NewShares("e")
	s.Apply(snapshot(t, 1, "rolling", "[0.5,1]", ""))
	s.SetProgress(progressOf(s, 1))
	assert.Equal(t, s.Share("v2"), 1.0)
	s.Merge([]api.CutBack{{Version: "v2", Revision: s.revision, Reason: "errors"}})
	assert.Equal(t, s.Share("v2"), 0.0)
}

// Guards against a holder that stood still and advances on the time it slept.
func TestPausedHolderJudgesAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutWorld(t)
		w.pass(30)
		w.holders[0].paused = true
		w.pass(rapid.IntRange(40, 1000).Draw(t, "pause"))
		w.resume(w.holders[0])
		w.pass(55)
		assert.Equal(t, w.last.Step, 0)
		w.pass(30)
		assert.Equal(t, w.last.Step, 1)
	})
}
