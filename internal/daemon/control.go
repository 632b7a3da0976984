package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	controlRingSize = 4096
	// controlTick is the time between two ticks of the exchange.
	controlTick = 50 * time.Millisecond
	// digestTimeout bounds one exchange with a peer.
	digestTimeout = 2 * time.Second
	// manifestKey is the object that holds the manifest.
	manifestKey = "config/manifest"
)

// control gives the exchange of configuration and members its clock and
// connections. It runs beside the main loop, so that a blocked main loop is
// still told of configuration and can still be seen as blocked.
type control struct {
	exchange *membership.Exchange
	events   *ring.Ring[controlEvent]
	node     *peer.Node
	store    platform.Store
	log      *zap.Logger
	alive    func() bool
	ctx      context.Context

	onSnapshot func(*manifest.Snapshot)
	onMembers  func([]api.Member)
	onDigest   func(entry.DigestReceived)
	// greeter is set for entries only.
	greeter *greeter

	self     atomic.Pointer[api.Member]
	snapshot atomic.Pointer[manifest.Snapshot]
	view     atomic.Pointer[controlView]
	// forEntries is the newest evidence and progress of rollouts.
	forEntries atomic.Pointer[entry.Publish]

	// confirmFrom is when the main loop asked for the manifest to be confirmed, in
	// Unix nanoseconds; 0 when it does not wait for it.
	confirmFrom atomic.Int64
	onConfirmed func()

	selfMu  sync.Mutex
	core    api.Member
	wedged  bool
	changed bool
}

// controlView is what status shows of the exchange.
type controlView struct {
	alarms    []string
	rejected  []api.RejectedManifest
	reachable bool
	peers     int
}

// controlEvent is an event with the call that it answers, if any.
type controlEvent struct {
	event membership.ExchangeEvent
	call  *peer.Call
	// role is the role of the process that called.
	role string
	// sent is when the digest that this event answers was sent.
	sent time.Time
}

func newControl(c *common, store platform.Store) *control {
	seed := uint64(c.self.Incarnation)
	t := c.settings.Timing
	x := &control{
		exchange: membership.NewExchange(c.self, membership.ExchangeConfig{
			Seeds: c.settings.Peers, DigestEvery: ms(t.DigestMs), WatchSilence: ms(t.WatchSilenceMs),
		}, rand.New(rand.NewPCG(seed, ^seed))),
		events: ring.New[controlEvent](controlRingSize), store: store, log: observe.Part(c.log, "exchange"),
		alive: c.alive, ctx: c.ctx, core: c.self,
		onDigest: func(entry.DigestReceived) {}, onConfirmed: func() {},
	}
	x.self.Store(&c.self)
	return x
}

// setSelf publishes what the main loop says of this process.
func (c *control) setSelf(m api.Member) {
	c.selfMu.Lock()
	c.core = m
	c.changed = true
	c.selfMu.Unlock()
}

// hello is this process's part of the first message on a link.
func (c *control) hello() api.Hello {
	h := api.Hello{Member: *c.self.Load()}
	if s := c.snapshot.Load(); s != nil {
		h.Revision = s.Revision
	}
	return h
}

// offer hands over a manifest that came with a result or from an operator.
func (c *control) offer(o api.ConfigOffer) { c.put(membership.ConfigReceived{Offer: o}) }

func (c *control) put(e membership.ExchangeEvent) { c.events.Put(c.ctx, controlEvent{event: e}) }

// publish spreads what the entry decided or measured.
func (c *control) publish(p entry.Publish) {
	for _, cut := range p.CutBacks {
		c.put(membership.CutBackDecided{CutBack: cut})
	}
	for _, d := range p.Demands {
		c.put(membership.DemandMeasured{Demand: d})
	}
	if len(p.Evidence)+len(p.Rollouts) > 0 {
		c.forEntries.Store(&p)
	}
}

// addForEntries adds to a digest what only entries use.
func (c *control) addForEntries(digest *api.Digest, role string) {
	p := c.forEntries.Load()
	if p == nil || role != string(api.RoleEntry) {
		return
	}
	digest.Evidence, digest.Rollouts = p.Evidence, p.Rollouts
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events.Items():
			c.handle(e)
		case <-ticker.C:
			c.updateSelf()
			c.handle(controlEvent{event: membership.Tick{}})
			c.publishView()
		}
	}
}

// updateSelf joins the state that the main loop reports with the freshness of
// its heartbeat: a loop that is blocked cannot report that it is blocked.
func (c *control) updateSelf() {
	c.selfMu.Lock()
	wedged := c.core.State == api.MemberStateReady && !c.alive()
	changed := c.changed || wedged != c.wedged
	c.changed, c.wedged = false, wedged
	m := c.core
	c.selfMu.Unlock()
	if !changed {
		return
	}
	if wedged {
		m.State = api.MemberStateWedged
		c.log.Error("main loop is blocked")
	}
	c.handle(controlEvent{event: membership.SelfChanged{Member: m}})
	self := c.exchange.Self()
	c.self.Store(&self)
}

func (c *control) handle(e controlEvent) {
	digest := fromEntry(e.event)
	members := false
	for _, effect := range c.exchange.Handle(time.Now(), e.event) {
		switch x := effect.(type) {
		case membership.AnswerDigest:
			c.addForEntries(&x.Digest, e.role)
			e.call.Respond(x.Digest)
			e.call = nil
		case membership.AnswerConfig:
			e.call.Respond(x.Offer)
			e.call = nil
		case membership.ApplyConfig:
			c.snapshot.Store(x.Snapshot)
			c.log.Info("manifest is in force", zap.Int("generation", x.Snapshot.Revision.Generation),
				zap.Int("version", x.Snapshot.Revision.Version))
			c.onSnapshot(x.Snapshot)
		case membership.MemberUpdated:
			members = true
			c.greeter.offer(x.Record.Member)
		case membership.CutBackLearned:
			digest.CutBacks = append(digest.CutBacks, x.CutBack)
		case membership.DemandLearned:
			digest.Demands = append(digest.Demands, x.Demand)
		default:
			c.apply(effect)
		}
	}
	if e.call != nil {
		e.call.Fail(errNothingHeld())
	}
	if answered, ok := e.event.(membership.DigestAnswered); ok {
		c.confirmed(e.sent, answered.Digest.Revision)
	}
	if members {
		c.onMembers(c.members())
	}
	if len(digest.CutBacks)+len(digest.Demands)+len(digest.Evidence)+len(digest.Rollouts) > 0 {
		c.onDigest(digest)
	}
}

// fromEntry returns what a digest carries for entries only.
func fromEntry(e membership.ExchangeEvent) entry.DigestReceived {
	switch x := e.(type) {
	case membership.DigestReceived:
		return entry.DigestReceived{Evidence: x.Digest.Evidence, Rollouts: x.Digest.Rollouts}
	case membership.DigestAnswered:
		return entry.DigestReceived{Evidence: x.Digest.Evidence, Rollouts: x.Digest.Rollouts}
	default:
		return entry.DigestReceived{}
	}
}

func (c *control) apply(effect membership.ExchangeEffect) {
	switch x := effect.(type) {
	case membership.SendDigest:
		go c.sendDigest(x)
	case membership.FetchConfig:
		go c.fetchConfig(x.From)
	case membership.WatchStore:
		go c.watchStore(x)
	case membership.ReadStore:
		go c.readStore()
	case membership.ReadInstances:
		go c.readInstances()
	case membership.RejectConfig:
		c.log.Error("manifest is invalid and not applied", zap.Int("version", x.Rejected.Revision.Version),
			zap.Strings("reasons", x.Rejected.Reasons))
	case membership.RaiseAlarm:
		c.log.Error("alarm is raised", zap.String("alarm", string(x.Alarm)), zap.String("reason", x.Text))
	case membership.ClearAlarm:
		c.log.Info("alarm is cleared", zap.String("alarm", string(x.Alarm)))
	}
}

// members lists every known member.
func (c *control) members() []api.Member {
	table := c.exchange.Table()
	members := make([]api.Member, 0, table.Len())
	table.Each(time.Now(), func(r membership.Record) bool {
		m := r.Member
		m.State = r.State
		members = append(members, m)
		return true
	})
	return members
}

// confirm asks for a peer's word, newer than this call, that no higher manifest
// is in force.
func (c *control) confirm() { c.confirmFrom.Store(time.Now().UnixNano()) }

// confirmed reports the answer to a digest that was sent at the given time.
func (c *control) confirmed(sent time.Time, answer api.Revision) {
	from := c.confirmFrom.Load()
	if from == 0 || sent.UnixNano() < from || manifest.Newer(answer, c.exchange.Revision()) {
		return
	}
	c.confirmFrom.Store(0)
	c.onConfirmed()
}

func (c *control) sendDigest(x membership.SendDigest) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, digestTimeout)
	defer cancel()
	link, err := c.node.Link(ctx, x.To.Address)
	if err != nil {
		return
	}
	c.addForEntries(&x.Digest, link.Remote.Role)
	var answer api.Digest
	if err := link.Call(ctx, peer.MethodDigest, x.Digest, &answer); err != nil {
		c.log.Debug("digest is not answered", zap.String("peer", x.To.Address), zap.Error(err))
		return
	}
	c.events.Put(c.ctx, controlEvent{event: membership.DigestAnswered{From: peerOf(link, x.To.Address), Digest: answer}, sent: sent})
}

func peerOf(link *peer.Link, address string) membership.Peer {
	return membership.Peer{Instance: link.Remote.Instance, Address: address}
}

func (c *control) fetchConfig(from membership.Peer) {
	ctx, cancel := context.WithTimeout(c.ctx, digestTimeout)
	defer cancel()
	var offer api.ConfigOffer
	link, err := c.node.Link(ctx, from.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodConfigFetch, struct{}{}, &offer)
	}
	if err != nil {
		c.put(membership.FetchFailed{From: from})
		return
	}
	c.put(membership.ConfigReceived{From: from, Offer: offer})
}

func (c *control) watchStore(x membership.WatchStore) {
	ctx, cancel := context.WithTimeout(c.ctx, x.Wait+storeTimeout)
	defer cancel()
	c.putStore(c.store.Watch(ctx, manifestKey, x.After, x.Wait))
}

func (c *control) readStore() {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	object, err := c.store.Get(ctx, manifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		c.put(membership.StoreEmpty{})
		return
	}
	c.putStore(object, err)
}

func (c *control) putStore(object platform.Object, err error) {
	switch {
	case err == nil:
		c.put(membership.StoreRead{Object: object})
	case errors.Is(err, platform.ErrNotFound):
		c.put(membership.StoreUnchanged{})
	default:
		c.put(membership.StoreFailed{RetryAfter: retryAfter(err)})
	}
}

func retryAfter(err error) time.Duration {
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}

func (c *control) readInstances() {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	instances, err := c.store.Instances(ctx)
	if err != nil {
		c.put(membership.InstanceListFailed{})
		return
	}
	c.put(membership.InstanceList{Instances: instances})
}

// publishView hands what status shows to other goroutines.
func (c *control) publishView() {
	c.view.Store(&controlView{
		alarms: c.exchange.Alarms(), rejected: c.exchange.Rejected(),
		reachable: c.exchange.StoreReachable(), peers: c.exchange.Table().Len(),
	})
}

// addStatus adds the exchange's part to the status of an entry.
func (c *control) addStatus(s *api.Status) {
	view := c.view.Load()
	if view == nil {
		return
	}
	s.Alarms = append(s.Alarms, view.alarms...)
	s.Rejected, s.StoreReachable, s.Peers = view.rejected, view.reachable, view.peers
}
