// Package platform is the stand-in of the platform's object API and instance
// list, served over HTTP as docs/protocols.md describes.
//
// Fault injection: POST /standin/faults takes the JSON form of memstore.Faults
// and replaces the faults in force. The same address also takes one of the
// actions save, restore (higher generation) and rollback (same generation) in
// the field "action", and "instanceLagMs". A field that is absent changes
// nothing, except that "faults" replaces all faults. A lost answer closes the
// connection without a response.
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

// maxWait bounds a waiting watch.
const maxWait = 5 * time.Minute

// Server serves a memstore.Store over HTTP.
type Server struct {
	store  *memstore.Store
	router *mux.Router

	mu    sync.Mutex
	saved memstore.Saved
	http  *http.Server
}

// New returns a server of the store.
func New(store *memstore.Store) *Server {
	s := &Server{store: store, router: mux.NewRouter().UseEncodedPath(), saved: store.Save()}
	s.router.HandleFunc("/v1/objects", s.list).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{key:.+}", s.get).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/objects/{key:.+}", s.put).Methods(http.MethodPut)
	s.router.HandleFunc("/v1/watch/{key:.+}", s.watch).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/instances", s.instances).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/instances", s.register).Methods(http.MethodPost)
	s.router.HandleFunc("/standin/ledger", s.ledger).Methods(http.MethodGet)
	s.router.HandleFunc("/standin/faults", s.inject).Methods(http.MethodPost)
	return s
}

// Store returns the store behind the server.
func (s *Server) Store() *memstore.Store { return s.store }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Start listens on addr ("127.0.0.1:0" picks a port) and returns the base URL.
func (s *Server) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrapf(err, "platform stand-in cannot listen on %s", addr)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// Close stops the listener and drops all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	return s.http.Close()
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

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), key(r))
	answer(w, toWire(o), err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "ifVersion is not a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	if len(value) > platform.MaxValueBytes {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.store.Put(r.Context(), key(r), value, ifVersion)
	answer(w, toWire(o), err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	wire := make([]wireObject, len(objects))
	for i, o := range objects {
		wire[i] = toWire(o)
	}
	answer(w, map[string]any{"objects": wire}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("afterVersion"), 10, 64)
	if err != nil {
		http.Error(w, "afterVersion is not a number", http.StatusBadRequest)
		return
	}
	generation, err := strconv.ParseInt(query.Get("generation"), 10, 64)
	if err != nil {
		generation = s.store.Generation()
	}
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	o, err := s.store.WatchFrom(r.Context(), key(r), after, generation, wait)
	if errors.Is(err, platform.ErrNotFound) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	answer(w, toWire(o), err)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Instances(r.Context())
	if list == nil {
		list = []platform.Instance{}
	}
	answer(w, map[string]any{"instances": list}, err)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.Name == "" {
		http.Error(w, "body is not an instance", http.StatusBadRequest)
		return
	}
	s.store.RegisterInstance(instance)
	answer(w, instance, nil)
}
