package manifest

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/platform"
)

// defaultReadBackTimeout limits the reads that resolve an ambiguous write.
const defaultReadBackTimeout = 5 * time.Second

// ConflictError reports that the store holds another revision than the one that a
// commit is based on.
type ConflictError struct {
	// Base is the revision that the commit was based on.
	Base api.Revision
	// Stored is the revision in the store; zero when the store holds no manifest.
	Stored api.Revision
}

// Error returns a message that names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("commit is based on revision %s, the store holds %s", formatRevision(e.Base), formatRevision(e.Stored))
}

func formatRevision(r api.Revision) string {
	if r == (api.Revision{}) {
		return "none"
	}
	return fmt.Sprintf("%d.%d", r.Generation, r.Version)
}

// CommitRequest is the input of Committer.Commit.
type CommitRequest struct {
	// Raw is the new manifest.
	Raw []byte
	// Base is the revision that the author edited; zero when there was none.
	Base api.Revision
	// InForce is the snapshot that the committing process uses; nil when it has
	// none. The new revision exceeds that of InForce, and the transition is checked
	// against it unless the store holds a newer valid manifest.
	InForce *Snapshot
}

// Committer writes manifests to the store. It is safe for concurrent use.
type Committer struct {
	store           platform.Store
	readBackTimeout time.Duration
}

// NewCommitter returns a Committer that writes to store.
func NewCommitter(store platform.Store) *Committer {
	return &Committer{store: store, readBackTimeout: defaultReadBackTimeout}
}

// Commit checks a manifest, writes it if the store still holds r.Base and returns
// the new revision. The error is schemacheck.Faults for an invalid manifest or
// transition. For store failures it is an *errkind.Error of kind Conflict (its
// cause is *ConflictError), StoreUnavailable or RateLimited. The run state
// unknown means that the manifest may have been written; the caller must read the
// store before it commits again.
func (c *Committer) Commit(ctx context.Context, r CommitRequest) (api.Revision, error) {
	next, err := Check(r.Raw)
	if err != nil {
		return api.Revision{}, err
	}
	stored, err := c.store.Get(ctx, ObjectKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return api.Revision{}, storeError(err)
	}
	if err := checkBase(r, stored); err != nil {
		return api.Revision{}, err
	}
	if old := predecessor(r.InForce, stored); old != nil {
		if err := CheckTransition(old, &next); err != nil {
			return api.Revision{}, err
		}
	}
	record := newCommitRecord(r.InForce, stored)
	value, err := setCommitRecord(r.Raw, record)
	if err != nil {
		return api.Revision{}, err
	}
	return c.write(ctx, r, stored, record, value)
}

func (c *Committer) write(ctx context.Context, r CommitRequest, stored platform.Object, record api.CommitRecord, value []byte) (api.Revision, error) {
	written, err := c.store.Put(ctx, ObjectKey, value, stored.Version)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return api.Revision{Generation: record.Generation, Version: int(written.Version)}, nil
	case errors.Is(err, platform.ErrAmbiguous):
		return c.readBack(ctx, r, stored, record)
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		other, readErr := c.store.Get(ctx, ObjectKey)
		if readErr != nil && conflict != nil {
			other = conflict.Stored
		}
		return api.Revision{}, conflictError(r.Base, other)
	}
	return api.Revision{}, storeError(err)
}

// readBack reads the store until it shows whether an ambiguous write took effect.
// It does not repeat the write: the first one may still be in flight, and the
// result would depend on which of the two arrived.
func (c *Committer) readBack(ctx context.Context, r CommitRequest, before platform.Object, record api.CommitRecord) (api.Revision, error) {
	read := func() (platform.Object, error) {
		o, err := c.store.Get(ctx, ObjectKey)
		if err == nil && o.Version == before.Version && o.Generation == before.Generation {
			return o, eris.New("manifest write has not taken effect so far")
		}
		return o, err
	}
	o, err := backoff.Retry(ctx, read, backoff.WithMaxElapsedTime(c.readBackTimeout))
	if err != nil {
		e := errkind.Wrap(err, errkind.StoreUnavailable, "outcome of the commit is unknown, read the manifest before committing again")
		return api.Revision{}, e.WithRunState(api.RunStateUnknown)
	}
	if commitToken(o) == record.Token {
		return RevisionOf(o), nil
	}
	e := conflictError(r.Base, o)
	restored := before.Version > 0 && o.Generation != before.Generation
	if restored || o.Version > before.Version+1 {
		// After another write or a restore, this write may have taken effect before it.
		return api.Revision{}, e.WithRunState(api.RunStateUnknown)
	}
	return api.Revision{}, e
}

func checkBase(r CommitRequest, stored platform.Object) error {
	if r.Base != revisionOrZero(stored) {
		return conflictError(r.Base, stored)
	}
	return nil
}

// revisionOrZero returns the revision of a stored manifest, zero if none is stored.
func revisionOrZero(o platform.Object) api.Revision {
	if o.Version == 0 {
		return api.Revision{}
	}
	return RevisionOf(o)
}

func conflictError(base api.Revision, stored platform.Object) *errkind.Error {
	cause := &ConflictError{Base: base, Stored: revisionOrZero(stored)}
	return errkind.Wrap(cause, errkind.Conflict, "manifest changed since it was read")
}

func storeError(err error) error {
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		return errkind.Wrap(err, errkind.RateLimited, "store rate limit reached").WithRetryAfter(limited.RetryAfter)
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "manifest store cannot be reached")
}

// predecessor returns the manifest against which the transition is checked, nil if
// there is none. It is the one in force, because the stored one may be invalid or
// restored, unless a newer valid manifest is stored.
func predecessor(inForce *Snapshot, stored platform.Object) *api.Manifest {
	if inForce != nil && !IsNewer(revisionOrZero(stored), inForce.Revision) {
		return &inForce.Manifest
	}
	if m, err := Check(stored.Value); err == nil {
		return &m
	}
	if inForce != nil {
		return &inForce.Manifest
	}
	return nil
}

// newCommitRecord returns a record with a random token and a generation with which
// the new revision exceeds both the stored one and the one in force. A store that
// was rolled back may hold a lower revision than the one in force.
func newCommitRecord(inForce *Snapshot, stored platform.Object) api.CommitRecord {
	generation := max(int(stored.Generation), revisionOrZero(stored).Generation, firstGeneration)
	if inForce != nil {
		next := api.Revision{Generation: generation, Version: int(stored.Version) + 1}
		if !IsNewer(next, inForce.Revision) {
			generation = inForce.Revision.Generation + 1
		}
	}
	var token [16]byte
	_, _ = rand.Read(token[:]) // crypto/rand.Read never fails
	return api.CommitRecord{Token: hex.EncodeToString(token[:]), Generation: generation}
}

// setCommitRecord returns raw, a checked manifest, with its commit record replaced.
func setCommitRecord(raw []byte, record api.CommitRecord) ([]byte, error) {
	var document map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	// json.Number keeps the digits that the operator wrote.
	decoder.UseNumber()
	if err := decoder.Decode(&document); err != nil {
		return nil, eris.Wrap(err, "manifest cannot be decoded from JSON")
	}
	document[commitField] = record
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(document); err != nil {
		return nil, eris.Wrap(err, "manifest cannot be encoded as JSON")
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

// commitToken returns the token of the commit that wrote an object, "" if it has
// none.
func commitToken(o platform.Object) string {
	var recorded struct {
		Commit api.CommitRecord `json:"commit"`
	}
	if err := json.Unmarshal(o.Value, &recorded); err != nil {
		return ""
	}
	return recorded.Commit.Token
}
