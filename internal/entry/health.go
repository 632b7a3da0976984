package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/routing"
)

// updateHealthServers passes the backend servers to passive ejection. Servers
// that are known but not ready keep their record, so that their failure count
// survives a restart.
func (c *Core) updateHealthServers(now time.Time, members []api.Member) {
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
		c.handleHealthEvent(now, membership.ServerChanged{Server: m.BackendServer, Incarnation: m.Incarnation, Versions: served})
		c.handleHealthEvent(now, membership.SignalsReceived{Server: m.BackendServer, Signals: membership.Signals{Ready: ready, Alive: ready}})
	}
	for name := range c.knownServers {
		if !known[name] {
			c.handleHealthEvent(now, membership.ServerRemoved{Server: name})
		}
	}
	c.knownServers = known
}

// handleHealthEvent applies the decisions of passive ejection to load
// balancing.
func (c *Core) handleHealthEvent(now time.Time, e membership.HealthEvent) {
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

// applyWeights sets the weight of every server after a change of the server list,
// because routing gives a new server the weight 1.
func (c *Core) applyWeights() {
	for name := range c.servers {
		c.fleet.SetWeight(name, c.health.Share(name))
	}
}

// observeServer reports the outcome of an attempt to passive ejection. Errors
// that are not the fault of the server are left out.
func (c *Core) observeServer(now time.Time, a *attempt, group string, kind errkind.Kind, notSent bool, o routing.Outcome) {
	outcome := membership.AttemptEnded{Server: a.server, Version: group, Outcome: membership.Succeeded}
	switch {
	case notSent:
		outcome.Outcome = membership.Unreachable
	case isServerFault(kind):
		outcome.Outcome = membership.Failed
	case kind != "":
		return
	}
	outcome.Latency = time.Duration(o.FirstTokenMs * float64(time.Millisecond))
	if outcome.Latency == 0 {
		outcome.Latency = now.Sub(a.sentAt)
	}
	c.handleHealthEvent(now, outcome)
}
