package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// fakeEntry is a Backend that only holds the manifest in force.
type fakeEntry struct{ snapshot *manifest.Snapshot }

// Snapshot implements Backend.
func (f *fakeEntry) Snapshot() *manifest.Snapshot { return f.snapshot }

// Status implements Backend.
func (f *fakeEntry) Status(context.Context) (api.Status, error) {
	return api.Status{Instance: "e", Revision: f.snapshot.Revision}, nil
}

// ApplyManifest implements Backend.
func (f *fakeEntry) ApplyManifest(offer api.ConfigOffer) {
	f.snapshot, _ = manifest.Compile(offer.Manifest, offer.Revision)
}

func testManifest(key, description string) string {
	return `{"schemaVersion":1,"description":"` + description + `","operators":[{"name":"op","keyHash":"` + manifest.HashAPIKey(key) + `"}],
 "customers":[{"name":"c","keyHashes":["` + manifest.HashAPIKey("customer") + `"],"models":["m"]}],
 "models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
 "classes":[{"name":"q","qualityTarget":0.5,"deadlineMs":10,"weighting":"latency"}]}`
}

func newTestHandler() (*fakeEntry, http.Handler) {
	entry := &fakeEntry{}
	return entry, NewHandler(Options{Backend: entry, Store: memstore.New(), MaxBodyBytes: 1 << 20})
}

func request(h http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

const firstCommitPath = "/admin/v1/manifest?generation=0&version=0"

// Guards against an unauthorized commit through an entry without a manifest: the
// key must be in the new manifest, and a manifest in the store must not be replaced.
func TestFirstCommitNeedsItsOwnOperator(t *testing.T) {
	entry, h := newTestHandler()
	w := request(h, http.MethodPut, firstCommitPath, "stranger", testManifest("operator", "first"))
	assert.Equal(t, w.Code, http.StatusUnauthorized, w.Body.String())
	w = request(h, http.MethodPut, "/admin/v1/manifest?generation=1&version=1", "operator", testManifest("operator", "first"))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable, w.Body.String())
	assert.Equal(t, request(h, http.MethodGet, "/admin/v1/status", "operator", "").Code, http.StatusServiceUnavailable)
	w = request(h, http.MethodPut, firstCommitPath, "operator", testManifest("operator", "first"))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	assert.Assert(t, entry.snapshot != nil)

	entry.snapshot = nil
	w = request(h, http.MethodPut, firstCommitPath, "other", testManifest("other", "overwrites"))
	assert.Equal(t, w.Code, http.StatusConflict, w.Body.String())
}

// Guards against two operators that overwrite each other's manifest: a commit on an
// outdated base must be refused with the revision in the store.
func TestRacingCommitIsRefused(t *testing.T) {
	entry, h := newTestHandler()
	assert.Equal(t, request(h, http.MethodPut, firstCommitPath, "operator", testManifest("operator", "first")).Code, http.StatusOK)
	base := entry.snapshot.Revision
	path := "/admin/v1/manifest?generation=" + itoa(base.Generation) + "&version=" + itoa(base.Version)
	assert.Equal(t, request(h, http.MethodPut, path, "operator", testManifest("operator", "second")).Code, http.StatusOK)
	w := request(h, http.MethodPut, path, "operator", testManifest("operator", "third"))
	assert.Equal(t, w.Code, http.StatusConflict, w.Body.String())
	var response ErrorResponse
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &response))
	assert.Equal(t, response.Kind, errkind.Conflict)
	assert.Equal(t, *response.Stored, entry.snapshot.Revision)
}

// Guards against accepting a customer's key as an operator's, and an invalid
// manifest.
func TestKeyAndManifestAreChecked(t *testing.T) {
	_, h := newTestHandler()
	assert.Equal(t, request(h, http.MethodPut, firstCommitPath, "operator", testManifest("operator", "first")).Code, http.StatusOK)
	assert.Equal(t, request(h, http.MethodGet, "/admin/v1/status", "customer", "").Code, http.StatusUnauthorized)
	w := request(h, http.MethodPost, "/admin/v1/manifest/check", "operator", `{"schemaVersion":2}`)
	var result CheckResult
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &result))
	assert.Assert(t, !result.Valid && len(result.Faults) > 1, "%+v", result)
}

func itoa(n int) string {
	raw, _ := json.Marshal(n)
	return string(raw)
}

// Guards against an operator key that is accepted in another scheme of authorization, or without
// one.
func TestOperatorKeyNeedsBearerScheme(t *testing.T) {
	_, h := newTestHandler()
	assert.Equal(t, request(h, http.MethodPut, firstCommitPath, "operator", testManifest("operator", "first")).Code, http.StatusOK)
	for authorization, want := range map[string]int{
		"Bearer operator": http.StatusOK, "operator": http.StatusUnauthorized, "Basic operator": http.StatusUnauthorized, "": http.StatusUnauthorized,
	} {
		req := httptest.NewRequest(http.MethodGet, "/admin/v1/manifest", nil)
		req.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		assert.Equal(t, w.Code, want, "%q: %s", authorization, w.Body.String())
	}
}
