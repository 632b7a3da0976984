package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/weights"
)

// Guards against a fault without effect, or with effects on other tokens or requests.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		fault base.Fault
		check func(*testing.T, clientReply)
	}{
		{base.Fault{Kind: base.FaultRepeat, AfterTokens: 2}, func(t *testing.T, r clientReply) {
			assert.Equal(t, len(r.tokens), 9)
			assert.Equal(t, r.tokens[2].Index, r.tokens[3].Index)
		}},
		{base.Fault{Kind: base.FaultTruncate, AfterTokens: 3}, func(t *testing.T, r clientReply) {
			assert.NilError(t, r.err)
			assert.Equal(t, len(r.tokens), 3)
			assert.Assert(t, r.end == nil)
		}},
		{base.Fault{Kind: base.FaultCut, AfterTokens: 3}, func(t *testing.T, r clientReply) {
			assert.Assert(t, r.err != nil)
			assert.Equal(t, len(r.tokens), 3)
		}},
		{base.Fault{Kind: base.FaultRefuse}, func(t *testing.T, r clientReply) {
			assert.Equal(t, r.status, http.StatusServiceUnavailable)
		}},
		{base.Fault{Kind: base.FaultError}, func(t *testing.T, r clientReply) {
			assert.Equal(t, r.status, http.StatusInternalServerError)
		}},
		{base.Fault{Kind: base.FaultPoor}, func(t *testing.T, r clientReply) {
			assert.Equal(t, r.text(), PoorAnswer("m-1", newRequest("", "x").Messages, 8))
			assert.Assert(t, r.end.Confidence < 0.5)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			e, server := startEngine(t, Config{})
			c.fault.Target = "m-1"
			e.Faults().Set(c.fault)
			c.check(t, generate(t.Context(), server, newRequest("r1", "x")))
			runs := e.Ledger().Snapshot().RunsByRequest["r1"]
			if c.fault.Kind == base.FaultRefuse {
				assert.Equal(t, runs, 0, "want no run of a refused request")
			} else {
				assert.Equal(t, runs, 1)
			}
			e.Faults().Set()
			assert.Equal(t, generate(t.Context(), server, newRequest("r2", "x")).text(), Answer("m-1", newRequest("", "x").Messages, 8))
		})
	}
}

// Guards against a delay fault that does not delay the stream or loses tokens.
func TestDelayHoldsTheStream(t *testing.T) {
	e, server := startEngine(t, Config{})
	e.Faults().Set(base.Fault{Kind: base.FaultDelay, AfterTokens: 4, DelayMs: 60})
	began := time.Now()
	r := generate(t.Context(), server, newRequest("r1", "x"))
	assert.Assert(t, time.Since(began) >= 60*time.Millisecond)
	assert.Equal(t, r.text(), Answer("m-1", newRequest("", "x").Messages, 8))
}

// Guards against swapped answers that carry the request identifier of the caller, which would
// hide the swap.
func TestCrossedAnswersKeepTheirIdentifiers(t *testing.T) {
	e, server := startEngine(t, Config{Slots: 2, StepTime: time.Millisecond})
	e.Faults().Set(base.Fault{Kind: base.FaultCross})
	done := make(chan clientReply, 1)
	long := newRequest("r1", "first")
	long.MaxTokens = 200
	go func() { done <- generate(t.Context(), server, long) }()
	waitFor(t, e, "runs", func(l loadReport) bool { return l.Running == 1 })
	second := generate(t.Context(), server, newRequest("r2", "second"))
	first := <-done
	assert.Equal(t, second.end.Request, "r1")
	assert.Equal(t, first.end.Request, "r2")
}

// Guards against a frozen engine that answers, and against one that stays frozen after the
// fault is removed.
func TestFreezeHoldsEveryCall(t *testing.T) {
	e, server := startEngine(t, Config{})
	response, err := post(t.Context(), server, "/standin/faults", base.FaultSet{Faults: []base.Fault{{Kind: base.FaultFreeze}}})
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	client := &http.Client{Timeout: 50 * time.Millisecond}
	_, err = client.Get(server.URL() + "/v1/load")
	assert.Assert(t, err != nil)
	done := make(chan clientReply, 1)
	go func() { done <- generate(t.Context(), server, newRequest("r1", "x")) }()
	e.Faults().Set()
	assert.Equal(t, (<-done).end.OutputTokens, 8)
}

// Guards against an engine that applies an order with an outdated fencing token despite
// CheckFence, and against one without CheckFence that refuses it.
func TestOrdersAndFencing(t *testing.T) {
	store := weights.New(weights.Config{PerSecond: 1000, Burst: 10})
	weightServer, err := store.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer weightServer.Close()
	for _, check := range []bool{true, false} {
		e, server := startEngine(t, Config{CheckFence: check, WeightStore: weightServer.URL()})
		assert.Equal(t, sendOrder(t, server, orderRequest{7, "load", "m-2"}), http.StatusOK)
		old := sendOrder(t, server, orderRequest{6, "unload", "m-2"})
		body := newRequest("r1", "x")
		body.Version = "m-2"
		got := generate(t.Context(), server, body).status
		if check {
			assert.Equal(t, old, http.StatusConflict)
			assert.Equal(t, got, http.StatusOK)
		} else {
			assert.Equal(t, old, http.StatusOK)
			assert.Equal(t, got, http.StatusNotFound)
		}
		orders := e.Ledger().Snapshot().Orders
		assert.Equal(t, len(orders), 2)
		assert.Equal(t, orders[1].Applied, !check)
	}
	assert.Equal(t, store.Ledger().Snapshot().RunsByRequest["m-2"], 2, "want one fetch of the weights for each load")
}

func sendOrder(t *testing.T, server *Server, body orderRequest) int {
	t.Helper()
	response, err := post(t.Context(), server, "/v1/orders", body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a fraction of good answers that differs from the configured quality.
func TestQualityIsTheShareOfGoodAnswers(t *testing.T) {
	e := New(Config{Versions: []string{"m-1"}, Quality: map[string]float64{"m-1": 0.7}})
	defer e.Close()
	good := 0
	const prompts = 4000
	for i := range prompts {
		s := e.newSequence(attemptID{}, newRequest("r", strings.Repeat("x", i)), nil)
		if !s.poor {
			good++
		}
	}
	share := float64(good) / prompts
	// Three standard deviations of a share of 0.7 over 4,000 prompts are 0.022.
	assert.Assert(t, share > 0.678 && share < 0.722, "%v", share)
}

// Guards against load reports that are newer than LoadPeriod allows.
func TestLoadReportLags(t *testing.T) {
	_, server := startEngine(t, Config{LoadPeriod: time.Hour, StepTime: time.Hour})
	go generate(t.Context(), server, newRequest("r1", "x"))
	response, err := http.Get(server.URL() + "/v1/load")
	assert.NilError(t, err)
	defer response.Body.Close()
	var report loadReport
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&report))
	assert.Equal(t, report.Running, 0)
	assert.Equal(t, report.Slots, 8)
	assert.DeepEqual(t, report.Versions, []string{"m-1"})
}

// Guards against a first token before the prompt is prefilled: on an idle engine it comes
// after the steps that the prompt takes. FaultSlow multiplies the time by its factor.
func TestFirstTokenTakesItsSteps(t *testing.T) {
	const step = 5 * time.Millisecond
	e, server := startEngine(t, Config{StepTime: step, PrefillTokens: 10})
	body := newRequest("r1", strings.Repeat("abcd", 26)) // 3 and 27 prompt tokens: 3 steps
	began := time.Now()
	assert.Equal(t, generate(t.Context(), server, body).end.InputTokens, 30)
	assert.Assert(t, time.Since(began) >= 10*step, "want 3 steps to the first of 8 tokens")
	e.Faults().Set(base.Fault{Kind: base.FaultSlow, Target: "m-1", Factor: 3})
	body.Request, body.Messages = "r2", newRequest("", "x").Messages
	began = time.Now()
	assert.Equal(t, generate(t.Context(), server, body).end.OutputTokens, 8)
	assert.Assert(t, time.Since(began) >= 8*3*step, "want 8 tokens at a third of the speed")
}
