package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/routing"
)

// healthServers tells passive ejection which servers there are. A server that is
// known and not ready keeps its record, so that its strikes outlive a restart.
func (c *Core) healthServers(now time.Time, members []api.Member) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Role != string(api.RoleSidecar) || m.BackendServer == "" {
			continue
		}
		known[m.BackendServer] = true
		served := m.Versions
		if m.Service != "" {
			served = []string{m.Service}
		}
		ready := m.State == api.MemberStateReady
		c.healthEvent(now, membership.ServerChanged{Server: m.BackendServer, Incarnation: m.Incarnation, Versions: served})
		c.healthEvent(now, membership.SignalsSeen{Server: m.BackendServer, Signals: membership.Signals{Ready: ready, Alive: ready}})
	}
	for name := range c.known {
		if !known[name] {
			c.healthEvent(now, membership.ServerRemoved{Server: name})
		}
	}
	c.known = known
}

// healthEvent carries the verdicts of passive ejection into load balancing.
func (c *Core) healthEvent(now time.Time, e membership.HealthEvent) {
	for _, effect := range c.health.Handle(now, e) {
		changed, ok := effect.(membership.ShareChanged)
		if !ok {
			continue
		}
		c.fleet.SetWeight(changed.Server, changed.Share)
		if changed.Share == 0 {
			c.counts.ejections++
		}
	}
}

// applyWeights sets the weight of every server, which a new list has reset.
func (c *Core) applyWeights() {
	for name := range c.servers {
		c.fleet.SetWeight(name, c.health.Share(name))
	}
}

// observeServer feeds the outcome of an attempt to passive ejection.
func (c *Core) observeServer(now time.Time, a *attempt, group string, kind errkind.Kind, notSent bool, o routing.Outcome) {
	outcome := membership.AttemptEnded{Server: a.server, Version: group, Failure: membership.Succeeded}
	switch {
	case notSent:
		outcome.Failure = membership.Unreachable
	case serverFault(kind):
		outcome.Failure = membership.Failed
	case kind != "":
		return
	}
	outcome.Latency = time.Duration(o.FirstTokenMs * float64(time.Millisecond))
	if outcome.Latency == 0 {
		outcome.Latency = now.Sub(a.sent)
	}
	c.healthEvent(now, outcome)
}
