package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
)

// recordServed records a successful response for the estimate of its worker's speed.
func (d *dispatcher) recordServed(now time.Duration, a *attempt, route string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := a.inFlight.Served(now, route, a.exchange.meta.Load.Pace)
	if change == forward.SpeedUnchanged {
		return
	}
	estimate, _ := d.placer.SpeedEstimate(now, a.worker.ID)
	fields := []zap.Field{zap.String("worker", a.worker.ID), zap.String("service", a.worker.Service), zap.Float64("slowness", estimate.Learned), zap.Float64("answers", estimate.Answers)}
	if change == forward.SpeedSlow {
		d.log.Info("worker is slower than the others of its service and gets fewer requests", fields...)
	} else {
		d.log.Info("worker is not slower than the others of its service any more", fields...)
	}
}

// slowWorkers returns the number of workers that are slower than the others of their services.
func (d *dispatcher) slowWorkers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.SlowWorkers()
}
