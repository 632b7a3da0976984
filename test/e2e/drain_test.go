package e2e

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
)

// Guards guarantee 4 against a caller that outlives the drain time: the entry still
// writes the usage of the requests that it answered.
func TestUsageIsWrittenWhenDrainTimePasses(t *testing.T) {
	t.Parallel()
	spec := smallSpec()
	spec.Timing = api.TimingSettings{BalancerWaitMs: 50, DrainMs: 300, UsageFlushMs: 600000, UsageConfirmMs: 600000}
	for i := range spec.Engines {
		spec.Engines[i].Config.StepTime = 20 * time.Millisecond
	}
	c := startCluster(t, spec)
	chat := c.entry(1) + "/v1/chat/completions"
	a, err := post(chat, keyNorth, nil, `{"model":"`+versionSmall+`","max_tokens":2,"messages":[{"role":"user","content":"short"}]}`)
	assert.NilError(t, err)
	id := a.header.Get("X-Borageflow-Request")
	go func() {
		_, _ = post(chat, keyNorth, nil, `{"model":"`+versionLarge+`","max_tokens":500,"messages":[{"role":"user","content":"long"}]}`)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.Engines {
			for _, run := range e.Ledger().View().Runs {
				if run.Version == versionLarge {
					return poll.Success()
				}
			}
		}
		return poll.Continue("the long request does not run yet")
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, c.processes["entry-1"].stop(30*time.Second), "entry did not stop")
	list, err := c.Store.List(context.Background(), "usage/")
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 0, "no usage was written")
	record, ok := c.usage().Record(id, 0)
	assert.Assert(t, ok, "request %s is not billed", id)
	assert.Equal(t, record.Entry, "entry-1")
}
