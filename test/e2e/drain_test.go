package e2e

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
)

// Guards against violations of guarantee 4: an entry that stops with a request
// still running at the end of the drain time loses the usage records of the
// requests that it has answered.
func TestUsageIsWrittenWhenDrainTimePasses(t *testing.T) {
	t.Parallel()
	spec := smallSpec()
	spec.Timing = api.TimingSettings{BalancerWaitMs: 50, DrainMs: 300, UsageFlushMs: 600000, UsageConfirmMs: 600000}
	for i := range spec.Engines {
		spec.Engines[i].Config.StepTime = 20 * time.Millisecond
	}
	c := startCluster(t, spec)
	chat := c.callerURL(1) + "/v1/chat/completions"
	resp, err := post(chat, keyNorth, nil, `{"model":"`+versionSmall+`","max_tokens":2,"messages":[{"role":"user","content":"short"}]}`)
	assert.NilError(t, err)
	id := resp.header.Get("X-Borageflow-Request")
	go func() {
		_, _ = post(chat, keyNorth, nil, `{"model":"`+versionLarge+`","max_tokens":500,"messages":[{"role":"user","content":"long"}]}`)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.Engines {
			for _, run := range e.Ledger().Snapshot().Runs {
				if run.Version == versionLarge {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no engine runs the long request yet")
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, c.processes["entry-1"].stop(30*time.Second), "entry-1 did not stop within 30 s")
	list, err := c.Store.List(context.Background(), "usage/")
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 0, "no usage batch was written to the store")
	record, ok := c.usage().Record(id, 0)
	assert.Assert(t, ok, "request %s has no usage record", id)
	assert.Equal(t, record.Entry, "entry-1")
}
