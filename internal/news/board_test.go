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

func worker(id string) forward.WorkerChange {
	return forward.WorkerChange{Worker: forward.Worker{ID: id, Service: "svc", Address: "10.0.0.1:1"}}
}

func update(revision int64, workers ...forward.WorkerChange) *forward.Update {
	return &forward.Update{Revision: revision, Workers: workers}
}

func listed(revision int64, workers ...forward.WorkerChange) *forward.Update {
	u := update(revision, workers...)
	u.Full = true
	return u
}

// manyWorkers returns workers whose names and addresses differ as much as real ones.
func manyWorkers(n int) []forward.WorkerChange {
	out := make([]forward.WorkerChange, n)
	for i := range out {
		out[i] = worker("i-" + strconv.FormatUint(uint64(i)*0x9e3779b97f4a7c15, 16))
		out[i].Address = fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
	}
	return out
}

// boardAt returns a Board that confirmed all topics at a time.
func boardAt(t *testing.T, at Elapsed) *Board {
	t.Helper()
	b := NewBoard(2 * time.Second)
	for _, topic := range []forward.Topic{forward.ConfigTopic, forward.WorkerTopic, forward.RolloutTopic} {
		_, err := b.Took(topic, listed(10), at)
		assert.NilError(t, err)
	}
	return b
}

func since(t *testing.T, b *Board, now Elapsed, revision int64) (forward.Update, bool) {
	t.Helper()
	a, found, err := b.Since(now, forward.WorkerTopic, revision, false)
	assert.NilError(t, err)
	u, err := Merge(a)
	assert.NilError(t, err)
	return u, found
}

// Guards against a change that a gateway misses, gets twice or in another order: each
// revision that the relay has told leads to exactly the changes after it.
func TestNewsContinueAtEachRevision(t *testing.T) {
	b := boardAt(t, 0)
	gone := forward.WorkerChange{Worker: forward.Worker{ID: "a"}, Removed: true}
	for _, u := range []*forward.Update{update(12, worker("a")), update(15), update(17, worker("b"), gone)} {
		_, err := b.Took(forward.WorkerTopic, u, time.Second)
		assert.NilError(t, err)
	}
	for _, c := range []struct {
		revision int64
		want     []forward.WorkerChange
	}{
		{10, []forward.WorkerChange{worker("a"), worker("b"), gone}},
		{12, []forward.WorkerChange{worker("b"), gone}},
		{15, []forward.WorkerChange{worker("b"), gone}},
	} {
		u, found := since(t, b, time.Second, c.revision)
		assert.Assert(t, found && !u.Full)
		assert.Equal(t, u.Revision, int64(17))
		assert.DeepEqual(t, u.Workers, c.want)
	}
	_, found := since(t, b, time.Second, 17)
	assert.Assert(t, !found)
}

// Guards against a gateway that is taken back to an older state by a relay that is behind,
// against one that stays behind because it knows a revision of its own, and against whole
// lists where the changes suffice: at 300 gateways and 3,000 workers they took most of the
// bytes between failure domains.
func TestOwnRevisionOfGatewayIsContinued(t *testing.T) {
	b := boardAt(t, 0)
	_, err := b.Took(forward.WorkerTopic, update(20, worker("a")), 0)
	assert.NilError(t, err)
	u, found := since(t, b, 0, 13)
	assert.Assert(t, found && !u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{worker("a")})
	u, found = since(t, b, 0, 9)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{worker("a")})

	u, found = since(t, b, 0, 25)
	assert.Assert(t, !found)
	assert.Equal(t, u.Revision, int64(25))
	_, err = b.Took(forward.WorkerTopic, update(26, worker("b")), 0)
	assert.NilError(t, err)
	u, found = since(t, b, 0, 25)
	assert.Assert(t, found && !u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{worker("b")})
	assert.Equal(t, u.Revision, int64(26))
}

// Guards against keys that are believed for too long: the age that a relay states grows
// from when its knowledge was confirmed, and a relay that the store does not answer, or
// that has not heard of the configuration for too long, tells nothing.
func TestRelayTellsNothingOld(t *testing.T) {
	b := boardAt(t, time.Second)
	a, _, err := b.Since(2500*time.Millisecond, forward.ConfigTopic, 10, false)
	assert.NilError(t, err)
	assert.Equal(t, a.Age, 1500*time.Millisecond)
	assert.Assert(t, b.Available(3*time.Second, forward.WorkerTopic))
	assert.Assert(t, !b.Available(3*time.Second+1, forward.WorkerTopic))

	_, err = b.Took(forward.ConfigTopic, update(11), 4*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, b.Available(4*time.Second, forward.WorkerTopic))
	b.Lost(forward.WorkerTopic)
	assert.Assert(t, !b.Available(4*time.Second, forward.WorkerTopic))
	assert.Assert(t, b.Available(4*time.Second, forward.RolloutTopic))
	b.Lost(forward.ConfigTopic)
	assert.Assert(t, !b.Available(4*time.Second, forward.RolloutTopic))
	b.Leave()
	_, err = b.Took(forward.ConfigTopic, listed(12), 4*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !b.Available(4*time.Second, forward.ConfigTopic))
}

// Guards against memory that grows with the number of changes.
func TestBoardIsBounded(t *testing.T) {
	b := boardAt(t, 0)
	for i := range 1000 {
		_, err := b.Took(forward.WorkerTopic, update(int64(11+i), worker("a")), 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(b.topics[forward.WorkerTopic].entries), maxEntries)
	u, found := since(t, b, 0, 10)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{worker("a")})
}

// Guards against the whole list that a relay sends to each gateway after it has listed
// again, and against a gateway that misses what came and went between the two lists.
func TestListIsPassedOnAsDifference(t *testing.T) {
	b := boardAt(t, 0)
	for _, u := range []*forward.Update{update(12, worker("a"), worker("b")), listed(20, worker("b"), worker("c"))} {
		_, err := b.Took(forward.WorkerTopic, u, 0)
		assert.NilError(t, err)
	}
	gone := worker("a")
	gone.Removed = true
	u, found := since(t, b, 0, 12)
	assert.Assert(t, found && !u.Full)
	assert.Equal(t, u.Revision, int64(20))
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{gone, worker("c")})

	// At 15 another worker may have been listed that was gone by 20.
	u, found = since(t, b, 0, 15)
	assert.Assert(t, found && u.Full)
	u, found = since(t, b, 0, 10)
	assert.Assert(t, found && !u.Full)
	assert.Equal(t, len(u.Workers), 4)

	// A store that was set back may use its revisions for other changes.
	_, err := b.Took(forward.WorkerTopic, listed(18, worker("d")), 0)
	assert.NilError(t, err)
	_, found = since(t, b, 0, 20)
	assert.Assert(t, !found)
	u, found = since(t, b, 0, 12)
	assert.Assert(t, found && u.Full)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{worker("d")})
}

// Guards against whole lists of thousands of workers that go to every gateway after a
// restart of all: they took 0.04 of worth at 300 gateways. A gateway without a way to the
// store still gets them.
func TestLongListIsLeftToStore(t *testing.T) {
	many := manyWorkers(3000)
	b := boardAt(t, 0)
	_, err := b.Took(forward.WorkerTopic, listed(20, many...), 0)
	assert.NilError(t, err)
	_, err = b.Took(forward.WorkerTopic, update(21, worker("new")), 0)
	assert.NilError(t, err)
	a, found, err := b.Since(0, forward.WorkerTopic, 15, false)
	assert.NilError(t, err)
	assert.Assert(t, found && a.Gap && len(a.Updates) == 0)
	assert.Equal(t, a.Revision, int64(15))
	a, found, err = b.Since(0, forward.WorkerTopic, 15, true)
	assert.NilError(t, err)
	assert.Assert(t, found && a.Full && !a.Gap)
	a, found, err = b.Since(0, forward.WorkerTopic, 20, false)
	assert.NilError(t, err)
	assert.Assert(t, found && !a.Full && !a.Gap)
}

// Guards against news of changes that no gateway reads, such as those of a worker that
// warms up: each was sent to all gateways.
func TestUnreadChangesAreNoNews(t *testing.T) {
	b := boardAt(t, 0)
	_, err := b.Took(forward.WorkerTopic, update(11, worker("a")), 0)
	assert.NilError(t, err)
	news, err := b.Took(forward.WorkerTopic, update(12, worker("a")), 0)
	assert.NilError(t, err)
	assert.Assert(t, !news)
	news, err = b.Took(forward.WorkerTopic, listed(13, worker("a")), 0)
	assert.NilError(t, err)
	assert.Assert(t, !news)
	_, found := since(t, b, 0, 11)
	assert.Assert(t, !found)
	changed := worker("a")
	changed.Draining = true
	news, err = b.Took(forward.WorkerTopic, update(14, changed), 0)
	assert.NilError(t, err)
	assert.Assert(t, news)
	u, _ := since(t, b, 0, 11)
	assert.DeepEqual(t, u.Workers, []forward.WorkerChange{changed})
}

// Guards against configurations that were replaced since, which took most of the bytes
// between gateways on a day with series of them.
func TestOnlyNewestConfigurationIsTold(t *testing.T) {
	b := boardAt(t, 0)
	configs := func(versions ...int64) []*forward.Config {
		var out []*forward.Config
		for _, v := range versions {
			out = append(out, &forward.Config{Version: v})
		}
		return out
	}
	for _, u := range []*forward.Update{{Revision: 12, Configs: configs(1, 4, 3)}, {Revision: 14, Configs: configs(6, 7)}} {
		_, err := b.Took(forward.ConfigTopic, u, 0)
		assert.NilError(t, err)
	}
	for revision, want := range map[int64][]*forward.Config{10: configs(7), 12: configs(7), 14: nil} {
		a, _, err := b.Since(0, forward.ConfigTopic, revision, false)
		assert.NilError(t, err)
		u, err := Merge(a)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.Configs, want)
	}
	b.topics[forward.ConfigTopic].entries = b.topics[forward.ConfigTopic].entries[:2]
	a, _, err := b.Since(0, forward.ConfigTopic, 10, false)
	assert.NilError(t, err)
	u, err := Merge(a)
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Configs, configs(4))
}

// Guards against a relay that spoils a configuration on its way.
func TestConfigurationIsPassedOnWhole(t *testing.T) {
	config := &forward.Config{
		Version: 7, HasCustomers: true, Customers: map[string]forward.Customer{"key": {Name: "ada", Priority: 2, HasPriority: true}},
		Routes:   []forward.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Kind: forward.Stream, Timeout: 3 * time.Second, Target: time.Second, GapTarget: 500 * time.Millisecond, Models: []string{"s", "l"}, Splits: []forward.Split{{Service: "svc", Weight: 0.5}}, MaxAttempts: 3, Resumable: true}},
		Services: map[string]forward.Service{"svc": {Name: "svc", MaxConnections: 9, Engine: &forward.Engine{Slots: 4, KVCapacity: 5, Costs: map[string]float64{"s": 0.1}}}},
		Limits:   forward.ClientLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
	}
	rollout := forward.Rollout{Service: "svc", Target: "v2", Duration: time.Minute, State: forward.RolloutRunning, Step: 2, StatusTarget: "v2", Revision: 5, Created: 3}
	b := NewBoard(time.Second)
	sent := &forward.Update{Revision: 9, Full: true, Configs: []*forward.Config{config}, Rollouts: []forward.RolloutChange{{Rollout: rollout}}}
	_, err := b.Took(forward.ConfigTopic, sent, 0)
	assert.NilError(t, err)
	a, found, err := b.Since(0, forward.ConfigTopic, 1, false)
	assert.NilError(t, err)
	assert.Assert(t, found)
	got, err := Merge(a)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Configs, sent.Configs)
	assert.DeepEqual(t, got.Rollouts, sent.Rollouts)
}

// Guards against bytes between failure domains: a configuration and a series of workers
// are sent to every gateway.
func TestLongUpdatesArePacked(t *testing.T) {
	many := manyWorkers(100)
	b := boardAt(t, 0)
	_, err := b.Took(forward.WorkerTopic, update(11, many...), 0)
	assert.NilError(t, err)
	_, err = b.Took(forward.WorkerTopic, update(12, many[0]), 0)
	assert.NilError(t, err)
	plain, err := json.Marshal(update(11, many...))
	assert.NilError(t, err)
	a, _, err := b.Since(0, forward.WorkerTopic, 10, false)
	assert.NilError(t, err)
	assert.Assert(t, len(a.Updates[0]) < len(plain)/3, "%d of %d bytes", len(a.Updates[0]), len(plain))
	u, err := Merge(a)
	assert.NilError(t, err)
	assert.DeepEqual(t, u.Workers, many)
}

// Guards against a small message that fills the memory of a gateway.
func TestUnpackedUpdatesAreBounded(t *testing.T) {
	var p packer
	packed, err := p.pack(json.RawMessage(`"` + strings.Repeat("a", maxUnpacked) + `"`))
	assert.NilError(t, err)
	_, err = Merge(Answer{Updates: []json.RawMessage{packed}})
	assert.ErrorContains(t, err, "longer than")
}

// Guards against a decoder that panics on what another process sends.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"Workers":[{"ID":"a","Removed":true}]}`))
	f.Add([]byte(`{"Configs":[null]}`))
	f.Add([]byte(`"qlZyzs9Ly0xXsoqurgUA"`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		u, err := Merge(Answer{Updates: []json.RawMessage{raw}})
		if err != nil {
			return
		}
		for _, c := range u.Configs {
			_ = c.Version // a configuration that is not one must be refused
		}
	})
}
