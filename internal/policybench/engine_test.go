package policybench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/routing"
)

var testModel = EngineModel{
	Slots: 1, DurationFactor: 2, StepMs: 5, SequenceMs: 1, PrefillTokenMs: 0.1,
	PrefillChunk: 500, CachedPrefixes: 1, ReportInterval: time.Second,
}

// Guards against a queue model whose times contradict EngineModel in the steps, the prefill
// chunks, the cached prefixes or the priority of lookups over drafts.
func TestEngineTimes(t *testing.T) {
	clock := NewClock()
	e := NewEngine(clock, testModel)
	first := map[string]time.Duration{}
	submit := func(name string, prefix uint64, short bool) {
		j := &Job{Prefix: prefix, PrefixTokens: 600, PromptTokens: 700, OutputTokens: 2, IsShort: short}
		j.OnFirstToken = func(int) { first[name] = clock.Now().Sub(Epoch) }
		j.OnDone = func() {}
		e.Submit(j)
	}
	submit("first", 1, false)
	submit("draft", 1, false)
	submit("lookup", 1, true)
	clock.RunUntil(Epoch.Add(time.Second))
	const ms = time.Millisecond
	// 500 prompt tokens in (5+50)x2 ms, then 200 and one token in (5+1+20)x2 ms.
	assert.Equal(t, first["first"], 162*ms)
	// The second token takes 12 ms. The lookup is next; its prefix is cached, so that
	// 100 prompt tokens and one token take (5+1+10)x2 ms.
	assert.Equal(t, first["lookup"], 206*ms)
	assert.Equal(t, first["draft"], 250*ms)
	assert.Equal(t, e.BusyTime, 262*ms)
}

// Guards against results that differ between two runs with the same seed.
func TestFleetRunIsDeterministic(t *testing.T) {
	arrivals := Traffic{Seed: 1, Duration: 15 * time.Second, LookupsPerSecond: 50, DraftsPerSecond: 4, Prefixes: 50, PrefixSkew: 1}.Generate()
	run := func() FleetResult { return DefaultFleetRun(routing.PowerOfD, 1).Run(arrivals) }
	a, b := run(), run()
	assert.DeepEqual(t, a.All(), b.All())
	assert.Equal(t, a.CacheHits, b.CacheHits)
	assert.Equal(t, a.Unanswered, 0)
}
