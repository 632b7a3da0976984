package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/routing"
	"github.com/borageflow/borageflow/internal/session"
)

// sessionLife is how long a session handle is valid.
const sessionLife = 24 * time.Hour

// membersChanged rebuilds the list of backend servers. Only ready sidecars take
// new work; a booting, leaving, wedged or dead one is left out.
func (c *Core) membersChanged(now time.Time, members []api.Member) {
	servers := make([]routing.Server, 0, len(members))
	entries := []string{c.cfg.Self.Instance}
	c.servers = make(map[string]routing.Server, len(members))
	for _, m := range members {
		if m.Role == string(api.RoleEntry) && m.Instance != c.cfg.Self.Instance && m.State == api.MemberStateReady {
			entries = append(entries, m.Instance)
		}
		if m.Role != string(api.RoleSidecar) || m.State != api.MemberStateReady {
			continue
		}
		s := routing.Server{
			Name: m.BackendServer, Instance: m.Instance, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
			Region: m.Region, Versions: m.Versions, Service: m.Service, Slots: m.Slots, Address: m.Address,
		}
		servers = append(servers, s)
		c.servers[s.Name] = s
	}
	c.fleet.SetServers(now, servers)
	c.chooseWitness(servers)
	c.healthServers(now, members)
	c.customers.SetEntries(len(entries))
	c.rollouts.entries = entries
	c.handover.setMembers(members, c.cfg.Self.Instance)
	c.setClaimEntries(now, entries)
	c.applyWeights()
	c.placementMembers(now, members)
	c.giveUpSilent(now, members)
}

// peerLeaving stops new work to an instance before the member list says so.
func (c *Core) peerLeaving(now time.Time, e PeerLeaving) {
	for name, s := range c.servers {
		if s.Instance == e.Instance && s.Incarnation == e.Incarnation {
			c.fleet.Report(now, name, api.LoadReport{Leaving: true})
		}
	}
}

// probe refreshes the oldest load reports of the servers that this entry uses.
func (c *Core) probe(now time.Time) {
	for _, name := range c.fleet.StaleReports(now, probesPerInterval) {
		if s, ok := c.servers[name]; ok {
			c.emit(Probe{Address: s.Address, BackendServer: name, Instance: s.Instance, Incarnation: s.Incarnation})
		}
	}
}

func (c *Core) probeAnswered(now time.Time, e ProbeAnswered) {
	if e.Err != nil {
		c.counts.failedProbes++
		return
	}
	c.fleet.Report(now, e.BackendServer, e.Result.Load)
	c.cacheNews(now, e.BackendServer, e.Result.Member.Incarnation, e.Result.CacheNews)
}

func (c *Core) sessionKeysRead(value []byte) {
	keys, err := session.ParseKeys(value)
	if err != nil {
		c.counts.alarm("session keys are invalid: " + err.Error())
		return
	}
	c.keys = keys
}

// pinned returns the version of the caller's session.
func (c *Core) pinned(now time.Time, r *request) (string, *errkind.Error) {
	if r.Session == "" {
		return "", nil
	}
	if c.keys == nil {
		return "", errkind.New(errkind.NotReady, "session keys are not known yet").WithRetryAfter(notReadyRetry)
	}
	if r.Session == SessionNew {
		r.wantsSession = true
		return "", nil
	}
	handle, err := c.keys.Verify(now, r.Session, r.customer.Name)
	if err != nil {
		return "", err
	}
	r.token = r.Session
	return handle.Version, nil
}

// issueSession signs a handle for the version of the present stage. A later
// stage replaces it, so the handle names the version that answers.
func (c *Core) issueSession(now time.Time, r *request) *errkind.Error {
	if !r.wantsSession {
		return nil
	}
	version, ok := c.snapshot.Version(r.version)
	if !ok {
		return errkind.New(errkind.UnknownModel, "version "+r.version+" does not exist")
	}
	token, err := c.keys.Issue(now, session.Handle{
		Customer: r.customer.Name, Model: version.Model, Version: r.version,
	}, sessionLife)
	r.token = token
	return err
}
