package composed

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/sidecar"
)

// sendAttempt opens a link if needed. A dead sidecar refuses the connection,
// which proves that nothing was sent.
func (w *world) sendAttempt(n *entryNode, e entry.StartAttempt) {
	var target *sidecarNode
	for _, s := range w.sidecars {
		if s.name == e.Address {
			target = s
		}
	}
	key := attemptKey{e.Params.Request, e.Params.Attempt}
	incarnation := n.incarnation
	if !target.alive {
		w.after(w.delay(), func() {
			w.toEntry(n, incarnation, entry.AttemptEnded{
				Request: key.request, Attempt: key.attempt, NotSent: true,
				Err: errkind.New(errkind.UpstreamFailed, "refused").WithRunState(api.RunStateNotRun),
			})
		})
		return
	}
	l := w.linkOf(n, target)
	n.pending[key] = l
	params := e.Params
	w.up(l, func() {
		w.toSidecar(target, target.incarnation, sidecar.RunRequested{Link: l.id, Params: params})
	})
}

func (w *world) linkOf(n *entryNode, s *sidecarNode) *link {
	for _, l := range s.links {
		if l.entry == n && l.entryAt == n.incarnation && !l.cut {
			return l
		}
	}
	s.lastLink++
	l := &link{entry: n, entryAt: n.incarnation, sidecar: s, id: s.lastLink}
	s.links[l.id] = l
	return l
}

// up and down deliver a message of a link in order, unless the link is cut.
func (w *world) up(l *link, f func()) { w.inOrder(l, &l.lastUp, f) }

func (w *world) down(l *link, f func()) { w.inOrder(l, &l.lastDown, f) }

func (w *world) inOrder(l *link, last *time.Time, f func()) {
	at := w.now.Add(w.delay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	w.after(at.Sub(w.now), func() {
		if !l.cut {
			f()
		}
	})
}

// cutLink loses what is under way and tells both sides.
func (w *world) cutLink(l *link) {
	if l.cut {
		return
	}
	l.cut = true
	delete(l.sidecar.links, l.id)
	w.toSidecar(l.sidecar, l.sidecar.incarnation, sidecar.LinkClosed{Link: l.id})
	n := l.entry
	if n.incarnation != l.entryAt {
		return
	}
	for _, key := range sortedKeys(n.pending) {
		if n.pending[key] != l {
			continue
		}
		delete(n.pending, key)
		w.toEntry(n, l.entryAt, entry.AttemptEnded{
			Request: key.request, Attempt: key.attempt, Err: errkind.New(errkind.UpstreamFailed, "cut"),
		})
	}
}
