package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/internal/standin/faulty"
	"github.com/borageflow/borageflow/platform"
)

// run is one execution of a request on a worker.
type run struct {
	worker, version, customer string
	startedAt                 time.Time
	// goesOn is set if the worker goes on when the connection closes, leftAt is when that was, and endedAt the end.
	goesOn          bool
	leftAt, endedAt time.Time
}

// ledger records the runs of all workers.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run // by request ID
	// arrivals are the times at which a request reached a worker, also one that did not run it, by request ID.
	arrivals map[string][]time.Time
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]run{}, arrivals: map[string][]time.Time{}}
}

// arrive records that a request reached a worker.
func (l *ledger) arrive(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
}

// repeats returns the times of all arrivals beyond the first of their request, sorted.
func (l *ledger) repeats() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []time.Time
	for _, times := range l.arrivals {
		out = append(out, times[1:]...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// begin records a run. The function that it returns records the end.
func (l *ledger) begin(ctx context.Context, id string, r run) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.runs[id])
	l.runs[id] = append(l.runs[id], r)
	record := func(at func(*run) *time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		*at(&l.runs[id][n]) = time.Now()
	}
	stop := context.AfterFunc(ctx, func() { record(func(r *run) *time.Time { return &r.leftAt }) })
	return func() {
		stop()
		record(func(r *run) *time.Time { return &r.endedAt })
	}
}

func (l *ledger) runsOf(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// worker is a stand-in for a worker process.
type worker struct {
	id, version string
	server      *http.Server
	address     string
	ledger      *ledger
	notices     *noticeLog
	fatal       *fatalParts
	silences    *silences
	// goesOn is set if the worker goes on when the connection of a request closes.
	goesOn bool
	// onEnd closes the listener through which gateways reach the worker.
	onEnd func()
	// script makes the worker play a faulty answer.
	script atomic.Pointer[faulty.Script]
	// fault holds a string: "", "full" (refuses requests), "fail" (runs them and answers 500),
	// "hang" (runs them and never answers) or "cut" (aborts the response halfway).
	fault atomic.Value
}

func startWorker(id, version string, l *ledger, notices *noticeLog, fatal *fatalParts, s *silences, number int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, version: version, ledger: l, notices: notices, fatal: fatal, silences: s, goesOn: s.goesOn(number), address: listener.Addr().String()}
	w.fault.Store("")
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	if s.rng != nil {
		listener = silentListener{listener, id, s}
	}
	go func() { _ = w.server.Serve(listener) }() // returns when the worker is closed
	return w, nil
}

// eventsPerStream is the number of events in a complete stream.
const eventsPerStream = 8

// signature returns the header value that ties a response to the worker and the request.
func signature(worker, id string) string { return worker + "." + id }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	names := platform.Headers
	id := r.Header.Get(names.RequestID)
	out.Header().Set(names.RequestID, id)
	w.ledger.arrive(id)
	if r.Header.Get(names.ExpectWorker) != w.id {
		out.Header().Set(names.WorkerID, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.notices.arrive(w.id, id, out.Header()) {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fault := w.fault.Load().(string) //nolint:forcetypeassert // only strings are stored
	if fault == "full" {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer w.ledger.begin(r.Context(), id, run{worker: w.id, version: w.version, customer: r.Header.Get(names.Customer), startedAt: time.Now(), goesOn: w.goesOn})()
	out.Header().Set("X-Signature", signature(w.id, id))
	out.Header().Set(names.Load, "1,0,16")
	if script := w.script.Load(); script != nil {
		w.playScript(out, r, *script, string(body))
		return
	}
	switch fault {
	case "fail":
		out.WriteHeader(http.StatusInternalServerError)
		return
	case "hang":
		<-r.Context().Done()
		return
	}
	if r.URL.Path == streamPath {
		w.serveStream(out, r, fault)
		return
	}
	if w.fatal.begin(w.id, r) {
		w.end()
		return
	}
	time.Sleep(processingTime)
	answer := "answer to " + id + " " + string(body)
	if fault == "cut" {
		out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = out.Write([]byte(answer[:len(answer)/2])) // on an error the caller receives a truncated response
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte(answer)) // on an error the caller receives a truncated response
}

// processingTime is how long a worker takes for a request without a stream, or for one event.
const processingTime = 10 * time.Millisecond

func (w *worker) serveStream(out http.ResponseWriter, r *http.Request, fault string) {
	from, _ := strconv.Atoi(r.Header.Get(platform.Headers.LastEventID)) // if absent, 0: the stream starts at the first event
	out.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(out).Flush() // on an error the caller receives a truncated response
	if w.fatal.begin(w.id, r) {
		w.end()
		return
	}
	dropped := r.Context().Done()
	if w.goesOn {
		dropped = nil
	}
	for n := from + 1; n <= eventsPerStream; n++ {
		select {
		case <-dropped:
			return
		case <-time.After(processingTime):
		}
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, r.Header.Get(platform.Headers.RequestID))
		_ = http.NewResponseController(out).Flush() // on an error the caller receives a truncated response
		if fault == "cut" && n == eventsPerStream/2 {
			panic(http.ErrAbortHandler)
		}
	}
}

// playScript writes a faulty answer to the connection.
func (w *worker) playScript(out http.ResponseWriter, r *http.Request, script faulty.Script, body string) {
	id := r.Header.Get(platform.Headers.RequestID)
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if silent, ok := c.(silentConn); ok {
		c = silent.Conn // a script has its own pauses, and resets
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = out.Header().Write(&head) // writing to a bytes.Buffer returns no error
	answer := faulty.Answer{Head: head.String(), Pieces: []string{"answer to " + id + " " + body}, Other: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Taken: func() {}}
	if r.URL.Path == streamPath {
		from, _ := strconv.Atoi(r.Header.Get(platform.Headers.LastEventID)) // if absent, 0: the stream starts at the first event
		answer.Pieces = nil
		for n := from + 1; n <= eventsPerStream; n++ {
			answer.Pieces = append(answer.Pieces, fmt.Sprintf("id: %d\ndata: %s\n\n", n, id))
		}
	}
	script.Pieces = min(script.Pieces, len(answer.Pieces)-1)
	script.Play(c, answer, func() { _, _ = c.Read(make([]byte, 1)) })
}

// drawScript draws a faulty answer that a strict client can tell from a whole one.
func drawScript(rng *rand.Rand) *faulty.Script {
	scripts := faulty.Scripts(eventsPerStream, 0, processingTime)
	for {
		s := scripts[rng.IntN(len(scripts))]
		isFramed := s.Framing != faulty.ByConnection || s.End == faulty.RST
		if isFramed && s.Place != faulty.FramedInsidePiece && s.Place != faulty.Whole && s.Place != faulty.ExtraBytes && s.Place != faulty.ExtraAnswer {
			return &s
		}
	}
}

func (w *worker) close() { _ = w.server.Close() }

// end ends the worker as the end of its process does.
func (w *worker) end() {
	w.silences.recordFault(w.id, 0)
	w.onEnd()
	w.close()
}
