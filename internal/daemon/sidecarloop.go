package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
	"github.com/borageflow/borageflow/internal/sidecar"
)

const (
	sidecarQueueSize = 16384
	// linkQueueSize bounds the messages that are queued for one entry.
	linkQueueSize = 4096
	// loadReadInterval is the time between two reads of the backend server's load report.
	loadReadInterval = 200 * time.Millisecond
	// busyTickInterval is the longest time between two ticks of the core while there are
	// attempts. Without attempts it is idleTickInterval, since each wake-up of an idle
	// process costs about 0.1 ms.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
)

// sidecarLoop runs the core of a sidecar: it supplies the time and the connections to
// entries, the backend server and the store, and carries out the core's effects.
type sidecarLoop struct {
	core            *sidecar.Core
	events          *ring.Queue[sidecar.Event]
	heartbeat       *observe.Heartbeat
	node            *peer.Node
	store           platform.Store
	backend         *engine.Client
	kind            api.BackendKind
	publishMember   func(api.Member)
	offerConfig     func(api.ConfigOffer)
	confirmManifest func()
	cacheEvents     *cacheEventReader
	orderExecutor   *orderExecutor
	log             *zap.Logger

	ctx     context.Context
	drained chan struct{}
	// stopped is set when the main loop is about to end. Attempts that arrive later are
	// refused without it.
	stopped atomic.Bool
	load    atomic.Pointer[api.LoadReport]
	// cancelFuncs holds the context.CancelFunc of each running attempt, by attemptKey.
	cancelFuncs sync.Map
	// replicaCalls holds the usage.hold calls that wait for the core's answer, by number.
	replicaCalls    sync.Map
	lastReplicaCall atomic.Uint64

	// mu guards the fields below.
	mu         sync.Mutex
	links      map[*peer.Link]*entryLink
	linksByID  map[sidecar.LinkID]*entryLink
	lastLinkID sidecar.LinkID
}

// entryLink sends the parts and results for one entry in order, in a goroutine of its own.
type entryLink struct {
	id    sidecar.LinkID
	link  *peer.Link
	queue *ring.Queue[linkItem]
	// batch is the buffer for the parts of one message.
	batch []api.Part
	// runCalls holds the unanswered *peer.Call of each attempt, by attemptKey.
	runCalls sync.Map
}

// linkItem is a queued message: part, or, if send is set, the message that send writes to
// the link.
type linkItem struct {
	part api.Part
	send func()
}

type attemptKey struct {
	request string
	attempt int
}

// run is the main loop. It handles one event at a time and carries out its effects before
// the next one.
func (l *sidecarLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events.Items():
			l.handle(e)
		case <-timer.C:
			l.handle(sidecar.Tick{})
		}
		l.heartbeat.Beat(time.Now())
		timer.Reset(l.tickDelay())
	}
}

func (l *sidecarLoop) tickDelay() time.Duration {
	if load := l.load.Load(); load == nil || load.Running+load.Queued > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

func (l *sidecarLoop) handle(e sidecar.Event) {
	for _, effect := range l.core.Handle(time.Now(), e) {
		l.applyEffect(effect)
	}
	load := l.core.Load()
	l.load.Store(&load)
}

func (l *sidecarLoop) applyEffect(effect sidecar.Effect) {
	switch e := effect.(type) {
	case sidecar.StartBackend:
		ctx, cancel := context.WithTimeout(l.ctx, max(ms(e.Params.DeadlineMs), time.Millisecond))
		l.cancelFuncs.Store(attemptKey{e.Params.Request, e.Params.Attempt}, cancel)
		go l.runAttempt(ctx, cancel, e.Params)
	case sidecar.CancelBackend:
		l.cancelAttempt(attemptKey{e.Request, e.Attempt})
	case sidecar.SendPart:
		l.sendPart(e)
	case sidecar.SendResult:
		l.sendResult(e)
	case sidecar.FetchConfig:
		go l.fetchConfig(e.Link)
	case sidecar.ConfirmConfig:
		l.log.Warn("process was paused, attempts are refused until a peer confirms the manifest")
		l.confirmManifest()
	case sidecar.AnnounceLeaving:
		l.announceLeaving()
	case sidecar.MemberChanged:
		l.log.Info("member state or served versions have changed", zap.String("state", string(e.Member.State)), zap.Strings("versions", e.Member.Versions))
		l.publishMember(e.Member)
	case sidecar.UsageReplicaStored:
		l.answerUsageReplica(e)
	case sidecar.WriteUsage:
		go l.writeUsage(e)
	case sidecar.UsageDropped:
		l.log.Warn("usage record cannot be kept, only the entry has it", zap.String("request", e.Request), zap.Error(e.Err))
	case sidecar.VersionsClosed:
		l.orderExecutor.signalVersionsIdle(e.Fence)
	case sidecar.Drained:
		close(l.drained)
	}
}

// runAttempt runs an attempt on the backend server and reports its end to the core.
func (l *sidecarLoop) runAttempt(ctx context.Context, cancel context.CancelFunc, p api.RunParams) {
	key := attemptKey{p.Request, p.Attempt}
	defer cancel()
	defer l.cancelFuncs.Delete(key)
	ended := sidecar.BackendEnded{Request: p.Request, Attempt: p.Attempt}
	var err error
	if p.Kind == api.RunKindService {
		ended.Body, err = l.callService(ctx, p)
	} else {
		err = l.generate(ctx, p, &ended)
	}
	if err != nil {
		ended.Err = errkind.FromError(err)
		l.log.Info("attempt failed on the backend server", zap.String("request", p.Request),
			zap.Int("attempt", p.Attempt), zap.Error(err))
	}
	l.events.Put(l.ctx, ended)
}

func (l *sidecarLoop) callService(ctx context.Context, p api.RunParams) (json.RawMessage, error) {
	body := json.RawMessage("null")
	if p.Body != nil {
		body = *p.Body
	}
	return l.backend.CallOperation(ctx, p.Operation, p.Request, p.Attempt, body)
}

// generate runs a chat attempt on the engine and passes the generated text to the core.
// Tokens that arrive while the event queue is full are added to the next part.
func (l *sidecarLoop) generate(ctx context.Context, p api.RunParams, ended *sidecar.BackendEnded) error {
	part := sidecar.BackendPart{Request: p.Request, Attempt: p.Attempt}
	end, err := l.backend.Generate(ctx, engine.GenerateRequest{
		Request: p.Request, Attempt: p.Attempt, Version: p.Version, Customer: p.Customer, Messages: p.Messages,
		MaxTokens: p.MaxTokens, Priority: p.Priority, Offset: p.Offset, DeadlineMs: p.DeadlineMs,
	}, func(t engine.Token) {
		part.Text += t.Text
		part.Tokens++
		if l.events.TryPut(part) {
			part.Text, part.Tokens = "", 0
		}
	})
	if part.Tokens > 0 {
		l.events.Put(l.ctx, part)
	}
	ended.InputTokens, ended.CachedTokens, ended.OutputTokens = end.InputTokens, end.CachedTokens, end.OutputTokens
	ended.FinishReason, ended.Confidence = end.FinishReason, end.Confidence
	return err
}

// cancelAttempt cancels an attempt on the backend server, then its call.
func (l *sidecarLoop) cancelAttempt(key attemptKey) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, notifyTimeout)
		defer cancel()
		_ = l.backend.Cancel(ctx, key.request, key.attempt)
		if stop, ok := l.cancelFuncs.Load(key); ok {
			stop.(context.CancelFunc)()
		}
	}()
}

func (l *sidecarLoop) writeUsage(e sidecar.WriteUsage) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, e.ObjectKey, e.Value, 0)
	l.events.Put(l.ctx, sidecar.UsageWritten{ObjectKey: e.ObjectKey, Err: err})
}

// pollLoad reads the backend server's load report every loadReadInterval.
func (l *sidecarLoop) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReadInterval)
	defer ticker.Stop()
	for {
		load, err := l.backend.LoadReport(ctx)
		l.events.Put(ctx, sidecar.BackendLoad{Load: load, Err: err})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
