package composed

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/session"
	"github.com/borageflow/borageflow/internal/sidecar"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

// runEngine is the backend server beside a sidecar: it either refuses, or runs to
// its end in steps, with the faults in force.
func (w *world) runEngine(s *sidecarNode, p api.RunParams) {
	key := attemptKey{p.Request, p.Attempt}
	incarnation := s.incarnation
	if w.rng.Float64() < w.faults.refuse {
		w.engineEnds(s, incarnation, p, sidecar.BackendEnded{
			Err: errkind.New(errkind.NotReady, "refused").WithRunState(api.RunStateNotRun),
		})
		return
	}
	w.oracle.ran(s, p)
	s.running[key] = true
	if p.Kind == api.RunKindService {
		w.after(time.Duration(5+w.rng.IntN(200))*time.Millisecond, func() { w.endService(s, incarnation, p) })
		return
	}
	tokens := engine.Tokens(p.Version, p.Messages, p.MaxTokens)
	w.step(s, incarnation, p, tokens, p.Offset)
}

func (w *world) endService(s *sidecarNode, incarnation int, p api.RunParams) {
	ended := sidecar.BackendEnded{Body: service.Answer(p.Operation, *p.Body)}
	if w.rng.Float64() < w.faults.fail {
		ended = sidecar.BackendEnded{Err: errkind.New(errkind.UpstreamFailed, "failed")}
	}
	w.engineEnds(s, incarnation, p, ended)
}

func (w *world) step(s *sidecarNode, incarnation int, p api.RunParams, tokens []string, next int) {
	key := attemptKey{p.Request, p.Attempt}
	w.after(time.Duration(2+w.rng.IntN(20))*time.Millisecond, func() {
		switch {
		case s.incarnation != incarnation || !s.alive:
		case !s.running[key]:
			w.engineEnds(s, incarnation, p, sidecar.BackendEnded{Err: errkind.New(errkind.UpstreamFailed, "canceled").WithRunState(api.RunStateRan)})
		case next < len(tokens) && w.rng.Float64() < w.faults.truncate/10:
			w.engineEnds(s, incarnation, p, sidecar.BackendEnded{Err: errkind.New(errkind.Truncated, "truncated")})
		case next < len(tokens):
			w.toSidecar(s, incarnation, sidecar.BackendPart{Request: p.Request, Attempt: p.Attempt, Text: tokens[next], Tokens: 1})
			w.step(s, incarnation, p, tokens, next+1)
		default:
			w.engineEnds(s, incarnation, p, sidecar.BackendEnded{
				InputTokens: engine.PromptTokens(p.Messages), OutputTokens: len(tokens), FinishReason: "stop", Confidence: 0.9,
			})
		}
	})
}

func (w *world) engineEnds(s *sidecarNode, incarnation int, p api.RunParams, e sidecar.BackendEnded) {
	delete(s.running, attemptKey{p.Request, p.Attempt})
	e.Request, e.Attempt = p.Request, p.Attempt
	w.after(time.Millisecond, func() { w.toSidecar(s, incarnation, e) })
}

const (
	keyNorth = "key-north"
	keySouth = "key-south"
)

// testManifest has one model in two versions of its own, and a service.
// southLarge lets customer south use the large version.
func testManifest(largePhase api.Phase, southLarge bool) api.Manifest {
	south := []string{"small-1"}
	if southLarge {
		south = append(south, "large-1")
	}
	return api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: manifest.HashKey("operator")}},
		Customers: []api.Customer{
			{Name: "north", KeyHashes: []string{manifest.HashKey(keyNorth)}, Versions: []string{"small-1", "large-1"}, Services: []string{"booking"}},
			{Name: "south", KeyHashes: []string{manifest.HashKey(keySouth)}, Versions: south, Services: []string{"booking"}},
		},
		Models: []api.Model{
			{Name: "small", Versions: []api.Version{{Name: "small-1", Phase: api.PhaseServing, CostPerKiloToken: 1, PriorQuality: 0.7}}},
			{Name: "large", Versions: []api.Version{{Name: "large-1", Phase: largePhase, CostPerKiloToken: 10, PriorQuality: 0.99}}},
		},
		Services: []api.Service{{Name: "booking", Operations: []api.Operation{
			{Name: "find", Idempotent: true}, {Name: "confirm", Idempotent: false},
		}}},
		Classes: []api.Class{{Name: "question", QualityTarget: 0.6, DeadlineMs: 5000, Weighting: api.WeightingLatency, MaxOutputTokens: 12}},
	}
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// zeroes is a deterministic source of key material for the fuzz test.
type zeroes struct{}

// Read implements io.Reader.
func (zeroes) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(i)
	}
	return len(b), nil
}

// sessionKeys are the same for every entry, since all rotate at the same time.
func sessionKeys(now time.Time) []byte {
	keys, _, err := session.Rotate(time.Unix(startUnix-3600, 0), api.SessionKeys{}, session.DefaultRotation(), zeroes{})
	if err != nil {
		panic(err)
	}
	_ = now
	return encode(keys)
}

func sortedKeys(m map[attemptKey]*link) []attemptKey {
	keys := make([]attemptKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].request != keys[j].request {
			return keys[i].request < keys[j].request
		}
		return keys[i].attempt < keys[j].attempt
	})
	return keys
}

func sortedLinks(m map[sidecar.LinkID]*link) []sidecar.LinkID {
	ids := make([]sidecar.LinkID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
