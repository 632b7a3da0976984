package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// longWorkerList returns the first list of a large deployment.
func longWorkerList(n int) *forward.Update {
	u := &forward.Update{Full: true, Revision: 5}
	for i := range n {
		u.Workers = append(u.Workers, forward.WorkerChange{Worker: forward.Worker{ID: fmt.Sprintf("i-%06d", i), Service: "svc", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Version: "v1", FailureDomain: "a", StartUnixMs: 1}})
	}
	return u
}

// Guards against a line for each of several thousand workers after a start, which use the processor of a
// small instance while callers wait, and against a list that leaves no line.
func TestLongWorkerListIsLoggedInShort(t *testing.T) {
	out := &lockedBuffer{}
	log, lines, err := newLogger(testSettings(t), out)
	assert.NilError(t, err)
	d := newDispatcher(testSettings(t), log)
	d.applyWorkers(time.Second, longWorkerList(3000))
	lines.flush(time.Second)
	assert.Equal(t, len(d.usableWorkers), 3000)
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(out.String(), `"in_use":3000`))
	for id := range d.usableWorkers {
		assert.Equal(t, d.health.Share(id), 1.0)
	}
}

func BenchmarkFirstWorkerList(b *testing.B) {
	u := longWorkerList(3000)
	for b.Loop() {
		newDispatcher(testSettings(b), newNopLogger()).applyWorkers(time.Second, u)
	}
}
