package faulty

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// Handler answers the request r on c and reports whether the connection stays open. wait returns
// when either end has closed the connection.
type Handler func(w *Worker, c net.Conn, r *http.Request, wait func()) bool

// Worker accepts connections and answers requests through its Handler.
type Worker struct {
	ID       string
	listener net.Listener
	handler  Handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start starts a worker that listens on address.
func Start(id, address string, handler Handler) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "worker %s cannot listen", id)
	}
	w := &Worker{ID: id, listener: listener, handler: handler, conns: map[net.Conn]struct{}{}}
	go w.accept()
	return w, nil
}

// Address returns the listening address as host:port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops the worker and closes its connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		wait := func() { _, _ = br.Peek(1) }
		if !w.handler(w, c, r, wait) {
			return
		}
	}
}
