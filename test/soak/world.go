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

// shape is the size of a run.
type shape struct {
	gateways, workers int
	length            time.Duration
}

// everyGateway marks a fault of the store.
const everyGateway = -1

// faultSpan is the time in which a fault touched a gateway.
type faultSpan struct {
	gateway  int
	from, to time.Time
}

// world is one seed's processes and records. The main goroutine alone changes what has no
// lock of its own; the verdict reads it after the callers have ended.
type world struct {
	seed     uint64
	shape    shape
	times    promises
	store    *store
	ledger   *ledger
	gateways []*gateway
	workers  []*placedWorker
	asked    record
	version  atomic.Int64
	stop     atomic.Bool
	started  int // workers so far

	committed map[int]time.Time
	revoked   map[string]time.Time
	drained   map[string]time.Time
	faults    []faultSpan
	healed    time.Time
	// ordered is when the rollout was ordered; zero before.
	ordered  time.Time
	restarts sync.WaitGroup
	failures chan error
}

// placedWorker is a worker and the proxy through which it is reached.
type placedWorker struct {
	*worker
	link *proxy
}

func (w *world) stopping() bool { return w.stop.Load() }

// callers is the number of concurrent callers.
const callers = 12

// soak plays one seed and returns the broken promises.
func soak(dir, binary string, seed uint64, s shape, keep string) ([]string, string, error) {
	w := &world{
		seed: seed, shape: s, times: promisesOf(seed), store: newStore(), ledger: &ledger{runs: map[string][]run{}},
		committed: map[int]time.Time{}, revoked: map[string]time.Time{}, drained: map[string]time.Time{}, failures: make(chan error, 100),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer func() { _ = server.Close() }()
	w.commit()
	for range s.workers {
		if err := w.addWorker("v1"); err != nil {
			return nil, "", err
		}
	}
	defer w.closeWorkers()
	defer w.closeGateways()
	if err := w.startGateways(dir, binary, listener.Addr().String()); err != nil {
		return nil, "", err
	}
	if err := w.play(); err != nil {
		return nil, "", err
	}
	broken := w.verdict()
	if len(broken) > 0 && keep != "" {
		for n := range w.gateways {
			name := fmt.Sprintf("gateway-%d.log", n)
			raw, err := os.ReadFile(filepath.Join(dir, name))
			if err == nil {
				err = os.WriteFile(filepath.Join(keep, fmt.Sprintf("%d-%s", seed, name)), raw, 0o600)
			}
			if err != nil {
				return broken, "", err
			}
		}
	}
	served := 0
	for _, a := range w.asked.list {
		if a.status == http.StatusOK && a.whole {
			served++
		}
	}
	return broken, fmt.Sprintf("%d of %d requests served, %d faults, %d configurations", served, len(w.asked.list), len(w.faults), len(w.committed)), nil
}

func (w *world) startGateways(dir, binary, store string) error {
	for n := range w.shape.gateways {
		var relays []*gateway
		if w.times.relays {
			relays = w.gateways[:min(n, relayCount)]
		}
		g, err := newGateway(dir, binary, n, store, relays, w.times)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

func (w *world) closeGateways() {
	for _, g := range w.gateways {
		g.close()
	}
}

// commit writes the next configuration. The key of the version before the last one ends.
func (w *world) commit() {
	v := int(w.version.Load()) + 1
	w.store.put("config", "main", configOf(v))
	now := time.Now()
	w.committed[v] = now
	w.revoked[keyOf(v-2)] = now
	w.version.Store(int64(v))
}

func (w *world) addWorker(version string) error {
	w.started++
	worker, err := startWorker(fmt.Sprintf("worker-%d", w.started), version, w.ledger)
	if err != nil {
		return err
	}
	link, err := startProxy(worker.address)
	if err != nil {
		return err
	}
	p := &placedWorker{worker, link}
	w.workers = append(w.workers, p)
	w.register(p, "ready")
	return nil
}

func (w *world) register(p *placedWorker, state string) {
	w.store.put("servers", p.id, wireWorker{Service: service, Address: p.link.address(), Zone: "a", Version: p.version, State: state, Slots: 16})
}

func (w *world) closeWorkers() {
	for _, p := range w.workers {
		p.close()
		p.link.close()
	}
}

// play runs the callers and the faults.
func (w *world) play() error {
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { w.caller(n) })
	}
	rng := rand.New(rand.NewPCG(w.seed, w.seed))
	for end := time.Now().Add(w.shape.length); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
		w.harm(rng)
	}
	w.heal()
	time.Sleep(time.Until(w.healed) + recoverTime + 2*time.Second)
	w.stop.Store(true)
	group.Wait()
	w.restarts.Wait()
	select {
	case err := <-w.failures:
		return err
	default:
		return nil
	}
}

// touched records a fault that lasts until after its end.
func (w *world) touched(gateway int, length time.Duration) {
	now := time.Now()
	w.faults = append(w.faults, faultSpan{gateway, now, now.Add(length)})
}

// later undoes a fault.
func (w *world) later(d time.Duration, undo func()) {
	w.restarts.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// harm injects one fault. Faults overlap and come again.
func (w *world) harm(rng *rand.Rand) {
	n := rng.IntN(len(w.gateways))
	g := w.gateways[n]
	p := w.workers[rng.IntN(len(w.workers))]
	length := time.Duration(300+rng.IntN(2500)) * time.Millisecond
	kind := rng.IntN(w.faultKinds())
	if kind >= faultKinds {
		w.harmRelay(rng, length)
		return
	}
	switch kind {
	case 0, 1:
		mode := []string{"delay", "silent", "oneway", "refuse"}[rng.IntN(4)]
		w.touched(n, length)
		g.link.set(mode)
		w.later(length, func() { g.link.set("") })
	case 2:
		w.touched(n, 0)
		g.link.reset()
	case 3, 4, 5:
		w.harmWorker(rng, kind, p, length)
	case 6:
		w.touched(n, 2*time.Second)
		g.signal(syscall.SIGKILL)
	case 7:
		w.touched(n, stopTime+2*time.Second)
		g.stop(stopTime)
	case 8:
		w.touched(n, length)
		g.signal(syscall.SIGSTOP)
		w.later(length, func() { g.signal(syscall.SIGCONT) })
	case 9:
		g.signal(syscall.SIGHUP)
	case 10:
		w.touched(everyGateway, length)
		w.store.setFault([]string{"down", "slow", "lost"}[rng.IntN(3)])
		w.later(length, func() { w.store.setFault("") })
	case 11:
		w.commit()
		if rng.IntN(2) == 0 {
			w.store.forget()
		}
	case 12:
		w.replaceWorker(p)
	case 13:
		w.orderRollout()
	}
}

// harmWorker injects fault 3, 4 or 5, all of a worker or the way to it.
func (w *world) harmWorker(rng *rand.Rand, kind int, p *placedWorker, length time.Duration) {
	switch kind {
	case 3:
		mode := []string{"delay", "silent", "oneway"}[rng.IntN(3)]
		p.link.set(mode)
		w.later(length, func() { p.link.set("") })
	case 4:
		p.link.reset()
	case 5:
		p.mode.Store([]string{"full", "fail", "hang", "cut"}[rng.IntN(4)])
		w.later(length, func() { p.mode.Store("") })
	}
}

// faultKinds is the number of kinds of fault without those of relays.
const faultKinds = 14

func (w *world) faultKinds() int {
	if w.times.relays {
		return faultKinds + 2
	}
	return faultKinds
}

// harmRelay harms the way to a relay. It excuses nothing: a gateway that gets no news asks
// the store itself.
func (w *world) harmRelay(rng *rand.Rand, length time.Duration) {
	asked := w.gateways[rng.IntN(relayCount)].asked
	mode := []string{"delay", "silent", "oneway", "refuse", "reset"}[rng.IntN(5)]
	if mode == "reset" {
		asked.reset()
		return
	}
	asked.set(mode)
	w.later(length, func() { asked.set("") })
}

// rolloutSeconds is the ordered time of a rollout.
const rolloutSeconds = 6

// orderRollout starts workers of another version and orders the move to it, once.
func (w *world) orderRollout() {
	if !w.ordered.IsZero() {
		return
	}
	w.ordered = time.Now()
	for range w.shape.workers {
		if err := w.addWorker(targetVersion); err != nil {
			w.failures <- err
			return
		}
	}
	w.store.put("rollouts", service, wireRollout{Service: service, Target: targetVersion, DurationS: rolloutSeconds})
}

// targetVersion is the version that a rollout moves to.
const targetVersion = "v2"

// stopTime is the grace time of a stop.
const stopTime = 8 * time.Second

// replaceWorker lets a worker drain and starts another one.
func (w *world) replaceWorker(p *placedWorker) {
	if _, ok := w.drained[p.id]; ok {
		return
	}
	if err := w.addWorker(p.version); err != nil {
		w.failures <- err
		return
	}
	w.register(p, "draining")
	w.drained[p.id] = time.Now()
	id := p.id
	w.later(w.times.drain+time.Second, func() { w.store.remove("servers", id) })
}

// heal ends every fault that is still on.
func (w *world) heal() {
	w.restarts.Wait()
	w.store.setFault("")
	for _, g := range w.gateways {
		g.link.set("")
		if g.asked != nil {
			g.asked.set("")
		}
		g.signal(syscall.SIGCONT)
	}
	for _, p := range w.workers {
		p.link.set("")
		p.mode.Store("")
	}
	// A process that leaves may take its whole grace time and is then started again.
	w.healed = time.Now().Add(stopTime)
}
