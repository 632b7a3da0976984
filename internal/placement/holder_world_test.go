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

// holderWorld is a store, some backend servers and several entries that may hold
// the plan. Calls and orders wait in queues until the test delivers them.
type holderWorld struct {
	now     time.Time
	store   map[string]stored
	servers []*worldServer
	pool    placement.Pool
	entries []*worldEntry
	// loads are the times of decided orders that need the weight store.
	loads []time.Time
	// volatile is a version that is declared and withdrawn in turn; an order decided
	// under the earlier manifest may still take its last server.
	volatile string
	fault    func(format string, args ...any)
}

type stored struct {
	version int64
	value   []byte
}

type worldServer struct {
	placement.Server
	fence   int
	failing bool
}

type worldEntry struct {
	holder *placement.Holder
	calls  []placement.HolderEffect
	orders []placement.SendOrder
}

var worldOptions = placement.HolderOptions{
	Planner: placement.Options{LoadsPerMinute: 60, LoadBurst: 2, Dwell: 10 * time.Second, Smooth: time.Second},
}

func newHolderWorld(entries, servers int, versions ...placement.Version) *holderWorld {
	w := &holderWorld{now: time.Unix(1000, 0), store: map[string]stored{}, pool: placement.Pool{Name: "p", Replicas: servers, Versions: versions}}
	for i := range servers {
		w.servers = append(w.servers, &worldServer{Server: placement.Server{
			Name: fmt.Sprintf("s%d", i), Pool: "p", FailureDomain: fmt.Sprintf("fd%d", i%2), Incarnation: 1, Orderable: true,
			Versions: []string{versions[i%len(versions)].Name},
		}})
	}
	for i := range entries {
		w.entries = append(w.entries, &worldEntry{holder: placement.NewHolder(fmt.Sprintf("e%d", i), worldOptions)})
	}
	w.declare(1)
	return w
}

func (w *holderWorld) declare(revision int) {
	for _, e := range w.entries {
		w.handle(e, placement.PoolsDeclared{Revision: api.Revision{Generation: 1, Version: revision}, Pools: []placement.Pool{w.pool}})
	}
}

func (w *holderWorld) handle(e *worldEntry, event placement.HolderEvent) {
	for _, effect := range e.holder.Handle(w.now, event) {
		if order, ok := effect.(placement.SendOrder); ok {
			e.orders = append(e.orders, order)
			continue
		}
		if write, ok := effect.(placement.WriteObject); ok {
			w.checkRate(write)
		}
		e.calls = append(e.calls, effect)
	}
}

// tick tells an entry what it may see and lets it act.
func (w *holderWorld) tick(e *worldEntry, rank int) {
	var seen []placement.Server
	for _, s := range w.servers {
		server := s.Server
		server.Versions = slices.Clone(s.Versions)
		server.Serving = s.Orderable && len(s.Versions) > 0
		seen = append(seen, server)
	}
	w.handle(e, placement.Candidate{Rank: rank})
	w.handle(e, placement.ServersSeen{Servers: seen})
	w.handle(e, placement.Tick{})
}

// call carries out the oldest call of an entry. The outcome of a write may be lost.
func (w *holderWorld) call(e *worldEntry, lost bool) {
	if len(e.calls) == 0 {
		return
	}
	effect := e.calls[0]
	e.calls = e.calls[1:]
	switch c := effect.(type) {
	case placement.ReadObject:
		o, ok := w.store[c.Key]
		w.handle(e, placement.ObjectRead{Key: c.Key, Version: o.version, Value: o.value, NotFound: !ok})
	case placement.WriteObject:
		written := placement.ObjectWritten{Key: c.Key, Outcome: placement.Conflict}
		if o := w.store[c.Key]; o.version == c.IfVersion {
			w.checkWrite(c.Key, o.value, c.Value)
			w.store[c.Key] = stored{o.version + 1, c.Value}
			written.Outcome, written.Version = placement.Written, o.version+1
		}
		if lost {
			written.Outcome = placement.Ambiguous
		}
		w.handle(e, written)
	}
}

func (w *holderWorld) recordOf(server string) api.PlacementRecord {
	var r api.PlacementRecord
	if o, ok := w.store[placement.RecordKey(server)]; ok {
		_ = json.Unmarshal(o.value, &r)
	}
	return r
}

// checkWrite checks a recorded order: it leaves the replaced version its minimum
// of other servers that hold it by their own record.
func (w *holderWorld) checkWrite(key string, before, after []byte) {
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
	holding := func(version string) int {
		n := 0
		for _, s := range w.servers {
			if s.Name != name && w.recordOf(s.Name).Version == version && slices.Contains(s.Versions, version) {
				n++
			}
		}
		return n
	}
	self := w.server(name)
	for _, v := range w.pool.Versions {
		if v.Used && v.Name != w.volatile && v.Name != to.Version && v.Name == from.Version && self != nil && slices.Contains(self.Versions, v.Name) &&
			holding(v.Name) < max(v.Min, 1) {
			w.fault("order %+v after %+v on %s leaves version %s with %d servers", to, from, name, v.Name, holding(v.Name))
		}
	}
}

// checkRate checks the rate of loads when they are decided: the store may answer
// two writes that were made seconds apart at the same time.
func (w *holderWorld) checkRate(write placement.WriteObject) {
	s := w.server(strings.TrimPrefix(write.Key, placement.RecordPrefix))
	var to api.PlacementRecord
	_ = json.Unmarshal(write.Value, &to)
	if s == nil || to.Fence == w.recordOf(s.Name).Fence || to.Version == "" || slices.Contains(s.Versions, to.Version) {
		return
	}
	w.loads = append(w.loads, w.now)
	for i, from := range w.loads {
		span := w.now.Sub(from)
		if n := len(w.loads) - i; float64(n) > 2+span.Minutes()*60+1e-6 {
			w.fault("%d loads in %s", n, span)
		}
	}
}

func (w *holderWorld) server(name string) *worldServer {
	for _, s := range w.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// deliver brings the order with index i of an entry to its server.
func (w *holderWorld) deliver(e *worldEntry, i int) {
	order := e.orders[i]
	e.orders = slices.Delete(slices.Clone(e.orders), i, i+1)
	s := w.server(order.Order.BackendServer)
	result := api.PlacementResult{Outcome: api.PlacementOutcomeUnknown}
	switch {
	case s == nil || !s.Orderable || s.Incarnation != order.Order.Incarnation:
	case order.Order.Fence != w.recordOf(s.Name).Fence:
		result.Outcome, result.Highest = api.PlacementOutcomeRefused, w.recordOf(s.Name).Fence
	case s.failing:
		s.Versions = nil
		result.Outcome = api.PlacementOutcomeFailed
	default:
		if order.Order.Fence <= s.fence {
			w.fault("token %d was carried out after %d", order.Order.Fence, s.fence)
		}
		s.fence, s.Versions = order.Order.Fence, nil
		if order.Order.Version != "" {
			s.Versions = []string{order.Order.Version}
		}
		result.Outcome = api.PlacementOutcomeDone
	}
	w.handle(e, placement.OrderAnswered{Server: order.Order.BackendServer, Fence: order.Order.Fence, Result: result})
}

// run lets time pass with everything delivered.
func (w *holderWorld) run(d time.Duration, awake ...int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for n, i := range awake {
			e := w.entries[i]
			w.tick(e, n)
			for len(e.calls) > 0 || len(e.orders) > 0 {
				w.call(e, false)
				if len(e.orders) > 0 {
					w.deliver(e, 0)
				}
			}
		}
	}
}

// count returns the servers that hold a version.
func (w *holderWorld) count(version string) int {
	n := 0
	for _, s := range w.servers {
		if s.Orderable && slices.Contains(s.Versions, version) {
			n++
		}
	}
	return n
}

func (w *holderWorld) busy(version string, busy float64) {
	for _, e := range w.entries {
		w.handle(e, placement.DemandReported{Demand: api.PlacementDemand{
			Origin: "x", ValidMs: int(time.Hour.Milliseconds()), Versions: []api.VersionDemand{{Version: version, Busy: busy}},
		}})
	}
}
