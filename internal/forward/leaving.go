package forward

import (
	"math"
	"time"
)

// LeavingCost is what it costs to send a request to a worker in another failure domain, as time of its
// caller.
type LeavingCost struct {
	// PerMegabyte is the cost of each 1,000,000 bytes of the request and its answer.
	PerMegabyte time.Duration
	// PerRoundTrip is the cost of the way to the worker and back.
	PerRoundTrip time.Duration
}

// The default cost: failure domains are 0.5 to 1.4 ms apart one way, and small gateways have links of
// 10 Mbit/s.
const (
	defaultLeavingPerMegabyte  = 800 * time.Millisecond
	defaultLeavingPerRoundTrip = 2 * time.Millisecond
)

const (
	// timelyShare is the part of the time left until the target that answers may take to begin before
	// requests leave the failure domain for a shorter wait. A cascade may ask two models one after the
	// other, and single answers take about twice the mean.
	timelyShare = 0.25
	// blindShare replaces timelyShare, by and by, where what is known of a worker elsewhere grows old: only
	// what would be late anyway leaves.
	blindShare = 1.0
)

// loadError is how much more loaded a worker elsewhere may be than it is estimated to be. Without it,
// domains that are all short exchange a part of their requests for nothing.
const loadError = 0.5

// UrgentRequests are the most urgent requests for a service.
type UrgentRequests struct {
	// Priority is that of their routes, and Target the least latency target among these.
	Priority int
	Target   time.Duration
}

// UrgentRequests returns the most urgent requests by service. Routes without a target are left out.
func (c *Config) UrgentRequests() map[string]UrgentRequests {
	out := map[string]UrgentRequests{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, split := range r.Splits {
			known, ok := out[split.Service]
			if r.LatencyTarget > 0 && (!ok || r.Priority < known.Priority || r.Priority == known.Priority && r.LatencyTarget < known.Target) {
				out[split.Service] = UrgentRequests{r.Priority, r.LatencyTarget}
			}
		}
	}
	return out
}

// SetLeavingCost sets what leaving costs, the default if it is zero, and whether it is weighed for all services.
func (p *Placer) SetLeavingCost(cost LeavingCost, forAll bool) {
	p.opts.Leaving, p.opts.LeavingIsSet = cost, forAll
	p.opts = p.opts.withDefaults()
}

// SetUrgentRequests sets the most urgent requests by service.
func (p *Placer) SetUrgentRequests(byService map[string]UrgentRequests) { p.urgent = byService }

// weighsLeaving reports whether it is decided for each request of a service what leaving the failure
// domain costs and gains. Elsewhere DomainPenalty stands for it.
func (p *Placer) weighsLeaving(service string) bool {
	return p.opts.LeavingIsSet || p.reportsPace(service)
}

// leavingTerms is what a worker in another failure domain must offer for one request.
type leavingTerms struct {
	// unit is the time that one request of load adds to the wait, and costTime the cost of leaving.
	unit, costTime time.Duration
	// timely and blind are the loads at which the answer takes timelyShare and blindShare of the time
	// left to begin. urgent is the load up to which more urgent requests begin in time, 0 if there are none.
	timely, blind, urgent float64
	// unseen is the work that the other gateways of the failure domain have placed since the last exchange, and
	// unseenPerWorker the work that all gateways have placed since then on each worker in the mean.
	unseen, unseenPerWorker float64
	// leastAtHome is the least score of the workers at home, and pressure what follows from it.
	leastAtHome, pressure float64
}

// termsOfLeaving returns the terms for a request, nil if leaving is not weighed or nothing was timed yet.
func (p *Placer) termsOfLeaving(now Elapsed, q *WorkerQuery) *leavingTerms {
	stats := p.statsFor(q.Service)
	unit := stats.timePerRequest(stats.poolOf(q.Heavy))
	if unit <= 0 || !p.weighsLeaving(q.Service) {
		return nil
	}
	inRequests := func(t time.Duration) float64 { return max(float64(t), 0) / float64(unit) }
	t := &leavingTerms{unit: unit, leastAtHome: math.Inf(1)}
	t.costTime = p.opts.Leaving.PerRoundTrip + time.Duration(float64(p.opts.Leaving.PerMegabyte)*float64(q.Bytes)/1e6)
	t.timely, t.blind = inRequests(q.TargetLeft)*timelyShare, inRequests(q.TargetLeft)*blindShare
	if u, ok := p.urgent[q.Service]; ok && q.Priority > u.Priority {
		t.urgent = inRequests(u.Target) * timelyShare
	}
	p.setUnseen(now, q, t)
	return t
}

// rateSamples is the number of own requests that say as much of the other gateways of the failure domain as
// the mean of all gateways does.
const rateSamples = 10

// setUnseen sets the work that other gateways have placed since the last exchange.
func (p *Placer) setUnseen(now Elapsed, q *WorkerQuery, t *leavingTerms) {
	work := p.unseenWork(now, q)
	if work <= 0 {
		return
	}
	domains := float64(max(p.statsFor(q.Service).domains, 1))
	home, all := 1.0, 1.0 // the rates of other gateways, in multiples of that of this one
	if d := p.demandFor(q.Service); d.peers > 0 && now-p.gatewaysAt <= p.opts.PeerLoadTTL {
		own := d.rate(now)
		samples := own * demandTime.Seconds()
		mean := d.peers / float64(p.peers-1) / own
		home, all = (samples+rateSamples*mean)/(samples+rateSamples), mean
	}
	// How many gateways each domain has is not known. One too few makes the amount swing.
	others := math.Ceil(float64(p.peers)/domains) - 1
	t.unseen = work * home * others / float64(p.peers-1)
	t.unseenPerWorker = work * all / float64(max(len(p.services[q.Service]), 1))
}

// leavingCost returns what it costs to send a request to a worker in another failure domain, in requests.
//
// A worker elsewhere counts as loaded up to the point at which answers at home still begin in time. Home
// is therefore filled first, only what is beyond leaves, and no more than levels the expected times. The
// amount rises and falls with the load instead of switching, so that it does not swing back and forth.
func (p *Placer) leavingCost(now Elapsed, s *workerState, q *WorkerQuery) float64 {
	if s.FailureDomain == p.opts.FailureDomain {
		return 0
	}
	t := q.leaving
	if t == nil {
		return p.opts.DomainPenalty
	}
	load, unseen := p.estimatedLoad(now, s)*p.slowness(now, s), t.unseenPerWorker
	hasFreeSlots := p.hasFreeSlots(s, load)
	if hasFreeSlots {
		unseen = 0 // it ends what its domain sends before the next exchange
	}
	load += unseen
	cost := float64(t.costTime)/float64(t.unit) + unseen
	if t.urgent > 0 && load > t.urgent && !hasFreeSlots {
		cost += noRoom
	}
	floor := t.timely + (t.blind-t.timely)*p.staleness(now, s)
	return cost + max(floor-load, loadError*load)
}

// updateStatedLoads updates the mean loads that other processes state of the workers at home.
func (p *Placer) updateStatedLoads() {
	for service, list := range p.services {
		if !p.weighsLeaving(service) {
			continue
		}
		var sum, workers [2]float64
		for _, s := range list {
			if s.FailureDomain == p.opts.FailureDomain {
				sum[s.poolIndex()] += s.peerLoad
				workers[s.poolIndex()]++
			}
		}
		for pool := range sum {
			p.statsFor(service).statedLoad[pool] = sum[pool] / max(workers[pool], 1)
		}
	}
}

// expectedWait returns the time until the answers of a pool start: the mean of those that this process got,
// or what the others state. One of a hundred gateways gets too few answers to notice a rise at once.
func (p *Placer) expectedWait(stats *poolStats, pool int) time.Duration {
	if !p.opts.LeavingIsSet && !stats.reportsPace {
		return stats.meanWait[pool]
	}
	return max(stats.meanWait[pool], time.Duration(stats.statedLoad[pool]*float64(stats.timePerRequest(pool))))
}

// noRoom is added to the cost of a worker whose room more urgent requests need, in requests. No worker holds
// as many, so that any other one is preferred.
const noRoom = 1000

// hasFreeSlots reports whether a plain worker can start one more request at once. The time per request is
// learned from answers at home, and says little of a worker with free slots while home is overloaded.
func (p *Placer) hasFreeSlots(s *workerState, load float64) bool {
	return !p.statsFor(s.Service).hasCascades && load+1 <= float64(max(s.load.Slots, s.Slots))
}

// staleness returns how little is known of the load of a worker, from 0 for a load that is just stated to 1.
func (p *Placer) staleness(now Elapsed, s *workerState) float64 {
	age := p.opts.PeerLoadTTL
	if s.hasPeerLoad {
		age = now - s.peerLoadAt
		if p.usesPeerLoads(s.stats, s.poolIndex()) {
			age += p.peerInterval
		}
	}
	if s.hasReport {
		age = min(age, now-s.reportedAt)
	}
	return min(float64(age)/float64(p.opts.PeerLoadTTL), 1)
}

// affinityScore returns the score of a worker that is preferred for its prompt cache. If the cache is worth
// leaving for, only the way to the worker counts against one elsewhere.
func (p *Placer) affinityScore(now Elapsed, s *workerState, q *WorkerQuery, worthLeaving bool) float64 {
	score := p.score(now, s, q)
	t := q.leaving
	if t == nil || !worthLeaving || s.FailureDomain == p.opts.FailureDomain || p.staleness(now, s) >= 1 {
		return score
	}
	return score - p.leavingCost(now, s, q) + float64(t.costTime)/float64(t.unit)
}

// readTime returns what reading tokens at home costs callers: the time that it takes, for each request that it
// delays. While the workers at home have room, it delays nobody.
func (t *leavingTerms) readTime(tokens, tokensPerWork float64) time.Duration {
	return time.Duration(t.pressure * tokens / tokensPerWork * float64(t.unit))
}

const (
	// pressureRise and pressureFall are the times over which the pressure on the workers at home is averaged
	// while it rises and falls. Where the requests with a shared part go should not change with each wave of
	// load, as the part is read again at each change.
	pressureRise = 500 * time.Millisecond
	pressureFall = 5 * time.Second
	// maxPressure bounds the pressure. An engine reads prompts in chunks by turns, so that few requests are
	// delayed by all of what one has read.
	maxPressure = 2
)

// setPressure sets the pressure for a request: how many requests are delayed in earnest by what one has read at home: those that
// wait at the worker, as far as their wait is near the one up to which answers begin in time. The most urgent
// requests count, since they wait at the same workers.
func (p *Placer) setPressure(now Elapsed, q *WorkerQuery) {
	t, stats := q.leaving, p.statsFor(q.Service)
	if t == nil {
		return
	}
	timely := t.timely
	if u, ok := p.urgent[q.Service]; ok {
		timely = min(timely, timelyShare*float64(u.Target)/float64(t.unit))
	}
	pressure := min(t.leastAtHome, maxPressure)
	if timely > 0 {
		pressure *= min(t.leastAtHome/timely, 1)
	}
	over := pressureFall
	if pressure > stats.pressure {
		over = pressureRise
	}
	t.pressure = stats.pressure + (pressure-stats.pressure)*(1-math.Exp(-float64(now-stats.pressureAt)/float64(over)))
}

// recordPressure records the pressure that was set for a request.
func (p *Placer) recordPressure(now Elapsed, q *WorkerQuery) {
	if q.leaving != nil {
		stats := p.statsFor(q.Service)
		stats.pressure, stats.pressureAt = q.leaving.pressure, now
	}
}
