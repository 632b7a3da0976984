package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/membership"
)

// configSnapshot is a configuration and its route index, which requests are matched against.
// It is replaced as a whole.
type configSnapshot struct {
	config *forward.Config
	routes *forward.RouteTable
}

// dispatcher combines worker selection, health, retry budgets, rollouts and escalation under
// one lock. Its methods are short and do no I/O.
type dispatcher struct {
	// settings are the settings in force. A reload replaces them.
	settings atomic.Pointer[Settings]
	snapshot atomic.Pointer[configSnapshot]
	// confirmedAt is the latest time, in nanoseconds since boot, at which the configuration was
	// known to be the newest.
	confirmedAt atomic.Int64

	mu             sync.Mutex
	rng            *rand.Rand
	workers        *forward.WorkerList
	appliedVersion uint64
	workersListed  bool
	// workersPaged is set once a page of the first list was applied.
	workersPaged bool
	// workersRevision is the revision of the last update of the workers.
	workersRevision int64
	placer          *forward.Placer
	health          *membership.HealthTracker
	usableWorkers   map[string]forward.Worker
	evacuations     *forward.Evacuations
	// evacuationsListed is set once the evacuations have been listed, or if they are not used.
	evacuationsListed bool
	retryBudgets      map[string]*forward.RetryBudget
	rollouts          *rolloutTracker
	// exchangesLoads reports whether the loads of other gateways are used.
	exchangesLoads bool
	escalator      *forward.Escalator
	headerTimeouts *forward.HeaderTimeoutEstimator
	durations      *forward.DurationEstimator
	// extraBytes is the mean number of bytes of an attempt beyond the body of its request, by route.
	extraBytes map[string]float64
	// onWorkers is called with the usable workers when they have changed; it may be nil.
	onWorkers func(usable []forward.Worker, find func(id string) (forward.Worker, bool))
	log       *zap.Logger
}

// ejectionConfig holds the thresholds for ejecting failing workers. Callers wait only
// seconds, so the weight of an outcome halves every 4 s and the first ejection lasts 2 s.
var ejectionConfig = membership.HealthConfig{
	HalfLife: 4 * time.Second, MinFailures: 3, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: 30 * time.Second,
	RampStepTime: 500 * time.Millisecond, StrikeDecayTime: 30 * time.Second, MinSamples: 8,
}

func newDispatcher(s Settings, log *zap.Logger) *dispatcher {
	now := uint64(time.Now().UnixNano()) //nolint:gosec // any value is a valid seed
	d := &dispatcher{
		log:            log,
		rng:            rand.New(rand.NewPCG(now, now>>7)), //nolint:gosec // load balancing needs no cryptographic randomness
		workers:        forward.NewWorkerList(workerGracePeriod),
		placer:         forward.NewPlacer(forward.PlacerOptions{FailureDomain: s.FailureDomain, MinGateways: s.minGateways(), Leaving: s.LeavingCost, LeavingIsSet: s.LeavingIsSet, EstimateWaits: s.Admission}),
		health:         membership.NewHealthTracker(ejectionConfig),
		usableWorkers:  map[string]forward.Worker{},
		evacuations:    forward.NewEvacuations(workerGracePeriod),
		retryBudgets:   map[string]*forward.RetryBudget{},
		rollouts:       newRolloutTracker(s),
		exchangesLoads: s.usesRelays(),
		escalator:      forward.NewEscalator(),
		headerTimeouts: forward.NewHeaderTimeoutEstimator(),
		durations:      forward.NewDurationEstimator(),
		extraBytes:     map[string]float64{},
	}
	d.evacuationsListed = s.MaxEvacuateDelay == 0
	d.settings.Store(&s)
	return d
}

// workerGracePeriod is how long a worker stays usable without an entry if the entry
// disappeared during an outage of the store or shortly after it.
const workerGracePeriod = 2 * time.Second

// applyConfig puts a configuration in force if its version is higher than the current one.
// It reports whether it did.
func (d *dispatcher) applyConfig(config *forward.Config) bool {
	current := d.snapshot.Load()
	if current != nil && config.Version <= current.config.Version {
		return false
	}
	d.snapshot.Store(&configSnapshot{config: config, routes: forward.NewRouteTable(config.Routes)})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetColdStarts(sinceBoot(), config.ColdStarts(), d.rng.Float64)
	d.placer.SetCapacities(config.Capacities())
	d.placer.SetUrgentRequests(config.UrgentRequests())
	return true
}

// recordConfirmation records that the configuration was the newest one at the given time.
// Earlier times than the recorded one are ignored.
func (d *dispatcher) recordConfirmation(at time.Duration) {
	for {
		current := d.confirmedAt.Load()
		if int64(at) <= current || d.confirmedAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// confirmedConfig returns a configuration, including its API keys, together with the time at
// which it was last known to be the newest.
func (d *dispatcher) confirmedConfig(snapshot *configSnapshot) forward.ConfirmedConfig {
	return forward.ConfirmedConfig{Config: snapshot.config, ConfirmedAt: time.Duration(d.confirmedAt.Load())}
}

// storeLost records that the store does not answer.
func (d *dispatcher) storeLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers.StoreLost()
}

// tick removes the retained workers whose grace period has passed and advances the health
// state.
func (d *dispatcher) tick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers.Expire(now)
	d.handleHealthEvent(membership.HealthTick{})
	d.syncWorkers(now)
	d.endEvacuations(now, d.evacuations.Expire(now))
	d.rollouts.tick(now, d.log)
}

// syncWorkers passes the list of usable workers to placement, health and rollouts if it changed.
func (d *dispatcher) syncWorkers(now time.Duration) {
	if d.appliedVersion == d.workers.Version() {
		return
	}
	d.appliedVersion = d.workers.Version()
	usable := d.workers.Usable(now)
	d.syncHealth(usable)
	d.placer.SetWorkers(usable)
	for id := range d.usableWorkers {
		d.placer.SetShare(id, d.health.Share(id))
	}
	if d.workersListed { // the pages of a first list may lack a version
		d.rollouts.recordBaseline(usable)
	}
	if d.onWorkers != nil {
		d.onWorkers(usable, d.workers.Find)
	}
}

// findWorker returns a worker that is listed, also one that leaves.
func (d *dispatcher) findWorker(id string) (forward.Worker, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers.Find(id)
}

// isInUse reports whether a worker is listed and does not leave. The end of one that leaves is
// expected.
func (d *dispatcher) isInUse(w forward.Worker) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.usableWorkers[w.ID]
	return ok && !d.placer.IsLeaving(w.ID)
}

// handleHealthEvent passes an event to the health tracker and applies the changes in traffic
// share that follow from it. The caller holds the lock.
func (d *dispatcher) handleHealthEvent(e membership.HealthEvent) {
	for _, effect := range d.health.Handle(time.Now(), e) {
		if changed, ok := effect.(membership.ShareChanged); ok {
			d.applyShare(changed)
		}
	}
}

// hasSynced reports whether every topic of the store has been listed once, and otherwise
// which one is missing. Until then a worker of a version that is being rolled out cannot be
// distinguished from the others.
func (d *dispatcher) hasSynced() (bool, string) {
	if d.snapshot.Load() == nil {
		return false, "configuration has not been received from the store yet"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.workersListed && !d.workersPaged:
		return false, "workers have not been received from the store yet"
	case !d.rollouts.hasListed:
		return false, "rollouts have not been received from the store yet"
	case !d.evacuationsListed:
		return false, "evacuations have not been received from the store yet"
	}
	return true, ""
}

// isReady reports whether requests can be served, and otherwise why not: a topic was never
// listed, or the API keys are too old.
func (d *dispatcher) isReady(now time.Duration) (bool, string) {
	if synced, reason := d.hasSynced(); !synced {
		return false, reason
	}
	snapshot := d.snapshot.Load()
	if snapshot.config.HasCustomers && d.confirmedConfig(snapshot).Age(now) > d.ageBounds().Accept {
		return false, "API keys cannot be checked: the store has not answered recently"
	}
	return true, ""
}

// maxKeyAgeFraction is the part of the revocation delay after which the API keys count as too
// old. The rest covers changes that a watch reports up to a second late and the time that a
// request takes to reach the worker.
const maxKeyAgeFraction = 0.78

// ageBounds returns the ages from which the configuration is too old to accept a request and to
// refuse one for good. A configuration that was the newest one less than MaxApplyDelay ago cannot
// have been replaced for longer.
func (d *dispatcher) ageBounds() forward.AgeBounds {
	s := d.settings.Load()
	accept := time.Duration(maxKeyAgeFraction * float64(s.MaxRevokeDelay))
	if s.MaxApplyDelay == 0 {
		return forward.AgeBounds{Accept: accept, Refuse: accept}
	}
	return forward.AgeBounds{Accept: accept, Refuse: min(accept, s.MaxApplyDelay)}
}

// usableAddresses returns the set of addresses of usable workers.
func (d *dispatcher) usableAddresses() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]bool, len(d.usableWorkers))
	for _, w := range d.usableWorkers {
		out[w.Address] = true
	}
	return out
}

// pickWorker chooses a worker and counts the request as in flight there. It returns false
// if no worker is a candidate. With avoidTarget, the target of a rollout in progress is used
// only when no worker of another version is left.
func (d *dispatcher) pickWorker(now time.Duration, q forward.WorkerQuery, session, requestID string, avoidTarget bool) (forward.Placement, *forward.InFlight, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	filter := d.rollouts.chooseVersion(now, q.Service, session, requestID, avoidTarget)
	q.Bytes += int(d.extraBytes[q.Route])
	q.Allowed, q.IsPinned = filter.allowed, filter.isPinned
	p, ok := d.placer.Pick(now, q, d.rng)
	if !ok && filter.fallback != nil && !d.mustWait(now, q, session) {
		q.Allowed = filter.fallback
		p, ok = d.placer.Pick(now, q, d.rng)
	}
	if !ok {
		return p, nil, false
	}
	d.rollouts.recordSession(now, q.Service, session, p.Worker.Version)
	return p, d.placer.RecordStart(now, p.Worker.ID, q.Model, q.Prompt, p.CachedTokens), true
}

// recordLoadReport records the load that a worker stated in the header of a response.
func (d *dispatcher) recordLoadReport(now time.Duration, id string, load forward.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordLoad(now, id, load)
}

// recordAttempt passes the outcome of an attempt to the health tracker, which may eject the
// worker.
func (d *dispatcher) recordAttempt(w forward.Worker, outcome membership.Outcome, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleHealthEvent(membership.AttemptEnded{Server: w.ID, Version: w.Service, Outcome: outcome, Latency: latency})
	if outcome == membership.Succeeded {
		d.placer.RecordAnswer(sinceBoot(), w.ID)
	}
}

// recordNoAnswer records an attempt that ended without an answer of the worker.
func (d *dispatcher) recordNoAnswer(w forward.Worker, outcome membership.Outcome, latency time.Duration) {
	d.recordAttempt(w, outcome, latency)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordFailure(sinceBoot(), w.ID)
}

// removeWorker removes a worker that is no longer at its address.
func (d *dispatcher) removeWorker(now time.Duration, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers.Drop(now, id)
	d.syncWorkers(now)
}

// randomFloat returns a random number in [0, 1).
func (d *dispatcher) randomFloat() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// applyRollouts applies a full list of rollouts or a list of changes.
func (d *dispatcher) applyRollouts(now time.Duration, u *forward.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollouts.apply(now, u, d.log)
}

// dueRolloutWrites returns the rollout states to record now.
func (d *dispatcher) dueRolloutWrites(now time.Duration) []rolloutWrite {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rollouts.dueWrites(now)
}

func (d *dispatcher) handleRolloutWrite(now time.Duration, w rolloutWrite, result forward.Rollout, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollouts.handleWriteResult(now, w, result, err, d.log)
}

// applySettings replaces the settings after a reload. The retry budgets keep what they hold:
// with full ones, a series of reloads would allow more retries than the service is bound to get.
func (d *dispatcher) applySettings(s Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.Store(&s)
	d.rollouts.sessionTimeout = s.SessionTimeout
	d.placer.SetLeavingCost(s.LeavingCost, s.LeavingIsSet)
	d.placer.SetEstimateWaits(s.Admission)
	for _, b := range d.retryBudgets {
		b.SetOptions(retryOptions(&s))
	}
}

// minConfidence returns the confidence (0 to 100) below which a response is dropped for that
// of a larger model.
func (d *dispatcher) minConfidence(now time.Duration, route string, remaining time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.escalator.Threshold(now, route, remaining)
}

func (d *dispatcher) recordLargerModelStart(route string, startedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.escalator.RecordStart(startedAt, route)
}

// recordLargerModelEnd records the end of the wait for a larger model. answered reports
// whether the header of its response arrived, which counts as its first event.
func (d *dispatcher) recordLargerModelEnd(route string, startedAt time.Duration, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.escalator.RecordFirstEvent(sinceBoot(), startedAt, route, answered)
}

// headerTimeout returns how long to wait for the header of a response.
func (d *dispatcher) headerTimeout(r *forward.Route, heavy bool, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.headerTimeouts.Timeout(r, heavy, tokens)
}

// usualHeaderTime returns how long the header of a response usually takes, 0 if that is not known.
func (d *dispatcher) usualHeaderTime(r *forward.Route, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.headerTimeouts.Usual(r, false, tokens)
}

// recordHeaderLatency records how long the header of a response took, or how long it was
// awaited until the timeout.
func (d *dispatcher) recordHeaderLatency(route string, heavy bool, tokens int, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.headerTimeouts.Observe(route, heavy, tokens, latency)
}
