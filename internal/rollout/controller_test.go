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

// simulatedProcess is one process with its controller. A paused process queues its events.
type simulatedProcess struct {
	name         string
	controller   *Controller
	paused       bool
	queuedEvents []Event
	isCandidate  bool
}

// rolloutSimulation runs the controllers of three processes on one simulated store object
// and virtual time. It checks every write.
type rolloutSimulation struct {
	t             *rapid.T
	now           time.Time
	objectVersion int64
	objectValue   []byte
	lastProgress  api.RolloutProgress
	// changedAt is the simulated time of the last change of step or holder.
	changedAt     time.Time
	processes     []*simulatedProcess
	samples       int
	cutBackReason string
	storeOutage   bool
	loseReplies   bool
	restarts      int
}

func testDeclaration() DeclarationChanged {
	return DeclarationChanged{
		Rollout:         api.Rollout{Version: "v2", Steps: []float64{0.05, 0.5, 1}, StepSeconds: 60, MinSamples: 50},
		DeclarationHash: "d1", Revision: api.Revision{Generation: 1, Version: 1},
	}
}

// start starts or restarts a process with a new controller.
func (s *rolloutSimulation) start(p *simulatedProcess) {
	s.restarts++
	p.controller = NewController(fmt.Sprintf("%s@%d", p.name, s.restarts), "v2", ControllerOptions{})
	p.queuedEvents, p.paused = nil, false
	s.send(p, testDeclaration())
	s.send(p, CandidacyChanged{p.isCandidate})
}

// send passes an event to a process and carries out the effects.
func (s *rolloutSimulation) send(p *simulatedProcess, e Event) {
	if p.paused {
		p.queuedEvents = append(p.queuedEvents, e)
		return
	}
	for _, effect := range p.controller.Handle(s.now, e) {
		switch effect := effect.(type) {
		case ReadObject:
			s.send(p, ObjectRead{Version: s.objectVersion, Value: s.objectValue, NotFound: s.objectVersion == 0 && !s.storeOutage, Failed: s.storeOutage})
		case WriteObject:
			s.send(p, s.writeObject(effect))
		}
	}
}

// writeObject checks a write against the last progress and applies it.
func (s *rolloutSimulation) writeObject(e WriteObject) ObjectWritten {
	if s.storeOutage {
		return ObjectWritten{Outcome: WriteFailed}
	}
	if e.IfVersion != s.objectVersion {
		return ObjectWritten{Outcome: WriteConflict}
	}
	var written api.RolloutProgress
	if err := json.Unmarshal(e.Value, &written); err != nil {
		s.t.Fatalf("written object cannot be decoded: %v", err)
	}
	if written.Step > s.lastProgress.Step {
		if s.now.Sub(s.changedAt) < time.Minute {
			s.t.Fatalf("step %d was written %s after the last change of step or holder, want at least 1m", written.Step, s.now.Sub(s.changedAt))
		}
		if written.Evidence == nil || written.Evidence.Samples < 50 || written.Holder != s.lastProgress.Holder {
			s.t.Fatalf("step %d was written by another holder or with fewer than 50 samples: %+v", written.Step, written.Evidence)
		}
	}
	if s.lastProgress.State == api.RolloutStateBackedOut && written.State != api.RolloutStateBackedOut || written.Step < s.lastProgress.Step {
		s.t.Fatalf("progress went backward from %+v to %+v", s.lastProgress, written)
	}
	if written.Step != s.lastProgress.Step || written.Holder != s.lastProgress.Holder {
		s.changedAt = s.now
	}
	s.objectVersion, s.objectValue, s.lastProgress = s.objectVersion+1, e.Value, written
	if s.loseReplies {
		return ObjectWritten{Outcome: WriteAmbiguous}
	}
	return ObjectWritten{Version: s.objectVersion, Outcome: WriteSucceeded}
}

// advanceSeconds advances the time second by second, with two new samples each.
func (s *rolloutSimulation) advanceSeconds(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		s.samples += 2
		for _, p := range s.processes {
			if p.paused {
				continue
			}
			s.send(p, EvidenceUpdated{api.Evidence{Samples: s.samples}})
			if s.cutBackReason != "" {
				s.send(p, CutBackReported{s.cutBackReason})
			}
			s.send(p, Tick{})
		}
	}
}

// resume ends the pause of a process and delivers its queued events.
func (s *rolloutSimulation) resume(p *simulatedProcess) {
	queued := p.queuedEvents
	p.paused, p.queuedEvents = false, nil
	for _, e := range queued {
		s.send(p, e)
	}
}

func newRolloutSimulation(t *rapid.T) *rolloutSimulation {
	s := &rolloutSimulation{t: t, now: time.Unix(1_800_000_000, 0)}
	for i := range 3 {
		p := &simulatedProcess{name: fmt.Sprintf("e%d", i), isCandidate: i == 0}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	return s
}

// Guards against a step that advances without enough time or samples, against progress that
// goes backward, and against a rollout that stops when its holder fails, under random
// pauses, crashes, store outages and lost replies.
func TestAdvancerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRolloutSimulation(t)
		drawProcess := func(t *rapid.T) *simulatedProcess { return rapid.SampledFrom(s.processes).Draw(t, "holder") }
		t.Repeat(map[string]func(*rapid.T){
			"pass":   func(t *rapid.T) { s.advanceSeconds(rapid.IntRange(1, 100).Draw(t, "seconds")) },
			"pause":  func(t *rapid.T) { drawProcess(t).paused = true },
			"resume": func(t *rapid.T) { s.resume(drawProcess(t)) },
			"crash":  func(t *rapid.T) { s.start(drawProcess(t)) },
			"store":  func(t *rapid.T) { s.storeOutage = rapid.Bool().Draw(t, "outage") },
			"loss":   func(t *rapid.T) { s.loseReplies = rapid.Bool().Draw(t, "lossy") },
			"want": func(t *rapid.T) {
				p := drawProcess(t)
				p.isCandidate = !p.isCandidate
				s.send(p, CandidacyChanged{p.isCandidate})
			},
			"cut": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
					s.cutBackReason = "errors"
				}
			},
		})
		s.storeOutage, s.loseReplies = false, false
		for _, p := range s.processes {
			s.resume(p)
		}
		s.send(s.processes[1], CandidacyChanged{true})
		s.advanceSeconds(600)
		want := api.RolloutStateComplete
		if s.cutBackReason != "" && s.lastProgress.State != api.RolloutStateComplete {
			want = api.RolloutStateBackedOut
		}
		if s.lastProgress.State != want {
			t.Fatalf("rollout did not end as expected: %+v", s.lastProgress)
		}
	})
}

// Guards against a cut-back that takes effect only after a write to the store.
func TestCutBackNeedsNoStore(t *testing.T) {
	s := NewTrafficShares("e")
	s.Apply(snapshot(t, 1, "rolling", "[0.5,1]", ""))
	s.SetProgress(progressOf(s, 1))
	assert.Equal(t, s.Share("v2"), 1.0)
	s.MergeCutBacks([]api.CutBack{{Version: "v2", Revision: s.revision, Reason: "errors"}})
	assert.Equal(t, s.Share("v2"), 0.0)
}

// Guards against a suspended holder that counts the time of its suspension toward the step
// and advances right after it resumes.
func TestPausedHolderJudgesAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRolloutSimulation(t)
		s.advanceSeconds(30)
		s.processes[0].paused = true
		s.advanceSeconds(rapid.IntRange(40, 1000).Draw(t, "pause"))
		s.resume(s.processes[0])
		s.advanceSeconds(55)
		assert.Equal(t, s.lastProgress.Step, 0)
		s.advanceSeconds(30)
		assert.Equal(t, s.lastProgress.Step, 1)
	})
}
