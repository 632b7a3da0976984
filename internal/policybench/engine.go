package policybench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/borageflow/borageflow/api"
)

// EngineModel describes one model engine with continuous batching.
type EngineModel struct {
	Slots int
	// Speed multiplies every duration; 1 is average, 2 is half as fast.
	Speed float64
	// StepMs is the time of a step with an empty batch, SequenceMs the time
	// that each decoding sequence adds and PrefillTokenMs that each prompt token
	// adds, in milliseconds.
	StepMs         float64
	SequenceMs     float64
	PrefillTokenMs float64
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int
	// CachedPrefixes is the number of prompt prefixes that fit in the cache.
	CachedPrefixes int
	// ReportEvery is the interval between load snapshots.
	ReportEvery time.Duration
}

// Job is one request at an engine.
type Job struct {
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	OutputTokens int
	MaxTokens    int
	Short        bool
	// FirstToken and Done are called at those moments.
	FirstToken func(cachedTokens int)
	Done       func()

	cached    int
	toPrefill int
	produced  int
}

// Engine simulates one model engine on a virtual clock.
type Engine struct {
	clock   *Clock
	model   EngineModel
	running []*Job
	queue   []*Job
	busy    bool
	cache   *lru.LRU[uint64, struct{}]
	// CacheChanged is called when a prefix is cached or evicted.
	CacheChanged func(prefix uint64, cached bool)

	snapshot   api.LoadReport
	snapshotAt time.Time
	lastStepMs float64
	// BusyTime is the time spent in steps.
	BusyTime time.Duration
}

// NewEngine returns an idle engine that starts its load snapshots.
func NewEngine(clock *Clock, model EngineModel) *Engine {
	e := &Engine{clock: clock, model: model, CacheChanged: func(uint64, bool) {}}
	e.lastStepMs = model.StepMs * model.Speed
	evicted := func(prefix uint64, _ struct{}) { e.CacheChanged(prefix, false) }
	cache, err := lru.NewLRU(max(model.CachedPrefixes, 1), evicted)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	e.cache = cache
	e.takeSnapshot()
	return e
}

// Load returns the last snapshot with its age.
func (e *Engine) Load() api.LoadReport {
	r := e.snapshot
	r.AgeMs = int(e.clock.Now().Sub(e.snapshotAt) / time.Millisecond)
	return r
}

func (e *Engine) takeSnapshot() {
	e.snapshotAt = e.clock.Now()
	e.snapshot = api.LoadReport{
		Running: len(e.running), Queued: len(e.queue), Slots: e.model.Slots,
		TokenMs: e.lastStepMs, Ready: true, Alive: true,
	}
	e.clock.After(e.model.ReportEvery, e.takeSnapshot)
}

// Submit queues a job. Short jobs go before long ones.
func (e *Engine) Submit(j *Job) {
	at := len(e.queue)
	if j.Short {
		at = 0
		for at < len(e.queue) && e.queue[at].Short {
			at++
		}
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = j
	if !e.busy {
		e.step()
	}
}

// step runs one batch step and schedules the next one.
func (e *Engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	prefill, decoding := e.planStep()
	ms := e.model.StepMs + e.model.SequenceMs*float64(len(decoding)) + e.model.PrefillTokenMs*float64(prefill)
	e.lastStepMs = ms * e.model.Speed
	d := time.Duration(e.lastStepMs * float64(time.Millisecond))
	e.BusyTime += d
	e.clock.After(d, func() { e.endStep(decoding) })
}

func (e *Engine) admit() {
	for len(e.running) < e.model.Slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.cached = e.lookupPrefix(j)
		j.toPrefill = max(j.PromptTokens-j.cached, 1)
		e.running = append(e.running, j)
	}
}

func (e *Engine) lookupPrefix(j *Job) int {
	if j.Prefix == 0 {
		return 0
	}
	if _, ok := e.cache.Get(j.Prefix); ok {
		return j.PrefixTokens
	}
	e.cache.Add(j.Prefix, struct{}{})
	e.CacheChanged(j.Prefix, true)
	return 0
}

// planStep spends the prefill chunk, short jobs first, and returns the prompt
// tokens of the step and the sequences that produce a token in it.
func (e *Engine) planStep() (int, []*Job) {
	budget := e.model.PrefillChunk
	var decoding []*Job
	for _, short := range []bool{true, false} {
		for _, j := range e.running {
			if j.Short != short {
				continue
			}
			n := min(j.toPrefill, budget)
			j.toPrefill -= n
			budget -= n
			if j.toPrefill == 0 {
				decoding = append(decoding, j)
			}
		}
	}
	return e.model.PrefillChunk - budget, decoding
}

func (e *Engine) endStep(decoding []*Job) {
	for _, j := range decoding {
		j.produced++
		if j.produced == 1 {
			j.FirstToken(j.cached)
		}
	}
	kept := e.running[:0]
	var done []*Job
	for _, j := range e.running {
		if j.produced >= j.OutputTokens {
			done = append(done, j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	for _, j := range done {
		j.Done()
	}
	e.step()
}
