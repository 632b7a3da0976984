package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
)

type token struct {
	Request string `json:"request"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

// clientReply is an answer as received by the client.
type clientReply struct {
	status int
	tokens []token
	end    *endData
	err    error
}

func (r clientReply) text() string {
	var b strings.Builder
	for _, t := range r.tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

func startEngine(t *testing.T, config Config) (*Engine, *Server) {
	t.Helper()
	if config.StepTime == 0 {
		config.StepTime = 200 * time.Microsecond
	}
	if config.Versions == nil {
		config.Versions = []string{"m-1"}
	}
	e := New(config)
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return e, server
}

func post(ctx context.Context, server *Server, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL()+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

func generate(ctx context.Context, server *Server, body generateRequest) clientReply {
	response, err := post(ctx, server, "/v1/generate", body)
	if err != nil {
		return clientReply{err: err}
	}
	defer response.Body.Close()
	r := clientReply{status: response.StatusCode}
	if r.status != http.StatusOK {
		return r
	}
	for ev, err := range sse.Read(response.Body, nil) {
		if err != nil {
			r.err = err
			return r
		}
		if ev.Type == "end" {
			r.end = &endData{}
			r.err = json.Unmarshal([]byte(ev.Data), r.end)
			return r
		}
		var tok token
		if r.err = json.Unmarshal([]byte(ev.Data), &tok); r.err != nil {
			return r
		}
		r.tokens = append(r.tokens, tok)
	}
	return r
}

func newRequest(request, content string) generateRequest {
	return generateRequest{
		Request: request, Attempt: 1, Version: "m-1", Customer: "c", MaxTokens: 8, Priority: 5,
		Messages: []api.ChatMessage{{Role: "system", Content: "be brief"}, {Role: "user", Content: content}},
	}
}

// Guards against answers that differ between runs, and against a resumed stream that does
// not continue the same answer.
func TestAnswerIsDeterministicAndResumes(t *testing.T) {
	e, server := startEngine(t, Config{})
	body := newRequest("r1", "hello")
	whole := generate(t.Context(), server, body)
	assert.NilError(t, whole.err)
	want := Answer("m-1", body.Messages, 8)
	assert.Equal(t, whole.text(), want)
	assert.Equal(t, whole.end.OutputTokens, 8)
	assert.Equal(t, whole.end.FinishReason, "length")

	body.Attempt, body.Offset = 2, 3
	rest := generate(t.Context(), server, body)
	assert.NilError(t, rest.err)
	assert.Equal(t, rest.tokens[0].Index, 3)
	assert.Equal(t, rest.text(), strings.Join(Tokens("m-1", body.Messages, 8)[3:], ""))

	snapshot := e.Ledger().Snapshot()
	assert.Equal(t, snapshot.RunsByRequest["r1"], 2)
	assert.Equal(t, snapshot.Runs[1].Outcome, base.OutcomeFinished)
	assert.Equal(t, snapshot.Runs[1].Tokens, 5)
}

// Guards against refused requests that run, and against refusals with a status that means
// something else in the protocol.
func TestRefusalsDoNotRun(t *testing.T) {
	e, server := startEngine(t, Config{Slots: 1, MaxQueued: 1, StepTime: time.Hour})
	unknown := newRequest("r1", "x")
	unknown.Version = "m-9"
	assert.Equal(t, generate(t.Context(), server, unknown).status, http.StatusNotFound)

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go generate(ctx, server, newRequest("r2", "x"))
	waitFor(t, e, "first runs", func(l loadReport) bool { return l.Running == 1 })
	go generate(ctx, server, newRequest("r3", "x"))
	waitFor(t, e, "second waits", func(l loadReport) bool { return l.Queued == 1 })
	assert.Equal(t, generate(t.Context(), server, newRequest("r4", "x")).status, http.StatusTooManyRequests)
	snapshot := e.Ledger().Snapshot()
	assert.Equal(t, snapshot.RunsByRequest["r4"], 0)
	assert.Equal(t, snapshot.Refused, 2)
}

func waitFor(t *testing.T, e *Engine, condition string, ok func(loadReport) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if ok(e.newLoadReport()) {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", condition, e.newLoadReport())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against a canceled request, or one whose caller disconnected, that keeps its slot.
func TestCancelFreesTheSlot(t *testing.T) {
	e, server := startEngine(t, Config{Slots: 1, StepTime: 5 * time.Millisecond})
	long := newRequest("r1", "x")
	long.MaxTokens = 100000
	done := make(chan clientReply, 1)
	go func() { done <- generate(t.Context(), server, long) }()
	waitFor(t, e, "runs", func(l loadReport) bool { return l.Running == 1 })
	response, err := post(t.Context(), server, "/v1/cancel", map[string]any{"request": "r1", "attempt": 1})
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, (<-done).end.FinishReason, "cancelled")

	ctx, disconnect := context.WithCancel(t.Context())
	long.Attempt = 2
	go generate(ctx, server, long)
	waitFor(t, e, "runs again", func(l loadReport) bool { return l.Running == 1 })
	disconnect()
	waitFor(t, e, "is abandoned", func(l loadReport) bool { return l.Running == 0 })
}

// Guards against requests that wait behind requests of a lower priority.
func TestPriorityOrdersTheQueue(t *testing.T) {
	e, server := startEngine(t, Config{Slots: 1, StepTime: time.Millisecond})
	e.Faults().Set(base.Fault{Kind: base.FaultFreeze})
	done := make(chan struct{}, 3)
	for _, q := range []struct {
		request  string
		priority int
	}{{"late", 9}, {"soon", 1}, {"middle", 5}} {
		body := newRequest(q.request, "x")
		body.Priority = q.priority
		_, out, refused := e.enqueue(body, nil)
		assert.Assert(t, refused == nil)
		go func() { <-out.ready; done <- struct{}{} }()
	}
	e.Faults().Set()
	for range 3 {
		<-done
	}
	waitFor(t, e, "all finish", func(l loadReport) bool { return l.Running+l.Queued == 0 })
	_ = server
	byEnd := map[string]int64{}
	for _, r := range e.Ledger().Snapshot().Runs {
		byEnd[r.Request] = r.FinishedUs
	}
	assert.Assert(t, byEnd["soon"] < byEnd["middle"] && byEnd["middle"] < byEnd["late"], "%v", byEnd)
}

// Guards against prefixes that are never cached, never evicted, or missing from the cache
// events.
func TestPrefixCacheIsLimited(t *testing.T) {
	_, server := startEngine(t, Config{KVCapacityTokens: 60, EventDropNth: 2})
	first := newRequest("r1", "x")
	assert.Equal(t, generate(t.Context(), server, first).end.CachedTokens, 0)
	first.Request = "r2"
	assert.Equal(t, generate(t.Context(), server, first).end.CachedTokens, 3)
	other := newRequest("r3", "x")
	other.Messages[0].Content = strings.Repeat("long prompt ", 14)
	assert.Equal(t, generate(t.Context(), server, other).status, http.StatusOK)

	response, err := http.Get(server.URL() + "/v1/events?after=0")
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var feed struct{ Events []CacheEvent }
	assert.NilError(t, json.Unmarshal(raw, &feed))
	assert.Equal(t, len(feed.Events), 2, "want events 1 and 3 of 3, event 2 being dropped: %s", raw)
	assert.Equal(t, feed.Events[0].Prefix, Fingerprint(first.Messages))
}

// Guards against cache events that are visible before EventDelay has passed.
func TestCacheEventsAreLate(t *testing.T) {
	e, server := startEngine(t, Config{EventDelay: time.Hour})
	assert.Equal(t, generate(t.Context(), server, newRequest("r1", "x")).status, http.StatusOK)
	e.mu.Lock()
	defer e.mu.Unlock()
	soon, _ := e.cache.eventsAfter(0, time.Now().Add(-e.config.EventDelay))
	later, _ := e.cache.eventsAfter(0, time.Now())
	assert.Equal(t, len(soon), 0)
	assert.Equal(t, len(later), 1)
}

// Guards against goroutines and streams that keep running after Close.
func TestCloseEndsEverything(t *testing.T) {
	before := goleak.IgnoreCurrent()
	e := New(Config{Versions: []string{"m-1"}, StepTime: time.Hour, LoadPeriod: time.Hour})
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan clientReply, 1)
	go func() { done <- generate(context.Background(), server, newRequest("r1", "x")) }()
	waitFor(t, e, "runs", func(l loadReport) bool { return l.Running == 1 })
	server.Close()
	assert.Assert(t, (<-done).end == nil)
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}

// BenchmarkTokens measures the tokens per second that an engine streams when its steps take
// no time.
func BenchmarkTokens(b *testing.B) {
	e := New(Config{Versions: []string{"m-1"}, Slots: 64, StepTime: time.Nanosecond})
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(b, err)
	defer server.Close()
	var attempts, tokens atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			body := newRequest("r", "x")
			body.Attempt, body.MaxTokens = int(attempts.Add(1)), 500
			tokens.Add(int64(len(generate(b.Context(), server, body).tokens)))
		}
	})
	b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
}
