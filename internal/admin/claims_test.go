package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// claimsBackend is a fakeEntry that also applies claim events and stores them.
type claimsBackend struct {
	*fakeEntry
	store   platform.Store
	machine *claims.StateMachine
	now     time.Time
	audits  []ClaimAudit
}

// EndClaim and Audit implement Backend for the tests of the manifest, which do not
// call them.
func (f *fakeEntry) EndClaim(context.Context, api.ClaimEndParams) error { return nil }
func (f *fakeEntry) Audit(ClaimAudit)                                   {}

func (b *claimsBackend) Audit(a ClaimAudit) { b.audits = append(b.audits, a) }

func (b *claimsBackend) EndClaim(_ context.Context, e api.ClaimEndParams) error {
	key := claims.Key{Customer: e.Customer, Service: e.Service, Operation: e.Operation, IdempotencyKey: e.IdempotencyKey}
	var event claims.Event = claims.Released{Key: key, Request: e.Request}
	if e.State == api.ClaimEndParamsStateCompleted {
		event = claims.Completed{Key: key, Request: e.Request, Answer: claims.Answer{Body: []byte(`{"n":1}`)}}
	}
	b.runEvent(event)
	return nil
}

// runEvent handles an event and its store effects until no write is pending, and
// returns the decision on the claim.
func (b *claimsBackend) runEvent(e claims.Event) (result claims.Result) {
	queue := b.machine.Handle(b.now, e)
	for len(queue) > 0 || b.machine.PendingCount() > 0 {
		if len(queue) == 0 {
			b.now = b.now.Add(10 * time.Millisecond)
			queue = b.machine.Handle(b.now, claims.Tick{})
			continue
		}
		effect := queue[0]
		queue = queue[1:]
		switch x := effect.(type) {
		case claims.ReadObject:
			o, err := b.store.Get(context.Background(), x.ObjectKey)
			queue = append(queue, b.machine.Handle(b.now, claims.ObjectRead{ObjectKey: x.ObjectKey, Version: o.Version, Value: o.Value, NotFound: err != nil})...)
		case claims.WriteObject:
			o, err := b.store.Put(context.Background(), x.ObjectKey, x.Value, x.IfVersion)
			outcome := claims.WriteSucceeded
			if err != nil {
				outcome = claims.WriteConflict
			}
			queue = append(queue, b.machine.Handle(b.now, claims.ObjectWritten{ObjectKey: x.ObjectKey, Version: o.Version, Outcome: outcome})...)
		case claims.Resolved:
			result = x.Result
		}
	}
	return result
}

// Guards against an operator who releases a key while its call runs or for the
// wrong request, and against a resolution without effect or audit record.
func TestResolveClaim(t *testing.T) {
	snapshot, err := manifest.Compile([]byte(testManifest("operator", "")), api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	b := &claimsBackend{fakeEntry: &fakeEntry{snapshot}, store: memstore.New(), machine: claims.NewStateMachine("e", 1, claims.Options{}), now: time.Now()}
	h := NewHandler(Options{Backend: b, Store: b.store, MaxBodyBytes: 1 << 20})
	key := ClaimKey{"north", "booking", "confirm", "k"}
	claimKey := func(request string, until time.Time) claims.Result {
		return b.runEvent(claims.Claim{Key: claims.Key(key), Request: request, BodyDigest: "x", RunDeadline: until})
	}
	resolve := func(request, outcome string, answer json.RawMessage) (int, ClaimView) {
		raw, err := json.Marshal(ClaimResolution{ClaimKey: key, Request: request, Outcome: outcome, Answer: answer})
		assert.NilError(t, err)
		return requestClaim(t, h, http.MethodPost, "/admin/v1/claims/resolve", raw)
	}
	readClaim := func() ClaimView {
		q := url.Values{"customer": {"north"}, "service": {"booking"}, "operation": {"confirm"}, "idempotencyKey": {"k"}}
		status, view := requestClaim(t, h, http.MethodGet, "/admin/v1/claims?"+q.Encode(), nil)
		assert.Equal(t, status, http.StatusOK)
		return view
	}

	assert.Equal(t, readClaim().State, ClaimFree)
	assert.Equal(t, claimKey("r1", time.Now().Add(-resolveMargin/2)), claims.Granted)
	assert.Equal(t, readClaim().State, ClaimInProgress)
	status, _ := resolve("r1", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "the call may still be running")

	b.runEvent(claims.Released{Key: claims.Key(key), Request: "r1"})
	assert.Equal(t, claimKey("r2", time.Now().Add(-2*resolveMargin)), claims.Granted)
	assert.Equal(t, readClaim().State, ClaimUnknown)
	status, _ = resolve("r1", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "another request has claimed the key")
	status, view := resolve("r2", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, view.State, ClaimFree)

	assert.Equal(t, claimKey("r3", time.Now().Add(-2*resolveMargin)), claims.Granted)
	status, view = resolve("r3", OutcomeCompleted, json.RawMessage(`{"n":1}`))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, view.State, ClaimCompleted)
	assert.Equal(t, claimKey("r4", time.Time{}), claims.AlreadyCompleted)
	status, _ = resolve("r3", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "a completed call cannot be released")
	status, _ = resolve("r3", OutcomeCompleted, nil)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, len(b.audits), 5)
	assert.Equal(t, b.audits[0].Operator, "op")
}

func requestClaim(t *testing.T, h http.Handler, method, path string, body []byte) (int, ClaimView) {
	t.Helper()
	w := request(h, method, path, "operator", string(body))
	var view ClaimView
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &view))
	return w.Code, view
}
