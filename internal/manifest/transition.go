package manifest

import (
	"fmt"
	"slices"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// removed stands for the phase of a version that the new manifest does not hold.
const removed api.Phase = "removed"

// nextPhases lists the phases that may follow a phase. A version leaves the
// manifest only as withdrawn, so that its sessions get an explicit refusal. A
// withdrawn version comes back only through a rollout, under the same gates as
// a new one.
var nextPhases = map[api.Phase][]api.Phase{
	"":                 {api.PhaseRolling, api.PhaseServing},
	api.PhaseRolling:   {api.PhaseRolling, api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn},
	api.PhaseServing:   {api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn},
	api.PhaseClosing:   {api.PhaseClosing, api.PhaseServing, api.PhaseWithdrawn},
	api.PhaseWithdrawn: {api.PhaseWithdrawn, api.PhaseRolling, removed},
}

// CheckTransition checks that a new manifest may follow an old one. The error is
// schemacheck.Faults with paths into the new manifest; a version that is missing
// there is reported at $.models.
func CheckTransition(old, next *api.Manifest) error {
	before := versionsOf(old)
	after := versionsOf(next)
	var faults schemacheck.Faults
	for name, was := range before {
		if _, ok := after[name]; !ok {
			faults = appendPhaseFault(faults, "$.models", name, was.Phase, removed)
		}
	}
	for i, model := range next.Models {
		for j, v := range model.Versions {
			path := fmt.Sprintf("$.models[%d].versions[%d]", i, j)
			was, ok := before[v.Name]
			if ok && was.model != model.Name {
				faults = append(faults, schemacheck.Fault{
					Path:    path,
					Problem: fmt.Sprintf("version %q belonged to model %q, a version stays with its model", v.Name, was.model),
				})
			}
			faults = appendPhaseFault(faults, path+".phase", v.Name, was.Phase, v.Phase)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return sorted(faults)
}

func appendPhaseFault(faults schemacheck.Faults, path, name string, from, to api.Phase) schemacheck.Faults {
	allowed := nextPhases[from]
	if slices.Contains(allowed, to) {
		return faults
	}
	before := string(from)
	if from == "" {
		before = "new"
	}
	problem := fmt.Sprintf("version %q was %s and would be %s, allowed are %v", name, before, to, allowed)
	return append(faults, schemacheck.Fault{Path: path, Problem: problem})
}

func versionsOf(m *api.Manifest) map[string]owned {
	out := map[string]owned{}
	for _, model := range m.Models {
		for _, v := range model.Versions {
			out[v.Name] = owned{Version: v, model: model.Name}
		}
	}
	return out
}
