package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/internal/routing"
)

// FleetRun describes a simulation of several entries that route requests to a fleet of
// engines.
type FleetRun struct {
	Options routing.Options
	Seed    uint64
	Entries int
	Servers int
	// Domains lists the failure domains, over which entries and servers are spread.
	Domains []string
	// Engine is the model of each server. Its DurationFactor is multiplied by factors
	// that are spread evenly from 1/DurationSpread to DurationSpread over the servers.
	Engine         EngineModel
	DurationSpread float64
	// CacheEventDelay is the delay of cache events and CacheEventLoss the fraction of
	// them that is lost.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// ProbeInterval is the interval at which an entry probes servers with stale reports,
	// and ProbeLimit the maximum number of probes each time.
	ProbeInterval time.Duration
	ProbeLimit    int
	// DrainTime is the time after the last arrival until the simulation ends.
	DrainTime time.Duration
	// Warmup is the time at the start whose arrivals are not part of the result.
	Warmup time.Duration
}

// DefaultFleetRun returns the fleet of the policy benchmark: 4 entries and 32 servers in 4
// failure domains.
func DefaultFleetRun(algorithm routing.Algorithm, seed uint64) FleetRun {
	return FleetRun{
		Options: routing.Options{Algorithm: algorithm},
		Seed:    seed,
		Entries: 4, Servers: 32,
		Domains: []string{"a", "b", "c", "d"},
		Engine: EngineModel{
			Slots: 24, DurationFactor: 1, StepMs: 6, SequenceMs: 0.35, PrefillTokenMs: 0.1,
			PrefillChunk: 512, CachedPrefixes: 24, ReportInterval: 250 * time.Millisecond,
		},
		DurationSpread:  1.5,
		CacheEventDelay: time.Second, CacheEventLoss: 0.2,
		ProbeInterval: 500 * time.Millisecond, ProbeLimit: 4,
		DrainTime: time.Minute, Warmup: 10 * time.Second,
	}
}

// FleetResult holds the result of a FleetRun. Lookups and Drafts are the times to the first
// token of short and long requests, in milliseconds.
type FleetResult struct {
	Lookups []float64
	Drafts  []float64
	// CacheHits is the number of requests whose prefix was cached and Requests the number
	// of all requests.
	CacheHits int
	Requests  int
	// Unanswered is the number of requests without a first token at the end.
	Unanswered int
	// Utilization is the mean fraction of time that servers spent in batch steps.
	Utilization float64
}

// All returns the times to the first token of lookups and drafts, in milliseconds.
func (r FleetResult) All() []float64 {
	return append(append([]float64{}, r.Lookups...), r.Drafts...)
}

// HitRate returns the fraction of requests whose prefix was cached.
func (r FleetResult) HitRate() float64 { return float64(r.CacheHits) / float64(max(r.Requests, 1)) }

// fleetSim is the state of a running simulation.
type fleetSim struct {
	FleetRun
	clock   *Clock
	rng     *rand.Rand
	engines map[string]*Engine
	servers []routing.Server
	entries []*simEntry
	result  FleetResult
}

type simEntry struct {
	fleet  *routing.Fleet
	rng    *rand.Rand
	domain string
}

const simVersion = "model-1"

// Run simulates the arrivals, which must be in order of time, and returns the result.
func (r FleetRun) Run(arrivals []Arrival) FleetResult {
	s := &fleetSim{FleetRun: r, clock: NewClock(), engines: map[string]*Engine{}}
	s.rng = rand.New(rand.NewPCG(r.Seed, 2)) //nolint:gosec // a reproducible run
	s.buildServers()
	s.buildEntries()
	end := time.Duration(0)
	for i, a := range arrivals {
		entry := s.entries[i%len(s.entries)]
		s.clock.After(a.At, func() { s.handleArrival(entry, a) })
		end = a.At
	}
	s.clock.RunUntil(Epoch.Add(end + r.DrainTime))
	s.result.Unanswered = s.result.Requests - len(s.result.Lookups) - len(s.result.Drafts)
	for _, e := range s.engines {
		s.result.Utilization += float64(e.BusyTime) / float64(end+r.DrainTime) / float64(len(s.engines))
	}
	return s.result
}

func (s *fleetSim) buildServers() {
	for i := range s.Servers {
		name := fmt.Sprintf("server-%02d", i)
		model := s.Engine
		model.DurationFactor *= s.durationFactor(i)
		engine := NewEngine(s.clock, model)
		engine.OnCacheChange = func(prefix uint64, cached bool) { s.sendCacheEvent(name, prefix, cached) }
		s.engines[name] = engine
		s.servers = append(s.servers, routing.Server{
			Name: name, Instance: name, Incarnation: 1, Region: "r",
			FailureDomain: s.Domains[i%len(s.Domains)], Versions: []string{simVersion}, Slots: model.Slots,
		})
	}
}

// durationFactor returns the duration factor of server i, from 1/DurationSpread to DurationSpread.
// The multiplier 7 mixes fast and slow servers over the failure domains.
func (s *fleetSim) durationFactor(i int) float64 {
	rank := (i * 7) % s.Servers
	x := float64(rank) / float64(max(s.Servers-1, 1))
	return 1/s.DurationSpread + x*(s.DurationSpread-1/s.DurationSpread)
}

func (s *fleetSim) buildEntries() {
	for i := range s.Entries {
		domain := s.Domains[i%len(s.Domains)]
		self := routing.Location{Instance: fmt.Sprintf("entry-%d", i), FailureDomain: domain, Region: "r"}
		e := &simEntry{fleet: routing.NewFleet(self, s.Options), domain: domain}
		e.rng = rand.New(rand.NewPCG(s.Seed, uint64(10+i))) //nolint:gosec // a reproducible run
		e.fleet.SetServers(s.clock.Now(), s.servers)
		s.entries = append(s.entries, e)
		s.probeStaleReports(e)
	}
}

// probeStaleReports refreshes up to ProbeLimit stale reports and schedules the next probe.
func (s *fleetSim) probeStaleReports(e *simEntry) {
	for _, name := range e.fleet.ProbeTargets(s.clock.Now(), s.ProbeLimit) {
		e.fleet.RecordLoadReport(s.clock.Now(), name, s.engines[name].Load())
	}
	s.clock.After(s.ProbeInterval, func() { s.probeStaleReports(e) })
}

func (s *fleetSim) sendCacheEvent(server string, prefix uint64, cached bool) {
	for _, e := range s.entries {
		if s.rng.Float64() < s.CacheEventLoss {
			continue
		}
		s.clock.After(s.CacheEventDelay, func() { e.fleet.RecordCacheEvent(s.clock.Now(), server, prefix, cached) })
	}
}

func (s *fleetSim) handleArrival(e *simEntry, a Arrival) {
	now := s.clock.Now()
	q := routing.Query{Version: simVersion, Prefix: a.Prefix, PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, IsShort: a.IsShort}
	pick, ok := e.fleet.Pick(now, q, e.rng)
	if !ok {
		panic("routing picked no server although all simulated servers accept requests")
	}
	attempt := e.fleet.StartAttempt(now, pick.Server, routing.Attempt{Prefix: a.Prefix, PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, IsShort: a.IsShort})
	counted := a.At >= s.Warmup
	if counted {
		s.result.Requests++
	}
	outcome := routing.Outcome{OK: true, InputTokens: a.PromptTokens, OutputTokens: a.OutputTokens}
	job := &Job{Prefix: a.Prefix, PrefixTokens: a.PrefixTokens, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, IsShort: a.IsShort}
	job.OnFirstToken = func(cached int) {
		outcome.CachedTokens = cached
		outcome.FirstTokenMs = milliseconds(s.clock.Now().Sub(now))
		if counted {
			s.recordFirstToken(a, outcome, e.domain != pick.FailureDomain)
		}
	}
	job.OnDone = func() {
		e.fleet.EndAttempt(s.clock.Now(), pick.Server, attempt, outcome)
		e.fleet.RecordLoadReport(s.clock.Now(), pick.Server, s.engines[pick.Server].Load())
	}
	s.engines[pick.Server].Submit(job)
}

// crossDomainMs is the round trip to another failure domain, in milliseconds.
const crossDomainMs = 2.5

func (s *fleetSim) recordFirstToken(a Arrival, o routing.Outcome, crossesDomain bool) {
	first := o.FirstTokenMs
	if crossesDomain {
		first += crossDomainMs
	}
	if a.IsShort {
		s.result.Lookups = append(s.result.Lookups, first)
	} else {
		s.result.Drafts = append(s.result.Drafts, first)
	}
	if o.CachedTokens > 0 {
		s.result.CacheHits++
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
