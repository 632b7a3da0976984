package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against violations of guarantees 1 to 3: later than 3 s after a version was
// withdrawn, an entry with a stale manifest starts requests on it, or moves its sessions to
// another version instead of refusing them. One entry is cut off from its peers
// and the store, and another is frozen while the manifest changes.
func TestWithdrawnVersionStopsAtStaleEntries(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startClusterOn(t, faultSpec(), n)
	l := c.startLoad(2)
	for entry := 1; entry <= 3; entry++ {
		l.startCaller(func(id string) {
			call := chatCall("north", versionLarge, fmt.Sprintf("direct %d-%s", entry, id), true)
			call.entry = entry
			l.do(call)
		})
	}
	l.waitAnswered(200)
	since := time.Now()
	revision := c.mustCommit(1, manifestWithNext(api.PhaseClosing))
	c.waitInForce(revision, since, applyBound, c.instances()...)
	l.waitAnswered(100)

	// entry-3 is cut off from the store and the other entries but still reaches the
	// sidecars.
	n.isolate("entry-3", func(to string) bool { return to == storeName || to == "entry-1" || to == "entry-2" })
	c.processes["entry-2"].freeze()
	since = time.Now()
	c.mustCommit(1, manifestWithNext(api.PhaseWithdrawn))
	time.Sleep(applyBound)
	runsAtBound := c.countRuns(versionLarge)
	time.Sleep(freezeTime - time.Since(since))
	c.processes["entry-2"].thaw()
	l.waitAnswered(300)
	n.setRule(nil)
	l.waitAnswered(100)
	assert.Equal(t, c.countRuns(versionLarge), runsAtBound, "the withdrawn version got new runs later than 3 s after the commit")
	l.waitRecovered("withdrawal of a version while one entry is frozen and one is cut off", since.Add(freezeTime))
	refusedSessions, refusedByEntry := 0, map[int]int{}
	for _, call := range l.recordedCalls() {
		if call.pinnedVersion == versionLarge && call.kind == "version_withdrawn" {
			refusedSessions++
		}
		if call.model == versionLarge && call.kind == "version_withdrawn" {
			refusedByEntry[call.entry]++
		}
	}
	for entry := 1; entry <= 3; entry++ {
		assert.Assert(t, refusedByEntry[entry] > 0, "entry-%d refused no call for the withdrawn version", entry)
	}
	assert.Assert(t, refusedSessions > 0, "no session on the withdrawn version was refused")
	l.checkGuarantees()
}

// Guards against violations of guarantee 2: a withdrawn version keeps running in
// a failure domain that is cut off as a whole, because its entries and sidecars
// agree on the stale manifest.
func TestWithdrawnVersionStopsInCutOffDomain(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startClusterOn(t, faultSpec(), n)
	since := time.Now()
	revision := c.mustCommit(1, manifestWithNext(api.PhaseServing))
	c.waitInForce(revision, since, applyBound, c.instances()...)
	l := c.startLoad(2)
	l.waitAnswered(100)
	inCutOffDomain := map[string]bool{}
	for _, s := range c.Settings {
		inCutOffDomain[s.Instance] = s.FailureDomain == "fd-b"
	}
	n.setRule(func(from, to string) linkState { return linkState{cut: inCutOffDomain[from] != inCutOffDomain[to]} })
	c.mustCommit(1, manifestWithNext(api.PhaseWithdrawn))
	time.Sleep(applyBound)
	runsAtBound := c.countRuns(versionLarge)
	l.waitAnswered(200)
	assert.Equal(t, c.countRuns(versionLarge), runsAtBound, "the withdrawn version got new runs later than 3 s after the commit")
	n.setRule(nil)
	l.checkGuarantees()
}
