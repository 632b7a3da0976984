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

// fakeEntry serves the caller API: it answers chats itself and forwards service calls.
type fakeEntry struct {
	mu         sync.Mutex
	chatTime   time.Duration // duration of one chat; chats run one at a time
	chatCount  atomic.Int64
	override   func(n int64, w http.ResponseWriter, request chatRequest) bool
	serviceURL string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rest, ok := strings.CutPrefix(r.URL.Path, "/v1/services/"); ok {
		e.forward(w, r, strings.Split(rest, "/")[1])
		return
	}
	var request chatRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	n := e.chatCount.Add(1)
	if e.override != nil && e.override(n, w, request) {
		return
	}
	e.mu.Lock()
	time.Sleep(e.chatTime)
	e.mu.Unlock()
	writeStream(w, version, engine.Tokens(version, request.Messages, request.MaxTokens), true)
}

func writeStream(w io.Writer, model string, tokens []string, end bool) {
	for _, token := range tokens {
		fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", model, token)
	}
	if end {
		fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"+
			"\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", model, len(tokens))
	}
}

func (e *fakeEntry) forward(w http.ResponseWriter, r *http.Request, operation string) {
	body, _ := io.ReadAll(r.Body)
	out, _ := http.NewRequest(http.MethodPost, e.serviceURL+"/v1/operations/"+operation, bytes.NewReader(body))
	out.Header.Set("X-Request-Id", r.Header.Get(headerIdempotencyKey))
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

func decodePlan(t *testing.T, text string) api.LoadPlan {
	t.Helper()
	p, err := DecodePlan([]byte(text))
	assert.NilError(t, err)
	return p
}

func runLoad(t *testing.T, e *fakeEntry, options Options) api.LoadResult {
	t.Helper()
	server := httptest.NewServer(e)
	defer server.Close()
	options.Entries = []string{server.URL}
	result, err := Run(t.Context(), options)
	assert.NilError(t, err)
	return result
}

func totals(result api.LoadResult) api.LoadCounts { return result.Classes[len(result.Classes)-1] }

const chatPlan = `{"rate":2000,"count":%d,"keys":{"c":"k"},"prices":{"m-1":2},
 "classes":[{"name":"quick","kind":"chat","customer":"c","maxTokens":8,"prefixTokens":20,"prefixes":3}]}`

// Guards against answers that count under the wrong outcome: broken answers, wrong and poor
// texts, refusals with and without a known kind, and dropped connections.
func TestOutcomesOfChats(t *testing.T) {
	e := &fakeEntry{override: func(n int64, w http.ResponseWriter, r chatRequest) bool {
		tokens := engine.Tokens(version, r.Messages, r.MaxTokens)
		switch n {
		case 1: // no end of the stream
			writeStream(w, version, tokens, false)
		case 2: // the answer to another prompt
			writeStream(w, version, engine.Tokens(version, nil, 8), true)
		case 3: // a poor answer
			writeStream(w, version, []string{strings.ToUpper(strings.Join(tokens, ""))}, true)
		case 4: // a repeated token
			writeStream(w, version, append(tokens[:1:1], tokens...), true)
		case 5: // a refusal of a known kind
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"kind":"rate_limited","runState":"not_run"}}`)
		case 6: // an error of an unknown kind
			w.WriteHeader(http.StatusTeapot)
			fmt.Fprint(w, `{"error":{"kind":"teapot"}}`)
		case 7: // a dropped connection
			panic(http.ErrAbortHandler)
		default:
			return false
		}
		return true
	}}
	result := runLoad(t, e, Options{Plan: decodePlan(t, fmt.Sprintf(chatPlan, 20))})
	got := totals(result)
	assert.Equal(t, got.Offered, 20)
	assert.Equal(t, got.Lost, 3)
	assert.Equal(t, got.Wrong, 2)
	assert.Equal(t, got.Poor, 1)
	assert.DeepEqual(t, got.Refused, api.LoadCountsRefused{"rate_limited": 1})
	assert.Equal(t, got.Completed, 16)
	assert.Equal(t, got.Quality, 13.0/16)
	// 10 prompt and 8 output tokens at a price of 2 per 1,000. The repeated token and the
	// poor answer in a single chunk change the output tokens of two answers by +1 and -7.
	assert.Assert(t, got.Cost > 0.56 && got.Cost < 0.58, "%v", got.Cost)
	assert.Assert(t, !IsFaultFree(result))
	var text strings.Builder
	assert.NilError(t, WriteText(&text, result))
	assert.Assert(t, strings.Contains(text.String(), "rate_limited 1"), text.String())
}

// Guards against coordinated omission: with a server that takes 10 ms per request and arrivals
// every 2 ms, the latency must grow with each arrival.
func TestLatencyCountsFromTheScheduledArrival(t *testing.T) {
	p := decodePlan(t, fmt.Sprintf(chatPlan, 50))
	p.Rate = 500
	got := totals(runLoad(t, &fakeEntry{chatTime: 10 * time.Millisecond}, Options{Plan: p}))
	assert.Equal(t, got.Completed, 50)
	// 50 requests take at least 500 ms and arrive within about 100 ms.
	assert.Assert(t, got.Total.Max > 300_000, "%d us", got.Total.Max)
	assert.Assert(t, got.FirstToken.P50 > 100_000, "%d us", got.FirstToken.P50)
}

// Guards against a result that omits calls that ran twice or refused calls that ran, although
// the ledgers record them.
func TestLedgersShowDoubledCallsAndUntrueRefusals(t *testing.T) {
	s := service.New(service.Config{})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	// fakeEntry reports not_run for the call that fails after it ran.
	s.Faults().Set(base.Fault{Kind: base.FaultError, Count: 1})
	options := Options{Ledgers: []string{server.URL()}, Plan: decodePlan(t, `{"rate":500,"count":40,"keys":{"c":"k"},
	 "classes":[{"name":"once","kind":"service","customer":"c","service":"s","operation":"book","repeatShare":0.5}]}`)}
	result := runLoad(t, &fakeEntry{serviceURL: server.URL()}, options)
	got := totals(result)
	assert.Equal(t, got.Wrong, 0)
	assert.Equal(t, result.Ledgers, 1)
	assert.Equal(t, result.Runs, 40+got.Doubled)
	assert.Assert(t, got.Doubled > 5, "want doubled calls: half of the calls are sent twice and the entry lets both run")
	assert.Equal(t, got.UntrueRefusals+got.Completed, 40)
}

// Guards against retries by http.Client, which resends requests that have an Idempotency-Key
// when the connection drops.
func TestLostCallsAreNotRepeated(t *testing.T) {
	s := service.New(service.Config{})
	server, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	s.Faults().Set(base.Fault{Kind: base.FaultCut, Share: 0.5})
	result := runLoad(t, &fakeEntry{serviceURL: server.URL()}, Options{Ledgers: []string{server.URL()}, Plan: decodePlan(t, `{"rate":200,"count":40,
	 "keys":{"c":"k"},"classes":[{"name":"once","kind":"service","customer":"c","service":"s","operation":"book"}]}`)})
	got := totals(result)
	assert.Assert(t, got.Lost > 5)
	assert.Equal(t, got.Lost+got.Completed, 40)
	assert.Equal(t, got.Doubled, 0)
}

// Guards against a session that changes its version without being counted.
func TestSessionMovesAreCounted(t *testing.T) {
	e := &fakeEntry{override: func(n int64, w http.ResponseWriter, r chatRequest) bool {
		v := version
		if n == 9 {
			v = "m-2"
		}
		w.Header().Set(headerSession, "token")
		writeStream(w, v, engine.Tokens(v, r.Messages, r.MaxTokens), true)
		return true
	}}
	p := decodePlan(t, fmt.Sprintf(chatPlan, 10))
	p.Rate = 50
	p.Classes[0].Sessions, p.Classes[0].Turns = 1, 100
	assert.Equal(t, totals(runLoad(t, e, Options{Plan: p})).SessionMoves, 1)
}

// Guards against arrivals of a trace that are not sent at their times with their classes.
func TestTraceGivesTheArrivals(t *testing.T) {
	records := []api.TraceRecord{
		{At: 0, Event: api.TraceEventArrival, Customer: "c", Class: "quick", Kind: "chat", Model: "auto", MaxTokens: 8},
		{At: 10_000, Event: api.TraceEventEnd},
		{At: 20_000, Event: api.TraceEventArrival, Customer: "c", Class: "draft", Kind: "chat", Model: "auto", MaxTokens: 9},
	}
	p := decodePlan(t, `{"keys":{"c":"k"},"classes":[]}`)
	result := runLoad(t, &fakeEntry{}, Options{Plan: p, Trace: records})
	assert.Equal(t, len(result.Classes), 3)
	assert.Equal(t, totals(result).Completed, 2)
	assert.Equal(t, totals(result).Wrong, 0)
	assert.Assert(t, result.Seconds > 0.02)
	_, err := Run(t.Context(), Options{Plan: api.LoadPlan{Speed: 1}, Entries: []string{"http://x"}, Trace: records})
	assert.ErrorContains(t, err, `customer "c"`)
}

// Guards against an accepted plan whose arrivals refer to a class that it does not have.
func FuzzDecodePlan(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatPlan, 3)))
	f.Add([]byte(`{"classes":[{"name":"x","kind":"service","customer":"c"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := DecodePlan(raw)
		if err != nil {
			return
		}
		source := newPoissonArrivals(p)
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

// BenchmarkRun measures the requests per second that the generator sends and checks, and its
// delay in sending them.
func BenchmarkRun(b *testing.B) {
	for _, rate := range []int{60, 4800} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { benchmarkRun(b, rate) })
	}
}

func benchmarkRun(b *testing.B, rate int) {
	server := httptest.NewServer(&fakeEntry{})
	defer server.Close()
	p, err := DecodePlan([]byte(`{"seconds":3,"keys":{"c":"k"},
	 "classes":[{"name":"quick","kind":"chat","customer":"c","maxTokens":8}]}`))
	assert.NilError(b, err)
	p.Rate = float64(rate)
	for b.Loop() {
		result, err := Run(b.Context(), Options{Plan: p, Entries: []string{server.URL}})
		assert.NilError(b, err)
		got := totals(result)
		b.ReportMetric(float64(got.Completed)/result.Seconds, "requests/s")
		b.ReportMetric(float64(result.ScheduleLag.P50), "lag-p50-us")
		b.ReportMetric(float64(result.ScheduleLag.P99), "lag-p99-us")
		b.ReportMetric(float64(got.Offered-got.Completed), "not-completed")
		b.ReportMetric(float64(got.Total.P99), "end-p99-us")
	}
}

// Guards against direct calls that are checked by other rules than calls through an entry.
func TestDirectCallsAreTheBaseline(t *testing.T) {
	e := engine.New(engine.Config{Versions: []string{version}, StepTime: time.Millisecond})
	server, err := e.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	p := decodePlan(t, fmt.Sprintf(`{"rate":200,"count":40,"seed":3,"keys":{"c":"k"},"prices":{"m-1":2},"classes":[
	 {"name":"routed","kind":"chat","customer":"c","maxTokens":8},
	 {"name":"direct","kind":"engine","customer":"c","model":"m-1","url":%q,"maxTokens":8}]}`, server.URL()))
	result := runLoad(t, &fakeEntry{}, Options{Plan: p, Ledgers: []string{server.URL()}})
	direct := result.Classes[1]
	assert.Assert(t, direct.Completed > 5)
	assert.Equal(t, direct.Completed, direct.Offered)
	assert.Equal(t, direct.Wrong+direct.Lost, 0)
	assert.Equal(t, direct.CostKnown, direct.Completed)
	assert.Equal(t, result.Runs, direct.Completed)
	assert.Equal(t, direct.BetweenTokens.Count, 7*direct.Completed, "want 7 gaps between the 8 tokens of an answer")
}
