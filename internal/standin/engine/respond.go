package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// responder writes the events of a stream to the caller and applies the faults of the call.
type responder struct {
	engine         *Engine
	w              http.ResponseWriter
	r              *http.Request
	sequence       *sequence // request of this call; its faults apply
	buffer         []byte
	sentTokens     int
	prefixSequence *sequence // sequence that tokenPrefix was encoded for
	tokenPrefix    []byte
}

// respond streams the answer until its end, a fault that ends it, the caller's disconnect or
// Close.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, s *sequence, out *stream) {
	p := &responder{engine: e, w: w, r: r, sequence: s}
	var spare []event
	for {
		select {
		case <-out.ready:
		case <-r.Context().Done():
			return
		case <-e.quit:
			return
		}
		events := out.drain(spare)
		for _, ev := range events {
			if p.handleEvent(ev) {
				return
			}
		}
		spare = events
		p.flush()
	}
}

// handleEvent writes an event and reports whether the stream has ended.
func (p *responder) handleEvent(ev event) bool {
	if p.sequence.faults.Has(base.FaultError) {
		return p.failAtEnd(ev)
	}
	if p.applyStreamFaults() {
		return true
	}
	if ev.finishReason != "" {
		p.writeEvent("end", p.engine.encodeEnd(ev.sequence, ev.finishReason))
		p.flush()
		return true
	}
	p.writeToken(ev)
	if p.faultDue(base.FaultRepeat) {
		p.writeToken(ev)
	}
	p.sentTokens++
	return false
}

// failAtEnd answers with the status of FaultError once the request has finished running. It
// reports whether the stream has ended.
func (p *responder) failAtEnd(ev event) bool {
	if ev.finishReason == "" {
		return false
	}
	status := p.sequence.faults.StatusOr(base.FaultError, http.StatusInternalServerError)
	base.WriteError(p.w, status, "injected fault: request ran and failed")
	return true
}

// faultDue reports whether a fault of kind k applies at the current token.
func (p *responder) faultDue(k base.FaultKind) bool {
	fault, ok := p.sequence.faults[k]
	return ok && fault.AfterTokens == p.sentTokens
}

// applyStreamFaults applies the faults delay, truncate and cut and reports whether the stream
// has ended.
func (p *responder) applyStreamFaults() bool {
	if p.faultDue(base.FaultDelay) {
		p.flush()
		if !p.wait(p.sequence.faults.Delay()) {
			return true
		}
	}
	if p.faultDue(base.FaultCut) {
		p.flush()
		panic(http.ErrAbortHandler)
	}
	if p.faultDue(base.FaultTruncate) {
		p.setContentType()
		p.flush()
		return true
	}
	return false
}

func (p *responder) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.r.Context().Done():
		return false
	}
}

func (p *responder) writeToken(ev event) {
	if p.prefixSequence != ev.sequence {
		p.prefixSequence = ev.sequence
		// Encoding a string cannot fail.
		request, _ := json.Marshal(ev.sequence.body.Request)
		p.tokenPrefix = append([]byte(`{"request":`), request...)
		p.tokenPrefix = append(p.tokenPrefix, `,"attempt":`...)
		p.tokenPrefix = strconv.AppendInt(p.tokenPrefix, int64(ev.sequence.body.Attempt), 10)
	}
	p.setContentType()
	p.buffer = append(p.buffer, "event: token\ndata: "...)
	p.buffer = append(p.buffer, p.tokenPrefix...)
	p.buffer = append(p.buffer, `,"index":`...)
	p.buffer = strconv.AppendInt(p.buffer, int64(ev.index), 10)
	p.buffer = append(p.buffer, `,"text":`...)
	// The text is ASCII letters and spaces, for which Go and JSON quoting agree.
	p.buffer = strconv.AppendQuote(p.buffer, tokenText(ev.sequence.seed, ev.index, ev.sequence.poor))
	p.buffer = append(p.buffer, "}\n\n"...)
}

func (p *responder) writeEvent(name string, data []byte) {
	p.setContentType()
	p.buffer = append(p.buffer, "event: "+name+"\ndata: "...)
	p.buffer = append(p.buffer, data...)
	p.buffer = append(p.buffer, "\n\n"...)
}

func (p *responder) setContentType() {
	p.w.Header().Set("Content-Type", "text/event-stream")
}

func (p *responder) flush() {
	if len(p.buffer) == 0 {
		return
	}
	// A failed write ends the request's context, which respond watches.
	_, _ = p.w.Write(p.buffer)
	p.buffer = p.buffer[:0]
	_ = http.NewResponseController(p.w).Flush()
}
