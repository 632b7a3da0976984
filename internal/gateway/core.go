package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/retry"
	"github.com/borageflow/borageflow/internal/rollout"
)

// view is the configuration that requests are matched against. It is replaced as a whole.
type view struct {
	config *forward.Config
	routes *forward.Routes
}

// core joins the decision packages under one lock. Its methods are short and do no I/O.
type core struct {
	// bounds are the settings in force; a reload replaces them.
	bounds atomic.Pointer[Settings]
	view   atomic.Pointer[view]
	// confirmedAt is the latest time at which the configuration was known to be the newest.
	confirmedAt atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	workers  *forward.Workers
	applied  uint64
	listed   bool
	placer   *forward.Placer
	health   *membership.Health
	known    map[string]forward.Worker
	budgets  map[string]*retry.Budget
	rollouts *rollouts
	escalate *forward.Escalator
	patience *forward.Patience
	log      *zap.Logger
}

// Thresholds of the ejection of workers. Callers wait for seconds only, so outcomes count
// for 4 s and a worker is out for 2 s at first.
var healthConfig = membership.HealthConfig{
	HalfLife: 4 * time.Second, MinFailures: 3, EjectFor: 2 * time.Second, MaxEjectFor: 30 * time.Second,
	StepTime: 500 * time.Millisecond, ForgiveAfter: 30 * time.Second, MinSamples: 8,
}

func newCore(s Settings, log *zap.Logger) *core {
	now := uint64(time.Now().UnixNano()) //nolint:gosec // a seed may be any number
	c := &core{
		log:      log,
		rng:      rand.New(rand.NewPCG(now, now>>7)), //nolint:gosec // balancing needs no secret numbers
		workers:  forward.NewWorkers(lapseGrace),
		placer:   forward.NewPlacer(forward.PlaceOptions{FailureDomain: s.FailureDomain}),
		health:   membership.NewHealth(healthConfig),
		known:    map[string]forward.Worker{},
		budgets:  map[string]*retry.Budget{},
		rollouts: newRollouts(s),
		escalate: forward.NewEscalator(),
		patience: forward.NewPatience(),
	}
	c.bounds.Store(&s)
	return c
}

// lapseGrace is how long after the store's return a lapsed worker may come back.
const lapseGrace = 2 * time.Second

// applyConfig takes a newer configuration and reports whether it was one.
func (c *core) applyConfig(config *forward.Config) bool {
	held := c.view.Load()
	if held != nil && config.Version <= held.config.Version {
		return false
	}
	c.view.Store(&view{config: config, routes: forward.NewRoutes(config.Routes)})
	return true
}

// confirm records that the configuration was the newest one at a time.
func (c *core) confirm(at time.Duration) {
	for {
		held := c.confirmedAt.Load()
		if int64(at) <= held || c.confirmedAt.CompareAndSwap(held, int64(at)) {
			return
		}
	}
}

func (c *core) keyView(v *view) forward.KeyView {
	return forward.KeyView{Config: v.config, ConfirmedAt: time.Duration(c.confirmedAt.Load())}
}

// applyWorkers takes an update of the list of workers.
func (c *core) applyWorkers(now time.Duration, u *forward.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers.StoreReached(now)
	if u.Full {
		c.workers.Replace(now, u.Workers)
		c.listed = true
	} else {
		c.workers.Apply(now, u.Workers)
	}
	c.refresh(now)
}

func (c *core) storeLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers.StoreLost()
}

// tick lets time pass.
func (c *core) tick(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers.Expire(now)
	c.judge(membership.HealthTick{})
	c.refresh(now)
}

// refresh passes a changed list of workers on to placement and health.
func (c *core) refresh(now time.Duration) {
	if c.applied == c.workers.Version() {
		return
	}
	c.applied = c.workers.Version()
	usable := c.workers.Usable(now)
	next := make(map[string]forward.Worker, len(usable))
	for _, w := range usable {
		next[w.ID] = w
		old, ok := c.known[w.ID]
		if !ok || old != w {
			c.judge(membership.ServerChanged{Server: w.ID, Incarnation: int(w.Born), Versions: []string{w.Service}})
			c.judge(membership.SignalsSeen{Server: w.ID, Signals: membership.Signals{Ready: true, Alive: true}})
			c.log.Info("worker is in use", zap.String("worker", w.ID), zap.String("service", w.Service), zap.String("version", w.Version), zap.String("address", w.Address))
		}
	}
	for id := range c.known {
		if _, ok := next[id]; !ok {
			c.judge(membership.ServerRemoved{Server: id})
			c.log.Info("worker gets no new work", zap.String("worker", id))
		}
	}
	c.known = next
	c.placer.SetWorkers(usable)
	for id := range next {
		c.placer.SetShare(id, c.health.Share(id))
	}
	c.rollouts.sawVersions(usable)
}

func (c *core) judge(e membership.HealthEvent) {
	for _, effect := range c.health.Handle(time.Now(), e) {
		if changed, ok := effect.(membership.ShareChanged); ok {
			c.placer.SetShare(changed.Server, changed.Share)
			c.log.Info("share of a worker changed", zap.String("worker", changed.Server), zap.Float64("share", changed.Share), zap.String("reason", string(changed.Reason)))
		}
	}
}

// informed reports whether every topic of the store has been listed once. Before, a worker
// of a version that is being rolled in looks like any other.
func (c *core) informed() (bool, string) {
	if c.view.Load() == nil {
		return false, "configuration is not known yet"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.listed:
		return false, "workers are not known yet"
	case !c.rollouts.listed:
		return false, "rollouts are not known yet"
	}
	return true, ""
}

// ready reports whether requests can be served.
func (c *core) ready(now time.Duration) (bool, string) {
	if known, missing := c.informed(); !known {
		return false, missing
	}
	v := c.view.Load()
	if v.config.HasCustomers && c.keyView(v).Age(now) > c.keyAge() {
		return false, "API keys cannot be checked: the store has not answered recently"
	}
	return true, ""
}

// keyAgeShare is the part of the time to a key's withdrawal after which knowledge of the
// keys counts as too old. The rest covers changes that a watch reports up to a second
// late and the way to the worker.
const keyAgeShare = 0.78

func (c *core) keyAge() time.Duration {
	return time.Duration(keyAgeShare * float64(c.bounds.Load().Revoke))
}

// usedAddresses are the addresses of usable workers.
func (c *core) usedAddresses() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool, len(c.known))
	for _, w := range c.known {
		out[w.Address] = true
	}
	return out
}

// pick chooses a worker and records that a request goes there.
func (c *core) pick(now time.Duration, q forward.Query, session, requestID string, avoidTarget bool) (forward.Placement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.rollouts.choose(now, q.Service, session, requestID, avoidTarget)
	q.Allowed = version.allows
	p, ok := c.placer.Pick(now, q, c.rng)
	if !ok && version.fallback != nil {
		q.Allowed = version.fallback
		p, ok = c.placer.Pick(now, q, c.rng)
	}
	if !ok {
		return p, false
	}
	c.placer.Start(now, p.Worker.ID, q.Model, q.Prompt)
	c.rollouts.placed(now, q.Service, session, p.Worker.Version)
	return p, true
}

// release records that a request has left a worker.
func (c *core) release(id string, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placer.End(id, begun)
}

// began records that the answer of a worker has begun.
func (c *core) began(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placer.Began(id)
}

func (c *core) stated(now time.Duration, id string, load forward.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placer.Stated(now, id, load)
}

// ended records the outcome of an attempt for the ejection of workers.
func (c *core) ended(w forward.Worker, failure membership.Failure, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judge(membership.AttemptEnded{Server: w.ID, Version: w.Service, Failure: failure, Latency: latency})
}

// gone records that a worker is no longer at its address.
func (c *core) gone(now time.Duration, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers.Remove(now, id)
	c.refresh(now)
}

// observed records an answer as evidence for a rollout.
func (c *core) observed(w forward.Worker, a rollout.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.observed(w, a, c.log)
}

// budget returns the retry budget of a service. Each process earns repeats from the
// requests that it gets itself, so that all processes together stay within the ratio
// without asking each other.
func (c *core) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		s := c.bounds.Load()
		b = retry.NewBudget(retry.BudgetOptions{
			Share: budgetUse * s.RetryRatio, Burst: ownSlack(s.RetrySlack), Refill: budgetRefill,
		})
		c.budgets[service] = b
	}
	return b
}

const (
	// budgetUse is the part of the allowed ratio that is used; the rest covers requests that
	// callers sent and that never arrived.
	budgetUse = 0.8
	// budgetRefill lets a process with few requests repeat one in 5 s.
	budgetRefill = 0.2
	// slackParts divides the allowed slack between processes whose number is not known; half
	// of the smallest slack divided by 4 suffices for the failure of one worker.
	slackParts = 12
	// minSlack is the least number of repeats that a process saves up: those of one event such
	// as the crash of a worker.
	minSlack = 6
)

func ownSlack(slack float64) float64 { return max(slack/slackParts, minSlack) }

func (c *core) firstAttempt(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(service).First(time.Now())
}

// canSpend reports whether a repeat is left, without taking it.
func (c *core) canSpend(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(service).Left(time.Now())
}

func (c *core) spend(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(service).Spend(time.Now())
}

// uniform returns a random number in [0, 1).
func (c *core) uniform() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// applyRollouts takes an update of the orders.
func (c *core) applyRollouts(now time.Duration, u *forward.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.apply(now, u, c.log)
}

// dueRollouts returns the states of rollouts to record now.
func (c *core) dueRollouts(now time.Duration) []rolloutWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rollouts.due(now)
}

func (c *core) rolloutWritten(now time.Duration, w rolloutWrite, result forward.Rollout, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.written(now, w, result, err, c.log)
}

// reconfigure takes bounds that were read again.
func (c *core) reconfigure(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounds.Store(&s)
	c.rollouts.session = s.Session
	c.budgets = map[string]*retry.Budget{}
}

// confidence is the confidence below which an answer is dropped for that of a larger model.
func (c *core) confidence(now time.Duration, route string, left time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.escalate.Confidence(now, route, left)
}

func (c *core) largerStarted(route string, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.escalate.Started(since, route)
}

func (c *core) largerEnded(route string, since time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.escalate.Ended(elapsed(), since, route, answered)
}

// headWait is how long the head of an answer is waited for.
func (c *core) headWait(r *forward.Route, heavy bool, tokens int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.patience.Wait(r, heavy, tokens)
}

func (c *core) headTook(route string, heavy bool, tokens int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.patience.Head(route, heavy, tokens, took)
}
