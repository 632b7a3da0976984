package entry

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/retry"
	"github.com/borageflow/borageflow/internal/routing"
	"github.com/borageflow/borageflow/internal/session"
	"github.com/borageflow/borageflow/internal/usage"
)

const (
	defaultRatingSample  = 0.1
	defaultRatingTimeout = 2 * time.Second
	defaultUsageFlush    = time.Second
	// publishInterval is how often the peer exchange gets news.
	publishInterval = 500 * time.Millisecond
	// probeInterval and probesPerInterval bound probes to 4 a second: one takes
	// about 500 bytes, and the exchange needs half of the 5 KB/s of a daemon.
	probeInterval     = 250 * time.Millisecond
	probesPerInterval = 1
)

// Config configures a Core.
type Config struct {
	// Self is the member record of this instance.
	Self api.Member
	// RatingSample is the share of answers sent for rating; 0 disables rating.
	RatingSample float64
	// RatingTimeout bounds the wait for a score.
	RatingTimeout time.Duration
	// UsageBytes bounds unwritten usage records.
	UsageBytes int
	// UsageFlush is how long usage records wait to share a batch; 0 means the default.
	UsageFlush time.Duration
	// ClaimWindow is how long claims wait to share a write; 0 means the default.
	ClaimWindow time.Duration
	// ProbeAfter is the age at which a load report is refreshed; 0 means the default.
	ProbeAfter time.Duration
	// Placement configures the holder of the placement plan.
	Placement placement.HolderOptions
	// DemandEvery is the shortest time between two reports of demand; 0 means the default.
	DemandEvery time.Duration
}

// Core decides for one entry. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	snapshot *manifest.Snapshot

	customers *limits.Customers
	fleet     *routing.Fleet
	health    *membership.Health
	planner   *cascade.Planner
	rollouts  rolloutState
	placement placementState
	budgets   *retry.Budgets
	delays    map[delayKey]*retry.Delays
	book      *claims.Book
	handover  handover
	usage     *usage.Buffer
	keys      *session.Keys

	requests map[string]*request
	timers   timerHeap
	ratings  *ratingSet
	servers  map[string]routing.Server
	// known are the backend servers of all members, ready or not.
	known map[string]bool
	// witness is the address of a sidecar in another failure domain; empty means
	// that there is none.
	witness  string
	counts   counters
	draining bool
	drained  bool
	// settled states that the backend servers were found after the start, and
	// settleBy when that is assumed.
	settled  bool
	settleBy time.Time

	nextPublish time.Time
	nextProbe   time.Time
	out         []Effect
}

type delayKey struct{ class, version string }

// NewCore returns the core of one entry.
func NewCore(cfg Config, rng *rand.Rand) *Core {
	location := routing.Location{
		Instance: cfg.Self.Instance, FailureDomain: cfg.Self.FailureDomain, Region: cfg.Self.Region,
	}
	if cfg.RatingTimeout == 0 {
		cfg.RatingTimeout = defaultRatingTimeout
	}
	if cfg.UsageFlush == 0 {
		cfg.UsageFlush = defaultUsageFlush
	}
	return &Core{
		cfg: cfg, rng: rng,
		customers: limits.NewCustomers(cfg.Self.Instance),
		fleet:     routing.NewFleet(location, routing.Options{ProbeAfter: cfg.ProbeAfter}),
		health:    membership.NewHealth(membership.HealthConfig{}),
		planner:   cascade.NewPlanner(cascade.Options{}, rng),
		rollouts:  newRolloutState(cfg.Self),
		placement: newPlacementState(cfg),
		budgets:   retry.NewBudgets(retry.BudgetOptions{}),
		delays:    map[delayKey]*retry.Delays{},
		book:      claims.NewBook(cfg.Self.Instance, int64(cfg.Self.Incarnation), claims.Options{Window: cfg.ClaimWindow}),
		handover:  newHandover(),
		usage:     usage.NewBuffer(int64(cfg.Self.Incarnation), usage.Options{MaxBytes: cfg.UsageBytes, FlushEvery: cfg.UsageFlush}),
		requests:  map[string]*request{},
		ratings:   newRatingSet(),
		servers:   map[string]routing.Server{},
		counts:    newCounters(),
	}
}

// Handle applies one event and returns its effects in order. The returned slice
// is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Effect {
	c.out = c.out[:0]
	switch e := e.(type) {
	case RequestArrived:
		c.requestArrived(now, e)
	case CallerGone:
		c.callerGone(now, e.Request)
	case PartReceived:
		c.partReceived(now, e.Part)
	case AttemptEnded:
		c.attemptEnded(now, e)
	case RatingArrived:
		c.ratingArrived(now, e)
	case UsageHeld:
		c.answerHeld(now, e.Request)
	case claimEvent:
		c.claimEvent(now, e)
	default:
		c.fleetEvent(now, e)
	}
	c.tick(now)
	return c.out
}

// fleetEvent handles what is not about one request.
func (c *Core) fleetEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case SnapshotApplied:
		c.snapshotApplied(now, e.Snapshot)
	case MembersChanged:
		c.membersChanged(now, e.Members)
	case ProbeAnswered:
		c.probeAnswered(now, e)
	case PeerLeaving:
		c.peerLeaving(now, e)
	case DigestReceived:
		c.digestReceived(now, e)
	case PlacementDemandReceived, PlacementAnswered:
		c.placementReceived(now, e)
	case SessionKeysRead:
		c.sessionKeysRead(e.Value)
	default:
		c.storeEvent(now, e)
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// tick does what is due at now.
func (c *Core) tick(now time.Time) {
	c.fireTimers(now)
	c.settle(now)
	c.claimEffects(now, c.book.Handle(now, claims.Tick{}))
	c.tickHandover(now)
	c.flushUsage(now)
	c.tickRollouts(now)
	c.tickPlacement(now)
	c.ratings.expire(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probeInterval)
		c.probe(now)
	}
	if !now.Before(c.nextPublish) {
		c.nextPublish = now.Add(publishInterval)
		c.healthEvent(now, membership.HealthTick{})
		c.publish(now)
	}
	c.checkDrained()
}

// maxTickInterval bounds the time between two ticks.
const maxTickInterval = 50 * time.Millisecond

// NextTick returns when Handle wants a Tick at the latest.
func (c *Core) NextTick(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	if at, ok := c.timers.first(); ok && at.Before(next) {
		next = at
	}
	if at := c.book.NextTick(); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

func (c *Core) snapshotApplied(now time.Time, s *manifest.Snapshot) {
	if c.snapshot != nil && !manifest.Newer(s.Revision, c.snapshot.Revision) {
		return
	}
	c.snapshot = s
	c.customers.Apply(s)
	c.planner.Configure(s)
	c.applyRollouts(now)
	c.applyPlacement(now)
	c.budgets.Keep(func(customer string) bool {
		_, ok := s.Customer(customer)
		return ok
	})
	c.emit(Trace{api.TraceRecord{Event: api.TraceEventConfig, Reason: revisionText(s.Revision)}})
}

// Ready reports whether new requests can be served, and why not.
func (c *Core) Ready() (bool, string) {
	switch {
	case c.draining:
		return false, "instance is leaving"
	case c.snapshot == nil:
		return false, "no manifest is in force"
	case len(c.servers) == 0:
		return false, "no backend server is known"
	case !c.settled:
		return false, "backend servers are being found"
	default:
		return true, ""
	}
}

// settleLimit bounds the time that a starting entry waits for a backend server of
// every version and service; some may have none.
const settleLimit = 2 * time.Second

// settle lets a starting entry become ready when a backend server is known for
// everything that the manifest offers.
func (c *Core) settle(now time.Time) {
	if c.settled || c.snapshot == nil || len(c.servers) == 0 {
		return
	}
	if c.settleBy.IsZero() {
		c.settleBy = now.Add(settleLimit)
	}
	c.settled = c.servesAll() || !now.Before(c.settleBy)
}

func (c *Core) servesAll() bool {
	for _, m := range c.snapshot.Manifest.Models {
		for _, v := range m.Versions {
			if v.Phase != api.PhaseWithdrawn && !c.fleet.Serves(v.Name) {
				return false
			}
		}
	}
	for _, s := range c.snapshot.Manifest.Services {
		if !c.fleet.ServesService(s.Name) {
			return false
		}
	}
	return true
}

// checkDrained reports once that every request has ended and everything that
// must last is written.
func (c *Core) checkDrained() {
	if !c.draining || c.drained {
		return
	}
	if len(c.requests) > 0 || c.usage.Records() > 0 || c.book.Unwritten() > 0 || c.handover.open() {
		return
	}
	c.drained = true
	c.emit(Drained{})
}
