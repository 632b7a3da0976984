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

func usedVersion(name string, minReplicas int) placement.Version {
	return placement.Version{Name: name, Min: minReplicas, Used: true}
}

func startSimulation(t *testing.T, entries, servers int, versions ...placement.Version) *simulation {
	sim := newSimulation(entries, servers, versions...)
	sim.fail = func(format string, args ...any) { t.Fatalf(format, args...) }
	return sim
}

// Guards against a plan that does not follow the manifest or the demand: a withdrawn
// version stays loaded, a declared version is not loaded, or a version with high demand
// gets no additional server.
func TestHolderFollowsManifestAndDemand(t *testing.T) {
	sim := startSimulation(t, 1, 6, usedVersion("a", 2), usedVersion("b", 2))
	sim.run(30*time.Second, 0)
	assert.Equal(t, sim.countLoaded("a"), 3)
	sim.reportDemand("a", 4)
	sim.run(2*time.Minute, 0)
	assert.Equal(t, sim.countLoaded("a"), 4)
	assert.Equal(t, sim.countLoaded("b"), 2)
	sim.pool.Versions = []placement.Version{usedVersion("a", 1), usedVersion("c", 2)}
	sim.declare(2)
	sim.run(2*time.Minute, 0)
	assert.Equal(t, sim.countLoaded("b"), 0)
	assert.Assert(t, sim.countLoaded("c") >= 2)
}

// Guards against servers that keep several versions loaded, and against an order that
// removes an extra version although the version would fall below its minimum.
func TestHolderRemovesExtraVersions(t *testing.T) {
	sim := startSimulation(t, 1, 4, usedVersion("a", 1), usedVersion("b", 2))
	for _, s := range sim.servers {
		s.Versions = []string{"a", "b", "withdrawn"}
	}
	sim.run(2*time.Minute, 0)
	for _, s := range sim.servers {
		assert.Equal(t, len(s.Versions), 1, s.Name)
	}
	assert.Assert(t, sim.countLoaded("a") >= 1 && sim.countLoaded("b") >= 2)
}

// Guards against a holder that acts on an outdated plan: it is paused before it records
// or sends an order and continues after another entry has taken the plan over.
func TestPausedHolderChangesNothing(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		sim := startSimulation(t, 2, 4, usedVersion("a", 1), usedVersion("b", 1))
		sim.run(20*time.Second, 0)
		old := sim.entries[0]
		sim.reportDemand("a", 8)
		sim.runUntilOrder(t, old)
		if recorded {
			sim.completeCall(old, false)
			assert.Equal(t, len(old.orders), 1)
		}
		sim.run(3*time.Minute, 1)
		assert.Assert(t, sim.entries[1].holder.HoldsPlan())
		before := make([][]string, 0, len(sim.servers))
		for _, s := range sim.servers {
			before = append(before, slices.Clone(s.Versions))
		}
		for len(old.calls) > 0 || len(old.orders) > 0 {
			sim.completeCall(old, false)
			if len(old.orders) > 0 {
				sim.deliverOrder(old, 0)
			}
		}
		assert.Assert(t, !old.holder.HoldsPlan())
		for i, s := range sim.servers {
			assert.DeepEqual(t, s.Versions, before[i])
		}
	}
}

// Guards against a late order of a paused holder that takes a second server from a
// version from which the next holder already took one. The next holder must write the
// records of all servers before its first order.
func TestPausedHolderTakesNoSecondServer(t *testing.T) {
	sim := startSimulation(t, 2, 5, usedVersion("a", 2), usedVersion("b", 1))
	sim.run(20*time.Second, 0)
	sim.reportDemand("b", 8)
	sim.runUntilOrder(t, sim.entries[0])
	first := sim.entries[0].calls[0].(placement.WriteObject)
	sim.server(strings.TrimPrefix(first.Key, placement.RecordPrefix)).Running = 9 // the next holder prefers another
	sim.run(3*time.Minute, 1)
	assert.Equal(t, sim.countLoaded("a"), 2)
	assert.Equal(t, sim.storedRecord(strings.TrimPrefix(first.Key, placement.RecordPrefix)).Version, "a")
	for len(sim.entries[0].calls) > 0 {
		sim.completeCall(sim.entries[0], false)
	}
	assert.Equal(t, len(sim.entries[0].orders), 0)
}

// Guards against a plan without a holder while the entry with rank 0 is frozen, and
// against a holder with a higher rank that keeps the plan although it receives no
// demand reports.
func TestSecondEntryTakesPlan(t *testing.T) {
	sim := startSimulation(t, 2, 4, usedVersion("a", 1), usedVersion("b", 1))
	sim.run(20*time.Second, 0)
	runSecondEntry := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Second) {
			sim.tickEntry(sim.entries[1], 1)
			for len(sim.entries[1].calls) > 0 {
				sim.completeCall(sim.entries[1], false)
			}
		}
	}
	runSecondEntry(2 * time.Minute)
	assert.Assert(t, sim.entries[1].holder.HoldsPlan())
	sim.run(10*time.Minute, 0, 1)
	assert.Assert(t, sim.entries[0].holder.HoldsPlan() && !sim.entries[1].holder.HoldsPlan())
}

// runUntilOrder runs an entry until its next store call records an order.
func (sim *simulation) runUntilOrder(t *testing.T, e *simEntry) {
	for range 60 {
		sim.now = sim.now.Add(time.Second)
		sim.tickEntry(e, 0)
		for len(e.calls) > 0 && !nextCallWritesRecord(e) {
			sim.completeCall(e, false)
		}
		if len(e.calls) > 0 {
			return
		}
	}
	t.Fatal("no order was recorded")
}

// nextCallWritesRecord reports whether the next store call of an entry updates the
// record of a server.
func nextCallWritesRecord(e *simEntry) bool {
	if len(e.calls) == 0 {
		return false
	}
	write, ok := e.calls[0].(placement.WriteObject)
	return ok && write.Key != placement.PlanKey && write.IfVersion > 0
}

// Guards against a version that stays without a server because the chosen engine
// cannot load it, and against orders to that engine that repeat without a delay.
func TestFailingEngineIsReplaced(t *testing.T) {
	sim := startSimulation(t, 1, 4, usedVersion("a", 1), usedVersion("b", 1))
	sim.run(20*time.Second, 0)
	sim.pool.Versions = append(sim.pool.Versions, usedVersion("c", 1))
	sim.servers[0].failing = true // the planner's first choice
	sim.declare(2)
	sim.run(5*time.Minute, 0)
	assert.Assert(t, sim.countLoaded("c") >= 1)
	assert.Assert(t, sim.countLoaded("a") >= 1 && sim.countLoaded("b") >= 1)
	assert.Assert(t, len(sim.loadTimes) < 20, "%d loads, fewer than 20 expected", len(sim.loadTimes))
}

// Guards against a used version that falls below its minimum after a server drained,
// and against a replaced server that does not get its recorded version back.
func TestDrainedAndReplacedServers(t *testing.T) {
	sim := startSimulation(t, 1, 4, usedVersion("a", 2), usedVersion("b", 1))
	sim.run(20*time.Second, 0)
	sim.servers[0].AcceptsOrders = false // the server holds a
	sim.run(time.Minute, 0)
	assert.Equal(t, sim.countLoaded("a"), 2)
	assert.Assert(t, sim.countLoaded("b") >= 1)
	s := sim.servers[0]
	s.AcceptsOrders, s.Incarnation, s.Versions = true, 2, []string{"b"}
	sim.run(time.Minute, 0)
	assert.DeepEqual(t, s.Versions, []string{"a"})
}

// Guards against an outdated order that takes effect, a used version that falls below
// its minimum, and an exceeded load rate of the weight store. These can occur when two
// entries both act as the holder, answers are late or lost, and servers fail or restart.
func TestFuzzHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, 5, usedVersion("a", 1), usedVersion("b", 2))
		sim.fail, sim.toggledVersion = t.Fatalf, "c"
		revision := 1
		entry := func(t *rapid.T) *simEntry { return sim.entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		server := func(t *rapid.T) *simServer { return sim.servers[rapid.IntRange(0, 4).Draw(t, "server")] }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { sim.tickEntry(entry(t), rapid.IntRange(0, 3).Draw(t, "rank")) },
			"call": func(t *rapid.T) {
				e := entry(t)
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					sim.completeCall(e, rapid.IntRange(0, 19).Draw(t, "lost") == 0)
				}
			},
			"order": func(t *rapid.T) {
				if e := entry(t); len(e.orders) > 0 {
					sim.deliverOrder(e, rapid.IntRange(0, len(e.orders)-1).Draw(t, "order"))
				}
			},
			"run": func(t *rapid.T) { sim.run(20*time.Second, rapid.IntRange(0, 2).Draw(t, "entry")) },
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
			},
			"busy": func(t *rapid.T) {
				sim.reportDemand(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "version"), rapid.Float64Range(0, 6).Draw(t, "busy"))
			},
			"failing": func(t *rapid.T) { s := server(t); s.failing = !s.failing },
			"restart": func(t *rapid.T) { server(t).Incarnation++ },
			"drain":   func(t *rapid.T) { s := server(t); s.AcceptsOrders = !s.AcceptsOrders },
			"version": func(*rapid.T) {
				revision++
				if len(sim.pool.Versions) == 2 {
					sim.pool.Versions = append(sim.pool.Versions, usedVersion("c", 1))
				} else {
					sim.pool.Versions = sim.pool.Versions[:2:2]
				}
				sim.declare(revision)
			},
		})
	})
}
