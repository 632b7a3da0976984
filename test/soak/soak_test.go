package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regressionSeeds are seeds that failed in the past. With seed 1 a third of the requests failed
// after the last fault, because the soak had started two processes for one gateway. With seed 1041
// cut answers looked complete, because the proxy of the soak passed a reset on as an end in order.
var regressionSeeds = []uint64{1, 1041}

// relaySeed is a seed whose deployment uses relays; CI runs it in addition to regressionSeeds.
const relaySeed = 2

// fatalSeed is a seed whose fatal parts reach workers too often if gateways do not refuse them.
const fatalSeed = 542064155

// turnedFatalSeed is a seed whose fatal parts and repeated plain request are answered for some seconds
// before they turn fatal.
const turnedFatalSeed = 74

// departureSeed is a seed in which a request runs after its caller has left if gateways do not look at the
// connections of callers: one of them is paused while callers leave.
const departureSeed = 5

// evacuationSeeds draw evacuations and cold workers, with relays and without.
var evacuationSeeds = []uint64{6, 15}

// overrunSeed draws overruns: most workers fail while most gateways are killed again and again.
const overrunSeed = 3

// silenceSeed is a seed in which sound workers fall silent, with streams that are cut and requests that fail if silence
// is taken for the end of a run.
const silenceSeed = 30

// Guards against gateway processes that break a documented guarantee while the processes, their
// connections or their store have faults.
func TestShortSoak(t *testing.T) {
	soakSeeds(t, 10*time.Second, append(append(regressionSeeds, relaySeed, fatalSeed, turnedFatalSeed, departureSeed, overrunSeed), evacuationSeeds...)...)
}

// Guards against gateway processes that take the silence of sound workers for the end of a run.
func TestSoakOfSilentWorkers(t *testing.T) { soakSeeds(t, 10*time.Second, silenceSeed) }

// Guards against fatal parts that reach workers, and sound ones that are refused, where gateways exchange
// nothing: two parts in 30% of the streams before five workers.
func TestSoakOfFatalPartsWithoutRelays(t *testing.T) {
	soakSeeds(t, 12*time.Second, 7033, 7037)
}

func soakSeeds(t *testing.T, faultTime time.Duration, seeds ...uint64) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "borageflowd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, seed := range seeds {
		broken, summary, err := runSeed(dir, binary, seed, scenarioSize{gateways: 3, workers: 5, faultTime: faultTime}, "")
		assert.NilError(t, err)
		t.Logf("seed %d: %s", seed, summary)
		for _, b := range broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
