package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/quarantine"
)

const (
	// endProbeTimeout bounds the connection attempt that shows whether a worker has ended. One whose
	// machine does not answer at all is not taken for ended.
	endProbeTimeout = 100 * time.Millisecond
	// endRecheckDelay is the time after the break of an answer in which its worker may end. Workers that
	// crash cut connections up to 40 ms before they refuse new ones.
	endRecheckDelay = 120 * time.Millisecond
	// closeProbeTime is the time in which a socket behind which no worker is left closes a new connection.
	closeProbeTime = 50 * time.Millisecond
	// maxRechecksPerWorker bounds the broken attempts of a worker that wait for a sign of its end.
	maxRechecksPerWorker = 64
	// maxUnresolvedTime is how long broken attempts wait for the list of workers to show an end. The entry of a
	// worker that crashes is removed after three intervals of its heartbeat.
	maxUnresolvedTime = 10 * time.Second
	// clockSlack is by how much the times of one attempt on two clocks may differ.
	clockSlack = time.Millisecond
	// maxKnownEnds bounds the ended workers that are remembered.
	maxKnownEnds = 1024
	// maxUnresolved bounds the broken attempts that wait for the list of workers, and maxKeptIDBytes the ID that is
	// kept of each of their requests: both stay in memory after the requests.
	maxUnresolved  = 256
	maxKeptIDBytes = 128
)

// endSign is what shows that a worker has ended. The list is closed.
type endSign string

const (
	// noEnd means that nothing shows an end.
	noEnd endSign = ""
	// refusesConnections and closesConnections are what the address of the worker does. A worker with too many
	// connections resets new ones, which shows nothing.
	refusesConnections endSign = "address_refuses"
	closesConnections  endSign = "address_closes"
	// startedAgain means that the entry of the worker is that of a later start.
	startedAgain endSign = "started_again"
	// entryRemoved means that the entry was removed soon after answers broke off.
	entryRemoved endSign = "entry_removed"
	// unreachable means that the entry was removed and that the address does not answer.
	unreachable endSign = "entry_removed_address_silent"
)

// endFinder finds out which workers have ended. The lock of the quarantineGuard protects it.
type endFinder struct {
	// known holds the workers that are known to have ended.
	known *lru.LRU[string, knownEnd]
	// rechecks holds the broken attempts whose workers are looked at again, and unresolved those whose workers
	// were alive then, by worker.
	rechecks, unresolved map[string][]endedAttempt
	// unresolvedCount is the number of unresolved attempts of all workers.
	unresolvedCount int
	runs            map[string]*workerRun
	// changed holds the runs that the list of workers shows to be over.
	changed []changedRun
}

// knownEnd is how a worker showed that it had ended, and about when.
type knownEnd struct {
	sign endSign
	at   time.Time
}

// changedRun is a run of a worker whose entry shows that it is over, or that it may be.
type changedRun struct {
	run  *workerRun
	sign endSign
}

func newEndFinder() endFinder {
	known, err := lru.NewLRU[string, knownEnd](maxKnownEnds, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return endFinder{known: known, rechecks: map[string][]endedAttempt{}, unresolved: map[string][]endedAttempt{}, runs: map[string]*workerRun{}}
}

// compare finds the runs of workers that the list of workers shows to be over: the ID has started again, or has no
// entry any more. find returns a worker that is listed, also one that leaves.
func (e *endFinder) compare(find func(id string) (forward.Worker, bool)) {
	for key, run := range e.runs {
		sign := signOfEntry(run.worker, find)
		if sign == noEnd {
			if listed, ok := find(run.worker.ID); ok && listed.Draining {
				e.takeUnresolved(key) // its end is expected
			}
			continue
		}
		if len(run.conns) > 0 || len(e.unresolved[key]) > 0 {
			e.changed = append(e.changed, changedRun{run, sign})
		}
		delete(e.runs, key)
	}
}

// signOfEntry returns what the list of workers says of a run of a worker.
func signOfEntry(w forward.Worker, find func(id string) (forward.Worker, bool)) endSign {
	listed, ok := find(w.ID)
	switch {
	case !ok:
		return entryRemoved
	case listed.StartUnixMs > w.StartUnixMs:
		return startedAgain
	}
	return noEnd
}

// keepUnresolved keeps broken attempts, but not their requests, for the case that the list of workers shows an end later.
func (e *endFinder) keepUnresolved(key string, attempts []endedAttempt) {
	for _, a := range attempts[:min(len(attempts), maxUnresolved-e.unresolvedCount)] {
		a.requestID = strings.Clone(a.requestID[:min(len(a.requestID), maxKeptIDBytes)])
		a.request = nil
		e.unresolved[key] = append(e.unresolved[key], a)
		e.unresolvedCount++
	}
}

// takeUnresolved removes and returns the attempts of a worker that wait for the list of workers.
func (e *endFinder) takeUnresolved(key string) []endedAttempt {
	out := e.unresolved[key]
	delete(e.unresolved, key)
	e.unresolvedCount -= len(out)
	return out
}

// expire drops the attempts that have waited too long for an end.
func (e *endFinder) expire() {
	for key, attempts := range e.unresolved {
		if time.Since(attempts[0].brokeAt) > maxUnresolvedTime {
			e.takeUnresolved(key)
		}
	}
}

// endChangedRuns records the ends of workers that the list of workers shows, and breaks off what is still awaited
// from them. A worker whose entry was removed may go on serving; its connections are left alone unless its address
// does not answer.
func (g *Gateway) endChangedRuns() {
	q := g.quarantine
	q.mu.Lock()
	changed := q.ends.changed
	q.ends.changed = nil
	q.mu.Unlock()
	for _, c := range changed {
		key := workerKey(c.run.worker)
		q.mu.Lock()
		broken := q.ends.takeUnresolved(key)
		q.mu.Unlock()
		if len(broken) > 0 {
			q.recordKnownEnd(c.run.worker, knownEnd{c.sign, broken[0].brokeAt})
		}
		for _, e := range broken {
			q.recordEnd(e, c.sign)
		}
		if c.sign == startedAgain {
			q.endSilentRun(c.run, startedAgain)
			continue
		}
		g.goroutines.Go(func() {
			g.protect("check of a worker", func() {
				if g.isUnreachable(c.run.worker) {
					q.endSilentRun(c.run, unreachable)
				}
			})
		})
	}
}

// isUnreachable reports whether the address of a worker refuses or does not answer two connection attempts.
func (g *Gateway) isUnreachable(w forward.Worker) bool {
	dialer := net.Dialer{Timeout: endProbeTimeout}
	for range 2 {
		c, err := dialer.DialContext(g.ctx, "tcp", w.Address)
		if err == nil {
			_ = c.Close() // nothing was written
			return false
		}
	}
	return g.ctx.Err() == nil
}

// recordEnd records that a worker ended under a request, and logs it.
func (q *quarantineGuard) recordEnd(e endedAttempt, sign endSign) {
	if end := q.knownEnd(e.worker); end.sign != noEnd && e.startedAt.After(end.at.Add(clockSlack)) {
		q.logUncounted(e, afterEnd)
		return
	}
	if e.weight >= sharedWeight && e.request != nil {
		e.request.endedWorkers.Add(1)
	}
	q.mu.Lock()
	verdicts := q.tracker.RecordEnd(sinceBoot(), quarantine.WorkerEnd{
		Ago: time.Since(e.brokeAt), Service: e.worker.Service, Version: e.worker.Version, Worker: workerKey(e.worker), IDs: e.parts, Whole: e.whole,
		Weight: e.weight, WholeWeight: e.wholeWeight, OnTrial: e.onTrial,
	})
	q.mu.Unlock()
	q.log.Info("worker has ended under a request", append(q.fieldsOf(e), zap.Float64("weight", e.weight), zap.Float64("whole_weight", e.wholeWeight), zap.String("sign", string(sign)))...)
	q.metrics.countWorkerEnd(e.worker.Service)
	q.apply(verdicts, "workers ended under requests with it")
}

// logUncounted writes why a broken answer does not count as the end of its worker.
func (q *quarantineGuard) logUncounted(e endedAttempt, reason uncountedReason) {
	q.metrics.countUncountedBreak(string(reason))
	q.log.Info("answer broke off, which counts as no end of a worker", append(q.fieldsOf(e), zap.String("reason", string(reason)))...)
}

// fieldsOf returns the fields of a log line on a broken answer.
func (q *quarantineGuard) fieldsOf(e endedAttempt) []zap.Field {
	logged := min(len(e.parts), maxLoggedParts)
	q.mu.Lock()
	evidence := make([]quarantine.Summary, 0, logged+1)
	for _, id := range append(e.parts[:logged:logged], e.whole) {
		evidence = append(evidence, q.tracker.Summarize(sinceBoot(), quarantine.Part{Service: e.worker.Service, ID: id}))
	}
	q.mu.Unlock()
	sinceBegin := int64(-1)
	if !e.begunAt.IsZero() {
		sinceBegin = e.brokeAt.Sub(e.begunAt).Milliseconds()
	}
	return []zap.Field{
		zap.String("worker", e.worker.ID), zap.String("service", e.worker.Service), zap.String("version", e.worker.Version),
		zap.String("request", e.requestID), zap.String("customer", e.customer), zap.Any("evidence", evidence),
		zap.Bool("was_alone", e.wasAlone), zap.Bool("on_trial", e.onTrial), zap.Int64("since_begin_ms", sinceBegin),
		zap.Int64("since_break_ms", time.Since(e.brokeAt).Milliseconds()),
	}
}

// recheckEnd looks later whether the worker of a broken attempt has ended after all, and records that.
// Breaks of one worker wait for the same look.
func (g *Gateway) recheckEnd(e endedAttempt) {
	q, key := g.quarantine, workerKey(e.worker)
	q.mu.Lock()
	waiting, isRunning := q.ends.rechecks[key]
	if len(waiting) < maxRechecksPerWorker {
		q.ends.rechecks[key] = append(waiting, e)
		e.request.unsettledBreaks.Add(1)
	}
	q.mu.Unlock()
	if isRunning {
		return
	}
	g.goroutines.Go(func() { g.protect("check of a worker", func() { g.runRecheck(e.worker, key) }) })
}

// runRecheck waits and then records the broken attempts of a worker if it has ended.
func (g *Gateway) runRecheck(w forward.Worker, key string) {
	timer := time.NewTimer(endRecheckDelay)
	defer timer.Stop()
	select {
	case <-g.ctx.Done():
	case <-timer.C:
	}
	q, sign := g.quarantine, noEnd
	if g.ctx.Err() == nil {
		sign = cmp.Or(q.knownEnd(w).sign, probeAddress(g.ctx, w.Address, closeProbeTime), signOfEntry(w, g.dispatcher.findWorker))
	}
	q.mu.Lock()
	waiting := q.ends.rechecks[key]
	delete(q.ends.rechecks, key)
	if sign == noEnd {
		q.ends.keepUnresolved(key, waiting)
	}
	q.mu.Unlock()
	if sign == noEnd {
		for _, e := range waiting {
			q.logUncounted(e, workerAccepts)
			e.request.unsettledBreaks.Add(-1)
		}
		return
	}
	q.recordKnownEnd(w, knownEnd{sign, waiting[0].brokeAt})
	for _, e := range waiting {
		q.recordEnd(e, sign)
		e.request.unsettledBreaks.Add(-1)
	}
}

// workerKey identifies one run of a worker.
func workerKey(w forward.Worker) string { return w.ID + "@" + strconv.FormatInt(w.StartUnixMs, 36) }

// knownEnd returns how a worker showed that it had ended. Its sign is noEnd if it has not, or if it is back without
// stating a later start.
func (q *quarantineGuard) knownEnd(w forward.Worker) knownEnd {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := workerKey(w)
	end, ok := q.ends.known.Peek(key)
	if run := q.ends.runs[key]; ok && run != nil && run.livesAfter(end.at) {
		q.ends.known.Remove(key)
		return knownEnd{}
	}
	return end
}

// recordKnownEnd remembers that a worker ended at about a time. What is sent to its address later cannot have ended it.
func (q *quarantineGuard) recordKnownEnd(w forward.Worker, end knownEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known, ok := q.ends.known.Peek(workerKey(w)); !ok || end.at.Before(known.at) {
		q.ends.known.Add(workerKey(w), end)
	}
}

// probeAddress opens a connection to an address and waits whether it is closed.
func probeAddress(ctx context.Context, address string, wait time.Duration) endSign {
	dialer := net.Dialer{Timeout: endProbeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return refusesConnections
		}
		return noEnd
	}
	defer func() { _ = c.Close() }() // nothing was written
	if wait == 0 || c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return noEnd
	}
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
		return closesConnections
	}
	return noEnd
}

// errWorkerEnded is the error of reading from a worker that is known to have ended.
var errWorkerEnded = eris.Wrap(io.ErrUnexpectedEOF, "worker has ended")
