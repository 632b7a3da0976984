package forward

import (
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
	// Leaving is what leaving the failure domain costs, where it is weighed: for services whose workers
	// state how long work takes, and for all services if LeavingIsSet.
	Leaving      LeavingCost
	LeavingIsSet bool
	// PoolPenalty is added to the score of workers of the other pool, in requests. With a
	// penalty of 4, prompts queued in one pool while the other had no queue.
	PoolPenalty float64
	// ReportHalfLife is the age at which a worker's report of the load of other processes
	// has half its weight.
	ReportHalfLife time.Duration
	// TokensPerWork is the number of prompt tokens that count as one request in the load of
	// a worker.
	TokensPerWork float64
	// MinGateways is the least number of gateways to reckon with while they are not known.
	MinGateways int
	// PeerLoadTTL is how long the load that other processes state is used.
	PeerLoadTTL time.Duration
	// EstimateWaits makes Outlook state waits also for services whose workers do not state how long work
	// takes.
	EstimateWaits bool
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
	if o.Leaving == (LeavingCost{}) {
		o.Leaving = LeavingCost{PerMegabyte: defaultLeavingPerMegabyte, PerRoundTrip: defaultLeavingPerRoundTrip}
	}
	if o.PoolPenalty == 0 {
		o.PoolPenalty = 2
	}
	if o.TokensPerWork == 0 {
		o.TokensPerWork = 4000
	}
	if o.PeerLoadTTL == 0 {
		o.PeerLoadTTL = 2 * time.Second
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
	// notices holds what workers asked for, by ID, and demands the requests for each service.
	notices map[string]*notice
	demands map[string]*demand
	// former holds the start of workers that were in use, by ID.
	former *lru.LRU[string, int64]
	// gateways is the number of gateways that exchange their demands, this one included, as of
	// gatewaysAt.
	gateways   int
	gatewaysAt Elapsed
	// firstExchangeAt is the time of the first exchange.
	firstExchangeAt Elapsed
	// mostGateways is the largest number of gateways that was known within mostGatewaysTime, and mostForRetries
	// within retryGatewaysTime.
	mostGateways, mostForRetries mostKnown
	// coldStarts holds the behavior of cold workers by service.
	coldStarts map[string]ColdStart
	// evacuated are the failure domains whose workers get no new requests.
	evacuated []string
	cache     *lru.LRU[partKey, *[maxHoldersPerPart]partHolder]
	// reuse is the share of the requests whose shared part this process sent to a worker before.
	reuse map[reuseKey]*reuse
	// urgent holds the most urgent requests by service.
	urgent map[string]UrgentRequests
	// peers is the number of processes whose loads are exchanged, this one included, as of
	// peersAt. peerInterval is the time between the last two exchanges.
	peers        int
	peersAt      Elapsed
	peerInterval time.Duration
	// candidates is reused between calls.
	candidates []scoredWorker
}

// workerState is a worker with its load as seen by this process.
type workerState struct {
	Worker
	hash      uint64
	stats     *poolStats // those of the worker's service
	notice    *notice    // nil if the worker asked for nothing and was never cold
	evacuated bool       // the worker's failure domain is evacuated
	pooled    bool       // the worker belongs to one of two pools
	heavy     bool       // the pool of the larger models
	answering int        // requests of this process whose answer has started
	// inFlight is the number of the requests of this process, and tokens those that they hold.
	inFlight int
	tokens   float64
	speed    workerSpeed
	// unreadWork is the work of the other requests of this process, in requests.
	unreadWork float64
	// peerLoad is the load that other processes cause, as of peerLoadAt.
	peerLoad    float64
	peerLoadAt  Elapsed
	hasPeerLoad bool
	// failures is the number of requests without an answer, decayed as of failedAt.
	failures float64
	failedAt Elapsed
	// peerFailures are those of the other processes, as of peerFailuresAt.
	peerFailures    float64
	peerFailuresAt  Elapsed
	share           float64
	load            Load
	reportedAt      Elapsed
	ownLoadAtReport float64
	// inFlightAtReport is inFlight at the time of the report.
	inFlightAtReport int
	// logPace is the logarithm of the pace of the report.
	logPace   float64
	hasReport bool
}

// NewPlacer returns a Placer without workers.
func NewPlacer(o PlacerOptions) *Placer {
	cache, err := lru.NewLRU[partKey, *[maxHoldersPerPart]partHolder](maxCachedParts, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	former, err := lru.NewLRU[string, int64](maxNotices, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Placer{
		opts: o.withDefaults(), workers: map[string]*workerState{}, services: map[string][]*workerState{}, pools: map[string]*poolStats{}, cache: cache,
		notices: map[string]*notice{}, former: former, demands: map[string]*demand{}, reuse: map[reuseKey]*reuse{},
	}
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
		s.Worker, s.stats = w, p.statsFor(w.Service)
		s.evacuated = slices.Contains(p.evacuated, w.FailureDomain)
		p.attachNotice(s)
		next[w.ID] = s
		p.services[w.Service] = append(p.services[w.Service], s)
	}
	p.rememberFormer(next)
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
	// Route is the name of the route, and Priority the priority of the request; 0 is the most urgent.
	Route    string
	Priority int
	// TargetLeft is the time until the latency target of the request; 0 if it has none or it has passed.
	TargetLeft time.Duration
	// Bytes is the length of the request and its answer, as far as it is known.
	Bytes int
	// IsPinned is set if Allowed keeps the request to the version of its session.
	IsPinned bool
	// IgnoreCold makes NextTurn pass over workers that get no request because they are cold.
	IgnoreCold bool
	// leaving holds the terms for leaving the failure domain; nil where it is not weighed.
	leaving *leavingTerms
	// limitShare is this gateway's share of the limits of the service's workers, and coldShare that of
	// the rates of cold ones. The Placer sets them.
	limitShare, coldShare float64
	// isQuestion is set for a request that is only explained: the caches keep their order.
	isQuestion bool
	// work is the work of the request beyond its shared parts, and tokens those that it holds at a worker.
	// The Placer sets them.
	work, tokens float64
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
	// LeftFor is why the worker is in another failure domain, StaysHome if it is not.
	LeftFor LeavingCause
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
	p.demandFor(q.Service).add(now)
	c := p.choose(now, &q, rng)
	if c.worker == nil {
		return Placement{}, false
	}
	p.recordPressure(now, &q)
	if len(q.Prompt) > 0 {
		p.recordReuse(now, &q)
	}
	return p.placement(now, &c), true
}

// choice is a chosen worker, nil if there is none, and what it was chosen for.
type choice struct {
	worker       *workerState
	cachedTokens int
	candidates   int
	leftFor      LeavingCause
}

// choose chooses the worker for a request. It records nothing.
func (p *Placer) choose(now Elapsed, q *WorkerQuery, rng *rand.Rand) choice {
	q.limitShare, q.coldShare = p.limitShare(now, q.Service), p.coldShare(now, q.Service)
	if p.reportsPace(q.Service) {
		q.setSize(p)
	}
	q.leaving = p.termsOfLeaving(now, q)
	best, leastScore, candidates := p.leastLoaded(now, q, rng)
	if best == nil {
		return choice{}
	}
	p.setPressure(now, q)
	out := choice{worker: best, candidates: candidates, leftFor: p.causeOfLeast(now, best, q)}
	if len(q.Prompt) > 0 {
		allowance := float64(sharedTokens(q.Prompt)) / p.opts.TokensPerRequest
		if s, tokens := p.pickByAffinity(now, q, best, leastScore+allowance); s != nil {
			if s != best && out.leftFor.isChosen() {
				out.leftFor = p.causeOfAffinity(s, tokens)
			}
			out.worker, out.cachedTokens = s, tokens
		}
	}
	return out
}

func (p *Placer) placement(now Elapsed, c *choice) Placement {
	out := Placement{Worker: c.worker.Worker, Load: p.estimatedLoad(now, c.worker), LoadAge: -1, CachedTokens: c.cachedTokens, Candidates: c.candidates, LeftFor: c.leftFor}
	if c.worker.hasReport {
		out.LoadAge = now - c.worker.reportedAt
	}
	return out
}
