package perf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/loadgen"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// Guards the target that the router adds at most 1 ms at the median and 3 ms at
// p99 to time to first token, at half load, compared with direct calls to the
// same engine in the same run.
func TestPerfFirstToken(t *testing.T) {
	needPerf(t)
	const slots, rate, maxTokens = 32, 100, 64
	d := deploy(t, 1, engine.Config{Slots: slots, StepTime: 4 * time.Millisecond, KVTokens: 1 << 22, Queue: 1024})
	class := api.LoadClass{Customer: "north", Model: version, PromptTokens: 32, MaxTokens: maxTokens, Weight: 1, Turns: 1}
	router, direct := class, class
	router.Name, router.Kind, router.Class = "router", api.LoadKindChat, "draft"
	direct.Name, direct.Kind, direct.URL = "direct", api.LoadKindEngine, d.settingsOf("sidecar-engine-1").Backend.URL
	result, err := loadgen.Run(context.Background(), loadgen.Options{
		Plan: api.LoadPlan{
			Classes: []api.LoadClass{router, direct}, Keys: api.LoadPlanKeys{"north": callerKey},
			Rate: rate, Seconds: 15, Seed: 1, TimeoutMs: 30000, MaxInFlight: 4096,
		},
		Entries: []string{"http://" + d.settingsOf("entry-1").Listen.Callers},
	})
	assert.NilError(t, err)
	through, baseline := result.Classes[0], result.Classes[1]
	p50 := float64(through.FirstToken.P50-baseline.FirstToken.P50) / 1000
	p99 := float64(through.FirstToken.P99-baseline.FirstToken.P99) / 1000
	t.Logf("first token, ms: router p50 %.3f p99 %.3f (n=%d), direct p50 %.3f p99 %.3f (n=%d)",
		float64(through.FirstToken.P50)/1000, float64(through.FirstToken.P99)/1000, through.Completed,
		float64(baseline.FirstToken.P50)/1000, float64(baseline.FirstToken.P99)/1000, baseline.Completed)
	t.Logf("added by the router: p50 %.3f ms, p99 %.3f ms; generator lag p99 %.3f ms", p50, p99, float64(result.ScheduleLag.P99)/1000)
	assert.Check(t, through.Completed > 0 && through.Wrong+through.Lost == 0, "answers: %+v", through)
	assert.Check(t, p50 <= 1, "p50 adds %.3f ms, target 1 ms", p50)
	assert.Check(t, p99 <= 3, "p99 adds %.3f ms, target 3 ms", p99)
}

func (d *deployment) settingsOf(instance string) api.Settings { return d.daemons[instance].settings }

// Guards the target that one entry forwards at least 100,000 tokens/s on four
// cores. On a busy machine the entry gets less than four, so that tokens per
// second of its processor time are printed as well.
func TestPerfTokens(t *testing.T) {
	needPerf(t)
	const engines, slots = 6, 128
	d := deploy(t, engines, engine.Config{Slots: slots, StepTime: 4 * time.Millisecond, KVTokens: 1 << 24, Queue: 1024})
	entry := d.daemons["entry-1"]
	stop := callers(t, d, engines*slots, 2048)
	defer stop()
	time.Sleep(5 * time.Second)
	started, before, used := time.Now(), entry.metric("borageflow_entry_tokens_total"), d.processor()
	time.Sleep(15 * time.Second)
	elapsed, after, usedAfter := time.Since(started), entry.metric("borageflow_entry_tokens_total"), d.processor()
	tokens := after - before
	rate := tokens / elapsed.Seconds()
	cores := (usedAfter["entry-1"] - used["entry-1"]).Seconds() / elapsed.Seconds()
	sidecar := (usedAfter["sidecar-engine-1"] - used["sidecar-engine-1"]).Seconds() / elapsed.Seconds()
	t.Logf("entry forwards %.0f tokens/s with %.2f cores: %.0f tokens per core second, 4 cores %.0f tokens/s",
		rate, cores, rate/cores, 4*rate/cores)
	t.Logf("one sidecar uses %.2f cores: %.1f us per token", sidecar, sidecar/(rate/engines)*1e6)
	assert.Check(t, rate >= 100_000, "%.0f tokens/s, target 100,000", rate)
}

func (d *deployment) processor() map[string]time.Duration {
	used := map[string]time.Duration{}
	for name, p := range d.daemons {
		used[name] = p.processor()
	}
	return used
}

// callers keeps n streams open until the returned function is called.
func callers(t *testing.T, d *deployment, n, maxTokens int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client, running := loadgen.NewClient(), make(chan struct{}, n)
	url := "http://" + d.settingsOf("entry-1").Listen.Callers + "/v1/chat/completions"
	var refused, answered atomic.Int64
	for i := range n {
		go func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				if err := call(ctx, client, url, fmt.Sprintf("call %d turn %d", i, turn), maxTokens); err == nil {
					answered.Add(1)
				} else if ctx.Err() == nil {
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
			running <- struct{}{}
		}()
	}
	return func() {
		cancel()
		for range n {
			<-running
		}
		client.CloseIdleConnections()
		t.Logf("%d answers, %d refusals", answered.Load(), refused.Load())
	}
}

func call(ctx context.Context, client *http.Client, url, prompt string, maxTokens int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, version, maxTokens, prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("X-Borageflow-Class", "draft")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards the targets of control per idle daemon: at most 1% of a core, 32 MB and
// 5 KB/s. The probes of an entry go to every sidecar here.
func TestPerfIdle(t *testing.T) {
	needPerf(t)
	const engines = 8
	d := deploy(t, engines, engine.Config{Slots: 16})
	time.Sleep(10 * time.Second)
	started, used, bytesBefore, calls := time.Now(), d.processor(), d.peerBytes(), d.storeCalls()
	time.Sleep(30 * time.Second)
	seconds, usedAfter, bytesAfter, callsAfter := time.Since(started).Seconds(), d.processor(), d.peerBytes(), d.storeCalls()
	for _, name := range []string{"entry-1", "sidecar-engine-1", "sidecar-engine-2"} {
		cores := 100 * (usedAfter[name] - used[name]).Seconds() / seconds
		rate := (bytesAfter[name] - bytesBefore[name]) / seconds
		resident := d.daemons[name].residentMB()
		t.Logf("idle %s: %.2f%% of a core, %.1f MB resident, %.0f B/s sent and received", name, cores, resident, rate)
		assert.Check(t, cores <= 1, "%s uses %.2f%% of a core, target 1%%", name, cores)
		assert.Check(t, resident < 32, "%s holds %.1f MB, target 32 MB", name, resident)
		assert.Check(t, rate <= 5000, "%s moves %.0f B/s, target 5,000", name, rate)
	}
	t.Logf("store: %.2f calls/s from %d daemons", float64(callsAfter-calls)/seconds, len(d.daemons))
}

func (d *deployment) storeCalls() int {
	total := 0
	for _, calls := range d.Store.Ledger().Calls {
		total += calls.Total
	}
	return total
}

func (d *deployment) peerBytes() map[string]float64 {
	out := map[string]float64{}
	for name, p := range d.daemons {
		out[name] = p.metric("borageflow_peer_sent_bytes_total") + p.metric("borageflow_peer_received_bytes_total")
	}
	return out
}

// Measures the memory of open streams, which has no stated target.
func TestPerfStreams(t *testing.T) {
	needPerf(t)
	const engines, slots = 2, 1024
	d := deploy(t, engines, engine.Config{Slots: slots, StepTime: 100 * time.Millisecond, KVTokens: 1 << 26, Queue: 4096})
	names := []string{"entry-1", "sidecar-engine-1"}
	idle := map[string]float64{}
	for _, name := range names {
		idle[name] = d.daemons[name].residentMB()
	}
	for _, n := range []int{500, 1000, 2000} {
		stop := callers(t, d, n, 4096)
		time.Sleep(10 * time.Second)
		running := d.daemons["entry-1"].metric("borageflow_entry_requests_running")
		entry, sidecar := d.daemons["entry-1"].residentMB(), d.daemons["sidecar-engine-1"].residentMB()
		stop()
		t.Logf("%.0f streams: entry %.1f MB, %.1f MB per 1,000; sidecar %.1f MB, %.1f MB per 1,000 of its own",
			running, entry, (entry-idle["entry-1"])/running*1000, sidecar, (sidecar-idle["sidecar-engine-1"])/(running/engines)*1000)
		assert.Check(t, running > float64(n)*0.9, "%.0f of %d streams are open", running, n)
		time.Sleep(3 * time.Second)
	}
}
