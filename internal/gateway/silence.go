package gateway

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
)

// A silent worker is not given up: it may be sound, and a connection that closes does not make every worker
// stop. Its silence only makes other requests avoid it, and a request that may run twice asks a second worker.

// silenceWatch waits for the answer of an attempt beyond the time at which its next bytes are overdue.
type silenceWatch struct {
	request *request
	attempt *attempt
	// overdue returns when the next bytes are overdue.
	overdue func() time.Time
	// renews is set if each byte renews that time, and received is the number of bytes at the last look.
	renews   bool
	received int64
}

// watchSilence makes reads from the worker of an attempt wait beyond overdue, until the deadline of the request.
// With renews, an answer is only silent if no byte has come.
func (r *request) watchSilence(ctx context.Context, a *attempt, overdue func() time.Time, renews bool) {
	w := &silenceWatch{request: r, attempt: a, overdue: overdue, renews: renews, received: a.exchange.conn.received}
	a.exchange.conn.onReadTimeout = func() time.Time { return w.handleSilence(ctx) }
	_ = a.exchange.conn.SetReadDeadline(overdue()) // if the connection is closed, the read fails
}

// handleSilence is called when the answer is overdue. It returns until when to wait, or the zero time to end the
// attempt.
func (w *silenceWatch) handleSilence(ctx context.Context) time.Time {
	r := w.request
	// The reader of a header may read on after an error.
	if r.remaining() <= 0 || r.hedged != nil || r.isOverdue() && !w.attempt.exchange.hasBody() {
		return time.Time{}
	}
	if received := w.attempt.exchange.conn.received; w.renews && received > w.received {
		w.received = received
		r.endHedge(ctx)
		return w.overdue()
	}
	r.recordSilence(w.attempt)
	if r.hedge == nil {
		if r.hedge = r.startHedge(ctx); r.hedge == nil {
			return r.nextLook(w.overdue)
		}
	}
	if !r.hedge.hasEnded() {
		return earlier(time.Now().Add(hedgePoll), r.deadline)
	}
	if r.settleHedge(ctx) {
		return time.Time{}
	}
	return r.nextLook(w.overdue)
}

// nextLook returns when a silent attempt is looked at again. A stream has nothing to wait for but its worker; a
// request that may be hedged may find room or a retry later.
func (r *request) nextLook(overdue func() time.Time) time.Time {
	if r.route.Kind != forward.Safe {
		return r.beforeDeadline(r.deadline)
	}
	return latest(overdue(), earlier(time.Now().Add(minLookInterval), r.deadline))
}

// minLookInterval bounds how often a silent attempt is looked at near its deadline.
const minLookInterval = 20 * time.Millisecond

// awaitHeader reads the header of the response.
func (r *request) awaitHeader(ctx context.Context, a *attempt) error {
	r.watchSilence(ctx, a, r.headerOverdue, false)
	defer r.awaitUntilDeadline(a.exchange.conn)
	return a.exchange.readHeader(r.gateway.headers, r.inbound.method, r.inbound.meta.RequestID)
}

// recordSilence makes the choice of workers avoid the silent worker for some seconds, once an attempt. It does not
// count as a failure: a sound worker that is ejected takes its room with it.
func (r *request) recordSilence(a *attempt) {
	if a.wasSilent {
		return
	}
	a.wasSilent = true
	r.gateway.metrics.silentAnswers.Inc()
	r.gateway.dispatcher.recordSilence(a.worker)
}

// recordSilence records that the answer of a worker is overdue.
func (d *dispatcher) recordSilence(w forward.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordFailure(sinceBoot(), w.ID)
}

// headerOverdue returns when the header of a response is overdue.
func (r *request) headerOverdue() time.Time {
	timeout := r.gateway.dispatcher.headerTimeout(r.route, r.modelIndex > 0, r.inbound.meta.PromptTokens)
	return r.beforeDeadline(time.Now().Add(timeout))
}

// pieceOverdue returns when the next part of an answer is overdue.
func (r *request) pieceOverdue() time.Time {
	timeout := max(time.Duration(pieceTimeoutFactor*float64(r.route.GapTarget)), minPieceTimeout)
	timeout = min(timeout, max(time.Duration(pieceTimeoutShare*float64(r.remaining())), r.route.GapTarget))
	return r.beforeDeadline(time.Now().Add(timeout))
}

// beforeDeadline returns t, or the deadline of the request or of a larger model if that is earlier.
func (r *request) beforeDeadline(t time.Time) time.Time {
	t = earlier(t, r.deadline)
	if r.fallback != nil && r.modelIndex > 0 && !r.headerSent && time.Now().Before(r.fallbackAt) {
		t = earlier(t, r.fallbackAt)
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// pieceTimeoutFactor is the ratio of the wait for a part of an answer, after which it is overdue, to the
	// allowed pause between two events. A preempted request pauses for about one allowed pause.
	pieceTimeoutFactor = 3.0
	// minPieceTimeout is the shortest wait where the allowed pause is short or unknown.
	minPieceTimeout = 1500 * time.Millisecond
	// pieceTimeoutShare bounds the wait to a part of the remaining time, so that another worker can still answer
	// in time.
	pieceTimeoutShare = 0.4
)

// isReadTimeout reports whether a read deadline has passed. A connection whose peer does not acknowledge what
// was sent fails with another error that counts as a timeout too: its worker cannot be reached.
func isReadTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
