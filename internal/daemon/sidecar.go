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

var sidecarModule = fx.Module("sidecar", fx.Provide(newSidecarDaemon), fx.Invoke(hookSidecar))

// sidecarDaemon is one process with role sidecar.
type sidecarDaemon struct {
	*common
	loop    *sidecarLoop
	control *control
	node    *peer.Node
	health  *observe.HealthServer
	leaving atomic.Bool
}

func newSidecarDaemon(c *common, store platform.Store) (*sidecarDaemon, error) {
	d := &sidecarDaemon{common: c}
	handler := &sidecarHandler{alive: c.alive}
	d.control = newControl(c, store)
	node, err := c.newNode(handler, d.control.hello)
	if err != nil {
		return nil, err
	}
	d.node = node
	d.control.node = node
	d.loop = &sidecarLoop{
		events: ring.New[sidecar.Event](sidecarRingSize), beat: c.beat, node: node, store: store,
		backend: engine.NewClient(c.settings.Backend.URL), kind: c.settings.Backend.Kind,
		member: d.control.setSelf, offer: d.control.offer, confirm: d.control.confirm, log: observe.Part(c.log, "sidecar"),
		ctx: c.ctx, drained: make(chan struct{}),
		links: map[*peer.Link]*entryLink{}, byID: map[sidecar.LinkID]*entryLink{},
	}
	d.loop.cache = newCacheNews(d.loop.backend, observe.Part(c.log, "cache"))
	d.loop.orders = newPlacementOrders(d, store, observe.Part(c.log, "placement"))
	d.control.onSnapshot = func(s *manifest.Snapshot) {
		d.loop.events.Put(c.ctx, sidecar.SnapshotApplied{Snapshot: s})
	}
	d.control.onMembers = func(members []api.Member) {
		d.loop.events.Put(c.ctx, sidecar.EntriesChanged{ReadyEntries: readyEntries(members)})
	}
	d.control.onConfirmed = func() { d.loop.events.Put(c.ctx, sidecar.ConfigConfirmed{}) }
	handler.controlHandler = controlHandler{d.control}
	handler.loop = d.loop
	return d, nil
}

func hookSidecar(lc fx.Lifecycle, d *sidecarDaemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.drain})
}

func (d *sidecarDaemon) start(context.Context) error {
	if err := d.listenPeers(d.node); err != nil {
		return err
	}
	seed := uint64(d.self.Incarnation)
	d.loop.core = sidecar.NewCore(sidecar.Config{
		Self: d.self, Backend: *d.settings.Backend, MaxQueued: d.settings.Limits.Queue,
		UsageConfirm: ms(d.settings.Timing.UsageConfirmMs), UsageBytes: d.settings.Limits.UsageBytes,
	}, rand.New(rand.NewPCG(seed, seed>>1)))
	d.control.setSelf(d.loop.core.Member())
	health, err := d.startHealth(d.ready)
	if err != nil {
		return err
	}
	d.health = health
	d.ringMetrics("sidecar_events", d.loop.events.Len, d.loop.events.Refused)
	d.byteMetrics(d.node.Counters())
	d.revisionMetrics(d.control)
	d.duty(d.loop.run)
	d.duty(d.loop.pollLoad)
	if d.settings.Backend.Kind == api.BackendKindEngine {
		d.duty(d.loop.cache.run)
	}
	d.duty(d.control.run)
	d.log.Info("sidecar has started", zap.String("peer", d.self.Address), zap.String("backend_server", d.settings.Backend.Name))
	return nil
}

func (d *sidecarDaemon) ready() (bool, string) {
	if d.leaving.Load() {
		return false, "instance is leaving"
	}
	load := d.loop.load.Load()
	if load == nil || !load.Ready {
		return false, "backend server is not ready"
	}
	return true, ""
}

// drain refuses new work, tells the entries, and finishes what runs.
func (d *sidecarDaemon) drain(ctx context.Context) error {
	log := observe.Part(d.log, "drain")
	d.leaving.Store(true)
	log.Info("instance leaves, new work is refused")
	d.loop.events.Put(ctx, sidecar.DrainStarted{})
	if !wait(ctx, d.loop.drained, ms(d.settings.Timing.DrainMs)) {
		log.Warn("drain time has passed with work left")
	}
	d.flushLinks(ctx)
	d.stop()
	d.node.Close()
	log.Info("instance has left")
	return d.health.Close()
}

// flushLinks waits until the last results have left.
func (d *sidecarDaemon) flushLinks(ctx context.Context) {
	d.loop.mu.Lock()
	links := make([]*entryLink, 0, len(d.loop.links))
	for _, e := range d.loop.links {
		links = append(links, e)
	}
	d.loop.mu.Unlock()
	for _, e := range links {
		sent := make(chan struct{})
		if e.items.Put(ctx, linkItem{send: func() { close(sent) }}) {
			wait(ctx, sent, notifyTimeout)
		}
	}
}
