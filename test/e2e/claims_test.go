package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/internal/admin"
	"github.com/borageflow/borageflow/internal/adminclient"
	"github.com/borageflow/borageflow/internal/standin/base"
)

// Guards against violations of guarantee 7 between processes: a call that is
// repeated through another entry runs twice, because the entries do not ask the
// one that grants the claim; or a call with an unknown outcome is resolved while
// it may still be running.
func TestClaimsBetweenEntries(t *testing.T) {
	t.Parallel()
	spec := faultSpec()
	c := startCluster(t, spec)
	send := func(entry int, key string) response {
		resp, err := post(c.callerURL(entry)+"/v1/services/booking/confirm", keyNorth, map[string]string{"Idempotency-Key": key}, `{"n":1}`)
		assert.NilError(t, err)
		return resp
	}
	client, err := adminclient.New(adminclient.Options{URL: "http://" + c.processes["entry-1"].settings.Listen.Admin, Key: keyAdmin})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	claimKey := func(key string) admin.ClaimKey {
		return admin.ClaimKey{Customer: "north", Service: "booking", Operation: "confirm", IdempotencyKey: key}
	}
	remoteGrants := 0
	for i := range 16 {
		key := fmt.Sprintf("key-%d", i)
		first, repeat := send(1, key), send(2, key)
		assert.Equal(t, first.status, http.StatusOK, string(first.body))
		assert.Equal(t, repeat.status, http.StatusOK, string(repeat.body))
		assert.Equal(t, string(repeat.body), string(first.body))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			view, err := client.Claim(ctx, claimKey(key))
			if err != nil || view.State != admin.ClaimCompleted {
				return poll.Continue("claim is %q: %v", view.State, err)
			}
			if len(view.Entry) < 8 || view.Entry[:8] != "entry-1@" {
				remoteGrants++
			}
			return poll.Success()
		}, poll.WithTimeout(settleTimeout))
	}
	assert.Assert(t, remoteGrants > 0, "no claim was granted by an entry other than entry-1")

	for _, s := range c.Services {
		s.Faults().Set(base.Fault{Kind: base.FaultError, Share: 1})
	}
	unknown := send(1, "unknown")
	assert.Assert(t, unknown.status != http.StatusOK)
	view, err := client.Claim(ctx, claimKey("unknown"))
	assert.NilError(t, err)
	assert.Equal(t, view.State, admin.ClaimInProgress)
	_, err = client.ResolveClaim(ctx, admin.ClaimResolution{ClaimKey: claimKey("unknown"), Request: view.Request, Outcome: admin.OutcomeNotRun})
	assert.ErrorContains(t, err, "may still be running")
}
