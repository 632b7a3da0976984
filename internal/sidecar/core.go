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
	// configFetchTimeout bounds the wait for the higher manifest of an entry.
	configFetchTimeout = time.Second
	// stallLimit is the time between two events after which this process may have
	// been paused. Its manifest may then be old, and so may the attempts that wait
	// in its sockets, so nothing starts until a peer confirms the manifest.
	stallLimit = time.Second
	// loadReportLimit is the number of failed load reads after which the backend
	// server counts as not ready.
	loadReportLimit = 3
	// finishedMemory is the number of ended attempts remembered to refuse repeats.
	finishedMemory = 4096
	// keyMemory is the number of recent idempotency keys remembered.
	keyMemory = 16384
	// retryAfterDrain is the advice to an entry of a leaving instance: another
	// backend server can take the request at once.
	retryAfterDrain = 0
)

// Config configures a Core.
type Config struct {
	// Self is the member record at start; its state is booting.
	Self api.Member
	// Backend is the backend server beside this process.
	Backend api.Backend
	// Queue bounds waiting attempts.
	Queue int
	// UsageConfirm is how long usage records wait for the entry's confirmation.
	UsageConfirm time.Duration
	// UsageBytes bounds unwritten usage records.
	UsageBytes int
}

// Core decides for one sidecar. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	self     api.Member
	snapshot *manifest.Snapshot
	queue    *limits.FairQueue
	engine   *limits.Concurrency
	running  int
	attempts map[attemptID]*attempt
	waiting  map[attemptID]*attempt
	finished *recentSet[attemptID]
	keys     *recentSet[string]
	usage    *usage.Unconfirmed
	load     api.LoadReport
	loadAt   time.Time
	loadMiss int
	drain    drainState
	closing  closing
	lastAt   time.Time
	// unconfirmed is set after a stall until a peer confirms the manifest.
	unconfirmed bool
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

// attempt is one attempt from its arrival to its result.
type attempt struct {
	id       attemptID
	link     LinkID
	linkGone bool
	params   api.RunParams
	arrived  time.Time
	deadline time.Time
	started  time.Time
	first    time.Time
	running  bool
	canceled bool
	sequence int
	tokens   int
	text     []byte
	// reserved states that the usage buffer holds room for the attempt.
	reserved bool
}

// NewCore returns the core of one sidecar. The random source is reserved for
// decisions that need one, so that replay stays deterministic.
func NewCore(cfg Config, _ *rand.Rand) *Core {
	if cfg.Backend.Slots == 0 {
		cfg.Backend.Slots = defaultSlots
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	cfg.Self.State = api.MemberStateBooting
	cfg.Self.Slots = cfg.Backend.Slots
	cfg.Self.BackendServer = cfg.Backend.Name
	cfg.Self.Service = cfg.Backend.Service
	if cfg.UsageConfirm == 0 {
		cfg.UsageConfirm = defaultUsageConfirm
	}
	return &Core{
		cfg: cfg, self: cfg.Self,
		queue:    limits.NewFairQueue(limits.Options{Bound: cfg.Queue}),
		engine:   limits.NewConcurrency(limits.ConcurrencyOptions{Slots: cfg.Backend.Slots}),
		attempts: map[attemptID]*attempt{}, waiting: map[attemptID]*attempt{},
		finished: newRecentSet[attemptID](finishedMemory),
		keys:     newRecentSet[string](keyMemory),
		usage:    usage.NewUnconfirmed(int64(cfg.Self.Incarnation), cfg.UsageConfirm, usage.Options{MaxBytes: cfg.UsageBytes}),
	}
}

const (
	defaultSlots = 16
	defaultQueue = 256
)

// Member returns what this process says of itself.
func (c *Core) Member() api.Member { return c.self }

// Handle applies one event at a time and returns its effects in order.
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
		c.unconfirmed = false
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
		out = c.drainStarted()
	case EntriesChanged:
		c.entriesChanged(e.Entries)
	case UsageConfirmed:
		c.usage.Confirm(e.Confirm)
	case UsageHeld:
		out = c.usageHeld(now, e)
	case UsageWritten:
		c.usage.WriteResult(now, e.Key, usage.OutcomeOf(e.Err))
	default:
		out = c.closingEvent(e)
	}
	return out
}

// detectStall refuses what waits after a pause of this process.
func (c *Core) detectStall(now time.Time) []Effect {
	stalled := !c.lastAt.IsZero() && now.Sub(c.lastAt) > stallLimit
	c.lastAt = now
	if !stalled {
		return nil
	}
	c.unconfirmed = true
	out := append(c.refreshState(), ConfirmConfig{})
	for _, a := range sortedAttempts(c.attempts, c.waiting) {
		if !a.running {
			c.queue.Remove(queueID(a.id))
			out = append(out, c.refuse(a, errPaused())...)
		}
	}
	return out
}

func errPaused() *errkind.Error {
	return errkind.New(errkind.NotReady, "instance was paused and has not confirmed its manifest")
}

// tick starts queued attempts, expires waiting ones and flushes usage.
func (c *Core) tick(now time.Time) []Effect {
	out := c.expireWaiting(now)
	out = append(out, c.startQueued(now)...)
	out = append(out, c.flushUsage(now)...)
	out = append(out, c.checkClosed()...)
	return append(out, c.checkDrained()...)
}

func (c *Core) snapshotApplied(now time.Time, s *manifest.Snapshot) []Effect {
	if c.snapshot != nil && !manifest.Newer(s.Revision, c.snapshot.Revision) {
		return nil
	}
	c.snapshot = s
	out := c.refreshState()
	for _, a := range sortedAttempts(c.waiting) {
		if manifest.Newer(a.params.Revision, s.Revision) {
			continue
		}
		delete(c.waiting, a.id)
		out = append(out, c.admit(now, a)...)
	}
	return out
}

// runRequested checks an attempt in the order of design section 8.
func (c *Core) runRequested(now time.Time, e RunRequested) []Effect {
	a := &attempt{
		id: attemptID{e.Params.Request, e.Params.Attempt}, link: e.Link, params: e.Params, arrived: now,
		deadline: now.Add(time.Duration(e.Params.DeadlineMs) * time.Millisecond),
	}
	if err := c.checkInstance(a); err != nil {
		return c.refuse(a, err)
	}
	if c.snapshot == nil || manifest.Newer(a.params.Revision, c.snapshot.Revision) {
		c.waiting[a.id] = a
		return []Effect{FetchConfig{Link: e.Link}}
	}
	return c.admit(now, a)
}

func (c *Core) checkInstance(a *attempt) *errkind.Error {
	if c.drain != drainNone {
		return errkind.New(errkind.Draining, "instance is leaving").WithRetryAfter(retryAfterDrain)
	}
	if a.params.Incarnation != c.self.Incarnation {
		return errkind.New(errkind.StaleIncarnation, "attempt is meant for another incarnation of the instance")
	}
	if c.unconfirmed {
		return errPaused()
	}
	if c.known(a.id) {
		return errkind.New(errkind.DuplicateUnknown, "attempt was received before")
	}
	return nil
}

func (c *Core) known(id attemptID) bool {
	if _, ok := c.attempts[id]; ok {
		return true
	}
	if _, ok := c.waiting[id]; ok {
		return true
	}
	return c.finished.has(id)
}

// admit applies this process's own manifest, then queues the attempt.
func (c *Core) admit(now time.Time, a *attempt) []Effect {
	if manifest.Newer(c.snapshot.Revision, a.params.Revision) {
		return c.refuseStale(a)
	}
	if err := c.checkAllowed(a); err != nil {
		return c.refuse(a, err)
	}
	if c.self.State != api.MemberStateReady {
		return c.refuse(a, errkind.New(errkind.NotReady, "backend server is not ready"))
	}
	if err := c.checkKey(a); err != nil {
		return c.refuse(a, err)
	}
	if err := c.usage.Reserve(); err != nil {
		return c.refuse(a, err)
	}
	if err := c.queue.Push(now, c.queueItem(a)); err != nil {
		c.usage.Cancel()
		return c.refuse(a, err)
	}
	a.reserved = true
	c.attempts[a.id] = a
	return nil
}

// refuseStale hands the newer manifest to an entry that used an older one.
func (c *Core) refuseStale(a *attempt) []Effect {
	result := c.errorResult(a, errkind.New(errkind.StaleRevision, "entry used an older manifest"))
	result.Config = &api.ConfigOffer{Revision: c.snapshot.Revision, Manifest: c.snapshot.Raw}
	return []Effect{SendResult{Link: a.link, Result: result}}
}

func (c *Core) checkAllowed(a *attempt) *errkind.Error {
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
	if !c.holds(p.Version) {
		return errkind.New(errkind.NoCandidate, "backend server does not hold version "+p.Version)
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

// checkKey is the second barrier against a second run: claims in the store are
// the first.
func (c *Core) checkKey(a *attempt) *errkind.Error {
	if a.params.Kind != api.RunKindService || a.params.Idempotent {
		return nil
	}
	if c.keys.has(keyOf(a.params)) {
		return errkind.New(errkind.DuplicateUnknown, "idempotency key was used before")
	}
	c.keys.add(keyOf(a.params))
	return nil
}

func keyOf(p api.RunParams) string {
	return p.Customer + "\x00" + p.Service + "\x00" + p.Operation + "\x00" + p.IdempotencyKey
}

func (c *Core) holds(version string) bool {
	for _, v := range c.self.Versions {
		if v == version {
			return true
		}
	}
	return false
}
