package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/membership"
)

const (
	// maxHeldBytes is the largest answer that is kept while a larger model is asked.
	maxHeldBytes = 64 << 10
	// maxHeldAnswers bounds the answers that one process keeps at a time, to 4 MiB together.
	maxHeldAnswers = 64
)

// errHeldTooLarge is returned for an answer larger than maxHeldBytes.
var errHeldTooLarge = eris.New("answer is too large to be kept")

// heldAnswer is an answer that was set aside for that of a larger model. A goroutine reads the
// rest of it, which ends at the latest when the context of the request ends.
type heldAnswer struct {
	attempt attempt
	// mu guards ended, which is set before the connection is given back or closed.
	mu    sync.Mutex
	ended bool
	// done is closed when reading has ended. The fields below are valid from then on.
	done   chan struct{}
	events []byte
	lastID int64
	err    error
	// ctx ends the look at the worker behind the end of the answer. It ends when the answer is dropped.
	ctx    context.Context
	cancel context.CancelFunc
}

// holdAnswer sets the answer of an attempt aside and reads the rest of it until the given time.
// release is called when reading has ended. It returns nil if too many answers are kept already or there is no memory for it;
// the caller then closes the exchange and calls release.
func (r *request) holdAnswer(a attempt, until time.Time, release func()) *heldAnswer {
	g := r.gateway
	select {
	case g.heldSlots <- struct{}{}:
	default:
		return nil
	}
	if !g.overload.holdAnswer() {
		<-g.heldSlots
		return nil
	}
	h := &heldAnswer{attempt: a, done: make(chan struct{}), lastID: -1}
	h.ctx, h.cancel = context.WithCancel(g.ctx)
	if err := a.exchange.conn.SetReadDeadline(until); err != nil {
		h.err = eris.Wrap(err, "connection is closed")
	}
	go func() {
		defer close(h.done)
		defer release()
		defer h.cancel()
		if h.err == nil && !g.protect("answer that was set aside", func() { h.err = h.read(g) }) {
			h.err = errUnexpected
		}
		h.mu.Lock()
		h.ended = true
		h.mu.Unlock()
		if h.err != nil {
			r.recordHeldFailure(&a, h.err)
			a.exchange.close()
			h.events = nil
			return
		}
		a.exchange.releaseConn(g.pool)
		g.quarantine.recordSurvival(r, a.begunAt)
		g.quarantine.recordWholeFinished(r, a.begunAt)
	}()
	return h
}

// recordHeldFailure records that a worker broke off an answer that was set aside, unless the router
// ended it.
func (r *request) recordHeldFailure(a *attempt, err error) {
	cause := framing.CauseOf(err)
	if cause == framing.Silent || errors.Is(err, errHeldTooLarge) || errors.Is(err, net.ErrClosed) {
		return
	}
	r.gateway.metrics.countUnfinished(a.worker.ID, cause)
	r.gateway.dispatcher.recordNoAnswer(a.worker, membership.Failed, time.Since(a.started))
	r.recordBreak(a, err)
}

// read reads the events of the answer until it ends.
func (h *heldAnswer) read(g *Gateway) error {
	resp := h.attempt.exchange.resp
	reader := newEventReader(resp.Body, g.buffers)
	defer reader.close()
	for count := 0; ; count++ {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) {
			ending := framing.Ending{Framing: framing.Of(resp), IsStream: true, Events: count, TailBytes: len(event)}
			// While the answer is read, no run is kept for a second one: a worker that has ended is to be known at once.
			ending.SenderLives = ending.IsUnmarked() && g.isAlive(h.ctx, h.attempt.worker, 0) && g.isAlive(h.ctx, h.attempt.worker, settleTime)
			ending.RequestUnread = ending.IsUnmarked() && !h.attempt.exchange.isRequestRead()
			switch {
			case ending.Complete():
				return nil
			case h.ctx.Err() != nil:
				return eris.Wrap(net.ErrClosed, "answer was dropped")
			}
			return ending.Why()
		}
		if err != nil {
			return eris.Wrap(err, "answer ended early")
		}
		if len(h.events)+len(event) > maxHeldBytes {
			return errHeldTooLarge
		}
		h.events = append(h.events, event...)
		if id >= 0 {
			h.lastID = id
		}
	}
}

// readUntil sets until when the answer is read, if it is still being read.
func (h *heldAnswer) readUntil(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		_ = h.attempt.exchange.conn.SetReadDeadline(until) // fails on a closed connection, where reading ends
	}
}

// state returns the state of the answer.
func (h *heldAnswer) state() forward.HeldState {
	select {
	case <-h.done:
	default:
		return forward.HeldReading
	}
	if h.err != nil {
		return forward.HeldLost
	}
	return forward.HeldComplete
}

// drop ends reading and gives the answer's place to another one.
func (h *heldAnswer) drop(g *Gateway) {
	h.cancel()
	h.readUntil(time.Unix(1, 0))
	<-h.done
	g.overload.dropAnswer()
	<-g.heldSlots
}
