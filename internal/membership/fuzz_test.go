package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
)

// TestMain fixes the seed of the fuzz tests unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// Fuzzes the exchange of a few processes against a simple oracle: whatever
// happens, no process goes back or applies a manifest that was not committed as
// valid, and once faults end all hold the same one, not older than any before.
func TestExchangeFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 10).Draw(t, "size")
		s := newSim(size, 0, rapid.Uint64().Draw(t, "seed"))
		generation := 1
		saved := []platform.Object{{}}
		process := rapid.IntRange(0, size-1)
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(*rapid.T) {
				// As Committer, exceed what is in force at the committing process.
				for i, x := range s.procs {
					next := api.Revision{Generation: generation, Version: int(s.object.Version) + 1}
					if !s.dead[i] && !manifest.Newer(next, x.Revision()) {
						generation = x.Revision().Generation + 1
					}
				}
				if next := (api.Revision{Generation: generation, Version: int(s.object.Version) + 1}); s.valid[next] != "" {
					generation++
				}
				s.commit(generation, false)
			},
			// A write past Committer. It gets a revision of its own: two contents under
			// one revision need such a write onto a rolled back store.
			"invalid": func(*rapid.T) {
				generation++
				s.commit(generation, true)
			},
			"save": func(*rapid.T) { saved = append(saved, s.object) },
			"restore": func(t *rapid.T) {
				old := saved[rapid.IntRange(0, len(saved)-1).Draw(t, "saved")]
				generation++
				s.restore(old, int64(generation))
			},
			"rollback": func(t *rapid.T) {
				old := saved[rapid.IntRange(0, len(saved)-1).Draw(t, "saved")]
				s.restore(old, s.object.Generation)
			},
			"outage":  func(t *rapid.T) { s.setDown(rapid.Bool().Draw(t, "down")) },
			"loss":    func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.3, 0.9, 1}).Draw(t, "loss") },
			"restart": func(t *rapid.T) { s.restart(process.Draw(t, "process")) },
			"kill": func(t *rapid.T) {
				i := process.Draw(t, "process")
				s.dead[i] = true
				delete(s.watches, i)
			},
			"late": func(t *rapid.T) {
				// A digest and an offer that were under way for long.
				if len(s.commits) == 0 {
					return
				}
				i := process.Draw(t, "process")
				revision := rapid.SampledFrom(s.commits).Draw(t, "revision")
				if !s.dead[i] {
					from := Peer{Instance: "late", Address: "late"}
					s.handle(i, DigestReceived{From: from, Digest: api.Digest{Revision: revision}})
					s.handle(i, ConfigReceived{From: from, Offer: api.ConfigOffer{Revision: revision, Manifest: []byte(s.valid[revision])}})
				}
			},
			"time": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * simTick)
			},
			"": func(t *rapid.T) {
				if len(s.violations) > 0 {
					t.Fatalf("%v", s.violations)
				}
			},
		})
		var highest api.Revision
		for i, x := range s.procs {
			if !s.dead[i] && manifest.Newer(x.Revision(), highest) {
				highest = x.Revision()
			}
		}
		if stored := manifest.RevisionOf(s.object); s.valid[stored] == string(s.object.Value) && s.object.Version > 0 && manifest.Newer(stored, highest) {
			highest = stored
		}
		s.loss = 0
		s.setDown(false)
		for i := range s.procs {
			if s.dead[i] {
				s.restart(i)
			}
		}
		s.run(90 * time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("%v", s.violations)
		}
		// A message under way may have brought a higher one than any process held.
		if !s.all(s.procs[0].Revision()) || manifest.Newer(highest, s.procs[0].Revision()) {
			for i, x := range s.procs {
				t.Logf("process %d holds %v", i, x.Revision())
			}
			t.Fatalf("not all processes hold the same or %v at least, the store holds %v of %d", highest, manifest.RevisionOf(s.object), s.object.Generation)
		}
	})
}

// tableModel is the oracle of Table for one member.
type tableModel struct {
	incarnation, sequence int
	own                   api.MemberState
	probe                 api.MemberState
	known                 bool
}

func (m *tableModel) apply(r api.Member, direct bool) {
	if m.known && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence < m.sequence) {
		return
	}
	if direct && m.probe == api.MemberStateDead {
		m.probe = ""
	}
	if m.known && r.Incarnation == m.incarnation && r.Sequence == m.sequence {
		return
	}
	if r.Incarnation > m.incarnation || m.probe != api.MemberStateDead && m.probe != api.MemberStateLeaving {
		m.probe = ""
	}
	*m = tableModel{incarnation: r.Incarnation, sequence: r.Sequence, own: r.State, probe: m.probe, known: true}
}

func (m *tableModel) state() api.MemberState {
	switch {
	case m.probe == api.MemberStateDead:
		return m.probe
	case m.own == api.MemberStateDead || m.own == api.MemberStateLeaving:
		return m.own
	case m.probe != "":
		return m.probe
	}
	return m.own
}

// Fuzzes Table against an oracle that keeps the highest word of each member and
// the last probe of its incarnation.
func TestTableFuzz(t *testing.T) {
	t.Parallel()
	states := rapid.SampledFrom([]api.MemberState{api.MemberStateBooting, api.MemberStateReady, api.MemberStateLeaving, api.MemberStateWedged})
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("self", TableConfig{})
		now := time.Unix(1000, 0)
		models := map[string]*tableModel{"a": {}, "b": {}, "c": {}}
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				m := api.Member{
					Instance: name.Draw(t, "name"), Incarnation: rapid.IntRange(1, 4).Draw(t, "incarnation"),
					Sequence: rapid.IntRange(0, 3).Draw(t, "sequence"), State: states.Draw(t, "state"),
				}
				source := Source(rapid.IntRange(0, 1).Draw(t, "source"))
				before := *models[m.Instance]
				models[m.Instance].apply(m, source == FromMember)
				_, changed := table.Apply(now, m, source)
				after := *models[m.Instance]
				moved := after.incarnation != before.incarnation || after.sequence != before.sequence || !before.known
				if changed != (moved || after.state() != before.state()) {
					t.Fatalf("reported change %v from %+v to %+v", changed, before, after)
				}
			},
			"dead": func(t *rapid.T) {
				n, i := name.Draw(t, "name"), rapid.IntRange(1, 4).Draw(t, "incarnation")
				table.MarkDead(now, n, i)
				if m := models[n]; m.known && m.incarnation == i {
					m.probe = api.MemberStateDead
				}
			},
			"probe": func(t *rapid.T) {
				n, i := name.Draw(t, "name"), rapid.IntRange(1, 4).Draw(t, "incarnation")
				signals := Signals{Ready: rapid.Bool().Draw(t, "ready"), Alive: rapid.Bool().Draw(t, "alive"), Leaving: rapid.Bool().Draw(t, "leaving")}
				table.Observe(now, n, i, signals)
				if m := models[n]; m.known && m.incarnation == i && m.probe != api.MemberStateLeaving {
					m.probe = map[bool]api.MemberState{true: api.MemberStateReady, false: api.MemberStateBooting}[signals.Ready]
					if !signals.Alive {
						m.probe = api.MemberStateWedged
					}
					if signals.Leaving {
						m.probe = api.MemberStateLeaving
					}
				}
			},
			"list": func(*rapid.T) {
				table.ApplyList(now, []platform.Instance{{Name: "self"}, {Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
			},
			"": func(t *rapid.T) {
				for n, m := range models {
					r, ok := table.Get(now, n)
					if !m.known {
						if ok && (r.Usable() || r.Member.Incarnation != 0) {
							t.Fatalf("%s is usable without a record: %+v", n, r)
						}
						continue
					}
					if !ok || r.Member.Incarnation != m.incarnation || r.Member.Sequence != m.sequence || r.State != m.state() {
						t.Fatalf("%s is %+v, want %+v with state %s", n, r, *m, m.state())
					}
				}
				if _, ok := table.Get(now, "self"); ok {
					t.Fatalf("table holds the process itself")
				}
			},
		})
	})
}

// Guards against the lagging list outweighing a member's own word, a list that
// cannot be read expiring members, and a dropped member coming back by relay.
func TestListIsTheWeakerSource(t *testing.T) {
	t.Parallel()
	table := NewTable("self", TableConfig{})
	now := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	other := platform.Instance{Name: "other"}
	word := api.Member{Instance: "a", Incarnation: 5, State: api.MemberStateReady}
	table.ApplyList(now, []platform.Instance{{Name: "a", Leaving: true}, other})
	table.Apply(now, word, FromMember)
	r, _ := table.Get(now, "a")
	assert.Assert(t, r.Usable(), "an old line of the list outweighed the member")
	r, _ = table.Get(after(20), "a")
	assert.Equal(t, r.State, api.MemberStateLeaving)
	table.ApplyList(after(20), nil)
	table.ApplyList(after(21), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(3600))), 0, "expired without a newer list")
	table.ApplyList(after(22), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(22))), 0)
	table.ApplyList(after(60), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(60))), 1)
	_, changed := table.Apply(after(61), word, FromPeer)
	assert.Assert(t, !changed, "a relayed record brought a dropped member back")
	_, changed = table.Apply(after(62), word, FromMember)
	assert.Assert(t, changed)
}

// Guards against one restart of the list service dropping most members.
func TestMassLossOfTheListIsDoubted(t *testing.T) {
	t.Parallel()
	table := NewTable("self", TableConfig{})
	now := time.Unix(1000, 0)
	var all []platform.Instance
	for i := range 10 {
		all = append(all, platform.Instance{Name: fmt.Sprint(i)})
	}
	table.ApplyList(now, all)
	table.ApplyList(now.Add(time.Second), all[:2])
	table.ApplyList(now.Add(time.Minute), all[:2])
	assert.Equal(t, len(table.Expire(now.Add(time.Minute))), 0)
	table.ApplyList(now.Add(10*time.Minute), all[:2])
	assert.Equal(t, len(table.Expire(now.Add(10*time.Minute))), 8)
}
