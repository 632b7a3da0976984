package composed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/sidecar"
)

func (w *world) startSidecar(s *sidecarNode) {
	s.incarnation++
	s.alive, s.frozen, s.held, s.draining = true, false, nil, false
	s.links = map[sidecar.LinkID]*link{}
	s.running = map[attemptKey]bool{}
	s.holds = map[uint64]func(){}
	self := api.Member{
		Instance: s.name, Incarnation: s.incarnation, Role: "sidecar", FailureDomain: domainOf(s.name), Region: "r", Address: s.name,
	}
	backend := api.Backend{Kind: api.BackendKindEngine, Name: s.name, URL: "x", Slots: 4}
	if s.name == "s0" {
		backend = api.Backend{Kind: api.BackendKindService, Name: s.name, URL: "x", Service: "booking", Slots: 4}
	}
	s.core = sidecar.NewCore(sidecar.Config{
		Self: self, Backend: backend, UsageConfirm: 2 * time.Second, UsageBytes: 1 << 20,
	}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	s.member = s.core.Member()
	incarnation := s.incarnation
	w.toSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: w.snapshot})
	w.toSidecar(s, incarnation, sidecar.BackendLoad{Load: api.LoadReport{Versions: loadedVersions(backend)}})
	w.tickSidecar(s, incarnation)
}

func loadedVersions(b api.Backend) []string {
	if b.Kind == api.BackendKindService {
		return nil
	}
	return []string{"small-1", "large-1"}
}

func (w *world) tickSidecar(s *sidecarNode, incarnation int) {
	if s.incarnation != incarnation || !s.alive {
		return
	}
	w.toSidecar(s, incarnation, sidecar.Tick{})
	w.after(tickEvery, func() { w.tickSidecar(s, incarnation) })
}

func (w *world) toSidecar(s *sidecarNode, incarnation int, e sidecar.Event) {
	s.deliver(func() {
		if !s.alive || s.incarnation != incarnation {
			return
		}
		for _, effect := range s.core.Handle(w.now, e) {
			w.sidecarEffect(s, effect)
		}
	})
}

func (w *world) sidecarEffect(s *sidecarNode, effect sidecar.Effect) {
	incarnation := s.incarnation
	switch e := effect.(type) {
	case sidecar.StartBackend:
		w.runEngine(s, e.Params)
	case sidecar.CancelBackend:
		key := attemptKey{e.Request, e.Attempt}
		if s.running[key] {
			s.running[key] = false
		}
	case sidecar.SendPart:
		if l := s.links[e.Link]; l != nil {
			w.down(l, func() { w.toEntry(l.entry, l.entryAt, entry.PartReceived{Part: e.Part}) })
			w.repeatPart(l, e.Part)
		}
	case sidecar.SendResult:
		if l := s.links[e.Link]; l != nil {
			w.down(l, func() { w.result(l, e.Result) })
		}
	case sidecar.FetchConfig:
		if l := s.links[e.Link]; l != nil {
			w.down(l, func() {
				held := w.snapshot
				w.up(l, func() { w.toSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: held}) })
			})
		}
	case sidecar.ConfirmConfig:
		w.after(w.spread()/6, func() {
			w.toSidecar(s, incarnation, sidecar.SnapshotApplied{Snapshot: w.snapshot})
			w.toSidecar(s, incarnation, sidecar.ConfigConfirmed{})
		})
	case sidecar.MemberChanged:
		s.member = e.Member
		w.spreadMembers()
	case sidecar.WriteUsage:
		w.after(w.delay(), func() {
			_, err := w.store.Put(context.Background(), e.Key, e.Value, 0)
			w.toSidecar(s, incarnation, sidecar.UsageWritten{Key: e.Key, Err: err})
		})
	case sidecar.HoldTaken:
		if answer := s.holds[e.ID]; answer != nil {
			delete(s.holds, e.ID)
			w.after(w.delay(), answer)
		}
	case sidecar.Drained:
		w.after(time.Millisecond, func() { w.restartSidecar(s, incarnation) })
	}
}

func (w *world) result(l *link, r api.RunResult) {
	delete(l.entry.pending, attemptKey{r.Request, r.Attempt})
	w.toEntry(l.entry, l.entryAt, entry.AttemptEnded{Request: r.Request, Attempt: r.Attempt, Result: r})
}

// repeatPart sometimes delivers a part again, late.
func (w *world) repeatPart(l *link, p api.Part) {
	if w.rng.IntN(20) == 0 {
		w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, func() { w.toEntry(l.entry, l.entryAt, entry.PartReceived{Part: p}) })
	}
}

func (w *world) restartSidecar(s *sidecarNode, incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	w.killSidecar(s)
	w.startSidecar(s)
}

func (w *world) killSidecar(s *sidecarNode) {
	s.alive = false
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; l != nil {
			w.cutLink(l)
		}
	}
	w.spreadMembers()
}

// drain begins the graceful stop of a sidecar; it restarts when it is drained.
func (w *world) drain(s *sidecarNode) {
	if !s.alive || s.draining {
		return
	}
	s.draining = true
	w.toSidecar(s, s.incarnation, sidecar.DrainStarted{})
}
