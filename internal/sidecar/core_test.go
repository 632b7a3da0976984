package sidecar

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// findEffects returns the effects of one type.
func findEffects[E Effect](effects []Effect) []E {
	var out []E
	for _, e := range effects {
		if found, ok := e.(E); ok {
			out = append(out, found)
		}
	}
	return out
}

// Guards against a run that never ends for its caller: a duplicate of its attempt over
// another link must be refused without removing the original.
func TestDuplicateKeepsRunningAttempt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newServiceCore(t, now)
	body := json.RawMessage(`{}`)
	run := RunRequested{Link: 1, Params: api.RunParams{
		Request: "a", Attempt: 1, Customer: "c", Kind: api.RunKindService, Service: "s", Operation: "book",
		IdempotencyKey: "k", Body: &body, DeadlineMs: 1000, Incarnation: testIncarnation, Revision: api.Revision{Generation: 1, Version: 1},
	}}
	c.Handle(now, run)
	run.Link = 2
	refused := findEffects[SendResult](c.Handle(now, run))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Link, LinkID(2))
	assert.Equal(t, errkind.Kind(refused[0].Result.Kind), errkind.DuplicateUnknown)
	ended := findEffects[SendResult](c.Handle(now, BackendEnded{Request: "a", Attempt: 1, Body: json.RawMessage(`{}`)}))
	assert.Equal(t, len(ended), 1, "the original attempt got no result")
	assert.Equal(t, ended[0].Link, LinkID(1))
	assert.Equal(t, c.runningAttempts, 0)
}

// Guards against an attempt that meets a closed link, so that it is not known whether it ran:
// an entry may send one before it handles the notice that this instance leaves.
func TestAttemptDuringLeaveNoticeIsRefused(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newServiceCore(t, now)
	effects := c.Handle(now, DrainStarted{})
	assert.Equal(t, len(findEffects[AnnounceLeaving](effects)), 1)
	assert.Equal(t, len(findEffects[Drained](effects)), 0)
	assert.Equal(t, sendBooking(c, now.Add(100*time.Millisecond), "late", testIncarnation), errkind.Draining)
	assert.Equal(t, len(findEffects[Drained](c.Handle(now.Add(200*time.Millisecond), Tick{}))), 0)
	assert.Equal(t, len(findEffects[Drained](c.Handle(now.Add(leaveNoticeTime), Tick{}))), 1)
}

// Guards against a call that fails although some of its usage records are stored: the entry
// would store them elsewhere too.
func TestUsageReplicaIsStoredWhole(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newServiceCore(t, now)
	records := []api.UsageRecord{{Request: "a"}, {Request: "b"}, {Request: strings.Repeat("x", 200)}}
	stored := findEffects[UsageReplicaStored](c.Handle(now, UsageReplicaReceived{ID: 1, Records: records}))
	assert.Equal(t, len(stored), 1)
	assert.Assert(t, stored[0].Err != nil)
	assert.Equal(t, c.unconfirmedUsage.RecordCount(), 0)
	stored = findEffects[UsageReplicaStored](c.Handle(now, UsageReplicaReceived{ID: 2, Records: records[:2]}))
	assert.Assert(t, stored[0].Err == nil)
	assert.Equal(t, c.unconfirmedUsage.RecordCount(), 2)
}

// Guards against a usage record that is lost without a trace.
func TestDroppedUsageIsReported(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newServiceCore(t, now)
	request := strings.Repeat("x", 200)
	assert.Equal(t, sendBooking(c, now, request, testIncarnation), errkind.Kind(""))
	dropped := findEffects[UsageDropped](c.Handle(now, BackendEnded{Request: request, Attempt: 1, Body: json.RawMessage(`{}`)}))
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Request, request)
}
