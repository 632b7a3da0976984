package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
)

// applyEvacuations applies a full list of evacuated failure domains or a list of changes.
func (d *dispatcher) applyEvacuations(now time.Duration, u *forward.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began, ended := d.evacuations.Apply(now, u)
	d.evacuationsListed = true
	for _, domain := range began {
		d.log.Info("failure domain is evacuated, its workers get no new requests", zap.String("domain", domain), zap.Int64("revision", u.Revision), zap.Int64("age_ms", u.Age.Milliseconds()))
	}
	if len(began) > 0 {
		d.placer.SetEvacuated(d.evacuations.Domains())
	}
	d.endEvacuations(now, ended)
}

// endEvacuations lets the workers of failure domains get requests again. They may have turned cold in
// the meantime. The caller holds the lock.
func (d *dispatcher) endEvacuations(now time.Duration, domains []string) {
	if len(domains) == 0 {
		return
	}
	d.placer.SetEvacuated(d.evacuations.Domains())
	for _, domain := range domains {
		d.placer.AssumeCold(now, domain, d.rng.Float64)
		d.log.Info("evacuation has ended, the workers of the failure domain are taken to be cold", zap.String("domain", domain))
	}
}

// recordColdWorkers records how long workers stay cold by their entries. The caller holds the lock.
func (d *dispatcher) recordColdWorkers(now time.Duration, changes []forward.WorkerChange) {
	var changed []*forward.WorkerChange
	for i := range changes {
		c := &changes[i]
		if !c.Removed && d.placer.RecordCold(now, c.ID, c.ColdFor, d.rng.Float64()) {
			changed = append(changed, c)
		}
	}
	if len(changed) > maxWorkerLines {
		d.log.Info("cold times of many workers changed", zap.Int("workers", len(changed)), zap.Int64("first_cold_ms", changed[0].ColdFor.Milliseconds()))
		return
	}
	for _, c := range changed {
		d.log.Info("cold time of a worker changed", zap.String("worker", c.ID), zap.Int64("cold_ms", c.ColdFor.Milliseconds()))
	}
}

// allEvacuated reports whether all workers of a service are in evacuated failure domains.
func (d *dispatcher) allEvacuated(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.AllEvacuated(service)
}
