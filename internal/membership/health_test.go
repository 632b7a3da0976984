package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pool sends requests to servers by their shares and reports the outcomes.
type pool struct {
	h        *Health
	rng      *rand.Rand
	now      time.Time
	names    []string
	fail     map[string]float64 // probability of failure
	slow     map[string]float64 // factor on latency
	sent     map[string]int
	ejection map[string]int
}

func newPool(size int, versions ...string) *pool {
	p := &pool{
		h: NewHealth(HealthConfig{}), rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0),
		fail: map[string]float64{}, slow: map[string]float64{}, sent: map[string]int{},
		ejection: map[string]int{},
	}
	for i := range size {
		name := fmt.Sprintf("s%02d", i)
		p.names = append(p.names, name)
		p.handle(ServerChanged{Server: name, Incarnation: 1, Versions: versions})
	}
	return p
}

func (p *pool) handle(e HealthEvent) {
	for _, effect := range p.h.Handle(p.now, e) {
		c := effect.(ShareChanged)
		if c.Share == 0 && c.Reason != ReasonSignals {
			p.ejection[c.Server]++
		}
	}
}

func (p *pool) pick() string {
	total := 0.0
	for _, n := range p.names {
		total += p.h.Share(n)
	}
	at := p.rng.Float64() * total
	for _, n := range p.names {
		at -= p.h.Share(n)
		if at < 0 {
			return n
		}
	}
	return ""
}

// run sends 100 requests a second.
func (p *pool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		for range 100 {
			p.now = p.now.Add(10 * time.Millisecond)
			name := p.pick()
			p.sent[name]++
			latency := time.Duration((0.5 + p.rng.ExpFloat64()) * float64(200*time.Millisecond) * max(p.slow[name], 1))
			failure := Succeeded
			if p.rng.Float64() < max(p.fail[name], 0.01) {
				failure = Failed
			}
			p.handle(AttemptEnded{Server: name, Version: "v", Failure: failure, Latency: latency})
		}
		p.handle(HealthTick{})
	}
}

// Guards against a failing or slow server keeping its traffic, and measures what
// ejection saves against sending everyone an equal share.
func TestBadServerLosesTraffic(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"errors", "slow"} {
		p := newPool(10, "v")
		p.run(time.Minute)
		assert.Equal(t, len(p.ejection), 0)
		clear(p.sent)
		if kind == "errors" {
			p.fail["s03"] = 0.5
		} else {
			p.slow["s03"] = 5
		}
		p.run(2 * time.Minute)
		equal := 2 * 60 * 100 / len(p.names)
		t.Logf("%s: %d requests to the bad server in 2 min, %d with equal shares", kind, p.sent["s03"], equal)
		assert.Assert(t, p.sent["s03"] < equal/2)
		p.fail["s03"], p.slow["s03"] = 0, 0
		p.run(10 * time.Minute)
		assert.Equal(t, p.h.Share("s03"), 1.0)
		assert.Equal(t, len(p.ejection), 1, "%v", p.ejection)
	}
}

// Guards against healthy servers being ejected in a long run.
func TestNoFalseEjections(t *testing.T) {
	t.Parallel()
	p := newPool(10, "v")
	p.run(4 * time.Hour)
	assert.Equal(t, len(p.ejection), 0, "%v", p.ejection)
}

// Guards against a version that fails everywhere emptying its servers, and
// against more than the allowed share being out at once.
func TestCapOfEjections(t *testing.T) {
	t.Parallel()
	p := newPool(10, "v")
	for _, n := range p.names {
		p.fail[n] = 0.6
	}
	p.run(time.Minute)
	assert.Equal(t, len(p.ejection), 0, "%v", p.ejection)
	for i, n := range p.names {
		p.fail[n] = 0
		if i < 6 {
			p.slow[n], p.fail[n] = 1, 0.9
		}
	}
	p.run(30 * time.Second)
	out := 0
	for _, n := range p.names {
		if p.h.Share(n) == 0 {
			out++
		}
	}
	assert.Equal(t, out, 3)
}

// Guards against a server that fails in turns being taken in and out at the pace
// of its failures, which is what the same rules do without growing waits.
func TestFlappingIsDamped(t *testing.T) {
	t.Parallel()
	ejections := map[bool]int{}
	for _, damped := range []bool{false, true} {
		p := newPool(10, "v")
		if !damped {
			p.h.cfg.MaxEjectFor = p.h.cfg.EjectFor
		}
		for range 30 {
			p.fail["s03"] = 1
			p.run(10 * time.Second)
			p.fail["s03"] = 0
			p.run(50 * time.Second)
		}
		ejections[damped] = p.ejection["s03"]
	}
	t.Logf("30 failing spells in 30 min: %d ejections, %d without growing waits", ejections[true], ejections[false])
	assert.Assert(t, ejections[true] <= ejections[false]/2)
}

// Guards against a refused connection costing more than one attempt, and against
// the two signals being taken for one: a booting server returns as soon as it is
// ready, without an ejection.
func TestUnreachableAndSignals(t *testing.T) {
	t.Parallel()
	p := newPool(3, "v")
	p.handle(AttemptEnded{Server: "s00", Version: "v", Failure: Unreachable})
	assert.Equal(t, p.h.Share("s00"), 0.0)
	assert.Assert(t, p.h.Ejected("s00"))
	p.handle(SignalsSeen{Server: "s01", Signals: Signals{Alive: true}})
	assert.Equal(t, p.h.Share("s01"), 0.0)
	assert.Assert(t, !p.h.Ejected("s01"))
	p.handle(AttemptEnded{Server: "s02", Version: "v", Failure: Unreachable})
	assert.Equal(t, p.h.Share("s02"), 1.0, "the last server was ejected")
	p.handle(SignalsSeen{Server: "s02", Signals: Signals{Ready: true}})
	assert.Equal(t, p.h.Share("s02"), 0.0, "a hung server kept its traffic")
	assert.Equal(t, p.h.Share("s00"), 1.0, "the ejected server did not come back as the last one")
	p.handle(SignalsSeen{Server: "s01", Signals: Signals{Ready: true, Alive: true}})
	assert.Equal(t, p.h.Share("s01"), 1.0)
}

// Guards against a restarted server waiting out the ejection of its predecessor,
// and against one that crashes again and again getting traffic at each start.
func TestRestartEndsEjection(t *testing.T) {
	t.Parallel()
	p := newPool(3, "v")
	for i := range 6 {
		p.handle(AttemptEnded{Server: "s00", Version: "v", Failure: Unreachable})
		assert.Equal(t, p.h.Share("s00"), 0.0)
		p.handle(ServerChanged{Server: "s00", Incarnation: 2 + i, Versions: []string{"v"}})
		assert.Equal(t, p.h.Share("s00") > 0, i < maxRestartStrikes, "restart %d", i)
	}
}

// Fuzzes Health: whatever happens, a version with a server that is ready and
// alive has one with traffic, and no server gets traffic against its signals.
func TestHealthFuzz(t *testing.T) {
	t.Parallel()
	versions := []string{"v", "w"}
	rapid.Check(t, func(t *rapid.T) {
		h := NewHealth(HealthConfig{})
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
				h.Handle(now, SignalsSeen{Server: name, Signals: s})
			},
			"attempts": func(t *rapid.T) {
				e := AttemptEnded{
					Server: server.Draw(t, "server"), Version: rapid.SampledFrom(versions).Draw(t, "version"),
					Failure: Failure(rapid.IntRange(0, 2).Draw(t, "failure")),
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
					able, served := false, false
					for name, list := range serves {
						up := signals[name].Ready && signals[name].Alive
						if !up && h.Share(name) > 0 {
							t.Fatalf("%s has traffic against its signals", name)
						}
						for _, other := range list {
							able = able || other == v && up
							served = served || other == v && h.Share(name) > 0
						}
					}
					if able && !served {
						t.Fatalf("version %s has no server in traffic", v)
					}
				}
			},
		})
	})
}
