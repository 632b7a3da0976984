package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/burn"
	"github.com/borageflow/borageflow/internal/replay"
)

// Guards against an entry's decision log that replay or the burn report cannot
// read, or that does not tell a broken outcome from a kept one.
func TestRecordedTraceIsReplayed(t *testing.T) {
	t.Parallel()
	spec := smallSpec()
	spec.TraceDir = t.TempDir()
	c := startCluster(t, spec)
	for i := range 5 {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"question %d"}]}`, versionSmall, i)
		a, err := post(c.entry(1)+"/v1/chat/completions", keyNorth, nil, body)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, string(a.body))
	}
	assert.Assert(t, c.processes["entry-1"].stop(20*time.Second))
	raw, err := os.ReadFile(filepath.Join(spec.TraceDir, "entry-1.jsonl"))
	assert.NilError(t, err)

	good, err := replay.DecodeOutcomes([]byte(`{"maxLost":0,"maxDoubled":0,"maxFirstTokenP95Ms":5000}`))
	assert.NilError(t, err)
	verdict, err := replay.Check(bytes.NewReader(raw), good)
	assert.NilError(t, err)
	assert.Equal(t, len(verdict.Broken), 0, "%+v", verdict.Broken)

	strict, err := replay.DecodeOutcomes([]byte(`{"maxFirstTokenP95Ms":1}`))
	assert.NilError(t, err)
	verdict, err = replay.Check(bytes.NewReader(raw), strict)
	assert.NilError(t, err)
	assert.Assert(t, len(verdict.Broken) > 0, "an impossible bound was kept")

	m := testManifest()
	m.Objectives = []api.Objective{{Class: "lookup", Target: 0.95, TotalMs: 10000}}
	meter := burn.NewMeter(m)
	assert.NilError(t, meter.ReadTrace(bytes.NewReader(raw)))
	report := meter.Report()
	assert.Equal(t, report.Worst(), burn.VerdictOK)
}
