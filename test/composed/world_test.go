// Package composed fuzzes several entry and sidecar cores together on virtual
// time, with a lossy network, kills, freezes, store faults and engine faults, and
// checks the guarantees of docs/design.md after every step.
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

// world holds the cores, the network between them and the outside systems.
type world struct {
	now      time.Time
	rng      *rand.Rand
	queue    eventHeap
	sequence int
	entries  []*entryNode
	sidecars []*sidecarNode
	store    *memstore.Store
	snapshot *manifest.Snapshot
	oracle   *oracle
	faults   engineFaults
	peers    peerFaults
	// handed counts the claims that were granted to another entry.
	handed int
}

// engineFaults are the shares of attempts that meet a fault of the engine.
type engineFaults struct{ refuse, fail, truncate float64 }

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
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

// process is what entries and sidecars share.
type process struct {
	name        string
	incarnation int
	alive       bool
	frozen      bool
	// held are the deliveries that wait for the process to thaw.
	held []func()
	// frozenAt and thawedAt are the ends of the last freeze.
	frozenAt, thawedAt time.Time
}

// deliver runs f in the process, or keeps it while the process is frozen.
func (p *process) deliver(f func()) {
	if p.frozen {
		p.held = append(p.held, f)
		return
	}
	f()
}

type entryNode struct {
	process
	core    *entry.Core
	pending map[attemptKey]*link
	// offers are the calls of other entries that this process has not answered.
	offers    map[uint64]func(api.ClaimResult)
	lastOffer uint64
}

type sidecarNode struct {
	process
	core     *sidecar.Core
	links    map[sidecar.LinkID]*link
	lastLink sidecar.LinkID
	running  map[attemptKey]bool
	member   api.Member
	holds    map[uint64]func()
	lastHold uint64
	draining bool
}

type attemptKey struct {
	request string
	attempt int
}

// link is the connection of one entry process to one sidecar process. Messages
// on it keep their order until it is cut.
type link struct {
	entry   *entryNode
	sidecar *sidecarNode
	entryAt int
	id      sidecar.LinkID
	cut     bool
	// lastUp and lastDown are the delivery times of the last message each way.
	lastUp, lastDown time.Time
}

const (
	entryCount   = 2
	sidecarCount = 3
	startUnix    = 1_800_000_000
)

func newWorld(seed uint64) *world {
	w := &world{now: time.Unix(startUnix, 0), rng: rand.New(rand.NewPCG(seed, seed+1))}
	w.store = memstore.NewWithClock(func() time.Time { return w.now })
	w.oracle = newOracle(w)
	w.commit(testManifest(api.PhaseServing, true))
	for i := range sidecarCount {
		w.sidecars = append(w.sidecars, &sidecarNode{process: process{name: fmt.Sprintf("s%d", i)}})
		w.startSidecar(w.sidecars[i])
	}
	for i := range entryCount {
		w.entries = append(w.entries, &entryNode{process: process{name: fmt.Sprintf("e%d", i)}})
		w.startEntry(w.entries[i])
	}
	w.spreadMembers()
	w.advance(time.Second)
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now.Add(d), w.sequence, f})
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.rng.IntN(5)) * time.Millisecond
}

// advance runs everything that is due within d.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) killEntry(n *entryNode) {
	n.alive = false
	w.oracle.entryKilled(n)
	for _, s := range w.sidecars {
		for _, id := range sortedLinks(s.links) {
			if l := s.links[id]; l != nil && l.entry == n {
				w.cutLink(l)
			}
		}
	}
}

func (w *world) members() []api.Member {
	var out []api.Member
	for _, s := range w.sidecars {
		if s.alive {
			out = append(out, s.member)
		}
	}
	for _, n := range w.entries {
		if n.alive {
			out = append(out, entryMember(n))
		}
	}
	return out
}

// spreadMembers tells each entry of the members after a while of its own.
func (w *world) spreadMembers() {
	for _, n := range w.entries {
		incarnation := n.incarnation
		w.after(time.Duration(w.rng.IntN(800))*time.Millisecond, func() {
			w.toEntry(n, incarnation, entry.MembersChanged{Members: w.members()})
		})
	}
}

// commit puts a manifest in force; each process learns it within 3 s.
func (w *world) commit(m api.Manifest) {
	revision := api.Revision{Generation: 1, Version: 1}
	if w.snapshot != nil {
		revision.Version = w.snapshot.Revision.Version + 1
	}
	s, err := manifest.Compile(encode(m), revision)
	if err != nil {
		panic(err)
	}
	w.snapshot = s
	w.oracle.committed(s)
	for _, n := range w.entries {
		incarnation := n.incarnation
		w.after(w.spread(), func() { w.toEntry(n, incarnation, entry.SnapshotApplied{Snapshot: s}) })
	}
	for _, n := range w.sidecars {
		incarnation := n.incarnation
		w.after(w.spread(), func() { w.toSidecar(n, incarnation, sidecar.SnapshotApplied{Snapshot: s}) })
	}
}

func (w *world) spread() time.Duration { return time.Duration(w.rng.IntN(3000)) * time.Millisecond }

// freeze stops a process without its knowledge, as a paused virtual machine.
func (p *process) freeze(now time.Time) {
	if p.alive && !p.frozen {
		p.frozen = true
		p.frozenAt = now
	}
}

// thaw lets a frozen process go on with everything that arrived meanwhile.
func (p *process) thaw(now time.Time) {
	if !p.frozen {
		return
	}
	p.frozen = false
	p.thawedAt = now
	held := p.held
	p.held = nil
	for _, f := range held {
		f()
	}
}

// wasFrozen reports whether the process was frozen at some time since at.
func (p *process) wasFrozen(at time.Time) bool {
	return p.frozen || p.thawedAt.After(at) || p.thawedAt.Equal(at)
}
