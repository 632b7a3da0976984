package forwarding

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Names are the headers that a worker reads and sets.
type Names struct {
	RequestID, ExpectWorker, NotRun, Load, Confidence, WorkerID, Model string
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID      string
	Address string // host:port to listen on
	Names   Names
	Slots   int
	// EventTime is the time between two events of a stream; a plain answer takes as long.
	EventTime time.Duration
	// Confidence is what each model says of its answers, 0 to 100. Paths below /hard/ get
	// half of it.
	Confidence map[string]int
}

// Worker answers forwarded requests: streams of three events to POST, and plain answers.
type Worker struct {
	config  WorkerConfig
	server  *http.Server
	address string
	running atomic.Int64
}

// events is the number of events of a stream.
const events = 3

// StartWorker starts a worker.
func StartWorker(c WorkerConfig) (*Worker, error) {
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "worker %s cannot listen", c.ID)
	}
	w := &Worker{config: c, address: listener.Addr().String()}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() string { return w.address }

// Close ends the worker and its connections.
func (w *Worker) Close() { _ = w.server.Close() }

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	n := w.config.Names
	h := out.Header()
	h.Set(n.RequestID, r.Header.Get(n.RequestID))
	h.Set(n.WorkerID, w.config.ID)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(n.Load, fmt.Sprintf("%d,0,%d", min(running, int64(w.config.Slots)), w.config.Slots))
	switch expected := r.Header.Get(n.ExpectWorker); {
	case expected != "" && expected != w.config.ID:
		h.Set(n.NotRun, "1")
		http.Error(out, "request is for "+expected, http.StatusMisdirectedRequest)
		return
	case running > int64(w.config.Slots):
		h.Set(n.NotRun, "1")
		http.Error(out, "every slot is taken", http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPost {
		w.stream(out, r)
		return
	}
	time.Sleep(w.config.EventTime)
	fmt.Fprintf(out, "%s answers %s\n", w.config.ID, r.URL.Path)
}

func (w *Worker) stream(out http.ResponseWriter, r *http.Request) {
	n := w.config.Names
	model := r.Header.Get(n.Model)
	if confidence, ok := w.config.Confidence[model]; ok {
		if strings.Contains(r.URL.Path, "/hard/") {
			confidence /= 2
		}
		out.Header().Set(n.Confidence, strconv.Itoa(confidence))
	}
	out.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	for i := 1; i <= events; i++ {
		time.Sleep(w.config.EventTime)
		fmt.Fprintf(out, "id: %d\ndata: %s %s, event %d\n\n", i, w.config.ID, model, i)
		if flusher.Flush() != nil || r.Context().Err() != nil {
			return // the caller has left
		}
	}
}
