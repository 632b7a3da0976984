package forward

// leavingCost returns what it costs to send a request to a worker in another failure domain, in requests.
func (p *Placer) leavingCost(_ Elapsed, s *workerState, _ *WorkerQuery) float64 {
	if s.FailureDomain == p.opts.FailureDomain {
		return 0
	}
	return p.opts.DomainPenalty
}
