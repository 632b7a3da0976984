package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []api.ChatMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	// StreamOptions requests the token usage, from which the cost is computed.
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatChunk is a complete chat response or one chunk of a streamed one.
type chatChunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason string                   `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int      `json:"prompt_tokens"`
		Completion int      `json:"completion_tokens"`
		Cost       *float64 `json:"cost"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// chatCall is the state of one chat request.
type chatCall struct {
	*sample
	request     chatRequest
	scheduled   time.Time
	lastChunkAt time.Time // arrival of the last chunk with text
	text        strings.Builder
	finished    bool
	usageTokens int // prompt plus output tokens
	cost        *float64
}

func (g *generator) sendChat(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	c := &chatCall{sample: s, scheduled: scheduled, request: chatRequest{
		Model: class.Model, Messages: buildMessages(g.runID, class, a),
		MaxTokens: maxTokens(class, a), Stream: !class.Whole,
	}}
	if c.request.Stream {
		c.request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	s.requestDigest = engine.Digest(c.request.Messages)
	turn := g.sessions.beginTurn(a, class)
	response, err := g.post(ctx, "/v1/chat/completions", class, a, c.request, turn.token())
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.recordErrorResponse(response)
		turn.recordRefusal(s.errorKind)
		return
	}
	s.version = response.Header.Get(headerVersion)
	c.readResponse(response)
	if s.complete {
		g.checkAnswer(c)
		s.sessionMoved = turn.recordAnswer(response.Header.Get(headerSession), s.version)
	}
}

func (g *generator) post(ctx context.Context, path string, class api.LoadClass, a arrival, body any, session string) (*http.Response, error) {
	raw, ok := body.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	entry := g.entries[int(g.nextEntry.Add(1))%len(g.entries)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// Without GetBody http.Client cannot retry a request that has an Idempotency-Key
	// when the connection drops. Such a retry would hide a lost call.
	request.GetBody = nil
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+g.plan.Keys[class.Customer])
	setIfNotEmpty(h, headerClass, class.Class)
	setIfNotEmpty(h, headerSession, session)
	if class.DeadlineMs > 0 {
		h.Set(headerDeadline, strconv.Itoa(class.DeadlineMs))
	}
	if class.Kind == api.LoadKindService && !class.Idempotent {
		h.Set(headerIdempotencyKey, idempotencyKey(g.runID, a))
	}
	return g.client.Do(request)
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (c *chatCall) readResponse(response *http.Response) {
	if !c.request.Stream {
		c.readUnstreamed(response)
		return
	}
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			c.complete = c.finished
			return
		}
		if !c.handleChunk([]byte(event.Data)) {
			return
		}
	}
}

func (c *chatCall) readUnstreamed(response *http.Response) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || !c.handleChunk(raw) {
		return
	}
	c.complete = c.finished
}

// handleChunk processes one chunk. It returns false for an invalid chunk and for an error,
// which end the stream.
func (c *chatCall) handleChunk(raw []byte) bool {
	var chunk chatChunk
	if json.Unmarshal(raw, &chunk) != nil {
		return false
	}
	if len(chunk.Error) > 0 {
		c.recordError(raw)
		return false
	}
	if c.version == "" {
		c.version = chunk.Model
	}
	for _, choice := range chunk.Choices {
		c.addText(choice.Delta.Content + choice.Message.Content)
		c.finished = c.finished || choice.FinishReason != ""
	}
	if u := chunk.Usage; u != nil {
		c.usageTokens, c.outputTokens, c.cost = u.Prompt+u.Completion, u.Completion, u.Cost
	}
	return true
}

func (c *chatCall) addText(text string) {
	if text == "" {
		return
	}
	c.text.WriteString(text)
	now := time.Now()
	if c.firstToken == 0 {
		c.firstToken = now.Sub(c.scheduled)
	} else {
		c.tokenGaps = append(c.tokenGaps, now.Sub(c.lastChunkAt))
	}
	c.lastChunkAt = now
}

// checkAnswer compares the text with the good and the poor answer of the version that the
// response states, and sets the cost: the stated one, or one computed from the plan's prices.
func (g *generator) checkAnswer(c *chatCall) {
	text := c.text.String()
	good := engine.Answer(c.version, c.request.Messages, c.request.MaxTokens)
	switch text {
	case good:
	case strings.ToUpper(good):
		c.poor = true
	default:
		c.wrong = true
	}
	if c.cost != nil {
		c.sample.cost, c.costKnown = *c.cost, true
		return
	}
	perKilo, known := g.plan.Prices[c.version]
	c.setCost(perKilo, known && c.usageTokens > 0, c.usageTokens)
}
