package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// PlaceOptions tune a Placer. The zero value selects the defaults.
type PlaceOptions struct {
	// FailureDomain is where the process runs.
	FailureDomain string
	// TokensPerRequest is how many cached tokens weigh as much as one request more than the
	// least loaded worker has. An engine reads some 600 tokens in the time of one step; see
	// docs/decisions/forwarding.md.
	TokensPerRequest float64
	// DomainPenalty is what another failure domain counts for, in requests.
	DomainPenalty float64
	// PoolPenalty is what a worker of the other pool counts for, in requests. With 4, one
	// pool queued prompts while the other had none.
	PoolPenalty float64
	// ReportHalfLife is the age at which the load that others cause counts for half.
	ReportHalfLife time.Duration
	// CacheMemory is how long a prompt part is believed to be cached after its last use.
	CacheMemory time.Duration
}

func (o PlaceOptions) withDefaults() PlaceOptions {
	if o.TokensPerRequest == 0 {
		o.TokensPerRequest = 600
	}
	if o.DomainPenalty == 0 {
		o.DomainPenalty = 0.5
	}
	if o.PoolPenalty == 0 {
		o.PoolPenalty = 2
	}
	if o.ReportHalfLife == 0 {
		o.ReportHalfLife = time.Second
	}
	if o.CacheMemory == 0 {
		o.CacheMemory = 20 * time.Second
	}
	return o
}

// maxCachedParts bounds the prompt parts remembered, about 100 bytes each.
const maxCachedParts = 16384

// maxPartHolders bounds the workers remembered for a prompt part.
const maxPartHolders = 8

// Placer chooses workers. It knows the requests that this process has in flight, the
// load that workers stated in their answers, and the prompt parts that this process
// had them read.
type Placer struct {
	opts     PlaceOptions
	workers  map[string]*placed
	services map[string][]*placed
	pools    map[string]*pools
	cache    *lru.LRU[partKey, *[maxPartHolders]partHolder]
}

type placed struct {
	Worker
	hash     uint64
	divided  bool // the worker belongs to one of two pools
	heavy    bool // the pool of the larger models
	own      int
	begun    int // the requests of own whose answer has begun
	share    float64
	load     Load
	loadAt   Elapsed
	ownAt    float64
	reported bool
}

// NewPlacer returns a Placer without workers.
func NewPlacer(o PlaceOptions) *Placer {
	cache, err := lru.NewLRU[partKey, *[maxPartHolders]partHolder](maxCachedParts, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Placer{opts: o.withDefaults(), workers: map[string]*placed{}, services: map[string][]*placed{}, pools: map[string]*pools{}, cache: cache}
}

// SetWorkers replaces the workers that may get new work. A worker that keeps its ID,
// address and time of birth keeps its state.
func (p *Placer) SetWorkers(list []Worker) {
	next := make(map[string]*placed, len(list))
	p.services = map[string][]*placed{}
	slices.SortFunc(list, func(a, b Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, w := range list {
		s, ok := p.workers[w.ID]
		if !ok || s.Born != w.Born || s.Address != w.Address {
			s = &placed{share: 1, hash: xxhash.Sum64String(w.ID)}
		}
		s.Worker = w
		next[w.ID] = s
		p.services[w.Service] = append(p.services[w.Service], s)
	}
	p.workers = next
	p.dividePools()
}

// SetShare sets the share of its normal traffic that a worker gets.
func (p *Placer) SetShare(id string, share float64) {
	if s := p.workers[id]; s != nil {
		s.share = share
	}
}

// Query asks for a worker.
type Query struct {
	Service string
	// Allowed reports whether a version of the worker's software may be used; nil allows all.
	Allowed func(version string) bool
	// Exclude names workers that already had the request.
	Exclude []string
	Model   string
	// Heavy requests ask for a larger model of a cascade, all others for the smallest or for
	// the only one.
	Heavy  bool
	Prompt []PromptPart
}

// Placement is the outcome of Pick.
type Placement struct {
	Worker Worker
	// Load is the believed number of requests at the worker, and LoadAge the age of what
	// it stated itself; LoadAge is negative when it never stated any.
	Load    float64
	LoadAge time.Duration
	// CachedTokens is the believed length of the prompt that the worker has cached.
	CachedTokens int
	// Candidates is the number of workers looked at.
	Candidates int
}

// Pick chooses the worker of a request: the one that has cached most of the prompt if the
// requests that it has more than the least loaded one cost less than reading the shared
// parts again, otherwise the least loaded one. This answers loads up to the capacity of the
// workers, where reading is most of their work; above it the Escalator takes work off them.
func (p *Placer) Pick(now Elapsed, q Query, rng *rand.Rand) (Placement, bool) {
	if q.Heavy {
		p.sawHeavy(q.Service)
	}
	best, leastScore, seen := p.leastLoaded(now, &q, rng)
	if best == nil {
		return Placement{}, false
	}
	cached := 0
	if len(q.Prompt) > 0 {
		allowance := float64(sharedTokens(q.Prompt)) / p.opts.TokensPerRequest
		if s, tokens := p.cachedAt(now, &q, leastScore+allowance); s != nil {
			best, cached = s, tokens
		}
	}
	out := Placement{Worker: best.Worker, Load: p.load(now, best), LoadAge: -1, CachedTokens: cached, Candidates: seen}
	if best.reported {
		out.LoadAge = now - best.loadAt
	}
	return out, true
}

// leastLoaded returns the worker with the lowest score and the number of workers looked
// at. Workers of reduced share are passed over for that share of the requests, unless no
// other is left.
func (p *Placer) leastLoaded(now Elapsed, q *Query, rng *rand.Rand) (*placed, float64, int) {
	var least *placed
	leastScore := math.Inf(1)
	seen := 0
	for _, anyShare := range []bool{false, true} {
		for _, s := range p.services[q.Service] {
			if !s.eligible(q) || !anyShare && s.share < 1 && rng.Float64() >= s.share {
				continue
			}
			seen++
			if score := p.score(now, s, q.Heavy) + rng.Float64()*tieNoise; score < leastScore {
				least, leastScore = s, score
			}
		}
		if least != nil {
			break
		}
	}
	return least, leastScore, seen
}

// tieNoise spreads requests over workers of equal load, in requests.
const tieNoise = 0.1

func (s *placed) eligible(q *Query) bool {
	return (q.Allowed == nil || q.Allowed(s.Version)) && !slices.Contains(q.Exclude, s.ID)
}

// load is the believed number of requests at a worker: the own ones, and those of others
// by the worker's last statement. An old statement gives way to the mean of the pool, as
// a worker that was not heard of is no less loaded than the others.
func (p *Placer) load(now Elapsed, s *placed) float64 {
	others := p.poolsOf(s.Service).others[s.pool()]
	if s.reported {
		stated := max(p.stated(s)-s.ownAt, 0)
		others += (stated - others) * math.Exp2(-float64(now-s.loadAt)/float64(p.opts.ReportHalfLife))
	}
	return p.owned(s) + others
}

func (p *Placer) score(now Elapsed, s *placed, heavy bool) float64 {
	score := p.load(now, s)
	if s.divided && s.heavy != heavy {
		score += p.opts.PoolPenalty
	}
	if s.FailureDomain != p.opts.FailureDomain {
		score += p.opts.DomainPenalty
	}
	return score
}

// Start records that a request was sent to a worker.
func (p *Placer) Start(now Elapsed, id, model string, prompt []PromptPart) {
	s := p.workers[id]
	if s == nil {
		return
	}
	s.own++
	for _, part := range prompt {
		p.remember(now, partKey{part.ID, model}, s)
	}
}

// Stated records the load that a worker stated in an answer.
func (p *Placer) Stated(now Elapsed, id string, load Load) {
	s := p.workers[id]
	if s == nil {
		return
	}
	s.load, s.loadAt, s.ownAt, s.reported = load, now, p.owned(s), true
	l := p.poolsOf(s.Service)
	total := p.stated(s)
	l.total[s.pool()] += meanGain * (total - l.total[s.pool()])
	l.others[s.pool()] += meanGain * (max(total-s.ownAt, 0) - l.others[s.pool()])
}

// meanGain is the weight of one statement in the mean of a pool: some twenty statements,
// which an instance gets in a few seconds, make the mean.
const meanGain = 0.05

func (s *placed) pool() int {
	if s.divided && s.heavy {
		return 1
	}
	return 0
}

// End records that a request has left a worker; begun tells whether its answer had begun.
func (p *Placer) End(id string, begun bool) {
	if s := p.workers[id]; s != nil && s.own > 0 {
		s.own--
		if begun && s.begun > 0 {
			s.begun--
		}
		s.begun = min(s.begun, s.own)
	}
}

// Began records that the answer of a request has begun.
func (p *Placer) Began(id string) {
	if s := p.workers[id]; s != nil && s.begun < s.own {
		s.begun++
	}
}

// Believed returns the believed number of requests at a worker and the age of what it
// stated; the age is negative when it never stated any.
func (p *Placer) Believed(now Elapsed, id string) (float64, time.Duration) {
	s := p.workers[id]
	if s == nil {
		return 0, -1
	}
	if !s.reported {
		return p.load(now, s), -1
	}
	return p.load(now, s), now - s.loadAt
}

// runningWeight is what a request whose answer has begun weighs at an engine, beside one
// whose prompt is still to be read: it makes each step some 2% longer, while a prompt holds
// up all others by some ten steps. Workers with many begun answers and no prompts waiting
// were passed over for others with a queue of prompts.
const runningWeight = 0.1

// weight is what a begun request weighs at a worker. Only engines read prompts.
func (p *Placer) weight(s *placed) float64 {
	if p.poolsOf(s.Service).cascades {
		return runningWeight
	}
	return 1
}

// stated is the load that a worker stated.
func (p *Placer) stated(s *placed) float64 {
	return p.weight(s)*float64(s.load.Running) + float64(s.load.Waiting)
}

// owned is the load of this process's own requests at a worker.
func (p *Placer) owned(s *placed) float64 {
	return float64(s.own-s.begun) + p.weight(s)*float64(s.begun)
}
