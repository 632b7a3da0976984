package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/usage"
)

const (
	// configFetchTimeout bounds the wait for the newer manifest of an entry.
	configFetchTimeout = time.Second
	// stallThreshold is the gap between two events that makes this process count as
	// paused. Its manifest and the attempts that wait in its sockets may then be out of
	// date, so nothing starts until a peer confirms the manifest.
	stallThreshold = time.Second
	// maxFailedLoadReads is the number of consecutive failed load reads that makes the
	// backend server count as not ready.
	maxFailedLoadReads = 3
	// maxFinishedAttempts is the number of ended attempts that are remembered, so that
	// duplicates are refused.
	maxFinishedAttempts = 4096
	// maxRecentKeys is the number of idempotency keys that are remembered.
	maxRecentKeys = 16384
	// drainRetryAfter is the retry delay sent with refusals while draining: another
	// backend server can take the request at once.
	drainRetryAfter = 0
)

// Config configures a Core.
type Config struct {
	// Self is the initial member record. NewCore sets its state, slots, backend server
	// and service.
	Self api.Member
	// Backend is the backend server beside this process.
	Backend api.Backend
	// MaxQueued bounds the attempts in the queue; 0 means 256.
	MaxQueued int
	// UsageConfirmTimeout is how long a usage record waits for the entry's confirmation
	// before this process writes the record itself; 0 means 10 s.
	UsageConfirmTimeout time.Duration
	// MaxUsageBytes bounds the size of the unwritten usage records; 0 means 8 MiB.
	MaxUsageBytes int
}

// Core holds the state of one sidecar and makes its decisions. It has no clock and no
// connections of its own, and is not safe for concurrent use.
type Core struct {
	cfg                Config
	self               api.Member
	snapshot           *manifest.Snapshot
	queue              *limits.FairQueue
	concurrencyLimiter *limits.ConcurrencyLimiter
	runningAttempts    int
	// attempts holds the queued and the running attempts.
	attempts map[attemptID]*attempt
	// awaitingConfig holds the attempts of entries with a newer manifest.
	awaitingConfig   map[attemptID]*attempt
	finishedAttempts *recentSet[attemptID]
	recentKeys       *recentSet[string]
	unconfirmedUsage *usage.UnconfirmedRecords
	load             api.LoadReport
	loadReadAt       time.Time
	failedLoadReads  int
	drain            drainState
	drainStartedAt   time.Time
	closeOrder       closeOrder
	lastEventAt      time.Time
	// manifestUnconfirmed is set after a pause of this process until a peer confirms
	// that the manifest is current.
	manifestUnconfirmed bool
}

type drainState int

const (
	drainNone drainState = iota
	drainWaiting
	drainDone
)

type attemptID struct {
	request string
	attempt int
}

// attempt is the state of one attempt from its arrival to its result.
type attempt struct {
	id           attemptID
	link         LinkID
	linkClosed   bool
	params       api.RunParams
	arrivedAt    time.Time
	deadline     time.Time
	startedAt    time.Time
	firstTokenAt time.Time
	running      bool
	canceled     bool
	lastSequence int
	outputTokens int
	text         []byte
	// usageReserved is set while the usage buffer has space reserved for the attempt.
	usageReserved bool
	// ownsKey is set when this attempt added its idempotency key to recentKeys. Only
	// then does its refusal remove the key.
	ownsKey bool
}

// NewCore returns a Core with defaults for the zero fields of cfg. The random source is
// not used yet; random decisions must draw from it, so that a replay is deterministic.
func NewCore(cfg Config, _ *rand.Rand) *Core {
	if cfg.Backend.Slots == 0 {
		cfg.Backend.Slots = defaultSlots
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	cfg.Self.State = api.MemberStateBooting
	cfg.Self.Slots = cfg.Backend.Slots
	cfg.Self.BackendServer = cfg.Backend.Name
	cfg.Self.Service = cfg.Backend.Service
	if cfg.UsageConfirmTimeout == 0 {
		cfg.UsageConfirmTimeout = defaultUsageConfirmTimeout
	}
	return &Core{
		cfg: cfg, self: cfg.Self,
		queue:              limits.NewFairQueue(limits.FairQueueOptions{Bound: cfg.MaxQueued}),
		concurrencyLimiter: limits.NewConcurrencyLimiter(limits.ConcurrencyLimiterOptions{Slots: cfg.Backend.Slots}),
		attempts:           map[attemptID]*attempt{}, awaitingConfig: map[attemptID]*attempt{},
		finishedAttempts: newRecentSet[attemptID](maxFinishedAttempts),
		recentKeys:       newRecentSet[string](maxRecentKeys),
		unconfirmedUsage: usage.NewUnconfirmedRecords(int64(cfg.Self.Incarnation), cfg.UsageConfirmTimeout, usage.Options{MaxBytes: cfg.MaxUsageBytes}),
	}
}

const (
	defaultSlots     = 16
	defaultMaxQueued = 256
)

// Member returns the current member record of this process.
func (c *Core) Member() api.Member { return c.self }

// Handle processes one event, then everything that is due at now, and returns the
// effects in the order in which they must be carried out.
func (c *Core) Handle(now time.Time, e Event) []Effect {
	out := c.detectStall(now)
	out = append(out, c.handle(now, e)...)
	return append(out, c.tick(now)...)
}

func (c *Core) handle(now time.Time, e Event) []Effect {
	var out []Effect
	switch e := e.(type) {
	case SnapshotApplied:
		out = c.snapshotApplied(now, e.Snapshot)
	case ConfigConfirmed:
		c.manifestUnconfirmed = false
		out = c.refreshState()
	case RunRequested:
		out = c.runRequested(now, e)
	case CancelRequested:
		out = c.cancelRequested(attemptID{e.Request, e.Attempt})
	case LinkClosed:
		out = c.linkClosed(e.Link)
	case BackendPart:
		out = c.backendPart(now, e)
	case BackendEnded:
		out = c.backendEnded(now, e)
	case BackendLoad:
		out = c.backendLoad(now, e)
	case DrainStarted:
		out = c.drainStarted(now)
	case EntriesChanged:
		c.entriesChanged(e.ReadyEntries)
	case UsageConfirmed:
		c.unconfirmedUsage.Confirm(e.Params)
	case UsageReplicaReceived:
		out = c.storeUsageReplica(now, e)
	case UsageWritten:
		c.unconfirmedUsage.HandleWriteResult(now, e.ObjectKey, usage.WriteOutcomeFromError(e.Err))
	default:
		out = c.handleVersionEvent(e)
	}
	return out
}

// detectStall checks for a pause of this process. After a pause it refuses all attempts
// that have not started and requests a confirmation of the manifest.
func (c *Core) detectStall(now time.Time) []Effect {
	stalled := !c.lastEventAt.IsZero() && now.Sub(c.lastEventAt) > stallThreshold
	c.lastEventAt = now
	if !stalled {
		return nil
	}
	c.manifestUnconfirmed = true
	out := append(c.refreshState(), ConfirmConfig{})
	for _, a := range sortedAttempts(c.attempts, c.awaitingConfig) {
		if !a.running {
			c.queue.Remove(queueID(a.id))
			out = append(out, c.refuse(a, errPaused())...)
		}
	}
	return out
}

func errPaused() *errkind.Error {
	return errkind.New(errkind.NotReady, "instance was paused and its manifest is not confirmed yet")
}

// tick refuses attempts that waited too long, starts queued attempts, flushes usage
// records, and reports closed versions and the end of the drain.
func (c *Core) tick(now time.Time) []Effect {
	out := c.expireAwaitingConfig(now)
	out = append(out, c.startQueued(now)...)
	out = append(out, c.flushUsage(now)...)
	out = append(out, c.checkVersionsClosed()...)
	return append(out, c.checkDrained(now)...)
}

// snapshotApplied puts a newer manifest in force and admits the attempts that waited
// for it.
func (c *Core) snapshotApplied(now time.Time, s *manifest.Snapshot) []Effect {
	if c.snapshot != nil && !manifest.IsNewer(s.Revision, c.snapshot.Revision) {
		return nil
	}
	c.snapshot = s
	out := c.refreshState()
	for _, a := range sortedAttempts(c.awaitingConfig) {
		if manifest.IsNewer(a.params.Revision, s.Revision) {
			continue
		}
		delete(c.awaitingConfig, a.id)
		out = append(out, c.admit(now, a)...)
	}
	return out
}

// runRequested checks an attempt: first the state of this instance, then the revision
// of the entry's manifest, then everything in admit.
func (c *Core) runRequested(now time.Time, e RunRequested) []Effect {
	a := &attempt{
		id: attemptID{e.Params.Request, e.Params.Attempt}, link: e.Link, params: e.Params, arrivedAt: now,
		deadline: now.Add(time.Duration(e.Params.DeadlineMs) * time.Millisecond),
	}
	if err := c.checkInstance(a); err != nil {
		return c.refuse(a, err)
	}
	if c.snapshot == nil || manifest.IsNewer(a.params.Revision, c.snapshot.Revision) {
		c.awaitingConfig[a.id] = a
		return []Effect{FetchConfig{Link: e.Link}}
	}
	return c.admit(now, a)
}

// checkInstance checks everything that does not depend on the manifest.
func (c *Core) checkInstance(a *attempt) *errkind.Error {
	if c.drain != drainNone {
		return errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(drainRetryAfter)
	}
	if a.params.Incarnation != c.self.Incarnation {
		return errkind.New(errkind.StaleIncarnation, "attempt names another incarnation of this instance")
	}
	if c.manifestUnconfirmed {
		return errPaused()
	}
	if c.wasReceived(a.id) {
		return errkind.New(errkind.DuplicateUnknown, "attempt was already received")
	}
	return nil
}

func (c *Core) wasReceived(id attemptID) bool {
	if _, ok := c.attempts[id]; ok {
		return true
	}
	if _, ok := c.awaitingConfig[id]; ok {
		return true
	}
	return c.finishedAttempts.has(id)
}

// admit checks an attempt against this process's own manifest, reserves its idempotency
// key and its usage space, and queues it.
func (c *Core) admit(now time.Time, a *attempt) []Effect {
	if manifest.IsNewer(c.snapshot.Revision, a.params.Revision) {
		return c.refuseStaleRevision(a)
	}
	if err := c.checkManifest(a); err != nil {
		return c.refuse(a, err)
	}
	if c.self.State != api.MemberStateReady {
		return c.refuse(a, errkind.New(errkind.NotReady, "backend server is not ready"))
	}
	if err := c.reserveIdempotencyKey(a); err != nil {
		return c.refuse(a, err)
	}
	if err := c.unconfirmedUsage.Reserve(); err != nil {
		return c.refuse(a, err)
	}
	if err := c.queue.Push(now, c.queueItem(a)); err != nil {
		c.unconfirmedUsage.CancelReservation()
		return c.refuse(a, err)
	}
	a.usageReserved = true
	c.attempts[a.id] = a
	return nil
}

// refuseStaleRevision refuses an attempt of an entry with an older manifest and sends
// the newer manifest with the result.
func (c *Core) refuseStaleRevision(a *attempt) []Effect {
	result := c.errorResult(a, errkind.New(errkind.StaleRevision, "manifest of the entry is older than the one of this instance"))
	result.Config = &api.ConfigOffer{Revision: c.snapshot.Revision, Manifest: c.snapshot.Raw}
	return []Effect{SendResult{Link: a.link, Result: result}}
}

// checkManifest checks whether the manifest in force allows the attempt and whether the
// backend server serves its version. It runs on admission and again before the start.
func (c *Core) checkManifest(a *attempt) *errkind.Error {
	p := a.params
	if p.Kind == api.RunKindService {
		return c.checkService(p)
	}
	version, ok := c.snapshot.Version(p.Version)
	if !ok {
		return errkind.New(errkind.UnknownModel, "version "+p.Version+" does not exist")
	}
	if !c.snapshot.AllowsVersion(p.Customer, p.Version) {
		return errkind.New(errkind.ForbiddenVersion, "customer may not use version "+p.Version)
	}
	if version.Phase == api.PhaseWithdrawn {
		return errkind.New(errkind.VersionWithdrawn, "version "+p.Version+" is withdrawn")
	}
	if !c.servesVersion(p.Version) {
		return errkind.New(errkind.NoCandidate, "backend server does not serve version "+p.Version)
	}
	return nil
}

func (c *Core) checkService(p api.RunParams) *errkind.Error {
	if !c.snapshot.AllowsService(p.Customer, p.Service) {
		return errkind.New(errkind.ForbiddenVersion, "customer may not call service "+p.Service)
	}
	operation, ok := c.snapshot.Operation(p.Service, p.Operation)
	if !ok {
		return errkind.New(errkind.UnknownModel, "service "+p.Service+" has no operation "+p.Operation)
	}
	if c.cfg.Backend.Service != p.Service {
		return errkind.New(errkind.NoCandidate, "backend server does not run service "+p.Service)
	}
	if !operation.Idempotent && p.IdempotencyKey == "" {
		return errkind.New(errkind.InvalidRequest, "operation "+p.Operation+" needs an idempotency key")
	}
	return nil
}

// reserveIdempotencyKey refuses a non-idempotent call whose idempotency key was used
// before, and remembers the key otherwise. This is the second barrier against running
// a call twice; the claims in the store are the first.
func (c *Core) reserveIdempotencyKey(a *attempt) *errkind.Error {
	if a.params.Kind != api.RunKindService || a.params.Idempotent {
		return nil
	}
	if c.recentKeys.has(scopedKey(a.params)) {
		return errkind.New(errkind.DuplicateUnknown, "idempotency key was already used")
	}
	c.recentKeys.add(scopedKey(a.params))
	a.ownsKey = true
	return nil
}

// scopedKey returns the idempotency key of a call together with its customer, service
// and operation, since keys are unique only within these.
func scopedKey(p api.RunParams) string {
	return p.Customer + "\x00" + p.Service + "\x00" + p.Operation + "\x00" + p.IdempotencyKey
}

func (c *Core) servesVersion(version string) bool {
	for _, v := range c.self.Versions {
		if v == version {
			return true
		}
	}
	return false
}
