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

// Guards against a request that fails because the preferred writer of its claim
// is stopping. The preferred writer refuses the claim before it records anything,
// so this entry can decide the claim without running the call twice.
func TestClaimRefusedByLeavingWriterIsMadeHere(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := newReadyCore(t, now)
	key := claims.Key{Customer: "north", Service: "s", Operation: "o", IdempotencyKey: "k"}
	r := &request{
		RequestArrived: RequestArrived{Request: "a", Service: "s", Operation: "o", IdempotencyKey: "k", Body: json.RawMessage(`{}`)},
		deadline:       now.Add(time.Second), attempts: map[int]*attempt{}, claim: &key,
	}
	r.customer, _ = c.snapshot.Customer("north")
	r.class, _ = c.snapshot.Class("")
	c.requests["a"] = r
	c.forwarding.pendingClaims["a"] = key
	effects := c.Handle(now, ForwardClaimDone{Address: "writer", Request: "a", Err: errkind.New(errkind.Draining, "instance is leaving")})
	_, answered := findAnswer(effects)
	assert.Assert(t, !answered, "the request was refused")
	hasRead := false
	for _, e := range effects {
		if _, ok := e.(ReadObject); ok {
			hasRead = true
		}
	}
	assert.Assert(t, hasRead, "this entry did not decide the claim itself")
	assert.Equal(t, api.RunKind(""), r.Kind)
}
