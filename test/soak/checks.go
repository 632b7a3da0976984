package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Time limits of the checks that are the same for every deployment.
const (
	// revokeBound is the time after which a revoked API key must no longer be accepted.
	revokeBound = 5 * time.Second
	// quietTime is how long a gateway must have been without a fault before its behavior is
	// checked against the time limits.
	quietTime = 3 * time.Second
	// recoveryBound is the time after the last fault within which requests must succeed again.
	recoveryBound = 6 * time.Second
)

// timeBounds holds the settings and time limits that depend on the size of the deployment.
type timeBounds struct {
	// drain is the time after which a draining worker must not receive new requests; apply is the
	// time after which a committed configuration must be in force.
	drain, apply time.Duration
	// useRelays is true if some gateways forward updates of the store to the others.
	useRelays bool
}

// relayCount is the number of relays in a deployment with relays.
const relayCount = 2

// boundsForSeed returns the bounds of a small deployment for odd seeds, and those of a larger
// deployment with relays for even seeds.
func boundsForSeed(seed uint64) timeBounds {
	if seed%2 == 1 {
		return timeBounds{drain: 2 * time.Second, apply: 2 * time.Second}
	}
	return timeBounds{drain: 3 * time.Second, apply: 3 * time.Second, useRelays: true}
}

// violations checks all calls and returns one message for each broken guarantee.
func (sc *scenario) violations() []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for i := range sc.calls.list {
		c := &sc.calls.list[i]
		sc.checkAnswer(c, add)
		sc.checkRefusals(c, add)
		sc.checkRuns(c, add)
		sc.checkHeld(c, add)
	}
	sc.checkVersions(add)
	sc.checkNotices(add)
	sc.checkRollouts(add)
	sc.checkEvacuations(add)
	sc.checkColdWorkers(add)
	sc.checkFatalParts(add)
	sc.checkDepartures(add)
	sc.checkRepeats(add)
	sc.checkRecovery(add)
	return found
}

// reportFunc records a violation.
type reportFunc func(format string, args ...any)

// checkAnswer checks that a successful response comes from a worker that ran this request, that a
// complete body is the expected one, and that only the statuses 200 and 500 carry a signature.
func (sc *scenario) checkAnswer(c *call, add reportFunc) {
	runs := sc.ledger.runsOf(c.id)
	if c.status == http.StatusOK {
		if !slices.ContainsFunc(runs, func(r run) bool { return signature(r.worker, c.id) == c.signature }) {
			add("%s: status 200 with signature %q, which matches no run of the request", c.id, c.signature)
		}
		if c.complete && c.answer != expectedAnswer(c) {
			add("%s: complete response has an unexpected body %q", c.id, c.answer)
		}
	}
	if c.status != http.StatusOK && c.status != http.StatusInternalServerError && c.signature != "" {
		add("%s: status %d carries a worker's signature; only 200 and 500 may", c.id, c.status)
	}
}

// expectedAnswer returns the body of a complete response to c.
func expectedAnswer(c *call) string {
	if c.path != streamPath {
		return "answer to " + c.id + " " + c.body
	}
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, c.id)
	}
	return b.String()
}

// checkRuns checks that an unsafe request ran at most once, and not at all if it was refused with
// 429 or 503. It then checks each run.
func (sc *scenario) checkRuns(c *call, add reportFunc) {
	runs := sc.ledger.runsOf(c.id)
	if c.path == unsafePath && len(runs) > 1 {
		add("%s: unsafe request ran %d times, at most 1 is allowed", c.id, len(runs))
	}
	refused := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
	if refused && c.path == unsafePath && len(runs) > 0 {
		add("%s: unsafe request was refused with status %d but ran", c.id, c.status)
	}
	for _, r := range runs {
		sc.checkRun(c, r, add)
	}
}

// checkRun checks that a run did not use the target version of a rollout too early, a revoked key,
// or a worker that had been draining for longer than the limit.
func (sc *scenario) checkRun(c *call, r run, add reportFunc) {
	if r.version == targetVersion && r.startedAt.Before(sc.rolloutStartedAt.Add(rolloutSeconds*time.Second/2)) {
		add("%s: ran on %s in the first half of its rollout", c.id, r.version)
	}
	if revokedAt, ok := sc.revokedAt[c.key]; ok && c.sentAt.After(revokedAt.Add(revokeBound)) {
		add("%s: ran although it was sent %v after its API key was revoked", c.id, c.sentAt.Sub(revokedAt))
	}
	if since, ok := sc.drainingSince[r.worker]; ok && r.startedAt.After(since.Add(sc.bounds.drain)) && c.sentAt.After(since) && sc.faultFree(c.gateway, since, r.startedAt) {
		add("%s: reached worker %s %v after it started to drain", c.id, r.worker, r.startedAt.Sub(since))
	}
}

// checkRollouts checks that the first final state of each rollout holds, also beyond an era of the
// store.
func (sc *scenario) checkRollouts(add reportFunc) {
	sc.store.mu.Lock()
	defer sc.store.mu.Unlock()
	for name, state := range sc.store.finalStates {
		if now := rolloutState(sc.store.objects["rollouts"][name]); now != state {
			add("rollout of %s was %s and is now %q", name, state, now)
		}
	}
}

// checkVersions checks that no gateway process returns to an older configuration, and that a
// process without faults applies a new configuration in time.
func (sc *scenario) checkVersions(add reportFunc) {
	type observation struct {
		call    *call
		version int
	}
	byProcess := map[string][]observation{}
	for i := range sc.calls.list {
		c := &sc.calls.list[i]
		for _, r := range sc.ledger.runsOf(c.id) {
			version, err := strconv.Atoi(strings.TrimPrefix(r.customer, "customer-"))
			if err != nil {
				continue
			}
			key := fmt.Sprint(c.gateway, "/", c.incarnation)
			byProcess[key] = append(byProcess[key], observation{c, version})
			if next, ok := sc.committedAt[version+1]; ok && c.sentAt.After(next.Add(sc.bounds.apply)) && sc.faultFree(c.gateway, next, c.sentAt) {
				add("%s: ran under configuration %d, %v after configuration %d was committed", c.id, version, c.sentAt.Sub(next), version+1)
			}
		}
	}
	for process, list := range byProcess {
		slices.SortFunc(list, func(x, y observation) int { return x.call.sentAt.Compare(y.call.sentAt) })
		newest, ended := 0, time.Time{}
		for _, o := range list {
			if o.version < newest && o.call.sentAt.After(ended) {
				add("%s: process %s returned from configuration %d to the older %d", o.call.id, process, newest, o.version)
			}
			if o.version > newest {
				newest, ended = o.version, o.call.endedAt
			}
		}
	}
}

// faultFree reports whether neither the gateway nor the store had a fault between quietTime
// before from and to.
func (sc *scenario) faultFree(gateway int, from, to time.Time) bool {
	return !slices.ContainsFunc(sc.faults, func(f faultInterval) bool {
		return (f.gateway == gateway || f.gateway == allGateways) && f.to.After(from.Add(-quietTime)) && f.from.Before(to)
	})
}

// checkRecovery checks that at least 90% of the requests without a fatal part succeed after the last
// fault.
func (sc *scenario) checkRecovery(add reportFunc) {
	total, good := 0, 0
	failures := map[string]int{}
	for i := range sc.calls.list {
		c := &sc.calls.list[i]
		if c.sentAt.After(sc.healedAt.Add(recoveryBound)) && c.key == "key-permanent" && sc.fatal.of(c.path, c.prompt) == "" {
			total++
			if c.status == http.StatusOK && c.complete {
				good++
				continue
			}
			failures[fmt.Sprintf("gateway %d status %d", c.gateway, c.status)]++
		}
	}
	if total == 0 || good*10 < total*9 {
		add("after the last fault %d of %d requests are served: %v", good, total, failures)
	}
}
