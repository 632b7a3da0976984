package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/routing"
)

// usageReplicaTimeout bounds the wait for the sidecar of another failure
// domain. It is well above a round trip between failure domains and short
// enough for a waiting caller.
const usageReplicaTimeout = 200 * time.Millisecond

// chooseUsageReplica selects the sidecar in another failure domain that keeps
// copies of this entry's usage records. Rendezvous hashing selects the same one
// while the members do not change, so that one connection is enough.
func (c *Core) chooseUsageReplica(servers []routing.Server) {
	c.usageReplica = ""
	bestScore := uint64(0)
	for _, s := range servers {
		if s.FailureDomain == c.cfg.Self.FailureDomain {
			continue
		}
		if score := xxhash.Sum64String(c.cfg.Self.Instance + "\x00" + s.Instance); score > bestScore {
			bestScore = score
			c.usageReplica = s.Address
		}
	}
}

// needsUsageReplica reports whether all processes that hold the usage records
// of a request are in the failure domain of this entry, so that its loss would
// lose the records.
func (c *Core) needsUsageReplica(r *request) bool {
	if c.usageReplica == "" || len(r.attempts) == 0 {
		return false
	}
	for _, a := range r.attempts {
		s, ok := c.servers[a.server]
		if ok && a.result != nil && a.result.RunState == api.RunStateRan && s.FailureDomain != c.cfg.Self.FailureDomain {
			return false
		}
	}
	return true
}

// deferAnswer delays the end of an answer until the usage replica has a copy of
// the usage records or usageReplicaTimeout has passed.
func (c *Core) deferAnswer(now time.Time, r *request, a Answer) {
	r.deferredAnswer = &a
	c.setTimer(timer{fireAt: now.Add(usageReplicaTimeout), kind: timerUsageReplica, request: r.Request})
	c.emit(ReplicateUsage{Address: c.usageReplica, Request: r.Request, Params: api.UsageHold{Records: r.usageRecords}})
}

// sendDeferredAnswer sends a delayed answer and ends its request.
func (c *Core) sendDeferredAnswer(now time.Time, request string) {
	r, ok := c.requests[request]
	if !ok || r.deferredAnswer == nil {
		return
	}
	a := *r.deferredAnswer
	r.deferredAnswer = nil
	c.sendAnswer(now, r, a)
	c.finishRequest(now, r)
}
