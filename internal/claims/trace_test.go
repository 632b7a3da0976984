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

// traceStep is one step of a recorded trace; its field names are those of the file.
type traceStep struct {
	AtMs                    int
	Entry                   int
	Do, Request, Body, Want string
	Key, SkewMs             int
}

// Guards against a change of the decisions in the recorded traces, and against
// stored segments that do not match their schema.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 5)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replayTrace(t, file) })
	}
}

func replayTrace(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	var steps []traceStep
	assert.NilError(t, json.Unmarshal(raw, &steps))
	s := newSim(3, Options{Shards: 1, SegmentBytes: 600, RunTimeout: 5 * time.Second})
	got := map[string]Result{}
	s.onResolved = func(_ *simEntry, r Resolved) { got[r.Request] = r.Result }
	nextPlan := callPlan{requestDelay: time.Millisecond, responseDelay: time.Millisecond}
	s.planCall = func(write bool) callPlan {
		if write || nextPlan.isRefused {
			plan := nextPlan
			nextPlan.isDropped, nextPlan.losesAnswer, nextPlan.isAnsweredEarly = false, false, false
			nextPlan.requestDelay = time.Millisecond
			return plan
		}
		return callPlan{requestDelay: time.Millisecond, responseDelay: time.Millisecond}
	}
	for _, step := range steps {
		s.advance(time.Duration(step.AtMs)*time.Millisecond - s.now)
		e := s.entries[step.Entry]
		switch step.Do {
		case "claim":
			s.send(e, Claim{Key: testKey(step.Key), Request: step.Request, BodyDigest: step.Body})
		case "complete":
			s.send(e, Completed{Key: testKey(step.Key), Request: step.Request, Answer: Answer{Status: 200, Body: []byte("ok")}})
		case "release":
			s.send(e, Released{Key: testKey(step.Key), Request: step.Request})
		case "unknown":
			s.send(e, Unknown{Key: testKey(step.Key), Request: step.Request})
		case "crash":
			s.crash(e)
		case "pause":
			e.isPaused = true
		case "resume":
			s.resume(e)
		case "skew":
			e.skew = time.Duration(step.SkewMs) * time.Millisecond
		case "outage":
			nextPlan.isRefused = true
		case "recovery":
			nextPlan.isRefused = false
		case "lose-next-answer":
			nextPlan.losesAnswer = true
		case "delay-next-write":
			nextPlan.isAnsweredEarly, nextPlan.requestDelay = true, 3*time.Second
		default:
			t.Fatalf("trace step %q is unknown", step.Do)
		}
	}
	s.advance(20 * time.Second)
	for _, step := range steps {
		if step.Want != "" {
			assert.Equal(t, got[step.Request], resultNames[step.Want], step.Request)
		}
	}
	checkStoredSegments(t, s)
}

// checkStoredSegments checks that every stored segment matches the schema.
func checkStoredSegments(t *testing.T, s *sim) {
	schema := schemacheck.Embedded("claims")
	for key, o := range s.objects {
		if number, _, _ := parseObjectKey(key); number < 0 {
			continue
		}
		var segment api.ClaimSegment
		assert.NilError(t, schema.Decode(o.value, &segment), key)
	}
}

// Guards against storing an answer above MaxAnswerBytes in a segment. A duplicate
// call must get the digest of the answer and the run state "ran".
func TestLargeAnswerIsStoredAsDigest(t *testing.T) {
	s := newSim(1, Options{MaxAnswerBytes: 16})
	e := s.entries[0]
	var last Resolved
	s.onResolved = func(_ *simEntry, r Resolved) { last = r }
	s.send(e, Claim{Key: testKey(0), Request: "r1"})
	s.advance(time.Second)
	s.send(e, Completed{Key: testKey(0), Request: "r1", Answer: Answer{Status: 200, Body: make([]byte, 17)}})
	s.advance(time.Second)
	s.send(e, Claim{Key: testKey(0), Request: "r2"})
	s.advance(time.Second)
	assert.Equal(t, last.Result, AlreadyCompleted)
	assert.Equal(t, len(last.Answer.Digest), 64)
	assert.Equal(t, last.Err().RunState, api.RunStateRan)
}

// Guards against memory that grows without bound, and against a key that is
// forgotten within the retention.
func TestRetention(t *testing.T) {
	s := newSim(1, Options{Shards: 1, Retention: time.Minute, SkewAllowance: 10 * time.Second, MaxSegmentAge: 5 * time.Second})
	e := s.entries[0]
	results := map[string]Result{}
	s.onResolved = func(_ *simEntry, r Resolved) {
		results[r.Request] = r.Result
		if r.Result == Granted {
			s.send(e, Completed{Key: r.Key, Request: r.Request})
		}
	}
	for i := range 300 {
		s.send(e, Claim{Key: testKey(i), Request: testKey(i).IdempotencyKey})
		s.advance(time.Second)
		if i >= 60 {
			repeat := "repeat-" + testKey(i).IdempotencyKey
			s.send(e, Claim{Key: testKey(i - 59), Request: repeat})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, results[repeat], AlreadyCompleted)
		}
	}
	assert.Assert(t, e.machine.KeyCount() < 100, "%d keys held in memory, fewer than 100 are allowed", e.machine.KeyCount())
}
