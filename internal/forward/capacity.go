package forward

import (
	"math"
	"time"
)

// Capacity is what one worker of a service holds for all gateways together; 0 means not known.
type Capacity struct {
	// Connections is the number of connections. One request is sent at a time on a connection, and the
	// worker resets those beyond.
	Connections int
	// Tokens is the memory of an engine for the prompts in progress. Beyond it, an engine preempts
	// requests or ends.
	Tokens int
}

// Capacities returns the capacity of the workers by service.
func (c *Config) Capacities() map[string]Capacity {
	out := make(map[string]Capacity, len(c.Services))
	for name, s := range c.Services {
		capacity := Capacity{Connections: s.MaxConnections}
		if s.Engine != nil {
			capacity.Tokens = s.Engine.KVCapacity
		}
		out[name] = capacity
	}
	return out
}

// SetCapacities sets the capacity of the workers by service.
func (p *Placer) SetCapacities(capacities map[string]Capacity) {
	for service, capacity := range capacities {
		p.statsFor(service).capacity = capacity
	}
}

const (
	// overCapacityPenalty is the load that a worker without room for the request counts as, in requests.
	// It is more than any worker holds, so that such a worker is used only if no other has room; the
	// worker itself then decides.
	overCapacityPenalty = 1000
	// capacityShare is the part of the capacity that is used. The rest covers requests of other gateways
	// that are not known yet.
	capacityShare = 0.95
	// foreignRequestsTTL is how long the requests of other gateways in the last report of a worker count.
	foreignRequestsTTL = 2 * time.Second
)

// capacityCost returns the load that a worker without room for the request counts as, in requests.
func (s *workerState) capacityCost(now Elapsed, tokens float64) float64 {
	stats := s.stats
	if stats.capacity == (Capacity{}) {
		return 0
	}
	foreign := s.foreignRequests(now)
	if c := stats.capacity.Connections; c > 0 && float64(s.inFlight)+foreign+1 > capacityShare*float64(c) {
		return overCapacityPenalty
	}
	if c := stats.capacity.Tokens; c > 0 && s.tokens+foreign*stats.meanTokens+tokens > capacityShare*float64(c) {
		return overCapacityPenalty
	}
	return 0
}

// foreignRequests returns the number of requests of other processes at a worker: those of its last
// report or of the exchanged loads, whichever are more.
func (s *workerState) foreignRequests(now Elapsed) float64 {
	foreign := 0.0
	if s.hasReport && now-s.reportedAt <= foreignRequestsTTL {
		foreign = float64(s.load.Running + s.load.Waiting - s.inFlightAtReport)
	}
	if s.hasPeerLoad && now-s.peerLoadAt <= foreignRequestsTTL {
		foreign = math.Max(foreign, s.peerLoad)
	}
	return math.Max(foreign, 0)
}

// heldTokens returns the tokens of a prompt that a worker does not hold for other requests already.
func heldTokens(prompt []PromptPart, cachedTokens int) float64 {
	tokens := -cachedTokens
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return float64(max(tokens, 0))
}

// setSize sets the work and the tokens of a request. Its shared parts are left out: a worker that has
// cached them is preferred for that elsewhere.
func (q *WorkerQuery) setSize(p *Placer) {
	shared := 0
	if len(q.Prompt) > 0 {
		shared = sharedTokens(q.Prompt)
	}
	q.work, q.tokens = p.promptWork(q.Prompt, shared), heldTokens(q.Prompt, shared)
}

// recordTokens records the tokens that a request holds at its worker.
func (s *poolStats) recordTokens(tokens float64) {
	if s.meanTokens == 0 {
		s.meanTokens = tokens
	}
	s.meanTokens += poolMeanGain * (tokens - s.meanTokens)
}
