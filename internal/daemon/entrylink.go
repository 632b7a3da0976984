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

// entryLinkFor returns the sender for a link. It starts a sender if the link has none.
func (l *sidecarLoop) entryLinkFor(p *peer.Link) *entryLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing, ok := l.links[p]; ok {
		return existing
	}
	l.lastLinkID++
	e := &entryLink{id: l.lastLinkID, link: p, queue: ring.New[linkItem](linkQueueSize)}
	l.links[p] = e
	l.linksByID[e.id] = e
	go e.run(l.ctx)
	return e
}

func (l *sidecarLoop) linkByID(id sidecar.LinkID) *entryLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.linksByID[id]
}

// linkClosed removes the sender of a link and reports the closed link to the core.
func (l *sidecarLoop) linkClosed(p *peer.Link) {
	l.mu.Lock()
	e, ok := l.links[p]
	if ok {
		delete(l.links, p)
		delete(l.linksByID, e.id)
	}
	l.mu.Unlock()
	l.cacheEvents.removeReader(p)
	if ok {
		l.events.Put(l.ctx, sidecar.LinkClosed{Link: e.id})
	}
}

// run sends the queued items in order until the link is closed or ctx ends.
func (e *entryLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.link.Done():
			return
		case item := <-e.queue.Items():
			e.sendBatch(ctx, item)
		}
	}
}

// maxPartsPerMessage bounds the parts in one notification. With one part per message,
// decoding the JSON-RPC fields takes two thirds of an entry's CPU time.
const maxPartsPerMessage = 64

// sendBatch sends an item and the parts that are queued behind it. All parts share one
// message. It does not wait for further parts.
func (e *entryLink) sendBatch(ctx context.Context, item linkItem) {
	e.batch = e.batch[:0]
	for item.send == nil {
		e.batch = append(e.batch, item.part)
		if len(e.batch) == maxPartsPerMessage {
			break
		}
		var more bool
		if item, more = e.nextQueued(); !more {
			break
		}
	}
	if len(e.batch) > 0 {
		_ = e.link.Notify(ctx, peer.MethodParts, e.batch)
	}
	if item.send != nil {
		item.send()
	}
}

// nextQueued returns the next queued item without waiting, false if there is none.
func (e *entryLink) nextQueued() (linkItem, bool) {
	select {
	case item := <-e.queue.Items():
		return item, true
	default:
		return linkItem{}, false
	}
}

// enqueue queues an item. If the queue is full, because the entry does not read, the link
// is closed: dropping a single message would leave a gap in a stream.
func (e *entryLink) enqueue(log *zap.Logger, item linkItem) {
	if e.queue.TryPut(item) {
		return
	}
	log.Warn("entry reads too slowly, link is closed", zap.String("entry", e.link.Remote.Instance))
	e.link.Close()
}

// serveRun passes an attempt to the core. sendResult answers the call.
func (l *sidecarLoop) serveRun(p *peer.Link, call *peer.Call) {
	var params api.RunParams
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	if err := validateRun(params); err != nil {
		call.Fail(err)
		return
	}
	if l.stopped.Load() {
		call.Fail(errkind.New(errkind.Draining, "instance is leaving"))
		return
	}
	e := l.entryLinkFor(p)
	key := attemptKey{params.Request, params.Attempt}
	if _, loaded := e.runCalls.LoadOrStore(key, call); loaded {
		call.Fail(errkind.New(errkind.DuplicateUnknown, "attempt was already received"))
		return
	}
	if !l.events.TryPut(sidecar.RunRequested{Link: e.id, Params: params}) {
		e.runCalls.Delete(key)
		call.Fail(errkind.New(errkind.Overloaded, "event queue of the sidecar is full"))
	}
}

// validateRun checks the parameters of an attempt. It returns kind invalid_request for
// missing or unknown ones, and deadline_exceeded if no time is left.
func validateRun(p api.RunParams) error {
	switch {
	case p.Request == "" || p.Attempt < 1 || p.Customer == "":
		return errkind.New(errkind.InvalidRequest, "attempt requires request, customer and an attempt number of at least 1")
	case p.Kind != api.RunKindChat && p.Kind != api.RunKindService:
		return errkind.New(errkind.InvalidRequest, "attempt must be of kind chat or service, not "+string(p.Kind))
	case p.DeadlineMs <= 0:
		return errkind.New(errkind.DeadlineExceeded, "attempt arrived after its deadline").WithRunState(api.RunStateNotRun)
	case p.Kind == api.RunKindChat && (p.Version == "" || len(p.Messages) == 0 || p.MaxTokens < 1 || p.Offset < 0):
		return errkind.New(errkind.InvalidRequest, "chat attempt requires version, messages, maxTokens of at least 1 and a non-negative offset")
	case p.Kind == api.RunKindService && (p.Service == "" || p.Operation == ""):
		return errkind.New(errkind.InvalidRequest, "service attempt requires service and operation")
	default:
		return nil
	}
}

func (l *sidecarLoop) sendPart(e sidecar.SendPart) {
	if sender := l.linkByID(e.Link); sender != nil {
		sender.enqueue(l.log, linkItem{part: e.Part})
	}
}

// sendResult answers the call of an attempt, with the cache changes that the entry has not
// received yet.
func (l *sidecarLoop) sendResult(e sidecar.SendResult) {
	sender := l.linkByID(e.Link)
	if sender == nil {
		return
	}
	call, ok := sender.runCalls.LoadAndDelete(attemptKey{e.Result.Request, e.Result.Attempt})
	if !ok {
		return
	}
	e.Result.CacheNews = l.cacheEvents.nextMessage(sender.link)
	sender.enqueue(l.log, linkItem{send: func() { call.(*peer.Call).Respond(e.Result) }})
}

// fetchConfig fetches the manifest of an entry that uses a higher revision.
func (l *sidecarLoop) fetchConfig(id sidecar.LinkID) {
	sender := l.linkByID(id)
	if sender == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, notifyTimeout)
	defer cancel()
	var offer api.ConfigOffer
	if err := sender.link.Call(ctx, peer.MethodConfigFetch, struct{}{}, &offer); err != nil {
		l.log.Warn("newer manifest of the entry could not be fetched", zap.Error(err))
		return
	}
	l.offerConfig(offer)
}

// announceLeaving notifies all linked entries that this instance is leaving.
func (l *sidecarLoop) announceLeaving() {
	self := l.core.Member()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.links {
		e.enqueue(l.log, linkItem{send: func() {
			_ = e.link.Notify(l.ctx, peer.MethodLeaving, api.LeavingParams{Instance: self.Instance, Incarnation: self.Incarnation})
		}})
	}
}

// serveUsageReplica passes usage records from an entry of another failure domain to the
// core.
func (l *sidecarLoop) serveUsageReplica(call *peer.Call) {
	var params api.UsageHold
	if err := call.Decode(&params); err != nil {
		call.Fail(err)
		return
	}
	id := l.lastReplicaCall.Add(1)
	l.replicaCalls.Store(id, call)
	if !l.events.TryPut(sidecar.UsageReplicaReceived{ID: id, Records: params.Records}) {
		l.replicaCalls.Delete(id)
		call.Fail(errkind.New(errkind.Overloaded, "event queue of the sidecar is full"))
	}
}

// answerUsageReplica answers the call that brought usage records.
func (l *sidecarLoop) answerUsageReplica(e sidecar.UsageReplicaStored) {
	call, ok := l.replicaCalls.LoadAndDelete(e.ID)
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
