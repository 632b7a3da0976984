package manifest

import (
	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var manifestSchema = schemacheck.MustLoad("manifest")

// Check decodes a manifest. The error is schemacheck.Faults and names every fault.
func Check(raw []byte) (api.Manifest, error) {
	var m api.Manifest
	if err := manifestSchema.Decode(raw, &m); err != nil {
		return api.Manifest{}, err
	}
	return m, nil
}
