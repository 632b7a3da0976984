package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/httpdrain"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/observe"
)

// Dependencies holds what the deployment supplies: its store and the names of its headers.
type Dependencies struct {
	Store   forward.Store
	Headers HeaderCodec
	// Reload reads the settings again after SIGHUP. If it is nil, the signal is ignored.
	Reload func() (Settings, error)
	// LogOutput receives the log as JSON lines.
	LogOutput io.Writer
}

// Gateway serves the callers of one process with role gateway.
type Gateway struct {
	// settings are those at the start. The dispatcher holds those in force after a reload.
	settings   Settings
	dispatcher *dispatcher
	relayPeer  *relayPeer
	quarantine *quarantineGuard
	admission  *admissionGuard
	store      forward.Store
	// directStore is the store itself, without relays.
	directStore forward.Store
	headers     HeaderCodec
	reload      func() (Settings, error)
	pool        *connPool
	metrics     *gatewayMetrics
	log         *zap.Logger
	requestLog  *zap.Logger
	logWriter   *asyncWriter

	callerServer   *http.Server
	callerListener *httpdrain.Listener
	healthServer   *http.Server
	metricsServer  *http.Server
	activeRequests atomic.Int64
	// origin identifies this run of the gateway as a source of evidence on rollouts.
	origin string
	// loadFailure is set while exchanges with relays fail.
	loadFailure atomic.Bool
	// heldSlots holds one value for each answer that is kept; see heldAnswer.
	heldSlots chan struct{}
	buffers   bufferMemory
	overload  *overloadGuard
	draining  atomic.Bool
	// stop is the planned stop in progress; nil before.
	stop atomic.Pointer[plannedStop]
	// ending is canceled when the requests that still run must be answered, near the end of the grace period.
	ending      context.Context
	endRequests context.CancelFunc
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
}

// App returns the application of a gateway. Stopping it drains the process. It returns an error
// if the log level is unknown or the application cannot be built.
func App(s Settings, deps Dependencies) (*fx.App, error) {
	log, logWriter, err := newLogger(s, deps.LogOutput)
	if err != nil {
		return nil, err
	}
	fxLog := observe.ComponentLogger(log, "fx").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))
	if limit := s.Limits.SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	app := fx.New(
		fx.Supply(s, deps, log, logWriter),
		fx.WithLogger(func() fxevent.Logger { return &fxevent.ZapLogger{Logger: fxLog} }),
		fx.Provide(newGateway),
		fx.StopTimeout(s.GracePeriod),
		fx.Invoke(func(lc fx.Lifecycle, g *Gateway) {
			lc.Append(fx.Hook{OnStart: g.start, OnStop: g.drain})
		}),
	)
	return app, eris.Wrap(app.Err(), "gateway application cannot be built")
}

func newGateway(s Settings, deps Dependencies, log *zap.Logger, logWriter *asyncWriter) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	ending, endRequests := context.WithCancel(context.Background())
	m := newGatewayMetrics()
	guard := newOverloadGuard(s.Limits, m, observe.ComponentLogger(log, "overload"))
	g := &Gateway{
		settings: s, store: deps.Store, directStore: deps.Store, headers: deps.Headers, reload: deps.Reload,
		pool: newConnPool(m.workerConnections.Inc, guard), metrics: m, overload: guard,
		log: observe.ComponentLogger(log, "gateway"), requestLog: observe.ComponentLogger(log, "request"), logWriter: logWriter,
		heldSlots: make(chan struct{}, maxHeldAnswers), buffers: newBufferMemory(),
		ctx: ctx, cancel: cancel, ending: ending, endRequests: endRequests,
		origin: s.Instance + "@" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	g.relayPeer, g.store = newRelayPeer(s, deps.Store, time.Now(), m, log)
	g.quarantine = newQuarantineGuard(g.origin, s.isRelay(), m, observe.ComponentLogger(log, "quarantine"))
	g.dispatcher = newDispatcher(s, observe.ComponentLogger(log, "state"))
	g.admission = newAdmissionGuard(g.dispatcher, m, observe.ComponentLogger(log, "admission"))
	g.dispatcher.onWorkers = func(usable []forward.Worker, find func(id string) (forward.Worker, bool)) {
		if g.quarantine.setWorkers(usable, find) {
			g.goroutines.Go(func() { g.protect("ends of workers", g.endChangedRuns) })
		}
	}
	if counted, ok := deps.Store.(interface{ Bytes() int64 }); ok {
		// Where the store lies is not known.
		m.set.NewGauge(`borageflow_gateway_domain_bytes_total{cause="store",domain="unknown"}`, func() float64 { return float64(counted.Bytes()) })
	}
	m.set.NewGauge("borageflow_gateway_active_requests", func() float64 { return float64(g.activeRequests.Load()) })
	m.set.NewGauge("borageflow_gateway_config_age_seconds", func() float64 {
		return (sinceBoot() - time.Duration(g.dispatcher.confirmedAt.Load())).Seconds()
	})
	m.set.NewGauge("borageflow_gateway_limited_workers", func() float64 { return float64(g.dispatcher.noticeCounts().Limited) })
	m.set.NewGauge("borageflow_gateway_pausing_workers", func() float64 { return float64(g.dispatcher.noticeCounts().Pausing) })
	m.set.NewGauge("borageflow_gateway_leaving_workers", func() float64 { return float64(g.dispatcher.noticeCounts().Leaving) })
	m.set.NewGauge("borageflow_gateway_slow_workers", func() float64 { return float64(g.dispatcher.slowWorkers()) })
	m.set.NewGauge("borageflow_gateway_cold_workers", func() float64 { return float64(g.dispatcher.noticeCounts().Cold) })
	m.set.NewGauge("borageflow_gateway_evacuated_workers", func() float64 { return float64(g.dispatcher.noticeCounts().Evacuated) })
	m.set.NewGauge("borageflow_gateway_log_lines_dropped", func() float64 { return float64(logWriter.dropped.Load()) })
	return g
}

func (g *Gateway) start(context.Context) error {
	if err := g.listen(); err != nil {
		return err
	}
	if err := g.relayPeer.listen(g.settings, g.log); err != nil {
		return err
	}
	if lister, ok := g.directStore.(forward.PageLister); ok {
		lister.OnWorkerPage(func(u *forward.Update) { g.dispatcher.applyWorkerPage(sinceBoot(), u) })
	}
	for _, w := range g.newWatchers() {
		g.goroutines.Go(func() { w.run(g.ctx) })
	}
	g.startPeerExchange()
	g.goroutines.Go(g.runTicker)
	g.goroutines.Go(g.runAdmission)
	g.goroutines.Go(g.reloadOnSignal)
	g.log.Info("gateway has started", zap.String("callers", g.settings.CallerAddress), zap.String("failure_domain", g.settings.FailureDomain))
	return nil
}

// Delay after a change of a topic before the next watch. Changes come in bursts, and each call
// has a cost. The delays are at most a third of the time within which a change must be in
// force.
const (
	configBatchDelay  = 400 * time.Millisecond
	workerBatchDelay  = 600 * time.Millisecond
	rolloutBatchDelay = 250 * time.Millisecond
)

func (g *Gateway) newWatchers() []*topicWatcher {
	log := observe.ComponentLogger(g.log, "store")
	ignoreLoss := func() {}
	relists := newRelistCoordinator()
	watchers := []*topicWatcher{
		{topic: forward.ConfigTopic, store: g.store, watchTimeout: g.settings.configWatchTimeout(), applyDelay: g.settings.watchApplyDelay(), callTimeout: g.settings.StoreTimeout, minBackoff: initialBackoff, maxBackoff: maxBackoff, batchDelay: configBatchDelay, apply: g.applyConfig, onStoreLost: ignoreLoss, onCall: g.metrics.countStoreCall, relists: relists, log: log},
		{topic: forward.WorkerTopic, store: g.store, watchTimeout: g.settings.LongWatchTimeout, minBackoff: initialBackoff, maxBackoff: maxLongWatchBackoff, batchDelay: workerBatchDelay, apply: func(u *forward.Update, _ time.Duration) {
			g.dispatcher.applyWorkers(sinceBoot(), u)
		}, onStoreLost: g.dispatcher.storeLost, onCall: g.metrics.countStoreCall, relists: relists, log: log},
		{topic: forward.RolloutTopic, store: g.store, watchTimeout: g.settings.LongWatchTimeout, minBackoff: initialBackoff, maxBackoff: maxLongWatchBackoff, batchDelay: rolloutBatchDelay, apply: func(u *forward.Update, _ time.Duration) {
			g.dispatcher.applyRollouts(sinceBoot(), u)
		}, onStoreLost: ignoreLoss, onCall: g.metrics.countStoreCall, relists: relists, log: log},
		{topic: forward.CondemnationTopic, store: g.store, watchTimeout: condemnationWatchTimeout, minBackoff: condemnationBackoff, maxBackoff: condemnationBackoff, batchDelay: rolloutBatchDelay, apply: func(u *forward.Update, _ time.Duration) {
			g.quarantine.applyStore(u)
		}, onStoreLost: ignoreLoss, onCall: g.metrics.countStoreCall, relists: relists, log: log},
	}
	if g.settings.MaxEvacuateDelay > 0 {
		watchers = append(watchers, &topicWatcher{topic: forward.EvacuationTopic, store: g.store, watchTimeout: g.settings.LongWatchTimeout, minBackoff: initialBackoff, maxBackoff: maxLongWatchBackoff, batchDelay: rolloutBatchDelay, apply: func(u *forward.Update, _ time.Duration) {
			g.dispatcher.applyEvacuations(sinceBoot(), u)
		}, onStoreLost: ignoreLoss, onCall: g.metrics.countStoreCall, relists: relists, log: log})
	}
	for _, w := range watchers {
		w.relayPeer = g.relayPeer
	}
	return watchers
}

func (g *Gateway) applyConfig(u *forward.Update, confirmed time.Duration) {
	for _, c := range u.Configs {
		if g.dispatcher.applyConfig(c) {
			g.log.Info("configuration is in force", zap.Int64("config", c.Version), zap.Int("routes", len(c.Routes)), zap.Int("keys", len(c.Customers)), zap.Int64("revision", u.Revision))
		}
	}
	g.dispatcher.recordConfirmation(confirmed)
}

// tickInterval is how often workers expire and due rollout states are written: a tenth of the
// shortest delay that the settings bound.
const tickInterval = 200 * time.Millisecond

func (g *Gateway) runTicker() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due := time.Now().Add(tickInterval)
	for n := 0; ; n++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		lag := max(0, time.Since(due))
		due = due.Add(tickInterval * (1 + lag/tickInterval)) // a late ticker leaves out ticks
		g.overload.sample(n, lag, g.relayPeer.links())
		g.protect("tick", func() { g.tick(n) })
	}
}

// tick does what is due at the n-th tick.
func (g *Gateway) tick(n int) {
	now := sinceBoot()
	g.dispatcher.tick(now)
	g.quarantine.tick(now)
	if n%idleCleanupTicks == 0 {
		g.pool.closeUnused(g.dispatcher.usableAddresses())
	}
	for _, w := range g.dispatcher.dueRolloutWrites(now) {
		g.goroutines.Go(func() { g.protect("record of a rollout", func() { g.recordRollout(w) }) })
	}
	for _, w := range g.quarantine.dueWrites() {
		g.goroutines.Go(func() { g.protect("record of a condemnation", func() { g.recordCondemnation(w) }) })
	}
}

// idleCleanupTicks is the number of ticks between two cleanups of idle connections.
const idleCleanupTicks = 5

func (g *Gateway) recordRollout(w rolloutWrite) {
	result, err := g.store.RecordRollout(g.ctx, w.record, w.progress)
	g.metrics.countStoreCall("record", false, err == nil)
	g.dispatcher.handleRolloutWrite(sinceBoot(), w, result, err)
	if err == nil {
		g.log.Info("rollout state is recorded", zap.String("service", w.record.Service), zap.String("state", string(w.progress.State)), zap.Int("step", w.progress.Step), zap.Int64("revision", result.Revision), evidenceField(w.evidence))
	}
}

func (g *Gateway) reloadOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-signals:
		}
		if g.reload == nil {
			continue
		}
		s, err := g.reload()
		if err != nil {
			g.log.Warn("settings cannot be reloaded, the previous ones stay in force", zap.Error(err))
			continue
		}
		g.dispatcher.applySettings(s)
		g.log.Info("settings are reloaded")
	}
}

// Limits of the HTTP servers that the configuration does not set.
const (
	// healthTimeout bounds how long a health check may take to send its request.
	healthTimeout = 2 * time.Second
	// maxHealthConnections and maxHealthHeaderBytes bound the clients of each of the two ports for health checks and
	// metrics.
	maxHealthConnections = 16
	maxHealthHeaderBytes = 8 << 10
)

func (g *Gateway) listen() error {
	listener, err := intake.ListenConfig(g.overload.callerReceiveBuffer).Listen(g.ctx, "tcp", g.settings.CallerAddress)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for callers on %s", g.settings.CallerAddress)
	}
	if g.healthServer, err = g.listenHealth(g.settings.HealthAddress, false); err != nil {
		return err
	}
	if g.settings.MetricsAddress != "" {
		if g.metricsServer, err = g.listenHealth(g.settings.MetricsAddress, true); err != nil {
			return err
		}
	}
	g.callerServer, g.callerListener = g.newCallerServer(listener)
	go func() { _ = g.callerServer.Serve(g.callerListener) }()
	return nil
}

// newCallerServer returns the server of callers and the listener that it serves, which takes the connections of
// inner.
func (g *Gateway) newCallerServer(inner net.Listener) (*http.Server, *httpdrain.Listener) {
	server := newServer(g)
	server.ErrorLog = zap.NewStdLog(observe.ComponentLogger(g.log, "http"))
	listener := httpdrain.NewListener(intake.NewListener(inner, g.callerOptions()))
	listener.Prepare(server)
	return server, listener
}

// closeConnWhenDraining asks the caller to close the connection if the process is draining or has nearly
// as many connections as it can serve. The caller's next connection reaches another process.
func (g *Gateway) closeConnWhenDraining(w http.ResponseWriter) {
	if g.draining.Load() || g.overload.endsConnections() {
		w.Header()["Connection"] = []string{"close"}
	}
}

// stopBackground ends the watchers and the ticker, and then closes the relay connection that
// they use.
func (g *Gateway) stopBackground() {
	g.cancel()
	g.goroutines.Wait()
	g.relayPeer.close()
}

// logFlushTimeout bounds the wait for the last log lines to be written.
const logFlushTimeout = 100 * time.Millisecond
