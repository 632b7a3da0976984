package entry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Guards guarantee 9 against a claim that is refused because its usual writer is
// being stopped: the writer's refusal proves that its Book did not see the claim,
// so that this entry claims for itself.
func TestClaimRefusedByLeavingWriterIsMadeHere(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := readyCore(t, now)
	key := claims.Key{Customer: "north", Service: "s", Operation: "o", IdempotencyKey: "k"}
	r := &request{
		RequestArrived: RequestArrived{Request: "a", Service: "s", Operation: "o", IdempotencyKey: "k", Body: json.RawMessage(`{}`)},
		deadline:       now.Add(time.Second), attempts: map[int]*attempt{}, claim: &key,
	}
	r.customer, _ = c.snapshot.Customer("north")
	r.class, _ = c.snapshot.Class("")
	c.requests["a"] = r
	c.handover.asked["a"] = key
	effects := c.Handle(now, ClaimHanded{Address: "writer", Request: "a", Err: errkind.New(errkind.Draining, "instance is leaving")})
	_, answered := answerOf(effects)
	assert.Assert(t, !answered, "the request was refused")
	read := false
	for _, e := range effects {
		if _, ok := e.(ReadObject); ok {
			read = true
		}
	}
	assert.Assert(t, read, "the claim was not made here")
	assert.Equal(t, api.RunKind(""), r.Kind)
}
