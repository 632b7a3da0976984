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
	sidecarRingSize = 16384
	// linkRingSize bounds the messages that wait for one entry.
	linkRingSize = 4096
	// loadInterval is how often the backend server's load report is read.
	loadInterval = 200 * time.Millisecond
	// sidecarTick is the longest time between two ticks of the core.
	sidecarTick = 20 * time.Millisecond
)

// sidecarLoop gives the core of a sidecar its clock and connections.
type sidecarLoop struct {
	core    *sidecar.Core
	events  *ring.Ring[sidecar.Event]
	beat    *observe.Heartbeat
	node    *peer.Node
	store   platform.Store
	backend *engine.Client
	kind    api.BackendKind
	member  func(api.Member)
	offer   func(api.ConfigOffer)
	confirm func()
	cache   *cacheNews
	orders  *placementOrders
	log     *zap.Logger

	ctx     context.Context
	drained chan struct{}
	load    atomic.Pointer[api.LoadReport]
	stopRun sync.Map
	// holds are the usage.hold calls that wait for the core, by their number.
	holds    sync.Map
	lastHold atomic.Uint64

	mu    sync.Mutex
	links map[*peer.Link]*entryLink
	byID  map[sidecar.LinkID]*entryLink
	last  sidecar.LinkID
}

// entryLink sends the parts and results for one entry in order, from a goroutine
// of its own.
type entryLink struct {
	id    sidecar.LinkID
	link  *peer.Link
	items *ring.Ring[func()]
	calls sync.Map
}

type callKey struct {
	request string
	attempt int
}

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
		l.beat.Beat(time.Now())
		timer.Reset(sidecarTick)
	}
}

func (l *sidecarLoop) handle(e sidecar.Event) {
	for _, effect := range l.core.Handle(time.Now(), e) {
		l.apply(effect)
	}
	load := l.core.Load()
	l.load.Store(&load)
}

func (l *sidecarLoop) apply(effect sidecar.Effect) {
	switch e := effect.(type) {
	case sidecar.StartBackend:
		ctx, cancel := context.WithTimeout(l.ctx, max(ms(e.Params.DeadlineMs), time.Millisecond))
		l.stopRun.Store(callKey{e.Params.Request, e.Params.Attempt}, cancel)
		go l.runBackend(ctx, cancel, e.Params)
	case sidecar.CancelBackend:
		l.cancelBackend(callKey{e.Request, e.Attempt})
	case sidecar.SendPart:
		l.sendPart(e)
	case sidecar.SendResult:
		l.sendResult(e)
	case sidecar.FetchConfig:
		go l.fetchConfig(e.Link)
	case sidecar.ConfirmConfig:
		l.log.Warn("process was paused, manifest is confirmed with a peer first")
		l.confirm()
	case sidecar.AnnounceLeaving:
		l.announceLeaving()
	case sidecar.MemberChanged:
		l.log.Info("state has changed", zap.String("state", string(e.Member.State)), zap.Strings("versions", e.Member.Versions))
		l.member(e.Member)
	case sidecar.HoldTaken:
		l.answerHold(e)
	case sidecar.WriteUsage:
		go l.writeUsage(e)
	case sidecar.VersionsClosed:
		l.orders.versionsClosed(e.Fence)
	case sidecar.Drained:
		close(l.drained)
	}
}

// runBackend runs an attempt on the backend server. Tokens that arrive while the
// ring is full are joined into the next part.
func (l *sidecarLoop) runBackend(ctx context.Context, cancel context.CancelFunc, p api.RunParams) {
	key := callKey{p.Request, p.Attempt}
	defer cancel()
	defer l.stopRun.Delete(key)
	ended := sidecar.BackendEnded{Request: p.Request, Attempt: p.Attempt}
	var err error
	if p.Kind == api.RunKindService {
		ended.Body, err = l.callService(ctx, p)
	} else {
		err = l.generate(ctx, p, &ended)
	}
	if err != nil {
		ended.Err = errkind.From(err)
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
	return l.backend.Call(ctx, p.Operation, p.Request, p.Attempt, body)
}

func (l *sidecarLoop) generate(ctx context.Context, p api.RunParams, ended *sidecar.BackendEnded) error {
	part := sidecar.BackendPart{Request: p.Request, Attempt: p.Attempt}
	end, err := l.backend.Generate(ctx, engine.Generate{
		Request: p.Request, Attempt: p.Attempt, Version: p.Version, Customer: p.Customer, Messages: p.Messages,
		MaxTokens: p.MaxTokens, Priority: p.Priority, Offset: p.Offset, DeadlineMs: p.DeadlineMs,
	}, func(t engine.Token) {
		part.Text += t.Text
		part.Tokens++
		if l.events.Offer(part) {
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

func (l *sidecarLoop) cancelBackend(key callKey) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, notifyTimeout)
		defer cancel()
		_ = l.backend.Cancel(ctx, key.request, key.attempt)
		if stop, ok := l.stopRun.Load(key); ok {
			stop.(context.CancelFunc)()
		}
	}()
}

func (l *sidecarLoop) writeUsage(e sidecar.WriteUsage) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	_, err := l.store.Put(ctx, e.Key, e.Value, 0)
	l.events.Put(l.ctx, sidecar.UsageWritten{Key: e.Key, Err: err})
}

// pollLoad reads the backend server's load report.
func (l *sidecarLoop) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		load, err := l.backend.Load(ctx)
		l.events.Put(ctx, sidecar.BackendLoad{Load: load, Err: err})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
