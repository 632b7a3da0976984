package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// metadata, object and change have the encoding of the platform's store.
type metadata struct {
	Name       string
	Revision   int64
	CreatedRev int64
}

type object struct {
	Metadata metadata
	Spec     any
	Status   any
}

type change struct {
	kind    string
	Object  object
	Removed bool
}

// store is an in-process stand-in for the platform's store.
type store struct {
	mu                sync.Mutex
	revision          int64
	objects           map[string]map[string]object
	history           []change
	compactedRevision int64 // changes up to this revision cannot be watched
	changed           chan struct{}
	// fault is "", "down" (refuses requests), "slow" (delays responses) or "lost" (applies status
	// writes but drops their responses).
	fault string
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes the Spec of an object, as an operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	s.revision++
	if o.Metadata.Name == "" {
		o.Metadata = metadata{Name: name, CreatedRev: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.commit(change{kind: kind, Object: o})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Metadata.Revision = s.revision
		s.commit(change{kind: kind, Object: o, Removed: true})
	}
}

// commit applies a change and wakes the watches. The caller holds s.mu.
func (s *store) commit(c change) {
	if s.objects[c.kind] == nil {
		s.objects[c.kind] = map[string]object{}
	}
	s.objects[c.kind][c.Object.Metadata.Name] = c.Object
	if c.Removed {
		delete(s.objects[c.kind], c.Object.Metadata.Name)
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact makes the current history unavailable, so that every watch fails and its client must
// list the objects again.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case "down":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "slow":
		time.Sleep(slowStoreDelay)
	}
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	switch {
	case r.Method == http.MethodPut:
		s.putStatus(w, r, kind, strings.TrimSuffix(rest, "/status"), fault == "lost")
	case r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind)
	}
}

// slowStoreDelay is the delay of each response under the fault "slow".
const slowStoreDelay = 250 * time.Millisecond

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items         []object
		HasMore       bool
		StoreRevision int64
	}{StoreRevision: s.revision, Items: []object{}}
	for _, o := range s.objects[kind] {
		out.Items = append(out.Items, o)
	}
	_ = json.NewEncoder(w).Encode(out) // on an error the gateway receives a truncated response
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timer := time.After(time.Duration(wait) * time.Millisecond)
	out := struct {
		Events        []change `json:"events"`
		StoreRevision int64
	}{Events: []change{}}
	for {
		s.mu.Lock()
		if since < s.compactedRevision || s.fault == "down" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				out.Events = append(out.Events, c)
			}
		}
		out.StoreRevision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(out) // on an error the gateway receives a truncated response
		return
	}
}

func (s *store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string, loseResponse bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok || in.Metadata.Revision != o.Metadata.Revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, in.Status
	s.commit(change{kind: kind, Object: o})
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(o) // on an error the gateway receives a truncated response
}
