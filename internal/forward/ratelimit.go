package forward

import (
	"math"
	"time"
)

const (
	// limitUse is the part of a worker's limit that the gateways use together. The rest covers
	// shares that change while the gateways learn of each other's requests.
	limitUse = 0.9
	// permitLife is how long a gateway may hold an unused permit. If every gateway of a large
	// fleet kept one, a burst would use all of them at once.
	permitLife = 2 * time.Second
	// minLimit is the least number of requests a second that a worker gets from all gateways
	// together, so that they notice the end of its limit. It is a fifth of what a worker may
	// get beyond any limit, 5 requests in 4 s.
	minLimit = 0.25
	// minShareOfEqual is the least share of a gateway, relative to an equal one. It lets a
	// gateway start to send that had no requests so far.
	minShareOfEqual = 0.25
)

// rateLimit spends this gateway's share of a limit that a worker named for the requests of all
// gateways together. It is a token bucket; where less than one permit comes within permitLife, a permit
// that is not used in that time expires.
type rateLimit struct {
	perSecond float64
	// use is the part of perSecond that the gateways use together, and permitLife how long an unused
	// permit is held.
	use        float64
	permitLife time.Duration
	permits    float64
	// at is the time up to which permits is computed; fullAt is when the last permit came that
	// has not expired yet, if permits is 1.
	at, fullAt Elapsed
}

// newRateLimit returns a limit named at a time. draw is a random number in [0, 1) that spreads the
// first permits of the gateways.
func newRateLimit(now Elapsed, perSecond, draw float64) *rateLimit {
	return &rateLimit{perSecond: max(perSecond, minLimit), use: limitUse, permitLife: permitLife, permits: draw, at: now, fullAt: now}
}

// advance adds the permits since the last call. share is this gateway's share of the limit.
func (l *rateLimit) advance(now Elapsed, share float64) {
	rate := l.use * l.perSecond * share
	elapsed := now - l.at
	if rate <= 0 || elapsed <= 0 {
		l.at = max(l.at, now)
		return
	}
	l.at = now
	most := rate * l.permitLife.Seconds()
	if most >= 1 {
		l.permits = math.Min(l.permits+rate*elapsed.Seconds(), most)
		return
	}
	if l.permits < 1 {
		missing := time.Duration((1 - l.permits) / rate * float64(time.Second))
		if elapsed < missing {
			l.permits += rate * elapsed.Seconds()
			return
		}
		l.permits, l.fullAt = 1, now-elapsed+missing
	}
	l.permits = 1
	period := time.Duration(float64(time.Second)/rate) + l.permitLife
	since := (now - l.fullAt) % period
	l.fullAt = now - since
	if since > l.permitLife {
		l.permits = rate * (since - l.permitLife).Seconds()
	}
}

// allows reports whether a request may be sent now.
func (l *rateLimit) allows(now Elapsed, share float64) bool {
	l.advance(now, share)
	return l.permits >= 1
}

// take uses a permit.
func (l *rateLimit) take(now Elapsed, share float64) {
	l.advance(now, share)
	l.permits = math.Max(l.permits-1, 0)
}

// nextPermit returns the time until a request may be sent, or false if none may at all.
func (l *rateLimit) nextPermit(now Elapsed, share float64) (time.Duration, bool) {
	l.advance(now, share)
	rate := l.use * l.perSecond * share
	switch {
	case l.permits >= 1:
		return 0, true
	case rate <= 0:
		return 0, false
	}
	return time.Duration(math.Min((1-l.permits)/rate, maxPermitWait.Seconds()) * float64(time.Second)), true
}

// maxPermitWait bounds the stated time until a permit.
const maxPermitWait = time.Hour

// demand is the rate of this gateway's requests for the workers of a service, and its share in those
// of all gateways.
type demand struct {
	own   float64
	ownAt Elapsed
	// share is this gateway's share of the limits of the service's workers as of shareAt; 0
	// before the first exchange.
	share   float64
	shareAt Elapsed
	// peers is the requests a second of the other gateways together as of the last exchange.
	peers float64
}

// demandTime is the time over which the rate of requests is averaged.
const demandTime = 2 * time.Second

func (d *demand) add(now Elapsed) {
	d.own = d.rate(now) + 1/demandTime.Seconds()
	d.ownAt = now
}

// rate returns this gateway's requests a second.
func (d *demand) rate(now Elapsed) float64 {
	return d.own * math.Exp(-float64(now-d.ownAt)/float64(demandTime))
}

// limitShare returns this gateway's share of the limits of a service's workers. While it does not
// know the others, it takes at most an equal share.
func (p *Placer) limitShare(now Elapsed, service string) float64 {
	equal := 1 / float64(max(p.gateways, p.opts.MinGateways, 1))
	d := p.demands[service]
	switch {
	case equal == 1:
		return 1
	case d == nil || d.share == 0:
		return equal
	case now-p.gatewaysAt > p.opts.PeerLoadTTL:
		return math.Min(d.share, equal)
	}
	return d.share
}

// updateShare moves the share towards that of this gateway's requests in those of all gateways.
// It falls at once and rises slowly: when requests begin everywhere at the same time, each gateway
// knows its own before those of the others.
func (d *demand) updateShare(now Elapsed, gateways int, peers float64) {
	equal := 1 / float64(max(gateways, 1))
	target := equal
	if own := d.rate(now); own+peers > 0 {
		target = math.Max(own/(own+peers), minShareOfEqual*equal)
	}
	if d.share == 0 {
		d.share = equal
	}
	rise := math.Min(float64(now-d.shareAt)/float64(shareRiseTime), 1)
	d.peers = peers
	d.share = math.Min(target, d.share+rise*math.Max(target-d.share, 0))
	d.shareAt = now
}

// shareRiseTime is the time in which a share rises to that of the demand.
const shareRiseTime = 3 * time.Second

func (p *Placer) demandFor(service string) *demand {
	d := p.demands[service]
	if d == nil {
		d = &demand{}
		p.demands[service] = d
	}
	return d
}

// RecordRefused counts a request that no worker gets in this gateway's requests for a service. Without
// it, a gateway that refuses many would lose its share of the room.
func (p *Placer) RecordRefused(now Elapsed, service string) { p.demandFor(service).add(now) }

// OwnDemand calls report for each service with this gateway's requests a second.
func (p *Placer) OwnDemand(now Elapsed, report func(service string, perSecond float64)) {
	for service, d := range p.demands {
		if rate := d.rate(now); rate > 0 {
			report(service, rate)
		}
	}
}

// SetPeerDemand sets the number of all gateways, this one included, and the requests a second of
// the others together by service.
func (p *Placer) SetPeerDemand(now Elapsed, gateways int, perSecond func(service string) float64) {
	if p.gateways == 0 {
		p.firstExchangeAt = now
	}
	p.gateways, p.gatewaysAt = gateways, now
	p.mostGateways.update(now, gateways, mostGatewaysTime)
	p.mostForRetries.update(now, gateways, retryGatewaysTime)
	for service := range p.services {
		p.demandFor(service).updateShare(now, gateways, perSecond(service))
	}
}
