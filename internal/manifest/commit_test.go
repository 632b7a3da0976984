package manifest

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

var testContext = context.Background()

func newTestCommitter(store platform.Store) *Committer {
	return &Committer{store: store, resolve: 100 * time.Millisecond}
}

func described(t *testing.T, text string) []byte {
	m := sample()
	m.Description = text
	return encodeManifest(t, m)
}

func stored(t *testing.T, store platform.Store) *Snapshot {
	t.Helper()
	o, err := store.Get(testContext, Key)
	assert.NilError(t, err)
	snapshot, err := Compile(o.Value, RevisionOf(o))
	assert.NilError(t, err)
	return snapshot
}

// Guards against two racing operators both succeeding, and against a conflict
// that does not name the other revision.
func TestRacingCommitsConflict(t *testing.T) {
	store := memstore.New()
	c := newTestCommitter(store)
	first, err := c.Commit(testContext, CommitRequest{Raw: described(t, "a")})
	assert.NilError(t, err)
	assert.Equal(t, first, api.Revision{Generation: 1, Version: 1})
	second, err := c.Commit(testContext, CommitRequest{Raw: described(t, "b"), Base: first, InForce: stored(t, store)})
	assert.NilError(t, err)
	_, err = c.Commit(testContext, CommitRequest{Raw: described(t, "c"), Base: first, InForce: stored(t, store)})
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Present, second)
	assert.Equal(t, stored(t, store).Manifest.Description, "b")
}

// Guards against a lost answer ending in an error or in a second write.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	revision, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: described(t, "a")})
	assert.NilError(t, err)
	assert.Equal(t, revision, api.Revision{Generation: 1, Version: 1})
	assert.Equal(t, store.Ledger().Written[Key], 1)
}

// Guards against a write that did not arrive being reported as done, as
// certainly not done, or being repeated.
func TestDroppedWriteIsUnknown(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{DropWrites: 1})
	_, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: described(t, "a")})
	assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
	assert.Equal(t, errkind.From(err).RunState, api.RunStateUnknown)
	assert.Equal(t, store.Ledger().Written[Key], 0)
	assert.Equal(t, store.Ledger().Calls[memstore.KindPut].Total, 1)
}

// overtaken lets another commit follow a write before its answer is lost.
type overtaken struct {
	*memstore.Store
	lands bool
	other []byte
}

func (s *overtaken) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	if s.lands {
		_, _ = s.Store.Put(ctx, key, value, ifVersion)
		ifVersion++
	}
	_, _ = s.Store.Put(ctx, key, s.other, ifVersion)
	return platform.Object{}, platform.ErrAmbiguous
}

// Guards against an ambiguous write that another operator overtook being
// reported as certain.
func TestOvertakenAmbiguousWrite(t *testing.T) {
	for _, lands := range []bool{false, true} {
		store := &overtaken{Store: memstore.New(), lands: lands, other: described(t, "other")}
		_, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: described(t, "a")})
		assert.Assert(t, errkind.Is(err, errkind.Conflict))
		want := api.RunStateNotRun
		if lands {
			want = api.RunStateUnknown
		}
		assert.Equal(t, errkind.From(err).RunState, want)
	}
}

// Guards against a commit while the store is away, rate-limited or given an
// invalid manifest or transition being reported as anything but not written.
func TestCommitRefusals(t *testing.T) {
	store := memstore.New()
	c := newTestCommitter(store)
	_, err := c.Commit(testContext, CommitRequest{Raw: []byte(`{}`)})
	assert.Assert(t, len(faultPaths(t, err)) > 0)
	store.SetFaults(memstore.Faults{Unavailable: true})
	_, err = c.Commit(testContext, CommitRequest{Raw: described(t, "a")})
	assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
	assert.Equal(t, errkind.From(err).RunState, api.RunStateNotRun)
	store.SetFaults(memstore.Faults{WritesPerSecond: 0.001})
	_, err = c.Commit(testContext, CommitRequest{Raw: described(t, "a")})
	assert.NilError(t, err)
	_, err = c.Commit(testContext, CommitRequest{Raw: described(t, "b"), Base: stored(t, store).Revision})
	assert.Assert(t, errkind.Is(err, errkind.RateLimited))
	assert.Assert(t, errkind.From(err).RetryAfter > 0)
	store.SetFaults(memstore.Faults{})
	gone := sample()
	gone.Models[0].Versions = gone.Models[0].Versions[:3]
	gone.Rollouts, gone.Pools = nil, nil
	_, err = c.Commit(testContext, CommitRequest{Raw: encodeManifest(t, gone), Base: stored(t, store).Revision})
	assert.DeepEqual(t, faultPaths(t, err), []string{"$.models"})
	assert.Equal(t, store.Ledger().Written[Key], 1)
}

// Guards against old content counting as newer than what is in force after a
// restore or rollback, and against a commit on top of it staying below.
func TestRevisionsAfterRestoreAndRollback(t *testing.T) {
	for _, raise := range []bool{true, false} {
		store := memstore.New()
		c := newTestCommitter(store)
		_, err := c.Commit(testContext, CommitRequest{Raw: described(t, "a")})
		assert.NilError(t, err)
		saved := store.Save()
		for _, text := range []string{"b", "c", "d"} {
			_, err = c.Commit(testContext, CommitRequest{Raw: described(t, text), Base: stored(t, store).Revision})
			assert.NilError(t, err)
		}
		inForce := stored(t, store)
		if raise {
			store.Restore(saved)
		} else {
			store.Rollback(saved)
		}
		old := stored(t, store)
		assert.Assert(t, Newer(inForce.Revision, old.Revision))
		next, err := c.Commit(testContext, CommitRequest{Raw: described(t, "e"), Base: old.Revision, InForce: inForce})
		assert.NilError(t, err)
		assert.Assert(t, Newer(next, inForce.Revision))
		assert.Equal(t, stored(t, store).Revision, next)
	}
}
