package e2e

import (
	"testing"
	"time"
)

// Guards guarantees 4 to 7 against the network between daemons: a cut, a cut in
// one direction only, and a delay.
func TestCutsAndDelays(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startOn(t, faultSpec(), n)
	l := c.startLoad(3)
	l.answered(200)
	faults := []struct {
		name string
		rule func(from, to string) link
	}{
		{"delay of 50 ms on every connection", func(string, string) link { return link{delay: 50 * time.Millisecond} }},
		{"cut between entry-1 and two sidecars", func(from, to string) link {
			return link{cut: pair(from, to, "entry-1", "sidecar-engine-1") || pair(from, to, "entry-1", "sidecar-booking-1")}
		}},
		{"answers of two sidecars to entry-2 are cut", func(from, to string) link {
			return link{cut: to == "entry-2" && (from == "sidecar-engine-2" || from == "sidecar-booking-2")}
		}},
		{"requests of entry-3 to two sidecars are cut", func(from, to string) link {
			return link{cut: from == "entry-3" && (to == "sidecar-engine-1" || to == "sidecar-booking-1")}
		}},
	}
	for _, f := range faults {
		since := time.Now()
		n.set(f.rule)
		time.Sleep(freezeTime)
		n.set(nil)
		l.recovered(f.name+" for 6 s", since)
	}
	l.verdict()
}

func pair(from, to, a, b string) bool { return from == a && to == b || from == b && to == a }

// Guards guarantees 5 to 7 against the loss of a failure domain: every process in
// it dies at once, and the survivors go on.
func TestLossOfFailureDomain(t *testing.T) {
	t.Parallel()
	loseDomain(t, 100).compare()
}

// Guards guarantee 4 against the loss of a failure domain: an answer that an entry
// and a sidecar of the same domain gave within the default batch window is billed.
func TestLossOfFailureDomainIsBilled(t *testing.T) {
	t.Parallel()
	loseDomain(t, 1000).verdict()
}

func loseDomain(t *testing.T, usageFlushMs int) *load {
	t.Helper()
	spec := faultSpec()
	spec.Timing.UsageFlushMs = usageFlushMs
	c := startCluster(t, spec)
	l := c.startLoad(3)
	l.answered(300)
	since := time.Now()
	c.killDomain("fd-b")
	l.recovered("loss of failure domain fd-b", since)
	for _, s := range c.Settings {
		if s.FailureDomain == "fd-b" {
			c.processes[s.Instance].start(t)
		}
	}
	back := time.Now()
	c.waitServers(len(c.Engines) + len(c.Services))
	l.recovered("return of failure domain fd-b", back)
	return l
}

func (c *cluster) killDomain(domain string) {
	for _, s := range c.Settings {
		if s.FailureDomain == domain {
			c.processes[s.Instance].signal(9)
		}
	}
	for _, s := range c.Settings {
		if s.FailureDomain == domain {
			<-c.processes[s.Instance].exited
		}
	}
}
