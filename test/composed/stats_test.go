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

// ciSeed makes every run of CI draw the same actions. A longer run passes
// -rapid.seed and -rapid.checks of its own.
const ciSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", ciSeed)
	}
	os.Exit(m.Run())
}

// Guards against the fuzz test passing because nothing is served in its world.
func TestWorldServesRequests(t *testing.T) {
	w := newWorld(1)
	n := w.entries[0]
	send := func(r entry.RequestArrived) {
		w.oracle.sent(&call{request: r, customer: "north", node: n, nodeAt: n.incarnation, sentAt: w.now})
		w.toEntry(n, n.incarnation, r)
	}
	send(entry.RequestArrived{
		Request: "chat", Key: keyNorth, Kind: api.RunKindChat, Model: "large-1", Stream: true, Session: entry.SessionNew,
		Messages: []api.ChatMessage{{Role: "user", Content: "question"}},
	})
	send(entry.RequestArrived{
		Request: "confirm", Key: keyNorth, Kind: api.RunKindService, Service: "booking", Operation: "confirm",
		IdempotencyKey: "k", Body: json.RawMessage(`{"n":1}`),
	})
	w.advance(5 * time.Second)
	w.oracle.finish()
	assert.Equal(t, len(w.oracle.broken), 0, "%v", w.oracle.broken)
	assert.Equal(t, len(w.oracle.runs), 2)
	for _, id := range []string{"chat", "confirm"} {
		assert.Assert(t, w.oracle.calls[id].answer != nil, id)
		assert.Assert(t, w.oracle.calls[id].answer.Err == nil, "%s: %v", id, w.oracle.calls[id].answer.Err)
	}
	assert.Assert(t, w.oracle.calls["chat"].answer.Session != "")
}
