package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/standin/base"
	standin "github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

const version = "m-1"

var messages = []api.ChatMessage{{Role: "user", Content: "draft a note"}}

func generateOffset(t *testing.T, url, request string, offset int) (string, EndEvent, *errkind.Error) {
	t.Helper()
	c := NewClient(url)
	defer c.Close()
	text := ""
	end, err := c.Generate(t.Context(), GenerateRequest{
		Request: request, Attempt: 1, Version: version, Customer: "north", Messages: messages, MaxTokens: 20, Offset: offset, DeadlineMs: 5000,
	}, func(token Token) { text += token.Text })
	if err != nil {
		return text, end, errkind.FromError(err)
	}
	return text, end, nil
}

// Guards against accepting a truncated, interrupted or refused answer as complete,
// against delivering a repeated token twice, and against a wrong run state.
func TestFaultyAnswersAreDetected(t *testing.T) {
	want := standin.Answer(version, messages, 20)
	for name, c := range map[string]struct {
		fault  base.Fault
		intact bool
		kind   errkind.Kind
		state  api.RunState
	}{
		"repeat":   {base.Fault{Kind: base.FaultRepeat, AfterTokens: 3}, true, "", ""},
		"truncate": {base.Fault{Kind: base.FaultTruncate, AfterTokens: 3}, false, errkind.Truncated, api.RunStateRan},
		"cut":      {base.Fault{Kind: base.FaultCut, AfterTokens: 3}, false, errkind.Truncated, api.RunStateRan},
		"refuse":   {base.Fault{Kind: base.FaultRefuse}, false, errkind.NotReady, api.RunStateNotRun},
		"error":    {base.Fault{Kind: base.FaultError}, false, errkind.UpstreamFailed, api.RunStateUnknown},
	} {
		e := standin.New(standin.Config{Versions: []string{version}})
		server, err := e.Start("127.0.0.1:0")
		assert.NilError(t, err)
		e.Faults().Set(c.fault)
		text, _, failure := generateOffset(t, server.URL(), "r-1", 0)
		if c.intact {
			assert.Assert(t, failure == nil, "%s: %v", name, failure)
			assert.Equal(t, text, want, name)
		} else {
			assert.Assert(t, failure != nil, name)
			assert.Equal(t, failure.Kind, c.kind, name)
			assert.Equal(t, failure.RunState, c.state, name)
			assert.Assert(t, strings.HasPrefix(want, text), name)
		}
		server.Close()
		e.Close()
	}
}

// Guards against delivering tokens of another request: the engine swaps the streams
// of two requests. The swap may come in the middle, so the tokens delivered before
// it must be a prefix of the request's own answer.
func TestCrossedAnswerIsRefused(t *testing.T) {
	e := standin.New(standin.Config{Versions: []string{version}})
	defer e.Close()
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	e.Faults().Set(base.Fault{Kind: base.FaultCross})
	type result struct {
		wantText, text string
		failure        *errkind.Error
	}
	results := make(chan result, 2)
	for _, request := range []string{"r-1", "r-2"} {
		go func() {
			prompt := []api.ChatMessage{{Role: "user", Content: "draft of " + request}}
			text, failure := generateMessages(t, server.URL(), request, prompt)
			results <- result{standin.Answer(version, prompt, 20), text, failure}
		}()
	}
	for range 2 {
		r := <-results
		assert.Assert(t, r.failure != nil)
		assert.Equal(t, r.failure.RunState, api.RunStateRan)
		assert.Assert(t, strings.HasPrefix(r.wantText, r.text), "%q is not a prefix of %q", r.text, r.wantText)
	}
}

func generateMessages(t *testing.T, url, request string, prompt []api.ChatMessage) (string, *errkind.Error) {
	c := NewClient(url)
	defer c.Close()
	text := ""
	_, err := c.Generate(t.Context(), GenerateRequest{
		Request: request, Attempt: 1, Version: version, Customer: "north", Messages: prompt, MaxTokens: 20, DeadlineMs: 5000,
	}, func(token Token) { text += token.Text })
	if err != nil {
		return text, errkind.FromError(err)
	}
	return text, nil
}

// Guards against repeating or skipping tokens when a stream resumes at an offset.
func TestResumeContinuesAtOffset(t *testing.T) {
	e := standin.New(standin.Config{Versions: []string{version}})
	defer e.Close()
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	text, end, failure := generateOffset(t, server.URL(), "r-1", 5)
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, text, strings.Join(standin.Tokens(version, messages, 20)[5:], ""))
	assert.Equal(t, end.OutputTokens, 20)
}

// Guards against the wrong run state of failed connections. A refused connection
// proves that the request did not run; a connection that breaks later proves
// nothing.
func TestOnlyRefusedConnectionIsNotRun(t *testing.T) {
	_, _, failure := generateOffset(t, "http://127.0.0.1:1", "r-1", 0)
	assert.Equal(t, failure.RunState, api.RunStateNotRun)

	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	_, _, failure = generateOffset(t, broken.URL, "r-1", 0)
	assert.Equal(t, failure.RunState, api.RunStateUnknown)
}

// Guards against reporting a service call as not run although it may have run.
func TestServiceRunStates(t *testing.T) {
	v := service.New(service.Config{})
	server, err := v.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	c := NewClient(server.URL())
	defer c.Close()
	body := json.RawMessage(`{"a":1}`)
	answer, err := c.CallOperation(t.Context(), "confirm", "r-1", 1, body)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), string(service.Answer("confirm", body)))
	for kind, state := range map[base.FaultKind]api.RunState{
		base.FaultRefuse: api.RunStateNotRun, base.FaultError: api.RunStateUnknown, base.FaultCut: api.RunStateUnknown,
	} {
		v.Faults().Set(base.Fault{Kind: kind})
		_, err = c.CallOperation(t.Context(), "confirm", "r-2", 1, body)
		assert.Equal(t, errkind.FromError(err).RunState, state, string(kind))
	}
}

// FuzzEngineAnswer guards against engine responses that crash the reader or are
// accepted as complete with missing tokens.
func FuzzEngineAnswer(f *testing.F) {
	f.Add([]byte("event: token\ndata: {\"request\":\"r\",\"attempt\":1,\"index\":0,\"text\":\"a\"}\n\n"))
	f.Add([]byte("event: end\ndata: {\"request\":\"r\",\"attempt\":1}\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(raw) }))
		defer server.Close()
		c := NewClient(server.URL)
		defer c.Close()
		tokens := 0
		end, err := c.Generate(t.Context(), GenerateRequest{Request: "r", Attempt: 1}, func(Token) { tokens++ })
		if err == nil && end.OutputTokens != tokens {
			t.Fatalf("%d tokens delivered, but the end event says %d", tokens, end.OutputTokens)
		}
		if err == nil && !bytes.Contains(raw, []byte("end")) {
			t.Fatalf("%q has no end event and counts as complete", raw)
		}
	})
}
