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
	"github.com/borageflow/borageflow/internal/httpdrain"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/ring"
)

var entryModule = fx.Module("entry", fx.Provide(newEntryDaemon), fx.Invoke(registerEntryHooks))

// entryDaemon holds the parts of a process with role entry.
type entryDaemon struct {
	*base
	loop           *entryLoop
	exchange       *exchangeLoop
	node           *peer.Node
	outbox         *outbox
	recorder       *recorder
	store          platform.Store
	memory         *callerMemory
	healthServer   *observe.HealthServer
	callerServer   *http.Server
	callerListener *httpdrain.Listener
	adminServer    *http.Server
	leaving        atomic.Bool
	members        atomic.Pointer[[]api.Member]
	startedAt      time.Time
}

func newEntryDaemon(b *base, store platform.Store) (*entryDaemon, error) {
	d := &entryDaemon{base: b, store: store, memory: newCallerMemory(b.settings.Limits, observe.ComponentLogger(b.log, "callers"))}
	handler := &entryHandler{}
	d.exchange = newExchangeLoop(b, store)
	node, err := b.newNode(handler, d.exchange.localHello)
	if err != nil {
		return nil, err
	}
	d.node = node
	d.exchange.node = node
	d.outbox = newOutbox(node, observe.ComponentLogger(b.log, "outbox"))
	if d.recorder, err = newRecorder(b.settings.Trace, observe.ComponentLogger(b.log, "trace")); err != nil {
		return nil, err
	}
	d.loop = d.newLoop()
	d.exchange.onSnapshot = func(s *manifest.Snapshot) {
		d.recorder.replaceObjectives(s.Manifest)
		d.loop.events.Put(b.ctx, entry.SnapshotApplied{Snapshot: s})
	}
	d.exchange.onMembers = func(m []api.Member) {
		d.members.Store(&m)
		d.loop.events.Put(b.ctx, entry.MembersChanged{Members: m})
	}
	d.exchange.onDigest = func(e entry.DigestReceived) { d.loop.events.Put(b.ctx, e) }
	d.exchange.dialer = newSidecarDialer(node)
	handler.exchangeHandler = exchangeHandler{d.exchange}
	handler.loop = d.loop
	return d, nil
}

// newLoop builds the main loop and its core from the settings.
func (d *entryDaemon) newLoop() *entryLoop {
	s := d.settings
	cfg := entry.Config{
		Self: d.self, MaxUsageBytes: s.Limits.UsageBytes, UsageFlushInterval: ms(s.Timing.UsageFlushMs),
		ClaimBatchDelay: ms(s.Timing.ClaimWindowMs), ProbeAfter: ms(s.Timing.ProbeMs),
		Placement: holderOptions(s.Placement),
	}
	if s.Placement != nil {
		cfg.DemandInterval = ms(s.Placement.DemandMs)
	}
	loop := &entryLoop{
		events: ring.New[entry.Event](entryQueueSize), inspect: make(chan func(*entry.Core)),
		heartbeat: d.heartbeat, node: d.node, store: d.store, outbox: d.outbox, log: observe.ComponentLogger(d.log, "entry"),
		requestIDs: newRequestIDs(s.Instance, d.self.Incarnation), ctx: d.ctx, drained: make(chan struct{}), leaving: &d.leaving,
		streams: map[string]*callerapi.Stream{},
		publish: d.exchange.publishEntryData, offerConfig: d.exchange.offerConfig, exchange: d.exchange, recordTrace: d.recorder.record,
	}
	loop.rater = newRater(s.Rating, func(e entry.RatingReceived) { loop.events.Put(d.ctx, e) })
	if s.Rating != nil {
		cfg.RatingSampleRate = s.Rating.Sample
		if cfg.RatingSampleRate == 0 {
			cfg.RatingSampleRate = defaultRatingSample
		}
		cfg.RatingTimeout = loop.rater.timeout
	}
	seed := uint64(d.self.Incarnation)
	loop.core = entry.NewCore(cfg, rand.New(rand.NewPCG(seed, seed>>1)))
	return loop
}

// defaultRatingSample is the share of answers, from 0 to 1, that is rated when the
// settings give no share.
const defaultRatingSample = 0.1

func registerEntryHooks(lc fx.Lifecycle, d *entryDaemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.drain})
}

func (d *entryDaemon) start(context.Context) error {
	if err := d.listenPeers(d.node); err != nil {
		return err
	}
	d.startedAt = time.Now()
	d.self.State = api.MemberStateReady
	d.exchange.setSelf(d.self)
	health, err := d.startHealth(d.isReady)
	if err != nil {
		return err
	}
	d.healthServer = health
	if err := d.serveCallers(); err != nil {
		return err
	}
	if err := d.serveAdmin(); err != nil {
		return err
	}
	d.registerMetrics()
	d.registerRevisionMetrics(d.exchange)
	d.runInBackground(d.loop.run)
	d.runInBackground(d.exchange.run)
	d.runInBackground(d.exchange.dialer.run)
	d.runInBackground(d.retryProbes)
	d.runInBackground(d.outbox.run)
	d.runInBackground(d.recorder.run)
	d.runInBackground(func(ctx context.Context) { d.memory.sample(ctx, d.node.AcceptedLinks) })
	d.runInBackground(d.refreshSessionKeys)
	if d.loop.rater != nil {
		for range ratingWorkers {
			d.runInBackground(d.loop.rater.run)
		}
	}
	d.log.Info("entry has started", zap.String("callers", d.settings.Listen.Callers), zap.String("peer", d.self.Address))
	return nil
}

// isReady implements observe.ReadinessFunc.
func (d *entryDaemon) isReady() (bool, string) {
	if d.leaving.Load() {
		return false, "instance is leaving"
	}
	if ok, reason := d.loop.isReady(); !ok {
		return false, reason
	}
	if unreported := d.countUnreportedSidecars(); unreported > 0 && time.Since(d.startedAt) < sidecarReportTimeout {
		return false, fmt.Sprintf("%d sidecars of the instance list have not reported their versions yet", unreported)
	}
	return true, ""
}

// flushTimeout bounds the writing of usage records and claims after the last caller is
// gone. It is not part of the drain time, which a slow caller may use up.
const flushTimeout = stopMargin / 2

// finalAnswerTime is the end of the drain time in which requests that still run are answered.
const finalAnswerTime = 200 * time.Millisecond

// sidecarReportTimeout is how long a starting entry waits for reports from the sidecars of
// the instance list. The wait is bounded, since the list lags and may name sidecars that
// no longer exist.
const sidecarReportTimeout = 5 * time.Second

// countUnreportedSidecars counts the listed sidecars that have not reported which versions
// they serve. Requests for those versions would be refused although a server exists. It
// returns 1 when the members are not known yet.
func (d *entryDaemon) countUnreportedSidecars() int {
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

// serveCallers opens the listener for callers and serves it.
func (d *entryDaemon) serveCallers() error {
	s := d.settings
	var pair *api.TLSPair
	if s.TLS != nil {
		pair = s.TLS.Callers
	}
	listener, err := d.listenHTTP(s.Listen.Callers, s.Limits.Connections, d.memory.accept, pair)
	if err != nil {
		return err
	}
	d.callerListener = httpdrain.NewListener(listener)
	d.callerServer = &http.Server{
		Handler: callerapi.NewHandler(d.loop, callerapi.Options{
			MaxBodyBytes: int64(s.Limits.BodyBytes), Memory: d.memory, ReadTimeout: ms(s.Limits.ReadTimeoutMs), WriteTimeout: ms(s.Limits.WriteTimeoutMs),
		}),
		ReadHeaderTimeout: ms(s.Limits.ReadTimeoutMs), MaxHeaderBytes: s.Limits.HeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(observe.ComponentLogger(d.log, "http")),
	}
	d.callerListener.Prepare(d.callerServer)
	go d.serveHTTP(d.callerServer, d.callerListener)
	return nil
}

// drain stops the process gracefully: it withdraws readiness and waits for the load
// balancer, closes the listener, lets running requests finish, and writes the usage
// records and claims.
func (d *entryDaemon) drain(ctx context.Context) error {
	log := observe.ComponentLogger(d.log, "drain")
	d.leaving.Store(true)
	log.Info("instance leaves, readiness is withdrawn")
	leaving := d.self
	leaving.State = api.MemberStateLeaving
	d.exchange.setSelf(leaving)
	limit := ms(d.settings.Timing.DrainMs)
	runningTime := ms(d.settings.Timing.BalancerWaitMs) + limit - min(finalAnswerTime, limit/2)
	d.loop.events.Put(ctx, entry.LeaveScheduled{EndsAt: time.Now().Add(runningTime)})
	endLog := time.AfterFunc(runningTime, func() { log.Warn("drain time is nearly over, running requests are answered") })
	waitOrTimeout(ctx, nil, ms(d.settings.Timing.BalancerWaitMs))
	shutdown, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.callerListener.Shutdown(shutdown, d.callerServer); err != nil {
		log.Warn("callers were cut", zap.Error(err))
	}
	endLog.Stop()
	d.loop.events.Put(ctx, entry.DrainStarted{})
	if !waitOrTimeout(ctx, d.loop.drained, flushTimeout) {
		log.Warn("flush time has passed with usage records or claims unwritten")
	}
	if d.adminServer != nil {
		_ = d.adminServer.Close()
	}
	d.stopBackground()
	d.node.Close()
	log.Info("instance has left")
	return d.healthServer.Close()
}
