package placement

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// PlanKey is the store object that the holder writes.
const PlanKey = "placement/plan"

// RecordPrefix is the prefix of the store objects of the backend servers.
const RecordPrefix = "placement/"

// RecordKey returns the store object that holds the last order of a backend server.
func RecordKey(server string) string { return RecordPrefix + server }

// HolderOptions configure a Holder. Zero fields take the defaults.
type HolderOptions struct {
	Planner Options
	// HolderTimeout is how long the plan must stay unchanged before another entry
	// takes it, on that entry's own clock; default 45 s. The holder renews it three
	// times as often.
	HolderTimeout time.Duration
	// BackOff is the pause after a failed call of the store; default 2 s.
	BackOff time.Duration
	// OrderTimeout is how long an order without an answer counts as under way;
	// default 15 min. It covers the end of running requests and the wait of a
	// sidecar whose engine does not check tokens.
	OrderTimeout time.Duration
	// Settle is how long after a done order the server may report other versions;
	// default 10 s.
	Settle time.Duration
	// FailBackOff is the pause after the first failed order of a server, doubled
	// with each further one up to maxFailBackOff; default 30 s.
	FailBackOff time.Duration
}

const (
	// maxFailBackOff bounds the pause after failed orders.
	maxFailBackOff = 10 * time.Minute
	// maxRecordCalls bounds the calls of the store for records at once, so that a
	// takeover at target size (910 servers) stays below the store's rate.
	maxRecordCalls = 8
	// planEvery is the time between two plans.
	planEvery = time.Second
	// maxRank is the last rank that watches the plan.
	maxRank = 2
	// giveUpAfter is how long an entry must be no candidate before it gives the plan
	// up; member lists differ for seconds after a change.
	giveUpAfter = 30 * time.Second
	// preemptAfter is how long the first entry must have been the first, and another
	// holder in office, before it takes the plan from that holder, which gets no
	// reports of demand.
	preemptAfter = 5 * time.Minute
)

func (o HolderOptions) withDefaults() HolderOptions {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.HolderTimeout, 45 * time.Second},
		{&o.BackOff, 2 * time.Second},
		{&o.OrderTimeout, 15 * time.Minute},
		{&o.Settle, 10 * time.Second},
		{&o.FailBackOff, 30 * time.Second},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	return o
}

// Pool is a managed pool of the manifest in force.
type Pool struct {
	Name string
	// Replicas is the number of backend servers that are planned.
	Replicas int
	// Versions are the declared versions; Demand is filled in by the holder.
	Versions []Version
}

// Server is a backend server as its sidecar reports it.
type Server struct {
	Name          string
	Pool          string
	FailureDomain string
	Instance      string
	Incarnation   int
	Address       string
	// Versions are those that the engine holds.
	Versions []string
	// Orderable states that the sidecar runs and does not leave.
	Orderable bool
	// Serving states that the sidecar takes requests.
	Serving bool
	Running int
}

// HolderEvent is an input of a Holder.
type HolderEvent interface{ isHolderEvent() }

// PoolsDeclared states the managed pools of the manifest in force.
type PoolsDeclared struct {
	Revision api.Revision
	Pools    []Pool
}

// Candidate states the rank of this entry by rendezvous hashing over the entries:
// 0 should hold the plan, the next ones up to maxRank take it when the plan is
// silent, since the first may be frozen. It is a hint; the object's version decides.
type Candidate struct{ Rank int }

// ServersSeen lists the known backend servers of engines.
type ServersSeen struct{ Servers []Server }

// DemandReported is the work of one entry.
type DemandReported struct{ Demand api.PlacementDemand }

// ObjectRead answers a ReadObject.
type ObjectRead struct {
	Key      string
	Version  int64
	Value    []byte
	NotFound bool
	Failed   bool
}

// WriteOutcome is the outcome of a WriteObject.
type WriteOutcome int

// Outcomes of a WriteObject.
const (
	Written WriteOutcome = iota + 1
	Conflict
	Ambiguous
	Failed
)

// ObjectWritten answers a WriteObject. Version is set when Outcome is Written.
type ObjectWritten struct {
	Key     string
	Version int64
	Outcome WriteOutcome
}

// OrderAnswered answers a SendOrder.
type OrderAnswered struct {
	Server string
	Fence  int
	Result api.PlacementResult
}

// Tick lets time pass; it is due every second.
type Tick struct{}

func (PoolsDeclared) isHolderEvent()  {}
func (Candidate) isHolderEvent()      {}
func (ServersSeen) isHolderEvent()    {}
func (DemandReported) isHolderEvent() {}
func (ObjectRead) isHolderEvent()     {}
func (ObjectWritten) isHolderEvent()  {}
func (OrderAnswered) isHolderEvent()  {}
func (Tick) isHolderEvent()           {}

// HolderEffect is an output of a Holder.
type HolderEffect interface{ isHolderEffect() }

// ReadObject asks for one ObjectRead.
type ReadObject struct{ Key string }

// WriteObject asks for one ObjectWritten. IfVersion 0 means create only.
type WriteObject struct {
	Key       string
	Value     []byte
	IfVersion int64
}

// SendOrder asks for one OrderAnswered.
type SendOrder struct {
	Address  string
	Instance string
	Order    api.PlacementOrder
}

func (ReadObject) isHolderEffect()  {}
func (WriteObject) isHolderEffect() {}
func (SendOrder) isHolderEffect()   {}

// Holder is one entry's view of the plan: it holds the object placement/plan or
// watches it. Before its first order in a pool the holder writes the record of
// every backend server of the pool, so that each later write of an earlier holder
// fails by the record's version; an order is sent only after its record is
// written. It is not safe for concurrent use. Every effect must be answered by
// exactly one event.
type Holder struct {
	self    string
	opts    HolderOptions
	pools   PoolsDeclared
	servers map[string]Server
	demand  map[string]reported
	plan    planObject
	records map[string]*record
	planner map[string]*Planner
	// tookOver states that another process held the plan before.
	tookOver bool
	// calls counts the calls of the store for records under way.
	calls    int
	nextPlan time.Time
	lastCall time.Time
	out      []HolderEffect
}

// reported is the last report of one entry.
type reported struct {
	busy  map[string]float64
	until time.Time
}

// NewHolder returns the Holder of an entry; self names instance and incarnation.
func NewHolder(self string, opts HolderOptions) *Holder {
	return &Holder{
		self: self, opts: opts.withDefaults(), servers: map[string]Server{}, demand: map[string]reported{},
		plan: planObject{mustRead: true}, records: map[string]*record{}, planner: map[string]*Planner{},
	}
}

// Handle applies one event at time now, which never decreases. The returned slice
// is valid until the next call.
func (h *Holder) Handle(now time.Time, event HolderEvent) []HolderEffect {
	h.out = h.out[:0]
	h.noticePause(now)
	switch e := event.(type) {
	case PoolsDeclared:
		if manifest.Newer(e.Revision, h.pools.Revision) {
			h.pools = e
		}
	case Candidate:
		h.plan.candidate(now, e.Rank)
	case ServersSeen:
		h.serversSeen(e.Servers)
	case DemandReported:
		h.demandReported(now, e.Demand)
	case ObjectRead:
		h.objectRead(now, e)
	case ObjectWritten:
		h.objectWritten(now, e)
	case OrderAnswered:
		h.orderAnswered(now, e)
	case Tick:
	}
	h.step(now)
	return h.out
}

// noticePause makes a process that stood still read the plan before it acts.
func (h *Holder) noticePause(now time.Time) {
	if !h.lastCall.IsZero() && now.Sub(h.lastCall) >= h.opts.HolderTimeout/2 {
		h.plan.mustRead = true
	}
	h.lastCall = now
}

func (h *Holder) emit(e HolderEffect) { h.out = append(h.out, e) }

func (h *Holder) serversSeen(servers []Server) {
	h.servers = make(map[string]Server, len(servers))
	for _, s := range servers {
		if RecordKey(s.Name) != PlanKey {
			h.servers[s.Name] = s
		}
	}
}

func (h *Holder) demandReported(now time.Time, d api.PlacementDemand) {
	busy := make(map[string]float64, len(d.Versions))
	for _, v := range d.Versions {
		busy[v.Version] = v.Busy
	}
	h.demand[d.Origin] = reported{busy, now.Add(time.Duration(d.ValidMs) * time.Millisecond)}
}

// demands adds up the reports that still count.
func (h *Holder) demands(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for origin, r := range h.demand {
		if now.After(r.until) {
			delete(h.demand, origin)
			continue
		}
		for version, busy := range r.busy {
			sum[version] += busy
		}
	}
	return sum
}

// step makes the calls that are due.
func (h *Holder) step(now time.Time) {
	if len(h.pools.Pools) == 0 && !h.holds() {
		return
	}
	h.stepPlan(now)
	if !h.holds() {
		return
	}
	if now.Before(h.nextPlan) {
		h.stepRecords(now)
		return
	}
	h.nextPlan = now.Add(planEvery)
	h.stepRecords(now)
	h.stepPools(now)
}
