package placement_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/placement"
)

func used(name string, least int) placement.Version {
	return placement.Version{Name: name, Min: least, Used: true}
}

func worldOf(t *testing.T, entries, servers int, versions ...placement.Version) *holderWorld {
	w := newHolderWorld(entries, servers, versions...)
	w.fault = func(format string, args ...any) { t.Fatalf(format, args...) }
	return w
}

// Guards against a plan that does not follow the manifest: a withdrawn version
// stays loaded, a declared one is not loaded, or demand has no effect.
func TestHolderFollowsManifestAndDemand(t *testing.T) {
	w := worldOf(t, 1, 6, used("a", 2), used("b", 2))
	w.run(30*time.Second, 0)
	assert.Equal(t, w.count("a"), 3)
	w.busy("a", 4)
	w.run(2*time.Minute, 0)
	assert.Equal(t, w.count("a"), 4)
	assert.Equal(t, w.count("b"), 2)
	w.pool.Versions = []placement.Version{used("a", 1), used("c", 2)}
	w.declare(2)
	w.run(2*time.Minute, 0)
	assert.Equal(t, w.count("b"), 0)
	assert.Assert(t, w.count("c") >= 2)
}

// Guards against servers that keep several versions, and against an order for
// that while another server is needed for the removed version.
func TestHolderRemovesExtraVersions(t *testing.T) {
	w := worldOf(t, 1, 4, used("a", 1), used("b", 2))
	for _, s := range w.servers {
		s.Versions = []string{"a", "b", "withdrawn"}
	}
	w.run(2*time.Minute, 0)
	for _, s := range w.servers {
		assert.Equal(t, len(s.Versions), 1, s.Name)
	}
	assert.Assert(t, w.count("a") >= 1 && w.count("b") >= 2)
}

// Guards against a holder that is paused before it sends or records an order and
// acts on its old plan after another entry has taken over.
func TestPausedHolderChangesNothing(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		w := worldOf(t, 2, 4, used("a", 1), used("b", 1))
		w.run(20*time.Second, 0)
		old := w.entries[0]
		w.busy("a", 8)
		w.untilOrder(t, old)
		if recorded {
			w.call(old, false)
			assert.Equal(t, len(old.orders), 1)
		}
		w.run(3*time.Minute, 1)
		assert.Assert(t, w.entries[1].holder.Holds())
		before := make([][]string, 0, len(w.servers))
		for _, s := range w.servers {
			before = append(before, slices.Clone(s.Versions))
		}
		for len(old.calls) > 0 || len(old.orders) > 0 {
			w.call(old, false)
			if len(old.orders) > 0 {
				w.deliver(old, 0)
			}
		}
		assert.Assert(t, !old.holder.Holds())
		for i, s := range w.servers {
			assert.DeepEqual(t, s.Versions, before[i])
		}
	}
}

// Guards against a paused holder whose late order takes a second server of a
// version of which the next holder took one: the records of all servers are
// written by the next holder before its first order.
func TestPausedHolderTakesNoSecondServer(t *testing.T) {
	w := worldOf(t, 2, 5, used("a", 2), used("b", 1))
	w.run(20*time.Second, 0)
	w.busy("b", 8)
	w.untilOrder(t, w.entries[0])
	first := w.entries[0].calls[0].(placement.WriteObject)
	w.server(strings.TrimPrefix(first.Key, placement.RecordPrefix)).Running = 9 // the next holder prefers another
	w.run(3*time.Minute, 1)
	assert.Equal(t, w.count("a"), 2)
	assert.Equal(t, w.recordOf(strings.TrimPrefix(first.Key, placement.RecordPrefix)).Version, "a")
	for len(w.entries[0].calls) > 0 {
		w.call(w.entries[0], false)
	}
	assert.Equal(t, len(w.entries[0].orders), 0)
}

// Guards against a plan without a holder while the entry that should hold it is
// frozen, and against a holder that keeps the plan although it gets no reports.
func TestSecondEntryTakesPlan(t *testing.T) {
	w := worldOf(t, 2, 4, used("a", 1), used("b", 1))
	w.run(20*time.Second, 0)
	rank1 := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
			w.tick(w.entries[1], 1)
			for len(w.entries[1].calls) > 0 {
				w.call(w.entries[1], false)
			}
		}
	}
	rank1(2 * time.Minute)
	assert.Assert(t, w.entries[1].holder.Holds())
	w.run(10*time.Minute, 0, 1)
	assert.Assert(t, w.entries[0].holder.Holds() && !w.entries[1].holder.Holds())
}

// untilOrder runs an entry until its next call records an order.
func (w *holderWorld) untilOrder(t *testing.T, e *worldEntry) {
	for range 60 {
		w.now = w.now.Add(time.Second)
		w.tick(e, 0)
		for len(e.calls) > 0 && !pendingOrder(e) {
			w.call(e, false)
		}
		if len(e.calls) > 0 {
			return
		}
	}
	t.Fatal("no order was recorded")
}

// pendingOrder reports whether the next call of an entry writes the record of a
// server.
func pendingOrder(e *worldEntry) bool {
	if len(e.calls) == 0 {
		return false
	}
	write, ok := e.calls[0].(placement.WriteObject)
	return ok && write.Key != placement.PlanKey && write.IfVersion > 0
}

// Guards against a version that stays without a server because the engine chosen
// for it cannot load it, and against that engine being asked without a pause.
func TestFailingEngineIsReplaced(t *testing.T) {
	w := worldOf(t, 1, 4, used("a", 1), used("b", 1))
	w.run(20*time.Second, 0)
	w.pool.Versions = append(w.pool.Versions, used("c", 1))
	w.servers[0].failing = true // the planner's first choice
	w.declare(2)
	w.run(5*time.Minute, 0)
	assert.Assert(t, w.count("c") >= 1)
	assert.Assert(t, w.count("a") >= 1 && w.count("b") >= 1)
	assert.Assert(t, len(w.loads) < 20, "%d loads", len(w.loads))
}

// Guards against a used version without servers after one drained, and against
// an order to a leaving or replaced server.
func TestDrainedAndReplacedServers(t *testing.T) {
	w := worldOf(t, 1, 4, used("a", 2), used("b", 1))
	w.run(20*time.Second, 0)
	w.servers[0].Orderable = false // held a
	w.run(time.Minute, 0)
	assert.Equal(t, w.count("a"), 2)
	assert.Assert(t, w.count("b") >= 1)
	s := w.servers[0]
	s.Orderable, s.Incarnation, s.Versions = true, 2, []string{"b"}
	w.run(time.Minute, 0)
	assert.DeepEqual(t, s.Versions, []string{"a"})
}

// Guards against two entries that both believe to hold the plan, late and lost
// answers, and servers that fail or restart: an old order takes effect, a used
// version falls below its minimum, or the weight store's rate is exceeded.
func TestFuzzHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHolderWorld(3, 5, used("a", 1), used("b", 2))
		w.fault, w.volatile = t.Fatalf, "c"
		revision := 1
		entry := func(t *rapid.T) *worldEntry { return w.entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		server := func(t *rapid.T) *worldServer { return w.servers[rapid.IntRange(0, 4).Draw(t, "server")] }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { w.tick(entry(t), rapid.IntRange(0, 3).Draw(t, "rank")) },
			"call": func(t *rapid.T) {
				e := entry(t)
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					w.call(e, rapid.IntRange(0, 19).Draw(t, "lost") == 0)
				}
			},
			"order": func(t *rapid.T) {
				if e := entry(t); len(e.orders) > 0 {
					w.deliver(e, rapid.IntRange(0, len(e.orders)-1).Draw(t, "order"))
				}
			},
			"run":  func(t *rapid.T) { w.run(20*time.Second, rapid.IntRange(0, 2).Draw(t, "entry")) },
			"wait": func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second) },
			"busy": func(t *rapid.T) {
				w.busy(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "version"), rapid.Float64Range(0, 6).Draw(t, "busy"))
			},
			"failing": func(t *rapid.T) { s := server(t); s.failing = !s.failing },
			"restart": func(t *rapid.T) { server(t).Incarnation++ },
			"drain":   func(t *rapid.T) { s := server(t); s.Orderable = !s.Orderable },
			"version": func(*rapid.T) {
				revision++
				if len(w.pool.Versions) == 2 {
					w.pool.Versions = append(w.pool.Versions, used("c", 1))
				} else {
					w.pool.Versions = w.pool.Versions[:2:2]
				}
				w.declare(revision)
			},
		})
	})
}
