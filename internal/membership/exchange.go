package membership

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// updatePushes is how often a new revision is pushed, updatePushPeers the
	// number of peers of each push, and updatePushInterval the time between pushes.
	// One push to 3 peers, without any loss, leaves about 1 in 17 processes to the
	// slower regular digests.
	updatePushes       = 3
	updatePushPeers    = 3
	updatePushInterval = 150 * time.Millisecond
	// sameDomainShare is the fraction of digests sent to peers in the same failure
	// domain.
	sameDomainShare = 0.75
	// expiryInterval is the interval between scans for expired members and demands.
	expiryInterval = 5 * time.Second
	// bootDigestFactor multiplies the digest rate of a process without a manifest.
	bootDigestFactor = 3
	// maxMemberSends, maxPriorityMemberSends, maxCutBackSends and maxDemandSends
	// bound how often a process relays one item. Records that relaying does not
	// deliver arrive by the instance list and hello messages.
	maxMemberSends         = 4
	maxPriorityMemberSends = 8
	maxCutBackSends        = 12
	maxDemandSends         = 6
)

// Exchange is the gossip state machine of one process. It distributes manifests,
// member records, cut-backs and demand measurements, and decides whether the
// process watches the store.
type Exchange struct {
	self      api.Member
	cfg       ExchangeConfig
	rng       *rand.Rand
	table     *Table
	now       time.Time
	startedAt time.Time
	effects   []ExchangeEffect
	alarms    map[Alarm]string

	config configState
	store  storeState
	gossip gossipState

	nextInstanceRead     time.Time
	nextExpiry           time.Time
	instanceListReceived bool
}

// NewExchange returns the state machine of the process described by self. The
// Exchange takes ownership of rng.
func NewExchange(self api.Member, cfg ExchangeConfig, rng *rand.Rand) *Exchange {
	cfg = cfg.withDefaults()
	return &Exchange{
		self:   self,
		cfg:    cfg,
		rng:    rng,
		table:  NewTable(self.Instance, cfg.Table),
		alarms: map[Alarm]string{},
		store:  storeState{watcherLastCalls: map[string]time.Time{}},
		gossip: newGossipState(),
	}
}

// Handle processes one event and returns the effects to carry out, in order. The
// slice is valid until the next call.
func (x *Exchange) Handle(now time.Time, event ExchangeEvent) []ExchangeEffect {
	x.beginEvent(now)
	switch e := event.(type) {
	case Tick:
		x.tick()
	case DigestReceived:
		x.applyDigest(e.From, e.Digest)
		x.emit(AnswerDigest{To: e.From, Digest: x.answerDigest(e.From, e.Digest)})
	case DigestAnswered:
		x.applyDigest(e.From, e.Digest)
	case ConfigReceived:
		x.handleConfigReceived(e)
	case FetchFailed:
		x.config.fetchDeadline = now
	case ConfigRequested:
		x.answerConfig(e.From)
	default:
		if !x.handleStoreEvent(event) {
			x.handleMemberEvent(event)
		}
	}
	return x.effects
}

// handleStoreEvent handles the result of a store call and reports whether the event
// is one.
func (x *Exchange) handleStoreEvent(event ExchangeEvent) bool {
	switch e := event.(type) {
	case StoreRead:
		x.handleStoreRead(e.Object)
	case StoreUnchanged:
		x.recordStoreAnswer()
	case StoreEmpty:
		x.handleStoreEmpty()
	case StoreFailed:
		x.handleStoreFailed(e.RetryAfter)
	default:
		return false
	}
	return true
}

func (x *Exchange) handleMemberEvent(event ExchangeEvent) {
	switch e := event.(type) {
	case InstanceList:
		x.handleInstanceList(e)
	case InstanceListFailed:
		x.nextInstanceRead = x.now.Add(x.jitter(x.cfg.InstanceListInterval / 3))
	case MemberRecordReceived:
		x.mergeMember(e.Member, FromMember)
	case MemberObserved:
		x.emitMemberUpdated(x.table.Observe(x.now, e.Instance, e.Incarnation, e.Signals))
	case MemberFailed:
		x.emitMemberUpdated(x.table.MarkDead(x.now, e.Instance, e.Incarnation))
	case SelfChanged:
		x.updateSelf(e.Member)
	case CutBackDecided:
		x.addLocalCutBack(e.CutBack)
	case DemandMeasured:
		x.recordDemand(e.Demand, false)
	}
}

// beginEvent sets the current time and clears the effects. On the first event it
// also schedules the first digest and starts relaying the process's own record.
func (x *Exchange) beginEvent(now time.Time) {
	x.now = now
	x.effects = x.effects[:0]
	if !x.startedAt.IsZero() {
		return
	}
	x.startedAt = now
	x.gossip.nextDigest = now.Add(time.Duration(x.rng.Float64() * float64(x.cfg.DigestInterval)))
	x.gossip.pushesLeft = updatePushes
	x.relayMember(&x.self)
}

func (x *Exchange) emit(e ExchangeEffect) { x.effects = append(x.effects, e) }

func (x *Exchange) tick() {
	if !x.now.Before(x.nextInstanceRead) {
		// The result of the read reschedules this. The interval set here applies
		// when no result arrives.
		x.nextInstanceRead = x.now.Add(x.cfg.InstanceListInterval)
		x.emit(ReadInstances{})
	}
	if !x.now.Before(x.nextExpiry) {
		x.nextExpiry = x.now.Add(expiryInterval)
		for _, r := range x.table.Expire(x.now) {
			x.emit(MemberUpdated{Record: r})
		}
		x.dropExpiredDemands()
	}
	x.tickConfig()
	x.tickStore()
	x.tickGossip()
}

// jitter returns a random duration, uniform between 0.5*d and 1.5*d.
func (x *Exchange) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + x.rng.Float64()) * float64(d))
}

func (x *Exchange) handleInstanceList(e InstanceList) {
	x.instanceListReceived = x.instanceListReceived || len(e.Instances) > 0
	x.nextInstanceRead = x.now.Add(x.jitter(x.cfg.InstanceListInterval))
	for _, r := range x.table.ApplyList(x.now, e.Instances) {
		x.emitMemberUpdated(r, true)
	}
}

func (x *Exchange) emitMemberUpdated(r Record, changed bool) {
	if changed {
		x.emit(MemberUpdated{Record: r})
	}
}

// mergeMember merges a member record into the table and relays it if it supersedes
// the known one.
func (x *Exchange) mergeMember(m api.Member, source Source) {
	if m.Instance == x.self.Instance {
		x.refuteSelf(m)
		return
	}
	before, known := x.table.Get(x.now, m.Instance)
	r, changed := x.table.Apply(x.now, m, source)
	x.emitMemberUpdated(r, changed)
	if changed && (!known || supersedes(&m, &before.Member)) {
		x.relayMember(&m)
	}
}

// refuteSelf handles a peer's record about this process. A record of the same
// incarnation with a higher sequence number is superseded by relaying the process's
// own record with a higher one; a later incarnation raises the duplicate instance
// alarm.
func (x *Exchange) refuteSelf(m api.Member) {
	if m.Incarnation > x.self.Incarnation {
		x.raiseAlarm(AlarmDuplicateInstance, "another process that started later uses instance name "+m.Instance)
		return
	}
	if m.Incarnation == x.self.Incarnation && m.Sequence > x.self.Sequence {
		x.self.Sequence = m.Sequence + 1
		x.relayMember(&x.self)
	}
}

// updateSelf replaces the process's own record and relays it.
func (x *Exchange) updateSelf(m api.Member) {
	m.Instance, m.Incarnation = x.self.Instance, x.self.Incarnation
	m.Sequence = x.self.Sequence + 1
	x.self = m
	x.relayMember(&x.self)
}

// raiseAlarm raises an alarm unless it is already raised with the same text.
func (x *Exchange) raiseAlarm(a Alarm, text string) {
	if x.alarms[a] == text {
		return
	}
	x.alarms[a] = text
	x.emit(RaiseAlarm{Alarm: a, Text: text})
}

func (x *Exchange) clearAlarm(a Alarm) {
	if _, ok := x.alarms[a]; !ok {
		return
	}
	delete(x.alarms, a)
	x.emit(ClearAlarm{Alarm: a})
}

// Snapshot returns the snapshot of the manifest in force, or nil if there is none.
func (x *Exchange) Snapshot() *manifest.Snapshot { return x.config.current }

// Revision returns the revision in force, or the zero revision if there is none.
func (x *Exchange) Revision() api.Revision {
	if x.config.current == nil {
		return api.Revision{}
	}
	return x.config.current.Revision
}

// Table returns the member table. Only Handle changes it.
func (x *Exchange) Table() *Table { return x.table }

// Self returns the member record of this process.
func (x *Exchange) Self() api.Member { return x.self }

// Watching reports whether this process watches the store.
func (x *Exchange) Watching() bool { return x.store.watching }

// StoreReachable reports whether the last store call of this process succeeded.
func (x *Exchange) StoreReachable() bool { return x.store.reachable }

// Alarms returns the raised alarms, each as "kind: text".
func (x *Exchange) Alarms() []string {
	var texts []string
	for _, a := range []Alarm{AlarmStoreRestored, AlarmManifestRejected, AlarmStoreUnreachable, AlarmDuplicateInstance} {
		if text, ok := x.alarms[a]; ok {
			texts = append(texts, string(a)+": "+text)
		}
	}
	return texts
}
