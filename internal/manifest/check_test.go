package manifest

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

// validManifest returns a valid manifest with one version in each phase.
func validManifest() api.Manifest {
	version := func(name string, phase api.Phase, previous string) api.Version {
		return api.Version{
			Name: name, Phase: phase, Previous: previous, CostPerKiloToken: 1, PriorQuality: 0.5,
			PriorWeight: 2, FirstTokenMs: 200, TokenMs: 20, ContextTokens: 1000, MinReplicas: 1,
		}
	}
	return api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "op", KeyHash: hashA}},
		Customers:     []api.Customer{{Name: "c", KeyHashes: []string{hashB}, Versions: []string{"m-1", "m-0"}, Models: []string{"m"}, Services: []string{"s"}, DefaultClass: "q", Weight: 1}},
		Models: []api.Model{{Name: "m", Versions: []api.Version{
			version("m-0", api.PhaseWithdrawn, ""), version("m-1", api.PhaseClosing, ""),
			version("m-2", api.PhaseServing, ""), version("m-3", api.PhaseRolling, "m-2"),
		}}},
		Services:   []api.Service{{Name: "s", Operations: []api.Operation{{Name: "book", TimeoutMs: 10}}}},
		Classes:    []api.Class{{Name: "q", QualityTarget: 0.5, DeadlineMs: 10, Weighting: api.WeightingLatency, Priority: 5, MaxOutputTokens: 512, Models: []string{"m"}}},
		Rollouts:   []api.Rollout{{Version: "m-3", Steps: []float64{0.1, 1}, StepSeconds: 60, MinSamples: 50, MaxQualityLoss: 0.05, MaxErrorRise: 0.02, MaxLatencyRatio: 1.5}},
		Pools:      []api.Pool{{Name: "p", Versions: []string{"m-1", "m-2", "m-3"}, Replicas: 3}},
		Objectives: []api.Objective{{Class: "q", Target: 0.9}},
	}
}

func encodeManifest(t testing.TB, m api.Manifest) []byte {
	t.Helper()
	raw, err := json.Marshal(m)
	assert.NilError(t, err)
	return raw
}

func faultPaths(t testing.TB, err error) []string {
	t.Helper()
	var faults schemacheck.Faults
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	return paths
}

// Guards against a check that rejects or alters a valid manifest.
func TestValidManifest(t *testing.T) {
	m, err := Check(encodeManifest(t, validManifest()))
	assert.NilError(t, err)
	assert.DeepEqual(t, m, validManifest())
}

// Guards against a semantic fault that is accepted, and against a check that
// reports only the first of several faults.
func TestEverySemanticFaultIsReported(t *testing.T) {
	m := validManifest()
	m.Operators = append(m.Operators, api.Operator{Name: "op", KeyHash: hashB})
	m.Customers[0].Versions = []string{"m-9"}
	m.Customers[0].Models = []string{"m", "m"}
	m.Customers[0].Services = []string{"x"}
	m.Customers[0].DefaultClass = "x"
	m.Customers[0].Burst = 5
	m.Models[0].Versions[2].Previous = "m-8"
	m.Models[0].Versions[3].Previous = "m-1"
	other := m.Models[0].Versions[2]
	other.Name, other.Previous, other.Phase = "m", "m-2", api.PhaseServing
	rolling := m.Models[0].Versions[3]
	rolling.Name, rolling.Previous = "auto", ""
	m.Models = append(m.Models, api.Model{Name: "n", Versions: []api.Version{other, rolling}})
	m.Services[0].Operations = append(m.Services[0].Operations, m.Services[0].Operations[0])
	m.Classes[0].Models = []string{"x"}
	m.Rollouts[0].Steps = []float64{0.5, 0.5, 0.2}
	m.Rollouts = append(m.Rollouts, api.Rollout{Version: "m-2", Steps: []float64{1}, StepSeconds: 1, MinSamples: 1, MaxQualityLoss: 1, MaxErrorRise: 1, MaxLatencyRatio: 1})
	m.Pools[0].Versions = []string{"m-0", "m-2", "m-2"}
	m.Models[0].Versions[0].MinReplicas = 4
	m.Objectives = append(m.Objectives, api.Objective{Class: "q", Target: 0.5}, api.Objective{Class: "z", Target: 0.5})
	_, err := Check(encodeManifest(t, m))
	assert.DeepEqual(t, faultPaths(t, err), []string{
		"$.classes[0].models[0]",
		"$.customers[0].burst", "$.customers[0].defaultClass", "$.customers[0].keyHashes[0]",
		"$.customers[0].models[1]", "$.customers[0].services[0]", "$.customers[0].versions[0]",
		"$.models[0].versions[0].minReplicas",
		"$.models[0].versions[2].previous", "$.models[0].versions[3].previous",
		"$.models[1].versions[0].name", "$.models[1].versions[0].previous",
		"$.models[1].versions[1].name", "$.models[1].versions[1].phase", "$.models[1].versions[1].previous",
		"$.objectives[1].class", "$.objectives[2].class",
		"$.operators[1].name",
		"$.pools[0].versions[0]", "$.pools[0].versions[2]",
		"$.rollouts[0].steps[1]", "$.rollouts[0].steps[2]", "$.rollouts[1].version",
		"$.services[0].operations[1].name",
	})
}

// Guards against a duplicate field that silently replaces the one before it.
func TestDuplicateFieldIsAFault(t *testing.T) {
	raw := encodeManifest(t, validManifest())
	raw = append([]byte(`{"classes":[],`), raw[1:]...)
	_, err := Check(raw)
	assert.DeepEqual(t, faultPaths(t, err), []string{"$.classes"})
}

// Guards against a version that is removed before its sessions were refused, and
// against a withdrawn version that returns without a rollout.
func TestTransitions(t *testing.T) {
	phases := []api.Phase{"", api.PhaseRolling, api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn}
	allowed := map[string]bool{
		">": true, ">rolling": true, ">serving": true,
		"rolling>rolling": true, "rolling>serving": true, "rolling>closing": true, "rolling>withdrawn": true,
		"serving>serving": true, "serving>closing": true, "serving>withdrawn": true,
		"closing>closing": true, "closing>serving": true, "closing>withdrawn": true,
		"withdrawn>withdrawn": true, "withdrawn>rolling": true, "withdrawn>": true,
	}
	manifestInPhase := func(phase api.Phase) *api.Manifest {
		m := &api.Manifest{Models: []api.Model{{Name: "m"}}}
		if phase != "" {
			m.Models[0].Versions = []api.Version{{Name: "v", Phase: phase}}
		}
		return m
	}
	for _, from := range phases {
		for _, to := range phases {
			err := CheckTransition(manifestInPhase(from), manifestInPhase(to))
			assert.Equal(t, err == nil, allowed[string(from+">"+to)], "%s to %s: %v", from, to, err)
		}
	}
	moved := manifestInPhase(api.PhaseServing)
	moved.Models[0].Name = "n"
	assert.DeepEqual(t, faultPaths(t, CheckTransition(manifestInPhase(api.PhaseServing), moved)), []string{"$.models[0].versions[0]"})
}

// Guards against a change that is missing from the diff, and against a diff that
// reports the order of items or the commit record as a change.
func TestDiff(t *testing.T) {
	old, next := validManifest(), validManifest()
	next.Commit = &api.CommitRecord{Token: "t", Generation: 2}
	next.Models[0].Versions[0], next.Models[0].Versions[1] = next.Models[0].Versions[1], next.Models[0].Versions[0]
	changes, err := Diff(&old, &next)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	next.Models[0].Versions[2].Phase = api.PhaseClosing
	next.Customers[0].Models = nil
	next.Customers = append(next.Customers, api.Customer{Name: "d"})
	next.Pools = nil
	next.Description = "new"
	changes, err = Diff(&old, &next)
	assert.NilError(t, err)
	assert.Equal(t, changes.String(), strings.Join([]string{
		`~ customers c models: ["m"] -> (none)`,
		`+ customers d`,
		`~ manifest description: (none) -> "new"`,
		`- pools p`,
		`~ versions m/m-2 phase: "serving" -> "closing"`,
	}, "\n"))
}

// Guards against a panic of the decoder, and against a manifest that is accepted
// but rejected after it is decoded and encoded again.
func FuzzCheck(f *testing.F) {
	f.Add(encodeManifest(f, validManifest()))
	f.Add([]byte(`{"schemaVersion":1,"models":[{"versions":[{}]}]}`))
	f.Add([]byte(`{"a":1,"a":[{"b":{}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Check(raw)
		if err != nil {
			var faults schemacheck.Faults
			assert.Assert(t, errors.As(err, &faults) && len(faults) > 0, "%v", err)
			return
		}
		_, err = Compile(raw, api.Revision{})
		assert.NilError(t, err)
		again, err := Check(encodeManifest(t, m))
		assert.NilError(t, err)
		changes, err := Diff(&m, &again)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), 0)
	})
}
