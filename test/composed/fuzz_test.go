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

// healTime is the virtual time after which everything must be settled.
const healTime = 90 * time.Second

// Guards against any break of the guarantees by a combination of faults.
func TestComposedGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		m := &machine{w: w}
		t.Repeat(map[string]func(*rapid.T){
			"chat": m.chat, "service": m.service, "advance": m.advance, "killEntry": m.killEntry, "killSidecar": m.killSidecar,
			"freezeEntry": m.freezeEntry, "freezeSidecar": m.freezeSidecar, "thaw": m.thaw, "cutLink": m.cutLink, "peers": m.peerFaults,
			"store": m.storeFaults, "engine": m.engineFaults, "commit": m.commit, "drainSidecar": m.drainSidecar,
			"": func(t *rapid.T) { m.check(t) },
		})
		m.heal()
		w.advance(healTime)
		w.oracle.finish()
		m.check(t)
	})
}

// machine draws the actions.
type machine struct {
	w      *world
	number int
	tokens []issued
}

// issued is a session handle that a caller got.
type issued struct {
	token, customer, version string
}

func (m *machine) check(t *rapid.T) {
	if len(m.w.oracle.broken) > 0 {
		t.Fatalf("%s", strings.Join(m.w.oracle.broken, "\n"))
	}
}

func (m *machine) customer(t *rapid.T) (name, key string) {
	if rapid.Bool().Draw(t, "south") {
		return "south", keySouth
	}
	return "north", keyNorth
}

func (m *machine) submit(t *rapid.T, r entry.RequestArrived, customer, pin string) {
	n := m.w.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")]
	if !n.alive {
		return
	}
	m.number++
	r.Request = fmt.Sprintf("r%d", m.number)
	m.w.oracle.sent(&call{request: r, customer: customer, node: n, nodeAt: n.incarnation, sentAt: m.w.now, pin: pin})
	m.w.toEntry(n, n.incarnation, r)
}

func (m *machine) chat(t *rapid.T) {
	customer, key := m.customer(t)
	r := entry.RequestArrived{
		Key: key, Kind: api.RunKindChat, Model: rapid.SampledFrom([]string{"auto", "small", "large-1"}).Draw(t, "model"),
		Messages: []api.ChatMessage{{Role: "user", Content: fmt.Sprintf("question %d", rapid.IntRange(0, 20).Draw(t, "prompt"))}},
		Stream:   rapid.Bool().Draw(t, "stream"),
	}
	pin := ""
	switch rapid.IntRange(0, 3).Draw(t, "session") {
	case 0:
		r.Session = entry.SessionNew
	case 1:
		if s := m.session(t); s != nil {
			r.Session, r.Model, r.Key, customer, pin = s.token, "auto", keyOf(s.customer), s.customer, s.version
		}
	}
	m.submit(t, r, customer, pin)
}

func keyOf(customer string) string {
	if customer == "south" {
		return keySouth
	}
	return keyNorth
}

// session returns a handle that an earlier answer carried.
func (m *machine) session(t *rapid.T) *issued {
	m.tokens = m.tokens[:0]
	for _, id := range m.w.oracle.order {
		c := m.w.oracle.calls[id]
		if c.answer != nil && c.answer.Err == nil && c.answer.Session != "" {
			m.tokens = append(m.tokens, issued{c.answer.Session, c.customer, c.answer.Version})
		}
	}
	if len(m.tokens) == 0 {
		return nil
	}
	return &m.tokens[rapid.IntRange(0, len(m.tokens)-1).Draw(t, "token")]
}

func (m *machine) service(t *rapid.T) {
	customer, key := m.customer(t)
	number := rapid.IntRange(0, 6).Draw(t, "key")
	m.submit(t, entry.RequestArrived{
		Key: key, Kind: api.RunKindService, Service: "booking",
		Operation:      rapid.SampledFrom([]string{"confirm", "confirm", "find"}).Draw(t, "operation"),
		IdempotencyKey: fmt.Sprintf("k%d", number),
		Body:           json.RawMessage(fmt.Sprintf(`{"n":%d}`, number)),
	}, customer, "")
}

func (m *machine) advance(t *rapid.T) {
	m.w.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 200, 1500, 4000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) killEntry(t *rapid.T) {
	n := m.w.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")]
	m.w.killEntry(n)
	m.w.startEntry(n)
}

func (m *machine) killSidecar(t *rapid.T) {
	s := m.w.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")]
	m.w.killSidecar(s)
	down := time.Duration(rapid.IntRange(0, 2000).Draw(t, "down")) * time.Millisecond
	incarnation := s.incarnation
	m.w.after(down, func() {
		if s.incarnation == incarnation && !s.alive {
			m.w.startSidecar(s)
		}
	})
}

func (m *machine) freezeEntry(t *rapid.T) {
	m.w.entries[rapid.IntRange(0, entryCount-1).Draw(t, "entry")].freeze(m.w.now)
}

func (m *machine) freezeSidecar(t *rapid.T) {
	m.w.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")].freeze(m.w.now)
}

func (m *machine) thaw(*rapid.T) {
	for _, n := range m.w.entries {
		n.thaw(m.w.now)
	}
	for _, s := range m.w.sidecars {
		s.thaw(m.w.now)
	}
}

func (m *machine) cutLink(t *rapid.T) {
	s := m.w.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")]
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; l != nil {
			m.w.cutLink(l)
			return
		}
	}
}

func (m *machine) storeFaults(t *rapid.T) {
	m.w.store.SetFaults(memstore.Faults{
		Unavailable: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
		DropWrites: rapid.IntRange(0, 2).Draw(t, "drop"),
	})
}

func (m *machine) engineFaults(t *rapid.T) {
	m.w.faults = engineFaults{
		refuse: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "refuse"), fail: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "fail"),
		truncate: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "truncate"),
	}
}

func (m *machine) commit(t *rapid.T) {
	phase := rapid.SampledFrom([]api.Phase{api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn}).Draw(t, "phase")
	m.w.commit(testManifest(phase, rapid.Bool().Draw(t, "south may use large")))
}

func (m *machine) drainSidecar(t *rapid.T) {
	m.w.drain(m.w.sidecars[rapid.IntRange(0, sidecarCount-1).Draw(t, "sidecar")])
}

func (m *machine) heal() {
	m.w.faults = engineFaults{}
	m.w.peers = peerFaults{}
	m.w.store.SetFaults(memstore.Faults{})
	m.thaw(nil)
}
