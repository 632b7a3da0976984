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
	// simEnvelope stands for the JSON-RPC fields around a message, in bytes.
	simEnvelope = 70
	// simDomains is the number of failure domains at the target size.
	simDomains = 4
)

// message is an event on its way to a process.
type message struct {
	at    time.Time
	order int
	to    int
	life  int // processes drop messages to their earlier incarnation
	event ExchangeEvent
}

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

// sim joins Exchange instances by a queue of messages with delay and loss. The
// store is one object that processes read and watch.
type sim struct {
	now    time.Time
	sender int // the process whose effects are carried out
	rng    *rand.Rand
	loss   float64
	queue  queue
	order  int
	procs  []*Exchange
	lives  []int
	dead   []bool
	names  map[string]int
	list   []platform.Instance
	cfg    ExchangeConfig
	object platform.Object
	down   bool
	// cut separates the regions; the store stays with the first one.
	cut bool
	// watches holds the waiting watches as process and incarnation.
	watches map[int]int

	storeCalls  int
	maxWatching int
	bytes       int
	configBytes int
	fetches     int
	cutBacks    int
	demands     int
	applied     []api.Revision // highest revision ever applied, by process
	appliedAt   []time.Time
	violations  []string
	commits     []api.Revision          // the valid ones in order
	valid       map[api.Revision]string // every valid manifest that was committed
	rejected    map[api.Revision]int
}

func newSim(size int, loss float64, seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), loss: loss,
		names: map[string]int{}, watches: map[int]int{}, rejected: map[api.Revision]int{},
		applied: make([]api.Revision, size), appliedAt: make([]time.Time, size), lives: make([]int, size), dead: make([]bool, size),
		valid: map[api.Revision]string{},
	}
	s.cfg.Compile = compileTest
	for i := range size {
		m := s.member(i)
		s.names[m.Address] = i
		if i < 2*simDomains {
			s.cfg.Seeds = append(s.cfg.Seeds, m.Address)
		}
		s.list = append(s.list, platform.Instance{Name: m.Instance, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region, Role: m.Role})
	}
	for i := range size {
		s.procs = append(s.procs, s.start(i))
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

func (s *sim) start(i int) *Exchange {
	return NewExchange(s.member(i), s.cfg, rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i))))
}

// compileTest accepts any manifest that does not say it is invalid.
func compileTest(raw []byte, revision api.Revision) (*manifest.Snapshot, error) {
	var m struct {
		Invalid bool `json:"invalid"`
	}
	if err := json.Unmarshal(raw, &m); err != nil || m.Invalid {
		return nil, fmt.Errorf("manifest is invalid")
	}
	return &manifest.Snapshot{Revision: revision, Raw: raw}, nil
}

// commit writes a manifest as Committer does.
func (s *sim) commit(generation int, invalid bool) api.Revision {
	s.object.Version++
	s.object.Generation = max(s.object.Generation, int64(generation))
	s.object.Value = fmt.Appendf(nil, `{"commit":{"generation":%d},"invalid":%v,"number":%d}`, generation, invalid, s.rng.Int())
	revision := manifest.RevisionOf(s.object)
	if !invalid {
		s.valid[revision] = string(s.object.Value)
		s.commits = append(s.commits, revision)
	}
	s.wake()
	return revision
}

// restore puts an earlier object back; the generation rises or stays.
func (s *sim) restore(old platform.Object, generation int64) {
	s.object = old
	s.object.Generation = generation
	s.wake()
}

// wake answers the waiting watches.
func (s *sim) wake() {
	for i, life := range s.watches {
		delete(s.watches, i)
		s.post(i, life, s.answerOf(), 5*time.Millisecond)
	}
}

func (s *sim) answerOf() ExchangeEvent {
	if s.down {
		return StoreFailed{}
	}
	return StoreRead{Object: s.object}
}

func (s *sim) setDown(down bool) {
	s.down = down
	if down {
		s.wake()
	}
}

func (s *sim) post(to, life int, event ExchangeEvent, delay time.Duration) {
	s.order++
	heap.Push(&s.queue, message{at: s.now.Add(delay), order: s.order, to: to, life: life, event: event})
}

// send passes a message between processes with 1 to 5 ms delay, or loses it.
func (s *sim) send(to Peer, event ExchangeEvent) {
	i, ok := s.names[to.Address]
	if !ok || s.rng.Float64() < s.loss || s.cut && s.regionOf(i) != s.regionOf(s.sender) {
		return
	}
	s.post(i, s.lives[i], event, time.Millisecond+time.Duration(s.rng.IntN(4000))*time.Microsecond)
}

// restart replaces a process by its next incarnation.
func (s *sim) restart(i int) {
	s.lives[i]++
	s.dead[i] = false
	s.procs[i] = s.start(i)
	s.applied[i], s.appliedAt[i] = api.Revision{}, time.Time{}
	delete(s.watches, i)
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for tick := s.now.Truncate(simTick).Add(simTick); !tick.After(end); tick = tick.Add(simTick) {
		for len(s.queue) > 0 && !s.queue[0].at.After(tick) {
			m := heap.Pop(&s.queue).(message)
			s.now = m.at
			if m.life == s.lives[m.to] && !s.dead[m.to] {
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

// runUntil runs until every process holds the revision, at most d, and returns
// how long it took.
func (s *sim) runUntil(revision api.Revision, d time.Duration) time.Duration {
	from := s.now
	for s.now.Sub(from) < d && !s.all(revision) {
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

func (s *sim) all(revision api.Revision) bool {
	for i, x := range s.procs {
		if !s.dead[i] && x.Revision() != revision {
			return false
		}
	}
	return true
}

func (s *sim) handle(i int, event ExchangeEvent) {
	for _, effect := range s.procs[i].Handle(s.now, event) {
		s.carryOut(i, effect)
	}
}

func (s *sim) carryOut(i int, effect ExchangeEffect) {
	me := Peer{Instance: s.list[i].Name, Address: s.list[i].Address}
	s.sender = i
	if s.cut && s.regionOf(i) != 0 && s.failCall(i, effect) {
		return
	}
	switch e := effect.(type) {
	case SendDigest:
		s.count(e.Digest)
		s.send(e.To, DigestReceived{From: me, Digest: e.Digest})
	case AnswerDigest:
		s.count(e.Digest)
		s.send(e.To, DigestAnswered{From: me, Digest: e.Digest})
	case FetchConfig:
		s.bytes += simEnvelope
		s.send(e.From, ConfigRequested{From: me})
	case AnswerConfig:
		s.fetches++
		s.configBytes += len(e.Offer.Manifest) + simEnvelope
		s.send(e.To, ConfigReceived{From: me, Offer: e.Offer})
	case ReadStore:
		s.storeCalls++
		event := s.answerOf()
		if !s.down && s.object.Version == 0 {
			event = StoreEmpty{}
		}
		s.post(i, s.lives[i], event, 5*time.Millisecond)
	case WatchStore:
		s.watch(i, e)
	case ReadInstances:
		s.storeCalls++
		if s.down {
			s.post(i, s.lives[i], InstanceListFailed{}, 5*time.Millisecond)
		} else {
			s.post(i, s.lives[i], InstanceList{Instances: s.list}, 5*time.Millisecond)
		}
	default:
		s.observe(i, effect)
	}
}

func (s *sim) regionOf(i int) int { return i % 2 }

// failCall fails a call to the store and reports whether the effect is one.
func (s *sim) failCall(i int, effect ExchangeEffect) bool {
	switch effect.(type) {
	case ReadStore, WatchStore:
		s.post(i, s.lives[i], StoreFailed{}, 5*time.Millisecond)
	case ReadInstances:
		s.post(i, s.lives[i], InstanceListFailed{}, 5*time.Millisecond)
	default:
		return false
	}
	s.storeCalls++
	return true
}

func (s *sim) watch(i int, e WatchStore) {
	s.storeCalls++
	if s.down || s.object.Version != e.After {
		s.post(i, s.lives[i], s.answerOf(), 5*time.Millisecond)
		return
	}
	s.watches[i] = s.lives[i]
	s.maxWatching = max(s.maxWatching, len(s.watches))
}

// observe checks at every step that no process goes back or applies an invalid
// manifest.
func (s *sim) observe(i int, effect ExchangeEffect) {
	switch e := effect.(type) {
	case ApplyConfig:
		revision := e.Snapshot.Revision
		if raw, ok := s.valid[revision]; !ok || raw != string(e.Snapshot.Raw) {
			s.violations = append(s.violations, fmt.Sprintf("process %d applied %v, which was not committed like that", i, revision))
		}
		if !manifest.Newer(revision, s.applied[i]) {
			s.violations = append(s.violations, fmt.Sprintf("process %d went from %v to %v", i, s.applied[i], revision))
		}
		s.applied[i], s.appliedAt[i] = revision, s.now
	case CutBackLearned:
		s.cutBacks++
	case DemandLearned:
		s.demands++
	case RejectConfig:
		s.rejected[e.Rejected.Revision]++
	}
}

// alarmed counts the live processes that have an alarm raised.
func (s *sim) alarmed(a Alarm) int {
	n := 0
	for i, x := range s.procs {
		if _, ok := x.alarms[a]; ok && !s.dead[i] {
			n++
		}
	}
	return n
}

func (s *sim) count(d api.Digest) {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	s.bytes += len(raw) + simEnvelope
}

func (s *sim) watchers() int {
	n := 0
	for i, x := range s.procs {
		if x.Watching() && !s.dead[i] {
			n++
		}
	}
	return n
}
