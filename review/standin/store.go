package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

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

// storeCopy is the state of the store at a moment.
type storeCopy struct {
	revision int64
	objects  map[string]map[string]object
	history  int
}

// store is a stand-in for the platform's store.
type store struct {
	record *record

	mu       sync.Mutex
	era      int64
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	isAway   bool
	// known holds, by gateway and kind, when the gateway first asked for what comes after a revision.
	known map[string][]knowledge
}

// knowledge is a call by which a gateway shows that it has read a kind up to a revision.
type knowledge struct {
	kind          string
	era, revision int64
	at            time.Time
}

func newStore(r *record) *store {
	return &store{record: r, era: 1, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), known: map[string][]knowledge{}}
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

// remove removes an object and returns the revision.
func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Metadata.Revision = s.revision
		s.commit(change{kind: kind, Object: o, Removed: true})
	}
	return s.revision
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
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// backUp returns a copy of the store.
func (s *store) backUp() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: map[string]map[string]object{}, history: len(s.history)}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// leave takes the store away: it refuses calls and cuts the watches that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = true
	s.wake()
}

// comeBack brings the store back from a copy, in the next era.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = false
	s.era++
	s.revision, s.objects, s.history = c.revision, c.objects, s.history[:c.history:c.history]
	s.wake()
}

// knewAt returns when a gateway first showed that it had read a kind up to a revision of an era.
func (s *store) knewAt(gateway, kind string, era, revision int64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.known[gateway] {
		if k.kind == kind && k.era == era && k.revision >= revision {
			return k.at, true
		}
	}
	return time.Time{}, false
}

// serve returns an address of the store for one gateway.
func (s *store) serve(gateway string) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(gateway, w, r) })}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), server, nil
}

func (s *store) answer(gateway string, w http.ResponseWriter, r *http.Request) {
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	if s.refuse(w) {
		return
	}
	switch {
	case r.URL.Query().Has("Watch"):
		s.watch(gateway, w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case strings.HasSuffix(rest, "/status"):
		s.putStatus(w, r, kind, strings.TrimSuffix(rest, "/status"))
	default:
		w.WriteHeader(http.StatusBadRequest) // nothing else is written in these cases
	}
}

// refuse states the era and refuses the call while the store is away.
func (s *store) refuse(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(platform.EraHeader, strconv.FormatInt(s.era, 10))
	if s.isAway {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.isAway
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(platform.EraHeader, strconv.FormatInt(s.era, 10))
	out := struct {
		Items         []object
		HasMore       bool
		StoreRevision int64
	}{StoreRevision: s.revision, Items: []object{}}
	for _, o := range s.objects[kind] {
		out.Items = append(out.Items, o)
	}
	_ = json.NewEncoder(w).Encode(out) // on an error the gateway gets a part and calls again
}

func (s *store) watch(gateway string, w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timer := time.After(time.Duration(wait) * time.Millisecond)
	out := struct {
		Events        []change `json:"events"`
		StoreRevision int64
	}{Events: []change{}}
	s.mu.Lock()
	era := s.era
	s.known[gateway] = append(s.known[gateway], knowledge{kind, era, since, time.Now()})
	s.mu.Unlock()
	for isDue := false; ; {
		s.mu.Lock()
		w.Header().Set(platform.EraHeader, strconv.FormatInt(s.era, 10))
		if s.isAway || s.era != era || since > s.revision {
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
		if len(out.Events) > 0 || isDue {
			_ = json.NewEncoder(w).Encode(out) // on an error the gateway gets a part and calls again
			return
		}
		select {
		case <-changed:
		case <-timer:
			isDue = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	_ = json.NewEncoder(w).Encode(o) // on an error the gateway gets a part and calls again
}
