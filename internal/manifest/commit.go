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

// resolveTime bounds the reads that resolve an ambiguous write.
const resolveTime = 5 * time.Second

// ConflictError names the revision that stands in the way of a commit.
type ConflictError struct {
	// Base is the revision that the commit was based on.
	Base api.Revision
	// Present is the revision in the store; zero when the store holds none.
	Present api.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("commit is based on revision %s, the store holds %s", revisionText(e.Base), revisionText(e.Present))
}

func revisionText(r api.Revision) string {
	if r == (api.Revision{}) {
		return "none"
	}
	return fmt.Sprintf("%d.%d", r.Generation, r.Version)
}

// CommitRequest is one commit.
type CommitRequest struct {
	// Raw is the new manifest.
	Raw []byte
	// Base is the revision that the author read; zero when there was none.
	Base api.Revision
	// InForce is the snapshot in force at the committing process; nil when it has
	// none. The transition is checked against it, and the new revision exceeds it.
	InForce *Snapshot
}

// Committer writes manifests to the store. It is safe for concurrent use.
type Committer struct {
	store   platform.Store
	resolve time.Duration
}

// NewCommitter returns a committer on the store.
func NewCommitter(store platform.Store) *Committer {
	return &Committer{store: store, resolve: resolveTime}
}

// Commit checks a manifest and writes it if the store still holds the base. It
// returns the new revision. The error is schemacheck.Faults for an invalid
// manifest or transition, else *errkind.Error: Conflict (its cause is
// *ConflictError), StoreUnavailable or RateLimited. Run state unknown means that
// the manifest may be in the store; read it before committing again.
func (c *Committer) Commit(ctx context.Context, r CommitRequest) (api.Revision, error) {
	next, err := Check(r.Raw)
	if err != nil {
		return api.Revision{}, err
	}
	present, err := c.store.Get(ctx, Key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return api.Revision{}, storeError(err)
	}
	if err := checkBase(r, present); err != nil {
		return api.Revision{}, err
	}
	if old := predecessor(r.InForce, present); old != nil {
		if err := CheckTransition(old, &next); err != nil {
			return api.Revision{}, err
		}
	}
	record := newRecord(r.InForce, present)
	value, err := withRecord(r.Raw, record)
	if err != nil {
		return api.Revision{}, err
	}
	return c.write(ctx, r, present, record, value)
}

func (c *Committer) write(ctx context.Context, r CommitRequest, present platform.Object, record api.CommitRecord, value []byte) (api.Revision, error) {
	written, err := c.store.Put(ctx, Key, value, present.Version)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return api.Revision{Generation: record.Generation, Version: int(written.Version)}, nil
	case errors.Is(err, platform.ErrAmbiguous):
		return c.readBack(ctx, r, present, record)
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		other, readErr := c.store.Get(ctx, Key)
		if readErr != nil && conflict != nil {
			other = conflict.Present
		}
		return api.Revision{}, conflictError(r.Base, other)
	}
	return api.Revision{}, storeError(err)
}

// readBack finds out whether an ambiguous write took effect. It only reads: the
// write may still be on its way, and what follows a second write would depend on
// which of the two arrived.
func (c *Committer) readBack(ctx context.Context, r CommitRequest, before platform.Object, record api.CommitRecord) (api.Revision, error) {
	read := func() (platform.Object, error) {
		o, err := c.store.Get(ctx, Key)
		if err == nil && o.Version == before.Version && o.Generation == before.Generation {
			return o, eris.New("write has not taken effect so far")
		}
		return o, err
	}
	o, err := backoff.Retry(ctx, read, backoff.WithMaxElapsedTime(c.resolve))
	if err != nil {
		e := errkind.Wrap(err, errkind.StoreUnavailable, "outcome of the commit is unknown, read the manifest before committing again")
		return api.Revision{}, e.WithRunState(api.RunStateUnknown)
	}
	if tokenOf(o) == record.Token {
		return RevisionOf(o), nil
	}
	e := conflictError(r.Base, o)
	restored := before.Version > 0 && o.Generation != before.Generation
	if restored || o.Version > before.Version+1 {
		// Another write or a restore followed; this one may have come before it.
		return api.Revision{}, e.WithRunState(api.RunStateUnknown)
	}
	return api.Revision{}, e
}

func checkBase(r CommitRequest, present platform.Object) error {
	if r.Base != presentRevision(present) {
		return conflictError(r.Base, present)
	}
	return nil
}

func presentRevision(o platform.Object) api.Revision {
	if o.Version == 0 {
		return api.Revision{}
	}
	return RevisionOf(o)
}

func conflictError(base api.Revision, other platform.Object) *errkind.Error {
	cause := &ConflictError{Base: base, Present: presentRevision(other)}
	return errkind.Wrap(cause, errkind.Conflict, "manifest changed since it was read")
}

func storeError(err error) error {
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		return errkind.Wrap(err, errkind.RateLimited, "store rate limit reached").WithRetryAfter(limited.RetryAfter)
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "store cannot be reached")
}

// predecessor returns the manifest that the new one follows: the one in force,
// because the store may hold an invalid or restored one, else the stored one.
func predecessor(inForce *Snapshot, present platform.Object) *api.Manifest {
	if inForce != nil && !Newer(presentRevision(present), inForce.Revision) {
		return &inForce.Manifest
	}
	if m, err := Check(present.Value); err == nil {
		return &m
	}
	if inForce != nil {
		return &inForce.Manifest
	}
	return nil
}

// newRecord chooses a generation under which the new revision exceeds both the
// stored one and the one in force, which a rolled back store may lack.
func newRecord(inForce *Snapshot, present platform.Object) api.CommitRecord {
	generation := max(int(present.Generation), presentRevision(present).Generation, firstGeneration)
	if inForce != nil {
		next := api.Revision{Generation: generation, Version: int(present.Version) + 1}
		if !Newer(next, inForce.Revision) {
			generation = inForce.Revision.Generation + 1
		}
	}
	var token [16]byte
	_, _ = rand.Read(token[:]) // crypto/rand.Read never fails
	return api.CommitRecord{Token: hex.EncodeToString(token[:]), Generation: generation}
}

// withRecord sets the commit record of a checked manifest.
func withRecord(raw []byte, record api.CommitRecord) ([]byte, error) {
	var document map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	// Numbers keep the digits that the operator wrote.
	decoder.UseNumber()
	if err := decoder.Decode(&document); err != nil {
		return nil, eris.Wrap(err, "manifest cannot be decoded")
	}
	document[commitField] = record
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(document); err != nil {
		return nil, eris.Wrap(err, "manifest cannot be encoded")
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

func tokenOf(o platform.Object) string {
	var recorded struct {
		Commit api.CommitRecord `json:"commit"`
	}
	if err := json.Unmarshal(o.Value, &recorded); err != nil {
		return ""
	}
	return recorded.Commit.Token
}
