package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
	"github.com/borageflow/borageflow/internal/sidecar"
)

var sidecarModule = fx.Module("sidecar", fx.Provide(newSidecarDaemon), fx.Invoke(registerSidecarHooks))

// sidecarDaemon holds the parts of a process with role sidecar.
type sidecarDaemon struct {
	*base
	loop         *sidecarLoop
	exchange     *exchangeLoop
	node         *peer.Node
	healthServer *observe.HealthServer
	leaving      atomic.Bool
}

func newSidecarDaemon(b *base, store platform.Store) (*sidecarDaemon, error) {
	d := &sidecarDaemon{base: b}
	handler := &sidecarHandler{isMainLoopAlive: b.isMainLoopAlive}
	d.exchange = newExchangeLoop(b, store)
	node, err := b.newNode(handler, d.exchange.localHello)
	if err != nil {
		return nil, err
	}
	d.node = node
	d.exchange.node = node
	d.loop = &sidecarLoop{
		events: ring.New[sidecar.Event](sidecarQueueSize), heartbeat: b.heartbeat, node: node, store: store,
		backend: engine.NewClient(b.settings.Backend.URL), kind: b.settings.Backend.Kind,
		publishMember: d.exchange.setSelf, offerConfig: d.exchange.offerConfig, confirmManifest: d.exchange.requestConfirmation, log: observe.ComponentLogger(b.log, "sidecar"),
		ctx: b.ctx, drained: make(chan struct{}),
		links: map[*peer.Link]*entryLink{}, linksByID: map[sidecar.LinkID]*entryLink{},
	}
	d.loop.cacheEvents = newCacheEventReader(d.loop.backend, observe.ComponentLogger(b.log, "cache"))
	d.loop.orderExecutor = newOrderExecutor(d, store, observe.ComponentLogger(b.log, "placement"))
	d.exchange.onSnapshot = func(s *manifest.Snapshot) {
		d.loop.events.Put(b.ctx, sidecar.SnapshotApplied{Snapshot: s})
	}
	d.exchange.onMembers = func(members []api.Member) {
		d.loop.events.Put(b.ctx, sidecar.EntriesChanged{ReadyEntries: countReadyEntries(members)})
	}
	d.exchange.onConfirmed = func() { d.loop.events.Put(b.ctx, sidecar.ConfigConfirmed{}) }
	handler.exchangeHandler = exchangeHandler{d.exchange}
	handler.loop = d.loop
	return d, nil
}

func registerSidecarHooks(lc fx.Lifecycle, d *sidecarDaemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.drain})
}

func (d *sidecarDaemon) start(context.Context) error {
	if err := d.listenPeers(d.node); err != nil {
		return err
	}
	seed := uint64(d.self.Incarnation)
	d.loop.core = sidecar.NewCore(sidecar.Config{
		Self: d.self, Backend: *d.settings.Backend, MaxQueued: d.settings.Limits.Queue,
		UsageConfirmTimeout: ms(d.settings.Timing.UsageConfirmMs), MaxUsageBytes: d.settings.Limits.UsageBytes,
	}, rand.New(rand.NewPCG(seed, seed>>1)))
	d.exchange.setSelf(d.loop.core.Member())
	health, err := d.startHealth(d.isReady)
	if err != nil {
		return err
	}
	d.healthServer = health
	d.registerQueueMetrics("sidecar_events", d.loop.events.Len, d.loop.events.RefusedCount)
	d.registerTrafficMetrics(d.node.Counters())
	d.registerRevisionMetrics(d.exchange)
	d.runInBackground(d.loop.run)
	d.runInBackground(d.loop.pollLoad)
	if d.settings.Backend.Kind == api.BackendKindEngine {
		d.runInBackground(d.loop.cacheEvents.run)
	}
	d.runInBackground(d.exchange.run)
	d.log.Info("sidecar has started", zap.String("peer", d.self.Address), zap.String("backend_server", d.settings.Backend.Name))
	return nil
}

// isReady implements observe.ReadinessFunc.
func (d *sidecarDaemon) isReady() (bool, string) {
	if d.leaving.Load() {
		return false, "instance is leaving"
	}
	load := d.loop.load.Load()
	if load == nil || !load.Ready {
		return false, "backend server is not ready"
	}
	return true, ""
}

// drain stops the process gracefully: it refuses new attempts, notifies the entries, and
// lets running attempts finish within the drain time.
func (d *sidecarDaemon) drain(ctx context.Context) error {
	log := observe.ComponentLogger(d.log, "drain")
	d.leaving.Store(true)
	log.Info("instance leaves, new work is refused")
	d.loop.events.Put(ctx, sidecar.DrainStarted{})
	if !waitOrTimeout(ctx, d.loop.drained, ms(d.settings.Timing.DrainMs)) {
		log.Warn("drain time has passed with work left")
	}
	d.loop.stopped.Store(true)
	d.flushLinks(ctx)
	d.stopBackground()
	d.node.Close()
	log.Info("instance has left")
	return d.healthServer.Close()
}

// flushLinks waits until the queued results are sent, for each link at most
// notifyTimeout.
func (d *sidecarDaemon) flushLinks(ctx context.Context) {
	d.loop.mu.Lock()
	links := make([]*entryLink, 0, len(d.loop.links))
	for _, e := range d.loop.links {
		links = append(links, e)
	}
	d.loop.mu.Unlock()
	for _, e := range links {
		sent := make(chan struct{})
		if e.queue.Put(ctx, linkItem{send: func() { close(sent) }}) {
			waitOrTimeout(ctx, sent, notifyTimeout)
		}
	}
}
