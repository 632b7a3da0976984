// Package examples tests the example deployments.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Guards against an example whose manifest, topology or settings are invalid.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"ledsagerhjaelp-nord", "lakeshore"} {
		raw, err := os.ReadFile(filepath.Join(name, "manifest.json"))
		assert.NilError(t, err)
		_, err = manifest.Compile(raw, api.Revision{Generation: 1, Version: 1})
		assert.NilError(t, err, name)
		raw, err = os.ReadFile(filepath.Join(name, "dev.json"))
		assert.NilError(t, err)
		_, err = devcluster.ParseTopology(raw)
		assert.NilError(t, err, name)
		files, err := filepath.Glob(filepath.Join(name, "settings", "*.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 3)
		for _, file := range files {
			_, err := daemon.ReadSettings(file)
			assert.NilError(t, err, file)
		}
	}
}
