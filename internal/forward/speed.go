package forward

// slowness returns how much longer than on a usual worker of its service the same load takes on a worker.
func (p *Placer) slowness(Elapsed, *workerState) float64 { return 1 }

// reportsPace reports whether the workers of a service state how long work takes on them. Decisions that
// need expected times are made only for such services.
func (p *Placer) reportsPace(service string) bool {
	return p.opts.EstimateWaits || p.statsFor(service).reportsPace
}
