package placement

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// PlanKey is the key of the store object that contains the plan. The holder of the
// plan writes it.
const PlanKey = "placement/plan"

// RecordPrefix is the key prefix of the records of the backend servers in the store.
const RecordPrefix = "placement/"

// RecordKey returns the key of the record of a backend server, the store object that
// contains its last order.
func RecordKey(server string) string { return RecordPrefix + server }

// HolderOptions configures a Holder. Zero values select the defaults.
type HolderOptions struct {
	Planner PlannerOptions
	// HolderTimeout is how long the plan must stay unchanged before another entry
	// may take it, measured on that entry's own clock. The holder renews the plan
	// three times in this period. The default is 45 s.
	HolderTimeout time.Duration
	// StoreBackoff is the delay after a failed call of the store. The default is 2 s.
	StoreBackoff time.Duration
	// OrderTimeout is how long an order without an answer counts as pending. It
	// covers the time to finish running requests and the delay at a sidecar whose
	// engine does not check tokens. The default is 15 min.
	OrderTimeout time.Duration
	// SettleTime is how long a server may report other versions after an order was
	// executed. The default is 10 s.
	SettleTime time.Duration
	// OrderBackoff is the delay after the first failed order of a server. It doubles
	// with each further failure, up to 10 min. The default is 30 s.
	OrderBackoff time.Duration
}

const (
	// maxOrderBackoff bounds the delay after failed orders.
	maxOrderBackoff = 10 * time.Minute
	// maxRecordCalls bounds the concurrent store calls for records, so that a takeover
	// at target size (910 servers) stays below the rate limit of the store.
	maxRecordCalls = 8
	// planInterval is the time between two plans.
	planInterval = time.Second
	// maxWatcherRank is the highest rank whose entry watches the plan.
	maxWatcherRank = 2
	// releaseDelay is how long the holder must not be a candidate before it releases
	// the plan. Member lists differ between entries for seconds after a change.
	releaseDelay = 30 * time.Second
	// preemptDelay is how long an entry must have had rank 0, and another entry must
	// have held the plan, before it takes the plan over. A holder without rank 0
	// receives no demand reports.
	preemptDelay = 5 * time.Minute
)

func (o HolderOptions) withDefaults() HolderOptions {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.HolderTimeout, 45 * time.Second},
		{&o.StoreBackoff, 2 * time.Second},
		{&o.OrderTimeout, 15 * time.Minute},
		{&o.SettleTime, 10 * time.Second},
		{&o.OrderBackoff, 30 * time.Second},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	return o
}

// Pool is a managed pool of the active manifest.
type Pool struct {
	Name string
	// Replicas is the maximum number of backend servers that are planned.
	Replicas int
	// Versions are the declared versions. The holder sets their Demand.
	Versions []Version
}

// Server is the state of a backend server as reported by its sidecar.
type Server struct {
	Name          string
	Pool          string
	FailureDomain string
	Instance      string
	Incarnation   int
	Address       string
	// Versions are the versions loaded in the engine.
	Versions []string
	// AcceptsOrders reports whether the sidecar accepts orders: it is alive and not
	// leaving.
	AcceptsOrders bool
	// Serving reports whether the sidecar accepts requests.
	Serving bool
	Running int
}

// HolderEvent is an input of Holder.Handle.
type HolderEvent interface{ isHolderEvent() }

// PoolsDeclared contains the managed pools of the active manifest.
type PoolsDeclared struct {
	Revision api.Revision
	Pools    []Pool
}

// RankUpdated contains the rank of this entry by rendezvous hashing over the entries.
// Rank 0 should hold the plan. Ranks 1 and 2 take it when it is no longer renewed,
// because the entry with rank 0 may be frozen. The rank is only a hint: conditional
// writes of the plan object ensure that one entry holds it.
type RankUpdated struct{ Rank int }

// ServersUpdated contains all known backend servers with an engine.
type ServersUpdated struct{ Servers []Server }

// DemandReported contains the demand report of one entry.
type DemandReported struct{ Demand api.PlacementDemand }

// ObjectRead is the result of a ReadObject. Failed means that the call of the store
// failed, and NotFound that the object does not exist.
type ObjectRead struct {
	Key      string
	Version  int64
	Value    []byte
	NotFound bool
	Failed   bool
}

// WriteOutcome is the outcome of a WriteObject.
type WriteOutcome int

// Outcomes of a WriteObject: the object was written, its version was not IfVersion, it
// is unknown whether it was written, or the call failed without effect.
const (
	WriteSucceeded WriteOutcome = iota + 1
	WriteConflict
	WriteAmbiguous
	WriteFailed
)

// ObjectWritten is the result of a WriteObject. Version is the new version of the
// object and set only if it was written.
type ObjectWritten struct {
	Key     string
	Version int64
	Outcome WriteOutcome
}

// OrderAnswered is the result of a SendOrder.
type OrderAnswered struct {
	Server string
	Fence  int
	Result api.PlacementResult
}

// Tick reports that time has passed. It must be sent every second.
type Tick struct{}

func (PoolsDeclared) isHolderEvent()  {}
func (RankUpdated) isHolderEvent()    {}
func (ServersUpdated) isHolderEvent() {}
func (DemandReported) isHolderEvent() {}
func (ObjectRead) isHolderEvent()     {}
func (ObjectWritten) isHolderEvent()  {}
func (OrderAnswered) isHolderEvent()  {}
func (Tick) isHolderEvent()           {}

// HolderEffect is an output of Holder.Handle.
type HolderEffect interface{ isHolderEffect() }

// ReadObject reads an object from the store. It is answered by an ObjectRead.
type ReadObject struct{ Key string }

// WriteObject writes an object to the store if its version is IfVersion, where 0
// means that it does not exist. It is answered by an ObjectWritten.
type WriteObject struct {
	Key       string
	Value     []byte
	IfVersion int64
}

// SendOrder sends an order to a sidecar. It is answered by an OrderAnswered.
type SendOrder struct {
	Address  string
	Instance string
	Order    api.PlacementOrder
}

func (ReadObject) isHolderEffect()  {}
func (WriteObject) isHolderEffect() {}
func (SendOrder) isHolderEffect()   {}

// Holder is the state machine of an entry that holds the plan, the store object
// placement/plan, or watches it in order to take it over. Before its first order in a
// pool, the holder of the plan writes the records of all backend servers of the pool,
// so that later writes of a previous holder fail with a version conflict. An order is
// sent only after its record is written.
//
// A Holder is not safe for concurrent use. Every effect must be answered by exactly
// one event.
type Holder struct {
	// self is the instance and incarnation of this entry.
	self          string
	opts          HolderOptions
	pools         PoolsDeclared
	servers       map[string]Server
	demandReports map[string]demandReport
	plan          planState
	records       map[string]*serverRecord
	planners      map[string]*Planner
	// hadPredecessor reports whether the plan already existed when this entry took
	// it, so that a previous holder may have given orders.
	hadPredecessor bool
	// recordCalls is the number of pending store calls for records.
	recordCalls   int
	nextPlanAt    time.Time
	lastHandledAt time.Time
	effects       []HolderEffect
}

// demandReport is the latest demand report of one entry: by version, the number of
// replicas that its work keeps fully busy.
type demandReport struct {
	busyByVersion map[string]float64
	validUntil    time.Time
}

// NewHolder returns the Holder of an entry. self identifies the entry's instance and
// incarnation.
func NewHolder(self string, opts HolderOptions) *Holder {
	return &Holder{
		self: self, opts: opts.withDefaults(), servers: map[string]Server{}, demandReports: map[string]demandReport{},
		plan: planState{mustRead: true}, records: map[string]*serverRecord{}, planners: map[string]*Planner{},
	}
}

// Handle processes one event at time now, which must not decrease between calls, and
// returns the resulting effects. The returned slice is valid until the next call.
func (h *Holder) Handle(now time.Time, event HolderEvent) []HolderEffect {
	h.effects = h.effects[:0]
	h.detectPause(now)
	switch e := event.(type) {
	case PoolsDeclared:
		if manifest.IsNewer(e.Revision, h.pools.Revision) {
			h.pools = e
		}
	case RankUpdated:
		h.plan.setRank(now, e.Rank)
	case ServersUpdated:
		h.setServers(e.Servers)
	case DemandReported:
		h.addDemandReport(now, e.Demand)
	case ObjectRead:
		h.handleObjectRead(now, e)
	case ObjectWritten:
		h.handleObjectWritten(now, e)
	case OrderAnswered:
		h.handleOrderAnswered(now, e)
	case Tick:
	}
	h.step(now)
	return h.effects
}

// detectPause detects that the process was paused for at least half of HolderTimeout.
// The plan must then be read again before the entry acts on it.
func (h *Holder) detectPause(now time.Time) {
	if !h.lastHandledAt.IsZero() && now.Sub(h.lastHandledAt) >= h.opts.HolderTimeout/2 {
		h.plan.mustRead = true
	}
	h.lastHandledAt = now
}

func (h *Holder) emit(e HolderEffect) { h.effects = append(h.effects, e) }

func (h *Holder) setServers(servers []Server) {
	h.servers = make(map[string]Server, len(servers))
	for _, s := range servers {
		if RecordKey(s.Name) != PlanKey {
			h.servers[s.Name] = s
		}
	}
}

func (h *Holder) addDemandReport(now time.Time, d api.PlacementDemand) {
	busy := make(map[string]float64, len(d.Versions))
	for _, v := range d.Versions {
		busy[v.Version] = v.Busy
	}
	h.demandReports[d.Origin] = demandReport{busy, now.Add(time.Duration(d.ValidMs) * time.Millisecond)}
}

// totalDemand returns the sum of the valid demand reports by version and removes
// those that have expired.
func (h *Holder) totalDemand(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for origin, r := range h.demandReports {
		if now.After(r.validUntil) {
			delete(h.demandReports, origin)
			continue
		}
		for version, busy := range r.busyByVersion {
			sum[version] += busy
		}
	}
	return sum
}

// step makes the store calls and orders that are due.
func (h *Holder) step(now time.Time) {
	if len(h.pools.Pools) == 0 && !h.holdsPlan() {
		return
	}
	h.stepPlan(now)
	if !h.holdsPlan() {
		return
	}
	if now.Before(h.nextPlanAt) {
		h.stepRecords(now)
		return
	}
	h.nextPlanAt = now.Add(planInterval)
	h.stepRecords(now)
	h.stepPools(now)
}
