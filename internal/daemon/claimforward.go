package daemon

import (
	"context"
	"sync"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

// countReadyEntries returns the number of entries in state ready.
func countReadyEntries(members []api.Member) int {
	count := 0
	for _, m := range members {
		if m.Role == string(api.RoleEntry) && m.State == api.MemberStateReady {
			count++
		}
	}
	return count
}

// pendingCalls holds the functions that respond to claim calls and claim end calls once the
// core has answered them, by call number.
type pendingCalls struct {
	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]func(result any)
}

// add stores the function that responds to a call and returns the call's number.
func (p *pendingCalls) add(answer func(result any)) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		p.calls = map[uint64]func(any){}
	}
	p.lastID++
	p.calls[p.lastID] = answer
	return p.lastID
}

// remove returns the function of a call and forgets the call; nil if it is unknown.
func (p *pendingCalls) remove(id uint64) func(result any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.calls[id]
	delete(p.calls, id)
	return answer
}

// respond responds to a call in a goroutine of its own, so that a peer that does not read
// cannot block the main loop.
func (p *pendingCalls) respond(id uint64, result any) {
	if answer := p.remove(id); answer != nil {
		go answer(result)
	}
}

// submitCall passes a call of another entry to the main loop. The call fails when the event
// queue is full.
func (l *entryLoop) submitCall(call *peer.Call, event func(id uint64) entry.Event) {
	id := l.pendingCalls.add(call.Respond)
	if !l.events.TryPut(event(id)) {
		l.pendingCalls.remove(id)
		call.Fail(errMainLoopFull())
	}
}

func errMainLoopFull() error {
	return errkind.New(errkind.Overloaded, "event queue of the main loop is full")
}

// applyClaimEffect carries out the effects of claims.
func (l *entryLoop) applyClaimEffect(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.ForwardClaim:
		go l.forwardClaim(e)
	case entry.ForwardClaimEnd:
		go l.forwardClaimEnd(e)
	case entry.AnswerPeerClaim:
		l.pendingCalls.respond(e.ID, e.Result)
	case entry.AnswerPeerClaimEnd:
		l.pendingCalls.respond(e.ID, struct{}{})
	}
}

// serveClaim passes a claim of another entry to the core. A leaving entry refuses it, so
// that the other entry writes the claim itself instead of waiting for an answer that may
// not come.
func (l *entryLoop) serveClaim(call *peer.Call) {
	if l.leaving.Load() {
		call.Fail(errkind.New(errkind.Draining, "instance is leaving"))
		return
	}
	var params api.ClaimParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	l.submitCall(call, func(id uint64) entry.Event { return entry.PeerClaimReceived{ID: id, Params: params} })
}

// serveClaimEnd passes the end of a claim from another entry to the core.
func (l *entryLoop) serveClaimEnd(call *peer.Call) {
	var params api.ClaimEndParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	l.submitCall(call, func(id uint64) entry.Event { return entry.PeerClaimEndReceived{ID: id, Params: params} })
}

// forwardClaim sends a claim to the preferred writer of its shard. An answer after the
// timeout is dropped; the core releases the claim in that case.
func (l *entryLoop) forwardClaim(e entry.ForwardClaim) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	done := entry.ForwardClaimDone{Address: e.Address, Request: e.Params.Request}
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodClaim, e.Params, &done.Result)
	}
	done.Err, done.NotSent = err, peer.IsNotSent(err)
	l.events.Put(l.ctx, done)
}

// forwardClaimEnd sends the end of a claim to the entry that decided it.
func (l *entryLoop) forwardClaimEnd(e entry.ForwardClaimEnd) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodClaimEnd, e.Params, nil)
	}
	l.events.Put(l.ctx, entry.ForwardClaimEndDone{Request: e.Params.Request, Err: err})
}

// resolveClaim records the outcome that an operator states for a claim, and waits until it
// is stored. It returns kind overloaded when the event queue is full, and
// store_unavailable when ctx ends first.
func (l *entryLoop) resolveClaim(ctx context.Context, end api.ClaimEndParams) error {
	stored := make(chan struct{})
	id := l.pendingCalls.add(func(any) { close(stored) })
	if !l.events.TryPut(entry.PeerClaimEndReceived{ID: id, Params: end}) {
		l.pendingCalls.remove(id)
		return errMainLoopFull()
	}
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		l.pendingCalls.remove(id)
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "outcome is not stored yet: read the claim again before repeating the request")
	}
}
