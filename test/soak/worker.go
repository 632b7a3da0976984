package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// run is one execution of a request on a worker.
type run struct {
	worker, version, customer string
	startedAt                 time.Time
}

// ledger records the runs of all workers.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run // by request ID
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
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
	// fault holds a string: "", "full" (refuses requests), "fail" (runs them and answers 500),
	// "hang" (runs them and never answers) or "cut" (aborts the response halfway).
	fault atomic.Value
}

func startWorker(id, version string, l *ledger) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, version: version, ledger: l, address: listener.Addr().String()}
	w.fault.Store("")
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
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
	if r.Header.Get(names.ExpectWorker) != w.id {
		out.Header().Set(names.WorkerID, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
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
	w.ledger.add(id, run{w.id, w.version, r.Header.Get(names.Customer), time.Now()})
	out.Header().Set("X-Signature", signature(w.id, id))
	out.Header().Set(names.Load, "1,0,16")
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
	for n := from + 1; n <= eventsPerStream; n++ {
		select {
		case <-r.Context().Done():
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

func (w *worker) close() { _ = w.server.Close() }
