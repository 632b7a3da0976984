package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/membership"
)

// hedge is an attempt at a second worker while the first one, which is silent, is kept. The first one is given up
// once a good answer of the second one is there, and the second one when it refuses, fails or has not answered
// within forward.HedgeTime.
type hedge struct {
	attempt   attempt
	placement forward.Placement
	cancel    context.CancelFunc
	// buffer holds the body of the answer.
	buffer answerBuffer
	// done is closed when the answer is there or the attempt has failed with err.
	done chan struct{}
	err  error
}

// hedgePoll is how often a silent attempt looks at its hedge.
const hedgePoll = 10 * time.Millisecond

// startHedge sends the request to a second worker. It returns nil if the request may not run twice, or if no
// room, retry or worker is left.
func (r *request) startHedge(ctx context.Context) *hedge {
	state := forward.SilenceState{
		Kind: r.route.Kind, Runs: r.runCount, MaxRuns: r.maxRuns(), Remaining: r.remaining(),
		UsualTime: r.gateway.dispatcher.usualHeaderTime(r.route, r.inbound.meta.PromptTokens), Suspected: r.endedWorkers.Load() > 0 || r.isSuspected(),
	}
	if !state.MayHedge() || !r.gateway.admission.hasSpareRoom(r.service) || r.authorize() != nil || !r.takeRetry(forward.RetryOverdue) {
		return nil
	}
	first := r.placement
	a, refusal := r.pickWorker()
	if refusal != nil {
		r.returnRetry()
		return nil
	}
	a.evidence = r.startEvidence(&a)
	h := &hedge{attempt: a, placement: r.placement, buffer: answerBuffer{memory: r.gateway.buffers}, done: make(chan struct{})}
	r.placement = first
	r.triedWorkers = append(r.triedWorkers, a.worker.ID)
	var head bytes.Buffer
	outbound := r.outboundTo(&a, &head)
	ctx, h.cancel = context.WithCancel(ctx)
	go func() {
		defer close(h.done)
		if !r.gateway.protect("hedge", func() { h.err = h.run(ctx, r, outbound) }) {
			h.err = errUnexpected
		}
	}()
	return h
}

// run sends the request and reads the answer.
func (h *hedge) run(ctx context.Context, r *request, out outboundRequest) error {
	ex, err := sendRequest(ctx, r.gateway.pool, out)
	if err != nil {
		return err
	}
	h.attempt.exchange = ex
	_ = ex.conn.SetReadDeadline(time.Now().Add(forward.HedgeTime)) // if the connection is closed, the read fails
	if err := h.awaitHeader(r); err != nil {
		return err
	}
	if ex.meta.NotRun || ex.resp.StatusCode >= http.StatusInternalServerError || ex.resp.StatusCode == http.StatusMisdirectedRequest {
		return nil
	}
	ended, err := h.buffer.readUpTo(ex.resp.Body, maxBufferedBytes)
	if err != nil {
		return eris.Wrap(err, "response ended early")
	}
	if !ended || framing.Of(ex.resp) == framing.CloseDelimited {
		return errPartOfAnswer
	}
	ex.resp.Body = &rereadBody{Reader: bytes.NewReader(h.buffer.bytes), Closer: ex.resp.Body}
	return nil
}

// awaitHeader reads the header of the answer. Until then the attempt counts as one that waits at its worker: if that
// ends, other requests at it were not alone there.
func (h *hedge) awaitHeader(r *request) error {
	q := r.gateway.quarantine
	q.recordPending(r, &h.attempt)
	defer q.recordBegun(&h.attempt)
	return h.attempt.exchange.readHeader(r.gateway.headers, r.inbound.method, r.inbound.meta.RequestID)
}

// rereadBody is a body of which a part was read before.
type rereadBody struct {
	io.Reader
	io.Closer
}

// hasEnded reports whether the answer of the second worker is there or the attempt has failed.
func (h *hedge) hasEnded() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// settleHedge records how the hedge ended. It reports whether a good answer of the second worker is there, which
// then becomes the next attempt.
func (r *request) settleHedge(ctx context.Context) bool {
	h := r.hedge
	r.hedge = nil
	a := &h.attempt
	outcome := r.recordHedge(ctx, h)
	r.gateway.metrics.countHedge(outcome)
	if outcome == forward.Answered {
		a.release = func() {
			h.cancel()
			h.buffer.reset()
		}
		r.hedged, r.placement = a, h.placement
		return true
	}
	h.cancel()
	h.buffer.reset()
	if a.exchange != nil {
		a.exchange.close() // does nothing if the connection was released
	}
	r.gateway.dispatcher.recordAbandoned(a.evidence)
	r.gateway.dispatcher.releaseWorker(a.inFlight)
	r.recordBytes(a)
	r.recordAttempt(a, outcome.String())
	return false
}

// recordHedge records what the worker of a hedge has shown, and returns the outcome.
func (r *request) recordHedge(ctx context.Context, h *hedge) forward.Outcome {
	a, d := &h.attempt, r.gateway.dispatcher
	if a.exchange == nil {
		r.returnRetry()
		if errors.Is(h.err, errOvertaken) {
			return forward.Overtaken
		}
		r.unsentAttempts++
		if ctx.Err() == nil && !errors.Is(h.err, errUnexpected) {
			d.recordNoAnswer(a.worker, membership.Unreachable, 0)
		}
		return forward.NotSent
	}
	r.sentAttempts++
	r.gateway.metrics.retries.Inc()
	r.recordRetrySent(a)
	if h.err != nil {
		r.mayHaveRun = true
		r.runCount++
		switch {
		case errors.Is(h.err, errOvertaken), errors.Is(h.err, errPartOfAnswer):
			return forward.Overtaken
		case isReadTimeout(h.err):
			r.recordSilence(a)
		case errors.Is(h.err, net.ErrClosed):
			// The caller has left, or a part of the request was condemned.
		case ctx.Err() == nil:
			r.recordFailure(a, h.err)
		}
		return forward.Broken
	}
	a.record.HeaderMs = time.Since(a.started).Milliseconds()
	if outcome, refused := r.recordRefusal(a); refused {
		return outcome
	}
	if a.exchange.resp.StatusCode >= http.StatusInternalServerError {
		r.recordRunFailed(a)
		a.exchange.drainAndRelease(r.gateway.pool)
		return forward.WorkerFailed
	}
	return forward.Answered
}

// errOvertaken is the error of a hedge whose first worker has gone on.
var errOvertaken = eris.New("the first worker has gone on")

// errPartOfAnswer is the error of a hedge whose answer is larger than what is kept of one, or has an end that nothing
// marks. It may not be whole, so that the first worker is not given up for it.
var errPartOfAnswer = eris.New("answer may be only a part")

// endHedge gives up the hedge, if there is one: the first worker goes on.
func (r *request) endHedge(ctx context.Context) {
	if h := r.hedge; h != nil {
		hadEnded := h.hasEnded()
		h.cancel() // closes the connection, or ends the attempt to open it
		<-h.done
		if !hadEnded || h.attempt.exchange != nil {
			h.err = errOvertaken
		}
		r.settleHedge(ctx)
	}
}

// awaitHedge waits for the hedge of an attempt that has failed, and reports whether it has won.
func (r *request) awaitHedge(ctx context.Context) bool {
	if r.hedge == nil {
		return r.hedged != nil
	}
	<-r.hedge.done // the context ends it, too
	return r.settleHedge(ctx)
}

// dropHedged ends the attempt of a hedge that has won if it was not continued, because the request has ended.
func (r *request) dropHedged() {
	if a := r.hedged; a != nil {
		r.hedged = nil
		a.exchange.close()
		a.release()
		r.gateway.dispatcher.recordAbandoned(a.evidence)
		r.gateway.dispatcher.releaseWorker(a.inFlight)
	}
}
