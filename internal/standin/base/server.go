// Package base holds the parts that all stand-ins share: the HTTP server, the ledger of
// runs, and fault injection.
package base

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxBodyBytes is the maximum size of a request body that ReadJSON accepts.
const maxBodyBytes = 8 << 20

// Server is the running HTTP server of a stand-in.
type Server struct {
	listener  net.Listener
	server    *http.Server
	stop      func()
	closeOnce sync.Once
	done      chan struct{}
}

// Serve listens on addr, a host:port where port 0 selects a free one, and serves h in the
// background. Close calls stop, which may be nil, before it closes the connections.
func Serve(addr string, h http.Handler, stop func()) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "stand-in cannot listen on %s", addr)
	}
	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		stop:     stop,
		done:     make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	// Serve always returns an error; after Close it is ErrServerClosed.
	_ = s.server.Serve(s.listener)
}

// URL returns the base URL of the server, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Addr returns the listening address as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the stand-in and closes its listener and all connections. It may be called
// more than once.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		if s.stop != nil {
			s.stop()
		}
		_ = s.server.Close()
		<-s.done
	})
}

// Shutdown waits until running calls finish or ctx ends, then closes the stand-in. It
// returns an error when ctx ended first.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.Close()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stand-in did not finish its running calls before shutdown")
	}
	return nil
}

// ReadJSON decodes the body of r, at most 8 MiB of JSON, into out. When that fails it
// answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "request body cannot be decoded: "+err.Error())
		return false
	}
	return true
}

// WriteJSON answers with status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with status and {"error": message}.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// Sleep waits for d. It returns false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
