package composed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/sidecar"
)

func (w *world) startEntry(n *entryNode) {
	n.incarnation++
	n.alive, n.frozen, n.held = true, false, nil
	n.pending = map[attemptKey]*link{}
	n.offers = map[uint64]func(api.ClaimResult){}
	n.core = entry.NewCore(entry.Config{
		Self:       entryMember(n),
		UsageBytes: 1 << 20, UsageFlush: 200 * time.Millisecond,
	}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	incarnation := n.incarnation
	w.toEntry(n, incarnation, entry.SnapshotApplied{Snapshot: w.snapshot})
	w.toEntry(n, incarnation, entry.SessionKeysRead{Value: sessionKeys(w.now)})
	w.toEntry(n, incarnation, entry.MembersChanged{Members: w.members()})
	w.tickEntry(n, incarnation)
}

const tickEvery = 10 * time.Millisecond

func (w *world) tickEntry(n *entryNode, incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	w.toEntry(n, incarnation, entry.Tick{})
	w.after(tickEvery, func() { w.tickEntry(n, incarnation) })
}

// toEntry gives an event to one incarnation of an entry.
func (w *world) toEntry(n *entryNode, incarnation int, e entry.Event) {
	n.deliver(func() {
		if !n.alive || n.incarnation != incarnation {
			return
		}
		effects := append([]entry.Effect{}, n.core.Handle(w.now, e)...)
		for _, effect := range effects {
			w.entryEffect(n, effect)
		}
	})
}

func (w *world) entryEffect(n *entryNode, effect entry.Effect) {
	incarnation := n.incarnation
	switch e := effect.(type) {
	case entry.StartAttempt:
		w.sendAttempt(n, e)
	case entry.CancelAttempt:
		key := attemptKey{e.Cancel.Request, e.Cancel.Attempt}
		if l := n.pending[key]; l != nil {
			w.up(l, func() {
				w.toSidecar(l.sidecar, l.sidecar.incarnation, sidecar.CancelRequested{Link: l.id, Request: key.request, Attempt: key.attempt})
			})
		}
	case entry.Deliver:
		w.oracle.delivered(n, e)
	case entry.Answer:
		w.oracle.answered(n, e)
	case entry.ReadObject:
		w.after(w.delay(), func() {
			o, err := w.store.Get(context.Background(), e.Key)
			w.after(w.delay(), func() {
				w.toEntry(n, incarnation, entry.StoreRead{Key: e.Key, Version: o.Version, Value: o.Value, Err: err})
			})
		})
	case entry.WriteObject:
		w.after(w.delay(), func() {
			o, err := w.store.Put(context.Background(), e.Key, e.Value, e.IfVersion)
			w.after(w.delay(), func() {
				w.toEntry(n, incarnation, entry.StoreWritten{Key: e.Key, Version: o.Version, Err: err})
			})
		})
	case entry.ConfirmUsage:
		for _, s := range w.sidecars {
			if s.name == e.Address {
				w.after(w.delay(), func() { w.toSidecar(s, s.incarnation, sidecar.UsageConfirmed{Confirm: e.Confirm}) })
			}
		}
	case entry.HoldUsage:
		w.holdUsage(n, e)
	case entry.HandClaim:
		w.handClaim(n, e)
	case entry.HandClaimEnd:
		w.handClaimEnd(n, e)
	case entry.AnswerClaim:
		w.answerOffer(n, e.ID, e.Result)
	case entry.AnswerClaimEnd:
		w.answerOffer(n, e.ID, api.ClaimResult{})
	case entry.OfferConfig:
		w.offerEntry(n, e.Offer)
	}
}

func (w *world) offerEntry(n *entryNode, o api.ConfigOffer) {
	if s, err := manifest.Compile(o.Manifest, o.Revision); err == nil {
		w.toEntry(n, n.incarnation, entry.SnapshotApplied{Snapshot: s})
	}
}

// domainOf puts one sidecar into another failure domain than the entries.
func domainOf(name string) string {
	if name == "s2" {
		return "b"
	}
	return "a"
}

// holdUsage hands usage records to another failure domain; the message may be
// lost with its receiver.
func (w *world) holdUsage(n *entryNode, e entry.HoldUsage) {
	incarnation := n.incarnation
	for _, s := range w.sidecars {
		if s.name != e.Address {
			continue
		}
		s.lastHold++
		id, at := s.lastHold, s.incarnation
		s.holds[id] = func() { w.toEntry(n, incarnation, entry.UsageHeld{Request: e.Request}) }
		w.after(w.delay(), func() { w.toSidecar(s, at, sidecar.UsageHeld{ID: id, Records: e.Hold.Records}) })
	}
}
