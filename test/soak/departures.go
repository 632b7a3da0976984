package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

const (
	// departureBound is the time after which no request of a caller that has closed its connection may reach a
	// worker.
	departureBound = 500 * time.Millisecond
	// departuresPerBurst callers leave together, about once in departureInterval.
	departuresPerBurst = 12
	departureInterval  = 400 * time.Millisecond
)

// departures records the callers that sent a whole request and closed their connection at once, by request ID.
type departures struct {
	mu     sync.Mutex
	leftAt map[string]time.Time
}

// runDepartingCallers lets callers leave until the scenario is stopped. Also a gateway that is stopped or paused
// gets their requests, from the queue of its listener.
func (sc *scenario) runDepartingCallers() {
	rng := rand.New(rand.NewPCG(sc.seed, 1<<40)) //nolint:gosec // a seed is not negative
	for i := 0; !sc.isStopped(); i++ {
		g := sc.gateways[rng.IntN(len(sc.gateways))]
		for n := range departuresPerBurst {
			id := fmt.Sprintf("left-%d-%d-%d", sc.seed, i, n)
			path := []string{safePath, unsafePath, streamPath}[rng.IntN(3)]
			sc.leave(g, id, path)
		}
		time.Sleep(departureInterval/2 + time.Duration(rng.IntN(int(departureInterval))))
	}
}

// leave sends a request and closes the connection.
func (sc *scenario) leave(g *gateway, id, path string) {
	c, err := net.DialTimeout("tcp", g.callerAddress, departureBound)
	if err != nil {
		return
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-permanent\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 4\r\n\r\nbody",
		path, hostname, platform.Headers.RequestID, id, platform.Headers.DeadlineMs)
	_ = c.Close() // the gateway is told of the end in any case
	sc.departures.mu.Lock()
	defer sc.departures.mu.Unlock()
	sc.departures.leftAt[id] = time.Now()
}

// checkDepartures checks that no request reached a worker long after its caller had left. A gateway that was paused
// is not excused: the close is in its socket before the request is read.
func (sc *scenario) checkDepartures(add reportFunc) {
	for id, at := range sc.departures.leftAt {
		for _, r := range sc.ledger.runsOf(id) {
			if late := r.startedAt.Sub(at); late > departureBound && !sc.wasHeldUp(r) {
				add("%s: ran on %s %v after its caller had left", id, r.worker, late)
			}
		}
	}
}

// wasHeldUp reports whether the connections to the worker of a run were delayed shortly before it.
func (sc *scenario) wasHeldUp(r run) bool {
	return slices.ContainsFunc(sc.workerDelays, func(d workerDelay) bool {
		return d.worker == r.worker && r.startedAt.After(d.from) && r.startedAt.Before(d.to.Add(departureBound))
	})
}

// workerDelay is the time during which the connections to a worker were delayed.
type workerDelay struct {
	worker   string
	from, to time.Time
}

// checkRefusals checks that no request is refused for good though its key has been in force for long enough. A gateway
// with faults is not excused: it may not know, and then says so. The time around the return of an older copy of the store is.
func (sc *scenario) checkRefusals(c *call, add reportFunc) {
	if c.status != http.StatusUnauthorized && c.status != http.StatusNotFound {
		return
	}
	if c.key == "key-permanent" {
		add("%s: status %d for a route and a key of all configurations", c.id, c.status)
		return
	}
	version, err := strconv.Atoi(strings.TrimPrefix(c.key, "key-"))
	if err != nil {
		return
	}
	committedAt, ok := sc.committedAt[version]
	revokedAt, isRevoked := sc.revokedAt[c.key]
	for _, at := range sc.restoredAt {
		ok = ok && (at.Before(committedAt) || at.After(c.endedAt))
	}
	if ok && (!isRevoked || c.endedAt.Before(revokedAt)) && c.sentAt.After(committedAt.Add(sc.bounds.apply)) {
		add("%s: status %d, %v after configuration %d with its key was committed", c.id, c.status, c.sentAt.Sub(committedAt), version)
	}
}
