package forward

import "time"

// notice is what a worker asked of the gateways in its answers. It belongs to one incarnation of
// the worker and outlives its entry in the store, which may disappear and come back.
type notice struct {
	startUnixMs int64
	// leaving is set once the worker has said that it leaves; an incarnation never takes it back.
	leaving bool
	// pauseUntil is the end of the time for which the worker wants no requests of this gateway.
	pauseUntil Elapsed
	limit      *rateLimit
	// coldUntil is the end of the worker's cold time by its entry, and assumedColdUntil that of the time
	// in which it may be cold whatever its entry says. cold is its limit meanwhile.
	coldUntil, assumedColdUntil Elapsed
	cold                        *rateLimit
	// limitNamedAt is the start of the latest request whose answer named the limit.
	limitNamedAt Elapsed
	// recordedAt is the time of the last answer that asked for something.
	recordedAt Elapsed
}

const (
	// noticeTTL is how long a notice of a worker without an entry is kept.
	noticeTTL = 10 * time.Minute
	// maxNotices bounds the workers whose notices are kept, and the workers out of use whose incarnation is known.
	maxNotices = 8192
)

// noticeFor returns the notice of a worker, a new one if there is none, or nil if the worker is
// not known or too many are.
func (p *Placer) noticeFor(now Elapsed, id string) *notice {
	s := p.workers[id]
	if s == nil || s.notice != nil {
		return p.notices[id]
	}
	s.notice = p.addNotice(now, id, s.StartUnixMs)
	return s.notice
}

// formerNoticeFor is noticeFor for a worker that is no longer in use: what it says in the answers that it still ends
// binds beyond its entry, which an older copy of the store may hold.
func (p *Placer) formerNoticeFor(now Elapsed, id string) *notice {
	startUnixMs, ok := p.former.Get(id)
	if n := p.notices[id]; n != nil || !ok || p.workers[id] != nil {
		return n
	}
	return p.addNotice(now, id, startUnixMs)
}

// addNotice adds the notice of an incarnation of a worker. It returns nil if too many are kept.
func (p *Placer) addNotice(now Elapsed, id string, startUnixMs int64) *notice {
	if len(p.notices) >= maxNotices {
		for other, n := range p.notices {
			if p.workers[other] == nil && now-n.recordedAt > noticeTTL {
				delete(p.notices, other)
			}
		}
		if len(p.notices) >= maxNotices {
			return nil
		}
	}
	n := &notice{startUnixMs: startUnixMs}
	p.notices[id] = n
	return n
}

// rememberFormer remembers the incarnations of the workers that are in use and not in next.
func (p *Placer) rememberFormer(next map[string]*workerState) {
	for id, s := range p.workers {
		if next[id] == nil {
			p.former.Add(id, s.StartUnixMs)
		}
	}
}

// attachNotice gives a worker the notice of its incarnation, if there is one.
func (p *Placer) attachNotice(s *workerState) {
	n := p.notices[s.ID]
	if n != nil && n.startUnixMs != s.StartUnixMs {
		delete(p.notices, s.ID)
		n = nil
	}
	s.notice = n
}

// RecordRateLimit records the limit that the answer of a worker named, if any, to a request that
// was sent at startedAt. An answer without a limit ends the one that was named for an earlier
// request. draw is a random number in [0, 1). It reports whether the limit changed.
func (p *Placer) RecordRateLimit(now, startedAt Elapsed, id string, perSecond float64, named bool, draw float64) bool {
	s := p.workers[id]
	if s == nil || !named && (s.notice == nil || s.notice.limit == nil || startedAt <= s.notice.limitNamedAt) {
		return false
	}
	n := p.noticeFor(now, id)
	switch {
	case n == nil:
		return false
	case !named:
		n.limit = nil
		return true
	}
	n.limitNamedAt, n.recordedAt = max(n.limitNamedAt, startedAt), now
	if n.limit == nil {
		n.limit = newRateLimit(now, perSecond, draw)
		return true
	}
	n.limit.advance(now, p.limitShare(now, s.Service))
	perSecond = max(perSecond, minLimit)
	changed := n.limit.perSecond != perSecond
	n.limit.perSecond = perSecond
	return changed
}

// RecordLeaving records that the answer of a worker said that it leaves, also if its entry was removed before.
// It reports whether that is new.
func (p *Placer) RecordLeaving(now Elapsed, id string) bool {
	n := p.noticeFor(now, id)
	if n == nil {
		n = p.formerNoticeFor(now, id)
	}
	if n == nil || n.leaving {
		return false
	}
	n.leaving, n.recordedAt = true, now
	return true
}

// IsLeaving reports whether a worker has said that it leaves.
func (p *Placer) IsLeaving(id string) bool {
	n := p.notices[id]
	return n != nil && n.leaving
}

// RecordPause records that a worker turned a request away and wants no others for a time. It
// replaces the time of an earlier answer. It reports whether the worker did not pause before.
func (p *Placer) RecordPause(now Elapsed, id string, pause time.Duration) bool {
	n := p.noticeFor(now, id)
	if n == nil {
		return false
	}
	paused := now < n.pauseUntil
	n.pauseUntil, n.recordedAt = now+pause, now
	return !paused && pause > 0
}

// wait returns the time until the worker may get a request that it may not get now, or false if it
// gets none any more.
func (n *notice) wait(now Elapsed, q *WorkerQuery) (time.Duration, bool) {
	wait := max(n.pauseUntil-now, 0)
	if n.leaving {
		return wait, false
	}
	if n.limit != nil {
		permit, ok := n.limit.nextPermit(now, q.limitShare)
		if !ok {
			return 0, false
		}
		wait = max(wait, permit)
	}
	if cold := n.coldLimit(now); cold != nil {
		permit, ok := cold.nextPermit(now, q.coldShare)
		end := max(n.coldUntil, n.assumedColdUntil) - now
		if !ok || permit > end {
			permit = end
		}
		wait = max(wait, permit)
	}
	return wait, true
}

// mayGet reports whether a worker may get a request now: its failure domain is not evacuated, and what
// the worker asked for and its cold time leave room. Every attempt passes here.
func (s *workerState) mayGet(now Elapsed, q *WorkerQuery) bool {
	return s.withheld(now, q) == NotExcluded
}

// withheld returns the rule by which a worker gets no request now.
func (s *workerState) withheld(now Elapsed, q *WorkerQuery) Exclusion {
	if s.evacuated {
		return ExcludedEvacuated
	}
	n := s.notice
	if n == nil {
		return NotExcluded
	}
	switch {
	case n.leaving:
		return ExcludedLeaving
	case now < n.pauseUntil:
		return ExcludedPausing
	case n.limit != nil && !n.limit.allows(now, q.limitShare):
		return ExcludedLimited
	}
	if cold := n.coldLimit(now); cold != nil && !cold.allows(now, q.coldShare) {
		return ExcludedCold
	}
	return NotExcluded
}

// recordSent records that a worker gets a request.
func (p *Placer) recordSent(now Elapsed, s *workerState) {
	n := s.notice
	if n == nil {
		return
	}
	if n.limit != nil {
		n.limit.take(now, p.limitShare(now, s.Service))
	}
	if cold := n.coldLimit(now); cold != nil {
		cold.take(now, p.coldShare(now, s.Service))
	}
}

// NextTurn returns the time until a worker may get a request that none may get now, and whether
// this is so only because of what the workers asked for or because they are cold.
func (p *Placer) NextTurn(now Elapsed, q WorkerQuery) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	q.limitShare, q.coldShare = p.limitShare(now, q.Service), p.coldShare(now, q.Service)
	for _, s := range p.services[q.Service] {
		switch {
		case !s.matches(&q) || s.evacuated:
			continue
		case s.mayGet(now, &q):
			return 0, false
		case q.IgnoreCold && s.withheld(now, &q) == ExcludedCold:
			continue
		}
		if wait, ok := s.notice.wait(now, &q); ok && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// NoticeCounts is the number of workers by what limits their requests.
type NoticeCounts struct{ Limited, Pausing, Leaving, Cold, Evacuated int }

// NoticeCounts counts the workers whose requests are limited. A worker that asked for something counts
// by that alone.
func (p *Placer) NoticeCounts(now Elapsed) NoticeCounts {
	var c NoticeCounts
	for _, s := range p.workers {
		switch {
		case s.evacuated:
			c.Evacuated++
		case s.notice == nil:
		case s.notice.leaving:
			c.Leaving++
		case now < s.notice.pauseUntil:
			c.Pausing++
		case s.notice.limit != nil:
			c.Limited++
		case s.notice.isCold(now):
			c.Cold++
		}
	}
	return c
}
