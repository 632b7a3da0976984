package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Times within which the promises hold.
const (
	revokeTime = 5 * time.Second
	// calmTime is the time without a fault after which a process counts as undisturbed.
	calmTime = 3 * time.Second
	// recoverTime is the time after the last fault in which service is back.
	recoverTime = 6 * time.Second
)

// promises are the times that differ between deployments.
type promises struct {
	drain, apply time.Duration
	// relays is set where some gateways pass on the news of the store.
	relays bool
}

// relayCount is the number of relays of a deployment that has any.
const relayCount = 2

// promisesOf are those of a small deployment on odd seeds, and of a grown one, which uses
// relays, on even ones.
func promisesOf(seed uint64) promises {
	if seed%2 == 1 {
		return promises{drain: 2 * time.Second, apply: 2 * time.Second}
	}
	return promises{drain: 3 * time.Second, apply: 3 * time.Second, relays: true}
}

// verdict returns every broken promise.
func (w *world) verdict() []string {
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for i := range w.asked.list {
		a := &w.asked.list[i]
		w.checkAnswer(a, add)
		w.checkRuns(a, add)
	}
	w.checkVersions(add)
	w.checkRecovery(add)
	return broken
}

type report func(format string, args ...any)

// checkAnswer: a success is the whole answer of a worker that ran this request.
func (w *world) checkAnswer(a *asked, add report) {
	runs := w.ledger.of(a.id)
	if a.status == http.StatusOK {
		if !slices.ContainsFunc(runs, func(r run) bool { return signature(r.worker, a.id) == a.signature }) {
			add("%s: success with the signature %q of no run", a.id, a.signature)
		}
		if a.whole && a.answer != wanted(a) {
			add("%s: whole answer is %q", a.id, a.answer)
		}
	}
	if a.status != http.StatusOK && a.status != http.StatusInternalServerError && a.signature != "" {
		add("%s: status %d with a worker's signature", a.id, a.status)
	}
}

func wanted(a *asked) string {
	if a.path != streamPath {
		return "answer to " + a.id + " " + a.body
	}
	var b strings.Builder
	for n := 1; n <= eventsOfStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, a.id)
	}
	return b.String()
}

// checkRuns: once at most, and truthful refusals.
func (w *world) checkRuns(a *asked, add report) {
	runs := w.ledger.of(a.id)
	if a.path == unsafePath && len(runs) > 1 {
		add("%s: unsafe request ran %d times", a.id, len(runs))
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if refused && a.path == unsafePath && len(runs) > 0 {
		add("%s: answered %d and ran", a.id, a.status)
	}
	for _, r := range runs {
		w.checkRun(a, r, add)
	}
}

// checkRun: keys, draining workers and the target of a rollout in time.
func (w *world) checkRun(a *asked, r run, add report) {
	if r.version == targetVersion && r.at.Before(w.ordered.Add(rolloutSeconds*time.Second/2)) {
		add("%s: ran on %s in the first half of its rollout", a.id, r.version)
	}
	if taken, ok := w.revoked[a.key]; ok && a.sent.After(taken.Add(revokeTime)) {
		add("%s: ran %v after its key was taken away", a.id, a.sent.Sub(taken))
	}
	if left, ok := w.drained[r.worker]; ok && r.at.After(left.Add(w.times.drain)) && a.sent.After(left) && w.calm(a.gateway, left, r.at) {
		add("%s: reached %s %v after it was draining", a.id, r.worker, r.at.Sub(left))
	}
}

// checkVersions: no process goes back to an older configuration, and undisturbed ones use
// a new one in time.
func (w *world) checkVersions(add report) {
	type seen struct {
		a       *asked
		version int
	}
	byProcess := map[string][]seen{}
	for i := range w.asked.list {
		a := &w.asked.list[i]
		for _, r := range w.ledger.of(a.id) {
			version, err := strconv.Atoi(strings.TrimPrefix(r.customer, "customer-"))
			if err != nil {
				continue
			}
			key := fmt.Sprint(a.gateway, "/", a.incarnation)
			byProcess[key] = append(byProcess[key], seen{a, version})
			if next, ok := w.committed[version+1]; ok && a.sent.After(next.Add(w.times.apply)) && w.calm(a.gateway, next, a.sent) {
				add("%s: ran under configuration %d, %v after %d", a.id, version, a.sent.Sub(next), version+1)
			}
		}
	}
	for process, list := range byProcess {
		slices.SortFunc(list, func(x, y seen) int { return x.a.sent.Compare(y.a.sent) })
		newest, ended := 0, time.Time{}
		for _, s := range list {
			if s.version < newest && s.a.sent.After(ended) {
				add("%s: process %s went back from configuration %d to %d", s.a.id, process, newest, s.version)
			}
			if s.version > newest {
				newest, ended = s.version, s.a.ended
			}
		}
	}
}

// calm reports whether no fault touched a gateway or the store from calmTime before a time
// until another.
func (w *world) calm(gateway int, from, to time.Time) bool {
	return !slices.ContainsFunc(w.faults, func(f faultSpan) bool {
		return (f.gateway == gateway || f.gateway == everyGateway) && f.to.After(from.Add(-calmTime)) && f.from.Before(to)
	})
}

// checkRecovery: after the last fault callers are served again.
func (w *world) checkRecovery(add report) {
	total, good := 0, 0
	failures := map[string]int{}
	for i := range w.asked.list {
		a := &w.asked.list[i]
		if a.sent.After(w.healed.Add(recoverTime)) && a.key == "key-permanent" {
			total++
			if a.status == http.StatusOK && a.whole {
				good++
				continue
			}
			failures[fmt.Sprintf("gateway %d status %d", a.gateway, a.status)]++
		}
	}
	if total == 0 || good*10 < total*9 {
		add("after the last fault %d of %d requests are served: %v", good, total, failures)
	}
}
