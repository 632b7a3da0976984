package entry

import (
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// abandonWedgedAttempts ends the idempotent attempts on sidecars that stopped
// answering, so that the retry state machine can use another backend server
// before the deadline. Non-idempotent calls keep waiting, because they must not
// run again and their answer may still arrive.
func (c *Core) abandonWedgedAttempts(now time.Time, members []api.Member) {
	wedged := map[string]int{}
	for _, m := range members {
		if m.Role == string(api.RoleSidecar) && m.State == api.MemberStateWedged {
			wedged[m.BackendServer] = m.Incarnation
		}
	}
	if len(wedged) == 0 {
		return
	}
	var affected []string
	for id, r := range c.requests {
		if r.claim == nil && r.retryMachine != nil && len(c.wedgedAttempts(r, wedged)) > 0 {
			affected = append(affected, id)
		}
	}
	// Effects must not depend on the iteration order of the map.
	slices.Sort(affected)
	for _, id := range affected {
		r := c.requests[id]
		for _, a := range c.wedgedAttempts(r, wedged) {
			a.abandoned = true
			c.cancelAttempt(r, a.number)
			c.endAttempt(now, r, a, retry.AttemptEnded{
				Kind: errkind.UpstreamFailed, RunState: api.RunStateUnknown, CanResume: true,
			})
		}
	}
}

// wedgedAttempts returns the running attempts of the current stage on wedged
// sidecars, ordered by number. wedged maps backend servers to the incarnations
// of their sidecars.
func (c *Core) wedgedAttempts(r *request, wedged map[string]int) []*attempt {
	var out []*attempt
	for _, a := range r.attempts {
		incarnation, ok := wedged[a.server]
		if ok && !a.ended && !a.abandoned && a.stage == r.stage && a.routingAttempt.Incarnation == incarnation {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return a.number - b.number })
	return out
}
