package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// recordFault records that a fault affects a gateway from now on for the given time.
func (sc *scenario) recordFault(gateway int, length time.Duration) {
	now := time.Now()
	sc.faults = append(sc.faults, faultInterval{gateway, now, now.Add(length)})
}

// undoAfter calls undo after d in a goroutine that clearFaults waits for.
func (sc *scenario) undoAfter(d time.Duration, undo func()) {
	sc.pendingUndos.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// injectFault injects one random fault or change. Faults may overlap and repeat.
func (sc *scenario) injectFault(rng *rand.Rand) {
	n := rng.IntN(len(sc.gateways))
	g := sc.gateways[n]
	p := sc.workers[rng.IntN(len(sc.workers))]
	length := time.Duration(300+rng.IntN(2500)) * time.Millisecond
	kind := rng.IntN(sc.faultKindCount())
	if kind >= gatewayFaultKinds {
		sc.injectRelayFault(rng, length)
		return
	}
	switch kind {
	case 0, 1:
		fault := []string{"delay", "silent", "oneway", "refuse"}[rng.IntN(4)]
		sc.recordFault(n, length)
		g.storeProxy.setFault(fault)
		sc.undoAfter(length, func() { g.storeProxy.setFault("") })
	case 2:
		sc.recordFault(n, 0)
		g.storeProxy.resetConnections()
	case 3, 4, 5:
		sc.injectWorkerFault(rng, kind, p, length)
	case 6:
		sc.recordFault(n, 2*time.Second)
		sc.recordInterruption(n, 0, restartDelay)
		g.signal(syscall.SIGKILL)
	case 7:
		sc.recordFault(n, gracePeriod+2*time.Second)
		sc.recordInterruption(n, gracePeriod, restartDelay)
		g.stop(gracePeriod)
	case 8:
		sc.recordFault(n, length)
		sc.recordInterruption(n, 0, length)
		g.signal(syscall.SIGSTOP)
		sc.undoAfter(length, func() { g.signal(syscall.SIGCONT) })
	case 9:
		g.signal(syscall.SIGHUP)
	case 10:
		sc.recordFault(allGateways, length)
		sc.store.setFault([]string{"down", "slow", "lost"}[rng.IntN(3)])
		sc.undoAfter(length, func() { sc.store.setFault("") })
	case 11:
		sc.commitConfig()
		if rng.IntN(2) == 0 {
			sc.store.compact()
		}
	case 12:
		sc.replaceWorker(p)
	case 13:
		sc.startRollout()
	default:
		sc.injectLaterFault(rng, kind, p, length)
	}
}

// injectWorkerFault injects fault kind 3, 4 or 5, which affect a worker or its connections.
func (sc *scenario) injectWorkerFault(rng *rand.Rand, kind int, p *proxiedWorker, length time.Duration) {
	sc.silences.recordFault(p.id, length)
	switch kind {
	case 3:
		fault := []string{"delay", "silent", "oneway"}[rng.IntN(3)]
		sc.workerDelays = append(sc.workerDelays, workerDelay{p.id, time.Now(), time.Now().Add(length)})
		p.proxy.setFault(fault)
		sc.undoAfter(length, func() { p.proxy.setFault("") })
	case 4:
		p.proxy.resetConnections()
	case 5:
		p.fault.Store([]string{"full", "fail", "hang", "cut"}[rng.IntN(4)])
		sc.undoAfter(length, func() { p.fault.Store("") })
	}
}

// injectLaterFault injects fault kind 14 to 18, which affect the answers of a worker or the history of
// the store.
func (sc *scenario) injectLaterFault(rng *rand.Rand, kind int, p *proxiedWorker, length time.Duration) {
	if kind <= 16 {
		sc.silences.recordFault(p.id, length)
	}
	switch kind {
	case 14, 15:
		p.script.Store(drawScript(rng))
		sc.undoAfter(length, func() { p.script.Store(nil) })
	case 16:
		p.proxy.cutResponses(rng.IntN(maxCutBytes), rng.IntN(2) == 0)
		sc.undoAfter(length, func() { p.proxy.cutResponses(-1, false) })
	case 17:
		sc.startNotice(rng, p)
	case 18:
		sc.restoreStore(length)
	}
}

// maxCutBytes is the largest number of response bytes after which a connection is cut. It covers the
// head and the first events.
const maxCutBytes = 600

// gatewayFaultKinds is the number of fault kinds other than relay faults.
const gatewayFaultKinds = 19

func (sc *scenario) faultKindCount() int {
	if sc.bounds.useRelays {
		return gatewayFaultKinds + 2
	}
	return gatewayFaultKinds
}

// injectRelayFault injects a fault into the connections to a relay. The fault is not recorded and
// so excuses no violation: a gateway that receives no updates from a relay reads the store itself.
func (sc *scenario) injectRelayFault(rng *rand.Rand, length time.Duration) {
	relayProxy := sc.gateways[rng.IntN(relayCount)].relayProxy
	fault := []string{"delay", "silent", "oneway", "refuse", "reset"}[rng.IntN(5)]
	if fault == "reset" {
		relayProxy.resetConnections()
		return
	}
	relayProxy.setFault(fault)
	sc.undoAfter(length, func() { relayProxy.setFault("") })
}
