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
	// placementInterval is the time between two demand samples and between two
	// ticks of the plan holder.
	placementInterval = time.Second
	// defaultDemandInterval is the shortest time between two demand reports.
	defaultDemandInterval = 5 * time.Second
	// maxDemandBytesPerSecond bounds the demand reports of all entries
	// together. The plan holder may use 5 KB/s for all control traffic.
	maxDemandBytesPerSecond = 2048
	// emptyDemandBytes and demandBytesPerVersion estimate the size of a demand
	// report.
	emptyDemandBytes      = 150
	demandBytesPerVersion = 50
	// demandValidIntervals is the number of report intervals for which a report
	// is valid.
	demandValidIntervals = 3
)

// PlacementDemandReceived carries the demand report of another entry.
type PlacementDemandReceived struct{ Demand api.PlacementDemand }

// PlacementOrderAnswered carries the answer to a SendPlacementOrder.
type PlacementOrderAnswered struct {
	BackendServer string
	Fence         int
	Result        api.PlacementResult
}

// SendPlacementOrder sends a placement order to a sidecar. It is answered by a
// PlacementOrderAnswered.
type SendPlacementOrder struct {
	Address  string
	Instance string
	Order    api.PlacementOrder
}

// ReportDemand sends the demand of this entry to the entry that is expected to
// hold the placement plan.
type ReportDemand struct {
	Address string
	Demand  api.PlacementDemand
}

func (PlacementDemandReceived) event() {}
func (PlacementOrderAnswered) event()  {}
func (SendPlacementOrder) effect()     {}
func (ReportDemand) effect()           {}

// placementState holds this entry's plan holder, which is active in one entry
// at a time, and its demand samples.
type placementState struct {
	holder *placement.Holder
	// addresses are the peer addresses of all entries, by instance.
	addresses map[string]string
	// hasManagedPools states that the manifest has a pool with a number of
	// replicas.
	hasManagedPools bool
	nextTick        time.Time
	// demandSums adds up the sampled demand of each version, in backend
	// servers, since the last report; samples is the number of samples.
	demandSums map[string]float64
	samples    int
	nextReport time.Time
}

func newPlacementState(cfg Config) placementState {
	return placementState{holder: placement.NewHolder(processOrigin(cfg.Self), cfg.Placement), demandSums: map[string]float64{}}
}

// processOrigin identifies one run of a process: the instance and its
// incarnation.
func processOrigin(m api.Member) string { return m.Instance + "." + strconv.Itoa(m.Incarnation) }

// applyPlacement passes the managed pools of a new manifest to the plan holder.
// A pool is managed if it has a number of replicas.
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
	c.placement.hasManagedPools = len(declared.Pools) > 0
	c.handlePlacementEvent(now, declared)
}

// updatePlacementServers passes the backend servers of all pools to the plan
// holder.
func (c *Core) updatePlacementServers(now time.Time, members []api.Member) {
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
			// A sidecar whose engine has no version loaded is booting and accepts orders.
			AcceptsOrders: m.State == api.MemberStateReady || m.State == api.MemberStateBooting,
			Serving:       m.State == api.MemberStateReady, Running: c.fleet.InFlight(m.BackendServer),
		})
	}
	c.handlePlacementEvent(now, placement.ServersUpdated{Servers: servers})
}

// tickPlacement samples demand and ticks the plan holder.
func (c *Core) tickPlacement(now time.Time) {
	p := &c.placement
	if now.Before(p.nextTick) {
		return
	}
	p.nextTick = now.Add(placementInterval)
	if p.hasManagedPools {
		c.sampleDemand()
		c.reportDemand(now)
	}
	c.handlePlacementEvent(now, placement.RankUpdated{Rank: c.placementRank()})
	c.handlePlacementEvent(now, placement.Tick{})
}

// nonCandidateRank is the rank of an entry that must not hold the plan.
const nonCandidateRank = 1 << 20

// placementRank returns the number of entries with a higher rendezvous hash for
// the plan. The entry with rank 0 should hold it.
func (c *Core) placementRank() int {
	if c.draining {
		return nonCandidateRank
	}
	rank, ownHash := 0, rendezvousHash(placement.PlanKey, c.cfg.Self.Instance)
	for _, name := range c.rollouts.entries {
		if rendezvousHash(placement.PlanKey, name) > ownHash {
			rank++
		}
	}
	return rank
}

// sampleDemand adds one sample of the running attempts. Each counts as a
// fraction of the slots of its backend server.
func (c *Core) sampleDemand() {
	p := &c.placement
	p.samples++
	for _, r := range c.requests {
		for _, a := range r.attempts {
			if a.ended || a.sentAt.IsZero() || a.version == "" {
				continue
			}
			slots := c.servers[a.server].Slots
			if slots == 0 {
				slots = defaultServerSlots
			}
			p.demandSums[a.version] += 1 / float64(slots)
		}
	}
}

// defaultServerSlots is assumed for a server that does not report its slots.
const defaultServerSlots = 16

// reportDemand sends the mean demand since the last report. The interval grows
// with the number of entries, so that all reports together stay below
// maxDemandBytesPerSecond.
func (c *Core) reportDemand(now time.Time) {
	p := &c.placement
	if now.Before(p.nextReport) {
		return
	}
	interval := c.cfg.DemandInterval
	if interval == 0 {
		interval = defaultDemandInterval
	}
	size := (emptyDemandBytes + demandBytesPerVersion*len(p.demandSums)) * len(c.rollouts.entries)
	interval = max(interval, time.Duration(size)*time.Second/maxDemandBytesPerSecond)
	demand := api.PlacementDemand{Origin: processOrigin(c.cfg.Self), ValidMs: int((demandValidIntervals * interval).Milliseconds())}
	for version, demandSum := range p.demandSums {
		demand.Versions = append(demand.Versions, api.VersionDemand{Version: version, Busy: demandSum / float64(p.samples)})
	}
	sort.Slice(demand.Versions, func(i, j int) bool { return demand.Versions[i].Version < demand.Versions[j].Version })
	p.nextReport, p.samples = now.Add(interval), 0
	clear(p.demandSums)
	holder := c.preferredHolder(placement.PlanKey)
	if holder == c.cfg.Self.Instance {
		c.handlePlacementEvent(now, placement.DemandReported{Demand: demand})
	} else if address := p.addresses[holder]; address != "" {
		c.emit(ReportDemand{Address: address, Demand: demand})
	}
}

// handlePlacementMessage handles demand reports and answers to orders from
// other processes.
func (c *Core) handlePlacementMessage(now time.Time, e Event) {
	switch e := e.(type) {
	case PlacementDemandReceived:
		c.handlePlacementEvent(now, placement.DemandReported{Demand: e.Demand})
	case PlacementOrderAnswered:
		c.handlePlacementEvent(now, placement.OrderAnswered{Server: e.BackendServer, Fence: e.Fence, Result: e.Result})
	}
}

// handlePlacementEvent passes an event to the plan holder and emits its
// effects.
func (c *Core) handlePlacementEvent(now time.Time, e placement.HolderEvent) {
	for _, effect := range c.placement.holder.Handle(now, e) {
		switch x := effect.(type) {
		case placement.ReadObject:
			c.emit(ReadObject{Key: x.Key})
		case placement.WriteObject:
			c.emit(WriteObject{Key: x.Key, Value: x.Value, IfVersion: x.IfVersion})
		case placement.SendOrder:
			c.emit(SendPlacementOrder{Address: x.Address, Instance: x.Instance, Order: x.Order})
		}
	}
}

func (c *Core) handlePlacementRead(now time.Time, e ObjectRead) {
	notFound := errors.Is(e.Err, platform.ErrNotFound)
	c.handlePlacementEvent(now, placement.ObjectRead{
		Key: e.Key, Version: e.Version, Value: e.Value, NotFound: notFound, Failed: e.Err != nil && !notFound,
	})
}

func (c *Core) handlePlacementWritten(now time.Time, e ObjectWritten) {
	outcome := placement.WriteFailed
	switch {
	case e.Err == nil:
		outcome = placement.WriteSucceeded
	case errors.Is(e.Err, platform.ErrConflict):
		outcome = placement.WriteConflict
	case errors.Is(e.Err, platform.ErrAmbiguous):
		outcome = placement.WriteAmbiguous
	}
	c.handlePlacementEvent(now, placement.ObjectWritten{Key: e.Key, Version: e.Version, Outcome: outcome})
}
