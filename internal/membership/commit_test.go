package membership

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// validManifest returns a manifest that manifest.Compile accepts.
func validManifest(number int) []byte {
	return fmt.Appendf(nil, `{"schemaVersion":1,"description":"number %d","operators":[{"name":"op","keyHash":"%s"}],
 "customers":[{"name":"c","keyHashes":["%s"],"models":["m"]}],
 "models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
 "classes":[{"name":"q","qualityTarget":0.5,"deadlineMs":1000,"weighting":"latency"}]}`,
		number, strings.Repeat("a", 64), strings.Repeat("b", 64))
}

// Guards against a commit being written twice, or reported under another revision
// than the one in force, or not taking effect, after the store's answer to the
// write was lost. Also guards against a dropped write being reported as committed.
func TestCommitWithLostAnswers(t *testing.T) {
	t.Parallel()
	store := memstore.New()
	committer := manifest.NewCommitter(store)
	s := newSim(faultTestSize, 0.1, 8)
	s.cfg.Compile = manifest.Compile
	for i := range s.procs {
		s.restart(i)
	}
	syncFromStore := func() {
		o, err := store.Get(context.Background(), manifest.ObjectKey)
		assert.NilError(t, err)
		s.object = o
		s.valid[manifest.RevisionOf(o)] = string(o.Value)
		s.answerWatches()
	}
	var current api.Revision
	for i := range 6 {
		store.SetFaults(memstore.Faults{LoseAnswers: i % 2})
		next, err := committer.Commit(context.Background(), manifest.CommitRequest{
			Raw: validManifest(i), Base: current, InForce: s.procs[0].Snapshot(),
		})
		assert.NilError(t, err)
		assert.Assert(t, manifest.IsNewer(next, current))
		syncFromStore()
		current = next
		took := s.runUntil(current, 20*time.Second)
		assert.Assert(t, s.allAtRevision(current) && (i == 0 || took <= maxPropagationTime), "commit %d took %v", i, took)
	}
	assert.Equal(t, store.Ledger().WritesByKey[manifest.ObjectKey], 6)

	store.SetFaults(memstore.Faults{DropWrites: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := committer.Commit(ctx, manifest.CommitRequest{Raw: validManifest(9), Base: current, InForce: s.procs[0].Snapshot()})
	assert.Equal(t, errkind.FromError(err).RunState, api.RunStateUnknown)
	syncFromStore()
	s.run(maxPropagationTime)
	assert.Assert(t, s.allAtRevision(current))
	s.assertNoViolations(t)
}
