package placement

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
)

// record is what the holder knows of the object of one backend server.
type record struct {
	known   bool
	version int64
	value   api.PlacementRecord
	busy    bool
	// writing is the value of the write under way, and isOrder whether an order
	// follows it.
	writing *api.PlacementRecord
	isOrder bool
	retryAt time.Time
	// sent is the order that was sent last, and sentTo the incarnation of its
	// sidecar.
	sent   int
	sentTo int
	sentAt time.Time
	// answeredAt is when the order was answered as done; zero while it is not.
	answeredAt time.Time
	failed     bool
	failures   int
	// blockedUntil is the time before which the server takes no order.
	blockedUntil time.Time
}

// pending reports whether an order is under way. An order ends with its answer
// and, if done, when the server reports the version; it is given up when its
// sidecar was replaced or its time has passed.
func (r *record) pending(now time.Time, s Server, opts HolderOptions) bool {
	switch {
	case r.writing != nil && r.isOrder:
		return true
	case r.sent == 0 || r.sent != r.value.Fence || r.failed || r.sentTo != s.Incarnation:
		return false
	case !r.answeredAt.IsZero():
		return !holdsOnly(s, r.value.Version) && now.Sub(r.answeredAt) < opts.Settle
	default:
		return now.Sub(r.sentAt) < opts.OrderTimeout
	}
}

// holdsOnly reports whether a server holds the version and nothing else; the
// empty version stands for holding nothing.
func holdsOnly(s Server, version string) bool {
	if version == "" {
		return len(s.Versions) == 0
	}
	return len(s.Versions) == 1 && s.Versions[0] == version
}

// claimed reports whether the record was written by this holder.
func (h *Holder) claimed(r *record) bool { return r != nil && r.known && r.value.Holder == h.self }

// managed returns the servers of a pool that are planned: those already in the
// plan first, at most as many as the pool has replicas.
func (h *Holder) managed(pool Pool) []Server {
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

// stepRecords reads and claims the records of the managed servers.
func (h *Holder) stepRecords(now time.Time) {
	for _, pool := range h.pools.Pools {
		for _, s := range h.managed(pool) {
			r := h.records[s.Name]
			if r == nil {
				r = &record{}
				h.records[s.Name] = r
			}
			if h.calls >= maxRecordCalls {
				return
			}
			if r.busy || now.Before(r.retryAt) || h.claimed(r) {
				continue
			}
			h.claim(r, pool, s)
		}
	}
	for name, r := range h.records {
		if _, ok := h.servers[name]; !ok && !r.busy {
			delete(h.records, name)
		}
	}
}

// claim reads a record, or writes it unchanged under this holder's name. The
// first record of a server adopts a version that it holds.
func (h *Holder) claim(r *record, pool Pool, s Server) {
	if !r.known {
		r.busy = true
		h.calls++
		h.emit(ReadObject{Key: RecordKey(s.Name)})
		return
	}
	next := r.value
	if r.version == 0 {
		next.Version = h.adopt(pool, s)
	}
	next.Holder = h.self
	h.writeRecord(r, s.Name, next, false)
}

// adopt chooses the declared version that the server holds and that fewest
// servers of the pool have in their records.
func (h *Holder) adopt(pool Pool, s Server) string {
	count := map[string]int{}
	for _, other := range h.managed(pool) {
		if r := h.records[other.Name]; r != nil {
			count[r.target()]++
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

// target is the version of the record, or of the write under way.
func (r *record) target() string {
	if r.writing != nil {
		return r.writing.Version
	}
	return r.value.Version
}

func (h *Holder) writeRecord(r *record, server string, next api.PlacementRecord, isOrder bool) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	r.busy, r.writing, r.isOrder = true, &next, isOrder
	h.calls++
	h.emit(WriteObject{Key: RecordKey(server), Value: value, IfVersion: r.version})
}

// order records a new token and version for a server; the order is sent when the
// record is written.
func (h *Holder) order(r *record, server, version string) {
	next := api.PlacementRecord{Fence: r.value.Fence + 1, Version: version, Holder: h.self}
	h.writeRecord(r, server, next, true)
}

func (h *Holder) objectRead(now time.Time, e ObjectRead) {
	if e.Key == PlanKey {
		h.planRead(now, e)
		return
	}
	r := h.recordOf(e.Key)
	if r == nil {
		return
	}
	h.calls--
	r.busy = false
	var value api.PlacementRecord
	if e.Failed || !e.NotFound && json.Unmarshal(e.Value, &value) != nil {
		r.retryAt = now.Add(h.opts.BackOff)
		return
	}
	r.known, r.version, r.value = true, e.Version, value
}

func (h *Holder) recordOf(key string) *record {
	return h.records[strings.TrimPrefix(key, RecordPrefix)]
}

func (h *Holder) objectWritten(now time.Time, e ObjectWritten) {
	if e.Key == PlanKey {
		h.planWritten(now, e)
		return
	}
	r := h.recordOf(e.Key)
	if r == nil || r.writing == nil {
		return
	}
	h.calls--
	next, isOrder := *r.writing, r.isOrder
	r.busy, r.writing, r.isOrder = false, nil, false
	switch e.Outcome {
	case Written:
		r.version, r.value = e.Version, next
		if isOrder {
			h.send(now, strings.TrimPrefix(e.Key, RecordPrefix), r)
		}
	case Failed:
		r.retryAt = now.Add(h.opts.BackOff)
	default:
		// A conflict means that another entry took the plan.
		r.known = false
		h.plan.mustRead = true
	}
}

// send passes a recorded order to the server's sidecar. An order whose server is
// gone, or whose holder has lost the plan meanwhile, stays recorded and is given
// anew with a higher token.
func (h *Holder) send(now time.Time, server string, r *record) {
	s, ok := h.servers[server]
	if !ok || !s.Orderable || !h.holds() {
		return
	}
	r.sent, r.sentTo, r.sentAt, r.answeredAt, r.failed = r.value.Fence, s.Incarnation, now, time.Time{}, false
	h.emit(SendOrder{Address: s.Address, Instance: s.Instance, Order: api.PlacementOrder{
		BackendServer: server, Incarnation: s.Incarnation, Fence: r.value.Fence, Version: r.value.Version,
	}})
}

func (h *Holder) orderAnswered(now time.Time, e OrderAnswered) {
	r := h.records[e.Server]
	if r == nil || e.Fence != r.sent {
		return
	}
	switch e.Result.Outcome {
	case api.PlacementOutcomeDone:
		r.answeredAt, r.failures = now, 0
	case api.PlacementOutcomeFailed:
		r.failed = true
		pause := h.opts.FailBackOff << min(r.failures, 10) //nolint:gosec // at most 10
		r.failures++
		r.blockedUntil = now.Add(min(pause, maxFailBackOff))
	case api.PlacementOutcomeRefused:
		// The engine or the record knows a higher token.
		r.failed = true
		r.value.Fence = max(r.value.Fence, e.Result.Highest)
		r.blockedUntil = now.Add(h.opts.BackOff)
	default:
		r.failed = true
		r.blockedUntil = now.Add(h.opts.BackOff)
	}
}
