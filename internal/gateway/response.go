package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
)

// maxBufferedBytes is the largest response body that is read completely before it is sent to
// the caller, so that an incomplete one can be replaced or refused. Without free memory for it, a
// body is sent as it arrives.
const maxBufferedBytes = 256 << 10

// copyResponse sends a response that is not a stream to the caller. It returns the outcome of
// the attempt and whether the caller has a response or its connection must be closed.
func (r *request) copyResponse(ctx context.Context, a *attempt) (forward.Outcome, bool) {
	resp := a.exchange.resp
	r.watchSilence(ctx, a, r.pieceOverdue, true)
	buffer := answerBuffer{memory: r.gateway.buffers}
	defer buffer.reset()
	ended, err := buffer.readUpTo(resp.Body, maxBufferedBytes)
	r.awaitUntilDeadline(a.exchange.conn)
	if err == nil && ended {
		err = r.checkPlainEnd(ctx, a)
	}
	if err != nil {
		a.record.BodyBytes = len(buffer.bytes)
		hasWon := r.awaitHedge(ctx)
		if !hasWon || !isReadTimeout(err) {
			r.recordBodyFailure(a, err)
		}
		if hasWon {
			return forward.Overtaken, false
		}
		return forward.Broken, false
	}
	r.endHedge(ctx)
	r.copyHeader(resp)
	out := r.writer.Header()
	if ended {
		out["Content-Length"] = []string{strconv.Itoa(len(buffer.bytes))}
	} else if resp.ContentLength >= 0 {
		out["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	r.firstByteLatency = time.Since(r.started)
	r.useWholeGracePeriod()
	r.writer.WriteHeader(resp.StatusCode)
	if _, err := r.writer.Write(buffer.bytes); err != nil {
		r.aborted = true
		return forward.Answered, true
	}
	if ended {
		a.exchange.releaseConn(r.gateway.pool)
		r.recordFinished(a)
		return forward.Answered, true
	}
	buffer.reset()
	// Without the wrapper, the copy would use the larger buffer of net/http.
	rest := &errorReader{Reader: resp.Body}
	if _, err := io.CopyBuffer(struct{ io.Writer }{r.writer}, rest, make([]byte, ownBufferBytes)); err != nil {
		if rest.err == nil {
			r.lastError, r.aborted = errCallerDisconnected, true
			return forward.Answered, true
		}
		r.recordBodyFailure(a, rest.err)
		return r.abortResponse()
	}
	if err := r.checkPlainEnd(ctx, a); err != nil {
		r.recordBodyFailure(a, err)
		return r.abortResponse()
	}
	a.exchange.releaseConn(r.gateway.pool)
	r.recordFinished(a)
	return forward.Answered, true
}

// errorReader keeps the error that its reader returned, apart from io.EOF.
type errorReader struct {
	io.Reader
	err error
}

func (e *errorReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		e.err = err
	}
	return n, err
}

// recordBodyFailure records a plain answer that could not be read to its end. The connection of the
// worker is also closed when the caller leaves, which is no failure of the worker.
func (r *request) recordBodyFailure(a *attempt, err error) {
	err = eris.Wrap(err, "response ended early")
	if errors.Is(err, net.ErrClosed) && r.remaining() > 0 {
		r.lastError = err
		return
	}
	r.recordFailure(a, err)
}

// copyHeader copies the header of a worker's response to the response for the caller.
func (r *request) copyHeader(resp *http.Response) {
	out := r.writer.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil // keep net/http from adding its own value
		}
	}
	r.gateway.closeConnWhenDraining(r.writer)
}

// awaitUntilDeadline ends watchSilence: further reads wait until the deadline of the request.
func (r *request) awaitUntilDeadline(c *conn) {
	c.onReadTimeout = nil
	_ = c.SetReadDeadline(r.deadline) // if the connection is closed, the read fails
}

// abortResponse has the caller's connection closed before the end of the response, so that the
// response does not look complete.
func (r *request) abortResponse() (forward.Outcome, bool) {
	r.aborted = true
	r.gateway.metrics.abortedResponses.Inc()
	return forward.Broken, true
}

// copyStream sends the events of a stream to the caller as they arrive. If the stream breaks
// off, the request continues at another worker when it may. The results are those of
// copyResponse.
func (r *request) copyStream(ctx context.Context, a *attempt) (forward.Outcome, bool) {
	resp := a.exchange.resp
	err := r.copyEvents(ctx, a)
	ending := framing.Ending{Framing: framing.Of(resp), Err: err, IsStream: true, Events: a.record.Events, TailBytes: a.record.TailBytes}
	if r.lookAtSender(ctx, a, &ending); ending.Complete() {
		if !r.headerSent {
			r.sendStreamHeader(resp)
		}
		a.exchange.releaseConn(r.gateway.pool)
		r.recordFinished(a)
		return forward.Answered, true
	}
	if err == nil {
		err = ending.Why()
	}
	if isLeaving(ctx) && !r.headerSent {
		r.lastError = err
		return forward.Broken, false
	}
	if errors.Is(err, errCallerDisconnected) || ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.lastError, r.aborted = err, true
		return forward.Broken, true
	}
	if !r.isOverdue() {
		r.recordFailure(a, err)
	}
	if !r.headerSent {
		return forward.Broken, false
	}
	// Events that arrived together with the break are not flushed yet.
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		r.lastError = errCallerDisconnected
		return r.abortResponse()
	}
	if !r.route.Resumable || r.lastEventID < 0 {
		return r.abortResponse()
	}
	return forward.Broken, false
}

// errCallerDisconnected is returned when a write to the caller failed.
var errCallerDisconnected = eris.New("caller closed its connection")

// sendStreamHeader sends the header of a stream to the caller. It is called at the first event,
// so that a stream that breaks off before can continue at another worker or be refused.
func (r *request) sendStreamHeader(resp *http.Response) {
	r.copyHeader(resp)
	if resp.ContentLength >= 0 && !r.route.Resumable {
		r.writer.Header()["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	r.headerSent, r.streamHead = true, framing.StreamHeadOf(resp)
	r.useWholeGracePeriod()
	r.dropHeld()
	r.firstByteLatency = time.Since(r.started)
	r.writer.WriteHeader(resp.StatusCode)
}

// copyEvents copies whole events until the stream ends. Bytes after the last whole event are
// counted in the record of the attempt and not sent.
func (r *request) copyEvents(ctx context.Context, a *attempt) error {
	events := newEventReader(a.exchange.resp.Body, r.gateway.buffers)
	defer events.close()
	r.watchSilence(ctx, a, r.pieceOverdue, false)
	defer r.awaitUntilDeadline(a.exchange.conn)
	meter := paceMeter{dispatcher: r.gateway.dispatcher, evidence: a.evidence, running: a.exchange.meta.Load.Running}
	defer meter.end()
	var lead []byte // comments before the first event
	for {
		event, id, err := r.awaitEvent(a, events)
		if errors.Is(err, io.EOF) && len(lead) > 0 {
			return r.writeEvent(a, lead, -1, false)
		}
		if err != nil {
			return r.endOfEvents(err)
		}
		if !events.isEmpty {
			meter.event()
		}
		if time.Since(a.begunAt) > survivalTime {
			r.recordSurvival(a)
		}
		if !r.headerSent && events.isEmpty && len(lead)+len(event) <= maxLeadBytes {
			lead = append(lead, event...)
			continue
		}
		if id >= 0 && r.headerSent && id <= r.lastEventID {
			continue // the caller already received this event
		}
		if len(lead) > 0 {
			event, lead = append(lead, event...), nil
		}
		started := time.Now()
		if err := r.writeEvent(a, event, id, !events.hasBuffered()); err != nil {
			return err
		}
		meter.written(time.Since(started))
	}
}

// awaitEvent reads the next event. Comments do not renew the time in which it is due: they do not show that
// the worker goes on.
func (r *request) awaitEvent(a *attempt, events *eventReader) (event []byte, id int64, err error) {
	if !events.isEmpty {
		if err := a.exchange.conn.SetReadDeadline(r.pieceOverdue()); err != nil {
			return nil, -1, eris.Wrap(err, "connection is closed")
		}
	}
	event, id, err = events.next()
	a.record.countEvent(len(event), err)
	return event, id, err
}

// endOfEvents returns why a stream ended, nil at its end in order.
func (r *request) endOfEvents(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return eris.Wrap(err, "stream broke off")
}

// maxLeadBytes bounds the comments that wait for the first event. As long as the caller has nothing, a
// stream that has no event can begin at another worker.
const maxLeadBytes = 4 << 10

// writeEvent sends one event to the caller, after the header if that is not sent yet, and
// remembers its ID for resuming the stream.
func (r *request) writeEvent(a *attempt, event []byte, id int64, flush bool) error {
	if !r.headerSent {
		r.sendStreamHeader(a.exchange.resp)
	}
	if _, err := r.writer.Write(event); err != nil {
		return errCallerDisconnected
	}
	if id >= 0 {
		r.lastEventID = id
	}
	if flush {
		if err := http.NewResponseController(r.writer).Flush(); err != nil {
			return errCallerDisconnected
		}
	}
	return nil
}
