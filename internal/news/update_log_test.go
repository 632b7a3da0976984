package news

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

func workerChange(id string) forward.WorkerChange {
	return forward.WorkerChange{Worker: forward.Worker{ID: id, Service: "svc", Address: "10.0.0.1:1"}}
}

func watchUpdate(revision int64, workers ...forward.WorkerChange) *forward.Update {
	return &forward.Update{Revision: revision, Workers: workers}
}

func listUpdate(revision int64, workers ...forward.WorkerChange) *forward.Update {
	u := watchUpdate(revision, workers...)
	u.Full = true
	return u
}

// manyWorkers returns n workers whose names and addresses compress no better than real
// ones.
func manyWorkers(n int) []forward.WorkerChange {
	out := make([]forward.WorkerChange, n)
	for i := range out {
		out[i] = workerChange("i-" + strconv.FormatUint(uint64(i)*0x9e3779b97f4a7c15, 16))
		out[i].Address = fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
	}
	return out
}

// newTestLog returns an UpdateLog with all topics at revision 10, confirmed at a time.
func newTestLog(t *testing.T, at Elapsed) *UpdateLog {
	t.Helper()
	l := NewUpdateLog(2 * time.Second)
	for _, topic := range forward.Topics {
		_, err := l.Record(topic, listUpdate(10), at)
		assert.NilError(t, err)
	}
	return l
}

func updatesSince(t *testing.T, l *UpdateLog, now Elapsed, revision int64) (forward.Update, bool) {
	t.Helper()
	d, found, err := l.Since(now, forward.WorkerTopic, revision, false)
	assert.NilError(t, err)
	u, err := Merge(d)
	assert.NilError(t, err)
	return u, found
}

// Guards against a change that a gateway misses, gets twice or in another order: each
// revision that the relay has passed on must lead to exactly the changes after it.
func TestUpdatesContinueAtEachRevision(t *testing.T) {
	l := newTestLog(t, 0)
	removed := forward.WorkerChange{Worker: forward.Worker{ID: "a"}, Removed: true}
	for _, u := range []*forward.Update{watchUpdate(12, workerChange("a")), watchUpdate(15), watchUpdate(17, workerChange("b"), removed)} {
		_, err := l.Record(forward.WorkerTopic, u, time.Second)
		assert.NilError(t, err)
	}
	for _, c := range []struct {
		revision int64
		want     []forward.WorkerChange
	}{
		{10, []forward.WorkerChange{workerChange("a"), workerChange("b"), removed}},
		{12, []forward.WorkerChange{workerChange("b"), removed}},
		{15, []forward.WorkerChange{workerChange("b"), removed}},
	} {
		u, found := updatesSince(t, l, time.Second, c.revision)
		assert.Assert(t, found && !u.Full)
		assert.Equal(t, u.Revision, int64(17))
		assert.DeepEqual(t, u.Workers, c.want)
	}
	_, found := updatesSince(t, l, time.Second, 17)
	assert.Assert(t, !found)
}

// Guards against three faults after a gateway got a revision from the store itself: a relay
// that is behind restores an older state, the gateway gets no more updates, or it gets
// whole lists where the changes suffice. At 300 gateways and 3,000 workers such lists took
// most of the bytes between failure domains.
func TestRevisionBetweenEntriesIsContinued(t *testing.T) {
	l := newTestLog(t, 0)
	_, err := l.Record(forward.WorkerTopic, watchUpdate(20, workerChange("a")), 0)
	assert.NilError(t, err)
	u, found := updatesSince(t, l, 0, 13)
	assert.Assert(t, found && !u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{workerChange("a")})
	u, found = updatesSince(t, l, 0, 9)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{workerChange("a")})

	u, found = updatesSince(t, l, 0, 25)
	assert.Assert(t, !found)
	assert.Equal(t, u.Revision, int64(25))
	_, err = l.Record(forward.WorkerTopic, watchUpdate(26, workerChange("b")), 0)
	assert.NilError(t, err)
	u, found = updatesSince(t, l, 0, 25)
	assert.Assert(t, found && !u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{workerChange("b")})
	assert.Equal(t, u.Revision, int64(26))
}

// Guards against API keys that are accepted for too long: the age that a relay states must
// count from the time at which its data was confirmed. A relay must be unavailable while
// the store does not answer it, or while its configuration was not confirmed for too long.
func TestStaleRelayIsUnavailable(t *testing.T) {
	l := newTestLog(t, time.Second)
	d, _, err := l.Since(2500*time.Millisecond, forward.ConfigTopic, 10, false)
	assert.NilError(t, err)
	assert.Equal(t, d.Age, 1500*time.Millisecond)
	assert.Assert(t, l.Available(3*time.Second, forward.WorkerTopic))
	assert.Assert(t, !l.Available(3*time.Second+1, forward.WorkerTopic))

	_, err = l.Record(forward.ConfigTopic, watchUpdate(11), 4*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, l.Available(4*time.Second, forward.WorkerTopic))
	l.MarkUnavailable(forward.WorkerTopic)
	assert.Assert(t, !l.Available(4*time.Second, forward.WorkerTopic))
	assert.Assert(t, l.Available(4*time.Second, forward.RolloutTopic))
	l.MarkUnavailable(forward.ConfigTopic)
	assert.Assert(t, !l.Available(4*time.Second, forward.RolloutTopic))
	l.Close()
	_, err = l.Record(forward.ConfigTopic, listUpdate(12), 4*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !l.Available(4*time.Second, forward.ConfigTopic))
}

// Guards against memory that grows with the number of changes.
func TestUpdateLogIsBounded(t *testing.T) {
	l := newTestLog(t, 0)
	for i := range 1000 {
		_, err := l.Record(forward.WorkerTopic, watchUpdate(int64(11+i), workerChange("a")), 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(l.topics[forward.WorkerTopic].entries), maxEntriesPerTopic)
	u, found := updatesSince(t, l, 0, 10)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{workerChange("a")})
}

// Guards against a whole list that a relay sends to each gateway after it has listed again,
// and against a gateway that misses the removal of an object that was added and removed
// between the two lists.
func TestListIsPassedOnAsDifference(t *testing.T) {
	l := newTestLog(t, 0)
	for _, u := range []*forward.Update{watchUpdate(12, workerChange("a"), workerChange("b")), listUpdate(20, workerChange("b"), workerChange("c"))} {
		_, err := l.Record(forward.WorkerTopic, u, 0)
		assert.NilError(t, err)
	}
	removed := workerChange("a")
	removed.Removed = true
	u, found := updatesSince(t, l, 0, 12)
	assert.Assert(t, found && !u.Full)
	assert.Equal(t, u.Revision, int64(20))
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{removed, workerChange("c")})

	// At revision 15, the store may have listed another worker that was removed before 20.
	u, found = updatesSince(t, l, 0, 15)
	assert.Assert(t, found && u.Full)
	u, found = updatesSince(t, l, 0, 10)
	assert.Assert(t, found && !u.Full)
	assert.Equal(t, len(u.Workers), 4)

	// A store that was restored from a backup may assign its revisions again.
	_, err := l.Record(forward.WorkerTopic, listUpdate(18, workerChange("d")), 0)
	assert.NilError(t, err)
	_, found = updatesSince(t, l, 0, 20)
	assert.Assert(t, !found)
	u, found = updatesSince(t, l, 0, 12)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{workerChange("d")})
}

// Guards against lists of thousands of workers that relays send to every gateway after a
// restart of all: at 300 gateways they reduced the score of the deployment by 0.04. A gateway
// that cannot reach the store still gets them.
func TestLongListIsLeftToStore(t *testing.T) {
	many := manyWorkers(3000)
	l := newTestLog(t, 0)
	_, err := l.Record(forward.WorkerTopic, listUpdate(20, many...), 0)
	assert.NilError(t, err)
	_, err = l.Record(forward.WorkerTopic, watchUpdate(21, workerChange("new")), 0)
	assert.NilError(t, err)
	d, found, err := l.Since(0, forward.WorkerTopic, 15, false)
	assert.NilError(t, err)
	assert.Assert(t, found && d.Gap && len(d.Updates) == 0)
	assert.Equal(t, d.Revision, int64(15))
	d, found, err = l.Since(0, forward.WorkerTopic, 15, true)
	assert.NilError(t, err)
	assert.Assert(t, found && d.Full && !d.Gap)
	d, found, err = l.Since(0, forward.WorkerTopic, 20, false)
	assert.NilError(t, err)
	assert.Assert(t, found && !d.Full && !d.Gap)
}

// Guards against updates about changes that no gateway reads, for example while a worker
// warms up: each was sent to all gateways.
func TestUnreadChangesAreNoNews(t *testing.T) {
	l := newTestLog(t, 0)
	_, err := l.Record(forward.WorkerTopic, watchUpdate(11, workerChange("a")), 0)
	assert.NilError(t, err)
	changed, err := l.Record(forward.WorkerTopic, watchUpdate(12, workerChange("a")), 0)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	changed, err = l.Record(forward.WorkerTopic, listUpdate(13, workerChange("a")), 0)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	_, found := updatesSince(t, l, 0, 11)
	assert.Assert(t, !found)
	draining := workerChange("a")
	draining.Draining = true
	changed, err = l.Record(forward.WorkerTopic, watchUpdate(14, draining), 0)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	u, _ := updatesSince(t, l, 0, 11)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{draining})
}

// Guards against configurations that are sent although newer ones have replaced them: with
// series of configurations they took most of the bytes between gateways.
func TestOnlyNewestConfigurationIsTold(t *testing.T) {
	l := newTestLog(t, 0)
	configs := func(versions ...int64) []*forward.Config {
		var out []*forward.Config
		for _, v := range versions {
			out = append(out, &forward.Config{Version: v})
		}
		return out
	}
	for _, u := range []*forward.Update{{Revision: 12, Configs: configs(1, 4, 3)}, {Revision: 14, Configs: configs(6, 7)}} {
		_, err := l.Record(forward.ConfigTopic, u, 0)
		assert.NilError(t, err)
	}
	for revision, want := range map[int64][]*forward.Config{10: configs(7), 12: configs(7), 14: nil} {
		d, _, err := l.Since(0, forward.ConfigTopic, revision, false)
		assert.NilError(t, err)
		u, err := Merge(d)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.Configs, want)
	}
	l.topics[forward.ConfigTopic].entries = l.topics[forward.ConfigTopic].entries[:2]
	d, _, err := l.Since(0, forward.ConfigTopic, 10, false)
	assert.NilError(t, err)
	u, err := Merge(d)
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Configs, configs(4))
}

// Guards against fields of configurations and rollouts that are lost between relay and
// gateway.
func TestConfigurationSurvivesEncoding(t *testing.T) {
	config := &forward.Config{
		Version: 7, HasCustomers: true, Customers: map[string]forward.Customer{"key": {Name: "ada", Priority: 2, HasPriority: true}},
		Routes:   []forward.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Kind: forward.Stream, Timeout: 3 * time.Second, LatencyTarget: time.Second, GapTarget: 500 * time.Millisecond, Models: []string{"s", "l"}, Splits: []forward.Split{{Service: "svc", Weight: 0.5}}, MaxAttempts: 3, Resumable: true}},
		Services: map[string]forward.Service{"svc": {Name: "svc", MaxConnections: 9, Engine: &forward.Engine{Slots: 4, KVCapacity: 5, Costs: map[string]float64{"s": 0.1}}}},
		Limits:   forward.ClientLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
	}
	rollout := forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute, State: forward.RolloutRunning, Step: 2, StatusTarget: "v2", Revision: 5, CreatedRevision: 3}
	l := NewUpdateLog(time.Second)
	original := &forward.Update{Revision: 9, Full: true, Configs: []*forward.Config{config}, Rollouts: []forward.RolloutChange{{Rollout: rollout}}}
	_, err := l.Record(forward.ConfigTopic, original, 0)
	assert.NilError(t, err)
	d, found, err := l.Since(0, forward.ConfigTopic, 1, false)
	assert.NilError(t, err)
	assert.Assert(t, found)
	got, err := Merge(d)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Configs, original.Configs)
	assert.DeepEqual(t, got.Rollouts, original.Rollouts)
}

// Guards against uncompressed updates between failure domains: a configuration or a series
// of workers is sent to every gateway.
func TestLongUpdatesArePacked(t *testing.T) {
	many := manyWorkers(100)
	l := newTestLog(t, 0)
	_, err := l.Record(forward.WorkerTopic, watchUpdate(11, many...), 0)
	assert.NilError(t, err)
	_, err = l.Record(forward.WorkerTopic, watchUpdate(12, many[0]), 0)
	assert.NilError(t, err)
	uncompressed, err := json.Marshal(watchUpdate(11, many...))
	assert.NilError(t, err)
	d, _, err := l.Since(0, forward.WorkerTopic, 10, false)
	assert.NilError(t, err)
	assert.Assert(t, len(d.Updates[0]) < len(uncompressed)/3, "%d of %d bytes", len(d.Updates[0]), len(uncompressed))
	u, err := Merge(d)
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Workers, many)
}

// Guards against a small message that decompresses to more than the memory of a gateway.
func TestDecompressedUpdatesAreBounded(t *testing.T) {
	var c compressor
	compressed, err := c.compress(json.RawMessage(`"` + strings.Repeat("a", maxDecompressedBytes) + `"`))
	assert.NilError(t, err)
	_, err = Merge(Delta{Updates: []json.RawMessage{compressed}})
	assert.ErrorContains(t, err, "longer than")
}

// Guards against a decoder that panics on input from another process.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"Workers":[{"ID":"a","Removed":true}]}`))
	f.Add([]byte(`{"Configs":[null]}`))
	f.Add([]byte(`"qlZyzs9Ly0xXsoqurgUA"`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		u, err := Merge(Delta{Updates: []json.RawMessage{raw}})
		if err != nil {
			return
		}
		for _, c := range u.Configs {
			_ = c.Version // Merge must refuse null configurations
		}
	})
}

// Guards against an order or a cold worker that a relay does not pass on, and against a message for each
// heartbeat of a cold worker.
func TestEvacuationsAndColdWorkersArePassedOn(t *testing.T) {
	l := newTestLog(t, 0)
	record := func(topic forward.Topic, u *forward.Update) bool {
		changed, err := l.Record(topic, u, 0)
		assert.NilError(t, err)
		return changed
	}
	since := func(topic forward.Topic, revision int64) forward.Update {
		d, _, err := l.Since(0, topic, revision, true)
		assert.NilError(t, err)
		u, err := Merge(d)
		assert.NilError(t, err)
		return u
	}
	ordered := forward.EvacuationChange{FailureDomain: "a"}
	assert.Check(t, record(forward.EvacuationTopic, &forward.Update{Revision: 11, Evacuations: []forward.EvacuationChange{ordered}}))
	assert.DeepEqual(t, since(forward.EvacuationTopic, 10).Evacuations, []forward.EvacuationChange{ordered})
	assert.DeepEqual(t, since(forward.EvacuationTopic, 3).Evacuations, []forward.EvacuationChange{ordered})
	assert.Check(t, !record(forward.EvacuationTopic, &forward.Update{Revision: 12, Full: true, Evacuations: []forward.EvacuationChange{ordered}}))
	assert.Check(t, record(forward.EvacuationTopic, &forward.Update{Revision: 13, Full: true}))
	assert.DeepEqual(t, since(forward.EvacuationTopic, 12).Evacuations, []forward.EvacuationChange{{FailureDomain: "a", Removed: true}})

	cold := workerChange("w")
	entry := func(revision int64, coldFor time.Duration) bool {
		cold.ColdFor = coldFor
		return record(forward.WorkerTopic, watchUpdate(revision, cold))
	}
	assert.Check(t, entry(14, 3*time.Second))
	assert.Check(t, !entry(15, 2*time.Second), "a shorter time is no news")
	assert.DeepEqual(t, since(forward.WorkerTopic, 3).Workers, []forward.WorkerChange{cold})
	assert.Check(t, entry(16, 3*time.Second), "a longer time is")
	assert.Check(t, entry(17, 0) && !entry(18, 0))
	assert.Check(t, entry(19, time.Second), "a worker that turns cold again is")
}
