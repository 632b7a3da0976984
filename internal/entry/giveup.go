package entry

import (
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// giveUpSilent ends the idempotent attempts on sidecars that stopped answering, so
// that another backend server takes them before their deadline. A non-idempotent
// call keeps waiting: it may not run again, and its answer may still come.
func (c *Core) giveUpSilent(now time.Time, members []api.Member) {
	silent := map[string]int{}
	for _, m := range members {
		if m.Role == string(api.RoleSidecar) && m.State == api.MemberStateWedged {
			silent[m.BackendServer] = m.Incarnation
		}
	}
	if len(silent) == 0 {
		return
	}
	var affected []string
	for id, r := range c.requests {
		if r.claim == nil && r.machine != nil && len(c.silentAttempts(r, silent)) > 0 {
			affected = append(affected, id)
		}
	}
	// The order of effects must not depend on the order of the map.
	slices.Sort(affected)
	for _, id := range affected {
		r := c.requests[id]
		for _, a := range c.silentAttempts(r, silent) {
			a.givenUp = true
			c.cancelAttempt(r, a.number)
			c.endAttempt(now, r, a, retry.AttemptEnded{
				Kind: errkind.UpstreamFailed, RunState: api.RunStateUnknown, CanResume: true,
			})
		}
	}
}

// silentAttempts returns the running attempts of the present stage on silent
// sidecars, by number.
func (c *Core) silentAttempts(r *request, silent map[string]int) []*attempt {
	var out []*attempt
	for _, a := range r.attempts {
		incarnation, ok := silent[a.server]
		if ok && !a.ended && !a.givenUp && a.stage == r.stage && a.work.Incarnation == incarnation {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return a.number - b.number })
	return out
}
