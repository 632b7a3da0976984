package composed

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/sidecar"
)

// sendAttempt sends an attempt to its sidecar, over a new link if there is none. A
// sidecar that is down refuses the connection, which proves that nothing was sent.
func (sim *simulation) sendAttempt(n *entryNode, e entry.StartAttempt) {
	var target *sidecarNode
	for _, s := range sim.sidecars {
		if s.name == e.Address {
			target = s
		}
	}
	key := attemptKey{e.Params.Request, e.Params.Attempt}
	incarnation := n.incarnation
	if !target.alive {
		sim.schedule(sim.messageDelay(), func() {
			sim.deliverToEntry(n, incarnation, entry.AttemptEnded{
				Request: key.request, Attempt: key.attempt, NotSent: true,
				Err: errkind.New(errkind.UpstreamFailed, "refused").WithRunState(api.RunStateNotRun),
			})
		})
		return
	}
	l := sim.openLink(n, target)
	n.pending[key] = l
	params := e.Params
	sim.sendUp(l, func() {
		sim.deliverToSidecar(target, target.incarnation, sidecar.RunRequested{Link: l.id, Params: params})
	})
}

// openLink returns the open link of an entry process to a sidecar, or a new one.
func (sim *simulation) openLink(n *entryNode, s *sidecarNode) *link {
	for _, l := range s.links {
		if l.entry == n && l.entryIncarnation == n.incarnation && !l.cut {
			return l
		}
	}
	s.lastLink++
	l := &link{entry: n, entryIncarnation: n.incarnation, sidecar: s, id: s.lastLink}
	s.links[l.id] = l
	return l
}

// sendUp delivers a message to the sidecar in order, unless the link is cut.
func (sim *simulation) sendUp(l *link, f func()) { sim.sendInOrder(l, &l.lastUpAt, f) }

// sendDown delivers a message to the entry in order, unless the link is cut.
func (sim *simulation) sendDown(l *link, f func()) { sim.sendInOrder(l, &l.lastDownAt, f) }

func (sim *simulation) sendInOrder(l *link, last *time.Time, f func()) {
	at := sim.now.Add(sim.messageDelay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	sim.schedule(at.Sub(sim.now), func() {
		if !l.cut {
			f()
		}
	})
}

// cutLink closes a link: messages in transit are lost and both sides are notified.
func (sim *simulation) cutLink(l *link) {
	if l.cut {
		return
	}
	l.cut = true
	delete(l.sidecar.links, l.id)
	sim.deliverToSidecar(l.sidecar, l.sidecar.incarnation, sidecar.LinkClosed{Link: l.id})
	n := l.entry
	if n.incarnation != l.entryIncarnation {
		return
	}
	for _, key := range sortedKeys(n.pending) {
		if n.pending[key] != l {
			continue
		}
		delete(n.pending, key)
		sim.deliverToEntry(n, l.entryIncarnation, entry.AttemptEnded{
			Request: key.request, Attempt: key.attempt, Err: errkind.New(errkind.UpstreamFailed, "cut"),
		})
	}
}
