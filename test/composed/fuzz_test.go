package composed

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// settleTime is the virtual time after the last fault within which all requests
// must be answered and billed.
const settleTime = 90 * time.Second

// Guards against violations of the guarantees by random combinations of faults.
func TestComposedGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		m := &stateMachine{sim: sim}
		t.Repeat(map[string]func(*rapid.T){
			"chat": m.chat, "service": m.service, "advance": m.advance, "killEntry": m.killEntry, "killSidecar": m.killSidecar,
			"freezeEntry": m.freezeEntry, "freezeSidecar": m.freezeSidecar, "thaw": m.thaw, "cutLink": m.cutLink, "peers": m.peerFaults,
			"store": m.storeFaults, "engine": m.engineFaults, "commit": m.commit, "drainSidecar": m.drainSidecar,
			"": func(t *rapid.T) { m.checkViolations(t) },
		})
		m.clearFaults()
		sim.advance(settleTime)
		sim.oracle.checkFinalState()
		m.checkViolations(t)
	})
}

// stateMachine draws and runs the actions of the fuzz test.
type stateMachine struct {
	sim          *simulation
	requestCount int
	sessions     []sessionHandle
}

// sessionHandle is a session handle that a caller received, with its customer and
// version.
type sessionHandle struct {
	token, customer, version string
}

func (m *stateMachine) checkViolations(t *rapid.T) {
	if len(m.sim.oracle.violations) > 0 {
		t.Fatalf("%s", strings.Join(m.sim.oracle.violations, "\n"))
	}
}

func (m *stateMachine) customer(t *rapid.T) (name, key string) {
	if rapid.Bool().Draw(t, "south") {
		return "south", keySouth
	}
	return "north", keyNorth
}

func (m *stateMachine) submit(t *rapid.T, r entry.RequestArrived, customer, pinnedVersion string) {
	n := m.sim.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")]
	if !n.alive {
		return
	}
	m.requestCount++
	r.Request = fmt.Sprintf("r%d", m.requestCount)
	m.sim.oracle.recordCall(&call{request: r, customer: customer, node: n, nodeIncarnation: n.incarnation, sentAt: m.sim.now, pinnedVersion: pinnedVersion})
	m.sim.deliverToEntry(n, n.incarnation, r)
}

func (m *stateMachine) chat(t *rapid.T) {
	customer, key := m.customer(t)
	r := entry.RequestArrived{
		APIKey: key, Kind: api.RunKindChat, Model: rapid.SampledFrom([]string{"auto", "small", "large-1"}).Draw(t, "model"),
		Messages: []api.ChatMessage{{Role: "user", Content: fmt.Sprintf("question %d", rapid.IntRange(0, 20).Draw(t, "prompt"))}},
		Stream:   rapid.Bool().Draw(t, "stream"),
	}
	pinnedVersion := ""
	switch rapid.IntRange(0, 3).Draw(t, "session") {
	case 0:
		r.Session = entry.SessionNew
	case 1:
		if s := m.session(t); s != nil {
			r.Session, r.Model, r.APIKey, customer, pinnedVersion = s.token, "auto", apiKeyOf(s.customer), s.customer, s.version
		}
	}
	m.submit(t, r, customer, pinnedVersion)
}

func apiKeyOf(customer string) string {
	if customer == "south" {
		return keySouth
	}
	return keyNorth
}

// session returns a random session handle of an earlier answer, or nil if there is
// none.
func (m *stateMachine) session(t *rapid.T) *sessionHandle {
	m.sessions = m.sessions[:0]
	for _, id := range m.sim.oracle.requestOrder {
		c := m.sim.oracle.calls[id]
		if c.answer != nil && c.answer.Err == nil && c.answer.Session != "" {
			m.sessions = append(m.sessions, sessionHandle{c.answer.Session, c.customer, c.answer.Version})
		}
	}
	if len(m.sessions) == 0 {
		return nil
	}
	return &m.sessions[rapid.IntRange(0, len(m.sessions)-1).Draw(t, "token")]
}

func (m *stateMachine) service(t *rapid.T) {
	customer, key := m.customer(t)
	number := rapid.IntRange(0, 6).Draw(t, "key")
	m.submit(t, entry.RequestArrived{
		APIKey: key, Kind: api.RunKindService, Service: "booking",
		Operation:      rapid.SampledFrom([]string{"confirm", "confirm", "find"}).Draw(t, "operation"),
		IdempotencyKey: fmt.Sprintf("k%d", number),
		Body:           json.RawMessage(fmt.Sprintf(`{"n":%d}`, number)),
	}, customer, "")
}

func (m *stateMachine) advance(t *rapid.T) {
	m.sim.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 200, 1500, 4000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) killEntry(t *rapid.T) {
	n := m.sim.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")]
	m.sim.killEntry(n)
	m.sim.startEntry(n)
}

func (m *stateMachine) killSidecar(t *rapid.T) {
	s := m.sim.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")]
	m.sim.killSidecar(s)
	downtime := time.Duration(rapid.IntRange(0, 2000).Draw(t, "down")) * time.Millisecond
	incarnation := s.incarnation
	m.sim.schedule(downtime, func() {
		if s.incarnation == incarnation && !s.alive {
			m.sim.startSidecar(s)
		}
	})
}

func (m *stateMachine) freezeEntry(t *rapid.T) {
	m.sim.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")].freeze(m.sim.now)
}

func (m *stateMachine) freezeSidecar(t *rapid.T) {
	m.sim.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")].freeze(m.sim.now)
}

func (m *stateMachine) thaw(*rapid.T) {
	for _, n := range m.sim.entries {
		n.thaw(m.sim.now)
	}
	for _, s := range m.sim.sidecars {
		s.thaw(m.sim.now)
	}
}

func (m *stateMachine) cutLink(t *rapid.T) {
	s := m.sim.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")]
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; l != nil {
			m.sim.cutLink(l)
			return
		}
	}
}

func (m *stateMachine) storeFaults(t *rapid.T) {
	m.sim.store.SetFaults(memstore.Faults{
		Unavailable: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
		DropWrites: rapid.IntRange(0, 2).Draw(t, "drop"),
	})
}

func (m *stateMachine) engineFaults(t *rapid.T) {
	m.sim.engineFaults = engineFaults{
		refuse: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "refuse"), fail: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "fail"),
		truncate: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "truncate"),
	}
}

func (m *stateMachine) commit(t *rapid.T) {
	phase := rapid.SampledFrom([]api.Phase{api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn}).Draw(t, "phase")
	m.sim.commitManifest(testManifest(phase, rapid.Bool().Draw(t, "south may use large")))
}

func (m *stateMachine) drainSidecar(t *rapid.T) {
	m.sim.drainSidecar(m.sim.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")])
}

// clearFaults ends every fault and thaws all processes.
func (m *stateMachine) clearFaults() {
	m.sim.engineFaults = engineFaults{}
	m.sim.peerFaults = peerFaults{}
	m.sim.store.SetFaults(memstore.Faults{})
	m.thaw(nil)
}
