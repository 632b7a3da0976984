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

func (sim *simulation) startEntry(n *entryNode) {
	n.incarnation++
	n.alive, n.frozen, n.deferredDeliveries = true, false, nil
	n.pending = map[attemptKey]*link{}
	n.pendingPeerCalls = map[uint64]func(api.ClaimResult){}
	n.core = entry.NewCore(entry.Config{
		Self:          entryMember(n),
		MaxUsageBytes: 1 << 20, UsageFlushInterval: 200 * time.Millisecond,
	}, rand.New(rand.NewPCG(sim.rng.Uint64(), 1)))
	incarnation := n.incarnation
	sim.deliverToEntry(n, incarnation, entry.SnapshotApplied{Snapshot: sim.snapshot})
	sim.deliverToEntry(n, incarnation, entry.SessionKeysRead{Value: sessionKeys(sim.now)})
	sim.deliverToEntry(n, incarnation, entry.MembersChanged{Members: sim.members()})
	sim.tickEntry(n, incarnation)
}

// tickInterval is the virtual time between the ticks of a core.
const tickInterval = 10 * time.Millisecond

func (sim *simulation) tickEntry(n *entryNode, incarnation int) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	sim.deliverToEntry(n, incarnation, entry.Tick{})
	sim.schedule(tickInterval, func() { sim.tickEntry(n, incarnation) })
}

// deliverToEntry delivers an event to an entry unless it has restarted since
// incarnation.
func (sim *simulation) deliverToEntry(n *entryNode, incarnation int, e entry.Event) {
	n.deliver(func() {
		if !n.alive || n.incarnation != incarnation {
			return
		}
		effects := append([]entry.Effect{}, n.core.Handle(sim.now, e)...)
		for _, effect := range effects {
			sim.applyEntryEffect(n, effect)
		}
	})
}

func (sim *simulation) applyEntryEffect(n *entryNode, effect entry.Effect) {
	incarnation := n.incarnation
	switch e := effect.(type) {
	case entry.StartAttempt:
		sim.sendAttempt(n, e)
	case entry.CancelAttempt:
		key := attemptKey{e.Params.Request, e.Params.Attempt}
		if l := n.pending[key]; l != nil {
			sim.sendUp(l, func() {
				sim.deliverToSidecar(l.sidecar, l.sidecar.incarnation, sidecar.CancelRequested{Link: l.id, Request: key.request, Attempt: key.attempt})
			})
		}
	case entry.Deliver:
		sim.oracle.recordPart(n, e)
	case entry.Answer:
		sim.oracle.recordAnswer(n, e)
	case entry.ReadObject:
		sim.schedule(sim.messageDelay(), func() {
			o, err := sim.store.Get(context.Background(), e.Key)
			sim.schedule(sim.messageDelay(), func() {
				sim.deliverToEntry(n, incarnation, entry.ObjectRead{Key: e.Key, Version: o.Version, Value: o.Value, Err: err})
			})
		})
	case entry.WriteObject:
		sim.schedule(sim.messageDelay(), func() {
			o, err := sim.store.Put(context.Background(), e.Key, e.Value, e.IfVersion)
			sim.schedule(sim.messageDelay(), func() {
				sim.deliverToEntry(n, incarnation, entry.ObjectWritten{Key: e.Key, Version: o.Version, Err: err})
			})
		})
	case entry.ConfirmUsage:
		for _, s := range sim.sidecars {
			if s.name == e.Address {
				sim.schedule(sim.messageDelay(), func() { sim.deliverToSidecar(s, s.incarnation, sidecar.UsageConfirmed{Params: e.Params}) })
			}
		}
	case entry.ReplicateUsage:
		sim.replicateUsage(n, e)
	case entry.ForwardClaim:
		sim.sendClaim(n, e)
	case entry.ForwardClaimEnd:
		sim.sendClaimEnd(n, e)
	case entry.AnswerPeerClaim:
		sim.answerPeerCall(n, e.ID, e.Result)
	case entry.AnswerPeerClaimEnd:
		sim.answerPeerCall(n, e.ID, api.ClaimResult{})
	case entry.OfferConfig:
		sim.applyConfigOffer(n, e.Offer)
	}
}

func (sim *simulation) applyConfigOffer(n *entryNode, o api.ConfigOffer) {
	if s, err := manifest.Compile(o.Manifest, o.Revision); err == nil {
		sim.deliverToEntry(n, n.incarnation, entry.SnapshotApplied{Snapshot: s})
	}
}

// failureDomainOf returns domain b for sidecar s2, so that it is not in the domain
// of the entries, and a for all other processes.
func failureDomainOf(name string) string {
	if name == "s2" {
		return "b"
	}
	return "a"
}

// replicateUsage sends copies of usage records to a sidecar in another failure domain. The message
// is lost if the sidecar restarts before it arrives.
func (sim *simulation) replicateUsage(n *entryNode, e entry.ReplicateUsage) {
	incarnation := n.incarnation
	for _, s := range sim.sidecars {
		if s.name != e.Address {
			continue
		}
		s.lastReplicaCall++
		id, incarnationAtSend := s.lastReplicaCall, s.incarnation
		s.replicaCalls[id] = func() { sim.deliverToEntry(n, incarnation, entry.UsageReplicated{Request: e.Request}) }
		sim.schedule(sim.messageDelay(), func() {
			sim.deliverToSidecar(s, incarnationAtSend, sidecar.UsageReplicaReceived{ID: id, Records: e.Params.Records})
		})
	}
}
