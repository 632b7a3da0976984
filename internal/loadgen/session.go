package loadgen

import (
	"strconv"
	"sync"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// sessions holds the active sessions by name.
type sessions struct {
	mu     sync.Mutex
	byName map[string]*session
}

// session holds the token of a session's last answer, the version that serves it and the
// number of its turns so far.
type session struct {
	token     string
	version   string
	turnCount int
}

// turn is one request of a session. name is empty for a request without a session; session is
// a copy of the session at the start of the turn, or nil when the turn starts it.
type turn struct {
	sessions *sessions
	name     string
	maxTurns int
	session  *session
}

// beginTurn returns the turn of an arrival. An arrival starts its session when the session has
// no token yet.
func (s *sessions) beginTurn(a arrival, class api.LoadClass) turn {
	name, maxTurns := a.session, 0
	if class.Sessions > 0 {
		name, maxTurns = class.Name+" "+strconv.Itoa(a.number%class.Sessions), class.Turns
	}
	t := turn{sessions: s, name: name, maxTurns: maxTurns}
	if name == "" {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.byName[name]; current != nil {
		snapshot := *current
		t.session = &snapshot
	}
	return t
}

func (t turn) token() string {
	if t.session == nil {
		return ""
	}
	return t.session.token
}

// recordAnswer stores the token of a turn's answer and reports whether the session has moved
// to another version.
func (t turn) recordAnswer(token, version string) bool {
	if t.name == "" {
		return false
	}
	t.sessions.mu.Lock()
	defer t.sessions.mu.Unlock()
	if t.session != nil {
		t.countTurn(token)
		return version != t.session.version
	}
	if token != "" && t.sessions.byName[t.name] == nil {
		t.sessions.byName[t.name] = &session{token: token, version: version, turnCount: 1}
	}
	return false
}

// countTurn stores the new token, counts the turn and ends the session after its last turn.
func (t turn) countTurn(token string) {
	current := t.sessions.byName[t.name]
	if current == nil {
		return
	}
	if token != "" {
		current.token = token
	}
	current.turnCount++
	if t.maxTurns > 0 && current.turnCount >= t.maxTurns {
		delete(t.sessions.byName, t.name)
	}
}

// recordRefusal ends the session when the error kind states that the router no longer accepts
// it.
func (t turn) recordRefusal(kind string) {
	if t.session == nil {
		return
	}
	if kind != string(errkind.SessionInvalid) && kind != string(errkind.VersionWithdrawn) {
		return
	}
	t.sessions.mu.Lock()
	defer t.sessions.mu.Unlock()
	delete(t.sessions.byName, t.name)
}
