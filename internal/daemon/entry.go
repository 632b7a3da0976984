package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/callerapi"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
)

var entryModule = fx.Module("entry", fx.Provide(newEntryDaemon), fx.Invoke(hookEntry))

// entryDaemon is one process with role entry.
type entryDaemon struct {
	*common
	loop    *entryLoop
	control *control
	node    *peer.Node
	outbox  *outbox
	record  *recorder
	store   platform.Store
	health  *observe.HealthServer
	callers *http.Server
	admin   *http.Server
	leaving atomic.Bool
	members atomic.Pointer[[]api.Member]
	started time.Time
}

func newEntryDaemon(c *common, store platform.Store) (*entryDaemon, error) {
	d := &entryDaemon{common: c, store: store}
	handler := &entryHandler{}
	d.control = newControl(c, store)
	node, err := c.newNode(handler, d.control.hello)
	if err != nil {
		return nil, err
	}
	d.node = node
	d.control.node = node
	d.outbox = newOutbox(node, observe.Part(c.log, "outbox"))
	if d.record, err = newRecorder(c.settings.Trace, observe.Part(c.log, "trace")); err != nil {
		return nil, err
	}
	d.loop = d.newLoop()
	d.control.onSnapshot = func(s *manifest.Snapshot) {
		d.record.objectives(s.Manifest)
		d.loop.events.Put(c.ctx, entry.SnapshotApplied{Snapshot: s})
	}
	d.control.onMembers = func(m []api.Member) {
		d.members.Store(&m)
		d.loop.events.Put(c.ctx, entry.MembersChanged{Members: m})
	}
	d.control.onDigest = func(e entry.DigestReceived) { d.loop.events.Put(c.ctx, e) }
	d.control.greeter = newGreeter(node)
	handler.controlHandler = controlHandler{d.control}
	handler.loop = d.loop
	return d, nil
}

func (d *entryDaemon) newLoop() *entryLoop {
	s := d.settings
	cfg := entry.Config{
		Self: d.self, UsageBytes: s.Limits.UsageBytes, UsageFlush: ms(s.Timing.UsageFlushMs),
		ClaimWindow: ms(s.Timing.ClaimWindowMs), ProbeAfter: ms(s.Timing.ProbeMs),
		Placement: holderOptions(s.Placement),
	}
	if s.Placement != nil {
		cfg.DemandEvery = ms(s.Placement.DemandMs)
	}
	loop := &entryLoop{
		events: ring.New[entry.Event](entryRingSize), inspect: make(chan func(*entry.Core)),
		beat: d.beat, node: d.node, store: d.store, outbox: d.outbox, log: observe.Part(d.log, "entry"),
		ids: newRequestIDs(s.Instance, d.self.Incarnation), ctx: d.ctx, drained: make(chan struct{}), leaving: &d.leaving,
		streams: map[string]*callerapi.Stream{},
		publish: d.control.publish, offer: d.control.offer, control: d.control, recorder: d.record.record,
	}
	loop.rater = newRater(s.Rating, func(e entry.RatingArrived) { loop.events.Put(d.ctx, e) })
	if s.Rating != nil {
		cfg.RatingSample = s.Rating.Sample
		if cfg.RatingSample == 0 {
			cfg.RatingSample = defaultRatingSample
		}
		cfg.RatingTimeout = loop.rater.timeout
	}
	seed := uint64(d.self.Incarnation)
	loop.core = entry.NewCore(cfg, rand.New(rand.NewPCG(seed, seed>>1)))
	return loop
}

// defaultRatingSample is the share of answers that is rated when settings state
// none.
const defaultRatingSample = 0.1

func hookEntry(lc fx.Lifecycle, d *entryDaemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.drain})
}

func (d *entryDaemon) start(context.Context) error {
	if err := d.listenPeers(d.node); err != nil {
		return err
	}
	d.started = time.Now()
	d.self.State = api.MemberStateReady
	d.control.setSelf(d.self)
	health, err := d.startHealth(d.ready)
	if err != nil {
		return err
	}
	d.health = health
	if err := d.serveCallers(); err != nil {
		return err
	}
	if err := d.serveAdmin(); err != nil {
		return err
	}
	d.registerMetrics()
	d.revisionMetrics(d.control)
	d.duty(d.loop.run)
	d.duty(d.control.run)
	d.duty(d.control.greeter.run)
	d.duty(d.recheck)
	d.duty(d.outbox.run)
	d.duty(d.record.run)
	d.duty(d.refreshSessionKeys)
	if d.loop.rater != nil {
		for range ratingWorkers {
			d.duty(d.loop.rater.run)
		}
	}
	d.log.Info("entry has started", zap.String("callers", d.settings.Listen.Callers), zap.String("peer", d.self.Address))
	return nil
}

func (d *entryDaemon) ready() (bool, string) {
	if d.leaving.Load() {
		return false, "instance is leaving"
	}
	if ok, reason := d.loop.isReady(); !ok {
		return false, reason
	}
	if unheard := d.unheard(); unheard > 0 && time.Since(d.started) < settleTime {
		return false, fmt.Sprintf("%d backend servers of the instance list have not been heard of", unheard)
	}
	return true, ""
}

// flushTime bounds the writing of usage and claims after the last caller is gone. It
// does not come out of the drain time, which a slow caller may use up.
const flushTime = stopMargin / 2

// settleTime is how long a starting entry waits for the sidecars of the instance
// list. The list lags, so that some of them may be gone for good.
const settleTime = 5 * time.Second

// unheard counts the listed sidecars that have not said which versions they
// serve. Requests for those versions would be refused although a server is there.
func (d *entryDaemon) unheard() int {
	members := d.members.Load()
	if members == nil {
		return 1
	}
	count := 0
	for _, m := range *members {
		if m.Role == string(api.RoleSidecar) && m.Incarnation == 0 {
			count++
		}
	}
	return count
}

func (d *entryDaemon) serveCallers() error {
	s := d.settings
	var pair *api.TLSPair
	if s.TLS != nil {
		pair = s.TLS.Callers
	}
	listener, err := listen(s.Listen.Callers, s.Limits.Connections, pair)
	if err != nil {
		return err
	}
	d.callers = &http.Server{
		Handler: callerapi.NewHandler(d.loop, callerapi.Options{
			BodyBytes: int64(s.Limits.BodyBytes), ReadTimeout: ms(s.Limits.ReadTimeoutMs), WriteTimeout: ms(s.Limits.WriteTimeoutMs),
		}),
		ReadHeaderTimeout: ms(s.Limits.ReadTimeoutMs), MaxHeaderBytes: s.Limits.HeaderBytes, IdleTimeout: time.Minute,
		ErrorLog: zap.NewStdLog(observe.Part(d.log, "http")),
	}
	go d.serve(d.callers, listener)
	return nil
}

// drain leaves in the order of design section 8: unready first, then no new
// connections, then the running requests, usage and claims.
func (d *entryDaemon) drain(ctx context.Context) error {
	log := observe.Part(d.log, "drain")
	d.leaving.Store(true)
	log.Info("instance leaves, readiness is withdrawn")
	leaving := d.self
	leaving.State = api.MemberStateLeaving
	d.control.setSelf(leaving)
	wait(ctx, nil, ms(d.settings.Timing.BalancerWaitMs))
	limit := ms(d.settings.Timing.DrainMs)
	shutdown, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.callers.Shutdown(shutdown); err != nil {
		log.Warn("callers were cut", zap.Error(err))
		_ = d.callers.Close()
	}
	d.loop.events.Put(ctx, entry.DrainStarted{})
	if !wait(ctx, d.loop.drained, flushTime) {
		log.Warn("flush time has passed with records left")
	}
	if d.admin != nil {
		_ = d.admin.Close()
	}
	d.stop()
	d.node.Close()
	log.Info("instance has left")
	return d.health.Close()
}
