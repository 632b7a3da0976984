package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// retryRatio, retrySlack and retryWindow bound the retries of all gateways together.
	retryRatio  = 0.9
	retrySlack  = 60
	retryWindow = 10 * time.Second
	// overrunShare of the steps of a seed that draws overruns begin one.
	overrunShare = 0.15
	// killsPerSeries kills follow each other by killInterval.
	killsPerSeries = 3
	killInterval   = 1500 * time.Millisecond
)

// overruns are times in which most workers fail while most gateways are killed again and again, beside entries of
// another writer among those of the workers.
type overruns struct {
	rng  *rand.Rand // nil in seeds that draw none
	ends time.Time
}

// drawOverruns returns the overruns of a seed. They are drawn apart from the other faults, and only in some seeds, so
// that the seeds that ever failed are played as before.
func drawOverruns(seed uint64) *overruns {
	if seed%8 == 3 || seed%16 == 4 {
		return &overruns{rng: rand.New(rand.NewPCG(seed, 0x0e44))} //nolint:gosec // seeded on purpose
	}
	return &overruns{}
}

// oddSpecs are what the other writer leaves.
var oddSpecs = []string{
	strings.Repeat("[", 9999) + strings.Repeat("]", 9999),
	`{"Service":"svc","Address":"127.0.0.1:99999999999","State":"ready","Slots":16}`,
	`{"Service":"svc","Address":"127.0.0.1:0","State":"ready","Slots":16}`,
	`{"Service":"svc","Address":"127.0.0.1:9","State":"ready","Slots":9223372036854775807}`,
	`{"Service":"svc","Address":"127.0.0.1:9","State":"ready","Slots":1e400}`,
}

// startOverrun begins an overrun now and then. One worker in five and one gateway in ten are left alone.
func (sc *scenario) startOverrun() {
	o := sc.overruns
	if o.rng == nil || o.rng.Float64() >= overrunShare || time.Now().Before(o.ends) {
		return
	}
	length := killsPerSeries * killInterval
	o.ends = time.Now().Add(length)
	name := fmt.Sprintf("odd-%d", o.rng.IntN(3))
	sc.store.put("servers", name, json.RawMessage(oddSpecs[o.rng.IntN(len(oddSpecs))]))
	sc.undoAfter(length, func() { sc.store.remove("servers", name) })
	for _, p := range sc.workers {
		if o.rng.IntN(5) > 0 {
			p.fault.Store("fail")
			sc.silences.recordFault(p.id, length)
			sc.undoAfter(length, func() { p.fault.Store("") })
		}
	}
	for n, g := range sc.gateways {
		if o.rng.IntN(10) == 0 {
			continue
		}
		sc.recordFault(n, length+2*time.Second)
		sc.recordInterruption(n, 0, length)
		for k := range killsPerSeries {
			sc.undoAfter(time.Duration(k)*killInterval, func() { g.signal(syscall.SIGKILL) })
		}
	}
}

// checkRepeats checks that in each window the workers got no more repeats of requests from all gateways than the
// ratio and the slack allow. The requests are those of the window, of the one before it or of the one half a window before.
func (sc *scenario) checkRepeats(add reportFunc) {
	repeats := sc.ledger.repeats()
	var requests []time.Time
	for i := range sc.calls.list {
		requests = append(requests, sc.calls.list[i].sentAt)
	}
	for _, at := range sc.departures.leftAt {
		requests = append(requests, at)
	}
	slices.SortFunc(requests, time.Time.Compare)
	for _, from := range repeats {
		got := countWithin(repeats, from)
		most := max(countWithin(requests, from), countWithin(requests, from.Add(-retryWindow)), countWithin(requests, from.Add(-retryWindow/2)))
		if allowed := retryRatio*float64(most) + retrySlack; float64(got) > allowed {
			add("%d repeats reached workers within %v of %v, %.0f are allowed", got, retryWindow, from.Format(time.TimeOnly), allowed)
			return
		}
	}
}

// countWithin returns how many of the sorted times are in the window from a time on.
func countWithin(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}
