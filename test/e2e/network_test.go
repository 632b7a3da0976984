package e2e

import (
	"testing"
	"time"
)

// Guards against violations of guarantees 4 to 7: a call is not billed exactly once,
// gets a wrong answer, is reported as not_run although it ran, or runs twice, because
// connections between daemons are delayed, cut in both directions, or cut in one.
func TestCutsAndDelays(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startClusterOn(t, faultSpec(), n)
	l := c.startLoad(3)
	l.waitAnswered(200)
	faults := []struct {
		name string
		rule func(from, to string) linkState
	}{
		{"delay of 50 ms on every connection", func(string, string) linkState { return linkState{delay: 50 * time.Millisecond} }},
		{"cut between entry-1 and two sidecars", func(from, to string) linkState {
			return linkState{cut: isBetween(from, to, "entry-1", "sidecar-engine-1") || isBetween(from, to, "entry-1", "sidecar-booking-1")}
		}},
		{"answers of two sidecars to entry-2 are cut", func(from, to string) linkState {
			return linkState{cut: to == "entry-2" && (from == "sidecar-engine-2" || from == "sidecar-booking-2")}
		}},
		{"requests of entry-3 to two sidecars are cut", func(from, to string) linkState {
			return linkState{cut: from == "entry-3" && (to == "sidecar-engine-1" || to == "sidecar-booking-1")}
		}},
	}
	for _, f := range faults {
		since := time.Now()
		n.setRule(f.rule)
		time.Sleep(freezeTime)
		n.setRule(nil)
		l.waitRecovered(f.name+" for 6 s", since)
	}
	l.checkGuarantees()
}

// isBetween reports whether the connection from one party to another joins a and b.
func isBetween(from, to, a, b string) bool { return from == a && to == b || from == b && to == a }

// Guards against violations of guarantees 5 to 7: a call gets a wrong answer, is
// reported as not_run although it ran, or runs twice, because all processes of a
// failure domain are killed at the same time while the other domain keeps serving.
func TestLossOfFailureDomain(t *testing.T) {
	t.Parallel()
	loseAndRestoreDomain(t, 100).checkRunsAndAnswers()
}

// Guards against violations of guarantee 4: the loss of a failure domain loses
// the usage records of answers that an entry and a sidecar of that domain gave
// within the default batch window.
func TestLossOfFailureDomainIsBilled(t *testing.T) {
	t.Parallel()
	loseAndRestoreDomain(t, 1000).checkGuarantees()
}

// loseAndRestoreDomain kills failure domain fd-b under load, restarts it and waits
// for recovery. It returns the load, whose calls the test has to check.
func loseAndRestoreDomain(t *testing.T, usageFlushMs int) *load {
	t.Helper()
	spec := faultSpec()
	spec.Timing.UsageFlushMs = usageFlushMs
	c := startCluster(t, spec)
	l := c.startLoad(3)
	l.waitAnswered(300)
	since := time.Now()
	c.killDomain("fd-b")
	l.waitRecovered("loss of failure domain fd-b", since)
	for _, s := range c.Settings {
		if s.FailureDomain == "fd-b" {
			c.processes[s.Instance].start(t)
		}
	}
	restartedAt := time.Now()
	c.waitServers(len(c.Engines) + len(c.Services))
	l.waitRecovered("return of failure domain fd-b", restartedAt)
	return l
}

// killDomain kills all processes of a failure domain and waits for their end.
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
