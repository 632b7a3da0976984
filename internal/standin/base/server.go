// Package base holds what every stand-in shares: the listener, the ledger of
// what ran, and the fault controls.
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

// maxBody bounds the request bodies that a stand-in reads, in bytes.
const maxBody = 8 << 20

// Server is a started stand-in.
type Server struct {
	listener net.Listener
	server   *http.Server
	stop     func()
	once     sync.Once
	done     chan struct{}
}

// Serve listens on addr ("127.0.0.1:0" picks a port) and serves h. Close calls
// stop, which may be nil, before it closes the connections.
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
	go s.run()
	return s, nil
}

func (s *Server) run() {
	defer close(s.done)
	// Serve always returns an error; after Close it is ErrServerClosed.
	_ = s.server.Serve(s.listener)
}

// URL returns the base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Addr returns the listening address as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close drops every connection and stops the stand-in. It may be called more
// than once.
func (s *Server) Close() {
	s.once.Do(func() {
		if s.stop != nil {
			s.stop()
		}
		_ = s.server.Close()
		<-s.done
	})
}

// Shutdown finishes running calls until ctx ends, then stops the stand-in.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.Close()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stand-in did not shut down")
	}
	return nil
}

// ReadJSON decodes the body of r into out and answers 400 when it is not valid.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "body is not valid: "+err.Error())
		return false
	}
	return true
}

// WriteJSON answers with status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with status and {"error": message}.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// Sleep waits for d and reports false when ctx ended first.
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
