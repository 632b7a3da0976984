package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// scoredServer is a server with its score for one query; the lowest score wins.
type scoredServer struct {
	// server is an index into Fleet.servers.
	server           int32
	scoreMs          float64
	firstTokenMs     float64
	cacheProbability float64
}

// Pick chooses a backend server for a query. It returns false when every server
// with the version or plain service is ejected, leaving or excluded, or when
// there is none.
func (f *Fleet) Pick(now time.Time, q Query, rng *rand.Rand) (Pick, bool) {
	p := f.pools[poolKeyOf(q)]
	if p == nil {
		return Pick{}, false
	}
	var best scoredServer
	var ok bool
	switch f.opts.Algorithm {
	case RoundRobin:
		best, ok = f.pickRoundRobin(now, p, &q)
	case LeastReported:
		best, ok = f.pickLeastReported(now, p, &q, rng)
	case PowerOfTwoReported:
		best, ok = f.pickPowerOfTwoReported(now, p, &q, rng)
	default:
		best, ok = f.pickPowerOfD(now, p, &q, rng)
	}
	if !ok {
		best, ok = f.lowestScore(now, p.members, &q)
	}
	if !ok {
		return Pick{}, false
	}
	return f.newPick(best), true
}

func poolKeyOf(q Query) poolKey {
	if q.Service != "" {
		return poolKey{name: q.Service, isService: true}
	}
	return poolKey{name: q.Version}
}

func (f *Fleet) newPick(c scoredServer) Pick {
	s := &f.servers[c.server]
	return Pick{
		Server:           s.Name,
		Instance:         s.Instance,
		Incarnation:      s.Incarnation,
		FailureDomain:    s.FailureDomain,
		Address:          s.Address,
		FirstTokenTime:   fromMs(c.firstTokenMs),
		CacheProbability: c.cacheProbability,
	}
}

// pickPowerOfD compares d random members of the subset and the servers that
// probably have the prefix cached. When none of them is eligible and admitted by
// its weight, it compares the whole subset.
func (f *Fleet) pickPowerOfD(now time.Time, p *pool, q *Query, rng *rand.Rand) (scoredServer, bool) {
	best := scoredServer{scoreMs: math.Inf(1)}
	found := false
	consider := func(i int32) {
		if c := f.score(now, i, q); c.scoreMs < best.scoreMs {
			best, found = c, true
		}
	}
	if h := f.prefixes.holdersOf(q.Prefix); h != nil {
		for k := range h.holders[:h.count] {
			if i := h.holders[k].server; f.eligible(i, q) && f.deploys(i, q) && f.admittedByWeight(i, rng) {
				consider(i)
			}
		}
	}
	var drawn [maxChoices]int
	for k := range min(f.opts.Choices, len(p.subset), maxChoices) {
		drawn[k] = drawDistinct(rng, len(p.subset), drawn[:k])
		if i := p.subset[drawn[k]]; f.eligible(i, q) && f.admittedByWeight(i, rng) {
			consider(i)
		}
	}
	if found {
		return best, true
	}
	return f.lowestScore(now, p.subset, q)
}

// maxChoices limits Options.Choices.
const maxChoices = 8

// drawDistinct returns a random index below n that is not in drawn, which must
// hold fewer than n indexes.
func drawDistinct(rng *rand.Rand, n int, drawn []int) int {
	i := rng.IntN(n)
	for slices.Contains(drawn, i) {
		i = (i + 1) % n
	}
	return i
}

// admittedByWeight returns true for a share of the requests equal to the weight
// of the server.
func (f *Fleet) admittedByWeight(i int32, rng *rand.Rand) bool {
	w := f.servers[i].weight
	return w >= 1 || rng.Float64() < w
}

// eligible reports whether the server accepts work and is not excluded by the
// query. It counts the server in Fleet.examinedServers.
func (f *Fleet) eligible(i int32, q *Query) bool {
	f.examinedServers++
	s := &f.servers[i]
	return s.acceptsWork() && !slices.Contains(q.Exclude, s.Name)
}

// deploys reports whether the server has the queried version or plain service.
func (f *Fleet) deploys(i int32, q *Query) bool {
	s := &f.servers[i]
	if q.Service != "" {
		return s.Service == q.Service
	}
	return slices.Contains(s.Versions, q.Version)
}

// lowestScore returns the eligible server of a list with the lowest score
// divided by weight.
func (f *Fleet) lowestScore(now time.Time, list []int32, q *Query) (scoredServer, bool) {
	best := scoredServer{scoreMs: math.Inf(1)}
	found := false
	for _, i := range list {
		if !f.eligible(i, q) {
			continue
		}
		c := f.score(now, i, q)
		c.scoreMs /= f.servers[i].weight
		if c.scoreMs < best.scoreMs {
			best, found = c, true
		}
	}
	return best, found
}

// score predicts the time to first token on a server and adds the penalty for
// its location.
func (f *Fleet) score(now time.Time, i int32, q *Query) scoredServer {
	s := &f.servers[i]
	c := scoredServer{server: i}
	c.cacheProbability = f.prefixes.cacheProbability(now, q.Prefix, i)
	c.firstTokenMs = f.queueMs(now, s) + f.prefillMs(s, q.PromptTokens, c.cacheProbability)
	c.scoreMs = c.firstTokenMs + s.locationPenaltyMs
	return c
}

// queueMs predicts how long a new request waits before the server processes its
// prompt, in milliseconds: for the prompts that this entry sent before, for the
// other load, and for a free slot when all slots are in use.
func (f *Fleet) queueMs(now time.Time, s *server) float64 {
	load := f.loadPerSlot(now, s)
	wait := s.load.backlogMs(now) + f.firstTokenModel.msPerLoad*load*f.relativeTokenTime(s)
	if load < 1 {
		return wait
	}
	serviceMs := s.load.serviceMs
	if serviceMs == 0 {
		serviceMs = f.averages.serviceMs
	}
	return wait + (load-1)*serviceMs
}

// loadPerSlot returns the predicted number of requests per slot of a server.
func (f *Fleet) loadPerSlot(now time.Time, s *server) float64 {
	return s.load.outstandingRequests(now, f.opts.ReportHalfLife, f.averages.outstanding) / float64(s.slotCount())
}

// relativeTokenTime returns the server's time between tokens divided by the mean
// of the fleet, between 1/4 and 4.
func (f *Fleet) relativeTokenTime(s *server) float64 {
	if s.load.tokenMs <= 0 {
		return 1
	}
	return min(max(s.load.tokenMs/f.averages.tokenMs, 0.25), 4)
}

// prefillMs predicts the time to process a prompt, in milliseconds.
func (f *Fleet) prefillMs(s *server, promptTokens int, cacheProbability float64) float64 {
	return float64(promptTokens) * f.firstTokenModel.msPerToken * f.relativeTokenTime(s) * (1 - cacheProbability)
}

// defaultSlots is the number of slots assumed for a server that states none.
const defaultSlots = 16

// slotCount returns the number of slots from the last report, else from the
// server's description, else defaultSlots.
func (s *server) slotCount() int {
	switch {
	case s.load.slots > 0:
		return s.load.slots
	case s.Slots > 0:
		return s.Slots
	}
	return defaultSlots
}

// maxWaitSamples limits the servers from which the queueing time of a version is
// estimated.
const maxWaitSamples = 32

// EstimateQueueTime predicts the queueing time of a new request for a version. It is
// the lower quartile over the servers of the subset, because the best of d random
// choices lies near it. It returns false when no server that accepts work has the
// version.
func (f *Fleet) EstimateQueueTime(now time.Time, version string) (time.Duration, bool) {
	p := f.pools[poolKey{name: version}]
	if p == nil {
		return 0, false
	}
	var waits [maxWaitSamples]float64
	n := 0
	for _, list := range [][]int32{p.subset, p.members} {
		for _, i := range list {
			if n < maxWaitSamples && f.servers[i].acceptsWork() {
				waits[n] = f.queueMs(now, &f.servers[i])
				n++
			}
		}
		if n > 0 {
			break
		}
	}
	if n == 0 {
		return 0, false
	}
	slices.Sort(waits[:n])
	return fromMs(waits[n/4]), true
}
