package forward

import "time"

// WorkerList is this process's list of registered workers. A worker whose entry disappears
// during an outage of the store, or within the grace period after it, stays usable for the
// grace period: its entry may have expired only because the worker could not renew it.
type WorkerList struct {
	gracePeriod time.Duration
	listed      map[string]Worker
	// retained holds workers without an entry that stay usable, by ID.
	retained map[string]retainedWorker
	departed departures
	// storeBackAt is the time at which the store answered again after its last outage; before
	// the first outage it is too long ago for a grace period to run.
	storeBackAt Elapsed
	storeDown   bool
	version     uint64
}

// retainedWorker is a worker whose entry disappeared, with the end of its grace period.
type retainedWorker struct {
	worker Worker
	until  Elapsed
}

// NewWorkerList returns an empty list; grace is the grace period of workers without an entry.
func NewWorkerList(grace time.Duration) *WorkerList {
	return &WorkerList{gracePeriod: grace, listed: map[string]Worker{}, retained: map[string]retainedWorker{}, departed: newDepartures(), storeBackAt: -time.Hour}
}

// Version returns a number that increases whenever the list changes.
func (w *WorkerList) Version() uint64 { return w.version }

// StoreLost records that the store does not answer.
func (w *WorkerList) StoreLost() { w.storeDown = true }

// StoreReached records that the store answers.
func (w *WorkerList) StoreReached(now Elapsed) {
	if w.storeDown {
		w.storeBackAt = now
		w.storeDown = false
	}
}

// BeginEra records that the store has come back from an older copy: the next update is the state of that copy. Entries
// that it lacks are written again soon.
func (w *WorkerList) BeginEra(now Elapsed) {
	w.storeDown = true
	w.departed.beginEra(now)
}

// Put adds or replaces the entry of a worker. A worker that drains goes on to do so until it starts
// again: an entry that says otherwise comes from an older copy of the store. So does the entry of a worker
// that was removed, in the first update of an era.
func (w *WorkerList) Put(worker Worker) {
	delete(w.retained, worker.ID)
	old, ok := w.listed[worker.ID]
	if ok && old.Draining && old.StartUnixMs == worker.StartUnixMs && old.Address == worker.Address {
		worker.Draining = true
	}
	repeated := ok && old == worker
	if !w.departed.judge(worker, repeated) && repeated {
		return
	}
	w.listed[worker.ID] = worker
	w.version++
}

// Remove records that the entry of a worker has disappeared. A worker that is not draining
// is retained: for the grace period if the store does not answer, and otherwise until the
// grace period after the last outage has passed. Another one counts as departed.
func (w *WorkerList) Remove(now Elapsed, id string) {
	worker, ok := w.listed[id]
	w.Drop(now, id)
	if _, retained := w.retained[id]; ok && !retained {
		w.departed.add(now, worker)
	}
}

// Drop removes a worker that is not at its address. Unlike Remove, it says nothing of the worker's entry, which may be
// listed again.
func (w *WorkerList) Drop(now Elapsed, id string) {
	worker, ok := w.listed[id]
	if !ok {
		return
	}
	delete(w.listed, id)
	w.version++
	if worker.Draining || w.departed.isWithheld(id) {
		return
	}
	if until := w.storeBackAt + w.gracePeriod; w.storeDown || now < until {
		w.retained[id] = retainedWorker{worker, max(until, now)}
		if w.storeDown {
			w.retained[id] = retainedWorker{worker, now + w.gracePeriod}
		}
	}
}

// WithheldCount returns the number of listed workers that get no requests since they left in an earlier era of the store.
func (w *WorkerList) WithheldCount() int { return len(w.departed.withheld) }

// Apply applies changes in their order.
func (w *WorkerList) Apply(now Elapsed, changes []WorkerChange) {
	defer func() { w.departed.isRestoring = false }()
	for _, c := range changes {
		if c.Removed {
			w.Remove(now, c.ID)
			continue
		}
		w.Put(c.Worker)
	}
}

// Replace replaces the whole list.
func (w *WorkerList) Replace(now Elapsed, list []WorkerChange) {
	defer func() { w.departed.isRestoring = false }()
	seen := make(map[string]bool, len(list))
	for _, c := range list {
		if !c.Removed {
			seen[c.ID] = true
			w.Put(c.Worker)
		}
	}
	for id := range w.listed {
		if !seen[id] {
			w.Remove(now, id)
		}
	}
}

// Expire removes retained workers whose grace period has passed, and ends the time for which workers are withheld.
func (w *WorkerList) Expire(now Elapsed) {
	for id, r := range w.retained {
		if now >= r.until {
			delete(w.retained, id)
			w.departed.add(now, r.worker)
			w.version++
		}
	}
	if w.departed.expire(now) {
		w.version++
	}
}

// Find returns the worker with an ID if it is listed or retained.
func (w *WorkerList) Find(id string) (Worker, bool) {
	if worker, ok := w.listed[id]; ok {
		return worker, true
	}
	r, ok := w.retained[id]
	return r.worker, ok
}

// Usable returns the workers that may get new requests: all listed workers that are not
// draining and not known to have left in an earlier era of the store, and the retained workers.
func (w *WorkerList) Usable(now Elapsed) []Worker {
	out := make([]Worker, 0, len(w.listed)+len(w.retained))
	for id, worker := range w.listed {
		if !worker.Draining && !w.departed.isWithheld(id) {
			out = append(out, worker)
		}
	}
	for _, r := range w.retained {
		if now < r.until {
			out = append(out, r.worker)
		}
	}
	return out
}
