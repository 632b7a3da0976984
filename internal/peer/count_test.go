package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against counters of calls that differ from what the connection carries, and against a counted
// call that loses the kind of an error.
func TestBytesOfCallsAreCounted(t *testing.T) {
	_, _, address := startTestNode(t, "server")
	counted := 0
	client := NewNode(Options{
		Handler: &recorder{}, Local: func() api.Hello { return api.Hello{Member: api.Member{Instance: "client"}} },
		OnCall: func(remote api.Member, method string, bytes int) {
			assert.Check(t, remote.Instance == "server" && method == MethodRun)
			counted += bytes
		},
	})
	defer client.Close()
	link, err := client.Link(t.Context(), address)
	assert.NilError(t, err)
	before := client.Counters().SentBytes.Load()
	const calls = 50
	for range calls {
		assert.ErrorContains(t, link.Call(t.Context(), MethodRun, api.RunParams{}, nil), "")
	}
	sent := int(client.Counters().SentBytes.Load() - before)                                                       //nolint:gosec // small
	assert.Assert(t, counted >= sent && counted <= sent+calls*envelopeBytes, "%d counted, %d sent", counted, sent) // answers are errors
}
