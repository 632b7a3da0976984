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

// chatWriter writes a chat answer as server-sent events when streaming is set, and
// otherwise as one JSON object.
type chatWriter struct {
	response      http.ResponseWriter
	controller    *http.ResponseController
	writeTimeout  time.Duration
	requestID     string
	streaming     bool
	includeUsage  bool
	headerWritten bool
	// created is the time of the first part of the answer in Unix seconds, 0 before.
	created     int64
	content     strings.Builder
	eventBuffer bytes.Buffer
}

func (c *chatWriter) writeUpdate(update streamUpdate) error {
	if !c.streaming {
		c.content.WriteString(update.text)
		return nil
	}
	return c.writeDelta(update.version, update.session, update.text, nil)
}

func (c *chatWriter) writeEnd(update streamUpdate) error {
	answer := update.final
	if answer.Err != nil {
		return c.writeEndError(answer)
	}
	if !c.streaming {
		c.content.WriteString(update.text)
		return c.writeCompletion(answer)
	}
	if text := update.text + answer.Text; text != "" {
		if err := c.writeDelta(answer.Version, answer.Session, text, nil); err != nil {
			return err
		}
	}
	if err := c.writeDelta(answer.Version, answer.Session, "", &answer.FinishReason); err != nil {
		return err
	}
	if c.includeUsage {
		if err := c.writeEvent(completionBody{
			ID: c.requestID, Object: "chat.completion.chunk", Created: c.createdAt(), Model: answer.Version,
			Choices: []completionChoice{}, Usage: tokenUsage(answer),
		}); err != nil {
			return err
		}
	}
	return c.writeAndFlush("data: [DONE]\n\n")
}

// writeEndError answers with an error status, or with an error event when the
// status was already sent.
func (c *chatWriter) writeEndError(answer *entry.Answer) error {
	if !c.headerWritten {
		writeError(c.response, c.requestID, answer.Err)
		return nil
	}
	return c.writeEvent(newErrorBody(c.requestID, answer.Err))
}

func (c *chatWriter) writeCompletion(answer *entry.Answer) error {
	setAnswerHeaders(c.response, answer)
	writeJSON(c.response, http.StatusOK, completionBody{
		ID: c.requestID, Object: "chat.completion", Created: c.createdAt(), Model: answer.Version,
		Choices: []completionChoice{{
			Message:      &responseMessage{Role: "assistant", Content: c.content.String() + answer.Text},
			FinishReason: &answer.FinishReason,
		}},
		Usage: tokenUsage(answer),
	})
	return nil
}

// createdAt returns the time of the first part of the answer in Unix seconds. It is the same in
// all events of a stream.
func (c *chatWriter) createdAt() int64 {
	if c.created == 0 {
		c.created = time.Now().Unix()
	}
	return c.created
}

func tokenUsage(a *entry.Answer) *completionUsage {
	return &completionUsage{PromptTokens: a.InputTokens, CompletionTokens: a.OutputTokens, TotalTokens: a.InputTokens + a.OutputTokens}
}

func setAnswerHeaders(w http.ResponseWriter, a *entry.Answer) {
	header := w.Header()
	header.Set(HeaderVersion, a.Version)
	header.Set(HeaderCost, strconv.FormatFloat(a.Cost, 'g', -1, 64))
	if a.Session != "" {
		header.Set(HeaderSession, a.Session)
	}
}

// writeDelta writes one event of a streamed completion. The first one writes the
// HTTP headers and carries the role.
func (c *chatWriter) writeDelta(version, session, content string, finish *string) error {
	delta := &responseMessage{Content: content}
	if !c.headerWritten {
		c.writeHeader(version, session)
		delta.Role = "assistant"
	}
	return c.writeEvent(completionBody{
		ID: c.requestID, Object: "chat.completion.chunk", Created: c.createdAt(), Model: version,
		Choices: []completionChoice{{Delta: delta, FinishReason: finish}},
	})
}

func (c *chatWriter) writeHeader(version, session string) {
	c.headerWritten = true
	header := c.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderVersion, version)
	if session != "" {
		header.Set(HeaderSession, session)
	}
	c.response.WriteHeader(http.StatusOK)
}

func (c *chatWriter) writeEvent(event any) error {
	c.eventBuffer.Reset()
	c.eventBuffer.WriteString("data: ")
	if err := json.NewEncoder(&c.eventBuffer).Encode(event); err != nil {
		return err
	}
	c.eventBuffer.WriteString("\n")
	return c.writeAndFlush(c.eventBuffer.String())
}

// writeAndFlush writes data and flushes it within the write timeout, which detects a
// caller that stopped reading.
func (c *chatWriter) writeAndFlush(data string) error {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	if _, err := c.response.Write([]byte(data)); err != nil {
		return err
	}
	return c.controller.Flush()
}

// serviceWriter writes the answer of a service call, which has no partial text.
type serviceWriter struct {
	response  http.ResponseWriter
	requestID string
}

func (s *serviceWriter) writeUpdate(streamUpdate) error { return nil }

func (s *serviceWriter) writeEnd(update streamUpdate) error {
	if failure := update.final.Err; failure != nil {
		writeError(s.response, s.requestID, failure)
		return nil
	}
	header := s.response.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCost, strconv.FormatFloat(update.final.Cost, 'g', -1, 64))
	if update.final.Repeated {
		header.Set(HeaderRepeated, "true")
	}
	s.response.WriteHeader(http.StatusOK)
	_, err := s.response.Write(update.final.Body)
	return err
}
