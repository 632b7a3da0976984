package daemon

import (
	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/sidecar"
)

// controlHandler answers what every daemon answers.
type controlHandler struct{ control *control }

// serve reports false for a method that belongs to a role.
func (h controlHandler) serve(_ *peer.Link, call *peer.Call) bool {
	switch call.Method {
	case peer.MethodConfigFetch:
		if offer, ok := h.control.held(); ok {
			call.Respond(offer)
			return true
		}
		call.Fail(errkind.New(errkind.NotReady, "no manifest is in force"))
		return true
	case peer.MethodConfigOffer:
		var offer api.ConfigOffer
		if err := call.Decode(&offer); err != nil {
			call.Fail(err)
			return true
		}
		h.control.offer(offer)
		call.Respond(struct{}{})
		return true
	}
	return false
}

func unknownMethod(call *peer.Call) {
	call.Fail(errkind.New(errkind.InvalidRequest, "method "+call.Method+" does not exist"))
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
	case peer.MethodLeaving:
		var leaving api.LeavingParams
		if call.Decode(&leaving) == nil {
			h.loop.events.Put(h.loop.ctx, entry.PeerLeaving{Instance: leaving.Instance, Incarnation: leaving.Incarnation})
		}
	default:
		if !h.serve(link, call) {
			unknownMethod(call)
		}
	}
}

// LinkClosed implements peer.Handler. The calls that waited on the link have
// failed by themselves.
func (h *entryHandler) LinkClosed(*peer.Link) {}

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
	case peer.MethodProbe:
		h.probe(call)
	default:
		if !h.serve(link, call) {
			unknownMethod(call)
		}
	}
}

// probe answers without the main loop, so that a blocked loop is reported
// instead of hidden by silence.
func (h *sidecarHandler) probe(call *peer.Call) {
	hello := h.control.hello()
	result := api.ProbeResult{Member: hello.Member, Revision: hello.Revision}
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
