package entry

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

const testVersion = "notes-1"

// newReadyCore returns a core with a manifest and two ready sidecars.
func newReadyCore(t *testing.T, now time.Time) (*Core, []api.Member) {
	t.Helper()
	raw, err := json.Marshal(api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: manifest.HashAPIKey("operator")}},
		Customers:     []api.Customer{{Name: "north", KeyHashes: []string{manifest.HashAPIKey("north")}, Versions: []string{testVersion}}},
		Models: []api.Model{{Name: "notes", Versions: []api.Version{
			{Name: testVersion, Phase: api.PhaseServing, CostPerKiloToken: 1, PriorQuality: 0.9},
		}}},
		Classes: []api.Class{{Name: "lookup", QualityTarget: 0.5, DeadlineMs: 10000, Weighting: api.WeightingLatency, MaxOutputTokens: 32}},
		Pools:   []api.Pool{{Name: "models", Versions: []string{testVersion}}},
	})
	assert.NilError(t, err)
	snapshot, err := manifest.Compile(raw, api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	c := NewCore(Config{Self: api.Member{Instance: "entry-1", Incarnation: 1, FailureDomain: "fd-a"}}, rand.New(rand.NewPCG(1, 1)))
	c.Handle(now, SnapshotApplied{Snapshot: snapshot})
	var members []api.Member
	for i, name := range []string{"engine-1", "engine-2"} {
		members = append(members, api.Member{
			Instance: "sidecar-" + name, Incarnation: 10 + i, Role: string(api.RoleSidecar), FailureDomain: "fd-a",
			Address: "127.0.0.1:" + name, BackendServer: name, Versions: []string{testVersion}, Slots: 8, State: api.MemberStateReady,
		})
	}
	c.Handle(now, MembersChanged{Members: members})
	return c, members
}

func findStartAttempt(effects []Effect) (StartAttempt, bool) {
	for _, e := range effects {
		if start, ok := e.(StartAttempt); ok {
			return start, true
		}
	}
	return StartAttempt{}, false
}

func newArrival(id string) RequestArrived {
	return RequestArrived{
		Request: id, APIKey: "north", Kind: api.RunKindChat, Class: "lookup", Model: testVersion,
		Messages: []api.ChatMessage{{Role: "user", Content: id}}, MaxTokens: 8, Timeout: time.Second,
	}
}

// Guards against requests that wait until their deadline for a sidecar that
// stopped answering while another backend server could answer.
func TestWedgedSidecarLosesItsRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	c, members := newReadyCore(t, now)
	first, ok := findStartAttempt(c.Handle(now, newArrival("a")))
	assert.Assert(t, ok)
	for i := range members {
		if members[i].Address == first.Address {
			members[i].State = api.MemberStateWedged
		}
	}
	second, ok := findStartAttempt(c.Handle(now, MembersChanged{Members: members}))
	assert.Assert(t, ok, "no attempt on the other backend server")
	assert.Assert(t, second.Address != first.Address)
	_, repeated := findStartAttempt(c.Handle(now, MembersChanged{Members: members}))
	assert.Assert(t, !repeated, "the same attempt was abandoned twice")
}

// Guards against requests that ended at their deadline counting as load of
// their backend server forever. The predicted wait then grows until every later
// request is refused.
func TestExpiredRequestsLeaveNoLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := newReadyCore(t, now)
	before, _ := c.fleet.EstimateQueueTime(now, testVersion)
	for i := range 200 {
		_, ok := findStartAttempt(c.Handle(now, newArrival("r"+strconv.Itoa(i))))
		assert.Assert(t, ok, "request %d is refused", i)
		now = now.Add(2 * time.Second)
		c.Handle(now, Tick{})
		assert.Equal(t, len(c.requests), 0)
	}
	now = now.Add(time.Minute)
	after, _ := c.fleet.EstimateQueueTime(now, testVersion)
	assert.Equal(t, after, before)
}

// Guards against a refusal without a time at which the caller may retry.
func TestNoCandidateSaysWhenToRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	c, members := newReadyCore(t, now)
	for i := range members {
		members[i].State = api.MemberStateDead
	}
	c.Handle(now, MembersChanged{Members: members})
	for _, e := range c.Handle(now, newArrival("a")) {
		if a, ok := e.(Answer); ok {
			assert.Equal(t, a.Err.Kind, errkind.NoCandidate)
			assert.Assert(t, a.Err.RetryAfter > 0)
			return
		}
	}
	t.Fatal("request is not answered at once")
}
