package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/routing"
	"github.com/borageflow/borageflow/internal/session"
)

// sessionTTL is the validity of a session token.
const sessionTTL = 24 * time.Hour

// handleMembersChanged rebuilds everything that depends on the member list.
// Only backend servers of ready sidecars get new work, not those that are
// booting, leaving, wedged or dead.
func (c *Core) handleMembersChanged(now time.Time, members []api.Member) {
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
	c.chooseUsageReplica(servers)
	c.updateHealthServers(now, members)
	c.customerLimiter.SetEntryCount(len(entries))
	c.rollouts.entries = entries
	c.forwarding.setMembers(members, c.cfg.Self.Instance)
	c.applyEntries(now, entries)
	c.applyWeights()
	c.updatePlacementServers(now, members)
	c.abandonWedgedAttempts(now, members)
}

// handlePeerLeaving stops new work to an instance before the member list
// reports that it is leaving.
func (c *Core) handlePeerLeaving(now time.Time, e PeerLeaving) {
	for name, s := range c.servers {
		if s.Instance == e.Instance && s.Incarnation == e.Incarnation {
			c.fleet.RecordLoadReport(now, name, api.LoadReport{Leaving: true})
		}
	}
}

// sendProbes refreshes the oldest load reports of the servers that this entry
// uses.
func (c *Core) sendProbes(now time.Time) {
	for _, name := range c.fleet.ProbeTargets(now, maxProbesPerInterval) {
		if s, ok := c.servers[name]; ok {
			c.emit(Probe{Address: s.Address, BackendServer: name, Instance: s.Instance, Incarnation: s.Incarnation})
		}
	}
}

func (c *Core) handleProbeAnswered(now time.Time, e ProbeAnswered) {
	if e.Err != nil {
		c.counts.failedProbes++
		return
	}
	c.fleet.RecordLoadReport(now, e.BackendServer, e.Result.Load)
	c.applyCacheChanges(now, e.BackendServer, e.Result.Member.Incarnation, e.Result.CacheNews)
}

func (c *Core) handleSessionKeysRead(value []byte) {
	keys, err := session.ParseKeySet(value)
	if err != nil {
		c.counts.addAlarm("stored session keys are invalid and were not applied: " + err.Error())
		return
	}
	c.keys = keys
}

// pinnedVersion returns the version to which the session of the caller is
// pinned, or "" without a session or for a new one. It returns a
// session_invalid error for a token that fails verification and a not_ready
// error while there are no session keys.
func (c *Core) pinnedVersion(now time.Time, r *request) (string, *errkind.Error) {
	if r.Session == "" {
		return "", nil
	}
	if c.keys == nil {
		return "", errkind.New(errkind.NotReady, "session keys are not read from the store yet").WithRetryAfter(notReadyRetryAfter)
	}
	if r.Session == SessionNew {
		r.wantsSession = true
		return "", nil
	}
	handle, err := c.keys.Verify(now, r.Session, r.customer.Name)
	if err != nil {
		return "", err
	}
	r.sessionToken = r.Session
	return handle.Version, nil
}

// issueSession signs a session token for the version of the current stage, if
// the caller asked for a session. Each later stage replaces the token, so that
// it names the version that answers.
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
	}, sessionTTL)
	r.sessionToken = token
	return err
}
