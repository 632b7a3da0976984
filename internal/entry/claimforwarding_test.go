package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/platform"
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
	assert.Assert(t, writesClaim(c, now, "a"), "this entry did not decide the claim itself")
	assert.Equal(t, api.RunKind(""), r.Kind)
}

// writesClaim answers the reads of claim objects as an empty store does and reports whether
// the core then writes a claim of the request.
func writesClaim(c *Core, now time.Time, request string) bool {
	key := claims.Key{Customer: "north", Service: "s", Operation: "o", IdempotencyKey: "k"}
	for shard := range claims.DefaultShards {
		for _, object := range []string{fmt.Sprintf("claims/head/%d", shard), fmt.Sprintf("claims/0/%d", shard)} {
			for step := range 3 {
				at := now.Add(time.Duration(step) * 20 * time.Millisecond)
				for _, e := range append(c.Handle(at, ObjectRead{Key: object, Err: platform.ErrNotFound}), c.Handle(at, Tick{})...) {
					if w, ok := e.(WriteObject); ok && strings.Contains(string(w.Value), key.HashHex()) && strings.Contains(string(w.Value), request) {
						return true
					}
				}
			}
		}
	}
	return false
}
