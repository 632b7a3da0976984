// Package admin implements the HTTP administration API of an entry. Operators
// authenticate with a key whose hash is in the manifest in force.
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
	// maxUsageBatches is the largest number of usage batches that one call reads from
	// the store.
	maxUsageBatches = 2000
)

// Backend is the entry that the API administers.
type Backend interface {
	// Snapshot returns the manifest in force, or nil before the first one.
	Snapshot() *manifest.Snapshot
	// Status returns the status of this entry.
	Status(ctx context.Context) (api.Status, error)
	// ApplyManifest puts a manifest in force that this API has written to the store.
	ApplyManifest(offer api.ConfigOffer)
	// EndClaim records the outcome of a claim and returns after it is stored.
	EndClaim(ctx context.Context, end api.ClaimEndParams) error
	// Audit logs the resolution of a claim by an operator, also a refused one.
	Audit(a ClaimAudit)
}

// Options configure the handler of the administration API.
type Options struct {
	Backend Backend
	// Store holds the manifest, the usage batches and the claims.
	Store platform.Store
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64
}

type handler struct {
	Options
	committer *manifest.Committer
}

// NewHandler returns the HTTP handler of the administration API, under /admin/v1.
func NewHandler(o Options) http.Handler {
	h := &handler{Options: o, committer: manifest.NewCommitter(o.Store)}
	router := mux.NewRouter()
	// serveCommit authenticates the operator itself, because there is no manifest
	// with operator keys before the first commit.
	router.HandleFunc("/admin/v1/manifest", h.serveCommit).Methods(http.MethodPut)
	api := router.PathPrefix("/admin/v1").Subrouter()
	api.Use(h.authenticate)
	api.HandleFunc("/status", h.serveStatus).Methods(http.MethodGet)
	api.HandleFunc("/usage", h.serveUsage).Methods(http.MethodGet)
	api.HandleFunc("/manifest", h.serveManifest).Methods(http.MethodGet)
	api.HandleFunc("/manifest/check", h.serveCheck).Methods(http.MethodPost)
	api.HandleFunc("/claims", h.serveClaim).Methods(http.MethodGet)
	api.HandleFunc("/claims/resolve", h.serveResolveClaim).Methods(http.MethodPost)
	return router
}

func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := h.checkOperatorKey(bearerKey(r)); err != nil {
			writeError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearerKey returns the bearer token of a request, or "" without one. No operator has the key "".
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// checkOperatorKey returns an error of kind unauthenticated unless the manifest in
// force contains the key, and of kind not_ready when there is no manifest.
func (h *handler) checkOperatorKey(key string) error {
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		return errkind.New(errkind.NotReady, "no manifest is in force")
	}
	if _, ok := snapshot.OperatorByKey(key); !ok {
		return errkind.New(errkind.Unauthenticated, "operator key is unknown")
	}
	return nil
}

// checkFirstCommit checks the commit of a manifest while none is in force. The new
// manifest must contain the caller's operator key. Its base revision must be zero,
// so that the store refuses it when there is a manifest that this process has not
// read yet.
func checkFirstCommit(key string, raw []byte, base api.Revision) error {
	if base != (api.Revision{}) {
		return errkind.New(errkind.NotReady, "no manifest is in force")
	}
	first, err := manifest.Compile(raw, api.Revision{})
	if err != nil {
		return err
	}
	if _, ok := first.OperatorByKey(key); !ok {
		return errkind.New(errkind.Unauthenticated, "the first manifest must contain the operator key of the request")
	}
	return nil
}

func (h *handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := h.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// Manifest is the response of GET /admin/v1/manifest: the manifest in force and its
// revision.
type Manifest struct {
	Revision api.Revision    `json:"revision"`
	Manifest json.RawMessage `json:"manifest"`
}

func (h *handler) serveManifest(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		writeError(w, errkind.New(errkind.NotReady, "no manifest is in force"))
		return
	}
	writeJSON(w, http.StatusOK, Manifest{Revision: snapshot.Revision, Manifest: snapshot.Raw})
}

// CheckResult is the response of POST /admin/v1/manifest/check, and of a commit that
// was refused because of an invalid manifest.
type CheckResult struct {
	Valid bool `json:"valid"`
	// Faults lists the errors in the manifest or in the transition to it.
	Faults []schemacheck.Fault `json:"faults,omitempty"`
	// Changes lists the differences from the manifest in force.
	Changes []string `json:"changes,omitempty"`
	// Revision is the revision that the manifest was compared with.
	Revision api.Revision `json:"revision"`
}

func (h *handler) serveCheck(w http.ResponseWriter, r *http.Request) {
	raw, err := h.readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := h.checkManifest(raw)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (h *handler) checkManifest(raw []byte) (CheckResult, error) {
	next, err := manifest.Check(raw)
	if err != nil {
		return faultsResult(err)
	}
	result := CheckResult{Valid: true}
	snapshot := h.Backend.Snapshot()
	if snapshot == nil {
		return result, nil
	}
	if err := manifest.CheckTransition(&snapshot.Manifest, &next); err != nil {
		return faultsResult(err)
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

// faultsResult returns the faults in err as a CheckResult, or err when it has none.
func faultsResult(err error) (CheckResult, error) {
	var faults schemacheck.Faults
	if errors.As(err, &faults) {
		return CheckResult{Faults: faults}, nil
	}
	return CheckResult{}, err
}

// serveCommit writes a manifest to the store if the store still holds the revision
// in the query parameters generation and version.
func (h *handler) serveCommit(w http.ResponseWriter, r *http.Request) {
	base, err := baseRevision(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if h.Backend.Snapshot() != nil {
		if err := h.checkOperatorKey(bearerKey(r)); err != nil {
			writeError(w, err)
			return
		}
	}
	raw, err := h.readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if h.Backend.Snapshot() == nil {
		if err := checkFirstCommit(bearerKey(r), raw, base); err != nil {
			h.writeCommitError(w, base, err)
			return
		}
	}
	revision, err := h.committer.Commit(r.Context(), manifest.CommitRequest{Raw: raw, Base: base, InForce: h.Backend.Snapshot()})
	if err != nil {
		h.writeCommitError(w, base, err)
		return
	}
	h.Backend.ApplyManifest(api.ConfigOffer{Revision: revision, Manifest: raw})
	writeJSON(w, http.StatusOK, struct {
		Revision api.Revision `json:"revision"`
	}{revision})
}

// writeCommitError answers with status 422 and the faults of an invalid manifest, or
// with the error.
func (h *handler) writeCommitError(w http.ResponseWriter, base api.Revision, err error) {
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

// UsageTotals is the response of GET /admin/v1/usage. It sums the usage batches in
// the store, which all entries write.
type UsageTotals struct {
	Lines []usage.BillingLine `json:"lines"`
	// Duplicates counts further records of a stage after the first. They are not
	// billed.
	Duplicates int `json:"duplicates"`
	// Unproven counts stages that have only records with run state unknown. They are
	// not billed.
	Unproven int `json:"unproven"`
}

func (h *handler) serveUsage(w http.ResponseWriter, r *http.Request) {
	list, err := h.Store.List(r.Context(), usage.KeyPrefix)
	if err != nil {
		writeError(w, errkind.Wrap(err, errkind.StoreUnavailable, "usage batches cannot be listed"))
		return
	}
	if len(list) > maxUsageBatches {
		writeError(w, errkind.New(errkind.PayloadTooLarge, fmt.Sprintf("the store has more than %d usage batches: read them from the object API with a billing job", maxUsageBatches)))
		return
	}
	totals := usage.NewTotals()
	for _, o := range list {
		object, err := h.Store.Get(r.Context(), o.Key)
		if err != nil {
			writeError(w, errkind.Wrap(err, errkind.StoreUnavailable, "usage batch "+o.Key+" cannot be read"))
			return
		}
		if err := totals.AddEncoded(object.Value); err != nil {
			writeError(w, errkind.Wrap(err, errkind.Internal, "usage batch "+o.Key+" is invalid"))
			return
		}
	}
	writeJSON(w, http.StatusOK, UsageTotals{Lines: totals.BillingLines(), Duplicates: totals.Duplicates, Unproven: totals.UnprovenStages()})
}

func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.PayloadTooLarge, fmt.Sprintf("request body is larger than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request body cannot be read")
	}
	return raw, nil
}

// ErrorResponse is the error response of the administration API.
type ErrorResponse struct {
	Kind     errkind.Kind `json:"kind"`
	Message  string       `json:"message"`
	RunState api.RunState `json:"runState"`
	// Stored is the revision in the store; set when a commit was refused because it
	// is based on another one.
	Stored *api.Revision `json:"present,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.FromError(err)
	response := ErrorResponse{Kind: e.Kind, Message: e.Message, RunState: e.RunState}
	var conflict *manifest.ConflictError
	if errors.As(err, &conflict) {
		response.Stored = &conflict.Stored
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	writeJSON(w, errkind.Lookup(e.Kind).HTTPStatus, response)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
