package sidecar

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

const serviceManifest = `{"schemaVersion":1,
 "operators":[{"name":"op","keyHash":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}],
 "customers":[{"name":"c","keyHashes":["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"],"services":["s"]}],
 "models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
 "services":[{"name":"s","operations":[{"name":"book","idempotent":false}]}],
 "classes":[{"name":"q","qualityTarget":0.5,"deadlineMs":1000,"weighting":"latency"}]}`

const testIncarnation = 5

// newServiceCore returns the core of a sidecar in state ready beside a service.
func newServiceCore(t *testing.T, now time.Time) *Core {
	t.Helper()
	snapshot, err := manifest.Compile([]byte(serviceManifest), api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	c := NewCore(Config{
		Self:    api.Member{Instance: "i", Incarnation: testIncarnation},
		Backend: api.Backend{Kind: api.BackendKindService, Name: "s-1", Service: "s"},
	}, rand.New(rand.NewPCG(1, 1)))
	c.Handle(now, SnapshotApplied{Snapshot: snapshot})
	c.Handle(now, BackendLoad{})
	return c
}

// sendBooking sends a call that always has the same idempotency key. It returns the kind
// of the refusal, or an empty kind when the call was started.
func sendBooking(c *Core, now time.Time, request string, incarnation int) errkind.Kind {
	body := json.RawMessage(`{}`)
	effects := c.Handle(now, RunRequested{Link: 1, Params: api.RunParams{
		Request: request, Attempt: 1, Customer: "c", Kind: api.RunKindService, Service: "s", Operation: "book",
		IdempotencyKey: "k", Body: &body, DeadlineMs: 1000, Incarnation: incarnation, Revision: api.Revision{Generation: 1, Version: 1},
	}})
	for _, e := range effects {
		if sent, ok := e.(SendResult); ok {
			return errkind.Kind(sent.Result.Kind)
		}
	}
	return ""
}

// Guards against a second run of a non-idempotent call: a call that is refused for
// another reason, here a stale incarnation, must not remove the idempotency key of the
// call that ran.
func TestRefusalKeepsKeyOfCallThatRan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newServiceCore(t, now)
	assert.Equal(t, sendBooking(c, now, "first", testIncarnation), errkind.Kind(""))
	c.Handle(now, BackendEnded{Request: "first", Attempt: 1, Body: json.RawMessage(`{}`)})
	assert.Equal(t, sendBooking(c, now, "second", testIncarnation), errkind.DuplicateUnknown)
	assert.Equal(t, sendBooking(c, now, "third", testIncarnation-1), errkind.StaleIncarnation)
	assert.Equal(t, sendBooking(c, now, "fourth", testIncarnation), errkind.DuplicateUnknown)
}
