package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/routing"
)

// holdTimeout bounds the wait for a sidecar of another failure domain. It is far
// above a round trip between failure domains and far below a caller's patience.
const holdTimeout = 200 * time.Millisecond

// chooseWitness picks the sidecar that holds usage records of this entry: always
// the same one while the members do not change, so that one link serves.
func (c *Core) chooseWitness(servers []routing.Server) {
	c.witness = ""
	best := uint64(0)
	for _, s := range servers {
		if s.FailureDomain == c.cfg.Self.FailureDomain {
			continue
		}
		if score := xxhash.Sum64String(c.cfg.Self.Instance + "\x00" + s.Instance); score > best {
			best = score
			c.witness = s.Address
		}
	}
}

// needsWitness reports whether every process that holds the usage records of a
// request stands in this entry's failure domain.
func (c *Core) needsWitness(r *request) bool {
	if c.witness == "" || len(r.attempts) == 0 {
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

// hold keeps back the end of the answer until the usage records are safe.
func (c *Core) hold(now time.Time, r *request, a Answer) {
	r.held = &a
	c.setTimer(timer{at: now.Add(holdTimeout), kind: timerHold, request: r.Request})
	c.emit(HoldUsage{Address: c.witness, Request: r.Request, Hold: api.UsageHold{Records: r.records}})
}

// answerHeld gives the answer that was kept back.
func (c *Core) answerHeld(now time.Time, request string) {
	r, ok := c.requests[request]
	if !ok || r.held == nil {
		return
	}
	a := *r.held
	r.held = nil
	c.answer(now, r, a)
	c.finish(now, r)
}
