package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

const version = "m-1"

// entry is a small caller API that answers chats itself and passes services on.
type entry struct {
	mu      sync.Mutex
	serial  time.Duration // time of one chat, one at a time
	chats   atomic.Int64
	answer  func(n int64, w http.ResponseWriter, request chatRequest) bool
	service string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rest, ok := strings.CutPrefix(r.URL.Path, "/v1/services/"); ok {
		e.pass(w, r, strings.Split(rest, "/")[1])
		return
	}
	var request chatRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	n := e.chats.Add(1)
	if e.answer != nil && e.answer(n, w, request) {
		return
	}
	e.mu.Lock()
	time.Sleep(e.serial)
	e.mu.Unlock()
	stream(w, version, engine.Tokens(version, request.Messages, request.MaxTokens), true)
}

func stream(w io.Writer, model string, tokens []string, end bool) {
	for _, token := range tokens {
		fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", model, token)
	}
	if end {
		fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"+
			"\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", model, len(tokens))
	}
}

func (e *entry) pass(w http.ResponseWriter, r *http.Request, operation string) {
	body, _ := io.ReadAll(r.Body)
	out, _ := http.NewRequest(http.MethodPost, e.service+"/v1/operations/"+operation, bytes.NewReader(body))
	out.Header.Set("X-Request-Id", r.Header.Get(headerKey))
	response, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"kind":"overloaded","runState":"not_run"}}`)
		return
	}
	_, _ = io.Copy(w, response.Body)
}

func plan(t *testing.T, text string) api.LoadPlan {
	t.Helper()
	p, err := DecodePlan([]byte(text))
	assert.NilError(t, err)
	return p
}

func run(t *testing.T, e *entry, options Options) api.LoadResult {
	t.Helper()
	server := httptest.NewServer(e)
	defer server.Close()
	options.Entries = []string{server.URL}
	result, err := Run(t.Context(), options)
	assert.NilError(t, err)
	return result
}

func last(result api.LoadResult) api.LoadCounts { return result.Classes[len(result.Classes)-1] }

const chatPlan = `{"rate":2000,"count":%d,"keys":{"c":"k"},"prices":{"m-1":2},
 "classes":[{"name":"quick","kind":"chat","customer":"c","maxTokens":8,"prefixTokens":20,"prefixes":3}]}`

// Guards against misjudged answers: each kind of broken answer must count under
// its own name, and none of them as complete.
func TestOutcomesOfChats(t *testing.T) {
	e := &entry{answer: func(n int64, w http.ResponseWriter, r chatRequest) bool {
		tokens := engine.Tokens(version, r.Messages, r.MaxTokens)
		switch n {
		case 1: // no end
			stream(w, version, tokens, false)
		case 2: // the answer to another prompt
			stream(w, version, engine.Tokens(version, nil, 8), true)
		case 3: // a poor answer
			stream(w, version, []string{strings.ToUpper(strings.Join(tokens, ""))}, true)
		case 4: // a repeated token
			stream(w, version, append(tokens[:1:1], tokens...), true)
		case 5: // a stated refusal
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"kind":"rate_limited","runState":"not_run"}}`)
		case 6: // an error of no listed kind
			w.WriteHeader(http.StatusTeapot)
			fmt.Fprint(w, `{"error":{"kind":"teapot"}}`)
		case 7: // a dropped connection
			panic(http.ErrAbortHandler)
		default:
			return false
		}
		return true
	}}
	result := run(t, e, Options{Plan: plan(t, fmt.Sprintf(chatPlan, 20))})
	got := last(result)
	assert.Equal(t, got.Offered, 20)
	assert.Equal(t, got.Lost, 3)
	assert.Equal(t, got.Wrong, 2)
	assert.Equal(t, got.Poor, 1)
	assert.DeepEqual(t, got.Refused, api.LoadCountsRefused{"rate_limited": 1})
	assert.Equal(t, got.Completed, 16)
	assert.Equal(t, got.Quality, 13.0/16)
	// 10 prompt and 8 output tokens at 2 for 1,000; the repeated token and the
	// merged poor answer change the output tokens of two answers by +1 and -7.
	assert.Assert(t, got.Cost > 0.56 && got.Cost < 0.58, "%v", got.Cost)
	assert.Assert(t, !Met(result))
	var text strings.Builder
	assert.NilError(t, WriteText(&text, result))
	assert.Assert(t, strings.Contains(text.String(), "rate_limited 1"), text.String())
}

// Guards against coordinated omission: with a server that needs 10 ms for each
// request and arrivals every 2 ms, the wait grows with every arrival.
func TestLatencyCountsFromTheScheduledArrival(t *testing.T) {
	p := plan(t, fmt.Sprintf(chatPlan, 50))
	p.Rate = 500
	got := last(run(t, &entry{serial: 10 * time.Millisecond}, Options{Plan: p}))
	assert.Equal(t, got.Completed, 50)
	// 50 requests take at least 500 ms and arrive within about 100 ms.
	assert.Assert(t, got.Total.Max > 300_000, "%d us", got.Total.Max)
	assert.Assert(t, got.FirstToken.P50 > 100_000, "%d us", got.FirstToken.P50)
}

// Guards against doubled calls and untrue refusals that the ledgers show but the
// result does not.
func TestLedgersShowDoubledCallsAndUntrueRefusals(t *testing.T) {
	s := service.New(service.Config{})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	// The entry of this test reports a call that failed after running as not_run.
	s.Faults().Set(base.Fault{Kind: base.FaultError, Count: 1})
	options := Options{Ledgers: []string{server.URL()}, Plan: plan(t, `{"rate":500,"count":40,"keys":{"c":"k"},
	 "classes":[{"name":"once","kind":"service","customer":"c","service":"s","operation":"book","repeatShare":0.5}]}`)}
	result := run(t, &entry{service: server.URL()}, options)
	got := last(result)
	assert.Equal(t, got.Wrong, 0)
	assert.Equal(t, result.Ledgers, 1)
	assert.Equal(t, result.Runs, 40+got.Doubled)
	assert.Assert(t, got.Doubled > 5, "half of the calls are sent twice and the entry lets both run")
	assert.Equal(t, got.UntrueRefusals+got.Completed, 40)
}

// Guards against the HTTP client sending a lost call again by itself: it repeats
// requests that carry an Idempotency-Key when the connection drops.
func TestLostCallsAreNotRepeated(t *testing.T) {
	s := service.New(service.Config{})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	s.Faults().Set(base.Fault{Kind: base.FaultCut, Share: 0.5})
	result := run(t, &entry{service: server.URL()}, Options{Ledgers: []string{server.URL()}, Plan: plan(t, `{"rate":200,"count":40,
	 "keys":{"c":"k"},"classes":[{"name":"once","kind":"service","customer":"c","service":"s","operation":"book"}]}`)})
	got := last(result)
	assert.Assert(t, got.Lost > 5)
	assert.Equal(t, got.Lost+got.Completed, 40)
	assert.Equal(t, got.Doubled, 0)
}

// Guards against a session that changes its version unnoticed.
func TestSessionMovesAreCounted(t *testing.T) {
	e := &entry{answer: func(n int64, w http.ResponseWriter, r chatRequest) bool {
		v := version
		if n == 9 {
			v = "m-2"
		}
		w.Header().Set(headerSession, "token")
		stream(w, v, engine.Tokens(v, r.Messages, r.MaxTokens), true)
		return true
	}}
	p := plan(t, fmt.Sprintf(chatPlan, 10))
	p.Rate = 50
	p.Classes[0].Sessions, p.Classes[0].Turns = 1, 100
	assert.Equal(t, last(run(t, e, Options{Plan: p})).SessionMoves, 1)
}

// Guards against a trace whose arrivals are not sent as recorded.
func TestTraceGivesTheArrivals(t *testing.T) {
	records := []api.TraceRecord{
		{At: 0, Event: api.TraceEventArrival, Customer: "c", Class: "quick", Kind: "chat", Model: "auto", MaxTokens: 8},
		{At: 10_000, Event: api.TraceEventEnd},
		{At: 20_000, Event: api.TraceEventArrival, Customer: "c", Class: "draft", Kind: "chat", Model: "auto", MaxTokens: 9},
	}
	p := plan(t, `{"keys":{"c":"k"},"classes":[]}`)
	result := run(t, &entry{}, Options{Plan: p, Trace: records})
	assert.Equal(t, len(result.Classes), 3)
	assert.Equal(t, last(result).Completed, 2)
	assert.Equal(t, last(result).Wrong, 0)
	assert.Assert(t, result.Seconds > 0.02)
	_, err := Run(t.Context(), Options{Plan: api.LoadPlan{Speed: 1}, Entries: []string{"http://x"}, Trace: records})
	assert.ErrorContains(t, err, `customer "c"`)
}

func FuzzDecodePlan(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatPlan, 3)))
	f.Add([]byte(`{"classes":[{"name":"x","kind":"service","customer":"c"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := DecodePlan(raw)
		if err != nil {
			return
		}
		source := newPoisson(p)
		for i := 0; i < 100; i++ {
			a, ok := source.next()
			if !ok {
				return
			}
			if a.class < 0 || a.class >= len(p.Classes) {
				t.Fatalf("class %d of %d", a.class, len(p.Classes))
			}
		}
	})
}

// BenchmarkRun measures how many requests and tokens a second the generator can
// send and check, and how late it sends them.
func BenchmarkRun(b *testing.B) {
	for _, rate := range []int{60, 4800} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { benchmarkRun(b, rate) })
	}
}

func benchmarkRun(b *testing.B, rate int) {
	server := httptest.NewServer(&entry{})
	defer server.Close()
	p, err := DecodePlan([]byte(`{"seconds":3,"keys":{"c":"k"},
	 "classes":[{"name":"quick","kind":"chat","customer":"c","maxTokens":8}]}`))
	assert.NilError(b, err)
	p.Rate = float64(rate)
	for b.Loop() {
		result, err := Run(b.Context(), Options{Plan: p, Entries: []string{server.URL}})
		assert.NilError(b, err)
		got := last(result)
		b.ReportMetric(float64(got.Completed)/result.Seconds, "requests/s")
		b.ReportMetric(float64(result.ScheduleLag.P50), "lag-p50-us")
		b.ReportMetric(float64(result.ScheduleLag.P99), "lag-p99-us")
		b.ReportMetric(float64(got.Offered-got.Completed), "not-completed")
		b.ReportMetric(float64(got.Total.P99), "end-p99-us")
	}
}

// Guards against a baseline that is judged by other rules than the entry: the
// same engine answers directly and through a router that does nothing.
func TestDirectCallsAreTheBaseline(t *testing.T) {
	e := engine.New(engine.Config{Versions: []string{version}, StepTime: time.Millisecond})
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	p := plan(t, fmt.Sprintf(`{"rate":200,"count":40,"seed":3,"keys":{"c":"k"},"prices":{"m-1":2},"classes":[
	 {"name":"routed","kind":"chat","customer":"c","maxTokens":8},
	 {"name":"direct","kind":"engine","customer":"c","model":"m-1","url":%q,"maxTokens":8}]}`, server.URL()))
	result := run(t, &entry{}, Options{Plan: p, Ledgers: []string{server.URL()}})
	direct := result.Classes[1]
	assert.Assert(t, direct.Completed > 5)
	assert.Equal(t, direct.Completed, direct.Offered)
	assert.Equal(t, direct.Wrong+direct.Lost, 0)
	assert.Equal(t, direct.CostKnown, direct.Completed)
	assert.Equal(t, result.Runs, direct.Completed)
	assert.Equal(t, direct.BetweenTokens.Count, 7*direct.Completed, "8 tokens have 7 gaps")
}
