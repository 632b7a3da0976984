package gateway

import (
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// workerRun is one run of a worker with the connections on which its answers are awaited. The lock of the
// quarantineGuard protects conns.
type workerRun struct {
	worker forward.Worker
	conns  map[*conn]struct{}
	// lastReadAt is when bytes of the worker were last read, as time since boot: it lived then.
	lastReadAt atomic.Int64
	// firstSentAt is the start of the first attempt since then.
	firstSentAt time.Duration
}

// beginWait records that the answer of an attempt is awaited. The caller holds the lock.
func (q *quarantineGuard) beginWait(a *attempt) {
	q.ends.open(a)
	c := a.exchange.conn
	a.exchange.onEnd = func() { q.endWait(c) }
}

func (e *endFinder) open(a *attempt) {
	key, c := workerKey(a.worker), a.exchange.conn
	run := e.runs[key]
	if run == nil {
		run = &workerRun{worker: a.worker, conns: map[*conn]struct{}{}}
		e.runs[key] = run
	}
	run.conns[c] = struct{}{}
	if run.firstSentAt <= time.Duration(run.lastReadAt.Load()) {
		run.firstSentAt = a.startedSinceBoot
	}
	c.run = run
}

// endWait records that no answer is awaited on a connection any more.
func (q *quarantineGuard) endWait(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.run != nil {
		delete(c.run.conns, c)
		c.run = nil
	}
}

// endSilentRun records the end of a run of a worker that has closed no connection, and breaks off the answers that are
// awaited from it.
func (q *quarantineGuard) endSilentRun(run *workerRun, sign endSign) {
	q.recordKnownEnd(run.worker, knownEnd{sign, q.endOf(run, true)})
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range run.conns {
		c.workerEnded.Store(true)
		_ = c.Close() // fails on a closed connection
	}
}

// lateBytesTime is how long after the end of a worker its last bytes may be read.
const lateBytesTime = time.Second

// livesAfter reports whether bytes of the worker were read that it cannot have sent before an end at a time.
func (r *workerRun) livesAfter(at time.Time) bool {
	since := sinceBoot() - time.Duration(r.lastReadAt.Load())
	return time.Now().Add(-since).After(at.Add(lateBytesTime))
}

// recordRead records that bytes of the worker were read.
func (c *conn) recordRead() {
	if c.run != nil {
		c.run.lastReadAt.Store(int64(sinceBoot()))
	}
}

// endOf returns about when a silent worker ended: when bytes of it were last read or, for attempts that wait for a
// header, when the first one since then was sent, which may have ended it.
func (q *quarantineGuard) endOf(run *workerRun, isWaiting bool) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := time.Duration(run.lastReadAt.Load())
	if isWaiting {
		at = max(at, run.firstSentAt)
	}
	return time.Now().Add(at - sinceBoot())
}
