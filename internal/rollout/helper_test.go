package rollout

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

// TestMain sets a fixed rapid seed for reproducible runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

// snapshot returns a manifest snapshot with model "m", whose version v1 is serving and v2
// is in the given phase.
func snapshot(t testing.TB, revision int, phase, steps, description string) *manifest.Snapshot {
	rollouts := ""
	if phase == "rolling" {
		rollouts = fmt.Sprintf(`,"rollouts":[{"version":"v2","steps":%s,"stepSeconds":60,"minSamples":50,"maxQualityLoss":0.05,"maxErrorRise":0.02,"maxLatencyRatio":1.5}]`, steps)
	}
	raw := fmt.Sprintf(`{"schemaVersion":1,"description":%q,"operators":[{"name":"op","keyHash":"%064d"}],"customers":[],
		"models":[{"name":"m","versions":[
			{"name":"v1","phase":"serving","costPerKiloToken":1,"priorQuality":0.9},
			{"name":"v2","phase":%q,"previous":"v1","costPerKiloToken":1,"priorQuality":0.9}]}],
		"classes":[{"name":"quick","qualityTarget":0.8,"deadlineMs":10000,"weighting":"exposure"}]%s}`, description, 1, phase, rollouts)
	s, err := manifest.Compile([]byte(raw), api.Revision{Generation: 1, Version: revision})
	assert.NilError(t, err)
	return s
}

// progressOf returns progress of v2 at a step, under the declaration that s has applied.
func progressOf(s *TrafficShares, step int) api.RolloutProgress {
	d, _ := s.DeclarationEvent("v2")
	return api.RolloutProgress{Version: "v2", Declaration: d.DeclarationHash, Step: step, State: api.RolloutStateAdvancing}
}
