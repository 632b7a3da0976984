package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/observe"
)

// Parts are what a deployment brings: its store and the names of its headers.
type Parts struct {
	Store   forward.Store
	Dialect Dialect
	// Reload reads the settings again after SIGHUP; nil ignores the signal.
	Reload func() (Settings, error)
	// LogOutput receives the log.
	LogOutput io.Writer
}

// Gateway is one process with role gateway.
type Gateway struct {
	settings   Settings
	core       *core
	relaying   *relaying
	store      forward.Store
	dialect    Dialect
	reload     func() (Settings, error)
	pool       *pool
	metrics    *meters
	log        *zap.Logger
	requestLog *zap.Logger
	lines      *asyncWriter

	callers *http.Server
	health  *http.Server
	extra   *http.Server
	active  atomic.Int64
	leaving atomic.Bool
	// leftAt is when readiness was withdrawn.
	leftAt atomic.Pointer[time.Time]
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// App returns the application of a gateway. Stopping it drains the process.
func App(s Settings, p Parts) (*fx.App, error) {
	log, lines, err := newLogger(s, p.LogOutput)
	if err != nil {
		return nil, err
	}
	quiet := observe.Part(log, "fx").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))
	app := fx.New(
		fx.Supply(s, p, log, lines),
		fx.WithLogger(func() fxevent.Logger { return &fxevent.ZapLogger{Logger: quiet} }),
		fx.Provide(newGateway),
		fx.StopTimeout(s.Grace),
		fx.Invoke(func(lc fx.Lifecycle, g *Gateway) {
			lc.Append(fx.Hook{OnStart: g.start, OnStop: g.drain})
		}),
	)
	return app, eris.Wrap(app.Err(), "gateway cannot be built")
}

func newGateway(s Settings, p Parts, log *zap.Logger, lines *asyncWriter) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	m := newMeters()
	g := &Gateway{
		settings: s, store: p.Store, dialect: p.Dialect, reload: p.Reload,
		pool: newPool(m.connections.Inc), metrics: m,
		log: observe.Part(log, "gateway"), requestLog: observe.Part(log, "request"), lines: lines,
		ctx: ctx, cancel: cancel,
	}
	g.relaying, g.store = joinRelays(s, p.Store, time.Now(), log)
	g.core = newCore(s, observe.Part(log, "state"))
	m.set.NewGauge("borageflow_gateway_active_requests", func() float64 { return float64(g.active.Load()) })
	m.set.NewGauge("borageflow_gateway_config_age_seconds", func() float64 {
		return (elapsed() - time.Duration(g.core.confirmedAt.Load())).Seconds()
	})
	m.set.NewGauge("borageflow_gateway_log_lines_dropped", func() float64 { return float64(lines.dropped.Load()) })
	return g
}

func (g *Gateway) start(context.Context) error {
	if err := g.listen(); err != nil {
		return err
	}
	if err := g.relaying.listen(g.settings, g.log); err != nil {
		return err
	}
	for _, f := range g.followers() {
		g.group.Go(func() { f.run(g.ctx) })
	}
	g.group.Go(g.tick)
	g.group.Go(g.reloadOnSignal)
	g.log.Info("gateway has started", zap.String("callers", g.settings.Callers), zap.String("failure_domain", g.settings.FailureDomain))
	return nil
}

// Pauses after a change of a topic. Changes come in bursts, and each call costs; the
// pauses are at most a third of the times within which a change must be in force.
const (
	gatherConfig   = 400 * time.Millisecond
	gatherWorkers  = 600 * time.Millisecond
	gatherRollouts = 250 * time.Millisecond
)

func (g *Gateway) followers() []*follower {
	log := observe.Part(g.log, "store")
	lost := func() {}
	renewals := newRenewals()
	followers := []*follower{
		{topic: forward.ConfigTopic, store: g.store, wait: g.settings.configWatch(), maxPause: maxPause, gather: gatherConfig, apply: g.applyConfig, lost: lost, called: g.metrics.storeCall, renewals: renewals, log: log},
		{topic: forward.WorkerTopic, store: g.store, wait: g.settings.LongWatch, maxPause: maxLongPause, gather: gatherWorkers, apply: func(u *forward.Update, _ time.Duration) {
			g.core.applyWorkers(elapsed(), u)
		}, lost: g.core.storeLost, called: g.metrics.storeCall, renewals: renewals, log: log},
		{topic: forward.RolloutTopic, store: g.store, wait: g.settings.LongWatch, maxPause: maxLongPause, gather: gatherRollouts, apply: func(u *forward.Update, _ time.Duration) {
			g.core.applyRollouts(elapsed(), u)
		}, lost: lost, called: g.metrics.storeCall, renewals: renewals, log: log},
	}
	for _, f := range followers {
		f.relaying = g.relaying
	}
	return followers
}

func (g *Gateway) applyConfig(u *forward.Update, confirmed time.Duration) {
	for _, c := range u.Configs {
		if g.core.applyConfig(c) {
			g.log.Info("configuration is in force", zap.Int64("config", c.Version), zap.Int("routes", len(c.Routes)), zap.Int("keys", len(c.Customers)), zap.Int64("revision", u.Revision))
		}
	}
	g.core.confirm(confirmed)
}

// tickEvery is the interval of ageing and of due writes; a tenth of the shortest time
// that the deployment bounds.
const tickEvery = 200 * time.Millisecond

func (g *Gateway) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		now := elapsed()
		g.core.tick(now)
		if n%cleanEvery == 0 {
			g.pool.keep(g.core.usedAddresses())
		}
		for _, w := range g.core.dueRollouts(now) {
			g.group.Go(func() { g.recordRollout(w) })
		}
	}
}

// cleanEvery is the number of ticks between two looks at idle connections.
const cleanEvery = 5

func (g *Gateway) recordRollout(w rolloutWrite) {
	result, err := g.store.RecordRollout(g.ctx, w.record, w.progress)
	g.metrics.storeCall("record", false, err == nil)
	g.core.rolloutWritten(elapsed(), w, result, err)
	if err == nil {
		g.log.Info("state of a rollout is recorded", zap.String("service", w.record.Service), zap.String("state", string(w.progress.State)), zap.Int("step", w.progress.Step), zap.Int64("revision", result.Revision))
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
			g.log.Warn("settings are unusable, the former ones stay in force", zap.Error(err))
			continue
		}
		g.core.reconfigure(s)
		g.log.Info("settings are read again")
	}
}

// Server limits that the configuration does not set.
const (
	healthTimeout = 2 * time.Second
	// headerBytes is the largest head that is accepted; the configuration's own limit is lower.
	headerBytes = 64 << 10
	// idleTimeout is longer than callers reuse an idle connection in any configuration seen.
	idleTimeout = 90 * time.Second
	// headerTimeout bounds a caller that sends its head slowly.
	headerTimeout = 10 * time.Second
)

func (g *Gateway) listen() error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	listener, err := lc.Listen(g.ctx, "tcp", g.settings.Callers)
	if err != nil {
		return eris.Wrapf(err, "callers' listener %s cannot be opened", g.settings.Callers)
	}
	g.callers = &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: zap.NewStdLog(observe.Part(g.log, "http"))}
	if g.health, err = g.listenHealth(g.settings.Health); err != nil {
		return err
	}
	if g.settings.Metrics != "" {
		if g.extra, err = g.listenHealth(g.settings.Metrics); err != nil {
			return err
		}
	}
	go func() { _ = g.callers.Serve(listener) }()
	return nil
}

func (g *Gateway) listenHealth(address string) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "health listener %s cannot be opened", address)
	}
	router := mux.NewRouter()
	router.HandleFunc("/readyz", g.readyz)
	if g.settings.ReadyPath != "" {
		router.HandleFunc(g.settings.ReadyPath, g.readyz)
	}
	router.HandleFunc("/state", g.serveState)
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server := &http.Server{Handler: router, ReadHeaderTimeout: healthTimeout, ReadTimeout: healthTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() {
		http.Error(w, "instance is leaving", http.StatusServiceUnavailable)
		return
	}
	if ok, reason := g.core.ready(elapsed()); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// closeWhenLeaving asks the caller to open a new connection, which reaches another process.
func (g *Gateway) closeWhenLeaving(w http.ResponseWriter) {
	if g.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
}

// tooLateForStream reports whether a stream that begins now may not end within the grace
// time, although the balancer should send nothing here any more.
func (g *Gateway) tooLateForStream() bool {
	at := g.leftAt.Load()
	return at != nil && time.Since(*at) > streamsUntil
}

const (
	// streamsUntil is how long after readiness is withdrawn new streams are accepted: the
	// balancer notices after two missed checks of one a second.
	streamsUntil = 2500 * time.Millisecond
	// leaveRetry sends a refused caller to another process at once.
	leaveRetry = 10 * time.Millisecond
	// balancerTime is how long callers may still be sent here after readiness is withdrawn:
	// two missed checks of one a second, and the way of a request.
	balancerTime = 3200 * time.Millisecond
	// stopReserve is left at the end of the grace time for the end of the process.
	stopReserve = 400 * time.Millisecond
)

// drain withdraws readiness, serves until the balancer has noticed, and ends when the
// running requests have ended or the grace time is nearly over.
func (g *Gateway) drain(ctx context.Context) error {
	end := time.Now().Add(g.settings.Grace - stopReserve)
	now := time.Now()
	g.leftAt.Store(&now)
	g.leaving.Store(true)
	g.relaying.leave()
	g.log.Info("instance leaves, readiness is withdrawn", zap.Int64("active", g.active.Load()))
	wait := min(balancerTime, g.settings.Grace/2)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	shutdown, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := g.callers.Shutdown(shutdown); err != nil {
		g.log.Warn("requests were cut", zap.Int64("active", g.active.Load()), zap.Error(err))
		_ = g.callers.Close()
	}
	g.cancel()
	g.relaying.close()
	g.pool.close()
	for _, s := range []*http.Server{g.health, g.extra} {
		if s != nil {
			_ = s.Close()
		}
	}
	g.log.Info("instance has left")
	g.lines.flush(flushLimit)
	return nil
}

// flushLimit bounds the writing of the last log lines.
const flushLimit = 100 * time.Millisecond
