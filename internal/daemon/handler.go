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

func errNoManifest() error { return errkind.New(errkind.NotReady, "no manifest is in force") }

func failUnknownMethod(call *peer.Call) {
	call.Fail(errkind.New(errkind.InvalidRequest, "method "+call.Method+" does not exist"))
}

// exchangeHandler serves the peer calls that are common to both roles.
type exchangeHandler struct{ exchange *exchangeLoop }

// LinkOpened implements peer.Handler.
func (h exchangeHandler) LinkOpened(link *peer.Link) {
	h.exchange.submit(membership.MemberRecordReceived{Member: link.Remote})
}

// serveCommon serves a call and reports whether its method is common to both roles.
func (h exchangeHandler) serveCommon(link *peer.Link, call *peer.Call) bool {
	from := membership.Peer{Instance: link.Remote.Instance, Address: link.Remote.Address}
	switch call.Method {
	case peer.MethodDigest:
		var digest api.Digest
		if err := call.Decode(&digest); err != nil {
			call.Fail(err)
			return true
		}
		h.submitCall(link, call, membership.DigestReceived{From: from, Digest: digest})
	case peer.MethodConfigFetch:
		h.submitCall(link, call, membership.ConfigRequested{From: from})
	case peer.MethodConfigOffer:
		var offer api.ConfigOffer
		if err := call.Decode(&offer); err != nil {
			call.Fail(err)
			return true
		}
		h.exchange.submit(membership.ConfigReceived{From: from, Offer: offer})
		call.Respond(struct{}{})
	default:
		return false
	}
	return true
}

// submitCall queues a call for the exchange, which answers it. The call fails when the
// queue is full.
func (h exchangeHandler) submitCall(link *peer.Link, call *peer.Call, e membership.ExchangeEvent) {
	if !h.exchange.events.TryPut(exchangeEvent{event: e, call: call, role: link.Remote.Role}) {
		call.Fail(errkind.New(errkind.Overloaded, "event queue of the exchange is full"))
	}
}

// entryHandler serves the peer calls to an entry.
type entryHandler struct {
	exchangeHandler
	loop *entryLoop
}

// streamedPart is an api.Part without the generated decoder, which decodes each part
// twice to find missing fields. The core drops a part without its attempt or sequence
// number.
type streamedPart api.Part

// Serve implements peer.Handler.
func (h *entryHandler) Serve(link *peer.Link, call *peer.Call) {
	switch call.Method {
	case peer.MethodParts:
		var parts []streamedPart
		if call.Decode(&parts) != nil {
			return
		}
		for _, part := range parts {
			h.loop.events.Put(h.loop.ctx, entry.PartReceived{Part: api.Part(part)})
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
		if !h.serveCommon(link, call) {
			failUnknownMethod(call)
		}
	}
}

// LinkClosed implements peer.Handler. The calls that waited on the link have already
// failed. A sidecar that refuses a new connection counts as dead.
func (h *entryHandler) LinkClosed(link *peer.Link) {
	if link.Remote.Role == string(api.RoleSidecar) && !link.ClosedLocally() {
		go h.exchange.detectDeadMember(link.Remote)
	}
}

// redialDelay is the pause between two dials to a process whose link was lost.
const redialDelay = 50 * time.Millisecond

// detectDeadMember dials a member for up to a second, until a dial succeeds or is
// refused, and reports the member as dead if it is refused. A killed process may still
// accept one connection and reset it, so a single dial is not enough.
func (l *exchangeLoop) detectDeadMember(m api.Member) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	for ctx.Err() == nil {
		_, err := l.node.Link(ctx, m.Address)
		if err == nil || l.reportIfRefused(err, m.Instance, m.Incarnation) {
			return
		}
		waitOrTimeout(ctx, nil, redialDelay)
	}
}

// reportIfRefused reports a member as dead, and returns true, if err means that nothing
// listens at its address.
func (l *exchangeLoop) reportIfRefused(err error, instance string, incarnation int) bool {
	if !peer.IsConnectionRefused(err) {
		return false
	}
	l.submit(membership.MemberFailed{Instance: instance, Incarnation: incarnation})
	return true
}

// sidecarHandler serves the peer calls to a sidecar.
type sidecarHandler struct {
	exchangeHandler
	loop            *sidecarLoop
	isMainLoopAlive func() bool
}

// Serve implements peer.Handler.
func (h *sidecarHandler) Serve(link *peer.Link, call *peer.Call) {
	switch call.Method {
	case peer.MethodRun:
		h.loop.serveRun(link, call)
	case peer.MethodCancel:
		var cancel api.CancelParams
		if call.Decode(&cancel) == nil {
			h.loop.events.Put(h.loop.ctx, sidecar.CancelRequested{Link: h.loop.entryLinkFor(link).id, Request: cancel.Request, Attempt: cancel.Attempt})
		}
	case peer.MethodUsageConfirm:
		var confirm api.UsageConfirm
		if call.Decode(&confirm) == nil {
			h.loop.events.Put(h.loop.ctx, sidecar.UsageConfirmed{Params: confirm})
		}
	case peer.MethodUsageHold:
		h.loop.serveUsageReplica(call)
	case peer.MethodPlacementOrder:
		h.loop.orderExecutor.serve(call)
	case peer.MethodProbe:
		h.answerProbe(link, call)
	default:
		if !h.serveCommon(link, call) {
			failUnknownMethod(call)
		}
	}
}

// answerProbe answers a probe without the main loop. A blocked main loop is reported as
// wedged, instead of leaving the probe unanswered.
func (h *sidecarHandler) answerProbe(link *peer.Link, call *peer.Call) {
	hello := h.exchange.localHello()
	result := api.ProbeResult{Member: hello.Member, Revision: hello.Revision, CacheNews: h.loop.cacheEvents.nextMessage(link)}
	if load := h.loop.load.Load(); load != nil {
		result.Load = *load
	}
	result.Load.Alive = h.isMainLoopAlive()
	result.Load.Ready = result.Load.Ready && result.Load.Alive
	if !result.Load.Alive {
		result.Member.State = api.MemberStateWedged
	}
	call.Respond(result)
}

// LinkClosed implements peer.Handler.
func (h *sidecarHandler) LinkClosed(link *peer.Link) { h.loop.linkClosed(link) }
