package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/routing"
)

var (
	fuzzVersions = []string{"v1", "v2"}
	fuzzDomains  = []string{"a", "b", "c"}
)

// oracleServer is the expected state of one server.
type oracleServer struct {
	routing.Server
	weight  float64
	leaving bool
}

type sentAttempt struct {
	server  string
	attempt routing.Attempt
}

// fleetMachine is a rapid state machine. It applies the same events to a fleet and
// to an oracle of the servers that may be picked.
type fleetMachine struct {
	fleet   *routing.Fleet
	rng     *rand.Rand
	now     time.Time
	servers map[string]*oracleServer
	sent    []sentAttempt
}

func newFleetMachine(t *rapid.T) *fleetMachine {
	opts := routing.Options{
		Algorithm:     routing.Algorithm(rapid.IntRange(0, 3).Draw(t, "algorithm")),
		SubsetSize:    rapid.IntRange(1, 8).Draw(t, "subset"),
		PrefixEntries: 4,
	}
	return &fleetMachine{
		fleet:   routing.NewFleet(routing.Location{Instance: "e", FailureDomain: "a", Region: "r"}, opts),
		rng:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:     time.Unix(1000, 0),
		servers: map[string]*oracleServer{},
	}
}

func (m *fleetMachine) drawName(t *rapid.T) string {
	return fmt.Sprint("s", rapid.IntRange(0, 11).Draw(t, "server"))
}

// SetServers replaces the set of servers.
func (m *fleetMachine) SetServers(t *rapid.T) {
	next := map[string]*oracleServer{}
	var list []routing.Server
	for range rapid.IntRange(0, 12).Draw(t, "servers") {
		s := routing.Server{
			Name: m.drawName(t), Incarnation: rapid.IntRange(1, 2).Draw(t, "incarnation"), Region: "r",
			FailureDomain: rapid.SampledFrom(fuzzDomains).Draw(t, "domain"),
			Versions:      fuzzVersions[rapid.IntRange(0, 1).Draw(t, "from"):],
			Slots:         rapid.IntRange(0, 4).Draw(t, "slots"),
		}
		if next[s.Name] != nil {
			continue
		}
		list = append(list, s)
		o := &oracleServer{Server: s, weight: 1}
		if old := m.servers[s.Name]; old != nil && old.Incarnation == s.Incarnation {
			o.weight, o.leaving = old.weight, old.leaving
		}
		next[s.Name] = o
	}
	m.servers = next
	m.fleet.SetServers(m.now, list)
}

// SetWeight ejects a server, reduces its weight or restores it.
func (m *fleetMachine) SetWeight(t *rapid.T) {
	name, w := m.drawName(t), rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "weight")
	m.fleet.SetWeight(name, w)
	if s := m.servers[name]; s != nil {
		s.weight = w
	}
}

// Report delivers a load report that may be up to 5 s old.
func (m *fleetMachine) Report(t *rapid.T) {
	name := m.drawName(t)
	load := api.LoadReport{
		Running: rapid.IntRange(0, 30).Draw(t, "running"), Queued: rapid.IntRange(0, 30).Draw(t, "queued"),
		Slots: rapid.IntRange(0, 8).Draw(t, "slots"), TokenMs: rapid.Float64Range(0, 100).Draw(t, "token"),
		AgeMs: rapid.IntRange(0, 5000).Draw(t, "age"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
	}
	m.fleet.RecordLoadReport(m.now, name, load)
	if s := m.servers[name]; s != nil && load.Leaving {
		s.leaving = true
	}
}

// CacheEvent reports a prefix as cached or evicted.
func (m *fleetMachine) CacheEvent(t *rapid.T) {
	m.fleet.RecordCacheEvent(m.now, m.drawName(t), rapid.Uint64Range(0, 6).Draw(t, "prefix"), rapid.Bool().Draw(t, "cached"))
}

// Pick checks the picked server against the oracle and starts an attempt on it.
func (m *fleetMachine) Pick(t *rapid.T) {
	q := routing.Query{
		Version: rapid.SampledFrom(fuzzVersions).Draw(t, "version"),
		Prefix:  rapid.Uint64Range(0, 6).Draw(t, "prefix"), PromptTokens: rapid.IntRange(0, 8000).Draw(t, "prompt"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "exclude") {
		q.Exclude = append(q.Exclude, m.drawName(t))
	}
	pick, ok := m.fleet.Pick(m.now, q, m.rng)
	assert.Equal(t, ok, m.anyEligible(q), "Pick and the oracle disagree on whether a server is eligible")
	if !ok {
		return
	}
	s := m.servers[pick.Server]
	assert.Assert(t, s != nil, "picked the removed server %q", pick.Server)
	assert.Assert(t, m.eligible(s, q), "picked %+v for %+v", s, q)
	assert.Equal(t, pick.Incarnation, s.Incarnation)
	assert.Assert(t, pick.FirstTokenTime >= 0 && pick.CacheProbability >= 0 && pick.CacheProbability <= 1, "%+v", pick)
	attempt := m.fleet.StartAttempt(m.now, pick.Server, routing.Attempt{Prefix: q.Prefix, PromptTokens: q.PromptTokens})
	m.sent = append(m.sent, sentAttempt{pick.Server, attempt})
}

func (m *fleetMachine) eligible(s *oracleServer, q routing.Query) bool {
	return slices.Contains(s.Versions, q.Version) && s.weight > 0 && !s.leaving && !slices.Contains(q.Exclude, s.Name)
}

func (m *fleetMachine) anyEligible(q routing.Query) bool {
	for _, s := range m.servers {
		if m.eligible(s, q) {
			return true
		}
	}
	return false
}

// End ends an attempt, possibly after its server restarted.
func (m *fleetMachine) End(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no attempt was sent")
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "work")
	sent := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	m.fleet.EndAttempt(m.now, sent.server, sent.attempt, routing.Outcome{
		OK: rapid.Bool().Draw(t, "ok"), InputTokens: sent.attempt.PromptTokens, CachedTokens: rapid.IntRange(0, 1).Draw(t, "cached"),
	})
}

// Wait advances the clock by up to 10 s.
func (m *fleetMachine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
}

// Probe checks that the servers due for a probe exist and are returned once.
func (m *fleetMachine) Probe(t *rapid.T) {
	limit := rapid.IntRange(0, 5).Draw(t, "limit")
	due := m.fleet.ProbeTargets(m.now, limit)
	assert.Assert(t, len(due) <= limit)
	for _, name := range due {
		assert.Assert(t, m.servers[name] != nil, "probe of the removed server %q", name)
	}
	for _, name := range m.fleet.ProbeTargets(m.now, 100) {
		assert.Assert(t, !slices.Contains(due, name), "server %q is due twice at one time", name)
	}
}

// Check compares the counts and the availability with the oracle after every step.
func (m *fleetMachine) Check(t *rapid.T) {
	running := map[string]int{}
	for _, sent := range m.sent {
		if s := m.servers[sent.server]; s != nil && s.Incarnation == sent.attempt.Incarnation {
			running[sent.server]++
		}
	}
	for name := range m.servers {
		assert.Assert(t, m.fleet.InFlight(name) <= running[name], "in flight at %q: %d, sent %d", name, m.fleet.InFlight(name), running[name])
	}
	for _, v := range fuzzVersions {
		open := m.anyEligible(routing.Query{Version: v})
		assert.Equal(t, m.fleet.ServesVersion(v), open)
		wait, ok := m.fleet.EstimateQueueTime(m.now, v)
		assert.Equal(t, ok, open)
		assert.Assert(t, wait >= 0)
	}
}

// Guards against picks of removed, ejected, leaving, excluded or unsuitable servers,
// against a failed pick although a server is eligible, and against in-flight counts
// above the attempts sent, under random sequences of events.
func TestFleetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newFleetMachine(t)))
	})
}
