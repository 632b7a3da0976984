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

// runEngine simulates the backend server of a sidecar. It refuses the attempt or
// runs it in steps, subject to engineFaults.
func (sim *simulation) runEngine(s *sidecarNode, p api.RunParams) {
	key := attemptKey{p.Request, p.Attempt}
	incarnation := s.incarnation
	if sim.rng.Float64() < sim.engineFaults.refuse {
		sim.endRun(s, incarnation, p, sidecar.BackendEnded{
			Err: errkind.New(errkind.NotReady, "refused").WithRunState(api.RunStateNotRun),
		})
		return
	}
	sim.oracle.recordRun(s, p)
	s.running[key] = true
	if p.Kind == api.RunKindService {
		sim.schedule(time.Duration(5+sim.rng.IntN(200))*time.Millisecond, func() { sim.endService(s, incarnation, p) })
		return
	}
	tokens := engine.Tokens(p.Version, p.Messages, p.MaxTokens)
	sim.generateToken(s, incarnation, p, tokens, p.Offset)
}

func (sim *simulation) endService(s *sidecarNode, incarnation int, p api.RunParams) {
	ended := sidecar.BackendEnded{Body: service.Answer(p.Operation, *p.Body)}
	if sim.rng.Float64() < sim.engineFaults.fail {
		ended = sidecar.BackendEnded{Err: errkind.New(errkind.UpstreamFailed, "failed")}
	}
	sim.endRun(s, incarnation, p, ended)
}

func (sim *simulation) generateToken(s *sidecarNode, incarnation int, p api.RunParams, tokens []string, next int) {
	key := attemptKey{p.Request, p.Attempt}
	sim.schedule(time.Duration(2+sim.rng.IntN(20))*time.Millisecond, func() {
		switch {
		case s.incarnation != incarnation || !s.alive:
		case !s.running[key]:
			sim.endRun(s, incarnation, p, sidecar.BackendEnded{Err: errkind.New(errkind.UpstreamFailed, "canceled").WithRunState(api.RunStateRan)})
		case next < len(tokens) && sim.rng.Float64() < sim.engineFaults.truncate/10:
			sim.endRun(s, incarnation, p, sidecar.BackendEnded{Err: errkind.New(errkind.Truncated, "truncated")})
		case next < len(tokens):
			sim.deliverToSidecar(s, incarnation, sidecar.BackendPart{Request: p.Request, Attempt: p.Attempt, Text: tokens[next], Tokens: 1})
			sim.generateToken(s, incarnation, p, tokens, next+1)
		default:
			sim.endRun(s, incarnation, p, sidecar.BackendEnded{
				InputTokens: engine.PromptTokens(p.Messages), OutputTokens: len(tokens), FinishReason: "stop", Confidence: 0.9,
			})
		}
	})
}

func (sim *simulation) endRun(s *sidecarNode, incarnation int, p api.RunParams, e sidecar.BackendEnded) {
	delete(s.running, attemptKey{p.Request, p.Attempt})
	e.Request, e.Attempt = p.Request, p.Attempt
	sim.schedule(time.Millisecond, func() { sim.deliverToSidecar(s, incarnation, e) })
}

const (
	keyNorth = "key-north"
	keySouth = "key-south"
)

// testManifest returns a manifest with two models of one version each, and a
// service. southLarge allows the large version to customer south.
func testManifest(largePhase api.Phase, southLarge bool) api.Manifest {
	south := []string{"small-1"}
	if southLarge {
		south = append(south, "large-1")
	}
	return api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: manifest.HashAPIKey("operator")}},
		Customers: []api.Customer{
			{Name: "north", KeyHashes: []string{manifest.HashAPIKey(keyNorth)}, Versions: []string{"small-1", "large-1"}, Services: []string{"booking"}},
			{Name: "south", KeyHashes: []string{manifest.HashAPIKey(keySouth)}, Versions: south, Services: []string{"booking"}},
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

// counterReader is a deterministic source of key material: it fills each buffer
// with 0, 1, 2 and so on.
type counterReader struct{}

// Read implements io.Reader.
func (counterReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(i)
	}
	return len(b), nil
}

// sessionKeys returns the encoded session keys, which are the same for every entry
// because they are created at a fixed time with a fixed source.
func sessionKeys(now time.Time) []byte {
	keys, _, err := session.RotateKeys(time.Unix(startUnix-3600, 0), api.SessionKeys{}, session.DefaultRotationPolicy(), counterReader{})
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
