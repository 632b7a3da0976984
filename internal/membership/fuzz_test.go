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

// TestMain sets a fixed seed for the fuzz tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// Guards against an exchange of 2 to 10 processes violating its invariants under
// random commits, store faults, message loss and restarts: a process never applies
// an older manifest or one that was not committed as valid, and after the faults
// end all processes hold the same one, no older than any held before.
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
				// Like Committer, use a revision above the one in force in any process.
				for i, x := range s.procs {
					next := api.Revision{Generation: generation, Version: int(s.object.Version) + 1}
					if !s.dead[i] && !manifest.IsNewer(next, x.Revision()) {
						generation = x.Revision().Generation + 1
					}
				}
				if next := (api.Revision{Generation: generation, Version: int(s.object.Version) + 1}); s.valid[next] != "" {
					generation++
				}
				s.commit(generation, false)
			},
			// A write that bypasses Committer. It gets a new revision, because two
			// manifests share a revision only after such a write to a rolled back store.
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
			"outage":  func(t *rapid.T) { s.setStoreDown(rapid.Bool().Draw(t, "down")) },
			"loss":    func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.3, 0.9, 1}).Draw(t, "loss") },
			"restart": func(t *rapid.T) { s.restart(process.Draw(t, "process")) },
			"kill": func(t *rapid.T) {
				i := process.Draw(t, "process")
				s.dead[i] = true
				delete(s.watches, i)
			},
			"late": func(t *rapid.T) {
				// A digest and an offer that were delayed for a long time.
				if len(s.validCommits) == 0 {
					return
				}
				i := process.Draw(t, "process")
				revision := rapid.SampledFrom(s.validCommits).Draw(t, "revision")
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
			if !s.dead[i] && manifest.IsNewer(x.Revision(), highest) {
				highest = x.Revision()
			}
		}
		if stored := manifest.RevisionOf(s.object); s.valid[stored] == string(s.object.Value) && s.object.Version > 0 && manifest.IsNewer(stored, highest) {
			highest = stored
		}
		s.loss = 0
		s.setStoreDown(false)
		for i := range s.procs {
			if s.dead[i] {
				s.restart(i)
			}
		}
		s.run(90 * time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("%v", s.violations)
		}
		// A message in flight may have delivered a higher revision than any process held.
		if !s.allAtRevision(s.procs[0].Revision()) || manifest.IsNewer(highest, s.procs[0].Revision()) {
			for i, x := range s.procs {
				t.Logf("process %d holds %v", i, x.Revision())
			}
			t.Fatalf("processes hold different revisions or one below %v; the store holds %v of generation %d", highest, manifest.RevisionOf(s.object), s.object.Generation)
		}
	})
}

// tableModel is the reference model of Table for one member.
type tableModel struct {
	incarnation, sequence int
	reportedState         api.MemberState
	observedState         api.MemberState
	known                 bool
}

func (m *tableModel) apply(r api.Member, fromMember bool) {
	if m.known && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence < m.sequence) {
		return
	}
	if fromMember && m.observedState == api.MemberStateDead {
		m.observedState = ""
	}
	if m.known && r.Incarnation == m.incarnation && r.Sequence == m.sequence {
		return
	}
	if r.Incarnation > m.incarnation || m.observedState != api.MemberStateDead && m.observedState != api.MemberStateLeaving {
		m.observedState = ""
	}
	*m = tableModel{incarnation: r.Incarnation, sequence: r.Sequence, reportedState: r.State, observedState: m.observedState, known: true}
}

func (m *tableModel) effectiveState() api.MemberState {
	switch {
	case m.observedState == api.MemberStateDead:
		return m.observedState
	case m.reportedState == api.MemberStateDead || m.reportedState == api.MemberStateLeaving:
		return m.reportedState
	case m.observedState != "":
		return m.observedState
	}
	return m.reportedState
}

// Guards against Table deviating from a reference model under random records,
// probes and lists. The model keeps the newest record of each member and the last
// probe of its incarnation.
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
				recordChanged := after.incarnation != before.incarnation || after.sequence != before.sequence || !before.known
				if changed != (recordChanged || after.effectiveState() != before.effectiveState()) {
					t.Fatalf("Apply returned changed=%v for a change from %+v to %+v", changed, before, after)
				}
			},
			"dead": func(t *rapid.T) {
				n, i := name.Draw(t, "name"), rapid.IntRange(1, 4).Draw(t, "incarnation")
				table.MarkDead(now, n, i)
				if m := models[n]; m.known && m.incarnation == i {
					m.observedState = api.MemberStateDead
				}
			},
			"probe": func(t *rapid.T) {
				n, i := name.Draw(t, "name"), rapid.IntRange(1, 4).Draw(t, "incarnation")
				signals := Signals{Ready: rapid.Bool().Draw(t, "ready"), Alive: rapid.Bool().Draw(t, "alive"), Leaving: rapid.Bool().Draw(t, "leaving")}
				table.Observe(now, n, i, signals)
				if m := models[n]; m.known && m.incarnation == i && m.observedState != api.MemberStateLeaving {
					m.observedState = map[bool]api.MemberState{true: api.MemberStateReady, false: api.MemberStateBooting}[signals.Ready]
					if !signals.Alive {
						m.observedState = api.MemberStateWedged
					}
					if signals.Leaving {
						m.observedState = api.MemberStateLeaving
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
							t.Fatalf("member %s is usable without a record of its own: %+v", n, r)
						}
						continue
					}
					if !ok || r.Member.Incarnation != m.incarnation || r.Member.Sequence != m.sequence || r.State != m.effectiveState() {
						t.Fatalf("member %s: got %+v, want %+v with state %s", n, r, *m, m.effectiveState())
					}
				}
				if _, ok := table.Get(now, "self"); ok {
					t.Fatalf("table contains the process itself")
				}
			},
		})
	})
}

// Guards against the instance list, which lags, overriding a member's own record;
// against members expiring while the list cannot be read; and against a relayed
// record bringing back a dropped member.
func TestMemberRecordOverridesList(t *testing.T) {
	t.Parallel()
	table := NewTable("self", TableConfig{})
	now := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	other := platform.Instance{Name: "other"}
	memberRecord := api.Member{Instance: "a", Incarnation: 5, State: api.MemberStateReady}
	table.ApplyList(now, []platform.Instance{{Name: "a", Leaving: true}, other})
	table.Apply(now, memberRecord, FromMember)
	r, _ := table.Get(now, "a")
	assert.Assert(t, r.Usable(), "an outdated list entry overrode the member's own record")
	r, _ = table.Get(after(20), "a")
	assert.Equal(t, r.State, api.MemberStateLeaving)
	table.ApplyList(after(20), nil)
	table.ApplyList(after(21), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(3600))), 0, "expired without a newer list")
	table.ApplyList(after(22), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(22))), 0)
	table.ApplyList(after(60), []platform.Instance{other})
	assert.Equal(t, len(table.Expire(after(60))), 1)
	_, changed := table.Apply(after(61), memberRecord, FromPeer)
	assert.Assert(t, !changed, "a relayed record brought a dropped member back")
	_, changed = table.Apply(after(62), memberRecord, FromMember)
	assert.Assert(t, changed)
}

// Guards against most members being dropped when the list service returns a short
// list, as after its restart.
func TestMassLossOfListDelaysExpiry(t *testing.T) {
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
