// Package composed fuzzes several entry and sidecar cores together in a simulation
// with virtual time. It injects message loss, kills, freezes, store faults and
// engine faults, and checks the guarantees of docs/design.md after every step.
package composed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/sidecar"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// simulation holds the cores, the network between them, the store and the pending
// events on virtual time.
type simulation struct {
	now          time.Time
	rng          *rand.Rand
	events       eventHeap
	sequence     int
	entries      []*entryNode
	sidecars     []*sidecarNode
	store        *memstore.Store
	snapshot     *manifest.Snapshot
	oracle       *oracle
	engineFaults engineFaults
	peerFaults   peerFaults
	// remoteGrants counts the claims that another entry granted.
	remoteGrants int
}

// engineFaults holds the probabilities of backend server faults: an attempt is
// refused, a service call fails after it ran, or a chat answer is truncated (a
// tenth of truncate at each token).
type engineFaults struct{ refuse, fail, truncate float64 }

// event is a function that runs at a point of virtual time.
type event struct {
	due      time.Time
	sequence int
	run      func()
}

// eventHeap orders events by due time, and events with the same time by sequence.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// process is the state that entries and sidecars have in common.
type process struct {
	name        string
	incarnation int
	alive       bool
	frozen      bool
	// deferredDeliveries are run when the process thaws.
	deferredDeliveries []func()
	// frozenAt and thawedAt are the beginning and end of the last freeze.
	frozenAt, thawedAt time.Time
}

// deliver runs f, or if the process is frozen, keeps f until it thaws.
func (p *process) deliver(f func()) {
	if p.frozen {
		p.deferredDeliveries = append(p.deferredDeliveries, f)
		return
	}
	f()
}

// entryNode is an entry process.
type entryNode struct {
	process
	core    *entry.Core
	pending map[attemptKey]*link
	// pendingPeerCalls are the calls of other entries that this process has not
	// answered yet.
	pendingPeerCalls map[uint64]func(api.ClaimResult)
	lastPeerCall     uint64
}

// sidecarNode is a sidecar process with its backend server.
type sidecarNode struct {
	process
	core            *sidecar.Core
	links           map[sidecar.LinkID]*link
	lastLink        sidecar.LinkID
	running         map[attemptKey]bool
	member          api.Member
	replicaCalls    map[uint64]func()
	lastReplicaCall uint64
	draining        bool
}

type attemptKey struct {
	request string
	attempt int
}

// link is the connection of one entry process to one sidecar process. It delivers
// messages in order until it is cut.
type link struct {
	entry            *entryNode
	sidecar          *sidecarNode
	entryIncarnation int
	id               sidecar.LinkID
	cut              bool
	// lastUpAt and lastDownAt are the delivery times of the last message to the
	// sidecar and to the entry.
	lastUpAt, lastDownAt time.Time
}

const (
	entryCount   = 2
	sidecarCount = 3
	startUnix    = 1_800_000_000
)

// newSimulation starts all processes and advances the virtual time by 1 s.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{now: time.Unix(startUnix, 0), rng: rand.New(rand.NewPCG(seed, seed+1))}
	sim.store = memstore.NewWithClock(func() time.Time { return sim.now })
	sim.oracle = newOracle(sim)
	sim.commitManifest(testManifest(api.PhaseServing, true))
	for i := range sidecarCount {
		sim.sidecars = append(sim.sidecars, &sidecarNode{process: process{name: fmt.Sprintf("s%d", i)}})
		sim.startSidecar(sim.sidecars[i])
	}
	for i := range entryCount {
		sim.entries = append(sim.entries, &entryNode{process: process{name: fmt.Sprintf("e%d", i)}})
		sim.startEntry(sim.entries[i])
	}
	sim.announceMembers()
	sim.advance(time.Second)
	return sim
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.sequence, f})
}

func (sim *simulation) messageDelay() time.Duration {
	return time.Duration(1+sim.rng.IntN(5)) * time.Millisecond
}

// advance moves the virtual time forward by d and runs the events that become due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].due.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.due
		e.run()
	}
	sim.now = end
}

func (sim *simulation) killEntry(n *entryNode) {
	n.alive = false
	sim.oracle.recordEntryKill(n)
	for _, s := range sim.sidecars {
		for _, id := range sortedLinks(s.links) {
			if l := s.links[id]; l != nil && l.entry == n {
				sim.cutLink(l)
			}
		}
	}
}

func (sim *simulation) members() []api.Member {
	var out []api.Member
	for _, s := range sim.sidecars {
		if s.alive {
			out = append(out, s.member)
		}
	}
	for _, n := range sim.entries {
		if n.alive {
			out = append(out, entryMember(n))
		}
	}
	return out
}

// announceMembers sends the member list to each entry after a random delay of up
// to 800 ms.
func (sim *simulation) announceMembers() {
	for _, n := range sim.entries {
		incarnation := n.incarnation
		sim.schedule(time.Duration(sim.rng.IntN(800))*time.Millisecond, func() {
			sim.deliverToEntry(n, incarnation, entry.MembersChanged{Members: sim.members()})
		})
	}
}

// commitManifest commits a manifest, which each process applies after a random
// delay of up to 3 s.
func (sim *simulation) commitManifest(m api.Manifest) {
	revision := api.Revision{Generation: 1, Version: 1}
	if sim.snapshot != nil {
		revision.Version = sim.snapshot.Revision.Version + 1
	}
	s, err := manifest.Compile(encode(m), revision)
	if err != nil {
		panic(err)
	}
	sim.snapshot = s
	sim.oracle.recordCommit(s)
	for _, n := range sim.entries {
		incarnation := n.incarnation
		sim.schedule(sim.commitDelay(), func() { sim.deliverToEntry(n, incarnation, entry.SnapshotApplied{Snapshot: s}) })
	}
	for _, n := range sim.sidecars {
		incarnation := n.incarnation
		sim.schedule(sim.commitDelay(), func() { sim.deliverToSidecar(n, incarnation, sidecar.SnapshotApplied{Snapshot: s}) })
	}
}

func (sim *simulation) commitDelay() time.Duration {
	return time.Duration(sim.rng.IntN(3000)) * time.Millisecond
}

// freeze suspends a process, as a pause of its virtual machine does. The process
// is not informed.
func (p *process) freeze(now time.Time) {
	if p.alive && !p.frozen {
		p.frozen = true
		p.frozenAt = now
	}
}

// thaw resumes a frozen process and delivers what arrived during the freeze.
func (p *process) thaw(now time.Time) {
	if !p.frozen {
		return
	}
	p.frozen = false
	p.thawedAt = now
	deliveries := p.deferredDeliveries
	p.deferredDeliveries = nil
	for _, f := range deliveries {
		f()
	}
}

// frozenSince reports whether the process is frozen, or thawed at t or later.
func (p *process) frozenSince(t time.Time) bool {
	return p.frozen || p.thawedAt.After(t) || p.thawedAt.Equal(t)
}
