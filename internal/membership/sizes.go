package membership

import "github.com/borageflow/borageflow/api"

// The sizes are upper estimates of JSON, in bytes: field names and punctuation
// of all fields, numbers at their usual width, and the strings.
const (
	memberFixed  = 205
	cutBackFixed = 105
	demandFixed  = 95
	watcherFixed = 32
)

func memberBytes(m *api.Member) int {
	n := memberFixed + len(m.Instance) + len(m.Role) + len(m.FailureDomain) + len(m.Region) +
		len(m.Address) + len(m.BackendServer) + len(m.Service) + len(m.Pool) + len(m.State)
	for _, v := range m.Versions {
		n += len(v) + len(`"",`)
	}
	return n
}

func cutBackBytes(c *api.CutBack) int {
	return cutBackFixed + len(c.Version) + len(c.Reason) + len(c.Origin)
}

func watcherBytes(ages []api.WatcherAge) int {
	n := 0
	for _, w := range ages {
		n += watcherFixed + len(w.Instance)
	}
	return n
}

func (x *Exchange) memberSize(name string) (int, bool) {
	m, ok := x.memberRecord(name)
	return memberBytes(&m), ok
}

func (x *Exchange) cutBackSize(version string) (int, bool) {
	c, ok := x.gossip.cutBacks[version]
	return cutBackBytes(&c), ok
}

func (x *Exchange) demandSize(key demandKey) (int, bool) {
	held, ok := x.gossip.demandsOf[key]
	return demandFixed + len(held.demand.Customer) + len(held.demand.Origin), ok
}
