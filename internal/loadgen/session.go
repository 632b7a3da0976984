package loadgen

import (
	"strconv"
	"sync"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// sessions holds the session tokens that entries have issued.
type sessions struct {
	mu   sync.Mutex
	held map[string]*session
}

// session is one session: the token of its last answer and its version.
type session struct {
	token   string
	version string
	turns   int
}

// turn is one request of a session; a nil session means none.
type turn struct {
	all   *sessions
	name  string
	limit int
	sent  *session
}

// take begins a turn. A session without a token yet starts with this request.
func (all *sessions) take(a arrival, class api.LoadClass) turn {
	name, limit := a.session, 0
	if class.Sessions > 0 {
		name, limit = class.Name+" "+strconv.Itoa(a.number%class.Sessions), class.Turns
	}
	t := turn{all: all, name: name, limit: limit}
	if name == "" {
		return t
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	if held := all.held[name]; held != nil {
		copied := *held
		t.sent = &copied
	}
	return t
}

func (t turn) token() string {
	if t.sent == nil {
		return ""
	}
	return t.sent.token
}

// done records the answer of a turn and reports whether the session has moved to
// another version.
func (t turn) done(token, version string) bool {
	if t.name == "" {
		return false
	}
	t.all.mu.Lock()
	defer t.all.mu.Unlock()
	if t.sent != nil {
		t.advance(token)
		return version != t.sent.version
	}
	if token != "" && t.all.held[t.name] == nil {
		t.all.held[t.name] = &session{token: token, version: version, turns: 1}
	}
	return false
}

// advance counts a turn and ends the session after its last one.
func (t turn) advance(token string) {
	held := t.all.held[t.name]
	if held == nil {
		return
	}
	if token != "" {
		held.token = token
	}
	held.turns++
	if t.limit > 0 && held.turns >= t.limit {
		delete(t.all.held, t.name)
	}
}

// refused ends a session that the router no longer accepts.
func (t turn) refused(kind string) {
	if t.sent == nil {
		return
	}
	if kind != string(errkind.SessionInvalid) && kind != string(errkind.VersionWithdrawn) {
		return
	}
	t.all.mu.Lock()
	defer t.all.mu.Unlock()
	delete(t.all.held, t.name)
}
