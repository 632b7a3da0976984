package membership

import "github.com/borageflow/borageflow/api"

// The functions of this file return upper estimates of JSON sizes, in bytes. The
// constants cover the field names and punctuation of all fields and the numbers at
// their usual width; the lengths of the strings are added.
const (
	memberFixedBytes  = 205
	cutBackFixedBytes = 105
	demandFixedBytes  = 95
	watcherFixedBytes = 32
)

func memberBytes(m *api.Member) int {
	n := memberFixedBytes + len(m.Instance) + len(m.Role) + len(m.FailureDomain) + len(m.Region) +
		len(m.Address) + len(m.BackendServer) + len(m.Service) + len(m.Pool) + len(m.State)
	for _, v := range m.Versions {
		n += len(v) + len(`"",`)
	}
	return n
}

func cutBackBytes(c *api.CutBack) int {
	return cutBackFixedBytes + len(c.Version) + len(c.Reason) + len(c.Origin)
}

func watcherBytes(ages []api.WatcherAge) int {
	n := 0
	for _, w := range ages {
		n += watcherFixedBytes + len(w.Instance)
	}
	return n
}

// memberSizeByName returns the estimated size of a member's record. It returns
// false if there is no record to relay.
func (x *Exchange) memberSizeByName(name string) (int, bool) {
	m, ok := x.memberRecord(name)
	return memberBytes(&m), ok
}

// cutBackSizeByVersion returns the estimated size of a version's cut-back. It
// returns false if there is none.
func (x *Exchange) cutBackSizeByVersion(version string) (int, bool) {
	c, ok := x.gossip.cutBacks[version]
	return cutBackBytes(&c), ok
}

// demandSizeByKey returns the estimated size of a demand measurement. It returns
// false if it has expired.
func (x *Exchange) demandSizeByKey(key demandKey) (int, bool) {
	stored, ok := x.gossip.demands[key]
	return demandFixedBytes + len(stored.demand.Customer) + len(stored.demand.Origin), ok
}
