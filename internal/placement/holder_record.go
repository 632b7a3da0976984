package placement

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
)

// serverRecord is a Holder's view of the record of one backend server and of the last
// order sent to it.
type serverRecord struct {
	// known reports whether version and value are those in the store, as far as this
	// entry knows.
	known   bool
	version int64
	value   api.PlacementRecord
	// callPending reports whether a store call for the record is pending.
	callPending bool
	// pendingWrite is the value of the pending write, if any. isOrderWrite reports
	// whether an order must be sent once it is written.
	pendingWrite *api.PlacementRecord
	isOrderWrite bool
	retryAt      time.Time
	// sentToken is the fencing token of the last order sent, and sentIncarnation the
	// incarnation of the sidecar that it was sent to.
	sentToken       int
	sentIncarnation int
	sentAt          time.Time
	// doneAt is when the sidecar reported the order as executed, or zero.
	doneAt       time.Time
	orderFailed  bool
	failureCount int
	// blockedUntil is the time until which the server gets no orders because one
	// failed, was refused or had an unknown outcome.
	blockedUntil time.Time
}

// orderPending reports whether an order is being recorded or executed. An executed
// order remains pending until the server reports the version or the settle time has
// passed. An order is abandoned when its sidecar was replaced or it timed out.
func (r *serverRecord) orderPending(now time.Time, s Server, opts HolderOptions) bool {
	switch {
	case r.pendingWrite != nil && r.isOrderWrite:
		return true
	case r.sentToken == 0 || r.sentToken != r.value.Fence || r.orderFailed || r.sentIncarnation != s.Incarnation:
		return false
	case !r.doneAt.IsZero():
		return !hasOnlyVersion(s, r.value.Version) && now.Sub(r.doneAt) < opts.SettleTime
	default:
		return now.Sub(r.sentAt) < opts.OrderTimeout
	}
}

// hasOnlyVersion reports whether a server holds only the given version, or no version
// if it is empty.
func hasOnlyVersion(s Server, version string) bool {
	if version == "" {
		return len(s.Versions) == 0
	}
	return len(s.Versions) == 1 && s.Versions[0] == version
}

// isClaimed reports whether the latest known record was written by this entry.
func (h *Holder) isClaimed(r *serverRecord) bool {
	return r != nil && r.known && r.value.Holder == h.self
}

// managedServers returns the servers of a pool that are planned, at most pool.Replicas.
// Servers that are already in the plan are preferred; the others are taken by name.
func (h *Holder) managedServers(pool Pool) []Server {
	inPlan := map[string]bool{}
	for _, p := range h.plan.plan.Servers {
		inPlan[p.Name] = p.Pool == pool.Name
	}
	var out []Server
	for _, s := range h.servers {
		if s.Pool == pool.Name {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int {
		if inPlan[a.Name] != inPlan[b.Name] {
			if inPlan[a.Name] {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out[:min(len(out), pool.Replicas)]
}

// stepRecords reads and claims the records of the managed servers and deletes the
// state of servers that are gone.
func (h *Holder) stepRecords(now time.Time) {
	for _, pool := range h.pools.Pools {
		for _, s := range h.managedServers(pool) {
			r := h.records[s.Name]
			if r == nil {
				r = &serverRecord{}
				h.records[s.Name] = r
			}
			if h.recordCalls >= maxRecordCalls {
				return
			}
			if r.callPending || now.Before(r.retryAt) || h.isClaimed(r) {
				continue
			}
			h.claim(r, pool, s)
		}
	}
	for name, r := range h.records {
		if _, ok := h.servers[name]; !ok && !r.callPending {
			delete(h.records, name)
		}
	}
}

// claim reads a record that is not known, or claims a known one by writing it with
// this entry as the holder and no other change. The first record of a server adopts
// a version that the server already holds.
func (h *Holder) claim(r *serverRecord, pool Pool, s Server) {
	if !r.known {
		r.callPending = true
		h.recordCalls++
		h.emit(ReadObject{Key: RecordKey(s.Name)})
		return
	}
	next := r.value
	if r.version == 0 {
		next.Version = h.adoptedVersion(pool, s)
	}
	next.Holder = h.self
	h.writeRecord(r, s.Name, next, false)
}

// adoptedVersion returns the declared version held by the server that the fewest
// records of the pool contain, or empty if it holds none.
func (h *Holder) adoptedVersion(pool Pool, s Server) string {
	count := map[string]int{}
	for _, other := range h.managedServers(pool) {
		if r := h.records[other.Name]; r != nil {
			count[r.targetVersion()]++
		}
	}
	best := ""
	for _, v := range pool.Versions {
		if slices.Contains(s.Versions, v.Name) && (best == "" || count[v.Name] < count[best]) {
			best = v.Name
		}
	}
	return best
}

// targetVersion returns the version of the pending write, or else of the record.
func (r *serverRecord) targetVersion() string {
	if r.pendingWrite != nil {
		return r.pendingWrite.Version
	}
	return r.value.Version
}

func (h *Holder) writeRecord(r *serverRecord, server string, next api.PlacementRecord, isOrder bool) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	r.callPending, r.pendingWrite, r.isOrderWrite = true, &next, isOrder
	h.recordCalls++
	h.emit(WriteObject{Key: RecordKey(server), Value: value, IfVersion: r.version})
}

// recordOrder writes a new token and version to the record of a server. The order is
// sent once the record is written.
func (h *Holder) recordOrder(r *serverRecord, server, version string) {
	next := api.PlacementRecord{Fence: r.value.Fence + 1, Version: version, Holder: h.self}
	h.writeRecord(r, server, next, true)
}

func (h *Holder) handleObjectRead(now time.Time, e ObjectRead) {
	if e.Key == PlanKey {
		h.handlePlanRead(now, e)
		return
	}
	r := h.recordByKey(e.Key)
	if r == nil {
		return
	}
	h.recordCalls--
	r.callPending = false
	var value api.PlacementRecord
	if e.Failed || !e.NotFound && json.Unmarshal(e.Value, &value) != nil {
		r.retryAt = now.Add(h.opts.StoreBackoff)
		return
	}
	r.known, r.version, r.value = true, e.Version, value
}

func (h *Holder) recordByKey(key string) *serverRecord {
	return h.records[strings.TrimPrefix(key, RecordPrefix)]
}

func (h *Holder) handleObjectWritten(now time.Time, e ObjectWritten) {
	if e.Key == PlanKey {
		h.handlePlanWritten(now, e)
		return
	}
	r := h.recordByKey(e.Key)
	if r == nil || r.pendingWrite == nil {
		return
	}
	h.recordCalls--
	next, isOrder := *r.pendingWrite, r.isOrderWrite
	r.callPending, r.pendingWrite, r.isOrderWrite = false, nil, false
	switch e.Outcome {
	case WriteSucceeded:
		r.version, r.value = e.Version, next
		if isOrder {
			h.sendOrder(now, strings.TrimPrefix(e.Key, RecordPrefix), r)
		}
	case WriteFailed:
		r.retryAt = now.Add(h.opts.StoreBackoff)
	default:
		// A conflict means that another entry took the plan over.
		r.known = false
		h.plan.mustRead = true
	}
}

// sendOrder sends a recorded order to the server's sidecar. If the server is gone or
// this entry no longer holds the plan, the order is not sent. It remains recorded and
// is repeated later with a higher token.
func (h *Holder) sendOrder(now time.Time, server string, r *serverRecord) {
	s, ok := h.servers[server]
	if !ok || !s.AcceptsOrders || !h.holdsPlan() {
		return
	}
	r.sentToken, r.sentIncarnation, r.sentAt, r.doneAt, r.orderFailed = r.value.Fence, s.Incarnation, now, time.Time{}, false
	h.emit(SendOrder{Address: s.Address, Instance: s.Instance, Order: api.PlacementOrder{
		BackendServer: server, Incarnation: s.Incarnation, Fence: r.value.Fence, Version: r.value.Version,
	}})
}

func (h *Holder) handleOrderAnswered(now time.Time, e OrderAnswered) {
	r := h.records[e.Server]
	if r == nil || e.Fence != r.sentToken {
		return
	}
	switch e.Result.Outcome {
	case api.PlacementOutcomeDone:
		r.doneAt, r.failureCount = now, 0
	case api.PlacementOutcomeFailed:
		r.orderFailed = true
		pause := h.opts.OrderBackoff << min(r.failureCount, 10) //nolint:gosec // at most 10
		r.failureCount++
		r.blockedUntil = now.Add(min(pause, maxOrderBackoff))
	case api.PlacementOutcomeRefused:
		// The engine or the record has a higher token.
		r.orderFailed = true
		r.value.Fence = max(r.value.Fence, e.Result.Highest)
		r.blockedUntil = now.Add(h.opts.StoreBackoff)
	default:
		r.orderFailed = true
		r.blockedUntil = now.Add(h.opts.StoreBackoff)
	}
}
