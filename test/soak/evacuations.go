package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Zones of the workers in the seeds that draw evacuations. The gateways are in the first one.
var workerZones = []string{"a", "b"}

const (
	// evacuateBound is the time after which the workers of an evacuated zone must get no requests.
	evacuateBound = 3 * time.Second
	// coldTime is how long a worker stays cold after its start, and coldPerSecond the number of
	// requests a second that it then takes.
	coldTime      = 2 * time.Second
	coldPerSecond = 5.0
	// coldFactor and coldSlack are the allowance for that rate within one second.
	coldFactor = 1.5
	coldSlack  = 5
	// evacuationShare is the share of the faults at which an evacuation begins as well.
	evacuationShare = 0.2
)

// evacuation is an order to evacuate a zone.
type evacuation struct {
	zone     string
	from, to time.Time
}

// coldSpan is the time in which a worker is cold.
type coldSpan struct {
	worker   string
	from, to time.Time
}

// evacuations holds the evacuations and cold workers of a scenario.
type evacuations struct {
	rng    *rand.Rand // nil in seeds that draw none
	zones  map[string]string
	mu     sync.Mutex // guards orders while they are in force
	orders []*evacuation
	cold   []coldSpan
}

// drawEvacuations returns the evacuations of a seed. They are drawn apart from the other faults, and only
// in some seeds, so that the seeds that ever failed are played as before.
func drawEvacuations(seed uint64) *evacuations {
	e := &evacuations{zones: map[string]string{}}
	if seed%8 == 6 || seed%16 == 15 {
		e.rng = rand.New(rand.NewPCG(seed, 0xe5ac)) //nolint:gosec // seeded on purpose
	}
	return e
}

// zoneOf returns the zone of the worker with a number.
func (e *evacuations) zoneOf(id string, number int) string {
	e.zones[id] = workerZones[0]
	if e.rng != nil {
		e.zones[id] = workerZones[number%len(workerZones)]
	}
	return e.zones[id]
}

// startCold records that a worker has just started, and returns how long its entry says that it is cold.
func (e *evacuations) startCold(id string) int {
	if e.rng == nil {
		return 0
	}
	now := time.Now()
	e.cold = append(e.cold, coldSpan{id, now, now.Add(coldTime)})
	return int(coldTime.Milliseconds())
}

// startEvacuation evacuates a zone for a time, now and then. Orders for two zones, and for one, may overlap.
func (sc *scenario) startEvacuation() {
	e := sc.evacuations
	if e.rng == nil || e.rng.Float64() >= evacuationShare {
		return
	}
	zone := workerZones[e.rng.IntN(len(workerZones))]
	length := time.Duration(2000+e.rng.IntN(4000)) * time.Millisecond
	now := time.Now()
	order := &evacuation{zone: zone, from: now, to: now.Add(length)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	sc.store.put("evacuations", zone, struct{}{})
	sc.undoAfter(length, func() { sc.endEvacuation(order) })
}

// endEvacuation takes an order back, unless a later one for the same zone is still in force.
func (sc *scenario) endEvacuation(order *evacuation) {
	e := sc.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.ContainsFunc(e.orders, func(o *evacuation) bool { return o.zone == order.zone && o.to.After(order.to) }) {
		sc.store.remove("evacuations", order.zone)
	}
}

// checkEvacuations checks that no gateway without faults sends requests to the workers of a zone that has
// been evacuated for longer than the bound.
func (sc *scenario) checkEvacuations(add reportFunc) {
	for i := range sc.calls.list {
		c := &sc.calls.list[i]
		for _, r := range sc.ledger.runsOf(c.id) {
			for _, o := range sc.evacuations.orders {
				if sc.evacuations.zones[r.worker] == o.zone && r.startedAt.After(o.from.Add(evacuateBound)) && r.startedAt.Before(o.to) && sc.faultFree(c.gateway, o.from, r.startedAt) {
					add("%s: reached %s %v after its zone was evacuated", c.id, r.worker, r.startedAt.Sub(o.from))
				}
			}
		}
	}
}

// checkColdWorkers checks that no cold worker runs more requests within a second than it takes.
func (sc *scenario) checkColdWorkers(add reportFunc) {
	runs := map[string][]time.Time{}
	for i := range sc.calls.list {
		for _, r := range sc.ledger.runsOf(sc.calls.list[i].id) {
			runs[r.worker] = append(runs[r.worker], r.startedAt)
		}
	}
	for _, span := range sc.evacuations.cold {
		times := slices.DeleteFunc(runs[span.worker], func(t time.Time) bool { return t.Before(span.from) || t.After(span.to) })
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			if n := last - first + 1; float64(n) > coldFactor*coldPerSecond+coldSlack {
				add("cold worker %s ran %d requests within a second, %v allowed", span.worker, n, coldFactor*coldPerSecond+coldSlack)
				break
			}
		}
	}
}
