package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// scenarioSize holds the number of processes and the time during which faults are injected.
type scenarioSize struct {
	gateways, workers int
	faultTime         time.Duration
}

// allGateways is the gateway number in a fault of the store, which affects every gateway.
const allGateways = -1

// faultInterval is the time during which a fault affected a gateway.
type faultInterval struct {
	gateway  int
	from, to time.Time
}

// scenario holds the processes and records of one seed. Fields without a lock of their own are
// written only by the main goroutine; violations reads them after the callers have ended.
type scenario struct {
	seed           uint64
	size           scenarioSize
	bounds         timeBounds
	store          *store
	ledger         *ledger
	notices        *noticeLog
	fatal          *fatalParts
	evacuations    *evacuations
	overruns       *overruns
	silences       *silences
	gateways       []*gateway
	workers        []*proxiedWorker
	calls          callLog
	departures     departures
	configVersion  atomic.Int64
	stopped        atomic.Bool
	workersStarted int // including replaced ones

	// committedAt is keyed by configuration version, revokedAt by API key and drainingSince by worker ID.
	committedAt   map[int]time.Time
	revokedAt     map[string]time.Time
	drainingSince map[string]time.Time
	faults        []faultInterval
	workerDelays  []workerDelay
	interruptions []faultInterval // the times at which gateways were paused or killed
	// restoredAt are the times at which the store came back from an older copy.
	restoredAt []time.Time
	// healedAt is the time from which recoveryBound counts: all faults are over, including the grace
	// period of a stopped gateway.
	healedAt time.Time
	// rolloutStartedAt is the time at which startRollout began; zero before that. The rollout is
	// written to the store after its workers have been started.
	rolloutStartedAt time.Time
	pendingUndos     sync.WaitGroup
	errs             chan error
}

// proxiedWorker is a worker and the proxy through which gateways reach it.
type proxiedWorker struct {
	*worker
	proxy *proxy
}

func (sc *scenario) isStopped() bool { return sc.stopped.Load() }

// callerCount is the number of concurrent callers.
const callerCount = 12

// runSeed runs the scenario of one seed. It returns the broken guarantees and a summary of the
// run. If a guarantee is broken and logDir is set, the gateway logs are copied to logDir.
func runSeed(dir, binary string, seed uint64, size scenarioSize, logDir string) ([]string, string, error) {
	sc := &scenario{
		seed: seed, size: size, bounds: boundsForSeed(seed), store: newStore(), ledger: newLedger(), notices: newNoticeLog(), fatal: drawFatalParts(seed), evacuations: drawEvacuations(seed), overruns: drawOverruns(seed), silences: drawSilences(seed),
		departures:  departures{leftAt: map[string]time.Time{}},
		committedAt: map[int]time.Time{}, revokedAt: map[string]time.Time{}, drainingSince: map[string]time.Time{}, errs: make(chan error, 100),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: sc.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns after Close
	defer func() { _ = server.Close() }()
	sc.commitConfig()
	for range size.workers {
		if err := sc.addWorker("v1"); err != nil {
			return nil, "", err
		}
	}
	defer sc.closeWorkers()
	defer sc.closeGateways()
	if err := sc.startGateways(dir, binary, listener.Addr().String()); err != nil {
		return nil, "", err
	}
	if err := sc.run(); err != nil {
		return nil, "", err
	}
	broken := sc.violations()
	if len(broken) > 0 && logDir != "" {
		for n := range sc.gateways {
			name := fmt.Sprintf("gateway-%d.log", n)
			raw, err := os.ReadFile(filepath.Join(dir, name))
			if err == nil {
				err = os.WriteFile(filepath.Join(logDir, fmt.Sprintf("%d-%s", seed, name)), raw, 0o600)
			}
			if err != nil {
				return broken, "", err
			}
		}
	}
	served := 0
	for _, c := range sc.calls.list {
		if c.status == http.StatusOK && c.complete {
			served++
		}
	}
	return broken, fmt.Sprintf("%d of %d requests served, %d callers left, %d faults, %d configurations, %d workers ended under fatal parts, %d silences", served, len(sc.calls.list), len(sc.departures.leftAt), len(sc.faults), len(sc.committedAt), sc.fatal.endCount(), sc.silences.count), nil
}

func (sc *scenario) startGateways(dir, binary, store string) error {
	for n := range sc.size.gateways {
		var relays []*gateway
		if sc.bounds.useRelays {
			relays = sc.gateways[:min(n, relayCount)]
		}
		g, err := newGateway(dir, binary, n, store, relays, sc.bounds)
		if err != nil {
			return err
		}
		sc.gateways = append(sc.gateways, g)
	}
	return nil
}

func (sc *scenario) closeGateways() {
	for _, g := range sc.gateways {
		g.close()
	}
}

// commitConfig writes the next configuration, which revokes the API key of two versions before.
func (sc *scenario) commitConfig() {
	v := int(sc.configVersion.Load()) + 1
	sc.store.put("config", "main", configForVersion(v))
	now := time.Now()
	sc.committedAt[v] = now
	sc.revokedAt[keyForVersion(v-2)] = now
	sc.configVersion.Store(int64(v))
}

// addWorker starts a worker and registers it as ready.
func (sc *scenario) addWorker(version string) error {
	sc.workersStarted++
	worker, err := startWorker(fmt.Sprintf("worker-%d", sc.workersStarted), version, sc.ledger, sc.notices, sc.fatal, sc.silences, sc.workersStarted)
	if err != nil {
		return err
	}
	proxy, err := startProxy(worker.address)
	if err != nil {
		return err
	}
	worker.onEnd = proxy.end
	p := &proxiedWorker{worker, proxy}
	sc.workers = append(sc.workers, p)
	sc.evacuations.zoneOf(p.id, sc.workersStarted)
	sc.registerFor(p, "ready", sc.evacuations.startCold(p.id))
	return nil
}

// register writes the state of a worker to the store.
func (sc *scenario) register(p *proxiedWorker, state string) { sc.registerFor(p, state, 0) }

// registerFor writes the state of a worker and how long it stays cold, in milliseconds.
func (sc *scenario) registerFor(p *proxiedWorker, state string, coldMs int) {
	sc.store.put("servers", p.id, wireWorker{Service: serviceName, Address: p.proxy.address(), Zone: sc.evacuations.zones[p.id], Version: p.version, State: state, Slots: 16, ColdLeftMs: coldMs})
}

func (sc *scenario) closeWorkers() {
	for _, p := range sc.workers {
		p.close()
		p.proxy.close()
	}
}

// run runs the callers, injects faults for the configured time, and then clears them.
func (sc *scenario) run() error {
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for n := range callerCount {
		group.Go(func() { sc.runCaller(n) })
	}
	group.Go(sc.runDepartingCallers)
	rng := rand.New(rand.NewPCG(sc.seed, sc.seed))
	for end := time.Now().Add(sc.size.faultTime); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
		sc.replaceEnded()
		sc.injectFault(rng)
		sc.startEvacuation()
		sc.startOverrun()
		sc.startSilence()
	}
	sc.clearFaults()
	sc.wait(sc.healedAt.Add(recoveryBound + 2*time.Second))
	sc.stopped.Store(true)
	group.Wait()
	sc.pendingUndos.Wait()
	select {
	case err := <-sc.errs:
		return err
	default:
		return nil
	}
}

// rolloutSeconds is the requested duration of a rollout.
const rolloutSeconds = 6

// startRollout starts workers of targetVersion and writes a rollout to that version to the store.
// Only the first call has an effect.
func (sc *scenario) startRollout() {
	if !sc.rolloutStartedAt.IsZero() {
		return
	}
	sc.rolloutStartedAt = time.Now()
	for range sc.size.workers {
		if err := sc.addWorker(targetVersion); err != nil {
			sc.errs <- err
			return
		}
	}
	sc.store.put("rollouts", serviceName, wireRollout{Service: serviceName, Target: targetVersion, DurationS: rolloutSeconds})
}

// targetVersion is the worker version that the rollout ends with.
const targetVersion = "v2"

// gracePeriod is the time between SIGTERM and SIGKILL when a gateway is stopped.
const gracePeriod = 8 * time.Second

// restoreStore brings the store back from a copy that is some seconds old. What the operator and the
// workers have written since is written again after a moment.
func (sc *scenario) restoreStore(length time.Duration) {
	sc.recordFault(allGateways, length)
	sc.restoredAt = append(sc.restoredAt, time.Now())
	sc.store.restore()
	sc.undoAfter(200*time.Millisecond, func() { sc.store.writeAgain() })
}

// replaceWorker starts a new worker and marks p as draining. The entry of p is removed from the
// store after the drain time.
func (sc *scenario) replaceWorker(p *proxiedWorker) {
	if _, ok := sc.drainingSince[p.id]; ok {
		return
	}
	if err := sc.addWorker(p.version); err != nil {
		sc.errs <- err
		return
	}
	sc.register(p, "draining")
	sc.drainingSince[p.id] = time.Now()
	id := p.id
	sc.undoAfter(sc.bounds.drain+time.Second, func() { sc.store.remove("servers", id) })
}

// clearFaults waits for the scheduled undos and ends the remaining faults.
func (sc *scenario) clearFaults() {
	sc.pendingUndos.Wait()
	sc.store.setFault("")
	for _, g := range sc.gateways {
		g.storeProxy.setFault("")
		if g.relayProxy != nil {
			g.relayProxy.setFault("")
		}
		g.signal(syscall.SIGCONT)
	}
	for _, p := range sc.workers {
		p.proxy.setFault("")
		p.fault.Store("")
		p.script.Store(nil)
		p.proxy.cutResponses(-1, false)
		sc.notices.end(p.id)
	}
	// A gateway that received SIGTERM may use its whole grace period before it is restarted.
	sc.healedAt = time.Now().Add(gracePeriod)
}
