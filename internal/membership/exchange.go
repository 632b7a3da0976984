package membership

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// hotRounds is the number of times a new revision is pushed, hotPeers the peers
	// of each push, and hotEvery the time between two pushes. One push to 3 peers
	// leaves about 1 in 17 processes to the slower digests without any loss.
	hotRounds = 3
	hotPeers  = 3
	hotEvery  = 150 * time.Millisecond
	// localShare is the share of digests that stay in the failure domain.
	localShare = 0.75
	// expireEvery is the time between two searches for expired members.
	expireEvery = 5 * time.Second
	// bootDigestFactor raises the digest rate of a process without a manifest.
	bootDigestFactor = 3
	// memberSends, endSends, cutBackSends and demandSends bound how often a process relays an
	// item. Records reach the rest by instance list and hello.
	memberSends  = 4
	endSends     = 8
	cutBackSends = 12
	demandSends  = 6
)

// Exchange is the state machine of configuration and member exchange of one
// process.
type Exchange struct {
	self    api.Member
	cfg     ExchangeConfig
	rng     *rand.Rand
	table   *Table
	now     time.Time
	started time.Time
	effects []ExchangeEffect
	alarms  map[Alarm]string

	config configState
	store  storeState
	gossip gossipState

	nextInstances time.Time
	nextExpire    time.Time
	listSeen      bool
}

// NewExchange returns the state machine of the process that self describes. The
// random source belongs to the Exchange from then on.
func NewExchange(self api.Member, cfg ExchangeConfig, rng *rand.Rand) *Exchange {
	cfg = cfg.withDefaults()
	return &Exchange{
		self:   self,
		cfg:    cfg,
		rng:    rng,
		table:  NewTable(self.Instance, cfg.Table),
		alarms: map[Alarm]string{},
		store:  storeState{watchers: map[string]time.Time{}},
		gossip: newGossipState(),
	}
}

// Handle takes one event and returns the effects to carry out. The slice is
// valid until the next call.
func (x *Exchange) Handle(now time.Time, event ExchangeEvent) []ExchangeEffect {
	x.begin(now)
	switch e := event.(type) {
	case Tick:
		x.tick()
	case DigestReceived:
		x.absorb(e.From, e.Digest)
		x.emit(AnswerDigest{To: e.From, Digest: x.answerDigest(e.From, e.Digest)})
	case DigestAnswered:
		x.absorb(e.From, e.Digest)
	case ConfigReceived:
		x.configReceived(e)
	case FetchFailed:
		x.config.fetchUntil = now
	case ConfigRequested:
		x.answerConfig(e.From)
	default:
		if !x.handleStore(event) {
			x.handleMember(event)
		}
	}
	return x.effects
}

func (x *Exchange) handleStore(event ExchangeEvent) bool {
	switch e := event.(type) {
	case StoreRead:
		x.storeRead(e.Object)
	case StoreUnchanged:
		x.storeAnswered()
	case StoreEmpty:
		x.storeEmpty()
	case StoreFailed:
		x.storeFailed(e.RetryAfter)
	default:
		return false
	}
	return true
}

func (x *Exchange) handleMember(event ExchangeEvent) {
	switch e := event.(type) {
	case InstanceList:
		x.instanceList(e)
	case InstanceListFailed:
		x.nextInstances = x.now.Add(x.jitter(x.cfg.InstancesEvery / 3))
	case MemberSeen:
		x.learn(e.Member, FromMember)
	case MemberObserved:
		x.updated(x.table.Observe(x.now, e.Instance, e.Incarnation, e.Signals))
	case MemberFailed:
		x.updated(x.table.MarkDead(x.now, e.Instance, e.Incarnation))
	case SelfChanged:
		x.selfChanged(e.Member)
	case CutBackDecided:
		x.cutBackDecided(e.CutBack)
	case DemandMeasured:
		x.demand(e.Demand, false)
	}
}

func (x *Exchange) begin(now time.Time) {
	x.now = now
	x.effects = x.effects[:0]
	if !x.started.IsZero() {
		return
	}
	x.started = now
	x.gossip.next = now.Add(time.Duration(x.rng.Float64() * float64(x.cfg.DigestEvery)))
	x.gossip.hotRounds = hotRounds
	x.spread(&x.self)
}

func (x *Exchange) emit(e ExchangeEffect) { x.effects = append(x.effects, e) }

func (x *Exchange) tick() {
	if !x.now.Before(x.nextInstances) {
		// An answer sets the next time; this one covers an answer that never comes.
		x.nextInstances = x.now.Add(x.cfg.InstancesEvery)
		x.emit(ReadInstances{})
	}
	if !x.now.Before(x.nextExpire) {
		x.nextExpire = x.now.Add(expireEvery)
		for _, r := range x.table.Expire(x.now) {
			x.emit(MemberUpdated{Record: r})
		}
		x.expireDemands()
	}
	x.tickConfig()
	x.tickStore()
	x.tickGossip()
}

// jitter spreads a duration evenly between half and one and a half of it.
func (x *Exchange) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + x.rng.Float64()) * float64(d))
}

func (x *Exchange) instanceList(e InstanceList) {
	x.listSeen = x.listSeen || len(e.Instances) > 0
	x.nextInstances = x.now.Add(x.jitter(x.cfg.InstancesEvery))
	for _, r := range x.table.ApplyList(x.now, e.Instances) {
		x.updated(r, true)
	}
}

func (x *Exchange) updated(r Record, changed bool) {
	if changed {
		x.emit(MemberUpdated{Record: r})
	}
}

// learn takes a member record and relays it when it is news.
func (x *Exchange) learn(m api.Member, source Source) {
	if m.Instance == x.self.Instance {
		x.refute(m)
		return
	}
	before, known := x.table.Get(x.now, m.Instance)
	r, changed := x.table.Apply(x.now, m, source)
	x.updated(r, changed)
	if changed && (!known || newer(&m, &before.Member)) {
		x.spread(&m)
	}
}

// refute answers a record about this process that supersedes its own.
func (x *Exchange) refute(m api.Member) {
	if m.Incarnation > x.self.Incarnation {
		x.raise(AlarmDuplicateInstance, "another process with a later start uses the instance name "+m.Instance)
		return
	}
	if m.Incarnation == x.self.Incarnation && m.Sequence > x.self.Sequence {
		x.self.Sequence = m.Sequence + 1
		x.spread(&x.self)
	}
}

func (x *Exchange) selfChanged(m api.Member) {
	m.Instance, m.Incarnation = x.self.Instance, x.self.Incarnation
	m.Sequence = x.self.Sequence + 1
	x.self = m
	x.spread(&x.self)
}

func (x *Exchange) raise(a Alarm, text string) {
	if x.alarms[a] == text {
		return
	}
	x.alarms[a] = text
	x.emit(RaiseAlarm{Alarm: a, Text: text})
}

func (x *Exchange) clear(a Alarm) {
	if _, ok := x.alarms[a]; !ok {
		return
	}
	delete(x.alarms, a)
	x.emit(ClearAlarm{Alarm: a})
}

// Snapshot returns the manifest in force, or nil.
func (x *Exchange) Snapshot() *manifest.Snapshot { return x.config.held }

// Revision returns the revision in force; zero without one.
func (x *Exchange) Revision() api.Revision {
	if x.config.held == nil {
		return api.Revision{}
	}
	return x.config.held.Revision
}

// Table returns the member table. It changes only within Handle.
func (x *Exchange) Table() *Table { return x.table }

// Self returns what the process says of itself.
func (x *Exchange) Self() api.Member { return x.self }

// Watching reports whether the process watches the store.
func (x *Exchange) Watching() bool { return x.store.watching }

// StoreReachable reports whether the last own call to the store was answered.
func (x *Exchange) StoreReachable() bool { return x.store.reachable }

// Alarms returns the texts of the alarms that are raised.
func (x *Exchange) Alarms() []string {
	var texts []string
	for _, a := range []Alarm{AlarmStoreRestored, AlarmManifestRejected, AlarmStoreUnreachable, AlarmDuplicateInstance} {
		if text, ok := x.alarms[a]; ok {
			texts = append(texts, string(a)+": "+text)
		}
	}
	return texts
}
