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

// Guards every guarantee against two faults at once, chosen by a fixed seed.
func TestSeededFaults(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed, func(round int) bool { return round < 4 })
		})
	}
}

// TestSoak injects random faults, singly, twice and two at once, from the seed in
// BORAGEFLOW_SOAK_SEED for BORAGEFLOW_SOAK_MINUTES. It is not part of CI.
func TestSoak(t *testing.T) {
	minutes, _ := strconv.ParseFloat(os.Getenv("BORAGEFLOW_SOAK_MINUTES"), 64)
	if minutes <= 0 {
		t.Skip("BORAGEFLOW_SOAK_MINUTES is not set")
	}
	seed, err := strconv.ParseUint(os.Getenv("BORAGEFLOW_SOAK_SEED"), 10, 64)
	assert.NilError(t, err, "BORAGEFLOW_SOAK_SEED must be a number")
	until := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	runSoak(t, seed, func(int) bool { return time.Now().Before(until) })
}

// soak injects faults into one cluster.
type soak struct {
	*cluster
	rng   *rand.Rand
	rules []func(from, to string) link
}

// injection is one fault; heal ends it.
type injection struct {
	name  string
	kill  bool
	start func()
	heal  func()
}

func runSoak(t *testing.T, seed uint64, more func(round int) bool) {
	t.Helper()
	n := newNetwork()
	s := &soak{cluster: startOn(t, faultSpec(), n), rng: rand.New(rand.NewPCG(seed, seed))}
	l := s.startLoad(2)
	l.watchReverts()
	l.answered(100)
	for round := 0; more(round); round++ {
		s.round(l)
	}
	l.verdict()
}

// round injects one fault, the same one twice, or two different ones.
func (s *soak) round(l *load) {
	s.t.Helper()
	first := s.pick(false)
	second := first
	if s.rng.IntN(3) > 0 {
		second = s.pick(first.kill)
	}
	hold := time.Duration(500+s.rng.IntN(5500)) * time.Millisecond
	since := time.Now()
	first.start()
	if second.name != first.name {
		second.start()
	}
	time.Sleep(hold)
	first.heal()
	if second.name != first.name {
		second.heal()
	} else {
		first.start()
		first.heal()
	}
	s.rules = nil
	s.net.set(nil)
	for _, p := range s.processes {
		s.waitReady(p)
	}
	l.recovered(fmt.Sprintf("%s and %s for %v", first.name, second.name, hold.Round(100*time.Millisecond)), since)
	revision := api.Revision{Generation: int(s.Store.Generation()), Version: s.storedVersion()}
	s.waitInForce(revision, time.Now(), inForceWithin, s.all()...)
	l.quiet(l.settle)
}

// pick chooses a fault. Two kills at once may lose the usage records that only
// these two processes hold: a third one holds them when both are in one failure
// domain.
func (s *soak) pick(killed bool) injection {
	choices := []func() injection{
		s.kill, s.freeze, s.freeze, s.cut, s.oneWay, s.delay, s.isolateEntry, s.race, s.engines, s.services,
		s.store("store outage", memstore.Faults{Unavailable: true}),
		s.store("slow store", memstore.Faults{DelayMs: 300}),
		s.store("lost store answers", memstore.Faults{LoseAnswers: 20}),
		s.store("dropped store writes", memstore.Faults{DropWrites: 20}),
	}
	for {
		if i := choices[s.rng.IntN(len(choices))](); !killed || !i.kill {
			return i
		}
	}
}

func (s *soak) any(prefix string) string {
	names := s.named(prefix)
	return names[s.rng.IntN(len(names))]
}

func (s *soak) kill() injection {
	name := s.any("")
	return injection{
		name: "kill of " + name, kill: true,
		start: func() { s.processes[name].kill() },
		heal:  func() { s.processes[name].start(s.t) },
	}
}

func (s *soak) freeze() injection {
	name := s.any("")
	return injection{"freeze of " + name, false, s.processes[name].freeze, s.processes[name].thaw}
}

func (s *soak) network(name string, rule func(from, to string) link) injection {
	start := func() {
		s.rules = append(s.rules, rule)
		rules := append([]func(from, to string) link{}, s.rules...)
		s.net.set(func(from, to string) link {
			var joined link
			for _, rule := range rules {
				one := rule(from, to)
				joined = link{joined.cut || one.cut, max(joined.delay, one.delay)}
			}
			return joined
		})
	}
	return injection{name, false, start, func() {}}
}

func (s *soak) cut() injection {
	a, b := s.any("entry"), s.any("sidecar")
	return s.network("cut between "+a+" and "+b, func(from, to string) link { return link{cut: pair(from, to, a, b)} })
}

func (s *soak) oneWay() injection {
	a, b := s.any("entry"), s.any("sidecar")
	if s.rng.IntN(2) == 0 {
		a, b = b, a
	}
	return s.network("cut from "+a+" to "+b, func(from, to string) link { return link{cut: from == a && to == b} })
}

func (s *soak) delay() injection {
	return s.network("delay", func(string, string) link { return link{delay: 30 * time.Millisecond} })
}

func (s *soak) isolateEntry() injection {
	name := s.any("entry")
	return s.network("isolation of "+name, func(from, to string) link { return link{cut: from == name || to == name} })
}

func (s *soak) store(name string, f memstore.Faults) func() injection {
	return func() injection {
		return injection{name, false, func() { s.storeFaults(f) }, func() { s.storeFaults(memstore.Faults{}) }}
	}
}

func (s *soak) engines() injection {
	kinds := []base.FaultKind{base.FaultRepeat, base.FaultCross, base.FaultTruncate, base.FaultCut, base.FaultError, base.FaultRefuse}
	kind := kinds[s.rng.IntN(len(kinds))]
	return injection{"engines that " + string(kind), false, func() {
		for _, e := range s.Engines {
			e.Faults().Set(base.Fault{Kind: kind, Share: 0.2, AfterTokens: 4})
		}
	}, s.healBackends}
}

func (s *soak) services() injection {
	kinds := []base.FaultKind{base.FaultTruncate, base.FaultCut, base.FaultError, base.FaultRefuse}
	kind := kinds[s.rng.IntN(len(kinds))]
	return injection{"services that " + string(kind), false, func() {
		for _, v := range s.Services {
			v.Faults().Set(base.Fault{Kind: kind, Share: 0.2})
		}
	}, s.healBackends}
}

// race lets an operator at each entry commit on the same revision.
func (s *soak) race() injection {
	return injection{"racing operators", false, func() {
		base := api.Revision{Generation: int(s.Store.Generation()), Version: s.storedVersion()}
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
		assert.Check(s.t, won <= 1, "%d operators committed on the same revision", won)
	}, func() {}}
}
