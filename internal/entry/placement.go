package entry

import (
	"errors"
	"sort"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/platform"
)

const (
	// placementTick is how often the holder acts and demand is sampled.
	placementTick = time.Second
	// defaultDemandEvery is the shortest time between two reports of demand.
	defaultDemandEvery = 5 * time.Second
	// demandRate is the part of the holder's 5 KB/s of control traffic that the
	// reports of all entries may use, in bytes per second.
	demandRate = 2048
	// demandBytes and versionBytes are the size of a report without versions and of
	// one version in it.
	demandBytes  = 150
	versionBytes = 50
	// demandLife is the number of report intervals that a report counts for.
	demandLife = 3
)

// PlacementDemandReceived is the report of another entry.
type PlacementDemandReceived struct{ Demand api.PlacementDemand }

// PlacementAnswered answers a SendPlacement.
type PlacementAnswered struct {
	BackendServer string
	Fence         int
	Result        api.PlacementResult
}

// SendPlacement sends an order to a sidecar; it is answered by a PlacementAnswered.
type SendPlacement struct {
	Address  string
	Instance string
	Order    api.PlacementOrder
}

// ReportDemand sends this entry's demand to the entry that should hold the plan.
type ReportDemand struct {
	Address string
	Demand  api.PlacementDemand
}

func (PlacementDemandReceived) event() {}
func (PlacementAnswered) event()       {}
func (SendPlacement) effect()          {}
func (ReportDemand) effect()           {}

// placementState is this entry's part in the placement of versions.
type placementState struct {
	holder *placement.Holder
	// addresses are the peer addresses of the other entries.
	addresses map[string]string
	managed   bool
	next      time.Time
	// busy adds up the sampled demand of each version since the last report.
	busy       map[string]float64
	samples    int
	nextReport time.Time
}

func newPlacementState(cfg Config) placementState {
	return placementState{holder: placement.NewHolder(originOf(cfg.Self), cfg.Placement), busy: map[string]float64{}}
}

func originOf(m api.Member) string { return m.Instance + "." + strconv.Itoa(m.Incarnation) }

// applyPlacement takes the managed pools of a new manifest: those that state the
// number of their replicas.
func (c *Core) applyPlacement(now time.Time) {
	declared := placement.PoolsDeclared{Revision: c.snapshot.Revision}
	for _, p := range c.snapshot.Manifest.Pools {
		if p.Replicas == 0 {
			continue
		}
		pool := placement.Pool{Name: p.Name, Replicas: p.Replicas}
		for _, name := range p.Versions {
			if v, ok := c.snapshot.Version(name); ok && v.Phase != api.PhaseWithdrawn {
				pool.Versions = append(pool.Versions, placement.Version{Name: name, Min: v.MinReplicas, Used: true})
			}
		}
		declared.Pools = append(declared.Pools, pool)
	}
	c.placement.managed = len(declared.Pools) > 0
	c.placementEvent(now, declared)
}

// placementMembers tells the holder which backend servers there are.
func (c *Core) placementMembers(now time.Time, members []api.Member) {
	c.placement.addresses = map[string]string{}
	var servers []placement.Server
	for _, m := range members {
		if m.Role == string(api.RoleEntry) {
			c.placement.addresses[m.Instance] = m.Address
		}
		if m.Role != string(api.RoleSidecar) || m.Pool == "" || m.Incarnation == 0 || m.State == api.MemberStateDead {
			continue
		}
		servers = append(servers, placement.Server{
			Name: m.BackendServer, Pool: m.Pool, FailureDomain: m.FailureDomain, Instance: m.Instance,
			Incarnation: m.Incarnation, Address: m.Address, Versions: m.Versions,
			// A sidecar whose engine holds nothing is booting and takes orders.
			Orderable: m.State == api.MemberStateReady || m.State == api.MemberStateBooting,
			Serving:   m.State == api.MemberStateReady, Running: c.fleet.InFlight(m.BackendServer),
		})
	}
	c.placementEvent(now, placement.ServersSeen{Servers: servers})
}

// tickPlacement samples the demand and lets the holder act.
func (c *Core) tickPlacement(now time.Time) {
	p := &c.placement
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(placementTick)
	if p.managed {
		c.sampleDemand()
		c.reportDemand(now)
	}
	c.placementEvent(now, placement.Candidate{Rank: c.placementRank()})
	c.placementEvent(now, placement.Tick{})
}

// leavingRank is the rank of an entry that is no candidate.
const leavingRank = 1 << 20

// placementRank counts the entries with a higher hash for the plan.
func (c *Core) placementRank() int {
	if c.draining {
		return leavingRank
	}
	rank, own := 0, hashFor(placement.PlanKey, c.cfg.Self.Instance)
	for _, name := range c.rollouts.entries {
		if hashFor(placement.PlanKey, name) > own {
			rank++
		}
	}
	return rank
}

// sampleDemand adds the running attempts, each as a share of its server's slots.
func (c *Core) sampleDemand() {
	p := &c.placement
	p.samples++
	for _, r := range c.requests {
		for _, a := range r.attempts {
			if a.ended || a.sent.IsZero() || a.version == "" {
				continue
			}
			slots := c.servers[a.server].Slots
			if slots == 0 {
				slots = defaultServerSlots
			}
			p.busy[a.version] += 1 / float64(slots)
		}
	}
}

// defaultServerSlots stands for a server that states none.
const defaultServerSlots = 16

// reportDemand sends the mean demand since the last report. Its interval grows
// with the number of entries, so that the reports together keep demandRate.
func (c *Core) reportDemand(now time.Time) {
	p := &c.placement
	if now.Before(p.nextReport) {
		return
	}
	every := c.cfg.DemandEvery
	if every == 0 {
		every = defaultDemandEvery
	}
	size := (demandBytes + versionBytes*len(p.busy)) * len(c.rollouts.entries)
	every = max(every, time.Duration(size)*time.Second/demandRate)
	demand := api.PlacementDemand{Origin: originOf(c.cfg.Self), ValidMs: int((demandLife * every).Milliseconds())}
	for version, busy := range p.busy {
		demand.Versions = append(demand.Versions, api.VersionDemand{Version: version, Busy: busy / float64(p.samples)})
	}
	sort.Slice(demand.Versions, func(i, j int) bool { return demand.Versions[i].Version < demand.Versions[j].Version })
	p.nextReport, p.samples = now.Add(every), 0
	clear(p.busy)
	holder := c.holderOf(placement.PlanKey)
	if holder == c.cfg.Self.Instance {
		c.placementEvent(now, placement.DemandReported{Demand: demand})
	} else if address := p.addresses[holder]; address != "" {
		c.emit(ReportDemand{Address: address, Demand: demand})
	}
}

// placementReceived handles what came from other daemons.
func (c *Core) placementReceived(now time.Time, e Event) {
	switch e := e.(type) {
	case PlacementDemandReceived:
		c.placementEvent(now, placement.DemandReported{Demand: e.Demand})
	case PlacementAnswered:
		c.placementEvent(now, placement.OrderAnswered{Server: e.BackendServer, Fence: e.Fence, Result: e.Result})
	}
}

// placementEvent hands an event to the holder and passes its effects on.
func (c *Core) placementEvent(now time.Time, e placement.HolderEvent) {
	for _, effect := range c.placement.holder.Handle(now, e) {
		switch x := effect.(type) {
		case placement.ReadObject:
			c.emit(ReadObject{Key: x.Key})
		case placement.WriteObject:
			c.emit(WriteObject{Key: x.Key, Value: x.Value, IfVersion: x.IfVersion})
		case placement.SendOrder:
			c.emit(SendPlacement{Address: x.Address, Instance: x.Instance, Order: x.Order})
		}
	}
}

func (c *Core) placementRead(now time.Time, e StoreRead) {
	notFound := errors.Is(e.Err, platform.ErrNotFound)
	c.placementEvent(now, placement.ObjectRead{
		Key: e.Key, Version: e.Version, Value: e.Value, NotFound: notFound, Failed: e.Err != nil && !notFound,
	})
}

func (c *Core) placementWritten(now time.Time, e StoreWritten) {
	outcome := placement.Failed
	switch {
	case e.Err == nil:
		outcome = placement.Written
	case errors.Is(e.Err, platform.ErrConflict):
		outcome = placement.Conflict
	case errors.Is(e.Err, platform.ErrAmbiguous):
		outcome = placement.Ambiguous
	}
	c.placementEvent(now, placement.ObjectWritten{Key: e.Key, Version: e.Version, Outcome: outcome})
}
