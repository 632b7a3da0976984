package main

import (
	"encoding/json"
	"maps"
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
	// byOthers is set for what the operator and the workers wrote.
	byOthers bool
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
	// era rises by one each time the store is restored from an older copy.
	era    int64
	copies []storeCopy
	// lost holds what the operator and the workers wrote after the copy, restoredRevision is that of
	// the copy.
	lost             []change
	restoredRevision int64
	// finalStates holds the first final state that was recorded for each rollout.
	finalStates map[string]string
}

// storeCopy is the state of the store at a moment.
type storeCopy struct {
	at       time.Time
	revision int64
	objects  map[string]map[string]object
	history  int
}

func newStore() *store {
	return &store{era: 1, revision: 1, finalStates: map[string]string{}, objects: map[string]map[string]object{}, changed: make(chan struct{})}
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
	s.commit(change{kind: kind, Object: o, byOthers: true})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Metadata.Revision = s.revision
		s.commit(change{kind: kind, Object: o, Removed: true, byOthers: true})
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
	s.keepCopy()
	close(s.changed)
	s.changed = make(chan struct{})
}

const (
	// copyAge is the least age of the copy that the store comes back from.
	copyAge   = 1500 * time.Millisecond
	maxCopies = 64
)

// keepCopy keeps the present state. The caller holds s.mu.
func (s *store) keepCopy() {
	c := storeCopy{at: time.Now(), revision: s.revision, objects: map[string]map[string]object{}, history: len(s.history)}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	s.copies = append(s.copies, c)
	if len(s.copies) > maxCopies {
		s.copies = s.copies[1:]
	}
}

// restore brings the store back from the newest copy that is old enough. Revisions go back and are
// given out again in a new era.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.copies) - 1; i >= 0; i-- {
		c := s.copies[i]
		if time.Since(c.at) < copyAge {
			continue
		}
		for _, lost := range s.history[c.history:] {
			if lost.byOthers {
				s.lost = append(s.lost, lost)
			}
		}
		s.era++
		s.revision, s.objects, s.history, s.copies = c.revision, c.objects, s.history[:c.history:c.history], s.copies[:i]
		s.restoredRevision = s.revision
		s.compactedRevision = min(s.compactedRevision, s.revision)
		s.keepCopy()
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
}

// writeAgain writes what the operator and the workers wrote before the store was restored.
func (s *store) writeAgain() {
	s.mu.Lock()
	lost := s.lost
	s.lost = nil
	written := map[string]bool{}
	for kind, byName := range s.objects {
		for name, o := range byName {
			written[kind+"/"+name] = o.Metadata.Revision > s.restoredRevision
		}
	}
	s.mu.Unlock()
	for _, c := range lost {
		if written[c.kind+"/"+c.Object.Metadata.Name] {
			continue // written anew since
		}
		if c.Removed {
			s.remove(c.kind, c.Object.Metadata.Name)
			continue
		}
		s.put(c.kind, c.Object.Metadata.Name, c.Object.Spec)
	}
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
	s.stateEra(w)
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
	case r.Method == http.MethodPost:
		s.create(w, r, kind, fault == "lost")
	case r.Method == http.MethodPut && !strings.HasSuffix(rest, "/status"):
		s.replaceSpec(w, r, kind, rest, fault == "lost")
	case r.Method == http.MethodDelete:
		s.remove(kind, rest)
		_, _ = w.Write([]byte("{}")) // on an error the gateway receives a truncated response
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

// stateEra states the era in a response. The caller holds s.mu while it reads what the response holds.
func (s *store) stateEra(w http.ResponseWriter) {
	w.Header().Set(platform.EraHeader, strconv.FormatInt(s.era, 10))
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
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
		s.stateEra(w)
		if since < s.compactedRevision || since > s.revision || s.fault == "down" {
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

// recordFinalState keeps the final state of a rollout. The caller holds s.mu.
func (s *store) recordFinalState(o object) {
	if state := rolloutState(o); s.finalStates[o.Metadata.Name] == "" && (state == "completed" || state == "rolled_back") {
		s.finalStates[o.Metadata.Name] = state
	}
}

func rolloutState(o object) string {
	status, _ := o.Status.(map[string]any)
	state, _ := status["State"].(string)
	return state
}

// create creates an object that a gateway writes, or answers 409.
func (s *store) create(w http.ResponseWriter, r *http.Request, kind string, loseResponse bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	if _, ok := s.objects[kind][in.Metadata.Name]; ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision++
	in.Metadata.Revision, in.Metadata.CreatedRev = s.revision, s.revision
	s.answerWrite(w, kind, in, loseResponse)
}

// replaceSpec replaces the Spec of an object that a gateway writes, or answers 404.
func (s *store) replaceSpec(w http.ResponseWriter, r *http.Request, kind, name string, loseResponse bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.revision++
	o.Metadata.Revision, o.Spec = s.revision, in.Spec
	s.answerWrite(w, kind, o, loseResponse)
}

// answerWrite commits what a gateway wrote and answers with it. The caller holds s.mu.
func (s *store) answerWrite(w http.ResponseWriter, kind string, o object, loseResponse bool) {
	s.commit(change{kind: kind, Object: o})
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(o) // on an error the gateway receives a truncated response
}

func (s *store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string, loseResponse bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	o, ok := s.objects[kind][name]
	if !ok || in.Metadata.Revision != o.Metadata.Revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, in.Status
	s.recordFinalState(o)
	s.answerWrite(w, kind, o, loseResponse)
}
