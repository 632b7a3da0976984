package e2e

import (
	"testing"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// Guards against violations of guarantees 4 and 7: a call runs or is billed
// twice, because an entry or sidecar is killed while callers repeat each
// idempotency key, concurrently and later, through other entries.
func TestOnceThroughKills(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.waitAnswered(200)
	for _, name := range []string{"entry-1", "sidecar-booking-1", "sidecar-engine-2", "entry-2"} {
		since := time.Now()
		c.restart(name)
		c.waitReady(c.processes[name])
		l.waitRecovered("kill and restart of "+name, since)
		l.waitAnswered(200)
		l.whilePaused(l.waitSettled)
	}
	l.checkGuarantees()
}

// Guards against violations of guarantees 4, 6 and 7: a call is not billed exactly
// once, is reported as not_run although it ran, or runs twice, because of a fault of
// the store. The faults are an outage, slow responses, a write limit, dropped writes,
// and writes that take effect but whose responses are lost.
func TestOnceThroughStoreFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.waitAnswered(200)
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
		c.setStoreFaults(f.fault)
		l.waitAnswered(400)
		if f.fault.Unavailable {
			l.waitRefused(since, "store_unavailable")
			l.checkRefusedPromptly(since, "store_unavailable")
		}
		c.setStoreFaults(memstore.Faults{})
		l.waitRecovered(f.name, time.Now())
	}
	l.checkGuarantees()
}

// Guards against violations of guarantee 7: a non-idempotent call runs twice because
// faults coincide. A service fails or cuts its response after running, while an entry
// is killed or a sidecar is frozen and the store loses responses.
func TestOnceThroughCombinedFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.waitAnswered(200)
	for _, s := range c.Services {
		s.Faults().Set(base.Fault{Kind: base.FaultError, Share: 0.1}, base.Fault{Kind: base.FaultCut, Share: 0.1},
			base.Fault{Kind: base.FaultDelay, Share: 0.1, DelayMs: 400})
	}
	since := time.Now()
	c.setStoreFaults(memstore.Faults{LoseAnswers: 30, DelayMs: 20})
	c.restart("entry-1")
	l.waitAnswered(200)
	c.waitReady(c.processes["entry-1"])
	c.clearBackendFaults()
	l.waitRecovered("entry killed, store loses answers, service fails after running", since)
	l.whilePaused(l.waitSettled)

	since = time.Now()
	c.processes["sidecar-booking-1"].freeze()
	c.setStoreFaults(memstore.Faults{LoseAnswers: 30})
	l.waitAnswered(100)
	c.restart("entry-2")
	time.Sleep(freezeTime - time.Since(since))
	c.processes["sidecar-booking-1"].thaw()
	c.waitReady(c.processes["entry-2"])
	l.waitRecovered("sidecar frozen, entry killed, store loses answers", since)
	l.checkGuarantees()
}

// Guards against violations of guarantees 4 to 7: a call is not billed exactly once,
// gets a wrong answer, is reported as not_run although it ran, or runs twice, because
// an entry or sidecar was frozen and resumes after all of its leases and timeouts have
// expired.
func TestFreezeAndThaw(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(3)
	l.waitAnswered(200)
	for _, name := range []string{"sidecar-engine-3", "sidecar-booking-2", "entry-3"} {
		since := time.Now()
		c.processes[name].freeze()
		time.Sleep(freezeTime)
		c.processes[name].thaw()
		l.waitRecovered("freeze of "+name+" for 6 s", since)
	}
	l.checkGuarantees()
}
