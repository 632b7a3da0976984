package daemon

import (
	"context"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/sidecar"
)

func errNothingHeld() error { return errkind.New(errkind.NotReady, "no manifest is in force") }

func unknownMethod(call *peer.Call) {
	call.Fail(errkind.New(errkind.InvalidRequest, "method "+call.Method+" does not exist"))
}

// controlHandler answers what every daemon answers.
type controlHandler struct{ control *control }

// LinkOpened implements peer.Handler.
func (h controlHandler) LinkOpened(link *peer.Link) {
	h.control.put(membership.MemberSeen{Member: link.Remote})
}

// serve reports false for a method that belongs to a role.
func (h controlHandler) serve(link *peer.Link, call *peer.Call) bool {
	from := membership.Peer{Instance: link.Remote.Instance, Address: link.Remote.Address}
	switch call.Method {
	case peer.MethodDigest:
		var digest api.Digest
		if err := call.Decode(&digest); err != nil {
			call.Fail(err)
			return true
		}
		h.answer(link, call, membership.DigestReceived{From: from, Digest: digest})
	case peer.MethodConfigFetch:
		h.answer(link, call, membership.ConfigRequested{From: from})
	case peer.MethodConfigOffer:
		var offer api.ConfigOffer
		if err := call.Decode(&offer); err != nil {
			call.Fail(err)
			return true
		}
		h.control.put(membership.ConfigReceived{From: from, Offer: offer})
		call.Respond(struct{}{})
	default:
		return false
	}
	return true
}

// answer queues a call for the exchange, which answers it.
func (h controlHandler) answer(link *peer.Link, call *peer.Call, e membership.ExchangeEvent) {
	if !h.control.events.Offer(controlEvent{event: e, call: call, role: link.Remote.Role}) {
		call.Fail(errkind.New(errkind.Overloaded, "exchange is overloaded"))
	}
}

// entryHandler answers the calls of other daemons to an entry.
type entryHandler struct {
	controlHandler
	loop *entryLoop
}

// Serve implements peer.Handler.
func (h *entryHandler) Serve(link *peer.Link, call *peer.Call) {
	switch call.Method {
	case peer.MethodParts:
		var part api.Part
		if call.Decode(&part) == nil {
			h.loop.events.Put(h.loop.ctx, entry.PartReceived{Part: part})
		}
	case peer.MethodPlacementDemand:
		var demand api.PlacementDemand
		if call.Decode(&demand) == nil {
			h.loop.events.Put(h.loop.ctx, entry.PlacementDemandReceived{Demand: demand})
		}
	case peer.MethodLeaving:
		var leaving api.LeavingParams
		if call.Decode(&leaving) == nil {
			h.loop.events.Put(h.loop.ctx, entry.PeerLeaving{Instance: leaving.Instance, Incarnation: leaving.Incarnation})
		}
	case peer.MethodClaim:
		h.loop.serveClaim(call)
	case peer.MethodClaimEnd:
		h.loop.serveClaimEnd(call)
	default:
		if !h.serve(link, call) {
			unknownMethod(call)
		}
	}
}

// LinkClosed implements peer.Handler. The calls that waited on the link have
// failed by themselves. A process that refuses a new connection is gone.
func (h *entryHandler) LinkClosed(link *peer.Link) {
	if link.Remote.Role == string(api.RoleSidecar) && !link.ClosedHere() {
		go h.control.checkGone(link.Remote)
	}
}

// goneRetry is the pause between two dials to a process whose link broke.
const goneRetry = 50 * time.Millisecond

// checkGone reports a member as dead when its address refuses connections. A
// killed process may still accept one connection and reset it, so that one dial
// is not enough.
func (c *control) checkGone(m api.Member) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	for ctx.Err() == nil {
		_, err := c.node.Link(ctx, m.Address)
		if err == nil || c.refused(err, m.Instance, m.Incarnation) {
			return
		}
		wait(ctx, nil, goneRetry)
	}
}

// refused reports a member as dead when err says that nothing listens at its
// address.
func (c *control) refused(err error, instance string, incarnation int) bool {
	if !peer.Refused(err) {
		return false
	}
	c.put(membership.MemberFailed{Instance: instance, Incarnation: incarnation})
	return true
}

// sidecarHandler answers the calls of other daemons to a sidecar.
type sidecarHandler struct {
	controlHandler
	loop  *sidecarLoop
	alive func() bool
}

// Serve implements peer.Handler.
func (h *sidecarHandler) Serve(link *peer.Link, call *peer.Call) {
	switch call.Method {
	case peer.MethodRun:
		h.loop.serveRun(link, call)
	case peer.MethodCancel:
		var cancel api.CancelParams
		if call.Decode(&cancel) == nil {
			h.loop.events.Put(h.loop.ctx, sidecar.CancelRequested{Link: h.loop.link(link).id, Request: cancel.Request, Attempt: cancel.Attempt})
		}
	case peer.MethodUsageConfirm:
		var confirm api.UsageConfirm
		if call.Decode(&confirm) == nil {
			h.loop.events.Put(h.loop.ctx, sidecar.UsageConfirmed{Confirm: confirm})
		}
	case peer.MethodUsageHold:
		h.loop.serveHold(call)
	case peer.MethodPlacementOrder:
		h.loop.orders.serve(call)
	case peer.MethodProbe:
		h.probe(link, call)
	default:
		if !h.serve(link, call) {
			unknownMethod(call)
		}
	}
}

// probe answers without the main loop, so that a blocked loop is reported
// instead of hidden by silence.
func (h *sidecarHandler) probe(link *peer.Link, call *peer.Call) {
	hello := h.control.hello()
	result := api.ProbeResult{Member: hello.Member, Revision: hello.Revision, CacheNews: h.loop.cache.take(link)}
	if load := h.loop.load.Load(); load != nil {
		result.Load = *load
	}
	result.Load.Alive = h.alive()
	result.Load.Ready = result.Load.Ready && result.Load.Alive
	if !result.Load.Alive {
		result.Member.State = api.MemberStateWedged
	}
	call.Respond(result)
}

// LinkClosed implements peer.Handler.
func (h *sidecarHandler) LinkClosed(link *peer.Link) { h.loop.linkClosed(link) }
