package sidecar

import (
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
)

// backendLoad updates the state of this instance from the backend server's own
// report. A few failed reads are tolerated, since one lost report says little.
func (c *Core) backendLoad(now time.Time, e BackendLoad) []Effect {
	if e.Err != nil {
		c.loadMiss++
		return c.refreshState()
	}
	c.loadMiss = 0
	c.load = e.Load
	c.loadAt = now
	return c.refreshState()
}

// refreshState derives the state from what is known and publishes a change.
func (c *Core) refreshState() []Effect {
	next := c.self
	next.State = c.state()
	next.Versions = c.open()
	if next.State == c.self.State && slices.Equal(next.Versions, c.self.Versions) {
		return nil
	}
	next.Sequence++
	c.self = next
	return []Effect{MemberChanged{Member: c.self}}
}

func (c *Core) state() api.MemberState {
	switch {
	case c.drain != drainNone:
		return api.MemberStateLeaving
	case c.snapshot == nil || c.loadAt.IsZero() || c.unconfirmed:
		return api.MemberStateBooting
	case c.loadMiss >= loadReportLimit:
		return api.MemberStateBooting
	case c.cfg.Backend.Kind == api.BackendKindEngine && len(c.open()) == 0:
		return api.MemberStateBooting
	default:
		return api.MemberStateReady
	}
}

// loadReport is the load as this process knows it: its own queue, and the
// backend server's lagging figures.
func (c *Core) loadReport() *api.LoadReport {
	return &api.LoadReport{
		Running: c.running, Queued: c.queue.Len(), Slots: c.cfg.Backend.Slots,
		KVUsed: c.load.KVUsed, FirstTokenMs: c.load.FirstTokenMs, TokenMs: c.load.TokenMs, AgeMs: c.load.AgeMs,
		Ready: c.self.State == api.MemberStateReady, Alive: true, Leaving: c.drain != drainNone,
		Versions: c.self.Versions,
	}
}

// Load returns the present load report.
func (c *Core) Load() api.LoadReport { return *c.loadReport() }

func (c *Core) drainStarted() []Effect {
	if c.drain != drainNone {
		return nil
	}
	c.drain = drainWaiting
	return append(c.refreshState(), AnnounceLeaving{})
}

// checkDrained reports once that nothing runs and no usage record is unwritten.
func (c *Core) checkDrained() []Effect {
	if c.drain != drainWaiting || len(c.attempts)+len(c.waiting) > 0 || c.usage.Records() > 0 {
		return nil
	}
	c.drain = drainDone
	return []Effect{Drained{}}
}

// usageHeld keeps records for an entry of another failure domain.
func (c *Core) usageHeld(now time.Time, e UsageHeld) []Effect {
	for _, record := range e.Records {
		if err := c.usage.Reserve(); err != nil {
			return []Effect{HoldTaken{ID: e.ID, Err: err}}
		}
		if err := c.usage.Add(now, record); err != nil {
			c.usage.Cancel()
			return []Effect{HoldTaken{ID: e.ID, Err: err}}
		}
	}
	return []Effect{HoldTaken{ID: e.ID}}
}

func (c *Core) flushUsage(now time.Time) []Effect {
	writes := c.usage.Flush(now)
	if c.drain != drainNone {
		writes = append(writes, c.usage.Drain(now)...)
	}
	out := make([]Effect, 0, len(writes))
	for _, w := range writes {
		out = append(out, WriteUsage{Key: w.ObjectKey, Value: w.Value})
	}
	return out
}

// recentSet remembers the last size values that were added.
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
