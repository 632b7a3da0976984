// Package callerapi is the HTTP API towards callers: chat completions in the
// shape of the OpenAI API, and plain-service calls.
package callerapi

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// chatRequest is the body of POST /v1/chat/completions. Fields of the OpenAI API
// that do not change the answer's shape are accepted and ignored.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a string, or a list of text parts whose texts are joined.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported; allowed is \"text\"", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = content(b.String())
	return nil
}

var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// parseChat decodes and checks a chat request.
func parseChat(raw []byte) (chatRequest, error) {
	var r chatRequest
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, errkind.Wrap(err, errkind.InvalidRequest, "body is not a chat request: "+err.Error())
	}
	switch {
	case r.Model == "":
		return r, invalid("field model is required: a model, a version or \"auto\"")
	case len(r.Messages) == 0:
		return r, invalid("field messages must hold at least one message")
	case r.N != nil && *r.N != 1:
		return r, invalid("field n must be 1")
	case len(r.Tools) > 0 && string(r.Tools) != "null" && string(r.Tools) != "[]":
		return r, invalid("field tools is not supported")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return r, invalid("fields max_tokens and max_completion_tokens must not be negative")
	}
	for i, m := range r.Messages {
		if !roles[m.Role] {
			return r, invalid(fmt.Sprintf("messages[%d].role is %q; allowed are system, developer, user, assistant", i, m.Role))
		}
	}
	return r, nil
}

func invalid(message string) error { return errkind.New(errkind.InvalidRequest, message) }

func (r chatRequest) messages() []api.ChatMessage {
	out := make([]api.ChatMessage, len(r.Messages))
	for i, m := range r.Messages {
		out[i] = api.ChatMessage{Role: m.Role, Content: string(m.Content)}
	}
	return out
}

func (r chatRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *tokens  `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *text   `json:"message,omitempty"`
	Delta        *text   `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type tokens struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message  string       `json:"message"`
	Type     string       `json:"type"`
	Code     string       `json:"code"`
	Kind     errkind.Kind `json:"kind"`
	RunState api.RunState `json:"run_state"`
	Request  string       `json:"request"`
	// RetryAfterMs is the advised delay in milliseconds; absent means none.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
