package forward

import "time"

const (
	// coldUse is the part of a cold worker's rate that the gateways use together. With the permits
	// that gateways hold, the most that arrives within a second stays below the rate itself.
	coldUse = 0.75
	// coldPermitLife is how long a gateway may hold an unused permit of a cold worker. The bound
	// of a cold worker counts single seconds.
	coldPermitLife = 250 * time.Millisecond
	// assumedGateways is the number of gateways to reckon with at a cold worker while it is not
	// known: after the start of this gateway, or of its relay.
	assumedGateways = 64
	// fleetSettleTime is the time after the first exchange from which the number of gateways is
	// taken to be known. In it each gateway has reported to a relay that has just started.
	fleetSettleTime = time.Second
	// mostGatewaysTime is how long gateways that are not heard of any more keep their part of the rates of
	// cold workers. It covers the time until a fleet whose exchange has split hears of all again, or its
	// workers are warm.
	mostGatewaysTime = 10 * time.Second
)

// ColdStart is how a service's workers behave while they are cold.
type ColdStart struct {
	// Duration is how long a worker stays cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold worker takes from all gateways
	// together; 0 means no limit.
	PerSecond float64
}

// SetColdStarts sets the behavior of cold workers by service. Workers may be known to be cold before the
// configuration is known. draw returns random numbers in [0, 1) that spread the first permits of the gateways.
func (p *Placer) SetColdStarts(now Elapsed, byService map[string]ColdStart, draw func() float64) {
	p.coldStarts = byService
	for _, s := range p.workers {
		if s.notice.isCold(now) {
			p.limitCold(now, s, draw())
		}
	}
}

// RecordCold records how long a worker stays cold by its entry; 0 means that it is warm. draw is a
// random number in [0, 1) that spreads the first permits of the gateways. It reports whether the
// worker turned cold or warm.
func (p *Placer) RecordCold(now Elapsed, id string, coldFor time.Duration, draw float64) bool {
	s := p.workers[id]
	if s == nil || coldFor <= 0 && s.notice == nil {
		return false
	}
	was := s.notice.isCold(now)
	n := p.noticeFor(now, id)
	if n == nil {
		return false
	}
	n.coldUntil = now + max(coldFor, 0)
	if coldFor > 0 {
		n.recordedAt = now
	}
	p.limitCold(now, s, draw)
	return was != n.isCold(now)
}

// AssumeCold records that the workers of a failure domain may have turned cold, whatever their entries
// say. draw returns random numbers in [0, 1).
func (p *Placer) AssumeCold(now Elapsed, domain string, draw func() float64) {
	for id, s := range p.workers {
		start := p.coldStarts[s.Service]
		if s.FailureDomain != domain || start.PerSecond <= 0 || start.Duration <= 0 {
			continue
		}
		if n := p.noticeFor(now, id); n != nil {
			n.assumedColdUntil, n.recordedAt = now+start.Duration, now
			p.limitCold(now, s, draw())
		}
	}
}

// limitCold gives a cold worker its limit.
func (p *Placer) limitCold(now Elapsed, s *workerState, draw float64) {
	rate := p.coldStarts[s.Service].PerSecond
	switch n := s.notice; {
	case !n.isCold(now) || rate <= 0:
		n.cold = nil
	case n.cold == nil || n.cold.perSecond != rate:
		n.cold = newRateLimit(now, rate, draw)
		n.cold.use, n.cold.permitLife = coldUse, coldPermitLife
	}
}

// isCold reports whether the worker is cold, or may be.
func (n *notice) isCold(now Elapsed) bool {
	return n != nil && (now < n.coldUntil || now < n.assumedColdUntil)
}

// coldLimit returns the limit of a cold worker, or nil.
func (n *notice) coldLimit(now Elapsed) *rateLimit {
	if n.cold != nil && !n.isCold(now) {
		n.cold = nil
	}
	return n.cold
}

// coldShare returns this gateway's share of the rates of a service's cold workers. A gateway whose
// number of peers is not known reckons with assumedGateways. Gateways that were heard of until lately
// keep their part, as they may still send where the exchange has split.
func (p *Placer) coldShare(now Elapsed, service string) float64 {
	return p.settledShare(now, service, p.mostGateways)
}

// settledShare returns this gateway's share among a number of gateways, if that is above the number of those
// known now. While their number is not known, it reckons with assumedGateways.
func (p *Placer) settledShare(now Elapsed, service string, most mostKnown) float64 {
	share := p.limitShare(now, service)
	if p.opts.MinGateways <= 1 || p.gateways > 0 && now-p.firstExchangeAt >= fleetSettleTime {
		if p.gateways > 0 && p.gateways < most.gateways {
			share *= float64(p.gateways) / float64(most.gateways)
		}
		return share
	}
	return min(share, 1.0/assumedGateways)
}

// mostKnown is the largest number of gateways that was known lately.
type mostKnown struct {
	gateways int
	at       Elapsed
}

// update records the number known now. A larger one is forgotten after a time.
func (m *mostKnown) update(now Elapsed, gateways int, kept time.Duration) {
	if gateways >= m.gateways || now-m.at > kept {
		m.gateways, m.at = gateways, now
	}
}

// ColdStarts returns the behavior of cold workers by service.
func (c *Config) ColdStarts() map[string]ColdStart {
	out := map[string]ColdStart{}
	for name, s := range c.Services {
		if s.ColdPerSecond > 0 {
			out[name] = ColdStart{Duration: s.ColdStart, PerSecond: s.ColdPerSecond}
		}
	}
	return out
}
