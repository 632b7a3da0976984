package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// choice is a scored server.
type choice struct {
	server      int32
	scoreMs     float64
	waitMs      float64
	probability float64
}

// Pick chooses a backend server. It reports false when no server that holds
// the version or service, has weight and is not excluded exists.
func (f *Fleet) Pick(now time.Time, q Query, rng *rand.Rand) (Pick, bool) {
	p := f.pools[queryKey(q)]
	if p == nil {
		return Pick{}, false
	}
	var best choice
	var ok bool
	switch f.opts.Algorithm {
	case RoundRobin:
		best, ok = f.pickRoundRobin(now, p, &q)
	case LeastReported:
		best, ok = f.pickLeastReported(now, p, &q, rng)
	case PowerOfTwoReported:
		best, ok = f.pickTwoReported(now, p, &q, rng)
	default:
		best, ok = f.pickPowerOfD(now, p, &q, rng)
	}
	if !ok {
		best, ok = f.scan(now, p.all, &q)
	}
	if !ok {
		return Pick{}, false
	}
	return f.result(best), true
}

func queryKey(q Query) poolKey {
	if q.Service != "" {
		return poolKey{name: q.Service, service: true}
	}
	return poolKey{name: q.Version}
}

func (f *Fleet) result(c choice) Pick {
	s := &f.servers[c.server]
	return Pick{
		Server:           s.Name,
		Instance:         s.Instance,
		Incarnation:      s.Incarnation,
		FailureDomain:    s.FailureDomain,
		Address:          s.Address,
		Wait:             milliseconds(c.waitMs),
		CacheProbability: c.probability,
	}
}

// pickPowerOfD compares d random members of the subset and the holders of the
// prefix.
func (f *Fleet) pickPowerOfD(now time.Time, p *pool, q *Query, rng *rand.Rand) (choice, bool) {
	best := choice{scoreMs: math.Inf(1)}
	found := false
	consider := func(i int32) {
		if c := f.score(now, i, q); c.scoreMs < best.scoreMs {
			best, found = c, true
		}
	}
	if h := f.cache.find(q.Prefix); h != nil {
		for k := range h.list[:h.n] {
			if i := h.list[k].server; f.eligible(i, q) && f.holds(i, q) && f.admitted(i, rng) {
				consider(i)
			}
		}
	}
	var drawn [maxChoices]int
	for k := range min(f.opts.Choices, len(p.subset), maxChoices) {
		drawn[k] = drawOther(rng, len(p.subset), drawn[:k])
		if i := p.subset[drawn[k]]; f.eligible(i, q) && f.admitted(i, rng) {
			consider(i)
		}
	}
	if found {
		return best, true
	}
	return f.scan(now, p.subset, q)
}

// maxChoices bounds Options.Choices.
const maxChoices = 8

// drawOther returns a random index below n that is not among the drawn ones,
// of which there are fewer than n.
func drawOther(rng *rand.Rand, n int, drawn []int) int {
	i := rng.IntN(n)
	for slices.Contains(drawn, i) {
		i = (i + 1) % n
	}
	return i
}

// admitted lets a server of reduced weight through for that share of requests.
func (f *Fleet) admitted(i int32, rng *rand.Rand) bool {
	w := f.servers[i].weight
	return w >= 1 || rng.Float64() < w
}

func (f *Fleet) eligible(i int32, q *Query) bool {
	f.lookedAt++
	s := &f.servers[i]
	return s.open() && !slices.Contains(q.Exclude, s.Name)
}

func (f *Fleet) holds(i int32, q *Query) bool {
	s := &f.servers[i]
	if q.Service != "" {
		return s.Service == q.Service
	}
	return slices.Contains(s.Versions, q.Version)
}

// scan returns the best eligible server of a list.
func (f *Fleet) scan(now time.Time, list []int32, q *Query) (choice, bool) {
	best := choice{scoreMs: math.Inf(1)}
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

// score predicts the time to first token on a server and adds the penalty of
// its location.
func (f *Fleet) score(now time.Time, i int32, q *Query) choice {
	s := &f.servers[i]
	c := choice{server: i}
	c.probability = f.cache.probability(now, q.Prefix, i)
	c.waitMs = f.queueMs(now, s) + f.prefillMs(s, q.PromptTokens, c.probability)
	c.scoreMs = c.waitMs + s.penaltyMs
	return c
}

// queueMs predicts the time until the server has processed the prompts before
// another request.
func (f *Fleet) queueMs(now time.Time, s *server) float64 {
	load := f.loadPerSlot(now, s)
	wait := s.load.backlogMs(now) + f.wait.loadMs*load*f.speed(s)
	if load < 1 {
		return wait
	}
	serviceMs := s.load.serviceMs
	if serviceMs == 0 {
		serviceMs = f.mean.serviceMs
	}
	return wait + (load-1)*serviceMs
}

// loadPerSlot is the predicted number of requests per slot of a server.
func (f *Fleet) loadPerSlot(now time.Time, s *server) float64 {
	return s.load.estimate(now, f.opts.ReportHalfLife, f.mean.outstanding) / float64(s.slots())
}

// speed is how many times longer the server takes per token than the mean.
func (f *Fleet) speed(s *server) float64 {
	if s.load.tokenMs <= 0 {
		return 1
	}
	return min(max(s.load.tokenMs/f.mean.tokenMs, 0.25), 4)
}

// prefillMs predicts the time to process a prompt.
func (f *Fleet) prefillMs(s *server, promptTokens int, probability float64) float64 {
	return float64(promptTokens) * f.wait.tokenMs * f.speed(s) * (1 - probability)
}

// defaultSlots is assumed for a server that states none.
const defaultSlots = 16

func (s *server) slots() int {
	switch {
	case s.load.slots > 0:
		return s.load.slots
	case s.Slots > 0:
		return s.Slots
	}
	return defaultSlots
}

// waitSample bounds the members that WaitEstimate looks at.
const waitSample = 32

// WaitEstimate predicts the queueing time of a new request for a version: the
// lower quartile over the subset, which power of d choices reaches. It reports
// false when no server accepts the version.
func (f *Fleet) WaitEstimate(now time.Time, version string) (time.Duration, bool) {
	p := f.pools[poolKey{name: version}]
	if p == nil {
		return 0, false
	}
	var waits [waitSample]float64
	n := 0
	for _, list := range [][]int32{p.subset, p.all} {
		for _, i := range list {
			if n < waitSample && f.servers[i].open() {
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
	return milliseconds(waits[n/4]), true
}
