package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/borageflow/borageflow/internal/entry"
)

// chatWriter writes a chat answer, streamed or whole.
type chatWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	timeout      time.Duration
	id           string
	stream       bool
	includeUsage bool
	started      bool
	whole        strings.Builder
	buffer       bytes.Buffer
}

func (c *chatWriter) part(p chunk) error {
	if !c.stream {
		c.whole.WriteString(p.text)
		return nil
	}
	return c.event(p.version, p.session, p.text, nil)
}

func (c *chatWriter) end(p chunk) error {
	answer := p.answer
	if answer.Err != nil {
		return c.endError(answer)
	}
	if !c.stream {
		c.whole.WriteString(p.text)
		return c.endWhole(answer)
	}
	if text := p.text + answer.Text; text != "" {
		if err := c.event(answer.Version, answer.Session, text, nil); err != nil {
			return err
		}
	}
	if err := c.event(answer.Version, answer.Session, "", &answer.FinishReason); err != nil {
		return err
	}
	if c.includeUsage {
		if err := c.write(completion{
			ID: c.id, Object: "chat.completion.chunk", Model: answer.Version,
			Choices: []choice{}, Usage: usageOf(answer),
		}); err != nil {
			return err
		}
	}
	return c.raw("data: [DONE]\n\n")
}

// endError answers with an error status, or with an error event when the stream
// has begun.
func (c *chatWriter) endError(answer *entry.Answer) error {
	if !c.started {
		writeError(c.w, c.id, answer.Err)
		return nil
	}
	return c.write(newErrorBody(c.id, answer.Err))
}

func (c *chatWriter) endWhole(answer *entry.Answer) error {
	setAnswerHeaders(c.w, answer)
	writeJSON(c.w, http.StatusOK, completion{
		ID: c.id, Object: "chat.completion", Created: time.Now().Unix(), Model: answer.Version,
		Choices: []choice{{
			Message:      &text{Role: "assistant", Content: c.whole.String() + answer.Text},
			FinishReason: &answer.FinishReason,
		}},
		Usage: usageOf(answer),
	})
	return nil
}

func usageOf(a *entry.Answer) *tokens {
	return &tokens{PromptTokens: a.InputTokens, CompletionTokens: a.OutputTokens, TotalTokens: a.InputTokens + a.OutputTokens}
}

func setAnswerHeaders(w http.ResponseWriter, a *entry.Answer) {
	header := w.Header()
	header.Set(HeaderVersion, a.Version)
	header.Set(HeaderCost, strconv.FormatFloat(a.Cost, 'g', -1, 64))
	if a.Session != "" {
		header.Set(HeaderSession, a.Session)
	}
}

func (c *chatWriter) event(version, session, content string, finish *string) error {
	delta := &text{Content: content}
	if !c.started {
		c.begin(version, session)
		delta.Role = "assistant"
	}
	return c.write(completion{
		ID: c.id, Object: "chat.completion.chunk", Model: version,
		Choices: []choice{{Delta: delta, FinishReason: finish}},
	})
}

func (c *chatWriter) begin(version, session string) {
	c.started = true
	header := c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderVersion, version)
	if session != "" {
		header.Set(HeaderSession, session)
	}
	c.w.WriteHeader(http.StatusOK)
}

func (c *chatWriter) write(event any) error {
	c.buffer.Reset()
	c.buffer.WriteString("data: ")
	if err := json.NewEncoder(&c.buffer).Encode(event); err != nil {
		return err
	}
	c.buffer.WriteString("\n")
	return c.raw(c.buffer.String())
}

// raw writes and flushes within the write timeout, so that a caller that stopped
// reading is noticed.
func (c *chatWriter) raw(data string) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.timeout))
	if _, err := c.w.Write([]byte(data)); err != nil {
		return err
	}
	return c.control.Flush()
}

// serviceWriter writes the answer of a service call.
type serviceWriter struct {
	w  http.ResponseWriter
	id string
}

func (s *serviceWriter) part(chunk) error { return nil }

func (s *serviceWriter) end(c chunk) error {
	if failure := c.answer.Err; failure != nil {
		writeError(s.w, s.id, failure)
		return nil
	}
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCost, strconv.FormatFloat(c.answer.Cost, 'g', -1, 64))
	if c.answer.Repeated {
		header.Set(HeaderRepeated, "true")
	}
	s.w.WriteHeader(http.StatusOK)
	_, err := s.w.Write(c.answer.Body)
	return err
}
