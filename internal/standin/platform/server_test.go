package platform

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

func startPlatform(t *testing.T) (*memstore.Store, *platform.Client, string) {
	t.Helper()
	store := memstore.New()
	server := New(store)
	url, err := server.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	client, err := platform.NewClient(api.PlatformSettings{URL: url, TimeoutMs: 300})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return store, client, url
}

// Guards against a client and a stand-in that disagree on versions, conflicts, keys with
// slashes, and the bytes of a value.
func TestConditionalUpdates(t *testing.T) {
	_, client, _ := startPlatform(t)
	ctx := context.Background()
	_, err := client.Get(ctx, "a/b c")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	written, err := client.Put(ctx, "a/b c", []byte(`{"x": "<&>"}`), 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, written, platform.Object{Key: "a/b c", Version: 1, Generation: 1})
	_, err = client.Put(ctx, "a/b c", []byte(`{}`), 0)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Stored.Version, int64(1))
	got, err := client.Get(ctx, "a/b c")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), `{"x":"<&>"}`)
	list, err := client.List(ctx, "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	_, err = client.Put(ctx, "big", bytes.Repeat([]byte("1"), platform.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, platform.ErrRefused)
}

// Guards against a client that reports a lost answer as a write without effect, or an
// outage as an unknown outcome.
func TestWriteErrors(t *testing.T) {
	store, client, url := startPlatform(t)
	ctx := context.Background()
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	_, err := client.Put(ctx, "k", []byte(`1`), 0)
	assert.ErrorIs(t, err, platform.ErrAmbiguous)
	assert.Equal(t, store.Ledger().WritesByKey["k"], 1)
	store.SetFaults(memstore.Faults{DropWrites: 1})
	_, err = client.Put(ctx, "k", []byte(`2`), 1)
	assert.ErrorIs(t, err, platform.ErrAmbiguous)
	assert.Equal(t, store.Ledger().WritesByKey["k"], 1)
	store.SetFaults(memstore.Faults{Unavailable: true})
	_, err = client.Put(ctx, "k", []byte(`2`), 1)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	store.SetFaults(memstore.Faults{DelayMs: 1000})
	_, err = client.Put(ctx, "k", []byte(`2`), 1)
	assert.ErrorIs(t, err, platform.ErrAmbiguous)
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	store.SetFaults(memstore.Faults{WritesPerSecond: 1})
	_, err = client.Put(ctx, "k", []byte(`2`), 1)
	assert.NilError(t, err)
	_, err = client.Put(ctx, "k", []byte(`3`), 2)
	var limited *platform.RateLimitError
	assert.Assert(t, errors.As(err, &limited), "%v", err)
	assert.Equal(t, limited.RetryAfter, time.Second)
	unreachable, err := platform.NewClient(api.PlatformSettings{URL: "http://127.0.0.1:1"})
	assert.NilError(t, err)
	_, err = unreachable.Put(ctx, "k", []byte(`3`), 2)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	res, err := http.Post(url+"/standin/faults", "application/json", bytes.NewBufferString(`{"faults":{"unavailable":true}}`))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, store.Faults().Unavailable)
}

// Guards against a watch that misses a change, misses a restore that keeps the version,
// or does not return when its wait ends.
func TestWatch(t *testing.T) {
	store, client, _ := startPlatform(t)
	ctx := context.Background()
	_, err := client.Watch(ctx, "k", 0, 10*time.Millisecond)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	go func() { _, _ = store.Put(ctx, "k", []byte(`1`), 0) }()
	o, err := client.Watch(ctx, "k", 0, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, o.Version, int64(1))
	store.Restore(store.Save())
	o, err = client.Watch(ctx, "k", 1, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, o.Generation, int64(2))
	_, err = client.Watch(ctx, "k", 1, 10*time.Millisecond)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	empty := memstore.New().Save()
	_, err = client.Put(ctx, "k", []byte(`2`), 1)
	assert.NilError(t, err)
	store.Rollback(empty)
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.Equal(t, store.Generation(), int64(2))
}

// Guards against an instance list that shows changes before its lag has passed.
func TestInstanceListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	store := memstore.NewWithClock(func() time.Time { return now })
	store.SetInstanceLag(5 * time.Second)
	store.RegisterInstance(platform.Instance{Name: "i1"})
	visibleInstances := func() int {
		list, err := store.Instances(context.Background())
		assert.NilError(t, err)
		return len(list)
	}
	assert.Equal(t, visibleInstances(), 0)
	now = now.Add(5 * time.Second)
	assert.Equal(t, visibleInstances(), 1)
	store.RemoveInstance("i1")
	assert.Equal(t, visibleInstances(), 1)
	now = now.Add(5 * time.Second)
	assert.Equal(t, visibleInstances(), 0)
}

// Guards against a client that ignores a replaced token file or accepts an answer above
// the size limit.
func TestTokenAndAnswerSize(t *testing.T) {
	var token string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get("Authorization")
		_, _ = w.Write(bytes.Repeat([]byte("x"), platform.MaxValueBytes+1<<20))
	}))
	defer server.Close()
	path := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(path, []byte("one\n"), 0o600))
	client, err := platform.NewClient(api.PlatformSettings{URL: server.URL, TokenFile: path})
	assert.NilError(t, err)
	_, err = client.Get(context.Background(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, token, "Bearer one")
	assert.NilError(t, os.WriteFile(path, []byte("two\n"), 0o600))
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	_, err = client.Get(context.Background(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, token, "Bearer two")
}
