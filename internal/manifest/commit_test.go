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
	return &Committer{store: store, readBackTimeout: 100 * time.Millisecond}
}

func manifestWithDescription(t *testing.T, text string) []byte {
	m := validManifest()
	m.Description = text
	return encodeManifest(t, m)
}

func storedSnapshot(t *testing.T, store platform.Store) *Snapshot {
	t.Helper()
	o, err := store.Get(testContext, ObjectKey)
	assert.NilError(t, err)
	snapshot, err := Compile(o.Value, RevisionOf(o))
	assert.NilError(t, err)
	return snapshot
}

// Guards against two commits on the same base that both succeed, and against a
// conflict error that does not name the stored revision.
func TestRacingCommitsConflict(t *testing.T) {
	store := memstore.New()
	c := newTestCommitter(store)
	first, err := c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
	assert.NilError(t, err)
	assert.Equal(t, first, api.Revision{Generation: 1, Version: 1})
	second, err := c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "b"), Base: first, InForce: storedSnapshot(t, store)})
	assert.NilError(t, err)
	_, err = c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "c"), Base: first, InForce: storedSnapshot(t, store)})
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Stored, second)
	assert.Equal(t, storedSnapshot(t, store).Manifest.Description, "b")
}

// Guards against a commit that fails or writes twice when the response of the store
// is lost.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	revision, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
	assert.NilError(t, err)
	assert.Equal(t, revision, api.Revision{Generation: 1, Version: 1})
	assert.Equal(t, store.Ledger().WritesByKey[ObjectKey], 1)
}

// Guards against a wrong outcome for a write that was lost on its way: the committer
// cannot know this, so it must report neither success nor "not run", and must not
// repeat the write.
func TestDroppedWriteIsUnknown(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{DropWrites: 1})
	_, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
	assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
	assert.Equal(t, errkind.FromError(err).RunState, api.RunStateUnknown)
	assert.Equal(t, store.Ledger().WritesByKey[ObjectKey], 0)
	assert.Equal(t, store.Ledger().CallsByKind[memstore.KindPut].Total, 1)
}

// overtakenStore writes another manifest during each Put and then returns an
// ambiguous error.
type overtakenStore struct {
	*memstore.Store
	// writeTakesEffect means that the write of the caller succeeds before the other.
	writeTakesEffect bool
	other            []byte
}

func (s *overtakenStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	if s.writeTakesEffect {
		_, _ = s.Store.Put(ctx, key, value, ifVersion)
		ifVersion++
	}
	_, _ = s.Store.Put(ctx, key, s.other, ifVersion)
	return platform.Object{}, platform.ErrAmbiguous
}

// Guards against a wrong run state for an ambiguous write that another commit
// followed: "not run" is right only if the other commit took the next version.
func TestOvertakenAmbiguousWrite(t *testing.T) {
	for _, writeTakesEffect := range []bool{false, true} {
		store := &overtakenStore{Store: memstore.New(), writeTakesEffect: writeTakesEffect, other: manifestWithDescription(t, "other")}
		_, err := newTestCommitter(store).Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
		assert.Assert(t, errkind.Is(err, errkind.Conflict))
		want := api.RunStateNotRun
		if writeTakesEffect {
			want = api.RunStateUnknown
		}
		assert.Equal(t, errkind.FromError(err).RunState, want)
	}
}

// Guards against a wrong error for a commit that is refused, because the manifest or
// the transition is invalid or the store is unavailable or rate-limited.
func TestCommitRefusals(t *testing.T) {
	store := memstore.New()
	c := newTestCommitter(store)
	_, err := c.Commit(testContext, CommitRequest{Raw: []byte(`{}`)})
	assert.Assert(t, len(faultPaths(t, err)) > 0)
	store.SetFaults(memstore.Faults{Unavailable: true})
	_, err = c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
	assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
	assert.Equal(t, errkind.FromError(err).RunState, api.RunStateNotRun)
	store.SetFaults(memstore.Faults{WritesPerSecond: 0.001})
	_, err = c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
	assert.NilError(t, err)
	_, err = c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "b"), Base: storedSnapshot(t, store).Revision})
	assert.Assert(t, errkind.Is(err, errkind.RateLimited))
	assert.Assert(t, errkind.FromError(err).RetryAfter > 0)
	store.SetFaults(memstore.Faults{})
	versionRemoved := validManifest()
	versionRemoved.Models[0].Versions = versionRemoved.Models[0].Versions[:3]
	versionRemoved.Rollouts, versionRemoved.Pools = nil, nil
	_, err = c.Commit(testContext, CommitRequest{Raw: encodeManifest(t, versionRemoved), Base: storedSnapshot(t, store).Revision})
	assert.DeepEqual(t, faultPaths(t, err), []string{"$.models"})
	assert.Equal(t, store.Ledger().WritesByKey[ObjectKey], 1)
}

// Guards against a restored or rolled back manifest that counts as newer than the
// one in force, and against a commit on top of it whose revision stays lower.
func TestRevisionsAfterRestoreAndRollback(t *testing.T) {
	for _, raisesGeneration := range []bool{true, false} {
		store := memstore.New()
		c := newTestCommitter(store)
		_, err := c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "a")})
		assert.NilError(t, err)
		saved := store.Save()
		for _, text := range []string{"b", "c", "d"} {
			_, err = c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, text), Base: storedSnapshot(t, store).Revision})
			assert.NilError(t, err)
		}
		inForce := storedSnapshot(t, store)
		if raisesGeneration {
			store.Restore(saved)
		} else {
			store.Rollback(saved)
		}
		old := storedSnapshot(t, store)
		assert.Assert(t, IsNewer(inForce.Revision, old.Revision))
		next, err := c.Commit(testContext, CommitRequest{Raw: manifestWithDescription(t, "e"), Base: old.Revision, InForce: inForce})
		assert.NilError(t, err)
		assert.Assert(t, IsNewer(next, inForce.Revision))
		assert.Equal(t, storedSnapshot(t, store).Revision, next)
	}
}
