package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/quarantine"
)

const (
	// condemnationWatchTimeout is the longest wait of a watch on condemnations. They reach other
	// gateways by the exchange with relays first, so that a late watch costs little.
	condemnationWatchTimeout = 30 * time.Second
	// condemnationBackoff is the pause after a failed call. The other topics call a store that is away
	// often enough, and the first answer to one of them ends it.
	condemnationBackoff = 10 * time.Second
	// relayWriteDelay and otherWriteDelay are the longest delays, after which relays and other gateways
	// write a condemnation that the store lacks. Those that come later find it there.
	relayWriteDelay = 300 * time.Millisecond
	otherWriteDelay = 1500 * time.Millisecond
	// writeRetryInterval is the pause after a failed write.
	writeRetryInterval = 2 * time.Second
	// sameVerdictTime is by how much the ends of two equal verdicts may differ.
	sameVerdictTime = 30 * time.Second
	// maxConcurrentWrites bounds the writes of condemnations at a time.
	maxConcurrentWrites = 4
)

// condemnationWriter keeps the verdicts of a quarantineGuard in the store, where they outlast all
// gateways. The lock of the guard protects it.
type condemnationWriter struct {
	isRelay bool
	// listed reports whether the condemnations in the store are known.
	listed bool
	stored map[quarantine.Part]forward.Condemnation
	// dueAt is when a verdict that the store lacks is written.
	dueAt  map[quarantine.Part]time.Time
	active int
}

func newCondemnationWriter(isRelay bool) *condemnationWriter {
	return &condemnationWriter{isRelay: isRelay, stored: map[quarantine.Part]forward.Condemnation{}, dueAt: map[quarantine.Part]time.Time{}}
}

// firstDelay returns when this gateway writes a verdict that the store lacks.
func (w *condemnationWriter) firstDelay() time.Duration {
	if w.isRelay {
		return time.Duration(rand.Float64() * float64(relayWriteDelay)) //nolint:gosec // spreads writes
	}
	return relayWriteDelay + time.Duration(rand.Float64()*float64(otherWriteDelay)) //nolint:gosec // spreads writes
}

// condemnationWrite is a verdict to record in the store, or a condemnation to remove.
type condemnationWrite struct {
	condemnation forward.Condemnation
	remove       bool
}

// needsWrite reports whether the store lacks a verdict. Gateways that come to the same verdict at the
// same time give it different sequences, one of which is enough.
func (w *condemnationWriter) needsWrite(v *quarantine.Verdict, until time.Time) bool {
	known, ok := w.stored[v.Part]
	if !ok {
		return v.Condemned
	}
	isSame := v.Condemned == known.Condemned && v.ByOperator == known.ByOperator && v.Tries <= known.Tries
	return v.Sequence > known.Sequence && (!isSame || until.Sub(time.UnixMilli(known.UntilUnixMs)).Abs() > sameVerdictTime)
}

// applyStore applies an update of the condemnations in the store.
func (q *quarantineGuard) applyStore(u *forward.Update) {
	now, wall := sinceBoot(), time.Now()
	q.mu.Lock()
	if u.Full {
		clear(q.writer.stored)
		q.writer.listed = true
	}
	var records []quarantine.Record
	for i := range u.Condemnations {
		c := &u.Condemnations[i]
		part := quarantine.Part{Service: c.Service, ID: c.Part}
		if c.Removed {
			delete(q.writer.stored, part)
			continue
		}
		q.writer.stored[part] = c.Condemnation
		records = append(records, quarantine.Record{Part: part, Verdict: &quarantine.Verdict{
			Part: part, Sequence: c.Sequence, Condemned: c.Condemned, Version: c.Version, Crashes: c.EndedWorkers, Tries: c.Tries, ByOperator: c.ByOperator,
			Until: now + time.UnixMilli(c.UntilUnixMs).Sub(wall),
		}})
	}
	verdicts := q.tracker.Merge(now, quarantine.NoSource, records)
	q.mu.Unlock()
	q.apply(verdicts, "recorded in the store")
}

// dueWrites returns the writes that are due and counts them as active.
func (q *quarantineGuard) dueWrites() []condemnationWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.writer
	if !w.listed {
		return nil
	}
	now, since := time.Now(), sinceBoot()
	var out []condemnationWrite
	add := func(part quarantine.Part, write condemnationWrite) {
		due, ok := w.dueAt[part]
		if !ok {
			due = now.Add(w.firstDelay())
			w.dueAt[part] = due
		}
		if now.Before(due) || w.active >= maxConcurrentWrites {
			return
		}
		w.dueAt[part] = now.Add(writeRetryInterval)
		w.active++
		out = append(out, write)
	}
	for _, v := range q.tracker.Latest() {
		until := now.Add(v.Until - since)
		if !w.needsWrite(&v, until) {
			delete(w.dueAt, v.Part)
			continue
		}
		add(v.Part, condemnationWrite{condemnation: forward.Condemnation{
			Service: v.Part.Service, Part: v.Part.ID, Sequence: v.Sequence, Condemned: v.Condemned, Version: v.Version, EndedWorkers: v.Crashes, Tries: v.Tries,
			ByOperator: v.ByOperator, UntilUnixMs: until.UnixMilli(),
		}})
	}
	for part, c := range w.stored {
		if now.Sub(time.UnixMilli(c.UntilUnixMs)) > quarantine.VerdictTTL {
			add(part, condemnationWrite{condemnation: c, remove: true})
		}
	}
	return out
}

// recordCondemnation writes a verdict to the store, or removes an old one.
func (g *Gateway) recordCondemnation(w condemnationWrite) {
	call, message := g.store.RecordCondemnation, "condemnation is recorded in the store"
	if w.remove {
		call, message = g.store.RemoveCondemnation, "old condemnation is removed from the store"
	}
	err := call(g.ctx, w.condemnation)
	g.metrics.countStoreCall("condemnation", false, err == nil)
	g.quarantine.writeEnded(w, err)
	fields := []zap.Field{zap.String("service", w.condemnation.Service), zap.String("part", formatPart(w.condemnation.Part)), zap.Int64("sequence", w.condemnation.Sequence)}
	if err != nil {
		g.quarantine.log.Info("condemnation cannot be written to the store and is written again later", append(fields, zap.Error(err))...)
		return
	}
	g.quarantine.log.Info(message, fields...)
}

// writeEnded records the end of a write.
func (q *quarantineGuard) writeEnded(w condemnationWrite, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writer.active--
	if err != nil {
		return
	}
	part := quarantine.Part{Service: w.condemnation.Service, ID: w.condemnation.Part}
	delete(q.writer.dueAt, part)
	if w.remove {
		delete(q.writer.stored, part)
		return
	}
	q.writer.stored[part] = w.condemnation
}
