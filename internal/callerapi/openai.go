// Package callerapi implements the HTTP API for callers: chat completions in the
// format of the OpenAI API, the list of models, and calls of plain services.
package callerapi

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// chatRequest is the body of POST /v1/chat/completions. Other fields of the OpenAI
// API are ignored. The fields n and tools change the format of the answer and are
// decoded so that parseChat can reject them.
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
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is the text of a message. In JSON it is a string or a list of text
// parts, which are joined.
type messageContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *messageContent) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		*c = messageContent(text)
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
	*c = messageContent(b.String())
	return nil
}

var allowedRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// parseChat decodes and validates a chat request. Errors are of kind
// invalid_request.
func parseChat(raw []byte) (chatRequest, error) {
	var r chatRequest
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, errkind.Wrap(err, errkind.InvalidRequest, "body is not a valid chat request: "+err.Error())
	}
	switch {
	case r.Model == "":
		return r, invalidRequest("field model is required: a model, a version or \"auto\"")
	case len(r.Messages) == 0:
		return r, invalidRequest("field messages must hold at least one message")
	case r.N != nil && *r.N != 1:
		return r, invalidRequest("field n must be 1")
	case len(r.Tools) > 0 && string(r.Tools) != "null" && string(r.Tools) != "[]":
		return r, invalidRequest("field tools is not supported")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return r, invalidRequest("fields max_tokens and max_completion_tokens must not be negative")
	}
	for i, m := range r.Messages {
		if !allowedRoles[m.Role] {
			return r, invalidRequest(fmt.Sprintf("messages[%d].role is %q; allowed are system, developer, user, assistant", i, m.Role))
		}
	}
	return r, nil
}

func invalidRequest(message string) error { return errkind.New(errkind.InvalidRequest, message) }

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

// completionBody is a chat completion, or one event of a streamed one.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
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
	// RetryAfterMs is the delay before a retry, in milliseconds; 0 is omitted.
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
