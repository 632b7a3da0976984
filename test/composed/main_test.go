package composed

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
)

// ciSeed is the default seed, with which every CI run draws the same actions. For
// other runs pass -rapid.seed and -rapid.checks.
const ciSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", ciSeed)
	}
	os.Exit(m.Run())
}

// Guards against a fuzz test that passes because its simulation serves no request.
func TestSimulationServesRequests(t *testing.T) {
	sim := newSimulation(1)
	n := sim.entries[0]
	send := func(r entry.RequestArrived) {
		sim.oracle.recordCall(&call{request: r, customer: "north", node: n, nodeIncarnation: n.incarnation, sentAt: sim.now})
		sim.deliverToEntry(n, n.incarnation, r)
	}
	send(entry.RequestArrived{
		Request: "chat", APIKey: keyNorth, Kind: api.RunKindChat, Model: "large-1", Stream: true, Session: entry.SessionNew,
		Messages: []api.ChatMessage{{Role: "user", Content: "question"}},
	})
	send(entry.RequestArrived{
		Request: "confirm", APIKey: keyNorth, Kind: api.RunKindService, Service: "booking", Operation: "confirm",
		IdempotencyKey: "k", Body: json.RawMessage(`{"n":1}`),
	})
	sim.advance(5 * time.Second)
	sim.oracle.checkFinalState()
	assert.Equal(t, len(sim.oracle.violations), 0, "%v", sim.oracle.violations)
	assert.Equal(t, len(sim.oracle.runs), 2)
	for _, id := range []string{"chat", "confirm"} {
		assert.Assert(t, sim.oracle.calls[id].answer != nil, id)
		assert.Assert(t, sim.oracle.calls[id].answer.Err == nil, "%s: %v", id, sim.oracle.calls[id].answer.Err)
	}
	assert.Assert(t, sim.oracle.calls["chat"].answer.Session != "")
}
