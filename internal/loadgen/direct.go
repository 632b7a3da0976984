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

// directPriority is the priority of direct calls, equal to the default of a class.
const directPriority = 5

// directRefusalKinds maps the statuses with which an engine refuses a call without running it
// to the error kinds that the router would state.
var directRefusalKinds = map[int]errkind.Kind{
	http.StatusTooManyRequests:    errkind.Overloaded,
	http.StatusServiceUnavailable: errkind.NotReady,
	http.StatusNotFound:           errkind.UnknownModel,
}

// directEvent is the data of a token event or an end event of an engine.
type directEvent struct {
	Text         string `json:"text"`
	InputTokens  int    `json:"inputTokens"`
	OutputTokens int    `json:"outputTokens"`
}

// sendDirect sends a request to an engine without the router. Its latencies are the baseline
// for those that the router adds in the same run.
func (g *generator) sendDirect(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	c := &chatCall{sample: s, scheduled: scheduled, request: chatRequest{
		Model: class.Model, Messages: buildMessages(g.runID, class, a), MaxTokens: maxTokens(class, a),
	}}
	s.version, s.requestDigest = class.Model, engine.Digest(c.request.Messages)
	raw, err := json.Marshal(map[string]any{
		"request": "direct-" + idempotencyKey(g.runID, a), "attempt": 1, "version": class.Model,
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
	if kind, refused := directRefusalKinds[response.StatusCode]; refused {
		s.errorKind, s.runState = string(kind), string(api.RunStateNotRun)
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	c.readDirect(response)
	if s.complete {
		g.checkAnswer(c)
	}
}

func (c *chatCall) readDirect(response *http.Response) {
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return
		}
		var data directEvent
		if json.Unmarshal([]byte(event.Data), &data) != nil {
			return
		}
		if event.Type == "end" {
			c.complete = true
			c.usageTokens, c.outputTokens = data.InputTokens+data.OutputTokens, data.OutputTokens
			return
		}
		c.addText(data.Text)
	}
}
