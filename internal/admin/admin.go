// Package admin is the administration API of an entry. Operators authenticate
// by a key whose hash stands in the manifest in force.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/schemacheck"
	"github.com/borageflow/borageflow/internal/usage"
)

const (
	// maxListedBatches bounds the batches that one call reads from the store.
	maxListedBatches = 2000
)

// Backend is what the API needs of its entry.
type Backend interface {
	// Snapshot returns the manifest in force, or nil.
	Snapshot() *manifest.Snapshot
	// Status returns the status of this entry.
	Status(ctx context.Context) (api.Status, error)
	// Committed hands over a manifest that this process has committed.
	Committed(offer api.ConfigOffer)
	// EndClaim states the end of a claim and returns when it is stored.
	EndClaim(ctx context.Context, end api.ClaimEndParams) error
	// Audit records what an operator resolved.
	Audit(a ClaimAudit)
}

// Options configure the handler of the administration API.
type Options struct {
	Backend Backend
	Store   platform.Store
	// BodyBytes bounds a manifest in a request.
	BodyBytes int64
}

type handler struct {
	Options
	committer *manifest.Committer
}

// NewHandler returns the handler of the administration API.
func NewHandler(o Options) http.Handler {
	h := &handler{Options: o, committer: manifest.NewCommitter(o.Store)}
	router := mux.NewRouter()
	// A commit authenticates by itself, since the first one has no manifest to
	// look the key up in.
	router.HandleFunc("/admin/v1/manifest", h.commit).Methods(http.MethodPut)
	api := router.PathPrefix("/admin/v1").Subrouter()
	api.Use(h.authenticate)
	api.HandleFunc("/status", h.status).Methods(http.MethodGet)
	api.HandleFunc("/usage", h.usage).Methods(http.MethodGet)
	api.HandleFunc("/manifest", h.show).Methods(http.MethodGet)
	api.HandleFunc("/manifest/check", h.check).Methods(http.MethodPost)
	api.HandleFunc("/claims", h.showClaim).Methods(http.MethodGet)
	api.HandleFunc("/claims/resolve", h.resolveClaim).Methods(http.MethodPost)
	return router
}

func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := h.authorized(keyOf(r)); err != nil {
			writeError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// authorized checks an operator key.
func (h *handler) authorized(key string) error {
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		return errkind.New(errkind.NotReady, "no manifest is in force")
	}
	if _, ok := snapshot.OperatorByKey(key); !ok {
		return errkind.New(errkind.Unauthenticated, "operator key is unknown")
	}
	return nil
}

// authorizedFirst admits the commit of the first manifest: it must name the
// caller's key as an operator's, and be based on no revision, so that the store
// refuses it when there is a manifest that this process has not read yet.
func authorizedFirst(key string, raw []byte, base api.Revision) error {
	if base != (api.Revision{}) {
		return errkind.New(errkind.NotReady, "no manifest is in force")
	}
	first, err := manifest.Compile(raw, api.Revision{})
	if err != nil {
		return err
	}
	if _, ok := first.OperatorByKey(key); !ok {
		return errkind.New(errkind.Unauthenticated, "the first manifest must name this key as an operator's")
	}
	return nil
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// Manifest is the manifest in force.
type Manifest struct {
	Revision api.Revision    `json:"revision"`
	Manifest json.RawMessage `json:"manifest"`
}

func (h *handler) show(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		writeError(w, errkind.New(errkind.NotReady, "no manifest is in force"))
		return
	}
	writeJSON(w, http.StatusOK, Manifest{Revision: snapshot.Revision, Manifest: snapshot.Raw})
}

// CheckResult is the outcome of a check or of a refused commit.
type CheckResult struct {
	Valid bool `json:"valid"`
	// Faults lists what is wrong with the manifest or with the transition to it.
	Faults []schemacheck.Fault `json:"faults,omitempty"`
	// Changes lists the differences from the manifest in force.
	Changes []string `json:"changes,omitempty"`
	// Revision is the revision that the check compared with.
	Revision api.Revision `json:"revision"`
}

func (h *handler) check(w http.ResponseWriter, r *http.Request) {
	raw, err := h.body(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := h.checked(raw)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (h *handler) checked(raw []byte) (CheckResult, error) {
	next, err := manifest.Check(raw)
	if err != nil {
		return faulty(err)
	}
	result := CheckResult{Valid: true}
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		return result, nil
	}
	if err := manifest.CheckTransition(&snapshot.Manifest, &next); err != nil {
		return faulty(err)
	}
	changes, err := manifest.Diff(&snapshot.Manifest, &next)
	if err != nil {
		return CheckResult{}, errkind.Wrap(err, errkind.Internal, "manifests cannot be compared")
	}
	for _, change := range changes {
		result.Changes = append(result.Changes, change.String())
	}
	result.Revision = snapshot.Revision
	return result, nil
}

func faulty(err error) (CheckResult, error) {
	var faults schemacheck.Faults
	if errors.As(err, &faults) {
		return CheckResult{Faults: faults}, nil
	}
	return CheckResult{}, err
}

// commit writes a manifest on the condition that the store still holds the
// revision of the query parameters generation and version.
func (h *handler) commit(w http.ResponseWriter, r *http.Request) {
	base, err := baseRevision(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if h.Backend.Snapshot() != nil {
		if err := h.authorized(keyOf(r)); err != nil {
			writeError(w, err)
			return
		}
	}
	raw, err := h.body(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if h.Backend.Snapshot() == nil {
		if err := authorizedFirst(keyOf(r), raw, base); err != nil {
			h.refuseCommit(w, base, err)
			return
		}
	}
	revision, err := h.committer.Commit(r.Context(), manifest.CommitRequest{Raw: raw, Base: base, InForce: h.Backend.Snapshot()})
	if err != nil {
		h.refuseCommit(w, base, err)
		return
	}
	h.Backend.Committed(api.ConfigOffer{Revision: revision, Manifest: raw})
	writeJSON(w, http.StatusOK, struct {
		Revision api.Revision `json:"revision"`
	}{revision})
}

// refuseCommit answers with the faults of an invalid manifest, or with the error.
func (h *handler) refuseCommit(w http.ResponseWriter, base api.Revision, err error) {
	var faults schemacheck.Faults
	if errors.As(err, &faults) {
		writeJSON(w, http.StatusUnprocessableEntity, CheckResult{Faults: faults, Revision: base})
		return
	}
	writeError(w, err)
}

func baseRevision(r *http.Request) (api.Revision, error) {
	generation, errGeneration := strconv.Atoi(r.URL.Query().Get("generation"))
	version, errVersion := strconv.Atoi(r.URL.Query().Get("version"))
	if errGeneration != nil || errVersion != nil {
		return api.Revision{}, errkind.New(errkind.InvalidRequest, "query parameters generation and version must name the revision that the commit is based on")
	}
	return api.Revision{Generation: generation, Version: version}, nil
}

// UsageTotals is the answer of GET /admin/v1/usage.
type UsageTotals struct {
	Lines []usage.Line `json:"lines"`
	// Duplicates counts records beyond the first of a stage; they are not billed.
	Duplicates int `json:"duplicates"`
	// Unproven counts stages of unknown run state; they are not billed.
	Unproven int `json:"unproven"`
}

func (h *handler) usage(w http.ResponseWriter, r *http.Request) {
	list, err := h.Store.List(r.Context(), usage.Prefix)
	if err != nil {
		writeError(w, errkind.Wrap(err, errkind.StoreUnavailable, "usage batches cannot be listed"))
		return
	}
	if len(list) > maxListedBatches {
		writeError(w, errkind.New(errkind.PayloadTooLarge, fmt.Sprintf("more than %d usage batches: read them from the object API with a billing job", maxListedBatches)))
		return
	}
	totals := usage.NewTotals()
	for _, o := range list {
		object, err := h.Store.Get(r.Context(), o.Key)
		if err != nil {
			writeError(w, errkind.Wrap(err, errkind.StoreUnavailable, "usage batch "+o.Key+" cannot be read"))
			return
		}
		if err := totals.AddValue(object.Value); err != nil {
			writeError(w, errkind.Wrap(err, errkind.Internal, "usage batch "+o.Key+" is invalid"))
			return
		}
	}
	writeJSON(w, http.StatusOK, UsageTotals{Lines: totals.Lines(), Duplicates: totals.Duplicates, Unproven: totals.Unproven()})
}

func (h *handler) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.PayloadTooLarge, fmt.Sprintf("manifest is larger than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "body cannot be read")
	}
	return raw, nil
}

// Failure is the error answer of the administration API.
type Failure struct {
	Kind     errkind.Kind `json:"kind"`
	Message  string       `json:"message"`
	RunState api.RunState `json:"runState"`
	// Present is the revision in the store when a commit met a conflict.
	Present *api.Revision `json:"present,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	failure := Failure{Kind: e.Kind, Message: e.Message, RunState: e.RunState}
	var conflict *manifest.ConflictError
	if errors.As(err, &conflict) {
		failure.Present = &conflict.Present
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	writeJSON(w, errkind.Lookup(e.Kind).HTTPStatus, failure)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
