package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards guarantees 1 to 3 against stale entries: after a version is withdrawn an
// entry that is cut off from its peers and the store, and one that was frozen
// while the manifest changed, start nothing new on it after 3 s, and sessions on
// it are refused and not moved.
func TestWithdrawnVersionStopsAtStaleEntries(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startOn(t, faultSpec(), n)
	l := c.startLoad(2)
	for entry := 1; entry <= 3; entry++ {
		l.loop(func(id string) {
			call := chatCall("north", versionLarge, fmt.Sprintf("direct %d-%s", entry, id), true)
			call.entry = entry
			l.do(call)
		})
	}
	l.answered(200)
	since := time.Now()
	revision := c.mustCommit(1, withNext(api.PhaseClosing))
	c.waitInForce(revision, since, inForceWithin, c.all()...)
	l.answered(100)

	// The cut-off entry still reaches the sidecars.
	n.isolate("entry-3", func(to string) bool { return to == storeName || to == "entry-1" || to == "entry-2" })
	c.processes["entry-2"].freeze()
	since = time.Now()
	c.mustCommit(1, withNext(api.PhaseWithdrawn))
	time.Sleep(inForceWithin)
	withdrawn := c.runsOf(versionLarge)
	time.Sleep(freezeTime - time.Since(since))
	c.processes["entry-2"].thaw()
	l.answered(300)
	n.set(nil)
	l.answered(100)
	assert.Equal(t, c.runsOf(versionLarge), withdrawn, "runs of a withdrawn version after 3 s")
	l.recovered("version withdrawn while one entry was frozen and one was cut off", since.Add(freezeTime))
	refused, direct := 0, map[int]int{}
	for _, call := range l.done() {
		if call.pinned == versionLarge && call.kind == "version_withdrawn" {
			refused++
		}
		if call.model == versionLarge && call.kind == "version_withdrawn" {
			direct[call.entry]++
		}
	}
	for entry := 1; entry <= 3; entry++ {
		assert.Assert(t, direct[entry] > 0, "entry-%d refused no call for the withdrawn version", entry)
	}
	assert.Assert(t, refused > 0, "no session on the withdrawn version was refused")
	l.verdict()
}

// Guards guarantee 2 against a failure domain that is cut off as a whole: its
// stale entries and stale sidecars agree with each other.
func TestWithdrawnVersionStopsInCutOffDomain(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startOn(t, faultSpec(), n)
	since := time.Now()
	revision := c.mustCommit(1, withNext(api.PhaseServing))
	c.waitInForce(revision, since, inForceWithin, c.all()...)
	l := c.startLoad(2)
	l.answered(100)
	away := map[string]bool{}
	for _, s := range c.Settings {
		away[s.Instance] = s.FailureDomain == "fd-b"
	}
	n.set(func(from, to string) link { return link{cut: away[from] != away[to]} })
	c.mustCommit(1, withNext(api.PhaseWithdrawn))
	time.Sleep(inForceWithin)
	withdrawn := c.runsOf(versionLarge)
	l.answered(200)
	assert.Equal(t, c.runsOf(versionLarge), withdrawn, "runs of a withdrawn version after 3 s")
	n.set(nil)
	l.verdict()
}
