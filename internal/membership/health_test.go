package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// serverPool sends simulated requests to servers in proportion to their shares and
// reports the outcomes to a HealthTracker.
type serverPool struct {
	health         *HealthTracker
	rng            *rand.Rand
	now            time.Time
	names          []string
	failureRates   map[string]float64 // probability of failure by server
	latencyFactors map[string]float64 // multiplier of the latency by server
	sent           map[string]int
	ejections      map[string]int
}

func newServerPool(size int, versions ...string) *serverPool {
	p := &serverPool{
		health: NewHealthTracker(HealthConfig{}), rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0),
		failureRates: map[string]float64{}, latencyFactors: map[string]float64{}, sent: map[string]int{},
		ejections: map[string]int{},
	}
	for i := range size {
		name := fmt.Sprintf("s%02d", i)
		p.names = append(p.names, name)
		p.handle(ServerChanged{Server: name, Incarnation: 1, Versions: versions})
	}
	return p
}

func (p *serverPool) handle(e HealthEvent) {
	for _, effect := range p.health.Handle(p.now, e) {
		c := effect.(ShareChanged)
		if c.Share == 0 && c.Reason != ReasonSignals {
			p.ejections[c.Server]++
		}
	}
}

// pick returns a random server, weighted by share; empty if no server has traffic.
func (p *serverPool) pick() string {
	total := 0.0
	for _, n := range p.names {
		total += p.health.Share(n)
	}
	remaining := p.rng.Float64() * total
	for _, n := range p.names {
		remaining -= p.health.Share(n)
		if remaining < 0 {
			return n
		}
	}
	return ""
}

// run sends 100 requests a second for d of simulated time.
func (p *serverPool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		for range 100 {
			p.now = p.now.Add(10 * time.Millisecond)
			name := p.pick()
			p.sent[name]++
			latency := time.Duration((0.5 + p.rng.ExpFloat64()) * float64(200*time.Millisecond) * max(p.latencyFactors[name], 1))
			outcome := Succeeded
			if p.rng.Float64() < max(p.failureRates[name], 0.01) {
				outcome = Failed
			}
			p.handle(AttemptEnded{Server: name, Version: "v", Outcome: outcome, Latency: latency})
		}
		p.handle(HealthTick{})
	}
}

// Guards against a failing or slow server keeping its traffic. Logs the number of
// its requests next to that with equal shares.
func TestBadServerLosesTraffic(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"errors", "slow"} {
		p := newServerPool(10, "v")
		p.run(time.Minute)
		assert.Equal(t, len(p.ejections), 0)
		clear(p.sent)
		if fault == "errors" {
			p.failureRates["s03"] = 0.5
		} else {
			p.latencyFactors["s03"] = 5
		}
		p.run(2 * time.Minute)
		equalShare := 2 * 60 * 100 / len(p.names)
		t.Logf("%s: %d requests to the faulty server in 2 min, %d with equal shares", fault, p.sent["s03"], equalShare)
		assert.Assert(t, p.sent["s03"] < equalShare/2)
		p.failureRates["s03"], p.latencyFactors["s03"] = 0, 0
		p.run(10 * time.Minute)
		assert.Equal(t, p.health.Share("s03"), 1.0)
		assert.Equal(t, len(p.ejections), 1, "%v", p.ejections)
	}
}

// Guards against a healthy server being ejected within four hours of traffic.
func TestNoFalseEjections(t *testing.T) {
	t.Parallel()
	p := newServerPool(10, "v")
	p.run(4 * time.Hour)
	assert.Equal(t, len(p.ejections), 0, "%v", p.ejections)
}

// Guards against a version that fails on all servers having them ejected, and
// against more servers being ejected at once than the limit allows.
func TestMaxEjectedShare(t *testing.T) {
	t.Parallel()
	p := newServerPool(10, "v")
	for _, n := range p.names {
		p.failureRates[n] = 0.6
	}
	p.run(time.Minute)
	assert.Equal(t, len(p.ejections), 0, "%v", p.ejections)
	for i, n := range p.names {
		p.failureRates[n] = 0
		if i < 6 {
			p.latencyFactors[n], p.failureRates[n] = 1, 0.9
		}
	}
	p.run(30 * time.Second)
	ejected := 0
	for _, n := range p.names {
		if p.health.Share(n) == 0 {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

// Guards against a server that fails intermittently being ejected and returned as
// often as it fails. Ejections of constant length, the undamped case, do that.
func TestFlappingIsDamped(t *testing.T) {
	t.Parallel()
	ejections := map[bool]int{}
	for _, damped := range []bool{false, true} {
		p := newServerPool(10, "v")
		if !damped {
			p.health.cfg.MaxEjectionTime = p.health.cfg.BaseEjectionTime
		}
		for range 30 {
			p.failureRates["s03"] = 1
			p.run(10 * time.Second)
			p.failureRates["s03"] = 0
			p.run(50 * time.Second)
		}
		ejections[damped] = p.ejections["s03"]
	}
	t.Logf("30 periods of failure in 30 min: %d ejections, %d with ejections of constant length", ejections[true], ejections[false])
	assert.Assert(t, ejections[true] <= ejections[false]/2)
}

// Guards against a refused connection costing more than one attempt. Also guards
// against readiness and liveness being treated as one signal: a booting server gets
// traffic as soon as it is ready and is not ejected.
func TestUnreachableAndSignals(t *testing.T) {
	t.Parallel()
	p := newServerPool(3, "v")
	p.handle(AttemptEnded{Server: "s00", Version: "v", Outcome: Unreachable})
	assert.Equal(t, p.health.Share("s00"), 0.0)
	assert.Assert(t, p.health.Ejected("s00"))
	p.handle(SignalsReceived{Server: "s01", Signals: Signals{Alive: true}})
	assert.Equal(t, p.health.Share("s01"), 0.0)
	assert.Assert(t, !p.health.Ejected("s01"))
	p.handle(AttemptEnded{Server: "s02", Version: "v", Outcome: Unreachable})
	assert.Equal(t, p.health.Share("s02"), 1.0, "the last server was ejected")
	p.handle(SignalsReceived{Server: "s02", Signals: Signals{Ready: true}})
	assert.Equal(t, p.health.Share("s02"), 0.0, "a hung server kept its traffic")
	assert.Equal(t, p.health.Share("s00"), 1.0, "the ejected server did not return although no other server has traffic")
	p.handle(SignalsReceived{Server: "s01", Signals: Signals{Ready: true, Alive: true}})
	assert.Equal(t, p.health.Share("s01"), 1.0)
}

// Guards against a restarted server waiting for the end of an earlier ejection, and
// against a process that crashes repeatedly getting traffic after each start.
func TestRestartEndsEjection(t *testing.T) {
	t.Parallel()
	p := newServerPool(3, "v")
	for i := range 6 {
		p.handle(AttemptEnded{Server: "s00", Version: "v", Outcome: Unreachable})
		assert.Equal(t, p.health.Share("s00"), 0.0)
		p.handle(ServerChanged{Server: "s00", Incarnation: 2 + i, Versions: []string{"v"}})
		assert.Equal(t, p.health.Share("s00") > 0, i < maxRestartStrikes, "restart %d", i)
	}
}

// Guards, under random events, against a version without traffic although one of
// its servers is ready and alive, and against traffic to a server that is not.
func TestHealthFuzz(t *testing.T) {
	t.Parallel()
	versions := []string{"v", "w"}
	rapid.Check(t, func(t *rapid.T) {
		h := NewHealthTracker(HealthConfig{})
		now := time.Unix(1000, 0)
		incarnation := 1
		signals := map[string]Signals{}
		serves := map[string][]string{}
		server := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := server.Draw(t, "server")
				serves[name] = rapid.SampledFrom([][]string{{"v"}, {"w"}, {"v", "w"}}).Draw(t, "versions")
				if _, ok := signals[name]; !ok {
					signals[name] = Signals{Ready: true, Alive: true}
				}
				incarnation += rapid.IntRange(0, 1).Draw(t, "restart")
				h.Handle(now, ServerChanged{Server: name, Incarnation: incarnation, Versions: serves[name]})
			},
			"remove": func(t *rapid.T) {
				name := server.Draw(t, "server")
				delete(serves, name)
				delete(signals, name)
				h.Handle(now, ServerRemoved{Server: name})
			},
			"signals": func(t *rapid.T) {
				name := server.Draw(t, "server")
				s := Signals{Ready: rapid.Bool().Draw(t, "ready"), Alive: rapid.Bool().Draw(t, "alive")}
				if _, ok := signals[name]; ok {
					signals[name] = s
				}
				h.Handle(now, SignalsReceived{Server: name, Signals: s})
			},
			"attempts": func(t *rapid.T) {
				e := AttemptEnded{
					Server: server.Draw(t, "server"), Version: rapid.SampledFrom(versions).Draw(t, "version"),
					Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "failure")),
					Latency: time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond,
				}
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					h.Handle(now, e)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
				h.Handle(now, HealthTick{})
			},
			"": func(t *rapid.T) {
				for _, v := range versions {
					hasUsable, hasTraffic := false, false
					for name, list := range serves {
						up := signals[name].Ready && signals[name].Alive
						if !up && h.Share(name) > 0 {
							t.Fatalf("server %s has traffic but is not ready and alive", name)
						}
						for _, other := range list {
							hasUsable = hasUsable || other == v && up
							hasTraffic = hasTraffic || other == v && h.Share(name) > 0
						}
					}
					if hasUsable && !hasTraffic {
						t.Fatalf("version %s has a ready and alive server but none with traffic", v)
					}
				}
			},
		})
	})
}
