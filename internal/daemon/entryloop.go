package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/callerapi"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	entryQueueSize = 16384
	// storeTimeout bounds one call to the store.
	storeTimeout = 5 * time.Second
	// probeTimeout bounds a probe. A sidecar that does not answer in this time gets no
	// work until it answers one.
	probeTimeout = time.Second
	// attemptResultGrace is how long after its deadline an attempt's result is still
	// awaited.
	attemptResultGrace = 10 * time.Second
)

// entryLoop runs the core of an entry: it supplies the time and the connections to
// callers, sidecars and the store, and carries out the core's effects.
type entryLoop struct {
	core   *entry.Core
	events *ring.Queue[entry.Event]
	// inspect carries functions that the main loop calls with its core.
	inspect     chan func(*entry.Core)
	heartbeat   *observe.Heartbeat
	node        *peer.Node
	store       platform.Store
	outbox      *outbox
	rater       *rater
	exchange    *exchangeLoop
	recordTrace func(api.TraceRecord)
	publish     func(entry.Publish)
	offerConfig func(api.ConfigOffer)
	log         *zap.Logger
	requestIDs  *requestIDs

	ctx      context.Context
	snapshot atomic.Pointer[manifest.Snapshot]
	ready    atomic.Pointer[readiness]
	drained  chan struct{}
	// leaving is set when the graceful stop starts.
	leaving *atomic.Bool
	stats   atomic.Pointer[entry.Stats]
	// nextStatsAt is when the main loop stores its statistics again.
	nextStatsAt time.Time

	// pendingCalls holds the claim calls that wait for the core's answer.
	pendingCalls pendingCalls

	// mu guards streams, which holds the callers' streams by request.
	mu      sync.Mutex
	streams map[string]*callerapi.Stream
}

type readiness struct {
	ok     bool
	reason string
}

// Submit implements callerapi.Backend.
func (l *entryLoop) Submit(r entry.RequestArrived, s *callerapi.Stream) bool {
	l.mu.Lock()
	l.streams[r.Request] = s
	l.mu.Unlock()
	if l.events.TryPut(r) {
		return true
	}
	l.dropStream(r.Request)
	return false
}

// CallerDisconnected implements callerapi.Backend.
func (l *entryLoop) CallerDisconnected(request string) {
	l.dropStream(request)
	l.events.Put(l.ctx, entry.CallerDisconnected{Request: request})
}

// Snapshot implements callerapi.Backend.
func (l *entryLoop) Snapshot() *manifest.Snapshot { return l.snapshot.Load() }

// NewRequestID implements callerapi.Backend.
func (l *entryLoop) NewRequestID() string { return l.requestIDs.next() }

func (l *entryLoop) dropStream(request string) {
	l.mu.Lock()
	delete(l.streams, request)
	l.mu.Unlock()
}

// lookupStream returns the stream of a request, nil if it has ended.
func (l *entryLoop) lookupStream(request string) *callerapi.Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[request]
}

// run is the main loop. It handles one event at a time and carries out its effects before
// the next one.
func (l *entryLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events.Items():
			l.handle(e)
		case f := <-l.inspect:
			f(l.core)
		case <-timer.C:
			l.handle(entry.Tick{})
		}
		now := time.Now()
		l.heartbeat.Beat(now)
		l.publishStats(now)
		timer.Reset(l.core.NextTick(now).Sub(now))
	}
}

func (l *entryLoop) handle(e entry.Event) {
	if applied, ok := e.(entry.SnapshotApplied); ok {
		l.snapshot.Store(applied.Snapshot)
	}
	for _, effect := range l.core.Handle(time.Now(), e) {
		l.applyEffect(effect)
	}
	ok, reason := l.core.Ready()
	l.ready.Store(&readiness{ok, reason})
}

func (l *entryLoop) applyEffect(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.Deliver:
		l.deliverPart(e)
	case entry.Answer:
		l.finishRequest(e)
	case entry.RateAnswer:
		l.rater.submit(e)
	case entry.Publish:
		l.publish(e)
	case entry.OfferConfig:
		l.offerConfig(e.Offer)
	case entry.Trace:
		l.recordTrace(e.Record)
	case entry.Drained:
		close(l.drained)
	default:
		l.applyRemoteEffect(effect)
	}
}

// applyRemoteEffect carries out the effects that call another process. None of them
// blocks the main loop.
func (l *entryLoop) applyRemoteEffect(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.StartAttempt:
		go l.runAttempt(e)
	case entry.CancelAttempt:
		l.outbox.enqueue(notification{e.Address, peer.MethodCancel, e.Params})
	case entry.ConfirmUsage:
		l.outbox.enqueue(notification{e.Address, peer.MethodUsageConfirm, e.Params})
	case entry.ReplicateUsage:
		go l.replicateUsage(e)
	case entry.ReadObject:
		go l.readObject(e)
	case entry.WriteObject:
		go l.writeObject(e)
	case entry.Probe:
		go l.probe(e)
	case entry.SendPlacementOrder, entry.ReportDemand:
		l.applyPlacementEffect(effect)
	default:
		l.applyClaimEffect(e)
	}
}

// deliverPart passes a part to the caller's stream. A request whose caller reads too slowly
// is stopped.
func (l *entryLoop) deliverPart(e entry.Deliver) {
	s := l.lookupStream(e.Request)
	if s == nil || s.Deliver(e) {
		return
	}
	l.log.Info("caller reads too slowly, request is stopped", zap.String("request", e.Request))
	l.dropStream(e.Request)
	s.Finish(entry.Answer{Request: e.Request, Err: errkind.New(errkind.Truncated, "caller reads too slowly")})
	l.events.TryPut(entry.CallerDisconnected{Request: e.Request})
}

// finishRequest ends the caller's stream with its final answer or error.
func (l *entryLoop) finishRequest(e entry.Answer) {
	if e.Err != nil {
		l.log.Info("request failed", zap.String("request", e.Request), zap.String("kind", string(e.Err.Kind)),
			zap.String("run_state", string(e.Err.RunState)), zap.String("reason", e.Err.Message))
	}
	if s := l.lookupStream(e.Request); s != nil {
		l.dropStream(e.Request)
		s.Finish(e)
	}
}

// runAttempt sends an attempt to a sidecar, waits for its result and reports it to the
// core.
func (l *entryLoop) runAttempt(e entry.StartAttempt) {
	p := e.Params
	ctx, cancel := context.WithTimeout(l.ctx, ms(p.DeadlineMs)+attemptResultGrace)
	defer cancel()
	ended := entry.AttemptEnded{Request: p.Request, Attempt: p.Attempt}
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodRun, p, &ended.Result)
	}
	if err == nil && (ended.Result.Request != p.Request || ended.Result.Attempt != p.Attempt) {
		err = errkind.New(errkind.UpstreamFailed, "sidecar answered with the result of another attempt")
		ended.Result = api.RunResult{}
	}
	if err != nil {
		l.exchange.reportIfRefused(err, e.Instance, p.Incarnation)
		ended.NotSent = peer.IsNotSent(err)
		ended.Err = errkind.FromError(err)
		if ended.NotSent {
			ended.Err = errkind.Wrap(err, errkind.UpstreamFailed, "sidecar cannot be reached").WithRunState(api.RunStateNotRun)
		}
	}
	l.events.Put(l.ctx, ended)
}

// replicateUsage copies usage records to a sidecar in another failure domain.
func (l *entryLoop) replicateUsage(e entry.ReplicateUsage) {
	ctx, cancel := context.WithTimeout(l.ctx, notifyTimeout)
	defer cancel()
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodUsageHold, e.Params, nil)
	}
	if err != nil {
		l.log.Warn("usage records were not copied to a second failure domain", zap.String("request", e.Request), zap.Error(err))
	}
	l.events.Put(l.ctx, entry.UsageReplicated{Request: e.Request})
}

// probe asks a sidecar for its state and reports the answer, or the timeout, to the
// exchange and to the core.
func (l *entryLoop) probe(e entry.Probe) {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	answered := entry.ProbeAnswered{BackendServer: e.BackendServer}
	link, err := l.node.Link(ctx, e.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodProbe, api.ProbeParams{Revision: l.revision()}, &answered.Result)
	}
	answered.Err = err
	l.exchange.reportIfRefused(err, e.Instance, e.Incarnation)
	switch {
	case err == nil:
		l.exchange.recordProbe(answered.Result)
	case ctx.Err() != nil:
		l.exchange.recordProbeTimeout(membership.MemberObserved{Instance: e.Instance, Incarnation: e.Incarnation})
	}
	l.events.Put(l.ctx, answered)
}

// revision returns the revision of the manifest in force, zero if there is none.
func (l *entryLoop) revision() api.Revision {
	if s := l.snapshot.Load(); s != nil {
		return s.Revision
	}
	return api.Revision{}
}

func (l *entryLoop) readObject(e entry.ReadObject) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	o, err := l.store.Get(ctx, e.Key)
	l.events.Put(l.ctx, entry.ObjectRead{Key: e.Key, Version: o.Version, Value: o.Value, Err: err})
}

func (l *entryLoop) writeObject(e entry.WriteObject) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	o, err := l.store.Put(ctx, e.Key, e.Value, e.IfVersion)
	l.events.Put(l.ctx, entry.ObjectWritten{Key: e.Key, Version: o.Version, Err: err})
}

// status reads the core's status in the main loop.
func (l *entryLoop) status(ctx context.Context) (api.Status, error) {
	answer := make(chan api.Status, 1)
	readStatus := func(c *entry.Core) { answer <- c.Status(time.Now()) }
	select {
	case l.inspect <- readStatus:
		return <-answer, nil
	case <-ctx.Done():
		return api.Status{}, errkind.Wrap(ctx.Err(), errkind.Overloaded, "main loop did not return the status in time")
	}
}

// isReady implements observe.ReadinessFunc.
func (l *entryLoop) isReady() (bool, string) {
	r := l.ready.Load()
	if r == nil {
		return false, "main loop has not started"
	}
	return r.ok, r.reason
}
