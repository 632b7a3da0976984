package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// PlacerOptions configures a Placer. Fields that are zero get their defaults, except for
// FailureDomain.
type PlacerOptions struct {
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// TokensPerRequest is the number of cached prompt tokens that outweigh one more request
	// than the least loaded worker has. An engine reads about 600 tokens in the time of one
	// step; see docs/decisions/forwarding.md.
	TokensPerRequest float64
	// DomainPenalty is added to the score of workers in other failure domains, in requests.
	DomainPenalty float64
	// PoolPenalty is added to the score of workers of the other pool, in requests. With a
	// penalty of 4, prompts queued in one pool while the other had no queue.
	PoolPenalty float64
	// ReportHalfLife is the age at which a worker's report of the load of other processes
	// has half its weight.
	ReportHalfLife time.Duration
	// CacheTTL is the time after its last use for which a prompt part is assumed to be
	// cached.
	CacheTTL time.Duration
}

func (o PlacerOptions) withDefaults() PlacerOptions {
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
	if o.CacheTTL == 0 {
		o.CacheTTL = 20 * time.Second
	}
	return o
}

// maxCachedParts bounds the number of prompt parts that a Placer tracks, at about 100 bytes
// each.
const maxCachedParts = 16384

// maxHoldersPerPart bounds the workers that are tracked for one prompt part.
const maxHoldersPerPart = 8

// Placer chooses the worker for each request. It tracks the requests that this process has
// in flight, the load that workers report in their answers, and the prompt parts that this
// process sent to them.
type Placer struct {
	opts     PlacerOptions
	workers  map[string]*workerState
	services map[string][]*workerState
	pools    map[string]*poolStats
	cache    *lru.LRU[partKey, *[maxHoldersPerPart]partHolder]
}

// workerState is a worker with its load as seen by this process.
type workerState struct {
	Worker
	hash            uint64
	pooled          bool // the worker belongs to one of two pools
	heavy           bool // the pool of the larger models
	inFlight        int  // requests of this process
	answering       int  // the requests in flight whose answer has started
	share           float64
	load            Load
	reportedAt      Elapsed
	ownLoadAtReport float64
	hasReport       bool
}

// NewPlacer returns a Placer without workers.
func NewPlacer(o PlacerOptions) *Placer {
	cache, err := lru.NewLRU[partKey, *[maxHoldersPerPart]partHolder](maxCachedParts, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Placer{opts: o.withDefaults(), workers: map[string]*workerState{}, services: map[string][]*workerState{}, pools: map[string]*poolStats{}, cache: cache}
}

// SetWorkers replaces the workers that may get new requests, and sorts list. A worker that
// keeps its ID, address and start time keeps its state.
func (p *Placer) SetWorkers(list []Worker) {
	next := make(map[string]*workerState, len(list))
	p.services = map[string][]*workerState{}
	slices.SortFunc(list, func(a, b Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, w := range list {
		s, ok := p.workers[w.ID]
		if !ok || s.StartUnixMs != w.StartUnixMs || s.Address != w.Address {
			s = &workerState{share: 1, hash: xxhash.Sum64String(w.ID)}
		}
		s.Worker = w
		next[w.ID] = s
		p.services[w.Service] = append(p.services[w.Service], s)
	}
	p.workers = next
	p.dividePools()
}

// SetShare sets the fraction of its normal traffic, 0 to 1, that a worker gets.
func (p *Placer) SetShare(id string, share float64) {
	if s := p.workers[id]; s != nil {
		s.share = share
	}
}

// WorkerQuery describes a request for which a worker is chosen.
type WorkerQuery struct {
	Service string
	// Allowed reports whether a version of the worker's software may be used; nil allows
	// all.
	Allowed func(version string) bool
	// Exclude lists the IDs of workers that already received the request.
	Exclude []string
	Model   string
	// Heavy is set for requests to a larger model of a cascade, and not for requests to the
	// smallest or only model.
	Heavy  bool
	Prompt []PromptPart
}

// Placement is the worker chosen by Pick and the data behind the choice.
type Placement struct {
	Worker Worker
	// Load is the estimated load of the worker in requests. On model engines, a request whose
	// answer has started counts as runningWeight. LoadAge is the age of the worker's last
	// report, negative if there is none.
	Load    float64
	LoadAge time.Duration
	// CachedTokens is the estimated length of the prompt prefix that the worker has cached.
	CachedTokens int
	// Candidates is the number of workers that were compared.
	Candidates int
}

// Pick chooses the worker for a request and returns false if no worker is eligible. It
// prefers the worker that has cached the longest prefix of the prompt, as long as that
// worker's load above the least loaded worker costs less than reading the shared parts
// again, and chooses the least loaded worker otherwise. This serves loads up to the
// capacity of the workers, where reading prompts is most of their work. Above it, the
// Escalator reduces the work.
func (p *Placer) Pick(now Elapsed, q WorkerQuery, rng *rand.Rand) (Placement, bool) {
	if q.Heavy {
		p.markCascading(q.Service)
	}
	best, leastScore, candidates := p.leastLoaded(now, &q, rng)
	if best == nil {
		return Placement{}, false
	}
	cached := 0
	if len(q.Prompt) > 0 {
		allowance := float64(sharedTokens(q.Prompt)) / p.opts.TokensPerRequest
		if s, tokens := p.pickByAffinity(now, &q, leastScore+allowance); s != nil {
			best, cached = s, tokens
		}
	}
	out := Placement{Worker: best.Worker, Load: p.estimatedLoad(now, best), LoadAge: -1, CachedTokens: cached, Candidates: candidates}
	if best.hasReport {
		out.LoadAge = now - best.reportedAt
	}
	return out, true
}

// leastLoaded returns the worker with the lowest score, its score, and the number of
// workers compared. A worker with a reduced share is skipped at random in proportion,
// unless no other worker is left.
func (p *Placer) leastLoaded(now Elapsed, q *WorkerQuery, rng *rand.Rand) (*workerState, float64, int) {
	var least *workerState
	leastScore := math.Inf(1)
	candidates := 0
	for _, ignoreShare := range []bool{false, true} {
		for _, s := range p.services[q.Service] {
			if !s.eligible(q) || !ignoreShare && s.share < 1 && rng.Float64() >= s.share {
				continue
			}
			candidates++
			if score := p.score(now, s, q.Heavy) + rng.Float64()*tieBreakNoise; score < leastScore {
				least, leastScore = s, score
			}
		}
		if least != nil {
			break
		}
	}
	return least, leastScore, candidates
}

// tieBreakNoise is the range of a random addition to scores, in requests. It spreads
// requests over workers of equal load.
const tieBreakNoise = 0.1

func (s *workerState) eligible(q *WorkerQuery) bool {
	return (q.Allowed == nil || q.Allowed(s.Version)) && !slices.Contains(q.Exclude, s.ID)
}

// estimatedLoad returns the estimated load of a worker in requests, weighted as in ownLoad:
// that of this process, and that of other processes from the worker's last report. An old
// report decays to the mean of the pool, because a worker without reports is no less loaded
// than the others.
func (p *Placer) estimatedLoad(now Elapsed, s *workerState) float64 {
	foreignLoad := p.statsFor(s.Service).meanForeignLoad[s.poolIndex()]
	if s.hasReport {
		reported := max(p.reportedLoad(s)-s.ownLoadAtReport, 0)
		foreignLoad += (reported - foreignLoad) * math.Exp2(-float64(now-s.reportedAt)/float64(p.opts.ReportHalfLife))
	}
	return p.ownLoad(s) + foreignLoad
}

// score returns the estimated load of a worker with the penalties for another pool and
// another failure domain. Lower is better.
func (p *Placer) score(now Elapsed, s *workerState, heavy bool) float64 {
	score := p.estimatedLoad(now, s)
	if s.pooled && s.heavy != heavy {
		score += p.opts.PoolPenalty
	}
	if s.FailureDomain != p.opts.FailureDomain {
		score += p.opts.DomainPenalty
	}
	return score
}

// RecordStart records that a request was sent to a worker, which is then expected to cache
// the parts of its prompt.
func (p *Placer) RecordStart(now Elapsed, id, model string, prompt []PromptPart) {
	s := p.workers[id]
	if s == nil {
		return
	}
	s.inFlight++
	for _, part := range prompt {
		p.recordCached(now, partKey{part.ID, model}, s)
	}
}

// RecordLoad records the load that a worker reported in an answer.
func (p *Placer) RecordLoad(now Elapsed, id string, load Load) {
	s := p.workers[id]
	if s == nil {
		return
	}
	s.load, s.reportedAt, s.ownLoadAtReport, s.hasReport = load, now, p.ownLoad(s), true
	stats := p.statsFor(s.Service)
	reported := p.reportedLoad(s)
	stats.meanLoad[s.poolIndex()] += poolMeanGain * (reported - stats.meanLoad[s.poolIndex()])
	stats.meanForeignLoad[s.poolIndex()] += poolMeanGain * (max(reported-s.ownLoadAtReport, 0) - stats.meanForeignLoad[s.poolIndex()])
}

// poolMeanGain is the weight of one report in the mean load of a pool. The mean covers
// about twenty reports, which an instance receives within a few seconds.
const poolMeanGain = 0.05

// poolIndex returns the index of the worker's pool in poolStats: 1 for the heavy pool, 0
// otherwise.
func (s *workerState) poolIndex() int {
	if s.pooled && s.heavy {
		return 1
	}
	return 0
}

// RecordEnd records that a request to a worker has ended; answerStarted reports whether its
// answer had started.
func (p *Placer) RecordEnd(id string, answerStarted bool) {
	if s := p.workers[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
		if answerStarted && s.answering > 0 {
			s.answering--
		}
		s.answering = min(s.answering, s.inFlight)
	}
}

// RecordAnswerStart records that the answer of a request has started.
func (p *Placer) RecordAnswerStart(id string) {
	if s := p.workers[id]; s != nil && s.answering < s.inFlight {
		s.answering++
	}
}

// LoadEstimate returns the estimated load of a worker, as in Placement.Load, and the age of
// its last report, which is negative if there is none.
func (p *Placer) LoadEstimate(now Elapsed, id string) (float64, time.Duration) {
	s := p.workers[id]
	if s == nil {
		return 0, -1
	}
	if !s.hasReport {
		return p.estimatedLoad(now, s), -1
	}
	return p.estimatedLoad(now, s), now - s.reportedAt
}

// runningWeight is the load of a request whose answer has started, relative to one whose
// prompt is still to be read, on a model engine. A running answer makes each step about 2%
// longer, while a prompt delays all other requests by about ten steps. With equal weights,
// workers with many running answers and no queued prompts were passed over in favor of
// workers with a queue of prompts.
const runningWeight = 0.1

// answeringWeight returns the weight of a request whose answer has started. Only engines
// read prompts; on plain workers, all requests weigh the same.
func (p *Placer) answeringWeight(s *workerState) float64 {
	if p.statsFor(s.Service).hasCascades {
		return runningWeight
	}
	return 1
}

// reportedLoad returns the weighted load from the last report of a worker.
func (p *Placer) reportedLoad(s *workerState) float64 {
	return p.answeringWeight(s)*float64(s.load.Running) + float64(s.load.Waiting)
}

// ownLoad returns the weighted load that this process causes at a worker.
func (p *Placer) ownLoad(s *workerState) float64 {
	return float64(s.inFlight-s.answering) + p.answeringWeight(s)*float64(s.answering)
}
