package policybench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/borageflow/borageflow/api"
)

// EngineModel describes a model engine with continuous batching.
type EngineModel struct {
	Slots int
	// DurationFactor multiplies all durations: 1 is average and 2 is half as fast.
	DurationFactor float64
	// StepMs is the base duration of a step. SequenceMs is added per decoding sequence
	// and PrefillTokenMs per prompt token. All are in milliseconds.
	StepMs         float64
	SequenceMs     float64
	PrefillTokenMs float64
	// PrefillChunk is the maximum number of prompt tokens of one step.
	PrefillChunk int
	// CachedPrefixes is the capacity of the prefix cache, in prefixes.
	CachedPrefixes int
	// ReportInterval is the interval between load reports.
	ReportInterval time.Duration
}

// Job is a request at an engine. Prefix 0 means that it has no prefix to cache.
type Job struct {
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	OutputTokens int
	MaxTokens    int
	IsShort      bool
	// OnFirstToken and OnDone are called at the first token and at the end of the job.
	OnFirstToken func(cachedTokens int)
	OnDone       func()

	cachedTokens   int
	prefillTokens  int
	producedTokens int
}

// Engine simulates one model engine on a virtual clock.
type Engine struct {
	clock    *Clock
	model    EngineModel
	running  []*Job
	queue    []*Job
	stepping bool
	cache    *lru.LRU[uint64, struct{}]
	// OnCacheChange is called after a prefix was cached or evicted.
	OnCacheChange func(prefix uint64, cached bool)

	report     api.LoadReport
	reportedAt time.Time
	lastStepMs float64
	// BusyTime is the virtual time spent in steps.
	BusyTime time.Duration
}

// NewEngine returns an idle engine and starts its periodic load reports.
func NewEngine(clock *Clock, model EngineModel) *Engine {
	e := &Engine{clock: clock, model: model, OnCacheChange: func(uint64, bool) {}}
	e.lastStepMs = model.StepMs * model.DurationFactor
	evicted := func(prefix uint64, _ struct{}) { e.OnCacheChange(prefix, false) }
	cache, err := lru.NewLRU(max(model.CachedPrefixes, 1), evicted)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	e.cache = cache
	e.updateReport()
	return e
}

// Load returns the last load report with its age.
func (e *Engine) Load() api.LoadReport {
	r := e.report
	r.AgeMs = int(e.clock.Now().Sub(e.reportedAt) / time.Millisecond)
	return r
}

func (e *Engine) updateReport() {
	e.reportedAt = e.clock.Now()
	e.report = api.LoadReport{
		Running: len(e.running), Queued: len(e.queue), Slots: e.model.Slots,
		TokenMs: e.lastStepMs, Ready: true, Alive: true,
	}
	e.clock.After(e.model.ReportInterval, e.updateReport)
}

// Submit adds a job to the queue. Short jobs are queued before long ones.
func (e *Engine) Submit(j *Job) {
	index := len(e.queue)
	if j.IsShort {
		index = 0
		for index < len(e.queue) && e.queue[index].IsShort {
			index++
		}
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[index+1:], e.queue[index:])
	e.queue[index] = j
	if !e.stepping {
		e.step()
	}
}

// step runs one batch step and schedules the next one.
func (e *Engine) step() {
	e.fillBatch()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	prefill, decoding := e.planStep()
	ms := e.model.StepMs + e.model.SequenceMs*float64(len(decoding)) + e.model.PrefillTokenMs*float64(prefill)
	e.lastStepMs = ms * e.model.DurationFactor
	d := time.Duration(e.lastStepMs * float64(time.Millisecond))
	e.BusyTime += d
	e.clock.After(d, func() { e.endStep(decoding) })
}

func (e *Engine) fillBatch() {
	for len(e.running) < e.model.Slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.cachedTokens = e.lookupPrefix(j)
		j.prefillTokens = max(j.PromptTokens-j.cachedTokens, 1)
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
	e.OnCacheChange(j.Prefix, true)
	return 0
}

// planStep distributes the prefill chunk over the jobs, short ones first. It returns the number
// of prompt tokens of the step and the jobs that produce a token in it.
func (e *Engine) planStep() (int, []*Job) {
	budget := e.model.PrefillChunk
	var decoding []*Job
	for _, short := range []bool{true, false} {
		for _, j := range e.running {
			if j.IsShort != short {
				continue
			}
			n := min(j.prefillTokens, budget)
			j.prefillTokens -= n
			budget -= n
			if j.prefillTokens == 0 {
				decoding = append(decoding, j)
			}
		}
	}
	return e.model.PrefillChunk - budget, decoding
}

func (e *Engine) endStep(decoding []*Job) {
	for _, j := range decoding {
		j.producedTokens++
		if j.producedTokens == 1 {
			j.OnFirstToken(j.cachedTokens)
		}
	}
	kept := e.running[:0]
	var done []*Job
	for _, j := range e.running {
		if j.producedTokens >= j.OutputTokens {
			done = append(done, j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	for _, j := range done {
		j.OnDone()
	}
	e.step()
}
