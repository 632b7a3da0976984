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

// run is one run of a request at a worker.
type run struct {
	worker, version, customer string
	at                        time.Time
}

// ledger is what all workers ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run // by request ID
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// worker is a stand-in of one worker.
type worker struct {
	id, version string
	server      *http.Server
	address     string
	ledger      *ledger
	// mode is a fault: "", "full" (refuses), "fail" (runs and fails), "hang", "cut" (breaks off).
	mode atomic.Value
}

func startWorker(id, version string, l *ledger) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, version: version, ledger: l, address: listener.Addr().String()}
	w.mode.Store("")
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }() // ends when the worker is closed
	return w, nil
}

// eventsOfStream is the length of each stream.
const eventsOfStream = 8

// signature binds an answer to the worker and the request.
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
	mode := w.mode.Load().(string) //nolint:forcetypeassert // only strings are stored
	if mode == "full" {
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
	switch mode {
	case "fail":
		out.WriteHeader(http.StatusInternalServerError)
		return
	case "hang":
		<-r.Context().Done()
		return
	}
	if r.URL.Path == streamPath {
		w.stream(out, r, mode)
		return
	}
	time.Sleep(workTime)
	answer := "answer to " + id + " " + string(body)
	if mode == "cut" {
		out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = out.Write([]byte(answer[:len(answer)/2])) // the caller sees a cut answer
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte(answer)) // the caller sees a cut answer
}

// workTime is the time of a plain request, and of an event.
const workTime = 10 * time.Millisecond

func (w *worker) stream(out http.ResponseWriter, r *http.Request, mode string) {
	from, _ := strconv.Atoi(r.Header.Get(platform.Headers.LastEventID)) // absent: from the start
	out.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= eventsOfStream; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(workTime):
		}
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, r.Header.Get(platform.Headers.RequestID))
		_ = http.NewResponseController(out).Flush() // the caller sees a cut answer
		if mode == "cut" && n == eventsOfStream/2 {
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *worker) close() { _ = w.server.Close() }
