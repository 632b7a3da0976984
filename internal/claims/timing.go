package claims

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// refusalTime returns when a claim that is still undecided is refused: after
// ClaimTimeout while the store is known to fail, and at refuseAt otherwise.
func (s *shard) refusalTime(p *pendingClaim) time.Time {
	if s.consecutiveFailures == 0 {
		return p.refuseAt
	}
	return earlierNonZero(p.refuseAt, p.arrivedAt.Add(s.opts.ClaimTimeout))
}

// refuseTimedOut refuses the claims whose time to be decided has passed. If a
// write of the claim may yet take effect, a fencing release is queued. If its
// record is found in the log later, applyRecords releases it.
func (s *shard) refuseTimedOut(now time.Time) []Effect {
	var out []Effect
	remaining := s.claims[:0]
	for _, p := range s.claims {
		if !now.Before(s.refusalTime(p)) {
			out = append(out, s.unavailable(p.claim))
			if p.writeAmbiguous {
				s.addUpdate(now, api.ClaimRecord{Key: p.claim.Key.HashHex(), Request: p.claim.Request, State: api.ClaimStateReleased}, true)
			}
			continue
		}
		remaining = append(remaining, p)
	}
	clear(s.claims[len(remaining):])
	s.claims = remaining
	return out
}

// scheduleRetry delays the next store call after a failure by BackoffBase, which
// doubles with each consecutive failure up to 16 times.
func (s *shard) scheduleRetry(now time.Time) {
	s.retryAt = now.Add(s.opts.BackoffBase << min(s.consecutiveFailures, 4))
	s.consecutiveFailures++
}

// nextWriteAt returns when the batch delay of the oldest pending claim or update has
// passed and MinWriteInterval allows the next write.
func (s *shard) nextWriteAt() time.Time {
	var due time.Time
	for _, p := range s.claims {
		due = earlierNonZero(due, later(p.arrivedAt.Add(s.opts.ClaimBatchDelay), p.pollAt))
	}
	if len(s.updates) > 0 {
		due = earlierNonZero(due, s.updates[0].arrivedAt.Add(s.opts.UpdateBatchDelay))
	}
	return later(due, s.lastWriteAt.Add(s.opts.MinWriteInterval))
}

// nextTick returns when the shard needs its next step, or the zero time if it needs
// none. After step has run it is never in the past, so a timer cannot fire in a
// busy loop.
func (s *shard) nextTick() time.Time {
	if len(s.claims)+len(s.updates) == 0 {
		return time.Time{}
	}
	var next time.Time
	for _, p := range s.claims {
		next = earlierNonZero(next, s.refusalTime(p))
	}
	switch {
	case s.phase == phaseReady && s.writeInFlight == nil && s.headReadSequence == 0:
		next = earlierNonZero(next, later(s.nextWriteAt(), s.retryAt))
	case s.phase == phaseUnloaded, s.phase == phaseLoading && len(s.loader.readsInFlight) == 0:
		next = earlierNonZero(next, s.retryAt)
	}
	return next
}
