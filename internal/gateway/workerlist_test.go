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

// Guards against a gateway that refuses callers until the last of several thousand workers has been listed:
// 300 gateways that started at once took 3.2 s for that. Guards also against a page that outlives the list:
// a worker that has left meanwhile, or one of an older list.
func TestPageOfFirstListIsUsed(t *testing.T) {
	d := newDispatcher(testSettings(t), newNopLogger())
	d.applyConfig(testConfig(1))
	d.applyRollouts(time.Second, &forward.Update{Full: true, Revision: 5})
	d.applyEvacuations(time.Second, &forward.Update{Full: true, Revision: 5})
	synced, _ := d.hasSynced()
	assert.Assert(t, !synced)
	list := longWorkerList(1000).Workers
	d.applyWorkerPage(time.Second, &forward.Update{Revision: 5, Workers: list[500:]})
	synced, reason := d.hasSynced()
	assert.Assert(t, synced, reason)
	placement, _, ok := d.pickWorker(time.Second, forward.WorkerQuery{Service: "svc"}, "", "r", false)
	assert.Assert(t, ok)
	assert.Assert(t, placement.Worker.ID >= list[500].ID)
	d.applyWorkers(time.Second, &forward.Update{Full: true, Revision: 5, Workers: list[:900]})
	assert.Equal(t, len(d.usableWorkers), 900)
	d.applyWorkerPage(time.Second, &forward.Update{Revision: 5, Workers: list[900:]})
	assert.Equal(t, len(d.usableWorkers), 900)
}

func BenchmarkFirstWorkerList(b *testing.B) {
	u := longWorkerList(3000)
	for b.Loop() {
		newDispatcher(testSettings(b), newNopLogger()).applyWorkers(time.Second, u)
	}
}

// BenchmarkReturnOfDomain measures 415 workers that return cold.
func BenchmarkReturnOfDomain(b *testing.B) {
	d := newDispatcher(testSettings(b), newNopLogger())
	config := testConfig(1)
	config.Services["svc"] = forward.Service{Name: "svc", ColdPerSecond: 17}
	d.applyConfig(config)
	d.applyWorkers(time.Second, longWorkerList(3000))
	returning := longWorkerList(415).Workers
	for n := 0; b.Loop(); n++ {
		u := &forward.Update{Revision: int64(6 + n)}
		for i, w := range returning {
			w.ID, w.ColdFor = fmt.Sprintf("i-%06d-%d", i, n), 3*time.Second
			u.Workers = append(u.Workers, w)
		}
		d.applyWorkers(time.Duration(2+n)*time.Second, u)
	}
}

// Guards against a version that is taken for a new one for good because the first page of the list lacked it.
func TestPageDoesNotSayWhichVersionsServe(t *testing.T) {
	d := newDispatcher(testSettings(t), newNopLogger())
	first, second := forward.WorkerChange{Worker: forward.Worker{ID: "a", Service: "svc", Version: "v1"}}, forward.WorkerChange{Worker: forward.Worker{ID: "b", Service: "svc", Version: "v2"}}
	d.applyWorkerPage(0, &forward.Update{Workers: []forward.WorkerChange{first}})
	d.applyWorkers(0, &forward.Update{Full: true, Revision: 5, Workers: []forward.WorkerChange{first, second}})
	assert.DeepEqual(t, d.rollouts.baselineVersions["svc"], map[string]bool{"v1": true, "v2": true})
}
