package manifest

import (
	"fmt"
	"slices"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// phaseRemoved represents a version that is missing from the new manifest.
const phaseRemoved api.Phase = "removed"

// allowedNextPhases lists the phases that may follow a phase; "" is the phase of a
// new version. Only a withdrawn version may be removed from the manifest, so that
// its sessions are refused explicitly first. A withdrawn version returns only by
// a rollout, which must pass the same gates as that of a new version.
var allowedNextPhases = map[api.Phase][]api.Phase{
	"":                 {api.PhaseRolling, api.PhaseServing},
	api.PhaseRolling:   {api.PhaseRolling, api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn},
	api.PhaseServing:   {api.PhaseServing, api.PhaseClosing, api.PhaseWithdrawn},
	api.PhaseClosing:   {api.PhaseClosing, api.PhaseServing, api.PhaseWithdrawn},
	api.PhaseWithdrawn: {api.PhaseWithdrawn, api.PhaseRolling, phaseRemoved},
}

// CheckTransition checks that the manifest next may replace old: each version
// keeps its model and changes only to an allowed phase. The error is
// schemacheck.Faults with paths into next; a version that is missing there is
// reported at $.models.
func CheckTransition(old, next *api.Manifest) error {
	before := versionsByName(old)
	after := versionsByName(next)
	var faults schemacheck.Faults
	for name, previous := range before {
		if _, ok := after[name]; !ok {
			faults = appendPhaseFault(faults, "$.models", name, previous.Phase, phaseRemoved)
		}
	}
	for i, model := range next.Models {
		for j, v := range model.Versions {
			path := fmt.Sprintf("$.models[%d].versions[%d]", i, j)
			previous, ok := before[v.Name]
			if ok && previous.model != model.Name {
				faults = append(faults, schemacheck.Fault{
					Path:    path,
					Problem: fmt.Sprintf("version %q belonged to model %q, a version cannot move to another model", v.Name, previous.model),
				})
			}
			faults = appendPhaseFault(faults, path+".phase", v.Name, previous.Phase, v.Phase)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return sortByPath(faults)
}

// appendPhaseFault appends a fault if a version may not change between the phases.
func appendPhaseFault(faults schemacheck.Faults, path, name string, from, to api.Phase) schemacheck.Faults {
	allowed := allowedNextPhases[from]
	if slices.Contains(allowed, to) {
		return faults
	}
	before := string(from)
	if from == "" {
		before = "new"
	}
	problem := fmt.Sprintf("version %q cannot change from %s to %s, allowed next phases are %v", name, before, to, allowed)
	return append(faults, schemacheck.Fault{Path: path, Problem: problem})
}

func versionsByName(m *api.Manifest) map[string]modelVersion {
	out := map[string]modelVersion{}
	for _, model := range m.Models {
		for _, v := range model.Versions {
			out[v.Name] = modelVersion{Version: v, model: model.Name}
		}
	}
	return out
}
