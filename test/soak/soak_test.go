package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regressionSeeds are seeds that failed once, with the cause. Seed 1 left a third of the
// requests unserved after healing, when the soak started two processes for one gateway.
var regressionSeeds = []uint64{1}

// relaySeed is a seed with relays, which CI plays beside those.
const relaySeed = 2

// Real processes must keep the promises of the pages while their connections, their store
// and they themselves are harmed.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "borageflowd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, seed := range append(regressionSeeds, relaySeed) {
		broken, summary, err := soak(dir, binary, seed, shape{gateways: 3, workers: 5, length: 10 * time.Second}, "")
		assert.NilError(t, err)
		t.Logf("seed %d: %s", seed, summary)
		for _, b := range broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
