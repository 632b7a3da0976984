package callerapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// fakeBackend passes every request to onSubmit, or refuses it when full is set.
type fakeBackend struct {
	onSubmit     func(entry.RequestArrived, *Stream)
	disconnected []string
	full         bool
}

// Submit implements Backend.
func (f *fakeBackend) Submit(r entry.RequestArrived, s *Stream) bool {
	if f.full {
		return false
	}
	f.onSubmit(r, s)
	return true
}

// CallerDisconnected implements Backend.
func (f *fakeBackend) CallerDisconnected(request string) {
	f.disconnected = append(f.disconnected, request)
}

// Snapshot implements Backend.
func (f *fakeBackend) Snapshot() *manifest.Snapshot { return nil }

// NewRequestID implements Backend.
func (f *fakeBackend) NewRequestID() string { return "r-1" }

func postRequest(f *fakeBackend, path, body string, header map[string]string) *httptest.ResponseRecorder {
	h := NewHandler(f, Options{MaxBodyBytes: 1024, ReadTimeout: time.Second, WriteTimeout: time.Second})
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

const chatPath = "/v1/chat/completions"

// Guards against submitting invalid requests to the backend, and against refusing
// them without an error kind and a run state.
func TestBadInputIsRefusedWithKind(t *testing.T) {
	backend := &fakeBackend{onSubmit: func(entry.RequestArrived, *Stream) { t.Fatal("an invalid request was submitted") }}
	for name, c := range map[string]struct {
		path, body string
		header     map[string]string
		kind       errkind.Kind
	}{
		"not JSON":         {chatPath, `{`, nil, errkind.InvalidRequest},
		"no model":         {chatPath, `{"messages":[{"role":"user","content":"x"}]}`, nil, errkind.InvalidRequest},
		"no messages":      {chatPath, `{"model":"m","messages":[]}`, nil, errkind.InvalidRequest},
		"unknown role":     {chatPath, `{"model":"m","messages":[{"role":"robot","content":"x"}]}`, nil, errkind.InvalidRequest},
		"image content":    {chatPath, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, errkind.InvalidRequest},
		"several answers":  {chatPath, `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, errkind.InvalidRequest},
		"tools":            {chatPath, `{"model":"m","tools":[{}],"messages":[{"role":"user","content":"x"}]}`, nil, errkind.InvalidRequest},
		"negative tokens":  {chatPath, `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, errkind.InvalidRequest},
		"bad deadline":     {chatPath, `{}`, map[string]string{HeaderDeadlineMs: "soon"}, errkind.InvalidRequest},
		"long key":         {chatPath, `{}`, map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 257)}, errkind.InvalidRequest},
		"no authorization": {chatPath, `{}`, map[string]string{"Authorization": "none"}, errkind.Unauthenticated},
		"large body":       {chatPath, strings.Repeat("x", 2000), nil, errkind.PayloadTooLarge},
		"service not JSON": {"/v1/services/s/o", `nope`, nil, errkind.InvalidRequest},
		"unknown path":     {"/v1/other", `{}`, nil, errkind.UnknownModel},
	} {
		w := postRequest(backend, c.path, c.body, c.header)
		assert.Equal(t, w.Code, errkind.Lookup(c.kind).HTTPStatus, name)
		assert.Assert(t, strings.Contains(w.Body.String(), string(c.kind)), "%s: %s", name, w.Body)
		assert.Equal(t, w.Header().Get(HeaderRunState), string(api.RunStateNotRun), name)
	}
}

// Guards against blocking the caller while the event queue of the entry is full: it
// must get status 503 and a retry delay at once.
func TestFullQueueIsAnsweredAtOnce(t *testing.T) {
	w := postRequest(&fakeBackend{full: true}, chatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, nil)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}

// Guards against losing or reordering text in Stream while parts arrive concurrently
// with the writes to the caller.
func TestStreamJoinsPartsInOrder(t *testing.T) {
	f := &fakeBackend{onSubmit: func(r entry.RequestArrived, s *Stream) {
		go func() {
			for _, text := range []string{"a", "b", "c"} {
				s.Deliver(entry.Deliver{Request: r.Request, Version: "v", Text: text, Tokens: 1})
			}
			s.Finish(entry.Answer{Request: r.Request, Version: "v", Text: "d", FinishReason: "stop"})
		}()
	}}
	body := `{"model":"m","stream":false,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`
	w := postRequest(f, chatPath, body, nil)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"content":"abcd"`), w.Body.String())
	assert.Equal(t, w.Header().Get(HeaderVersion), "v")
}

// Guards against a stream that looks complete although the answer failed after its
// first part: the last event must be the error, without [DONE].
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	f := &fakeBackend{onSubmit: func(r entry.RequestArrived, s *Stream) {
		s.Deliver(entry.Deliver{Request: r.Request, Version: "v", Text: "a", Tokens: 1})
		go func() {
			time.Sleep(10 * time.Millisecond)
			s.Finish(entry.Answer{Request: r.Request, Err: errkind.New(errkind.Truncated, "cut")})
		}()
	}}
	w := postRequest(f, chatPath, `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`, nil)
	assert.Assert(t, strings.Contains(w.Body.String(), `"kind":"truncated"`), w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
}

// Guards against events of a stream without the time of the answer, which clients require.
func TestStreamEventsCarryTime(t *testing.T) {
	f := &fakeBackend{onSubmit: func(r entry.RequestArrived, s *Stream) {
		s.Deliver(entry.Deliver{Request: r.Request, Version: "v", Text: "a", Tokens: 1})
		s.Finish(entry.Answer{Request: r.Request, Version: "v", FinishReason: "stop"})
	}}
	w := postRequest(f, chatPath, `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"x"}]}`, nil)
	assert.Assert(t, strings.Count(w.Body.String(), `"created":`) >= 3, w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), `"created":0`), w.Body.String())
}

// FuzzParseChat guards against a panic of parseChat and against accepting a request
// without model or messages, or with a negative token limit.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := parseChat(raw)
		if err == nil && (r.Model == "" || len(r.messages()) == 0 || r.maxTokens() < 0) {
			t.Fatalf("accepted %q", raw)
		}
	})
}
