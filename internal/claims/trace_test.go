package claims

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var resultNames = map[string]Result{
	"granted": Granted, "completed": AlreadyCompleted, "in_progress": InProgress,
	"unknown": OutcomeUnknown, "key_reused": KeyReused, "unavailable": StoreUnavailable,
}

type traceStep struct {
	AtMs                    int
	Entry                   int
	Do, Request, Body, Want string
	Key, SkewMs             int
}

// Guards against a change that alters the stated outcomes of recorded traces,
// and against a stored segment that its schema refuses.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 5)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replay(t, file) })
	}
}

func replay(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	var steps []traceStep
	assert.NilError(t, json.Unmarshal(raw, &steps))
	s := newSim(3, Options{Shards: 1, SegmentBytes: 600, RunTimeout: 5 * time.Second})
	got := map[string]Result{}
	s.resolved = func(_ *simEntry, r Resolved) { got[r.Request] = r.Result }
	next := fate{out: time.Millisecond, back: time.Millisecond}
	s.fate = func(write bool) fate {
		if write || next.refused {
			f := next
			next.lost, next.silent, next.early = false, false, false
			next.out = time.Millisecond
			return f
		}
		return fate{out: time.Millisecond, back: time.Millisecond}
	}
	for _, step := range steps {
		s.advance(time.Duration(step.AtMs)*time.Millisecond - s.now)
		e := s.entries[step.Entry]
		switch step.Do {
		case "claim":
			s.send(e, Claim{Key: keyOf(step.Key), Request: step.Request, BodyDigest: step.Body})
		case "complete":
			s.send(e, Completed{Key: keyOf(step.Key), Request: step.Request, Answer: Answer{Status: 200, Body: []byte("ok")}})
		case "release":
			s.send(e, Released{Key: keyOf(step.Key), Request: step.Request})
		case "unknown":
			s.send(e, Unknown{Key: keyOf(step.Key), Request: step.Request})
		case "crash":
			s.crash(e)
		case "pause":
			e.paused = true
		case "resume":
			s.resume(e)
		case "skew":
			e.skew = time.Duration(step.SkewMs) * time.Millisecond
		case "outage":
			next.refused = true
		case "recovery":
			next.refused = false
		case "lose-next-answer":
			next.silent = true
		case "delay-next-write":
			next.early, next.out = true, 3*time.Second
		default:
			t.Fatalf("unknown step %q", step.Do)
		}
	}
	s.advance(20 * time.Second)
	for _, step := range steps {
		if step.Want != "" {
			assert.Equal(t, got[step.Request], resultNames[step.Want], step.Request)
		}
	}
	checkStored(t, s)
}

// checkStored decodes every object by its schema.
func checkStored(t *testing.T, s *sim) {
	schema := schemacheck.Embedded("claims")
	for key, o := range s.objects {
		if window, _, _ := parseKey(key); window < 0 {
			continue
		}
		var segment api.ClaimSegment
		assert.NilError(t, schema.Decode(o.value, &segment), key)
	}
}

// Guards against an answer too large for a segment, and against telling the
// caller of a repeat anything but the truth about it.
func TestLargeAnswerIsKeptAsDigest(t *testing.T) {
	s := newSim(1, Options{MaxAnswerBytes: 16})
	e := s.entries[0]
	var last Resolved
	s.resolved = func(_ *simEntry, r Resolved) { last = r }
	s.send(e, Claim{Key: keyOf(0), Request: "r1"})
	s.advance(time.Second)
	s.send(e, Completed{Key: keyOf(0), Request: "r1", Answer: Answer{Status: 200, Body: make([]byte, 17)}})
	s.advance(time.Second)
	s.send(e, Claim{Key: keyOf(0), Request: "r2"})
	s.advance(time.Second)
	assert.Equal(t, last.Result, AlreadyCompleted)
	assert.Equal(t, len(last.Answer.Digest), 64)
	assert.Equal(t, last.Err().RunState, api.RunStateRan)
}

// Guards against memory that grows without end, and against forgetting a key
// within the retention.
func TestRetention(t *testing.T) {
	s := newSim(1, Options{Shards: 1, Retention: time.Minute, SkewAllowance: 10 * time.Second, SegmentAge: 5 * time.Second})
	e := s.entries[0]
	results := map[string]Result{}
	s.resolved = func(_ *simEntry, r Resolved) {
		results[r.Request] = r.Result
		if r.Result == Granted {
			s.send(e, Completed{Key: r.Key, Request: r.Request})
		}
	}
	for i := range 300 {
		s.send(e, Claim{Key: keyOf(i), Request: keyOf(i).IdempotencyKey})
		s.advance(time.Second)
		if i >= 60 {
			repeat := "repeat-" + keyOf(i).IdempotencyKey
			s.send(e, Claim{Key: keyOf(i - 59), Request: repeat})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, results[repeat], AlreadyCompleted)
		}
	}
	assert.Assert(t, e.book.Remembered() < 100, "%d keys remembered", e.book.Remembered())
}
