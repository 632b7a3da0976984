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

// Guards against a decision log of an entry that replay or the burn report cannot
// read, and against a replay that does not detect a missed outcome.
func TestRecordedTraceIsReplayed(t *testing.T) {
	t.Parallel()
	spec := smallSpec()
	spec.TraceDir = t.TempDir()
	c := startCluster(t, spec)
	for i := range 5 {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"question %d"}]}`, versionSmall, i)
		resp, err := post(c.callerURL(1)+"/v1/chat/completions", keyNorth, nil, body)
		assert.NilError(t, err)
		assert.Equal(t, resp.status, http.StatusOK, string(resp.body))
	}
	assert.Assert(t, c.processes["entry-1"].stop(20*time.Second))
	raw, err := os.ReadFile(filepath.Join(spec.TraceDir, "entry-1.jsonl"))
	assert.NilError(t, err)

	lenient, err := replay.DecodeOutcomes([]byte(`{"maxLost":0,"maxDoubled":0,"maxFirstTokenP95Ms":5000}`))
	assert.NilError(t, err)
	verdict, err := replay.Check(bytes.NewReader(raw), lenient)
	assert.NilError(t, err)
	assert.Equal(t, len(verdict.Broken), 0, "%+v", verdict.Broken)

	strict, err := replay.DecodeOutcomes([]byte(`{"maxFirstTokenP95Ms":1}`))
	assert.NilError(t, err)
	verdict, err = replay.Check(bytes.NewReader(raw), strict)
	assert.NilError(t, err)
	assert.Assert(t, len(verdict.Broken) > 0, "replay reports no missed outcome for a first token bound of 1 ms")

	m := testManifest()
	m.Objectives = []api.Objective{{Class: "lookup", Target: 0.95, TotalMs: 10000}}
	meter := burn.NewMeter(m)
	assert.NilError(t, meter.ReadTrace(bytes.NewReader(raw)))
	report := meter.Report()
	assert.Equal(t, report.WorstVerdict(), burn.VerdictOK)
}
