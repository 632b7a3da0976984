package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// object and change have the encoding of the platform's store.
type object struct {
	Metadata struct {
		Name                 string
		Revision, CreatedRev int64
	}
	Spec   any
	Status any
}

type change struct {
	kind    string
	Object  object
	Removed bool
}

// store stands in for the platform's store.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns when the store is closed
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes the Spec of an object, as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = spec
	s.commit(kind, name, o)
}

// commit stores a changed object. The caller holds the lock.
func (s *store) commit(kind, name string, o object) object {
	s.revision++
	if o.Metadata.Name == "" {
		o.Metadata.Name, o.Metadata.CreatedRev = name, s.revision
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.append(change{kind: kind, Object: o})
	return o
}

func (s *store) append(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// renew is a heartbeat: of the entry, only the sequence changes, which is no change that watches see.
func (s *store) renew(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		o.Spec = spec
		s.objects[kind][name] = o
	}
}

// remove removes an object, as a worker that leaves does, or the store itself.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.append(change{kind: kind, Object: o, Removed: true})
	}
}

// statusOf returns a field of the Status of an object, "" without one.
func (s *store) statusOf(kind, name, field string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, _ := s.objects[kind][name].Status.(map[string]any)
	value, _ := status[field].(string)
	return value
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.EraHeader, "1")
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name)
	}
}

// maxPage is the number of objects in one page of a list.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items         []object
		HasMore       bool
		StoreRevision int64
	}{Items: []object{}, StoreRevision: s.revision}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("After") {
			out.Items = append(out.Items, o)
		}
	}
	slices.SortFunc(out.Items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if out.HasMore = len(out.Items) > maxPage; out.HasMore {
		out.Items = out.Items[:maxPage]
	}
	answer(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(w, struct {
				Events        []change `json:"events"`
				StoreRevision int64
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-timer:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// write does what a gateway asks for: it creates an object, replaces its Spec or Status, or removes it.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && exists && in.Metadata.Revision != 0 && in.Metadata.Revision != known.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		answer(w, known)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		known.Metadata.Revision = s.revision
		s.append(change{kind: kind, Object: known, Removed: true})
		answer(w, known)
		return
	case isStatus:
		known.Status = in.Status
	default:
		known.Spec = in.Spec
	}
	answer(w, s.commit(kind, name, known))
}

func answer(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // a gateway that is gone reads nothing
}
