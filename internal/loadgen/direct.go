package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// directPriority is the priority of direct calls: the default of a class.
const directPriority = 5

// directRefusals are the statuses by which an engine says that a call did not run.
var directRefusals = map[int]errkind.Kind{
	http.StatusTooManyRequests:    errkind.Overloaded,
	http.StatusServiceUnavailable: errkind.NotReady,
	http.StatusNotFound:           errkind.UnknownModel,
}

// directEvent is the data of a token event or of the end event of an engine.
type directEvent struct {
	Text         string `json:"text"`
	InputTokens  int    `json:"inputTokens"`
	OutputTokens int    `json:"outputTokens"`
}

// direct calls an engine without the router: the baseline of the same run for
// what the router adds.
func (g *generator) direct(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	c := &chat{sample: s, scheduled: scheduled, request: chatRequest{
		Model: class.Model, Messages: messagesOf(g.run, class, a), MaxTokens: maxTokensOf(class, a),
	}}
	s.version, s.digest = class.Model, engine.Digest(c.request.Messages)
	raw, err := json.Marshal(map[string]any{
		"request": "direct-" + keyOf(g.run, a), "attempt": 1, "version": class.Model,
		"customer": class.Customer, "messages": c.request.Messages,
		"maxTokens": c.request.MaxTokens, "priority": directPriority,
	})
	if err != nil {
		return
	}
	target := strings.TrimSuffix(class.URL, "/") + "/v1/generate"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(raw))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if kind, refused := directRefusals[response.StatusCode]; refused {
		s.kind, s.runState = string(kind), string(api.RunStateNotRun)
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	c.readDirect(response)
	if s.complete {
		g.judge(c)
	}
}

func (c *chat) readDirect(response *http.Response) {
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return
		}
		var data directEvent
		if json.Unmarshal([]byte(event.Data), &data) != nil {
			return
		}
		if event.Type == "end" {
			c.complete = true
			c.usage, c.tokens = data.InputTokens+data.OutputTokens, data.OutputTokens
			return
		}
		c.add(data.Text)
	}
}
