package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
)

const (
	simTick = 50 * time.Millisecond
	// simEnvelopeBytes is the size of the JSON-RPC fields around a message.
	simEnvelopeBytes = 70
	// simDomains is the number of failure domains.
	simDomains = 4
)

// message is an event that is to be delivered to a process.
type message struct {
	at          time.Time
	order       int
	to          int
	incarnation int // messages to an earlier incarnation are dropped
	event       ExchangeEvent
}

// queue is a heap of messages by delivery time. It implements heap.Interface.
type queue []message

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(m any)   { *q = append(*q, m.(message)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim connects Exchange instances by a message queue with delay and loss. The store
// is a single object that processes read and watch.
type sim struct {
	now            time.Time
	currentSender  int // the process whose effects are being applied
	rng            *rand.Rand
	loss           float64
	queue          queue
	nextOrder      int
	procs          []*Exchange
	incarnations   []int
	dead           []bool
	indexByAddress map[string]int
	list           []platform.Instance
	cfg            ExchangeConfig
	object         platform.Object
	storeDown      bool
	// partitioned blocks messages between the regions; only the first region
	// reaches the store.
	partitioned bool
	// watches holds the processes with a waiting WatchStore, with their
	// incarnation.
	watches map[int]int

	storeCalls   int
	maxWatching  int
	bytes        int
	configBytes  int
	fetches      int
	cutBacks     int
	demands      int
	applied      []api.Revision // highest revision ever applied, by process
	appliedAt    []time.Time
	violations   []string
	validCommits []api.Revision          // revisions of the valid manifests in commit order
	valid        map[api.Revision]string // committed valid manifests by revision
	rejected     map[api.Revision]int
}

func newSim(size int, loss float64, seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), loss: loss,
		indexByAddress: map[string]int{}, watches: map[int]int{}, rejected: map[api.Revision]int{},
		applied: make([]api.Revision, size), appliedAt: make([]time.Time, size), incarnations: make([]int, size), dead: make([]bool, size),
		valid: map[api.Revision]string{},
	}
	s.cfg.Compile = compileTest
	for i := range size {
		m := s.member(i)
		s.indexByAddress[m.Address] = i
		if i < 2*simDomains {
			s.cfg.Seeds = append(s.cfg.Seeds, m.Address)
		}
		s.list = append(s.list, platform.Instance{Name: m.Instance, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region, Role: m.Role})
	}
	for i := range size {
		s.procs = append(s.procs, s.newProcess(i))
	}
	return s
}

func (s *sim) member(i int) api.Member {
	role := "sidecar"
	if i < 2*simDomains {
		role = "entry"
	}
	return api.Member{
		Instance: fmt.Sprintf("instance-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%simDomains), Region: fmt.Sprintf("region-%d", i%2), Role: role,
		Incarnation: int(s.now.UnixNano()) + i, State: api.MemberStateReady,
		BackendServer: fmt.Sprintf("backend-%04d", i), Pool: "paid", Versions: []string{"draft-large-3", "lookup-small-7"}, Slots: 16,
	}
}

func (s *sim) newProcess(i int) *Exchange {
	return NewExchange(s.member(i), s.cfg, rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i))))
}

// compileTest accepts every manifest except one with the field invalid set.
func compileTest(raw []byte, revision api.Revision) (*manifest.Snapshot, error) {
	var m struct {
		Invalid bool `json:"invalid"`
	}
	if err := json.Unmarshal(raw, &m); err != nil || m.Invalid {
		return nil, fmt.Errorf("manifest is invalid")
	}
	return &manifest.Snapshot{Revision: revision, Raw: raw}, nil
}

// commit writes a manifest to the store as manifest.Committer does.
func (s *sim) commit(generation int, invalid bool) api.Revision {
	s.object.Version++
	s.object.Generation = max(s.object.Generation, int64(generation))
	s.object.Value = fmt.Appendf(nil, `{"commit":{"generation":%d},"invalid":%v,"number":%d}`, generation, invalid, s.rng.Int())
	revision := manifest.RevisionOf(s.object)
	if !invalid {
		s.valid[revision] = string(s.object.Value)
		s.validCommits = append(s.validCommits, revision)
	}
	s.answerWatches()
	return revision
}

// restore writes an earlier object to the store under the given generation.
func (s *sim) restore(old platform.Object, generation int64) {
	s.object = old
	s.object.Generation = generation
	s.answerWatches()
}

// answerWatches completes every waiting watch.
func (s *sim) answerWatches() {
	for i, incarnation := range s.watches {
		delete(s.watches, i)
		s.enqueue(i, incarnation, s.storeAnswer(), 5*time.Millisecond)
	}
}

// storeAnswer returns the result of a store call at this time.
func (s *sim) storeAnswer() ExchangeEvent {
	if s.storeDown {
		return StoreFailed{}
	}
	return StoreRead{Object: s.object}
}

func (s *sim) setStoreDown(down bool) {
	s.storeDown = down
	if down {
		s.answerWatches()
	}
}

func (s *sim) enqueue(to, incarnation int, event ExchangeEvent, delay time.Duration) {
	s.nextOrder++
	heap.Push(&s.queue, message{at: s.now.Add(delay), order: s.nextOrder, to: to, incarnation: incarnation, event: event})
}

// send delivers a message to another process after 1 to 5 ms, or loses it.
func (s *sim) send(to Peer, event ExchangeEvent) {
	i, ok := s.indexByAddress[to.Address]
	if !ok || s.rng.Float64() < s.loss || s.partitioned && s.regionOf(i) != s.regionOf(s.currentSender) {
		return
	}
	s.enqueue(i, s.incarnations[i], event, time.Millisecond+time.Duration(s.rng.IntN(4000))*time.Microsecond)
}

// restart replaces a process by its next incarnation.
func (s *sim) restart(i int) {
	s.incarnations[i]++
	s.dead[i] = false
	s.procs[i] = s.newProcess(i)
	s.applied[i], s.appliedAt[i] = api.Revision{}, time.Time{}
	delete(s.watches, i)
}

// run advances the simulation by d, delivering due messages before each tick.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for tick := s.now.Truncate(simTick).Add(simTick); !tick.After(end); tick = tick.Add(simTick) {
		for len(s.queue) > 0 && !s.queue[0].at.After(tick) {
			m := heap.Pop(&s.queue).(message)
			s.now = m.at
			if m.incarnation == s.incarnations[m.to] && !s.dead[m.to] {
				s.handle(m.to, m.event)
			}
		}
		s.now = tick
		for i := range s.procs {
			if !s.dead[i] {
				s.handle(i, Tick{})
			}
		}
	}
}

// runUntil runs until every live process holds the revision, for at most d. It
// returns the time until the last process applied a revision.
func (s *sim) runUntil(revision api.Revision, d time.Duration) time.Duration {
	from := s.now
	for s.now.Sub(from) < d && !s.allAtRevision(revision) {
		s.run(simTick)
	}
	last := from
	for i := range s.procs {
		if s.appliedAt[i].After(last) {
			last = s.appliedAt[i]
		}
	}
	return last.Sub(from)
}

func (s *sim) allAtRevision(revision api.Revision) bool {
	for i, x := range s.procs {
		if !s.dead[i] && x.Revision() != revision {
			return false
		}
	}
	return true
}

func (s *sim) handle(i int, event ExchangeEvent) {
	for _, effect := range s.procs[i].Handle(s.now, event) {
		s.applyEffect(i, effect)
	}
}

func (s *sim) applyEffect(i int, effect ExchangeEffect) {
	self := Peer{Instance: s.list[i].Name, Address: s.list[i].Address}
	s.currentSender = i
	if s.partitioned && s.regionOf(i) != 0 && s.failCall(i, effect) {
		return
	}
	switch e := effect.(type) {
	case SendDigest:
		s.countDigestBytes(e.Digest)
		s.send(e.To, DigestReceived{From: self, Digest: e.Digest})
	case AnswerDigest:
		s.countDigestBytes(e.Digest)
		s.send(e.To, DigestAnswered{From: self, Digest: e.Digest})
	case FetchConfig:
		s.bytes += simEnvelopeBytes
		s.send(e.From, ConfigRequested{From: self})
	case AnswerConfig:
		s.fetches++
		s.configBytes += len(e.Offer.Manifest) + simEnvelopeBytes
		s.send(e.To, ConfigReceived{From: self, Offer: e.Offer})
	case ReadStore:
		s.storeCalls++
		event := s.storeAnswer()
		if !s.storeDown && s.object.Version == 0 {
			event = StoreEmpty{}
		}
		s.enqueue(i, s.incarnations[i], event, 5*time.Millisecond)
	case WatchStore:
		s.watch(i, e)
	case ReadInstances:
		s.storeCalls++
		if s.storeDown {
			s.enqueue(i, s.incarnations[i], InstanceListFailed{}, 5*time.Millisecond)
		} else {
			s.enqueue(i, s.incarnations[i], InstanceList{Instances: s.list}, 5*time.Millisecond)
		}
	default:
		s.recordEffect(i, effect)
	}
}

func (s *sim) regionOf(i int) int { return i % 2 }

// failCall fails a store call. It returns false for an effect that is not one.
func (s *sim) failCall(i int, effect ExchangeEffect) bool {
	switch effect.(type) {
	case ReadStore, WatchStore:
		s.enqueue(i, s.incarnations[i], StoreFailed{}, 5*time.Millisecond)
	case ReadInstances:
		s.enqueue(i, s.incarnations[i], InstanceListFailed{}, 5*time.Millisecond)
	default:
		return false
	}
	s.storeCalls++
	return true
}

func (s *sim) watch(i int, e WatchStore) {
	s.storeCalls++
	if s.storeDown || s.object.Version != e.After {
		s.enqueue(i, s.incarnations[i], s.storeAnswer(), 5*time.Millisecond)
		return
	}
	s.watches[i] = s.incarnations[i]
	s.maxWatching = max(s.maxWatching, len(s.watches))
}

// recordEffect counts effects and records a violation when a process applies an
// older manifest or one that was not committed as valid.
func (s *sim) recordEffect(i int, effect ExchangeEffect) {
	switch e := effect.(type) {
	case ApplyConfig:
		revision := e.Snapshot.Revision
		if raw, ok := s.valid[revision]; !ok || raw != string(e.Snapshot.Raw) {
			s.violations = append(s.violations, fmt.Sprintf("process %d applied revision %v with a manifest that was not committed as valid", i, revision))
		}
		if !manifest.IsNewer(revision, s.applied[i]) {
			s.violations = append(s.violations, fmt.Sprintf("process %d went from revision %v back to %v", i, s.applied[i], revision))
		}
		s.applied[i], s.appliedAt[i] = revision, s.now
	case CutBackReceived:
		s.cutBacks++
	case DemandReceived:
		s.demands++
	case RejectConfig:
		s.rejected[e.Rejected.Revision]++
	}
}

// countAlarmed returns the number of live processes in which an alarm is raised.
func (s *sim) countAlarmed(a Alarm) int {
	n := 0
	for i, x := range s.procs {
		if _, ok := x.alarms[a]; ok && !s.dead[i] {
			n++
		}
	}
	return n
}

func (s *sim) countDigestBytes(d api.Digest) {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	s.bytes += len(raw) + simEnvelopeBytes
}

func (s *sim) countWatchers() int {
	n := 0
	for i, x := range s.procs {
		if x.Watching() && !s.dead[i] {
			n++
		}
	}
	return n
}
