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

func realManifest(number int) []byte {
	return fmt.Appendf(nil, `{"schemaVersion":1,"description":"number %d","operators":[{"name":"op","keyHash":"%s"}],
 "customers":[{"name":"c","keyHashes":["%s"],"models":["m"]}],
 "models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
 "classes":[{"name":"q","qualityTarget":0.5,"deadlineMs":1000,"weighting":"latency"}]}`,
		number, strings.Repeat("a", 64), strings.Repeat("b", 64))
}

// Guards against a commit whose answer was lost being written twice, reported
// under another revision than the one in force, or staying out of force; and
// against a write that was dropped being reported as done.
func TestCommitWithLostAnswers(t *testing.T) {
	t.Parallel()
	store := memstore.New()
	committer := manifest.NewCommitter(store)
	s := newSim(faultSize, 0.1, 8)
	s.cfg.Compile = manifest.Compile
	for i := range s.procs {
		s.restart(i)
	}
	read := func() {
		o, err := store.Get(context.Background(), manifest.Key)
		assert.NilError(t, err)
		s.object = o
		s.valid[manifest.RevisionOf(o)] = string(o.Value)
		s.wake()
	}
	var held api.Revision
	for i := range 6 {
		store.SetFaults(memstore.Faults{LoseAnswers: i % 2})
		next, err := committer.Commit(context.Background(), manifest.CommitRequest{
			Raw: realManifest(i), Base: held, InForce: s.procs[0].Snapshot(),
		})
		assert.NilError(t, err)
		assert.Assert(t, manifest.Newer(next, held))
		read()
		held = next
		took := s.runUntil(held, 20*time.Second)
		assert.Assert(t, s.all(held) && (i == 0 || took <= inForce), "commit %d took %v", i, took)
	}
	assert.Equal(t, store.Ledger().Written[manifest.Key], 6)

	store.SetFaults(memstore.Faults{DropWrites: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := committer.Commit(ctx, manifest.CommitRequest{Raw: realManifest(9), Base: held, InForce: s.procs[0].Snapshot()})
	assert.Equal(t, errkind.From(err).RunState, api.RunStateUnknown)
	read()
	s.run(inForce)
	assert.Assert(t, s.all(held))
	s.check(t)
}
