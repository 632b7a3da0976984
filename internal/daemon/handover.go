package daemon

import (
	"context"
	"sync"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

func readyEntries(members []api.Member) int {
	count := 0
	for _, m := range members {
		if m.Role == string(api.RoleEntry) && m.State == api.MemberStateReady {
			count++
		}
	}
	return count
}

// offeredCalls holds the calls of other entries until the core answers them.
type offeredCalls struct {
	mu    sync.Mutex
	last  uint64
	calls map[uint64]*peer.Call
}

func (o *offeredCalls) add(call *peer.Call) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[uint64]*peer.Call{}
	}
	o.last++
	o.calls[o.last] = call
	return o.last
}

func (o *offeredCalls) take(id uint64) *peer.Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	call := o.calls[id]
	delete(o.calls, id)
	return call
}

// answer responds from a goroutine of its own, so that a peer that does not read
// cannot block the main loop.
func (o *offeredCalls) answer(id uint64, result any) {
	if call := o.take(id); call != nil {
		go call.Respond(result)
	}
}

// refuse answers a call that the main loop did not take.
func (o *offeredCalls) refuse(id uint64) {
	if call := o.take(id); call != nil {
		call.Fail(errkind.New(errkind.Overloaded, "main loop is overloaded"))
	}
}

func (l *entryLoop) applyClaim(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.HandClaim:
		go l.handClaim(e)
	case entry.HandClaimEnd:
		go l.handClaimEnd(e)
	case entry.AnswerClaim:
		l.offers.answer(e.ID, e.Result)
	case entry.AnswerClaimEnd:
		l.offers.answer(e.ID, struct{}{})
	}
}

func (l *entryLoop) serveClaim(call *peer.Call) {
	var params api.ClaimParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	id := l.offers.add(call)
	if !l.events.Offer(entry.ClaimOffered{ID: id, Params: params}) {
		l.offers.refuse(id)
	}
}

func (l *entryLoop) serveClaimEnd(call *peer.Call) {
	var params api.ClaimEndParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	id := l.offers.add(call)
	if !l.events.Offer(entry.ClaimEndOffered{ID: id, Params: params}) {
		l.offers.refuse(id)
	}
}

// handClaim asks the usual writer. An answer after the timeout is dropped; the
// core releases the claim in that case.
func (l *entryLoop) handClaim(e entry.HandClaim) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	handed := entry.ClaimHanded{Address: e.Address, Request: e.Params.Request}
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodClaim, e.Params, &handed.Result)
	}
	handed.Err, handed.NotSent = err, peer.NotSent(err)
	l.events.Put(l.ctx, handed)
}

func (l *entryLoop) handClaimEnd(e entry.HandClaimEnd) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodClaimEnd, e.Params, nil)
	}
	l.events.Put(l.ctx, entry.ClaimEndHanded{Request: e.Params.Request, Err: err})
}
