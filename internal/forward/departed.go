package forward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// departedTTL is how long a worker whose entry was removed is remembered. Copies that a store comes back from are
	// seconds old.
	departedTTL = 10 * time.Minute
	// maxDeparted bounds the workers that are remembered; the latest removals are kept.
	maxDeparted = 8192
	// restoredTime is how long an entry of an older copy keeps a worker out that had been removed. The removal is
	// written again within seconds, and an entry that no worker renews is removed after three intervals of its
	// heartbeat, so that an entry that still stands is renewed by its worker.
	restoredTime = 30 * time.Second
)

// departures remembers the workers whose entries were removed, beyond an era of the store: an older copy holds
// their entries again.
type departures struct {
	byID *lru.LRU[string, departure]
	// withheld holds the listed workers that get no requests since their entries are those of an older copy, with the
	// time at which that ends.
	withheld map[string]Elapsed
	// eraBeganAt is the start of the last era. isRestoring is set until the first update of an era is applied.
	eraBeganAt  Elapsed
	isRestoring bool
}

// departure is a worker as it was when its entry was removed.
type departure struct {
	worker    Worker
	removedAt Elapsed
}

func newDepartures() departures {
	withheld := map[string]Elapsed{}
	byID, err := lru.NewLRU(maxDeparted, func(id string, _ departure) { delete(withheld, id) })
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return departures{byID: byID, withheld: withheld}
}

func (d *departures) isWithheld(id string) bool {
	_, ok := d.withheld[id]
	return ok
}

// add records that the entry of a worker was removed.
func (d *departures) add(now Elapsed, worker Worker) {
	delete(d.withheld, worker.ID)
	d.byID.Add(worker.ID, departure{worker, now})
}

// forget ends what is known of a worker and reports whether it was withheld.
func (d *departures) forget(id string) bool {
	withheld := d.isWithheld(id)
	d.byID.Remove(id)
	return withheld
}

// beginEra forgets the workers that were removed too long ago.
func (d *departures) beginEra(now Elapsed) {
	d.eraBeganAt, d.isRestoring = now, true
	for id, known, ok := d.byID.GetOldest(); ok && now-known.removedAt > departedTTL; id, known, ok = d.byID.GetOldest() {
		d.forget(id)
	}
}

// judge decides whether the entry of a worker is one that was removed in an earlier era. repeated is set for an entry that
// is listed already: it is news only in the first update of an era. judge reports whether the decision changed.
func (d *departures) judge(entry Worker, repeated bool) bool {
	known, ok := d.byID.Peek(entry.ID)
	if !ok {
		return false
	}
	until, withheld := d.withheld[entry.ID]
	switch {
	case d.isRestoring && !isBornAfter(entry, known.worker):
		end := d.eraBeganAt + restoredTime
		if known.worker.Draining {
			end = max(end, known.removedAt+departedTTL) // it never takes that back
		}
		d.withheld[entry.ID] = max(until, end)
		return !withheld
	case withheld && repeated:
		return false
	}
	return d.forget(entry.ID)
}

// expire ends what is known of the workers that were withheld long enough. It reports whether there were any.
func (d *departures) expire(now Elapsed) bool {
	found := false
	for id, until := range d.withheld {
		if now >= until {
			d.forget(id)
			found = true
		}
	}
	return found
}

// isBornAfter reports whether an entry is that of a later incarnation of a worker.
func isBornAfter(entry, known Worker) bool {
	return entry.StartUnixMs > known.StartUnixMs || entry.StartUnixMs == known.StartUnixMs && entry.Address != known.Address
}
