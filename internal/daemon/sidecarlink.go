package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/ring"
	"github.com/borageflow/borageflow/internal/sidecar"
)

// link returns the sender of an entry's link and starts it when it is new.
func (l *sidecarLoop) link(p *peer.Link) *entryLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.links[p]; ok {
		return known
	}
	l.last++
	e := &entryLink{id: l.last, link: p, items: ring.New[linkItem](linkRingSize)}
	l.links[p] = e
	l.byID[e.id] = e
	go e.run(l.ctx)
	return e
}

func (l *sidecarLoop) linkByID(id sidecar.LinkID) *entryLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// linkClosed forgets a link and tells the core.
func (l *sidecarLoop) linkClosed(p *peer.Link) {
	l.mu.Lock()
	e, ok := l.links[p]
	if ok {
		delete(l.links, p)
		delete(l.byID, e.id)
	}
	l.mu.Unlock()
	l.cache.forget(p)
	if ok {
		l.events.Put(l.ctx, sidecar.LinkClosed{Link: e.id})
	}
}

func (e *entryLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.link.Done():
			return
		case item := <-e.items.Items():
			e.sendAll(ctx, item)
		}
	}
}

// partsPerMessage bounds the parts in one notification. Decoding the fields of
// JSON-RPC takes two thirds of an entry's processor time when each part has a
// message of its own.
const partsPerMessage = 64

// sendAll sends an item and the parts that wait behind it, which share one
// message. It never waits for more parts.
func (e *entryLink) sendAll(ctx context.Context, item linkItem) {
	e.parts = e.parts[:0]
	for item.send == nil {
		e.parts = append(e.parts, item.part)
		if len(e.parts) == partsPerMessage {
			break
		}
		var more bool
		if item, more = e.waiting(); !more {
			break
		}
	}
	if len(e.parts) > 0 {
		_ = e.link.Notify(ctx, peer.MethodParts, e.parts)
	}
	if item.send != nil {
		item.send()
	}
}

func (e *entryLink) waiting() (linkItem, bool) {
	select {
	case item := <-e.items.Items():
		return item, true
	default:
		return linkItem{}, false
	}
}

// offer queues a message. An entry that does not read loses its link, since a
// message that is left out would break the order of its streams.
func (e *entryLink) offer(log *zap.Logger, item linkItem) {
	if e.items.Offer(item) {
		return
	}
	log.Warn("entry reads too slowly, link is closed", zap.String("entry", e.link.Remote.Instance))
	e.link.Close()
}

// serveRun takes an attempt. Its answer is sent by sendResult.
func (l *sidecarLoop) serveRun(p *peer.Link, call *peer.Call) {
	var params api.RunParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	if err := checkRun(params); err != nil {
		call.Fail(err)
		return
	}
	e := l.link(p)
	key := callKey{params.Request, params.Attempt}
	if _, loaded := e.calls.LoadOrStore(key, call); loaded {
		call.Fail(errkind.New(errkind.DuplicateUnknown, "attempt was received before"))
		return
	}
	if !l.events.Offer(sidecar.RunRequested{Link: e.id, Params: params}) {
		e.calls.Delete(key)
		call.Fail(errkind.New(errkind.Overloaded, "sidecar is overloaded"))
	}
}

// checkRun finds what would make no sense to the core.
func checkRun(p api.RunParams) error {
	switch {
	case p.Request == "" || p.Attempt < 1 || p.Customer == "":
		return errkind.New(errkind.InvalidRequest, "attempt needs request, attempt and customer")
	case p.Kind != api.RunKindChat && p.Kind != api.RunKindService:
		return errkind.New(errkind.InvalidRequest, "attempt has unknown kind "+string(p.Kind))
	case p.DeadlineMs <= 0:
		return errkind.New(errkind.DeadlineExceeded, "attempt arrived after its deadline").WithRunState(api.RunStateNotRun)
	case p.Kind == api.RunKindChat && (p.Version == "" || len(p.Messages) == 0 || p.MaxTokens < 1 || p.Offset < 0):
		return errkind.New(errkind.InvalidRequest, "chat attempt needs version, messages and maxTokens")
	case p.Kind == api.RunKindService && (p.Service == "" || p.Operation == ""):
		return errkind.New(errkind.InvalidRequest, "service attempt needs service and operation")
	default:
		return nil
	}
}

func (l *sidecarLoop) sendPart(e sidecar.SendPart) {
	if to := l.linkByID(e.Link); to != nil {
		to.offer(l.log, linkItem{part: e.Part})
	}
}

func (l *sidecarLoop) sendResult(e sidecar.SendResult) {
	to := l.linkByID(e.Link)
	if to == nil {
		return
	}
	call, ok := to.calls.LoadAndDelete(callKey{e.Result.Request, e.Result.Attempt})
	if !ok {
		return
	}
	e.Result.CacheNews = l.cache.take(to.link)
	to.offer(l.log, linkItem{send: func() { call.(*peer.Call).Respond(e.Result) }})
}

// fetchConfig asks the entry that used a higher revision for its manifest.
func (l *sidecarLoop) fetchConfig(id sidecar.LinkID) {
	to := l.linkByID(id)
	if to == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, notifyTimeout)
	defer cancel()
	var offer api.ConfigOffer
	if err := to.link.Call(ctx, peer.MethodConfigFetch, struct{}{}, &offer); err != nil {
		l.log.Warn("manifest of the entry is not fetched", zap.Error(err))
		return
	}
	l.offer(offer)
}

func (l *sidecarLoop) announceLeaving() {
	hello := l.core.Member()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.links {
		e.offer(l.log, linkItem{send: func() {
			_ = e.link.Notify(l.ctx, peer.MethodLeaving, api.LeavingParams{Instance: hello.Instance, Incarnation: hello.Incarnation})
		}})
	}
}

// serveHold hands usage records of another failure domain to the core.
func (l *sidecarLoop) serveHold(call *peer.Call) {
	var hold api.UsageHold
	if err := call.Decode(&hold); err != nil {
		call.Fail(err)
		return
	}
	id := l.lastHold.Add(1)
	l.holds.Store(id, call)
	if !l.events.Offer(sidecar.UsageHeld{ID: id, Records: hold.Records}) {
		l.holds.Delete(id)
		call.Fail(errkind.New(errkind.Overloaded, "sidecar is overloaded"))
	}
}

func (l *sidecarLoop) answerHold(e sidecar.HoldTaken) {
	call, ok := l.holds.LoadAndDelete(e.ID)
	if !ok {
		return
	}
	go func() {
		if e.Err != nil {
			call.(*peer.Call).Fail(e.Err)
			return
		}
		call.(*peer.Call).Respond(struct{}{})
	}()
}
