package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/membership"
)

// maxWorkerLines is the largest number of workers that get lines of their own when they come into use or
// are removed at the same time. More are only counted: with several thousand workers, the lines of one
// list would use the processor of a small instance while callers wait.
const maxWorkerLines = 20

// applyWorkerPage applies a page of the first list of workers. Its workers may be used at once; which of
// them are in use in all is known with the last page.
func (d *dispatcher) applyWorkerPage(now time.Duration, u *forward.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workersListed {
		return
	}
	d.workers.Apply(now, u.Workers)
	d.workersPaged = true
	d.syncWorkers(now)
	d.recordColdWorkers(now, u.Workers)
}

// applyWorkers applies a full list of workers or a list of changes.
func (d *dispatcher) applyWorkers(now time.Duration, u *forward.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isRestored := forward.IsNewerEra(u.Revision, d.workersRevision) && d.workersListed
	if isRestored {
		d.workers.BeginEra(now)
	}
	d.workersRevision = u.Revision
	d.workers.StoreReached(now)
	if u.Full {
		d.workers.Replace(now, u.Workers)
		d.workersListed = true
	} else {
		d.workers.Apply(now, u.Workers)
	}
	if isRestored {
		era, _ := forward.SplitRevision(u.Revision)
		d.log.Warn("store has come back from an older copy", zap.Int64("era", era), zap.Int("withheld_workers", d.workers.WithheldCount()))
	}
	d.syncWorkers(now)
	d.recordColdWorkers(now, u.Workers)
}

// syncHealth passes the changes from the workers in use so far to the health tracker. The caller holds
// the lock.
func (d *dispatcher) syncHealth(usable []forward.Worker) {
	usableByID := make(map[string]forward.Worker, len(usable))
	var changed []forward.Worker
	for _, w := range usable {
		usableByID[w.ID] = w
		if old, ok := d.usableWorkers[w.ID]; !ok || old != w {
			changed = append(changed, w)
		}
	}
	slices.SortFunc(changed, func(a, b forward.Worker) int { return cmp.Compare(a.ID, b.ID) }) // the tracker keeps them sorted
	for _, w := range changed {
		d.handleHealthEvent(membership.ServerChanged{Server: w.ID, Incarnation: int(w.StartUnixMs), Versions: []string{w.Service}})
		d.handleHealthEvent(membership.SignalsReceived{Server: w.ID, Signals: membership.Signals{Ready: true, Alive: true}})
		if len(changed) <= maxWorkerLines {
			d.log.Info("worker is in use", zap.String("worker", w.ID), zap.String("service", w.Service), zap.String("version", w.Version), zap.String("address", w.Address))
		}
	}
	var removed []string
	for id := range d.usableWorkers {
		if _, ok := usableByID[id]; !ok {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		d.handleHealthEvent(membership.ServerRemoved{Server: id})
		if len(removed) <= maxWorkerLines {
			d.log.Info("worker gets no new work", zap.String("worker", id))
		}
	}
	if len(changed) > maxWorkerLines || len(removed) > maxWorkerLines {
		d.log.Info("many workers have changed", zap.Int("in_use", len(changed)), zap.Int("removed", len(removed)), zap.Int("all", len(usable)))
	}
	d.usableWorkers = usableByID
}

// applyShare applies a change of a worker's traffic share. A worker that is new has its full share. The
// caller holds the lock.
func (d *dispatcher) applyShare(changed membership.ShareChanged) {
	d.placer.SetShare(changed.Server, changed.Share)
	if _, isKnown := d.usableWorkers[changed.Server]; !isKnown && changed.Share == 1 {
		return
	}
	d.log.Info("share of a worker changed", zap.String("worker", changed.Server), zap.Float64("share", changed.Share), zap.String("reason", string(changed.Reason)))
}
