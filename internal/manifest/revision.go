package manifest

import (
	"encoding/json"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// Key is the key of the manifest's object in the store.
const Key = "config/manifest"

// firstGeneration is the generation of a manifest without a commit record.
const firstGeneration = 1

// RevisionOf returns the revision of a stored manifest. Its generation is the
// one that the manifest was committed under, not the store's: the content that
// a restore brings back keeps its earlier revision under the store's new
// generation, so it cannot replace what is in force. A manifest without a
// commit record counts as committed under the first generation.
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
