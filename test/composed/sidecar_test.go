package composed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/sidecar"
)

func (sim *simulation) startSidecar(s *sidecarNode) {
	s.incarnation++
	s.alive, s.frozen, s.deferredDeliveries, s.draining = true, false, nil, false
	s.links = map[sidecar.LinkID]*link{}
	s.running = map[attemptKey]bool{}
	s.replicaCalls = map[uint64]func(){}
	self := api.Member{
		Instance: s.name, Incarnation: s.incarnation, Role: "sidecar", FailureDomain: failureDomainOf(s.name), Region: "r", Address: s.name,
	}
	backend := api.Backend{Kind: api.BackendKindEngine, Name: s.name, URL: "x", Slots: 4}
	if s.name == "s0" {
		backend = api.Backend{Kind: api.BackendKindService, Name: s.name, URL: "x", Service: "booking", Slots: 4}
	}
	s.core = sidecar.NewCore(sidecar.Config{
		Self: self, Backend: backend, UsageConfirmTimeout: 2 * time.Second, MaxUsageBytes: 1 << 20,
	}, rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	s.member = s.core.Member()
	incarnation := s.incarnation
	sim.deliverToSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: sim.snapshot})
	sim.deliverToSidecar(s, incarnation, sidecar.BackendLoad{Load: api.LoadReport{Versions: loadedVersions(backend)}})
	sim.tickSidecar(s, incarnation)
}

func loadedVersions(b api.Backend) []string {
	if b.Kind == api.BackendKindService {
		return nil
	}
	return []string{"small-1", "large-1"}
}

func (sim *simulation) tickSidecar(s *sidecarNode, incarnation int) {
	if s.incarnation != incarnation || !s.alive {
		return
	}
	sim.deliverToSidecar(s, incarnation, sidecar.Tick{})
	sim.schedule(tickInterval, func() { sim.tickSidecar(s, incarnation) })
}

func (sim *simulation) deliverToSidecar(s *sidecarNode, incarnation int, e sidecar.Event) {
	s.deliver(func() {
		if !s.alive || s.incarnation != incarnation {
			return
		}
		for _, effect := range s.core.Handle(sim.now, e) {
			sim.applySidecarEffect(s, effect)
		}
	})
}

func (sim *simulation) applySidecarEffect(s *sidecarNode, effect sidecar.Effect) {
	incarnation := s.incarnation
	switch e := effect.(type) {
	case sidecar.StartBackend:
		sim.runEngine(s, e.Params)
	case sidecar.CancelBackend:
		key := attemptKey{e.Request, e.Attempt}
		if s.running[key] {
			s.running[key] = false
		}
	case sidecar.SendPart:
		if l := s.links[e.Link]; l != nil {
			sim.sendDown(l, func() { sim.deliverToEntry(l.entry, l.entryIncarnation, entry.PartReceived{Part: e.Part}) })
			sim.maybeRepeatPart(l, e.Part)
		}
	case sidecar.SendResult:
		if l := s.links[e.Link]; l != nil {
			sim.sendDown(l, func() { sim.deliverResult(l, e.Result) })
		}
	case sidecar.FetchConfig:
		if l := s.links[e.Link]; l != nil {
			sim.sendDown(l, func() {
				snapshot := sim.snapshot
				sim.sendUp(l, func() { sim.deliverToSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: snapshot}) })
			})
		}
	case sidecar.ConfirmConfig:
		sim.schedule(sim.commitDelay()/6, func() {
			sim.deliverToSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: sim.snapshot})
			sim.deliverToSidecar(s, incarnation, sidecar.ConfigConfirmed{})
		})
	case sidecar.MemberChanged:
		s.member = e.Member
		sim.announceMembers()
	case sidecar.WriteUsage:
		sim.schedule(sim.messageDelay(), func() {
			_, err := sim.store.Put(context.Background(), e.ObjectKey, e.Value, 0)
			sim.deliverToSidecar(s, incarnation, sidecar.UsageWritten{ObjectKey: e.ObjectKey, Err: err})
		})
	case sidecar.UsageReplicaStored:
		if answer := s.replicaCalls[e.ID]; answer != nil {
			delete(s.replicaCalls, e.ID)
			sim.schedule(sim.messageDelay(), answer)
		}
	case sidecar.Drained:
		sim.schedule(time.Millisecond, func() { sim.restartSidecar(s, incarnation) })
	}
}

func (sim *simulation) deliverResult(l *link, r api.RunResult) {
	delete(l.entry.pending, attemptKey{r.Request, r.Attempt})
	sim.deliverToEntry(l.entry, l.entryIncarnation, entry.AttemptEnded{Request: r.Request, Attempt: r.Attempt, Result: r})
}

// maybeRepeatPart delivers one part in 20 a second time, up to 100 ms later.
func (sim *simulation) maybeRepeatPart(l *link, p api.Part) {
	if sim.rng.IntN(20) == 0 {
		sim.schedule(time.Duration(sim.rng.IntN(100))*time.Millisecond, func() { sim.deliverToEntry(l.entry, l.entryIncarnation, entry.PartReceived{Part: p}) })
	}
}

func (sim *simulation) restartSidecar(s *sidecarNode, incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	sim.killSidecar(s)
	sim.startSidecar(s)
}

func (sim *simulation) killSidecar(s *sidecarNode) {
	s.alive = false
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; l != nil {
			sim.cutLink(l)
		}
	}
	sim.announceMembers()
}

// drainSidecar begins the graceful stop of a sidecar, which restarts once it is
// drained.
func (sim *simulation) drainSidecar(s *sidecarNode) {
	if !s.alive || s.draining {
		return
	}
	s.draining = true
	sim.deliverToSidecar(s, s.incarnation, sidecar.DrainStarted{})
}
