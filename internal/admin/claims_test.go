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

// bookBackend is an entry with nothing but a Book.
type bookBackend struct {
	*fakeEntry
	store  platform.Store
	book   *claims.Book
	now    time.Time
	audits []ClaimAudit
}

// EndClaim and Audit are not used by the tests of the manifest.
func (f *fakeEntry) EndClaim(context.Context, api.ClaimEndParams) error { return nil }
func (f *fakeEntry) Audit(ClaimAudit)                                   {}

func (b *bookBackend) Audit(a ClaimAudit) { b.audits = append(b.audits, a) }

func (b *bookBackend) EndClaim(_ context.Context, e api.ClaimEndParams) error {
	key := claims.Key{Customer: e.Customer, Service: e.Service, Operation: e.Operation, IdempotencyKey: e.IdempotencyKey}
	var event claims.Event = claims.Released{Key: key, Request: e.Request}
	if e.State == api.ClaimEndParamsStateCompleted {
		event = claims.Completed{Key: key, Request: e.Request, Answer: claims.Answer{Body: []byte(`{"n":1}`)}}
	}
	b.handle(event)
	return nil
}

// handle runs an event until the Book has nothing left to write, and returns the
// decision.
func (b *bookBackend) handle(e claims.Event) (result claims.Result) {
	queue := b.book.Handle(b.now, e)
	for len(queue) > 0 || b.book.Unwritten() > 0 {
		if len(queue) == 0 {
			b.now = b.now.Add(10 * time.Millisecond)
			queue = b.book.Handle(b.now, claims.Tick{})
			continue
		}
		effect := queue[0]
		queue = queue[1:]
		switch x := effect.(type) {
		case claims.ReadObject:
			o, err := b.store.Get(context.Background(), x.ObjectKey)
			queue = append(queue, b.book.Handle(b.now, claims.StoreRead{ObjectKey: x.ObjectKey, Version: o.Version, Value: o.Value, NotFound: err != nil})...)
		case claims.WriteObject:
			o, err := b.store.Put(context.Background(), x.ObjectKey, x.Value, x.IfVersion)
			outcome := claims.Written
			if err != nil {
				outcome = claims.Conflict
			}
			queue = append(queue, b.book.Handle(b.now, claims.StoreWritten{ObjectKey: x.ObjectKey, Version: o.Version, Outcome: outcome})...)
		case claims.Resolved:
			result = x.Result
		}
	}
	return result
}

// Guards against an operator who frees a key while its call runs or for the wrong
// request, and against a stated outcome that has no effect or no audit line.
func TestResolveClaim(t *testing.T) {
	snapshot, err := manifest.Compile([]byte(testManifest("operator", "")), api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	b := &bookBackend{fakeEntry: &fakeEntry{snapshot}, store: memstore.New(), book: claims.NewBook("e", 1, claims.Options{}), now: time.Now()}
	h := NewHandler(Options{Backend: b, Store: b.store, BodyBytes: 1 << 20})
	key := ClaimKey{"north", "booking", "confirm", "k"}
	claim := func(request string, until time.Time) claims.Result {
		return b.handle(claims.Claim{Key: claims.Key(key), Request: request, BodyDigest: "x", Until: until})
	}
	resolve := func(request, outcome string, answer json.RawMessage) (int, ClaimView) {
		raw, err := json.Marshal(ClaimResolution{ClaimKey: key, Request: request, Outcome: outcome, Answer: answer})
		assert.NilError(t, err)
		return callClaim(t, h, http.MethodPost, "/admin/v1/claims/resolve", raw)
	}
	show := func() ClaimView {
		q := url.Values{"customer": {"north"}, "service": {"booking"}, "operation": {"confirm"}, "idempotencyKey": {"k"}}
		status, view := callClaim(t, h, http.MethodGet, "/admin/v1/claims?"+q.Encode(), nil)
		assert.Equal(t, status, http.StatusOK)
		return view
	}

	assert.Equal(t, show().State, ClaimFree)
	assert.Equal(t, claim("r1", time.Now().Add(-settleMargin/2)), claims.Granted)
	assert.Equal(t, show().State, ClaimInProgress)
	status, _ := resolve("r1", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "a run may be going on")

	b.handle(claims.Released{Key: claims.Key(key), Request: "r1"})
	assert.Equal(t, claim("r2", time.Now().Add(-2*settleMargin)), claims.Granted)
	assert.Equal(t, show().State, ClaimUnknown)
	status, _ = resolve("r1", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "another request holds the key")
	status, view := resolve("r2", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, view.State, ClaimFree)

	assert.Equal(t, claim("r3", time.Now().Add(-2*settleMargin)), claims.Granted)
	status, view = resolve("r3", OutcomeCompleted, json.RawMessage(`{"n":1}`))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, view.State, ClaimCompleted)
	assert.Equal(t, claim("r4", time.Time{}), claims.AlreadyCompleted)
	status, _ = resolve("r3", OutcomeNotRun, nil)
	assert.Equal(t, status, http.StatusConflict, "a completed call cannot be released")
	status, _ = resolve("r3", OutcomeCompleted, nil)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, len(b.audits), 5)
	assert.Equal(t, b.audits[0].Operator, "op")
}

func callClaim(t *testing.T, h http.Handler, method, path string, body []byte) (int, ClaimView) {
	t.Helper()
	w := call(h, method, path, "operator", string(body))
	var view ClaimView
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &view))
	return w.Code, view
}
