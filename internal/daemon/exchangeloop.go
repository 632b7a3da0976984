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
	exchangeQueueSize = 4096
	// exchangeTickInterval is the time between two Tick events of the exchange.
	exchangeTickInterval = 50 * time.Millisecond
	// exchangeCallTimeout bounds one digest or manifest call to a peer, with dialing.
	exchangeCallTimeout = 2 * time.Second
	// manifestObjectKey is the key of the manifest in the store.
	manifestObjectKey = "config/manifest"
)

// exchangeLoop runs the exchange of manifests and member records: it supplies the time,
// the store and the peer connections. It runs beside the main loop, so that a process
// with a blocked main loop still receives manifests and reports that it is blocked.
type exchangeLoop struct {
	exchange        *membership.Exchange
	events          *ring.Queue[exchangeEvent]
	node            *peer.Node
	store           platform.Store
	log             *zap.Logger
	isMainLoopAlive func() bool
	ctx             context.Context

	onSnapshot func(*manifest.Snapshot)
	onMembers  func([]api.Member)
	onDigest   func(entry.DigestReceived)
	// dialer is nil in a sidecar.
	dialer *sidecarDialer

	self     atomic.Pointer[api.Member]
	snapshot atomic.Pointer[manifest.Snapshot]
	status   atomic.Pointer[exchangeStatus]
	// entryData is the latest Publish effect with evidence or rollout progress.
	entryData atomic.Pointer[entry.Publish]

	// confirmAfterUnixNano is the time of the main loop's last request to confirm the
	// manifest, in Unix nanoseconds; 0 when no request is open.
	confirmAfterUnixNano atomic.Int64
	onConfirmed          func()

	// selfMu guards the fields below.
	selfMu              sync.Mutex
	reportedSelf        api.Member
	wedged              bool
	reportedSelfChanged bool
}

// exchangeStatus is the part of the status that the exchange provides.
type exchangeStatus struct {
	alarms         []string
	rejected       []api.RejectedManifest
	storeReachable bool
	peerCount      int
}

// exchangeEvent is an event with the call that waits for its outcome; call is nil if there
// is none.
type exchangeEvent struct {
	event membership.ExchangeEvent
	call  *peer.Call
	// role is the role of the calling process.
	role string
	// digestSentAt is the send time of the digest that this event answers.
	digestSentAt time.Time
}

func newExchangeLoop(b *base, store platform.Store) *exchangeLoop {
	seed := uint64(b.self.Incarnation)
	t := b.settings.Timing
	l := &exchangeLoop{
		exchange: membership.NewExchange(b.self, membership.ExchangeConfig{
			Seeds: b.settings.Peers, DigestInterval: ms(t.DigestMs), WatcherTimeout: ms(t.WatchSilenceMs),
		}, rand.New(rand.NewPCG(seed, ^seed))),
		events: ring.New[exchangeEvent](exchangeQueueSize), store: store, log: observe.ComponentLogger(b.log, "exchange"),
		isMainLoopAlive: b.isMainLoopAlive, ctx: b.ctx, reportedSelf: b.self,
		onDigest: func(entry.DigestReceived) {}, onConfirmed: func() {},
	}
	l.self.Store(&b.self)
	return l
}

// setSelf stores the member record that the main loop reports. The next tick passes it
// to the exchange.
func (l *exchangeLoop) setSelf(m api.Member) {
	l.selfMu.Lock()
	l.reportedSelf = m
	l.reportedSelfChanged = true
	l.selfMu.Unlock()
}

// localHello returns this process's first message on a new link.
func (l *exchangeLoop) localHello() api.Hello {
	h := api.Hello{Member: *l.self.Load()}
	if s := l.snapshot.Load(); s != nil {
		h.Revision = s.Revision
	}
	return h
}

// offerConfig passes a manifest from the result of an attempt, or from an operator, to the
// exchange.
func (l *exchangeLoop) offerConfig(o api.ConfigOffer) { l.submit(membership.ConfigReceived{Offer: o}) }

func (l *exchangeLoop) submit(e membership.ExchangeEvent) {
	l.events.Put(l.ctx, exchangeEvent{event: e})
}

// publishEntryData passes the cutbacks, demands, evidence and rollout progress of an entry
// to the other daemons.
func (l *exchangeLoop) publishEntryData(p entry.Publish) {
	for _, cut := range p.CutBacks {
		l.submit(membership.CutBackDecided{CutBack: cut})
	}
	for _, d := range p.Demands {
		l.submit(membership.DemandMeasured{Demand: d})
	}
	if len(p.Evidence)+len(p.Rollouts) > 0 {
		l.entryData.Store(&p)
	}
}

// addEntryData adds evidence and rollout progress to a digest for an entry; sidecars do not
// use them.
func (l *exchangeLoop) addEntryData(digest *api.Digest, role string) {
	p := l.entryData.Load()
	if p == nil || role != string(api.RoleEntry) {
		return
	}
	digest.Evidence, digest.Rollouts = p.Evidence, p.Rollouts
}

func (l *exchangeLoop) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events.Items():
			l.handle(e)
		case <-ticker.C:
			l.updateSelf()
			l.handle(exchangeEvent{event: membership.Tick{}})
			l.publishStatus()
		}
	}
}

// updateSelf combines the state that the main loop reports with the age of its
// heartbeat, since a blocked loop cannot report that it is blocked. A ready process with
// an old heartbeat is published as wedged.
func (l *exchangeLoop) updateSelf() {
	l.selfMu.Lock()
	wedged := l.reportedSelf.State == api.MemberStateReady && !l.isMainLoopAlive()
	changed := l.reportedSelfChanged || wedged != l.wedged
	l.reportedSelfChanged, l.wedged = false, wedged
	m := l.reportedSelf
	l.selfMu.Unlock()
	if !changed {
		return
	}
	if wedged {
		m.State = api.MemberStateWedged
		l.log.Error("main loop is blocked")
	}
	l.handle(exchangeEvent{event: membership.SelfChanged{Member: m}})
	self := l.exchange.Self()
	l.self.Store(&self)
}

// handle passes an event to the exchange and carries out the effects. A call that no
// effect answers fails.
func (l *exchangeLoop) handle(e exchangeEvent) {
	digest := digestForEntry(e.event)
	membersChanged := false
	for _, effect := range l.exchange.Handle(time.Now(), e.event) {
		switch x := effect.(type) {
		case membership.AnswerDigest:
			l.addEntryData(&x.Digest, e.role)
			e.call.Respond(x.Digest)
			e.call = nil
		case membership.AnswerConfig:
			e.call.Respond(x.Offer)
			e.call = nil
		case membership.ApplyConfig:
			l.snapshot.Store(x.Snapshot)
			l.log.Info("manifest is in force", zap.Int("generation", x.Snapshot.Revision.Generation),
				zap.Int("version", x.Snapshot.Revision.Version))
			l.onSnapshot(x.Snapshot)
		case membership.MemberUpdated:
			membersChanged = true
			l.dialer.enqueue(x.Record.Member)
		case membership.CutBackReceived:
			digest.CutBacks = append(digest.CutBacks, x.CutBack)
		case membership.DemandReceived:
			digest.Demands = append(digest.Demands, x.Demand)
		default:
			l.applyEffect(effect)
		}
	}
	if e.call != nil {
		e.call.Fail(errNoManifest())
	}
	if answered, ok := e.event.(membership.DigestAnswered); ok {
		l.checkConfirmation(e.digestSentAt, answered.Digest.Revision)
	}
	if membersChanged {
		l.onMembers(l.memberList())
	}
	if len(digest.CutBacks)+len(digest.Demands)+len(digest.Evidence)+len(digest.Rollouts) > 0 {
		l.onDigest(digest)
	}
}

// digestForEntry returns the parts of a received digest that only entries use; for other
// events, an empty value.
func digestForEntry(e membership.ExchangeEvent) entry.DigestReceived {
	switch x := e.(type) {
	case membership.DigestReceived:
		return entry.DigestReceived{Evidence: x.Digest.Evidence, Rollouts: x.Digest.Rollouts}
	case membership.DigestAnswered:
		return entry.DigestReceived{Evidence: x.Digest.Evidence, Rollouts: x.Digest.Rollouts}
	default:
		return entry.DigestReceived{}
	}
}

// applyEffect carries out the effects that need no state of handle. Calls to peers and to
// the store run in goroutines of their own.
func (l *exchangeLoop) applyEffect(effect membership.ExchangeEffect) {
	switch x := effect.(type) {
	case membership.SendDigest:
		go l.sendDigest(x)
	case membership.FetchConfig:
		go l.fetchConfig(x.From)
	case membership.WatchStore:
		go l.watchStore(x)
	case membership.ReadStore:
		go l.readStore()
	case membership.ReadInstances:
		go l.readInstances()
	case membership.RejectConfig:
		l.log.Error("manifest is invalid and not applied", zap.Int("version", x.Rejected.Revision.Version),
			zap.Strings("reasons", x.Rejected.Reasons))
	case membership.RaiseAlarm:
		l.log.Error("alarm is raised", zap.String("alarm", string(x.Alarm)), zap.String("reason", x.Text))
	case membership.ClearAlarm:
		l.log.Info("alarm is cleared", zap.String("alarm", string(x.Alarm)))
	}
}

// memberList returns all known members with their derived states.
func (l *exchangeLoop) memberList() []api.Member {
	table := l.exchange.Table()
	members := make([]api.Member, 0, table.Len())
	table.Each(time.Now(), func(r membership.Record) bool {
		m := r.Member
		m.State = r.State
		members = append(members, m)
		return true
	})
	return members
}

// requestConfirmation makes the next answer to a digest that is sent after this call confirm
// the manifest, if the answering peer has no newer one.
func (l *exchangeLoop) requestConfirmation() { l.confirmAfterUnixNano.Store(time.Now().UnixNano()) }

// checkConfirmation calls onConfirmed if the answer to a digest sent at the given time confirms
// the manifest in force.
func (l *exchangeLoop) checkConfirmation(sent time.Time, answer api.Revision) {
	from := l.confirmAfterUnixNano.Load()
	if from == 0 || sent.UnixNano() < from || manifest.IsNewer(answer, l.exchange.Revision()) {
		return
	}
	l.confirmAfterUnixNano.Store(0)
	l.onConfirmed()
}

func (l *exchangeLoop) sendDigest(x membership.SendDigest) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, exchangeCallTimeout)
	defer cancel()
	link, err := l.node.Link(ctx, x.To.Address)
	if err != nil {
		return
	}
	l.addEntryData(&x.Digest, link.Remote.Role)
	var answer api.Digest
	if err := link.Call(ctx, peer.MethodDigest, x.Digest, &answer); err != nil {
		l.log.Debug("peer did not answer the digest", zap.String("peer", x.To.Address), zap.Error(err))
		return
	}
	l.events.Put(l.ctx, exchangeEvent{event: membership.DigestAnswered{From: remotePeer(link, x.To.Address), Digest: answer}, digestSentAt: sent})
}

func remotePeer(link *peer.Link, address string) membership.Peer {
	return membership.Peer{Instance: link.Remote.Instance, Address: address}
}

func (l *exchangeLoop) fetchConfig(from membership.Peer) {
	ctx, cancel := context.WithTimeout(l.ctx, exchangeCallTimeout)
	defer cancel()
	var offer api.ConfigOffer
	link, err := l.node.Link(ctx, from.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodConfigFetch, struct{}{}, &offer)
	}
	if err != nil {
		l.submit(membership.FetchFailed{From: from})
		return
	}
	l.submit(membership.ConfigReceived{From: from, Offer: offer})
}

// watchStore waits in the store until the manifest has a version after x.After.
func (l *exchangeLoop) watchStore(x membership.WatchStore) {
	ctx, cancel := context.WithTimeout(l.ctx, x.Wait+storeTimeout)
	defer cancel()
	l.submitStoreResult(l.store.Watch(ctx, manifestObjectKey, x.After, x.Wait))
}

func (l *exchangeLoop) readStore() {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	object, err := l.store.Get(ctx, manifestObjectKey)
	if errors.Is(err, platform.ErrNotFound) {
		l.submit(membership.StoreEmpty{})
		return
	}
	l.submitStoreResult(object, err)
}

// submitStoreResult passes the outcome of a read or watch of the manifest to the exchange.
func (l *exchangeLoop) submitStoreResult(object platform.Object, err error) {
	switch {
	case err == nil:
		l.submit(membership.StoreRead{Object: object})
	case errors.Is(err, platform.ErrNotFound):
		l.submit(membership.StoreUnchanged{})
	default:
		l.submit(membership.StoreFailed{RetryAfter: retryAfter(err)})
	}
}

// retryAfter returns the delay that a rate-limited store asked for, 0 for other errors.
func retryAfter(err error) time.Duration {
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}

func (l *exchangeLoop) readInstances() {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	instances, err := l.store.Instances(ctx)
	if err != nil {
		l.submit(membership.InstanceListFailed{})
		return
	}
	l.submit(membership.InstanceList{Instances: instances})
}

// publishStatus stores the status of the exchange for other goroutines.
func (l *exchangeLoop) publishStatus() {
	l.status.Store(&exchangeStatus{
		alarms: l.exchange.Alarms(), rejected: l.exchange.Rejected(),
		storeReachable: l.exchange.StoreReachable(), peerCount: l.exchange.Table().Len(),
	})
}

// addStatus adds the exchange's part to the status of an entry: alarms, rejected manifests,
// whether the store is reachable, and the number of known members.
func (l *exchangeLoop) addStatus(s *api.Status) {
	status := l.status.Load()
	if status == nil {
		return
	}
	s.Alarms = append(s.Alarms, status.alarms...)
	s.Rejected, s.StoreReachable, s.Peers = status.rejected, status.storeReachable, status.peerCount
}
