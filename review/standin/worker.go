package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// run is one run of a request at a worker.
type run struct {
	id                   string
	arrivedAt, startedAt time.Time
	endedAt              time.Time // zero while it runs
	outcome              string    // "whole", "left" by its sender, "exit" of the worker or "deadline"
}

// worker is a stand-in for a worker.
type worker struct {
	record      *record
	id, service string
	slots       int
	queue       int
	born        time.Time
	address     string
	server      *http.Server
	places      chan struct{}
	// work returns how long a plain request takes.
	work func(r *http.Request) time.Duration
	// pause returns the pause before an event of a stream.
	pause func(id string, event int) time.Duration
	// events is the number of events of a stream.
	events int
	// isUnframed is set if its streams have neither a length nor chunks and end with their connection.
	isUnframed bool
	// keepsOn is set if the worker goes on with a request whose connection has closed.
	keepsOn bool
	// onArrival is called when a request arrives; it may be nil.
	onArrival func()
	// fail answers a request that has run in another way, and reports whether it has.
	fail func(w http.ResponseWriter, id string) bool

	mu        sync.Mutex
	isLeaving bool
	hasEnded  bool
	waiting   int
	sequence  int
	runs      []*run
	done      chan struct{}
}

const streamPath = "/stream/"

func (s *scene) newWorker(id, service string, slots, queue int) (*worker, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		record: s.record, id: id, service: service, slots: slots, queue: queue, born: time.Now(), address: address, places: make(chan struct{}, slots), done: make(chan struct{}),
		work:   func(*http.Request) time.Duration { return 15 * time.Millisecond },
		pause:  func(string, int) time.Duration { return 250 * time.Millisecond },
		events: 17,
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }() // returns when the worker exits
	s.workers = append(s.workers, w)
	return w, nil
}

// entry returns what the worker writes to the store.
func (w *worker) entry(state string) wireWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return wireWorker{Service: w.service, Address: w.address, Zone: "kbh-a", Version: "v1", State: state, Slots: w.slots, Sequence: w.sequence, Born: w.born.UnixMilli()}
}

// leave makes all further answers say that the worker leaves. onArrival is called for each further request.
func (w *worker) leave(onArrival func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLeaving, w.onArrival = true, onArrival
}

// exit ends the worker: its connections break.
func (w *worker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasEnded {
		return
	}
	w.hasEnded = true
	close(w.done)
	_ = w.server.Close() // the worker has ended either way
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.Headers.RequestID)
	out.Header().Set(platform.Headers.RequestID, id)
	out.Header().Set(platform.Headers.WorkerID, w.id)
	w.state(out.Header())
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get(platform.Headers.ExpectWorker) != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	w.arrive()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.takePlace(out, r) {
		return
	}
	defer func() { <-w.places }()
	w.serve(out, r, w.begin(id, arrived), string(body))
}

func (w *worker) arrive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onArrival != nil {
		w.onArrival()
	}
}

// state states the load, and whether the worker leaves.
func (w *worker) state(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Set(platform.Headers.Load, fmt.Sprintf("%d,%d,%d", len(w.places), w.waiting, w.slots))
	if w.isLeaving {
		h.Set(platform.Headers.Leaving, "1")
	}
}

// takePlace waits for a slot. Without room in the queue it refuses the request as not run.
func (w *worker) takePlace(out http.ResponseWriter, r *http.Request) bool {
	select {
	case w.places <- struct{}{}:
		return true
	default:
	}
	w.mu.Lock()
	isFull := w.waiting >= w.queue
	if !isFull {
		w.waiting++
	}
	w.mu.Unlock()
	if isFull {
		w.record.line("worker %s is full and refuses %s as not run", w.id, r.Header.Get(platform.Headers.RequestID))
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.waiting--
	}()
	select {
	case w.places <- struct{}{}:
		return true
	case <-r.Context().Done():
	case <-w.done:
	}
	return false
}

func (w *worker) begin(id string, arrived time.Time) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &run{id: id, arrivedAt: arrived, startedAt: time.Now()}
	w.runs = append(w.runs, x)
	return x
}

// end records the end of a run.
func (w *worker) end(x *run, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.endedAt.IsZero() {
		x.endedAt, x.outcome = time.Now(), outcome
	}
}

func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// runsOf returns copies of the runs of a request.
func (w *worker) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, x := range w.runs {
		if x.id == id {
			out = append(out, *x)
		}
	}
	return out
}

// errLeft and errExit are why a run ends early.
var (
	errLeft     = errors.New("left")
	errExit     = errors.New("exit")
	errDeadline = errors.New("deadline")
)

// await lets time pass in a run.
func (w *worker) await(r *http.Request, d time.Duration, deadline time.Time) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	end := time.NewTimer(time.Until(deadline))
	defer end.Stop()
	left := r.Context().Done()
	if w.keepsOn {
		left = nil
	}
	select {
	case <-timer.C:
		return nil
	case <-end.C:
		return errDeadline
	case <-w.done:
		return errExit
	case <-left:
		return errLeft
	}
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request, x *run, body string) {
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.ParseFloat(r.Header.Get(platform.Headers.DeadlineMs), 64); err == nil {
		deadline = x.arrivedAt.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	out.Header().Set(names.Signature, w.id+"."+x.id)
	var err error
	switch {
	case strings.HasPrefix(r.URL.Path, streamPath) && w.isUnframed:
		w.end(x, w.serveUnframed(out, r, deadline))
		return
	case strings.HasPrefix(r.URL.Path, streamPath):
		err = w.serveStream(out, r, x, deadline)
	default:
		err = w.servePlain(out, r, x, deadline, body)
	}
	if err == nil {
		w.end(x, "whole")
		return
	}
	w.end(x, err.Error())
	panic(http.ErrAbortHandler) // the connection breaks
}

func (w *worker) servePlain(out http.ResponseWriter, r *http.Request, x *run, deadline time.Time, body string) error {
	if err := w.await(r, w.work(r), deadline); err != nil {
		return err
	}
	if w.fail != nil && w.fail(out, x.id) {
		return nil
	}
	_, err := io.WriteString(out, "answer to "+x.id+" "+body[:min(len(body), 64)])
	return err
}

func (w *worker) serveStream(out http.ResponseWriter, r *http.Request, x *run, deadline time.Time) error {
	from, _ := strconv.Atoi(r.Header.Get(platform.Headers.LastEventID)) // without one the stream begins at the first event
	out.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= w.events; n++ {
		if err := w.await(r, w.pause(x.id, n), deadline); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, x.id)
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if err != nil && !w.keepsOn {
			return err
		}
	}
	return nil
}
