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

// resolveMargin is the time after the deadline of a run from which an operator may
// resolve its claim. It covers 30 s for a late outcome, 10 s for the result of an
// attempt, and clocks that differ by some seconds.
const resolveMargin = time.Minute

// Outcomes with which an operator can resolve a claim.
const (
	OutcomeNotRun    = "not_run"
	OutcomeCompleted = "completed"
)

// ClaimKey identifies a non-idempotent call of a service.
type ClaimKey struct {
	Customer       string `json:"customer"`
	Service        string `json:"service"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotencyKey"`
}

// ClaimView is the state of a claim key in the store. GET /admin/v1/claims and POST
// /admin/v1/claims/resolve return it.
type ClaimView struct {
	ClaimKey
	// State is free, in_progress, unknown or completed.
	State string `json:"state"`
	// Request is the request of the last claim of the key.
	Request string `json:"request,omitempty"`
	// Entry is the process that granted the last claim.
	Entry string `json:"entry,omitempty"`
	// Sidecar is the sidecar of the last claim.
	Sidecar string `json:"sidecar,omitempty"`
	// RunDeadline is the latest end of the run under the last claim.
	RunDeadline time.Time `json:"until,omitzero"`
}

// States of a ClaimView.
const (
	ClaimFree       = "free"
	ClaimInProgress = "in_progress"
	ClaimUnknown    = "unknown"
	ClaimCompleted  = "completed"
)

// ClaimResolution is the request body of POST /admin/v1/claims/resolve: the outcome
// of a call that an operator has found out.
type ClaimResolution struct {
	ClaimKey
	// Request is the request whose outcome the operator checked with the service.
	Request string `json:"request"`
	// Outcome is not_run or completed.
	Outcome string `json:"outcome"`
	// Answer is the response of the service; required for completed, else empty.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// ClaimAudit is one record of the audit log of claim resolutions.
type ClaimAudit struct {
	// Operator is the name of the operator in the manifest.
	Operator string
	// End is the outcome that the operator requested.
	End api.ClaimEndParams
	// Result is the state of the key afterwards, or the error.
	Result string
}

func (h *handler) serveClaim(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	key := ClaimKey{q.Get("customer"), q.Get("service"), q.Get("operation"), q.Get("idempotencyKey")}
	view, err := h.readClaim(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// readClaim computes the state of a key from the log of its shard in the store, not
// from memory, so that every entry returns the same.
func (h *handler) readClaim(ctx context.Context, k ClaimKey) (ClaimView, error) {
	if k.Customer == "" || k.Service == "" || k.Operation == "" || k.IdempotencyKey == "" {
		return ClaimView{}, errkind.New(errkind.InvalidRequest, "customer, service, operation and idempotencyKey are required")
	}
	key := claims.Key(k)
	list, err := h.Store.List(ctx, claims.ObjectPrefix)
	if err != nil {
		return ClaimView{}, errkind.Wrap(err, errkind.StoreUnavailable, "claim objects cannot be listed")
	}
	objectKeys := make([]string, len(list))
	for i, o := range list {
		objectKeys[i] = o.Key
	}
	inspector := claims.NewInspector(time.Now(), key)
	for _, name := range claims.SegmentKeys(key, claims.DefaultShards, objectKeys) {
		object, err := h.Store.Get(ctx, name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return ClaimView{}, errkind.Wrap(err, errkind.StoreUnavailable, "claim object "+name+" cannot be read")
		}
		if err := inspector.Add(object.Value); err != nil {
			return ClaimView{}, errkind.Wrap(err, errkind.Internal, name+" is invalid")
		}
	}
	return newClaimView(k, inspector.Status(), time.Now()), nil
}

func newClaimView(k ClaimKey, status claims.KeyStatus, now time.Time) ClaimView {
	view := ClaimView{
		ClaimKey: k, State: ClaimFree, Request: status.Claim.Request, Entry: status.Claim.Entry, Sidecar: status.Claim.Sidecar, RunDeadline: status.RunDeadline,
	}
	switch status.State {
	case api.ClaimStateCompleted:
		view.State = ClaimCompleted
	case api.ClaimStateClaimed, api.ClaimStateUnknown:
		// The outcome can be recorded as unknown while an attempt is still running.
		view.State = ClaimUnknown
		if now.Before(status.RunDeadline.Add(resolveMargin)) {
			view.State = ClaimInProgress
		}
	}
	return view
}

// serveResolveClaim records the outcome of a request that can no longer be running.
// The record contains the request, so that it has no effect when another request
// has claimed the key in the meantime.
func (h *handler) serveResolveClaim(w http.ResponseWriter, r *http.Request) {
	raw, err := h.readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	var resolution ClaimResolution
	if err := json.Unmarshal(raw, &resolution); err != nil {
		writeError(w, errkind.Wrap(err, errkind.InvalidRequest, "request body is not a claim resolution"))
		return
	}
	end, err := claimEnd(resolution)
	if err != nil {
		writeError(w, err)
		return
	}
	view, err := h.applyResolution(r.Context(), resolution, end)
	audit := ClaimAudit{Operator: h.operatorName(r), End: end, Result: view.State}
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

// operatorName returns the name of the operator in the manifest, or unknown.
func (h *handler) operatorName(r *http.Request) string {
	if snapshot := h.Backend.Snapshot(); snapshot != nil {
		if o, ok := snapshot.OperatorByKey(bearerKey(r)); ok {
			return o.Name
		}
	}
	return "unknown"
}

func claimEnd(r ClaimResolution) (api.ClaimEndParams, error) {
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
		return end, errkind.New(errkind.InvalidRequest, "outcome must be not_run without an answer, or completed with an answer")
	}
	if r.Request == "" {
		return end, errkind.New(errkind.InvalidRequest, "request is required: read it from the claim and check its outcome with the service")
	}
	return end, nil
}

func (h *handler) applyResolution(ctx context.Context, r ClaimResolution, end api.ClaimEndParams) (ClaimView, error) {
	view, err := h.readClaim(ctx, r.ClaimKey)
	if err != nil {
		return view, err
	}
	switch {
	case view.State == ClaimInProgress:
		return view, errkind.New(errkind.DuplicateInProgress, "request "+view.Request+" may still be running").
			WithRetryAfter(time.Until(view.RunDeadline.Add(resolveMargin)))
	case view.State != ClaimUnknown:
		return view, errkind.New(errkind.Conflict, "claim is "+view.State+", only an unknown one can be resolved")
	case view.Request != r.Request:
		return view, errkind.New(errkind.Conflict, "idempotency key is claimed by another request, "+view.Request)
	}
	if err := h.Backend.EndClaim(ctx, end); err != nil {
		return view, err
	}
	view, err = h.readClaim(ctx, r.ClaimKey)
	wantState := ClaimFree
	if r.Outcome == OutcomeCompleted {
		wantState = ClaimCompleted
	}
	// A retry may already have claimed the released key for another request.
	if err == nil && view.State != wantState && view.Request == r.Request {
		err = errkind.New(errkind.Conflict, "claim is "+view.State+": another outcome was stored first")
	}
	return view, err
}
