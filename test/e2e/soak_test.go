package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// Guards against violations of the guarantees that checkGuarantees checks by
// combinations of two faults at the same time, which a fixed seed selects.
func TestSeededFaults(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runFaultRounds(t, seed, func(round int) bool { return round < 4 })
		})
	}
}

// TestSoak injects random faults, alone, repeated and in pairs, for
// BORAGEFLOW_SOAK_MINUTES minutes with the seed BORAGEFLOW_SOAK_SEED. It is
// skipped if BORAGEFLOW_SOAK_MINUTES is not set, as in CI.
func TestSoak(t *testing.T) {
	minutes, _ := strconv.ParseFloat(os.Getenv("BORAGEFLOW_SOAK_MINUTES"), 64)
	if minutes <= 0 {
		t.Skip("BORAGEFLOW_SOAK_MINUTES is not set")
	}
	seed, err := strconv.ParseUint(os.Getenv("BORAGEFLOW_SOAK_SEED"), 10, 64)
	assert.NilError(t, err, "BORAGEFLOW_SOAK_SEED must be a number")
	until := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	runFaultRounds(t, seed, func(int) bool { return time.Now().Before(until) })
}

// faultInjector injects random faults into one cluster. rules are the network
// faults of the current round.
type faultInjector struct {
	*cluster
	rng   *rand.Rand
	rules []func(from, to string) linkState
}

// injection is one fault; start begins it and clear ends it. isKill is true if it
// kills a process.
type injection struct {
	name   string
	isKill bool
	start  func()
	clear  func()
}

// runFaultRounds starts a cluster under load, runs rounds of faults while hasNext
// returns true, and checks the guarantees.
func runFaultRounds(t *testing.T, seed uint64, hasNext func(round int) bool) {
	t.Helper()
	n := newNetwork()
	s := &faultInjector{cluster: startClusterOn(t, faultSpec(), n), rng: rand.New(rand.NewPCG(seed, seed))}
	l := s.startLoad(2)
	l.watchReverts()
	l.waitAnswered(100)
	for round := 0; hasNext(round); round++ {
		s.runRound(l)
	}
	l.checkGuarantees()
}

// runRound injects one fault twice in a row, or two different faults at the same
// time, and waits for recovery.
func (s *faultInjector) runRound(l *load) {
	s.t.Helper()
	first := s.pickFault(false)
	second := first
	if s.rng.IntN(3) > 0 {
		second = s.pickFault(first.isKill)
	}
	duration := time.Duration(500+s.rng.IntN(5500)) * time.Millisecond
	since := time.Now()
	first.start()
	if second.name != first.name {
		second.start()
	}
	time.Sleep(duration)
	first.clear()
	if second.name != first.name {
		second.clear()
	} else {
		first.start()
		first.clear()
	}
	s.rules = nil
	s.network.setRule(nil)
	for _, p := range s.processes {
		s.waitReady(p)
	}
	l.waitRecovered(fmt.Sprintf("%s and %s for %v", first.name, second.name, duration.Round(100*time.Millisecond)), since)
	revision := api.Revision{Generation: int(s.Store.Generation()), Version: s.storedManifestVersion()}
	s.waitInForce(revision, time.Now(), applyBound, s.instances()...)
	l.whilePaused(l.waitSettled)
}

// pickFault returns a random fault, which is no kill if excludeKills is true. Two
// kills at the same time may lose the usage records that only these two processes
// hold: a third process holds them only if both are in the same failure domain.
func (s *faultInjector) pickFault(excludeKills bool) injection {
	choices := []func() injection{
		s.kill, s.freeze, s.freeze, s.cut, s.oneWay, s.delay, s.isolateEntry, s.racingCommits, s.engineFaults, s.serviceFaults,
		s.storeFaults("store outage", memstore.Faults{Unavailable: true}),
		s.storeFaults("slow store", memstore.Faults{DelayMs: 300}),
		s.storeFaults("lost store answers", memstore.Faults{LoseAnswers: 20}),
		s.storeFaults("dropped store writes", memstore.Faults{DropWrites: 20}),
	}
	for {
		if i := choices[s.rng.IntN(len(choices))](); !excludeKills || !i.isKill {
			return i
		}
	}
}

// randomInstance returns a random instance whose name starts with prefix.
func (s *faultInjector) randomInstance(prefix string) string {
	names := s.instancesWithPrefix(prefix)
	return names[s.rng.IntN(len(names))]
}

func (s *faultInjector) kill() injection {
	name := s.randomInstance("")
	return injection{
		name: "kill of " + name, isKill: true,
		start: func() { s.processes[name].kill() },
		clear: func() { s.processes[name].start(s.t) },
	}
}

func (s *faultInjector) freeze() injection {
	name := s.randomInstance("")
	return injection{"freeze of " + name, false, s.processes[name].freeze, s.processes[name].thaw}
}

// networkFault returns a fault that combines rule with the other rules of the
// round. runRound removes the rules of all faults together.
func (s *faultInjector) networkFault(name string, rule func(from, to string) linkState) injection {
	start := func() {
		s.rules = append(s.rules, rule)
		rules := append([]func(from, to string) linkState{}, s.rules...)
		s.network.setRule(func(from, to string) linkState {
			var combined linkState
			for _, rule := range rules {
				state := rule(from, to)
				combined = linkState{combined.cut || state.cut, max(combined.delay, state.delay)}
			}
			return combined
		})
	}
	return injection{name, false, start, func() {}}
}

func (s *faultInjector) cut() injection {
	a, b := s.randomInstance("entry"), s.randomInstance("sidecar")
	return s.networkFault("cut between "+a+" and "+b, func(from, to string) linkState { return linkState{cut: isBetween(from, to, a, b)} })
}

func (s *faultInjector) oneWay() injection {
	a, b := s.randomInstance("entry"), s.randomInstance("sidecar")
	if s.rng.IntN(2) == 0 {
		a, b = b, a
	}
	return s.networkFault("cut from "+a+" to "+b, func(from, to string) linkState { return linkState{cut: from == a && to == b} })
}

func (s *faultInjector) delay() injection {
	return s.networkFault("delay", func(string, string) linkState { return linkState{delay: 30 * time.Millisecond} })
}

func (s *faultInjector) isolateEntry() injection {
	name := s.randomInstance("entry")
	return s.networkFault("isolation of "+name, func(from, to string) linkState { return linkState{cut: from == name || to == name} })
}

func (s *faultInjector) storeFaults(name string, f memstore.Faults) func() injection {
	return func() injection {
		return injection{name, false, func() { s.setStoreFaults(f) }, func() { s.setStoreFaults(memstore.Faults{}) }}
	}
}

func (s *faultInjector) engineFaults() injection {
	kinds := []base.FaultKind{base.FaultRepeat, base.FaultCross, base.FaultTruncate, base.FaultCut, base.FaultError, base.FaultRefuse}
	kind := kinds[s.rng.IntN(len(kinds))]
	return injection{"engines that " + string(kind), false, func() {
		for _, e := range s.Engines {
			e.Faults().Set(base.Fault{Kind: kind, Share: 0.2, AfterTokens: 4})
		}
	}, s.clearBackendFaults}
}

func (s *faultInjector) serviceFaults() injection {
	kinds := []base.FaultKind{base.FaultTruncate, base.FaultCut, base.FaultError, base.FaultRefuse}
	kind := kinds[s.rng.IntN(len(kinds))]
	return injection{"services that " + string(kind), false, func() {
		for _, v := range s.Services {
			v.Faults().Set(base.Fault{Kind: kind, Share: 0.2})
		}
	}, s.clearBackendFaults}
}

// racingCommits returns a fault in which an operator at each entry commits on top
// of the same revision. At most one of the commits may succeed.
func (s *faultInjector) racingCommits() injection {
	return injection{"racing operators", false, func() {
		base := api.Revision{Generation: int(s.Store.Generation()), Version: s.storedManifestVersion()}
		results := make(chan int, 3)
		for i := 1; i <= 3; i++ {
			go func() {
				m := testManifest()
				m.Description = fmt.Sprintf("operator %d on %d", i, base.Version)
				status, _ := s.commit(i, base, m)
				results <- status
			}()
		}
		won := 0
		for range 3 {
			if <-results == http.StatusOK {
				won++
			}
		}
		assert.Check(s.t, won <= 1, "%d operators committed on the same revision, at most 1 may succeed", won)
	}, func() {}}
}
