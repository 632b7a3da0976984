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
	defaultRatingSampleRate   = 0.1
	defaultRatingTimeout      = 2 * time.Second
	defaultUsageFlushInterval = time.Second
	// publishInterval is the time between two regular Publish effects.
	publishInterval = 500 * time.Millisecond
	// probeInterval and maxProbesPerInterval limit probes to 4 per second: a
	// probe takes about 500 bytes, and the peer exchange needs half of the 5
	// KB/s of control traffic that a daemon may use.
	probeInterval        = 250 * time.Millisecond
	maxProbesPerInterval = 1
)

// Config configures a Core.
type Config struct {
	// Self is the member record of this instance.
	Self api.Member
	// RatingSampleRate is the share of answers sent to the rating service, from 0
	// to 1; 0 disables rating.
	RatingSampleRate float64
	// RatingTimeout bounds the wait for a score; 0 means 2 s.
	RatingTimeout time.Duration
	// MaxUsageBytes bounds the size of unwritten usage records, in bytes.
	MaxUsageBytes int
	// UsageFlushInterval is how long usage records wait to be written in one batch; 0
	// means 1 s.
	UsageFlushInterval time.Duration
	// ClaimBatchDelay is how long claims wait to be written in one batch; 0 means
	// the default of package claims.
	ClaimBatchDelay time.Duration
	// ProbeAfter is the age at which a load report is refreshed by a probe; 0
	// means the default of package routing.
	ProbeAfter time.Duration
	// Placement configures the holder of the placement plan.
	Placement placement.HolderOptions
	// DemandInterval is the shortest time between two demand reports; 0 means 5 s.
	DemandInterval time.Duration
}

// Core is the state machine of one entry: it routes requests, retries them and
// tracks their usage. It does no I/O and reads no clock. It is not safe for
// concurrent use.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	snapshot *manifest.Snapshot

	customerLimiter *limits.CustomerLimiter
	fleet           *routing.Fleet
	health          *membership.HealthTracker
	planner         *cascade.Planner
	rollouts        rolloutState
	placement       placementState
	retryBudgets    *retry.Budgets
	// hedgeDelays holds the observed response times from which hedge delays are
	// computed.
	hedgeDelays map[hedgeDelayKey]*retry.HedgeDelayEstimator
	claims      *claims.StateMachine
	forwarding  claimForwarding
	usage       *usage.Buffer
	keys        *session.KeySet

	requests map[string]*request
	timers   timerHeap
	ratings  *pendingRatings
	servers  map[string]routing.Server
	// knownServers are the names of the backend servers of all members, ready
	// or not.
	knownServers map[string]bool
	// usageReplica is the address of a sidecar in another failure domain that
	// keeps copies of usage records; empty means that there is none.
	usageReplica string
	counts       counters
	leaving      leaving
	draining     bool
	// drained states that Drained was emitted.
	drained bool
	// startupDone states that backend servers were found for everything in the
	// manifest after the start, or that startupDeadline has passed.
	startupDone     bool
	startupDeadline time.Time

	nextPublish time.Time
	nextProbe   time.Time
	// effects is the result of the current Handle call; its memory is reused.
	effects []Effect
}

// hedgeDelayKey names a class and a version, or a service operation as
// "service/operation".
type hedgeDelayKey struct{ class, version string }

// NewCore returns the core of one entry. rng supplies all its random choices.
func NewCore(cfg Config, rng *rand.Rand) *Core {
	location := routing.Location{
		Instance: cfg.Self.Instance, FailureDomain: cfg.Self.FailureDomain, Region: cfg.Self.Region,
	}
	if cfg.RatingTimeout == 0 {
		cfg.RatingTimeout = defaultRatingTimeout
	}
	if cfg.UsageFlushInterval == 0 {
		cfg.UsageFlushInterval = defaultUsageFlushInterval
	}
	return &Core{
		cfg: cfg, rng: rng,
		customerLimiter: limits.NewCustomerLimiter(cfg.Self.Instance),
		fleet:           routing.NewFleet(location, routing.Options{ProbeAfter: cfg.ProbeAfter}),
		health:          membership.NewHealthTracker(membership.HealthConfig{}),
		planner:         cascade.NewPlanner(cascade.Options{}, rng),
		rollouts:        newRolloutState(cfg.Self),
		placement:       newPlacementState(cfg),
		retryBudgets:    retry.NewBudgets(retry.BudgetOptions{}),
		hedgeDelays:     map[hedgeDelayKey]*retry.HedgeDelayEstimator{},
		claims:          claims.NewStateMachine(cfg.Self.Instance, int64(cfg.Self.Incarnation), claims.Options{ClaimBatchDelay: cfg.ClaimBatchDelay}),
		forwarding:      newClaimForwarding(),
		usage:           usage.NewBuffer(int64(cfg.Self.Incarnation), usage.Options{MaxBytes: cfg.MaxUsageBytes, FlushInterval: cfg.UsageFlushInterval}),
		requests:        map[string]*request{},
		ratings:         newPendingRatings(),
		servers:         map[string]routing.Server{},
		counts:          newCounters(),
	}
}

// Handle applies one event and returns its effects in order. The returned slice
// is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Effect {
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case RequestArrived:
		c.handleRequestArrived(now, e)
	case CallerDisconnected:
		c.handleCallerDisconnected(now, e.Request)
	case PartReceived:
		c.handlePartReceived(now, e.Part)
	case AttemptEnded:
		c.handleAttemptEnded(now, e)
	case RatingReceived:
		c.handleRatingReceived(now, e)
	case UsageReplicated:
		c.sendDeferredAnswer(now, e.Request)
	case claimEvent:
		c.handleClaimEvent(now, e)
	default:
		c.handleFleetEvent(now, e)
	}
	c.tick(now)
	return c.effects
}

// handleFleetEvent handles events that do not belong to one request.
func (c *Core) handleFleetEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case SnapshotApplied:
		c.handleSnapshotApplied(now, e.Snapshot)
	case MembersChanged:
		c.handleMembersChanged(now, e.Members)
	case ProbeAnswered:
		c.handleProbeAnswered(now, e)
	case PeerLeaving:
		c.handlePeerLeaving(now, e)
	case DigestReceived:
		c.handleDigestReceived(now, e)
	case PlacementDemandReceived, PlacementOrderAnswered:
		c.handlePlacementMessage(now, e)
	case SessionKeysRead:
		c.handleSessionKeysRead(e.Value)
	default:
		c.handleStoreEvent(now, e)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// tick runs all periodic work that is due at now.
func (c *Core) tick(now time.Time) {
	c.fireTimers(now)
	c.checkStartup(now)
	c.answerWhenLeaving(now)
	c.applyClaimEffects(now, c.claims.Handle(now, claims.Tick{}))
	c.tickClaimForwarding(now)
	c.flushUsage(now)
	c.tickRollouts(now)
	c.tickPlacement(now)
	c.ratings.expire(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probeInterval)
		c.sendProbes(now)
	}
	if !now.Before(c.nextPublish) {
		c.nextPublish = now.Add(publishInterval)
		c.handleHealthEvent(now, membership.HealthTick{})
		c.publish(now)
	}
	c.checkDrained()
}

const maxTickInterval = 50 * time.Millisecond

// NextTick returns the time by which the caller has to pass the next Tick to
// Handle, at most maxTickInterval after now.
func (c *Core) NextTick(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	if at, ok := c.timers.earliest(); ok && at.Before(next) {
		next = at
	}
	if at := c.claims.NextTick(); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// handleSnapshotApplied applies a manifest whose revision is newer than the
// current one.
func (c *Core) handleSnapshotApplied(now time.Time, s *manifest.Snapshot) {
	if c.snapshot != nil && !manifest.IsNewer(s.Revision, c.snapshot.Revision) {
		return
	}
	c.snapshot = s
	c.customerLimiter.ApplySnapshot(s)
	c.planner.Configure(s)
	c.applyRollouts(now)
	c.applyPlacement(now)
	c.retryBudgets.Retain(func(customer string) bool {
		_, ok := s.Customer(customer)
		return ok
	})
	c.emit(Trace{api.TraceRecord{Event: api.TraceEventConfig, Reason: revisionText(s.Revision)}})
}

// Ready reports whether new requests can be served and, if not, the reason.
func (c *Core) Ready() (bool, string) {
	switch {
	case c.draining:
		return false, "instance is leaving"
	case c.snapshot == nil:
		return false, "no manifest is in force"
	case len(c.servers) == 0:
		return false, "no backend server is ready"
	case !c.startupDone:
		return false, "waiting for a backend server for every version and service"
	default:
		return true, ""
	}
}

// startupTimeout bounds the time that a starting entry waits for a backend
// server of every version and service. It is bounded because some may have no
// server.
const startupTimeout = 2 * time.Second

// checkStartup marks the start as complete once a backend server is known for
// everything in the manifest, or after startupTimeout.
func (c *Core) checkStartup(now time.Time) {
	if c.startupDone || c.snapshot == nil || len(c.servers) == 0 {
		return
	}
	if c.startupDeadline.IsZero() {
		c.startupDeadline = now.Add(startupTimeout)
	}
	c.startupDone = c.manifestFullyServed() || !now.Before(c.startupDeadline)
}

// manifestFullyServed reports whether every service and every version that is
// not withdrawn has a backend server.
func (c *Core) manifestFullyServed() bool {
	for _, m := range c.snapshot.Manifest.Models {
		for _, v := range m.Versions {
			if v.Phase != api.PhaseWithdrawn && !c.fleet.ServesVersion(v.Name) {
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

// checkDrained emits Drained once, when all requests have ended and all usage
// records, claims and claim ends are written.
func (c *Core) checkDrained() {
	if !c.draining || c.drained {
		return
	}
	if len(c.requests) > 0 || c.usage.RecordCount() > 0 || c.claims.PendingCount() > 0 || c.forwarding.hasPending() {
		return
	}
	c.drained = true
	c.emit(Drained{})
}
