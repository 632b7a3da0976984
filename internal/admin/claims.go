package admin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/platform"
)

// settleMargin is added to the stated end of a run before an operator may resolve
// it: 30 s for a late outcome, 10 s for the result of an attempt, and clocks that
// differ by some seconds.
const settleMargin = time.Minute

// Outcomes that an operator may state.
const (
	OutcomeNotRun    = "not_run"
	OutcomeCompleted = "completed"
)

// ClaimKey names a non-idempotent call.
type ClaimKey struct {
	Customer       string `json:"customer"`
	Service        string `json:"service"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotencyKey"`
}

// ClaimView is what the store holds for a key.
type ClaimView struct {
	ClaimKey
	// State is free, in_progress, unknown or completed.
	State string `json:"state"`
	// Request, Entry and Sidecar belong to the last claim of the key. Entry is the
	// process whose Book granted it.
	Request string    `json:"request,omitempty"`
	Entry   string    `json:"entry,omitempty"`
	Sidecar string    `json:"sidecar,omitempty"`
	Until   time.Time `json:"until,omitzero"`
}

// States of a ClaimView.
const (
	ClaimFree       = "free"
	ClaimInProgress = "in_progress"
	ClaimUnknown    = "unknown"
	ClaimCompleted  = "completed"
)

// ClaimResolution states the outcome of a claim.
type ClaimResolution struct {
	ClaimKey
	// Request is the request that the operator has checked with the service.
	Request string `json:"request"`
	// Outcome is not_run or completed.
	Outcome string `json:"outcome"`
	// Answer is the service's answer, for completed.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// ClaimAudit is one line of the audit of resolved claims.
type ClaimAudit struct {
	Operator string
	End      api.ClaimEndParams
	// Result is the state of the key afterwards, or why it was refused.
	Result string
}

func (h *handler) showClaim(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	key := ClaimKey{q.Get("customer"), q.Get("service"), q.Get("operation"), q.Get("idempotencyKey")}
	view, err := h.claim(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// claim reads the shard's log from the store, so that every entry gives the same
// answer.
func (h *handler) claim(ctx context.Context, k ClaimKey) (ClaimView, error) {
	if k.Customer == "" || k.Service == "" || k.Operation == "" || k.IdempotencyKey == "" {
		return ClaimView{}, errkind.New(errkind.InvalidRequest, "customer, service, operation and idempotencyKey are required")
	}
	key := claims.Key(k)
	list, err := h.Store.List(ctx, claims.ObjectPrefix)
	if err != nil {
		return ClaimView{}, errkind.Wrap(err, errkind.StoreUnavailable, "claims cannot be listed")
	}
	names := make([]string, len(list))
	for i, o := range list {
		names[i] = o.Key
	}
	inspector := claims.NewInspector(time.Now(), key)
	for _, name := range claims.SegmentsOf(key, claims.DefaultShards, names) {
		object, err := h.Store.Get(ctx, name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return ClaimView{}, errkind.Wrap(err, errkind.StoreUnavailable, "claims "+name+" cannot be read")
		}
		if err := inspector.Add(object.Value); err != nil {
			return ClaimView{}, errkind.Wrap(err, errkind.Internal, name+" is invalid")
		}
	}
	return viewOf(k, inspector.Found(), time.Now()), nil
}

func viewOf(k ClaimKey, f claims.Found, now time.Time) ClaimView {
	view := ClaimView{
		ClaimKey: k, State: ClaimFree, Request: f.Claim.Request, Entry: f.Claim.Entry, Sidecar: f.Claim.Sidecar, Until: f.Until,
	}
	switch f.State {
	case api.ClaimStateCompleted:
		view.State = ClaimCompleted
	case api.ClaimStateClaimed, api.ClaimStateUnknown:
		// An unknown outcome may be stated while an attempt still runs.
		view.State = ClaimUnknown
		if now.Before(f.Until.Add(settleMargin)) {
			view.State = ClaimInProgress
		}
	}
	return view
}

// resolveClaim states the outcome of a request whose run cannot be going on any
// more. The record names the request, so that it has no effect on another one
// that holds the key by then.
func (h *handler) resolveClaim(w http.ResponseWriter, r *http.Request) {
	raw, err := h.body(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	var resolution ClaimResolution
	if err := json.Unmarshal(raw, &resolution); err != nil {
		writeError(w, errkind.Wrap(err, errkind.InvalidRequest, "body is not a claim resolution"))
		return
	}
	end, err := endOf(resolution)
	if err != nil {
		writeError(w, err)
		return
	}
	view, err := h.resolve(r.Context(), resolution, end)
	audit := ClaimAudit{Operator: h.operator(r), End: end, Result: view.State}
	if err != nil {
		audit.Result = err.Error()
	}
	h.Backend.Audit(audit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

func (h *handler) operator(r *http.Request) string {
	if snapshot := h.Backend.Snapshot(); snapshot != nil {
		if o, ok := snapshot.OperatorByKey(keyOf(r)); ok {
			return o.Name
		}
	}
	return "unknown"
}

func endOf(r ClaimResolution) (api.ClaimEndParams, error) {
	end := api.ClaimEndParams{
		Customer: r.Customer, Service: r.Service, Operation: r.Operation, IdempotencyKey: r.IdempotencyKey, Request: r.Request,
	}
	switch {
	case r.Outcome == OutcomeNotRun && len(r.Answer) == 0:
		end.State = api.ClaimEndParamsStateReleased
	case r.Outcome == OutcomeCompleted && len(r.Answer) > 0:
		end.State = api.ClaimEndParamsStateCompleted
		end.Answer = base64.StdEncoding.EncodeToString(r.Answer)
	default:
		return end, errkind.New(errkind.InvalidRequest, "outcome must be not_run without an answer, or completed with one")
	}
	if r.Request == "" {
		return end, errkind.New(errkind.InvalidRequest, "request is required: show the claim and check it with the service")
	}
	return end, nil
}

func (h *handler) resolve(ctx context.Context, r ClaimResolution, end api.ClaimEndParams) (ClaimView, error) {
	view, err := h.claim(ctx, r.ClaimKey)
	if err != nil {
		return view, err
	}
	switch {
	case view.State == ClaimInProgress:
		return view, errkind.New(errkind.DuplicateInProgress, "request "+view.Request+" may still be running").
			WithRetryAfter(time.Until(view.Until.Add(settleMargin)))
	case view.State != ClaimUnknown:
		return view, errkind.New(errkind.Conflict, "claim is "+view.State+", there is nothing to resolve")
	case view.Request != r.Request:
		return view, errkind.New(errkind.Conflict, "key is held by request "+view.Request)
	}
	if err := h.Backend.EndClaim(ctx, end); err != nil {
		return view, err
	}
	view, err = h.claim(ctx, r.ClaimKey)
	want := ClaimFree
	if r.Outcome == OutcomeCompleted {
		want = ClaimCompleted
	}
	// A repeat may have claimed the key that was just set free.
	if err == nil && view.State != want && view.Request == r.Request {
		err = errkind.New(errkind.Conflict, "claim is "+view.State+": another outcome was stored first")
	}
	return view, err
}
