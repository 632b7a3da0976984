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

// Guards against any break of the whole path: an unmodified client's streamed
// answer must be complete and its own, and billed once.
func TestStreamedChatThroughSeparateProcesses(t *testing.T) {
	c := startCluster(t, smallSpec())
	client := openai.NewClient(option.WithBaseURL(c.entry(1)+"/v1"), option.WithAPIKey(keyNorth), option.WithMaxRetries(0))
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

// Guards against a service call taking another way than chat: the answer must be
// the service's own, and billed once.
func TestServiceCallThroughSeparateProcesses(t *testing.T) {
	c := startCluster(t, smallSpec())
	body := `{"traveller":"A. Jensen"}`
	header := map[string]string{"Idempotency-Key": "booking-1"}
	a, err := post(c.entry(1)+"/v1/services/booking/confirm", keyNorth, header, body)
	assert.NilError(t, err)
	assert.Equal(t, a.status, http.StatusOK, string(a.body))
	assert.Equal(t, string(a.body), string(service.Answer("confirm", []byte(body))))
	c.waitUsage("north", "", 1)
}

// Guards against a customer reaching a version that its manifest entry does not
// allow.
func TestForbiddenVersionIsRefused(t *testing.T) {
	c := startCluster(t, smallSpec())
	body := `{"model":"` + versionLarge + `","messages":[{"role":"user","content":"x"}]}`
	a, err := post(c.entry(1)+"/v1/chat/completions", keySouth, nil, body)
	assert.NilError(t, err)
	assert.Equal(t, a.status, http.StatusForbidden)
	assert.Equal(t, a.kind(), "forbidden_version")
	assert.Equal(t, a.runState(), "not_run")
	for name, e := range c.Engines {
		assert.Equal(t, len(e.Ledger().View().Runs), 0, name)
	}
}

// waitUsage waits until the store bills a customer the number of stages on a
// version.
func (c *cluster) waitUsage(customer, version string, stages int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		got := 0
		for _, line := range c.usage().Lines() {
			if line.Customer == customer && line.Version == version {
				got += line.Stages
			}
		}
		if got != stages {
			return poll.Continue("%d stages of %s are billed, want %d", got, customer, stages)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

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

// Guards against a planned stop of an entry cutting a request that it accepted.
func TestGracefulStopFinishesRunningRequest(t *testing.T) {
	spec := smallSpec()
	spec.Engines[0].Config.StepTime = 10 * time.Millisecond
	spec.Engines[1].Config.StepTime = 10 * time.Millisecond
	c := startCluster(t, spec)
	type outcome struct {
		answer
		err error
	}
	done := make(chan outcome, 1)
	body := `{"model":"` + versionLarge + `","max_tokens":60,"messages":[{"role":"user","content":"a long draft"}]}`
	go func() {
		a, err := post(c.entry(1)+"/v1/chat/completions", keyNorth, nil, body)
		done <- outcome{a, err}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.Engines {
			if len(e.Ledger().View().Runs) > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("no engine runs the request")
	})
	assert.Assert(t, c.processes["entry-1"].stop(20*time.Second), "entry did not stop in time")
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, string(got.body))
	c.waitUsage("north", versionLarge, 1)
}
