package e2e

import (
	"testing"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// Guards guarantees 4 and 7 against kills of entries and sidecars: callers repeat
// every key, concurrently and later, through other entries.
func TestOnceThroughKills(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.answered(200)
	for _, name := range []string{"entry-1", "sidecar-booking-1", "sidecar-engine-2", "entry-2"} {
		since := time.Now()
		c.restart(name)
		c.waitReady(c.processes[name])
		l.recovered("kill and restart of "+name, since)
		l.answered(200)
		l.quiet(l.settle)
	}
	l.verdict()
}

// Guards guarantees 4, 6 and 7 against the store: an outage, a slow store, and
// writes that take effect and whose answer is lost.
func TestOnceThroughStoreFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.answered(200)
	faults := []struct {
		name  string
		fault memstore.Faults
	}{
		{"store loses the answers of 40 writes", memstore.Faults{LoseAnswers: 40}},
		{"store drops 40 writes without an answer", memstore.Faults{DropWrites: 40}},
		{"store takes 300 ms", memstore.Faults{DelayMs: 300}},
		{"store limits writes to 20/s", memstore.Faults{WritesPerSecond: 20}},
		{"store outage", memstore.Faults{Unavailable: true}},
		{"store outage after lost answers", memstore.Faults{LoseAnswers: 20, DelayMs: 50}},
	}
	for _, f := range faults {
		since := time.Now()
		c.storeFaults(f.fault)
		l.answered(400)
		if f.fault.Unavailable {
			l.waitKind(since, "store_unavailable")
			l.refusedAtOnce(since, "store_unavailable")
		}
		c.storeFaults(memstore.Faults{})
		l.recovered(f.name, time.Now())
	}
	l.verdict()
}

// Guards guarantee 7 against two faults at once: a service that errors or cuts
// after running, while an entry or a sidecar dies or freezes and the store loses
// answers.
func TestOnceThroughCombinedFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.answered(200)
	for _, s := range c.Services {
		s.Faults().Set(base.Fault{Kind: base.FaultError, Share: 0.1}, base.Fault{Kind: base.FaultCut, Share: 0.1},
			base.Fault{Kind: base.FaultDelay, Share: 0.1, DelayMs: 400})
	}
	since := time.Now()
	c.storeFaults(memstore.Faults{LoseAnswers: 30, DelayMs: 20})
	c.restart("entry-1")
	l.answered(200)
	c.waitReady(c.processes["entry-1"])
	c.healBackends()
	l.recovered("entry killed, store loses answers, service fails after running", since)
	l.quiet(l.settle)

	since = time.Now()
	c.processes["sidecar-booking-1"].freeze()
	c.storeFaults(memstore.Faults{LoseAnswers: 30})
	l.answered(100)
	c.restart("entry-2")
	time.Sleep(freezeTime - time.Since(since))
	c.processes["sidecar-booking-1"].thaw()
	c.waitReady(c.processes["entry-2"])
	l.recovered("sidecar frozen, entry killed, store loses answers", since)
	l.verdict()
}

// Guards guarantees 4 to 7 against a frozen entry and frozen sidecars, thawed
// after every lease and timeout has passed.
func TestFreezeAndThaw(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.answered(200)
	for _, name := range []string{"sidecar-engine-3", "sidecar-booking-2", "entry-3"} {
		since := time.Now()
		c.processes[name].freeze()
		time.Sleep(freezeTime)
		c.processes[name].thaw()
		l.recovered("freeze of "+name+" for 6 s", since)
	}
	l.verdict()
}
