package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
)

// maxWholeBytes is the largest answer that is read whole before it is passed on, so that
// a broken one can be replaced or refused.
const maxWholeBytes = 256 << 10

// relayWhole passes on an answer that is not a stream.
func (r *request) relayWhole(a attempt) (forward.Outcome, bool) {
	resp := a.ex.resp
	_ = a.ex.conn.SetReadDeadline(r.deadline) // a closed connection shows at the read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes+1))
	if err != nil {
		r.lastError = eris.Wrap(err, "answer ended early")
		r.failedAt(a)
		if r.headSent {
			return r.cut()
		}
		return forward.Broken, false
	}
	if r.headSent {
		// A resumed stream was answered with something else.
		return r.cut()
	}
	r.copyHead(resp)
	out := r.w.Header()
	if len(body) <= maxWholeBytes {
		out["Content-Length"] = []string{strconv.Itoa(len(body))}
	} else if resp.ContentLength >= 0 {
		out["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	r.firstByte = time.Since(r.started)
	r.w.WriteHeader(resp.StatusCode)
	if _, err := r.w.Write(body); err != nil {
		r.aborted = true
		return forward.Answered, true
	}
	if len(body) <= maxWholeBytes {
		a.ex.finish(r.g.pool)
		return forward.Answered, true
	}
	if _, err := io.Copy(r.w, resp.Body); err != nil {
		r.lastError = eris.Wrap(err, "answer ended early")
		return r.cut()
	}
	a.ex.finish(r.g.pool)
	return forward.Answered, true
}

// cut ends the caller's connection without the end of the answer, so that it cannot look
// complete.
func (r *request) cut() (forward.Outcome, bool) {
	r.aborted = true
	r.g.metrics.cut.Inc()
	return forward.Broken, true
}

// errStalled marks a stream that paused for too long.
var errStalled = eris.New("stream paused for too long")

// relayStream passes events on as they arrive. When the stream breaks off, it returns the
// outcome of the attempt, and the request goes on at another worker if it may.
func (r *request) relayStream(ctx context.Context, a attempt) (forward.Outcome, bool) {
	resp := a.ex.resp
	err := r.copyEvents(a)
	if err == nil {
		if !r.headSent {
			r.sendHead(resp)
		}
		a.ex.finish(r.g.pool)
		return forward.Answered, true
	}
	r.lastError = err
	if errors.Is(err, errCallerGone) || ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.aborted = true
		return forward.Broken, true
	}
	r.failedAt(a)
	if !r.headSent {
		return forward.Broken, false
	}
	if !r.route.Resumable || r.lastEvent < 0 {
		return r.cut()
	}
	return forward.Broken, false
}

// errCallerGone marks a failed write to the caller.
var errCallerGone = eris.New("caller has left")

// sendHead passes on the head of a stream. It is held back until the first event, so that
// a stream that breaks off before can go on elsewhere or be refused.
func (r *request) sendHead(resp *http.Response) {
	r.copyHead(resp)
	if resp.ContentLength >= 0 && !r.route.Resumable {
		r.w.Header()["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	r.headSent = true
	r.firstByte = time.Since(r.started)
	r.w.WriteHeader(resp.StatusCode)
}

// copyEvents copies whole events until the stream ends.
func (r *request) copyEvents(a attempt) error {
	events := newEventReader(a.ex.resp.Body)
	a.ex.conn.overdue = r.waitOn
	defer func() { a.ex.conn.overdue = nil }()
	for {
		if err := a.ex.conn.SetReadDeadline(r.overdueAt()); err != nil {
			return eris.Wrap(err, "connection is closed")
		}
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.writeEvent(a, event, id, true)
		}
		if err != nil {
			if isTimeout(err) && r.remaining() > 0 {
				return errStalled
			}
			return eris.Wrap(err, "stream broke off")
		}
		if id >= 0 && r.headSent && id <= r.lastEvent {
			continue // the worker repeats an event that the caller holds
		}
		if err := r.writeEvent(a, event, id, !events.buffered()); err != nil {
			return err
		}
	}
}

func (r *request) writeEvent(a attempt, event []byte, id int64, flush bool) error {
	if len(event) > 0 {
		if !r.headSent {
			r.sendHead(a.ex.resp)
		}
		if _, err := r.w.Write(event); err != nil {
			return errCallerGone
		}
		if id >= 0 {
			r.lastEvent = id
		}
	}
	if flush && r.headSent {
		if err := http.NewResponseController(r.w).Flush(); err != nil {
			return errCallerGone
		}
	}
	return nil
}

// overdueAt is when the next event counts as overdue. Only a stream that may go on at
// another worker is taken there before its deadline.
func (r *request) overdueAt() time.Time {
	if !r.route.Resumable || r.runs >= r.route.MaxAttempts {
		return r.deadline
	}
	wait := max(time.Duration(eventPatience*float64(r.route.GapTarget)), minEventWait)
	if by := time.Now().Add(wait); by.Before(r.deadline) {
		return by
	}
	return r.deadline
}

// waitOn returns until when an overdue stream is awaited further, zero when it is given up.
// It is given up only when the budget has a repeat left.
func (r *request) waitOn() time.Time {
	if r.remaining() <= 0 || r.g.core.canSpend(r.service) {
		return time.Time{}
	}
	return r.overdueAt()
}

const (
	// eventPatience is how many times the allowed pause a stream is waited for before it
	// goes on at another worker. A preempted request pauses for about one such time.
	eventPatience = 3.0
	// minEventWait bounds the wait from below where the allowed pause is short or unknown.
	minEventWait = 1500 * time.Millisecond
)

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
