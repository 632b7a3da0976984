package claims

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowCalls makes every store call take d.
func slowCalls(d time.Duration) func(bool) callPlan {
	return func(bool) callPlan { return callPlan{requestDelay: d / 2, responseDelay: d / 2} }
}

// Guards against the refusal of a call that has seconds left, because an entry that is
// starved of processor time or restarts needs longer than ClaimTimeout for its claim.
func TestClaimWaitFollowsRemainingTime(t *testing.T) {
	s := newSim(1, Options{Shards: 1})
	s.planCall = slowCalls(400 * time.Millisecond) // the hint, the segment and the write take 1.2 s
	got := map[string]Result{}
	decidedAt := map[string]time.Duration{}
	s.onResolved = func(_ *simEntry, r Resolved) { got[r.Request], decidedAt[r.Request] = r.Result, s.now }
	s.send(s.entries[0], Claim{Key: testKey(1), Request: "long", RunDeadline: epoch.Add(4 * time.Second)})
	s.send(s.entries[0], Claim{Key: testKey(2), Request: "short", RunDeadline: epoch.Add(2 * time.Second)})
	s.advance(10 * time.Second)
	assert.Equal(t, got["long"], Granted)
	assert.Equal(t, got["short"], StoreUnavailable)
	assert.Equal(t, decidedAt["short"], time.Second)
}

// Guards against callers that wait for a store which is known to fail, and against a wait
// without bound for a store call that gets no answer.
func TestClaimWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		plan callPlan
		want time.Duration
	}{
		"store fails":         {callPlan{requestDelay: time.Millisecond, isRefused: true}, time.Second},
		"store is silent":     {callPlan{requestDelay: time.Hour}, 3 * time.Second},
		"answers come slowly": {callPlan{requestDelay: 1300 * time.Millisecond}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, Options{Shards: 1})
			s.planCall = func(bool) callPlan { return c.plan }
			var result Result
			var decidedAt time.Duration
			s.onResolved = func(_ *simEntry, r Resolved) { result, decidedAt = r.Result, s.now }
			s.send(s.entries[0], Claim{Key: testKey(1), Request: "a", RunDeadline: epoch.Add(time.Minute)})
			s.advance(10 * time.Second)
			assert.Equal(t, result, StoreUnavailable)
			assert.Equal(t, decidedAt, c.want)
		})
	}
}

// Guards against claims that wait until their writer has loaded its shard. A restarted
// entry, or the successor of a leaving one, would refuse the first of them beside load.
func TestPreferredWriterLoadsShardBeforeClaims(t *testing.T) {
	s := newSim(1, Options{Shards: 2})
	s.planCall = slowCalls(400 * time.Millisecond)
	e := s.entries[0]
	s.send(e, SetEntries{[]string{e.name}})
	s.advance(2 * time.Second)
	decidedAt := map[string]time.Duration{}
	s.onResolved = func(_ *simEntry, r Resolved) {
		assert.Equal(t, r.Result, Granted)
		decidedAt[r.Request] = s.now
	}
	start := s.now
	for i, request := range []string{"a", "b", "c", "d"} {
		s.send(e, Claim{Key: testKey(i), Request: request})
	}
	s.advance(3 * time.Second)
	assert.Equal(t, len(decidedAt), 4)
	for request, at := range decidedAt {
		assert.Assert(t, at-start < 500*time.Millisecond, "claim %s took %v", request, at-start)
	}
}
