package forwarding

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// HeaderNames holds the names of the HTTP headers that a worker reads and sets.
type HeaderNames struct {
	RequestID, ExpectWorker, NotRun, Load, Confidence, WorkerID, Model, Prompt string
}

// WorkerConfig sets the identity, capacity and speed of a worker.
type WorkerConfig struct {
	ID          string
	Address     string // host:port to listen on
	HeaderNames HeaderNames
	Slots       int
	// EventInterval is the interval between two events of a stream and the duration of a
	// plain answer.
	EventInterval time.Duration
	// Confidence is the confidence that is stated for the answers of each model, 0 to
	// 100. Paths that contain /hard/ get half of it.
	Confidence map[string]int
	// FatalPart is a part of a prompt, as the header writes it without its tokens. The worker
	// ends FatalDelay after it began to answer a request that has it; empty for none.
	FatalPart  string
	FatalDelay time.Duration
	// FatalPath is a path of plain requests that end the worker after FatalDelay, without an answer;
	// empty for none.
	FatalPath string
	// EndDelay is the time from the break of such an answer to the end of the worker, 0 for none.
	EndDelay time.Duration
	// IsFatal reports whether FatalPart and FatalPath end the worker now; nil if they always do.
	IsFatal func() bool
	// Fails reports whether the next plain request is answered with 500; nil if none is.
	Fails func() bool
	// FatalBeforeHeader makes requests with FatalPart end the worker without the header of an answer.
	FatalBeforeHeader bool
	// Form is what callers see of the end of the worker.
	Form EndForm
	// OnEnd is called just before the connections are closed.
	OnEnd func()
}

// Worker answers forwarded requests: POST with a stream of three events, other methods with
// a plain answer.
type Worker struct {
	config   WorkerConfig
	server   *http.Server
	listener *endingListener
	address  string
	running  atomic.Int64
	ended    sync.Once
	// silent is closed when the worker has fallen silent, and closed when it is closed.
	silent, closed chan struct{}
	closeOnce      sync.Once
}

const eventsPerStream = 3

// StartWorker starts a worker that serves in the background until Close.
func StartWorker(c WorkerConfig) (*Worker, error) {
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "worker %s cannot listen on its address", c.ID)
	}
	w := &Worker{
		config: c, listener: newEndingListener(listener), address: listener.Addr().String(),
		silent: make(chan struct{}), closed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(w.listener) }()
	return w, nil
}

// Address returns the listening address as host:port.
func (w *Worker) Address() string { return w.address }

// Close stops the worker and closes its listener and all connections.
func (w *Worker) Close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		w.listener.closeAll()
		_ = w.server.Close()
	})
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.awaitClose()
	names := w.config.HeaderNames
	h := out.Header()
	h.Set(names.RequestID, r.Header.Get(names.RequestID))
	h.Set(names.WorkerID, w.config.ID)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(names.Load, fmt.Sprintf("%d,0,%d", min(running, int64(w.config.Slots)), w.config.Slots))
	switch expected := r.Header.Get(names.ExpectWorker); {
	case expected != "" && expected != w.config.ID:
		h.Set(names.NotRun, "1")
		http.Error(out, "request is addressed to worker "+expected, http.StatusMisdirectedRequest)
		return
	case running > int64(w.config.Slots):
		h.Set(names.NotRun, "1")
		http.Error(out, "all slots of the worker are in use", http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPost {
		w.stream(out, r)
		return
	}
	if w.config.Fails != nil && w.config.Fails() {
		http.Error(out, "worker failed", http.StatusInternalServerError)
		return
	}
	if w.config.FatalPath != "" && r.URL.Path == w.config.FatalPath && w.isFatal() {
		time.Sleep(w.config.FatalDelay)
		if w.config.EndDelay > 0 {
			time.AfterFunc(w.config.EndDelay, w.End)
			panic(http.ErrAbortHandler)
		}
		w.End()
		w.awaitClose()
		return
	}
	time.Sleep(w.config.EventInterval)
	w.awaitClose()
	fmt.Fprintf(out, "%s answers %s\n", w.config.ID, r.URL.Path)
}

func (w *Worker) stream(out http.ResponseWriter, r *http.Request) {
	names := w.config.HeaderNames
	model := r.Header.Get(names.Model)
	if confidence, ok := w.config.Confidence[model]; ok {
		if strings.Contains(r.URL.Path, "/hard/") {
			confidence /= 2
		}
		out.Header().Set(names.Confidence, strconv.Itoa(confidence))
	}
	out.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	if w.config.FatalPart != "" && hasPart(r.Header.Get(names.Prompt), w.config.FatalPart) && w.isFatal() {
		if !w.config.FatalBeforeHeader {
			_ = flusher.Flush() // fails if the caller has disconnected
		}
		time.Sleep(w.config.FatalDelay)
		w.End()
		w.awaitClose()
		return
	}
	for i := 1; i <= eventsPerStream; i++ {
		time.Sleep(w.config.EventInterval)
		w.awaitClose()
		fmt.Fprintf(out, "id: %d\ndata: %s %s, event %d\n\n", i, w.config.ID, model, i)
		if flusher.Flush() != nil || r.Context().Err() != nil {
			return // the caller has disconnected
		}
	}
}

func (w *Worker) isFatal() bool { return w.config.IsFatal == nil || w.config.IsFatal() }

// hasPart reports whether a prompt, a list of ID:TOKENS, has a part.
func hasPart(prompt, id string) bool {
	for part := range strings.SplitSeq(prompt, ",") {
		if name, _, _ := strings.Cut(strings.TrimSpace(part), ":"); name == id {
			return true
		}
	}
	return false
}

// End closes the worker as if its process had ended.
func (w *Worker) End() {
	w.ended.Do(func() {
		if w.config.OnEnd != nil {
			w.config.OnEnd()
		}
		w.endAs(w.config.Form)
	})
}
