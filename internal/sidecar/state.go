package sidecar

import (
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

// backendLoad updates the state of this instance from a load report of the backend
// server. It tolerates fewer than maxFailedLoadReads consecutive failures, since a
// single lost report does not mean that the server is down.
func (c *Core) backendLoad(now time.Time, e BackendLoad) []Effect {
	if e.Err != nil {
		c.failedLoadReads++
		return c.refreshState()
	}
	c.failedLoadReads = 0
	c.load = e.Load
	c.loadReadAt = now
	return c.refreshState()
}

// refreshState recomputes the state and the served versions, and publishes the member
// record when one of them has changed.
func (c *Core) refreshState() []Effect {
	next := c.self
	next.State = c.memberState()
	next.Versions = c.openVersions()
	if next.State == c.self.State && slices.Equal(next.Versions, c.self.Versions) {
		return nil
	}
	next.Sequence++
	c.self = next
	return []Effect{MemberChanged{Member: c.self}}
}

func (c *Core) memberState() api.MemberState {
	switch {
	case c.drain != drainNone:
		return api.MemberStateLeaving
	case c.snapshot == nil || c.loadReadAt.IsZero() || c.manifestUnconfirmed:
		return api.MemberStateBooting
	case c.failedLoadReads >= maxFailedLoadReads:
		return api.MemberStateBooting
	case c.cfg.Backend.Kind == api.BackendKindEngine && len(c.openVersions()) == 0:
		return api.MemberStateBooting
	default:
		return api.MemberStateReady
	}
}

// loadReport combines the current queue of this process with the latest load report of
// the backend server, which lags.
func (c *Core) loadReport() *api.LoadReport {
	return &api.LoadReport{
		Running: c.runningAttempts, Queued: c.queue.Len(), Slots: c.cfg.Backend.Slots,
		KVUsed: c.load.KVUsed, FirstTokenMs: c.load.FirstTokenMs, TokenMs: c.load.TokenMs, AgeMs: c.load.AgeMs,
		Ready: c.self.State == api.MemberStateReady, Alive: true, Leaving: c.drain != drainNone,
		Versions: c.self.Versions,
	}
}

// Load returns the current load report, as sent with results and probe answers.
func (c *Core) Load() api.LoadReport { return *c.loadReport() }

// leaveNoticeTime is the least time between the notice that this instance leaves and its
// end. An entry may send an attempt before it handles the notice, tens of milliseconds later
// beside heavy load; it then gets a refusal instead of a closed link.
const leaveNoticeTime = 300 * time.Millisecond

func (c *Core) drainStarted(now time.Time) []Effect {
	if c.drain != drainNone {
		return nil
	}
	c.drain, c.drainStartedAt = drainWaiting, now
	return append(c.refreshState(), AnnounceLeaving{})
}

// checkDrained returns Drained once, when leaveNoticeTime has passed, no attempt is left and
// no usage record is unwritten.
func (c *Core) checkDrained(now time.Time) []Effect {
	if c.drain != drainWaiting || now.Sub(c.drainStartedAt) < leaveNoticeTime || len(c.attempts)+len(c.awaitingConfig) > 0 || c.unconfirmedUsage.RecordCount() > 0 {
		return nil
	}
	c.drain = drainDone
	return []Effect{Drained{}}
}

// storeUsageReplica keeps copies of usage records for an entry of another failure
// domain: all of them, or none if the call fails.
func (c *Core) storeUsageReplica(now time.Time, e UsageReplicaReceived) []Effect {
	err := c.unconfirmedUsage.AddAll(now, e.Records)
	return []Effect{UsageReplicaStored{ID: e.ID, Err: err}}
}

// flushUsage returns the writes of usage records that are due; while draining, of all
// records.
func (c *Core) flushUsage(now time.Time) []Effect {
	writes := c.unconfirmedUsage.Flush(now)
	if c.drain != drainNone {
		writes = append(writes, c.unconfirmedUsage.Drain(now)...)
	}
	out := make([]Effect, 0, len(writes))
	for _, w := range writes {
		out = append(out, WriteUsage{ObjectKey: w.ObjectKey, Value: w.Value})
	}
	return out
}

// recentSet holds the values that were added last, up to a fixed number. It is a ring
// buffer with an index.
type recentSet[K comparable] struct {
	index map[K]int
	order []K
	next  int
}

func newRecentSet[K comparable](size int) *recentSet[K] {
	return &recentSet[K]{index: make(map[K]int), order: make([]K, 0, size)}
}

func (r *recentSet[K]) has(k K) bool {
	_, ok := r.index[k]
	return ok
}

func (r *recentSet[K]) add(k K) {
	if r.has(k) {
		return
	}
	if len(r.order) < cap(r.order) {
		r.index[k] = len(r.order)
		r.order = append(r.order, k)
		return
	}
	if old := r.order[r.next]; r.index[old] == r.next {
		delete(r.index, old)
	}
	r.index[k] = r.next
	r.order[r.next] = k
	r.next = (r.next + 1) % len(r.order)
}

func (r *recentSet[K]) remove(k K) { delete(r.index, k) }
