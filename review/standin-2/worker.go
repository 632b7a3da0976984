package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// heartbeat is the interval at which a worker renews its entry.
const heartbeat = 1200 * time.Millisecond

// workerEntry is what a worker writes to the store.
type workerEntry struct {
	Service, Address, Zone, Version, State string
	Slots, ColdLeftMs, Sequence            int
	Born                                   int64 `json:"born"`
}

// worker stands in for a sound worker.
type worker struct {
	scene *scene
	id    string
	entry workerEntry
	// models are those that a model worker runs; a plain worker has none.
	models []string
	// confidence is that of its answers, by model.
	confidence map[string]int
	// badEvery makes each so many-th answer of a plain worker a bad one, 0 for none: a failure with fails set, otherwise one
	// that is cut in its middle.
	badEvery int64
	fails    bool
	answers  atomic.Int64
	// isUnlisted is set for an instance that writes no entry.
	isUnlisted bool
	running    atomic.Int64
	server     *http.Server
	closed     chan struct{}
	closeOnce  sync.Once
}

const (
	// plainTime is the time for a plain answer.
	plainTime = 15 * time.Millisecond
	// plainBytes is the size of a plain answer.
	plainBytes = 800
)

// start starts a worker whose id, service, version and slots are set.
func (s *scene) start(w *worker) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.scene, w.closed = s, make(chan struct{})
	w.entry.Address, w.entry.Zone, w.entry.State, w.entry.Born = l.Addr().String(), "kbh-a", "ready", time.Now().UnixMilli()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }() // returns when the worker is closed
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.note("worker %s of %s starts, version %s", w.id, w.entry.Service, w.entry.Version)
	if !w.isUnlisted {
		s.store.put(wire.Workers, w.id, w.entry)
		go w.renew()
	}
	return nil
}

func (w *worker) renew() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for entry := w.entry; ; {
		select {
		case <-w.closed:
			return
		case <-ticker.C:
			entry.Sequence++
			w.scene.store.renew(wire.Workers, w.id, entry)
		}
	}
}

func (w *worker) close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		_ = w.server.Close()
	})
}

// end ends the worker at once. Its entry is removed after three heartbeats of silence.
func (w *worker) end(why string) {
	w.scene.note("worker %s ends: %s", w.id, why)
	w.close()
	time.AfterFunc(3*heartbeat, func() {
		w.scene.note("entry of worker %s is removed", w.id)
		w.scene.store.remove(wire.Workers, w.id)
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	names, h := platform.Headers, out.Header()
	id, model := r.Header.Get(names.RequestID), r.Header.Get(names.Model)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(names.RequestID, id)
	h.Set(names.Load, fmt.Sprintf("%d,0,%d", min(running, int64(w.entry.Slots)), w.entry.Slots))
	h.Set(wire.Signature, w.id+"."+id)
	h.Set("Keep-Alive", "timeout=30")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch {
	case id == "":
		w.reject(out, http.StatusBadRequest, "request has no ID")
	case r.Header.Get(names.ExpectWorker) != w.id:
		w.reject(out, http.StatusMisdirectedRequest, "request "+id+" names another worker")
	case w.models != nil && !slices.Contains(w.models, model):
		w.reject(out, http.StatusMisdirectedRequest, fmt.Sprintf("request %s names model %q", id, model))
	case running > int64(w.entry.Slots):
		w.reject(out, http.StatusServiceUnavailable, "request "+id+" finds no slot")
	case w.models != nil:
		w.scene.recordRun(id, runOfWorker{w.id, model, w.entry.Version, r.Header.Get(names.Customer), w.scene.now()})
		w.stream(out, r, id, model)
	default:
		w.scene.recordRun(id, runOfWorker{w.id, model, w.entry.Version, r.Header.Get(names.Customer), w.scene.now()})
		w.plain(out, id)
	}
}

func (w *worker) plain(out http.ResponseWriter, id string) {
	time.Sleep(plainTime)
	text := "answer to " + id + "\n" + strings.Repeat("x", plainBytes)
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	isBad := w.badEvery > 0 && w.answers.Add(1)%w.badEvery == 0
	switch {
	case isBad && w.fails:
		w.scene.recordBad(id, w.id, "fails")
		out.WriteHeader(http.StatusInternalServerError)
	case isBad:
		w.scene.recordBad(id, w.id, "cuts its answer to")
		_, _ = io.WriteString(out, text[:len(text)/2]) // the connection is closed next
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, text) // fails only if the gateway is gone
}

// reject answers a request that is not run.
func (w *worker) reject(out http.ResponseWriter, status int, why string) {
	w.scene.note("worker %s answers %d and runs nothing: %s", w.id, status, why)
	out.Header().Set(platform.Headers.NotRun, "1")
	out.WriteHeader(status)
}

func (w *worker) stream(out http.ResponseWriter, r *http.Request, id, model string) {
	names := platform.Headers
	if c, ok := w.confidence[model]; ok {
		out.Header().Set(names.Confidence, strconv.Itoa(c))
	}
	out.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if n, err := strconv.Atoi(r.Header.Get(names.LastEventID)); err == nil {
		from = n
	}
	for n := from + 1; n <= w.scene.events; n++ {
		select {
		case <-w.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			w.scene.note("worker %s drops %s before event %d", w.id, id, n)
			return
		case <-time.After(w.scene.eventTime):
		}
		fmt.Fprintf(out, "id: %d\ndata: %s %s\n\n", n, id, model)
		if http.NewResponseController(out).Flush() != nil {
			return
		}
	}
}
