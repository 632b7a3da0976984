package placement_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/placement"
)

// simulation simulates a store, backend servers and several entries that compete for
// the plan. Store calls and orders are queued until the test delivers them.
type simulation struct {
	now     time.Time
	store   map[string]storedObject
	servers []*simServer
	pool    placement.Pool
	entries []*simEntry
	// loadTimes are the times of the orders that load a version from the weight store.
	loadTimes []time.Time
	// toggledVersion is a version that the test declares and withdraws in turn. Its
	// minimum is not checked: an order decided under the previous manifest may take
	// its last server.
	toggledVersion string
	// fail fails the test with a message.
	fail func(format string, args ...any)
}

type storedObject struct {
	version int64
	value   []byte
}

// simServer is a simulated backend server. fence is the token of the last executed
// order; while failing is true, the server fails all orders.
type simServer struct {
	placement.Server
	fence   int
	failing bool
}

// simEntry is a simulated entry with its pending store calls and orders.
type simEntry struct {
	holder *placement.Holder
	calls  []placement.HolderEffect
	orders []placement.SendOrder
}

var simOptions = placement.HolderOptions{
	Planner: placement.PlannerOptions{LoadsPerMinute: 60, LoadBurst: 2, MinDwell: 10 * time.Second, DemandTimeConstant: time.Second},
}

func newSimulation(entries, servers int, versions ...placement.Version) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), store: map[string]storedObject{}, pool: placement.Pool{Name: "p", Replicas: servers, Versions: versions}}
	for i := range servers {
		sim.servers = append(sim.servers, &simServer{Server: placement.Server{
			Name: fmt.Sprintf("s%d", i), Pool: "p", FailureDomain: fmt.Sprintf("fd%d", i%2), Incarnation: 1, AcceptsOrders: true,
			Versions: []string{versions[i%len(versions)].Name},
		}})
	}
	for i := range entries {
		sim.entries = append(sim.entries, &simEntry{holder: placement.NewHolder(fmt.Sprintf("e%d", i), simOptions)})
	}
	sim.declare(1)
	return sim
}

// declare activates a manifest with the simulated pool at all entries.
func (sim *simulation) declare(revision int) {
	for _, e := range sim.entries {
		sim.handle(e, placement.PoolsDeclared{Revision: api.Revision{Generation: 1, Version: revision}, Pools: []placement.Pool{sim.pool}})
	}
}

// handle passes an event to an entry and queues the resulting effects.
func (sim *simulation) handle(e *simEntry, event placement.HolderEvent) {
	for _, effect := range e.holder.Handle(sim.now, event) {
		if order, ok := effect.(placement.SendOrder); ok {
			e.orders = append(e.orders, order)
			continue
		}
		if write, ok := effect.(placement.WriteObject); ok {
			sim.checkRate(write)
		}
		e.calls = append(e.calls, effect)
	}
}

// tickEntry sends an entry its rank and the state of the servers, then a tick.
func (sim *simulation) tickEntry(e *simEntry, rank int) {
	var servers []placement.Server
	for _, s := range sim.servers {
		server := s.Server
		server.Versions = slices.Clone(s.Versions)
		server.Serving = s.AcceptsOrders && len(s.Versions) > 0
		servers = append(servers, server)
	}
	sim.handle(e, placement.RankUpdated{Rank: rank})
	sim.handle(e, placement.ServersUpdated{Servers: servers})
	sim.handle(e, placement.Tick{})
}

// completeCall executes the oldest pending store call of an entry. If lost is true, the
// entry does not learn the outcome of a write.
func (sim *simulation) completeCall(e *simEntry, lost bool) {
	if len(e.calls) == 0 {
		return
	}
	effect := e.calls[0]
	e.calls = e.calls[1:]
	switch c := effect.(type) {
	case placement.ReadObject:
		o, ok := sim.store[c.Key]
		sim.handle(e, placement.ObjectRead{Key: c.Key, Version: o.version, Value: o.value, NotFound: !ok})
	case placement.WriteObject:
		written := placement.ObjectWritten{Key: c.Key, Outcome: placement.WriteConflict}
		if o := sim.store[c.Key]; o.version == c.IfVersion {
			sim.checkWrite(c.Key, o.value, c.Value)
			sim.store[c.Key] = storedObject{o.version + 1, c.Value}
			written.Outcome, written.Version = placement.WriteSucceeded, o.version+1
		}
		if lost {
			written.Outcome = placement.WriteAmbiguous
		}
		sim.handle(e, written)
	}
}

func (sim *simulation) storedRecord(server string) api.PlacementRecord {
	var r api.PlacementRecord
	if o, ok := sim.store[placement.RecordKey(server)]; ok {
		_ = json.Unmarshal(o.value, &r)
	}
	return r
}

// checkWrite fails the test if a recorded order leaves the replaced version with fewer
// than its minimum of other servers that hold it according to their records.
func (sim *simulation) checkWrite(key string, before, after []byte) {
	if key == placement.PlanKey {
		return
	}
	var from, to api.PlacementRecord
	_ = json.Unmarshal(before, &from)
	_ = json.Unmarshal(after, &to)
	if to.Fence == from.Fence {
		return
	}
	name := strings.TrimPrefix(key, placement.RecordPrefix)
	countLoaded := func(version string) int {
		n := 0
		for _, s := range sim.servers {
			if s.Name != name && sim.storedRecord(s.Name).Version == version && slices.Contains(s.Versions, version) {
				n++
			}
		}
		return n
	}
	self := sim.server(name)
	for _, v := range sim.pool.Versions {
		if v.Used && v.Name != sim.toggledVersion && v.Name != to.Version && v.Name == from.Version && self != nil && slices.Contains(self.Versions, v.Name) &&
			countLoaded(v.Name) < max(v.Min, 1) {
			sim.fail("order %+v, after %+v, on server %s leaves version %s with %d servers", to, from, name, v.Name, countLoaded(v.Name))
		}
	}
}

// checkRate fails the test if orders exceed the load rate. It counts an order when it
// is decided, because the store may answer two writes made seconds apart at once.
func (sim *simulation) checkRate(write placement.WriteObject) {
	s := sim.server(strings.TrimPrefix(write.Key, placement.RecordPrefix))
	var to api.PlacementRecord
	_ = json.Unmarshal(write.Value, &to)
	if s == nil || to.Fence == sim.storedRecord(s.Name).Fence || to.Version == "" || slices.Contains(s.Versions, to.Version) {
		return
	}
	sim.loadTimes = append(sim.loadTimes, sim.now)
	for i, from := range sim.loadTimes {
		span := sim.now.Sub(from)
		if n := len(sim.loadTimes) - i; float64(n) > 2+span.Minutes()*60+1e-6 {
			sim.fail("%d loads in %s exceed the load rate", n, span)
		}
	}
}

func (sim *simulation) server(name string) *simServer {
	for _, s := range sim.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// deliverOrder delivers the pending order i of an entry to its server, and the answer
// to the entry.
func (sim *simulation) deliverOrder(e *simEntry, i int) {
	order := e.orders[i]
	e.orders = slices.Delete(slices.Clone(e.orders), i, i+1)
	s := sim.server(order.Order.BackendServer)
	result := api.PlacementResult{Outcome: api.PlacementOutcomeUnknown}
	switch {
	case s == nil || !s.AcceptsOrders || s.Incarnation != order.Order.Incarnation:
	case order.Order.Fence != sim.storedRecord(s.Name).Fence:
		result.Outcome, result.Highest = api.PlacementOutcomeRefused, sim.storedRecord(s.Name).Fence
	case s.failing:
		s.Versions = nil
		result.Outcome = api.PlacementOutcomeFailed
	default:
		if order.Order.Fence <= s.fence {
			sim.fail("order with token %d was executed after token %d", order.Order.Fence, s.fence)
		}
		s.fence, s.Versions = order.Order.Fence, nil
		if order.Order.Version != "" {
			s.Versions = []string{order.Order.Version}
		}
		result.Outcome = api.PlacementOutcomeDone
	}
	sim.handle(e, placement.OrderAnswered{Server: order.Order.BackendServer, Fence: order.Order.Fence, Result: result})
}

// run advances the time by d while the entries with the given indexes run, with ranks
// in that order. All their calls and orders are delivered.
func (sim *simulation) run(d time.Duration, running ...int) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Second) {
		for n, i := range running {
			e := sim.entries[i]
			sim.tickEntry(e, n)
			for len(e.calls) > 0 || len(e.orders) > 0 {
				sim.completeCall(e, false)
				if len(e.orders) > 0 {
					sim.deliverOrder(e, 0)
				}
			}
		}
	}
}

// countLoaded returns the number of servers that accept orders and have loaded a version.
func (sim *simulation) countLoaded(version string) int {
	n := 0
	for _, s := range sim.servers {
		if s.AcceptsOrders && slices.Contains(s.Versions, version) {
			n++
		}
	}
	return n
}

// reportDemand reports a version's demand, in fully busy replicas, to all entries.
func (sim *simulation) reportDemand(version string, busyReplicas float64) {
	for _, e := range sim.entries {
		sim.handle(e, placement.DemandReported{Demand: api.PlacementDemand{
			Origin: "x", ValidMs: int(time.Hour.Milliseconds()), Versions: []api.VersionDemand{{Version: version, Busy: busyReplicas}},
		}})
	}
}
