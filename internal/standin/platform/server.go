// Package platform is a stand-in for the platform's object API and instance list, served
// over HTTP as docs/protocols.md describes.
//
// Faults are injected with POST /standin/faults. The field "faults" holds
// memstore.Faults and replaces all active faults. The field "action" is save, restore
// (new generation) or rollback (same generation), "instanceLagMs" sets the lag of the
// instance list, and "removeInstance" removes an instance from it. An absent field
// changes nothing. A lost answer closes the connection without a response.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// maxWatchWait is the maximum time that a watch waits for a change.
const maxWatchWait = 5 * time.Minute

// Server serves a memstore.Store over HTTP.
type Server struct {
	store  *memstore.Store
	router *mux.Router

	mu         sync.Mutex
	saved      memstore.Snapshot
	httpServer *http.Server
}

// New returns a server of the store. The first saved state is the content of the store at
// this time.
func New(store *memstore.Store) *Server {
	s := &Server{store: store, router: mux.NewRouter().UseEncodedPath(), saved: store.Save()}
	s.router.HandleFunc("/v1/objects", s.listObjects).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{key:.+}", s.getObject).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{key:.+}", s.putObject).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/watch/{key:.+}", s.watchObject).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/instances", s.listInstances).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/instances", s.registerInstance).Methods(http.MethodPost)
	s.router.HandleFunc("/standin/ledger", s.serveLedger).Methods(http.MethodGet)
	s.router.HandleFunc("/standin/faults", s.serveFaults).Methods(http.MethodPost)
	return s
}

// Store returns the store behind the server.
func (s *Server) Store() *memstore.Store { return s.store }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Start listens on addr, a host:port where port 0 selects a free one, serves in the
// background and returns the base URL without a trailing slash.
func (s *Server) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrapf(err, "platform stand-in cannot listen on %s", addr)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.httpServer = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// Close stops the server and closes its listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return nil
	}
	return s.httpServer.Close()
}

type wireObject struct {
	Key        string          `json:"key"`
	Version    int64           `json:"version"`
	Generation int64           `json:"generation"`
	Value      json.RawMessage `json:"value,omitempty"`
}

func toWire(o platform.Object) wireObject {
	return wireObject{Key: o.Key, Version: o.Version, Generation: o.Generation, Value: o.Value}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), objectKey(r))
	writeResult(w, toWire(o), err)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter ifVersion must be an integer", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "request body cannot be read", http.StatusBadRequest)
		return
	}
	if len(value) > platform.MaxValueBytes {
		http.Error(w, "value exceeds the maximum size", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.store.Put(r.Context(), objectKey(r), value, ifVersion)
	writeResult(w, toWire(o), err)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	objects, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	wire := make([]wireObject, len(objects))
	for i, o := range objects {
		wire[i] = toWire(o)
	}
	writeResult(w, map[string]any{"objects": wire}, err)
}

func (s *Server) watchObject(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("afterVersion"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter afterVersion must be an integer", http.StatusBadRequest)
		return
	}
	generation, err := strconv.ParseInt(query.Get("generation"), 10, 64)
	if err != nil {
		generation = s.store.Generation()
	}
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	o, err := s.store.WatchFrom(r.Context(), objectKey(r), after, generation, wait)
	if errors.Is(err, platform.ErrNotFound) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeResult(w, toWire(o), err)
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Instances(r.Context())
	if list == nil {
		list = []platform.Instance{}
	}
	writeResult(w, map[string]any{"instances": list}, err)
}

func (s *Server) registerInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.Name == "" {
		http.Error(w, "request body must be an instance with a name", http.StatusBadRequest)
		return
	}
	s.store.RegisterInstance(instance)
	writeResult(w, instance, nil)
}
