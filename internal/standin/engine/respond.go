package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// responder writes the events of one stream and applies the faults of its call.
type responder struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	call   *sequence // the request of this call
	buffer []byte
	sent   int
	from   *sequence // whose tokens head is for
	head   []byte
}

// respond streams the answer until its end, a fault or the caller's leaving.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, s *sequence, out *stream) {
	p := &responder{engine: e, w: w, r: r, call: s}
	var spare []event
	for {
		select {
		case <-out.ready:
		case <-r.Context().Done():
			return
		case <-e.quit:
			return
		}
		taken := out.take(spare)
		for _, ev := range taken {
			if p.handle(ev) {
				return
			}
		}
		spare = taken
		p.flush()
	}
}

// handle writes one event and reports whether the stream is over.
func (p *responder) handle(ev event) bool {
	if p.call.hit.Has(base.FaultError) {
		return p.fail(ev)
	}
	if p.interrupt() {
		return true
	}
	if ev.end != "" {
		p.write("end", p.engine.endOf(ev.from, ev.end))
		p.flush()
		return true
	}
	p.token(ev)
	if p.acts(base.FaultRepeat) {
		p.token(ev)
	}
	p.sent++
	return false
}

// fail answers an error once the request has run to its end.
func (p *responder) fail(ev event) bool {
	if ev.end == "" {
		return false
	}
	status := p.call.hit.Status(base.FaultError, http.StatusInternalServerError)
	base.WriteError(p.w, status, "failed by a fault after running")
	return true
}

// acts reports whether a fault of kind k acts at the present token.
func (p *responder) acts(k base.FaultKind) bool {
	fault, ok := p.call.hit[k]
	return ok && fault.AfterTokens == p.sent
}

// interrupt applies delay, truncate and cut, and reports whether the stream is
// over.
func (p *responder) interrupt() bool {
	if p.acts(base.FaultDelay) {
		p.flush()
		if !p.wait(p.call.hit.Delay()) {
			return true
		}
	}
	if p.acts(base.FaultCut) {
		p.flush()
		panic(http.ErrAbortHandler)
	}
	if p.acts(base.FaultTruncate) {
		p.start()
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

func (p *responder) token(ev event) {
	if p.from != ev.from {
		p.from = ev.from
		// Encoding a string cannot fail.
		request, _ := json.Marshal(ev.from.body.Request)
		p.head = append([]byte(`{"request":`), request...)
		p.head = append(p.head, `,"attempt":`...)
		p.head = strconv.AppendInt(p.head, int64(ev.from.body.Attempt), 10)
	}
	p.start()
	p.buffer = append(p.buffer, "event: token\ndata: "...)
	p.buffer = append(p.buffer, p.head...)
	p.buffer = append(p.buffer, `,"index":`...)
	p.buffer = strconv.AppendInt(p.buffer, int64(ev.index), 10)
	p.buffer = append(p.buffer, `,"text":`...)
	// The text is plain ASCII, for which Go and JSON quoting agree.
	p.buffer = strconv.AppendQuote(p.buffer, tokenText(ev.from.seed, ev.index, ev.from.poor))
	p.buffer = append(p.buffer, "}\n\n"...)
}

func (p *responder) write(name string, data []byte) {
	p.start()
	p.buffer = append(p.buffer, "event: "+name+"\ndata: "...)
	p.buffer = append(p.buffer, data...)
	p.buffer = append(p.buffer, "\n\n"...)
}

func (p *responder) start() {
	p.w.Header().Set("Content-Type", "text/event-stream")
}

func (p *responder) flush() {
	if len(p.buffer) == 0 {
		return
	}
	// A failed write shows as the end of the request's context.
	_, _ = p.w.Write(p.buffer)
	p.buffer = p.buffer[:0]
	_ = http.NewResponseController(p.w).Flush()
}
