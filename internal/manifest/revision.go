package manifest

import (
	"encoding/json"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// ObjectKey is the key of the stored object that holds the manifest.
const ObjectKey = "config/manifest"

// firstGeneration is the generation of a manifest without a commit record.
const firstGeneration = 1

// RevisionOf returns the revision of a stored manifest. The generation is that of
// its commit record, not that of the store object. A manifest that a restore
// brings back thus keeps its old revision, although the store's generation is
// new, and cannot replace the newer manifest in force. A manifest without a
// commit record counts as committed in the first generation.
func RevisionOf(o platform.Object) api.Revision {
	var recorded struct {
		Commit *api.CommitRecord `json:"commit"`
	}
	generation := firstGeneration
	if err := json.Unmarshal(o.Value, &recorded); err == nil && recorded.Commit != nil {
		generation = max(recorded.Commit.Generation, firstGeneration)
	}
	return api.Revision{Generation: generation, Version: int(o.Version)}
}
