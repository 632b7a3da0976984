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

// offeredCalls holds what waits for the core's answer to a claim or an end.
type offeredCalls struct {
	mu    sync.Mutex
	last  uint64
	calls map[uint64]func(result any)
}

func (o *offeredCalls) add(answer func(result any)) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[uint64]func(any){}
	}
	o.last++
	o.calls[o.last] = answer
	return o.last
}

func (o *offeredCalls) take(id uint64) func(result any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := o.calls[id]
	delete(o.calls, id)
	return answer
}

// answer responds from a goroutine of its own, so that a peer that does not read
// cannot block the main loop.
func (o *offeredCalls) answer(id uint64, result any) {
	if answer := o.take(id); answer != nil {
		go answer(result)
	}
}

// offerCall hands a call of another entry to the main loop.
func (l *entryLoop) offerCall(call *peer.Call, event func(id uint64) entry.Event) {
	id := l.offers.add(call.Respond)
	if !l.events.Offer(event(id)) {
		l.offers.take(id)
		call.Fail(errLoopFull())
	}
}

func errLoopFull() error { return errkind.New(errkind.Overloaded, "main loop is overloaded") }

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

// serveClaim hands a claim to the core. A leaving entry refuses it, so that the
// other entry claims for itself instead of waiting for an answer that may not come.
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
	l.offerCall(call, func(id uint64) entry.Event { return entry.ClaimOffered{ID: id, Params: params} })
}

func (l *entryLoop) serveClaimEnd(call *peer.Call) {
	var params api.ClaimEndParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	l.offerCall(call, func(id uint64) entry.Event { return entry.ClaimEndOffered{ID: id, Params: params} })
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

// endClaim states the end of a claim for an operator and waits until it is stored.
func (l *entryLoop) endClaim(ctx context.Context, end api.ClaimEndParams) error {
	stored := make(chan struct{})
	id := l.offers.add(func(any) { close(stored) })
	if !l.events.Offer(entry.ClaimEndOffered{ID: id, Params: end}) {
		l.offers.take(id)
		return errLoopFull()
	}
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		l.offers.take(id)
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "outcome is not stored yet: show the claim again before repeating")
	}
}
