package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
	"github.com/borageflow/borageflow/internal/usage"
)

// Guards against a streamed answer that is incomplete, belongs to another request
// or is not billed exactly once, when an unmodified OpenAI client is used.
func TestStreamedChatThroughSeparateProcesses(t *testing.T) {
	c := startCluster(t, smallSpec())
	client := openai.NewClient(option.WithBaseURL(c.callerURL(1)+"/v1"), option.WithAPIKey(keyNorth), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: versionLarge, MaxTokens: openai.Int(40),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("draft a handover note")},
	})
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	want := engine.Answer(versionLarge, []api.ChatMessage{{Role: "user", Content: "draft a handover note"}}, 40)
	assert.Equal(t, text, want)
	c.waitUsage("north", versionLarge, 1)
}

// Guards against a service call whose answer is altered on its way, or that is not
// billed exactly once.
func TestServiceCallThroughSeparateProcesses(t *testing.T) {
	c := startCluster(t, smallSpec())
	body := `{"traveller":"A. Jensen"}`
	header := map[string]string{"Idempotency-Key": "booking-1"}
	resp, err := post(c.callerURL(1)+"/v1/services/booking/confirm", keyNorth, header, body)
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusOK, string(resp.body))
	assert.Equal(t, string(resp.body), string(service.Answer("confirm", []byte(body))))
	c.waitUsage("north", "", 1)
}

// Guards against a request that runs on a version which the manifest does not
// allow to its customer.
func TestForbiddenVersionIsRefused(t *testing.T) {
	c := startCluster(t, smallSpec())
	body := `{"model":"` + versionLarge + `","messages":[{"role":"user","content":"x"}]}`
	resp, err := post(c.callerURL(1)+"/v1/chat/completions", keySouth, nil, body)
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusForbidden)
	assert.Equal(t, resp.kind(), "forbidden_version")
	assert.Equal(t, resp.runState(), "not_run")
	for name, e := range c.Engines {
		assert.Equal(t, len(e.Ledger().Snapshot().Runs), 0, name)
	}
}

// waitUsage waits until the usage records in the store bill a customer for the
// given number of stages on a version.
func (c *cluster) waitUsage(customer, version string, stages int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		got := 0
		for _, line := range c.usage().BillingLines() {
			if line.Customer == customer && line.Version == version {
				got += line.Stages
			}
		}
		if got != stages {
			return poll.Continue("%d stages are billed to customer %s, want %d", got, customer, stages)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// usage returns the totals of all usage batches in the store.
func (c *cluster) usage() *usage.Totals {
	totals := usage.NewTotals()
	ctx := context.Background()
	list, err := c.Store.List(ctx, "usage/")
	assert.NilError(c.t, err)
	for _, o := range list {
		object, err := c.Store.Get(ctx, o.Key)
		assert.NilError(c.t, err)
		var batch api.UsageBatch
		assert.NilError(c.t, json.Unmarshal(object.Value, &batch))
		totals.Add(batch)
	}
	return totals
}

// Guards against an entry that interrupts a running request when it is stopped
// with SIGTERM.
func TestGracefulStopFinishesRunningRequest(t *testing.T) {
	spec := smallSpec()
	spec.Engines[0].Config.StepTime = 10 * time.Millisecond
	spec.Engines[1].Config.StepTime = 10 * time.Millisecond
	c := startCluster(t, spec)
	type outcome struct {
		response
		err error
	}
	results := make(chan outcome, 1)
	body := `{"model":"` + versionLarge + `","max_tokens":60,"messages":[{"role":"user","content":"a long draft"}]}`
	go func() {
		resp, err := post(c.callerURL(1)+"/v1/chat/completions", keyNorth, nil, body)
		results <- outcome{resp, err}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.Engines {
			if len(e.Ledger().Snapshot().Runs) > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("no engine runs the request yet")
	})
	assert.Assert(t, c.processes["entry-1"].stop(20*time.Second), "entry-1 did not stop within 20 s")
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, string(got.body))
	c.waitUsage("north", versionLarge, 1)
}
