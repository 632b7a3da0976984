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

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []api.ChatMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	// StreamOptions asks for the token counts, from which the cost is known.
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatChunk is a complete response or one chunk of a stream.
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

// chat is one chat request under way.
type chat struct {
	*sample
	request   chatRequest
	scheduled time.Time
	last      time.Time // of the last chunk with text
	text      strings.Builder
	finished  bool
	usage     int // prompt and output tokens
	cost      *float64
}

func (g *generator) chat(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	c := &chat{sample: s, scheduled: scheduled, request: chatRequest{
		Model: class.Model, Messages: messagesOf(g.run, class, a),
		MaxTokens: maxTokensOf(class, a), Stream: !class.Whole,
	}}
	if c.request.Stream {
		c.request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	s.digest = engine.Digest(c.request.Messages)
	turn := g.sessions.take(a, class)
	response, err := g.post(ctx, "/v1/chat/completions", class, a, c.request, turn.token())
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.noteResponse(response)
		turn.refused(s.kind)
		return
	}
	s.version = response.Header.Get(headerVersion)
	c.read(response)
	if s.complete {
		g.judge(c)
		s.moved = turn.done(response.Header.Get(headerSession), s.version)
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
	entry := g.entries[int(g.turn.Add(1))%len(g.entries)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client cannot repeat a request with an Idempotency-Key
	// by itself when the connection drops, which would hide a lost call.
	request.GetBody = nil
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+g.plan.Keys[class.Customer])
	setIf(h, headerClass, class.Class)
	setIf(h, headerSession, session)
	if class.DeadlineMs > 0 {
		h.Set(headerDeadline, strconv.Itoa(class.DeadlineMs))
	}
	if class.Kind == api.LoadKindService && !class.Idempotent {
		h.Set(headerKey, keyOf(g.run, a))
	}
	return g.client.Do(request)
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (c *chat) read(response *http.Response) {
	if !c.request.Stream {
		c.readWhole(response)
		return
	}
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			c.complete = c.finished
			return
		}
		if !c.chunk([]byte(event.Data)) {
			return
		}
	}
}

func (c *chat) readWhole(response *http.Response) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil || !c.chunk(raw) {
		return
	}
	c.complete = c.finished
}

// chunk takes one chunk and reports whether the stream may go on.
func (c *chat) chunk(raw []byte) bool {
	var chunk chatChunk
	if json.Unmarshal(raw, &chunk) != nil {
		return false
	}
	if len(chunk.Error) > 0 {
		c.note(raw)
		return false
	}
	if c.version == "" {
		c.version = chunk.Model
	}
	for _, choice := range chunk.Choices {
		c.add(choice.Delta.Content + choice.Message.Content)
		c.finished = c.finished || choice.FinishReason != ""
	}
	if u := chunk.Usage; u != nil {
		c.usage, c.tokens, c.cost = u.Prompt+u.Completion, u.Completion, u.Cost
	}
	return true
}

func (c *chat) add(text string) {
	if text == "" {
		return
	}
	c.text.WriteString(text)
	now := time.Now()
	if c.first == 0 {
		c.first = now.Sub(c.scheduled)
	} else {
		c.gaps = append(c.gaps, now.Sub(c.last))
	}
	c.last = now
}

// judge compares the text with the answers that the stated version can give, and
// prices it.
func (g *generator) judge(c *chat) {
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
		c.sample.cost, c.priced = *c.cost, true
		return
	}
	perKilo, known := g.plan.Prices[c.version]
	c.price(perKilo, known && c.usage > 0, c.usage)
}
