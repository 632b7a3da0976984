package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// modelSilence is how long each worker of the model does nothing, once in modelSilenceEvery.
	modelSilence, modelSilenceEvery = time.Second, time.Minute
	// modelTarget is the target of the first byte of an answer, modelDeadline when an answer counts as lost.
	modelTarget, modelDeadline = 400 * time.Millisecond, 4 * time.Second
	modelRunsAllowed           = 3
	modelSlots                 = 8
	// modelWork and modelWorkSpread are the least time until the first byte of an answer, and what may come to it.
	modelWork, modelWorkSpread = 15 * time.Millisecond, 45 * time.Millisecond
	modelArrivalsPerWorker     = 3.0 // a second
)

// silenceLoad is a load of plain safe requests and streams, half each, on workers that fall silent.
type silenceLoad struct {
	gateways, workers int
	length            time.Duration
	isSilent          bool
}

// silenceResult counts requests by kind: 0 is plain, 1 streams.
type silenceResult struct {
	asked, good, lost, hedges [2]float64
	won                       float64
	// together is the longest time for which two workers held one request.
	together time.Duration
	// repeats and arrivals are the times of all repeats and requests.
	repeats, arrivals []time.Duration
}

type modelEvent struct {
	at time.Duration
	do func(now time.Duration)
}

// modelEvents is a heap of events in the order of their times.
type modelEvents []modelEvent

func (q modelEvents) Len() int           { return len(q) }
func (q modelEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q modelEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelEvents) Push(x any)        { *q = append(*q, x.(modelEvent)) } //nolint:forcetypeassert // heap of events
func (q *modelEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// silenceModel plays a silenceLoad in virtual time.
type silenceModel struct {
	silenceLoad
	rng      *rand.Rand
	events   modelEvents
	placers  []*Placer
	budgets  []*RetryBudget
	timeouts []*HeaderTimeoutEstimator
	phase    map[string]time.Duration // when a worker falls silent in each modelSilenceEvery
	running  map[string]int
	result   silenceResult
}

// modelRequest is a request at a gateway.
type modelRequest struct {
	route    *Route
	kind     int
	gateway  int
	at       time.Duration
	tried    []string
	open     []*modelRun // at most one worker beside the first
	hedged   int         // workers that were asked beside the first
	answered bool
}

// modelRun is a run of a request at a worker. It ends once.
type modelRun struct {
	worker    string
	inFlight  *InFlight
	startedAt time.Duration
	ended     bool
}

var modelRoutes = [2]*Route{
	{Name: "plain", Kind: Safe, LatencyTarget: modelTarget},
	{Name: "stream", Kind: Stream, LatencyTarget: modelTarget},
}

func (l silenceLoad) play() *silenceResult {
	m := &silenceModel{silenceLoad: l, rng: rand.New(rand.NewPCG(7, uint64(l.gateways))), phase: map[string]time.Duration{}, running: map[string]int{}}
	var list []Worker
	for w := range l.workers {
		id := fmt.Sprintf("w%d", w)
		list = append(list, Worker{ID: id, Service: "s", Slots: modelSlots})
		m.phase[id] = time.Duration(m.rng.Int64N(int64(modelSilenceEvery)))
	}
	for range l.gateways {
		p := NewPlacer(PlacerOptions{})
		p.SetWorkers(slices.Clone(list))
		m.placers = append(m.placers, p)
		m.budgets = append(m.budgets, NewRetryBudget(0, testRetryOptions))
		// The gateways have run for long enough to know how long answers take.
		e := NewHeaderTimeoutEstimator()
		for range minSamples {
			for _, route := range modelRoutes {
				e.Observe(route.Name, false, 0, modelWork+modelWorkSpread/2)
			}
		}
		m.timeouts = append(m.timeouts, e)
	}
	m.after(0, 0, m.arrive)
	m.after(0, 0, m.exchange)
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(modelEvent) //nolint:forcetypeassert // heap of events
		e.do(e.at)
	}
	return &m.result
}

func (m *silenceModel) after(now, d time.Duration, do func(time.Duration)) {
	heap.Push(&m.events, modelEvent{now + d, do})
}

// exchange gives each gateway the loads and failures of the others.
func (m *silenceModel) exchange(now time.Duration) {
	if now < m.length {
		m.after(now, 500*time.Millisecond, m.exchange)
	}
	loads, failures := map[string]float64{}, map[string]float64{}
	for _, p := range m.placers {
		p.OwnLoads(func(id string, load float64) { loads[id] += load })
		p.OwnFailures(now, func(id string, n float64) { failures[id] += n })
	}
	for _, p := range m.placers {
		own, failed := map[string]float64{}, map[string]float64{}
		p.OwnLoads(func(id string, load float64) { own[id] = load })
		p.OwnFailures(now, func(id string, n float64) { failed[id] = n })
		p.SetPeerLoads(now, m.gateways, func(id string) float64 { return max(loads[id]-own[id], 0) })
		p.SetPeerFailures(now, func(id string) float64 { return max(failures[id]-failed[id], 0) })
	}
}

func (m *silenceModel) arrive(now time.Duration) {
	if now >= m.length {
		return
	}
	m.after(now, time.Duration(m.rng.ExpFloat64()/modelArrivalsPerWorker/float64(m.workers)*float64(time.Second)), m.arrive)
	kind := m.rng.IntN(2)
	r := &modelRequest{route: modelRoutes[kind], kind: kind, gateway: m.rng.IntN(m.gateways), at: now}
	m.result.asked[kind]++
	m.result.arrivals = append(m.result.arrivals, now)
	m.budgets[r.gateway].RecordRequest(now, m.share())
	m.attempt(now, r)
	m.after(now, modelDeadline, func(time.Duration) {
		if !r.answered {
			m.result.lost[kind]++
		}
	})
}

func (m *silenceModel) share() float64 { return 1 / float64(m.gateways) }

// attempt sends a request to a worker, and to others that have room while the retry budget allows.
func (m *silenceModel) attempt(now time.Duration, r *modelRequest) {
	for {
		if run := m.start(now, r, func() {}); run != nil {
			m.after(now, m.timeouts[r.gateway].Timeout(r.route, false, 0), func(now time.Duration) { m.overdue(now, r, run) })
			return
		}
		state := RetryState{Outcome: NotRun, Idempotent: true, MaxAttempts: modelRunsAllowed, Remaining: r.at + modelDeadline - now, TakeBudget: func() bool { return m.take(now, r) }}
		if ok, _ := state.ShouldRetry(0); !ok {
			return
		}
	}
}

// take takes a retry that is sent at once.
func (m *silenceModel) take(now time.Duration, r *modelRequest) bool {
	b := m.budgets[r.gateway]
	if !b.Take(now, m.share()) {
		return false
	}
	b.Sent()
	m.result.repeats = append(m.result.repeats, now)
	return true
}

// start starts a run at a worker that was not tried yet. It returns nil if that is full. done is called with the first
// byte of the answer.
func (m *silenceModel) start(now time.Duration, r *modelRequest, done func()) *modelRun {
	p := m.placers[r.gateway]
	got, ok := p.Pick(now, WorkerQuery{Service: "s", Exclude: r.tried}, m.rng)
	if !ok {
		return nil
	}
	id := got.Worker.ID
	r.tried = append(r.tried, id)
	if m.running[id] >= modelSlots {
		return nil
	}
	m.running[id]++
	run := &modelRun{worker: id, inFlight: p.RecordStart(now, id, "", nil, 0), startedAt: now}
	r.open = append(r.open, run)
	first := m.workUntil(now, id, modelWork+time.Duration(m.rng.Int64N(int64(modelWorkSpread))))
	m.after(first, 0, func(now time.Duration) {
		if run.ended {
			return
		}
		done()
		m.answer(now, r, run)
	})
	return run
}

// workUntil returns when a worker has done some work: it does nothing while it is silent.
func (m *silenceModel) workUntil(now time.Duration, id string, work time.Duration) time.Duration {
	end := now + work
	if !m.isSilent {
		return end
	}
	from := m.phase[id] + now/modelSilenceEvery*modelSilenceEvery
	if now >= from+modelSilence {
		from += modelSilenceEvery
	}
	if end > from {
		end = max(now, from+modelSilence) + end - max(now, from)
	}
	return end
}

// answer records the first byte of an answer. A stream goes on for a second.
func (m *silenceModel) answer(now time.Duration, r *modelRequest, run *modelRun) {
	m.placers[r.gateway].RecordAnswer(now, run.worker)
	run.inFlight.AnswerStarted(now)
	for _, other := range r.open {
		if other != run && !other.ended {
			m.recordTogether(now, run, other)
			m.end(other)
		}
	}
	if !r.answered {
		r.answered = true
		m.timeouts[r.gateway].Observe(r.route.Name, false, 0, now-r.at)
		if now-r.at <= modelTarget {
			m.result.good[r.kind]++
		}
	}
	if r.route.Kind == Stream {
		m.after(m.workUntil(now, run.worker, time.Second), 0, func(time.Duration) { m.end(run) })
		return
	}
	m.end(run)
}

func (m *silenceModel) end(run *modelRun) {
	if !run.ended {
		run.ended = true
		m.running[run.worker]--
		run.inFlight.End()
	}
}

// overdue decides about a request whose first worker is silent.
func (m *silenceModel) overdue(now time.Duration, r *modelRequest, first *modelRun) {
	remaining := r.at + modelDeadline - now
	if r.answered || remaining <= 0 {
		return
	}
	m.placers[r.gateway].RecordFailure(now, first.worker)
	e := m.timeouts[r.gateway]
	look := func(now time.Duration) { m.overdue(now, r, first) }
	state := SilenceState{Kind: r.route.Kind, Runs: r.hedged, MaxRuns: modelRunsAllowed, Remaining: remaining, UsualTime: e.Usual(r.route, false, 0)}
	if state.MayHedge() && m.take(now, r) {
		m.result.hedges[r.kind]++
		hedge := m.start(now, r, func() { m.result.won++ })
		if hedge != nil {
			r.hedged++
			m.after(now, HedgeTime, func(now time.Duration) {
				if !first.ended && !hedge.ended {
					m.recordTogether(now, first, hedge)
				}
				m.end(hedge)
				look(now)
			})
			return
		}
	}
	m.after(now, e.Timeout(r.route, false, 0), look)
}

// recordTogether records that two workers held a request until now.
func (m *silenceModel) recordTogether(now time.Duration, a, b *modelRun) {
	m.result.together = max(m.result.together, now-max(a.startedAt, b.startedAt))
}

// mostOver returns by how many retries the repeats pass the bound in the worst window.
func (r *silenceResult) mostOver() float64 {
	count := func(times []time.Duration, from time.Duration) float64 {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+testRetryOptions.Window)
		return float64(end - first)
	}
	over := -testRetryOptions.Slack
	for _, from := range r.repeats {
		over = max(over, count(r.repeats, from)-testRetryOptions.Ratio*count(r.arrivals, from)-testRetryOptions.Slack)
	}
	return over
}

// Guards against answers that are lost, late or repeated too often where each worker falls silent for a second once a
// minute. Smaller fleets have fewer workers, about nine before each gateway, and are played for longer.
func TestSilentWorkersCostLittle(t *testing.T) {
	t.Logf("gateways workers silence requests hedges/request(plain, stream) won together lost(plain, stream) goodput(plain, stream)")
	late := [2]float64{}
	for _, l := range []silenceLoad{
		{gateways: 1, workers: 9, length: time.Minute},
		{gateways: 4, workers: 36, length: 20 * time.Second},
		{gateways: 29, workers: 256, length: 3 * time.Second},
		{gateways: 103, workers: 910, length: 1200 * time.Millisecond},
	} {
		var goodput [2][2]float64 // by silence and kind
		for i, isSilent := range []bool{false, true} {
			l.isSilent = isSilent
			r := l.play()
			for kind := range modelRoutes {
				goodput[i][kind] = r.good[kind] / r.asked[kind]
			}
			t.Logf("%8d %7d %7v %8.0f %.4f, %.4f %4.0f %v  %.0f, %.0f  %.4f, %.4f", l.gateways, l.workers, isSilent, r.asked[0]+r.asked[1],
				r.hedges[0]/r.asked[0], r.hedges[1]/r.asked[1], r.won, r.together.Round(time.Millisecond), r.lost[0], r.lost[1], goodput[i][0], goodput[i][1])
			assert.Equal(t, r.lost, [2]float64{}, "%d gateways, silence %v", l.gateways, isSilent)
			assert.Equal(t, r.hedges[1], 0.0, "%d gateways, silence %v: streams were hedged", l.gateways, isSilent)
			assert.Assert(t, r.together <= 400*time.Millisecond, "%d gateways, silence %v: two workers held a request for %v", l.gateways, isSilent, r.together)
			assert.Assert(t, r.mostOver() <= 0, "%d gateways, silence %v: %.0f repeats beyond the bound", l.gateways, isSilent, r.mostOver())
		}
		for kind, route := range modelRoutes {
			late[kind] += 1 - goodput[1][kind]
			assert.Assert(t, goodput[1][kind] >= 0.97*goodput[0][kind], "%d gateways, %s: %.4f of the answers are in time, %.4f without silence", l.gateways, route.Name, goodput[1][kind], goodput[0][kind])
		}
	}
	assert.Assert(t, late[0] <= late[1]/2, "hedges do not halve the late plain answers: %.4f are late, and %.4f of the streams, which are not hedged", late[0]/4, late[1]/4)
}
