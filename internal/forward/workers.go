package forward

import "time"

// Workers is the list of registered workers as one process knows it. A worker that
// vanished from the list while the store was away, or shortly after, stays in use
// for a grace time: its entry may have lapsed only because it could not renew it.
type Workers struct {
	grace  time.Duration
	listed map[string]Worker
	// lapsed holds vanished workers and when they stop being used.
	lapsed map[string]lapse
	// returned is when the store was reached again after an outage.
	returned Elapsed
	outage   bool
	version  uint64
}

type lapse struct {
	worker Worker
	until  Elapsed
}

// NewWorkers returns an empty list.
func NewWorkers(grace time.Duration) *Workers {
	return &Workers{grace: grace, listed: map[string]Worker{}, lapsed: map[string]lapse{}, returned: -time.Hour}
}

// Version changes whenever the list changes.
func (w *Workers) Version() uint64 { return w.version }

// StoreLost records that the store does not answer.
func (w *Workers) StoreLost() { w.outage = true }

// StoreReached records that the store answers.
func (w *Workers) StoreReached(now Elapsed) {
	if w.outage {
		w.returned = now
		w.outage = false
	}
}

// Put records an entry of the list.
func (w *Workers) Put(worker Worker) {
	delete(w.lapsed, worker.ID)
	if old, ok := w.listed[worker.ID]; ok && old == worker {
		return
	}
	w.listed[worker.ID] = worker
	w.version++
}

// Remove records that an entry has vanished.
func (w *Workers) Remove(now Elapsed, id string) {
	worker, ok := w.listed[id]
	if !ok {
		return
	}
	delete(w.listed, id)
	w.version++
	if until := w.returned + w.grace; !worker.Draining && (w.outage || now < until) {
		w.lapsed[id] = lapse{worker, max(until, now)}
		if w.outage {
			w.lapsed[id] = lapse{worker, now + w.grace}
		}
	}
}

// Apply records changes in their order.
func (w *Workers) Apply(now Elapsed, changes []WorkerChange) {
	for _, c := range changes {
		if c.Removed {
			w.Remove(now, c.ID)
			continue
		}
		w.Put(c.Worker)
	}
}

// Replace records a whole list.
func (w *Workers) Replace(now Elapsed, list []WorkerChange) {
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

// Expire drops lapsed workers whose grace time has passed.
func (w *Workers) Expire(now Elapsed) {
	for id, l := range w.lapsed {
		if now >= l.until {
			delete(w.lapsed, id)
			w.version++
		}
	}
}

// Find returns a worker that is listed or within its grace time.
func (w *Workers) Find(id string) (Worker, bool) {
	if worker, ok := w.listed[id]; ok {
		return worker, true
	}
	l, ok := w.lapsed[id]
	return l.worker, ok
}

// Usable returns the workers that may get new work.
func (w *Workers) Usable(now Elapsed) []Worker {
	out := make([]Worker, 0, len(w.listed)+len(w.lapsed))
	for _, worker := range w.listed {
		if !worker.Draining {
			out = append(out, worker)
		}
	}
	for _, l := range w.lapsed {
		if now < l.until {
			out = append(out, l.worker)
		}
	}
	return out
}
