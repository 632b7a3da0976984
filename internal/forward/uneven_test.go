package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenFleet is a load of many processes before workers that differ. A worker runs as many requests at
// once as it has slots and queues the others. Each request is run at the speed of its start.
type unevenFleet struct {
	processes, workers, slots int
	perSecond                 float64
	length                    time.Duration
	// work returns the prompt of a request, its model and its time on a usual worker.
	work func(*rand.Rand) ([]PromptPart, string, time.Duration)
	// slowness returns how much longer a worker with busy requests takes, and pace what it states.
	slowness func(worker, busy int, now time.Duration) float64
	pace     func(worker int, now time.Duration) float64
	// exchangedUntil is when the exchange of loads, every 200 ms, stops.
	exchangedUntil time.Duration
}

type unevenRequest struct {
	arrivedAt, endsAt, time time.Duration
	worker                  int
	placer                  *Placer
	inFlight                *InFlight
}

// unevenResult holds the requests by their arrival, and the processes.
type unevenResult struct {
	requests []*unevenRequest
	placers  []*Placer
	reports  map[SpeedChange]int
}

func (f unevenFleet) play() unevenResult {
	rng := rand.New(rand.NewPCG(7, 7))
	out := unevenResult{reports: map[SpeedChange]int{}}
	for range f.processes {
		p := NewPlacer(PlacerOptions{})
		var list []Worker
		for w := range f.workers {
			list = append(list, Worker{ID: "w" + strconv.Itoa(w), Service: "s", Slots: f.slots})
		}
		p.SetWorkers(list)
		out.placers = append(out.placers, p)
	}
	queues, busy := make([][]*unevenRequest, f.workers), make([]int, f.workers)
	var running []*unevenRequest
	start := func(now time.Duration, w int) {
		for busy[w] < f.slots && len(queues[w]) > 0 {
			r := queues[w][0]
			queues[w] = queues[w][1:]
			busy[w]++
			r.endsAt = now + time.Duration(float64(r.time)*f.slowness(w, busy[w], now)*math.Exp(0.2*rng.NormFloat64()))
			i, _ := slices.BinarySearchFunc(running, r, func(a, b *unevenRequest) int { return int(a.endsAt - b.endsAt) })
			running = slices.Insert(running, i, r)
		}
	}
	end := func(r *unevenRequest) {
		busy[r.worker]--
		start(r.endsAt, r.worker)
		r.inFlight.AnswerStarted(r.endsAt)
		pace := f.pace(r.worker, r.endsAt)
		r.placer.RecordLoad(r.endsAt, "w"+strconv.Itoa(r.worker), Load{Running: busy[r.worker], Waiting: len(queues[r.worker]), Slots: f.slots, Pace: pace})
		out.reports[r.inFlight.Served(r.endsAt, "route", pace)]++
		r.inFlight.End()
	}
	nextExchange := time.Duration(0)
	for now := time.Duration(0); now < f.length; now += time.Duration(rng.ExpFloat64() / f.perSecond * float64(time.Second)) {
		for len(running) > 0 && running[0].endsAt <= now {
			r := running[0]
			running = running[1:]
			end(r)
		}
		if now >= nextExchange && now < f.exchangedUntil {
			exchangeLoads(now, out.placers)
			nextExchange = now + 200*time.Millisecond
		}
		prompt, model, usual := f.work(rng)
		p := out.placers[rng.IntN(f.processes)]
		got, _ := p.Pick(now, WorkerQuery{Service: "s", Prompt: prompt, Model: model}, rng)
		w, _ := strconv.Atoi(got.Worker.ID[1:])
		r := &unevenRequest{arrivedAt: now, time: usual, worker: w, placer: p, inFlight: p.RecordStart(now, got.Worker.ID, model, prompt, got.CachedTokens)}
		queues[w] = append(queues[w], r)
		start(now, w)
		out.requests = append(out.requests, r)
	}
	return out
}

func exchangeLoads(now time.Duration, placers []*Placer) {
	total := map[string]float64{}
	for _, p := range placers {
		p.OwnLoads(func(id string, load float64) { total[id] += load })
	}
	for _, p := range placers {
		own := map[string]float64{}
		p.OwnLoads(func(id string, load float64) { own[id] = load })
		p.SetPeerLoads(now, len(placers), func(id string) float64 { return total[id] - own[id] })
	}
}

// between returns the requests that arrived in a span and whose answers started, and how many each worker
// got.
func (r unevenResult) between(from, until time.Duration, workers int) (waits []time.Duration, counts []int) {
	counts = make([]int, workers)
	for _, q := range r.requests {
		if q.arrivedAt >= from && q.arrivedAt < until {
			counts[q.worker]++
			if q.endsAt > 0 {
				waits = append(waits, q.endsAt-q.arrivedAt)
			}
		}
	}
	slices.Sort(waits)
	return waits, counts
}

func p99(waits []time.Duration) time.Duration { return waits[len(waits)*99/100] }

// busiestToMean returns the number of requests of the busiest worker relative to the mean.
func busiestToMean(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
}

func plainWork(d time.Duration) func(*rand.Rand) ([]PromptPart, string, time.Duration) {
	return func(*rand.Rand) ([]PromptPart, string, time.Duration) { return nil, "", d }
}

func evenSlowness(int, int, time.Duration) float64 { return 1 }
func usualPaceOf(int, time.Duration) float64       { return 1 }
func noPace(int, time.Duration) float64            { return 0 }

// appFleet is a plain service of three workers with six slots, of which one takes 1.3 times as long. Its
// callers want answers within 150 ms.
func appFleet(perSecond float64) unevenFleet {
	return unevenFleet{
		processes: 29, workers: 3, slots: 6, perSecond: perSecond, length: 30 * time.Second,
		work: plainWork(30 * time.Millisecond), pace: usualPaceOf, exchangedUntil: time.Hour,
		slowness: func(worker, _ int, _ time.Duration) float64 { return []float64{1, 1, 1.3}[worker] },
	}
}

const appTarget = 150 * time.Millisecond

// Guards against workers that differ in speed and get equal shares: 360 requests a second use two thirds
// of the slots. Equal shares would use 78% of the slow worker's and 60% of the others'.
func TestSlowerWorkerGetsLess(t *testing.T) {
	f := appFleet(360)
	waits, counts := f.play().between(10*time.Second, f.length, f.workers)
	f.pace = noPace
	blind, blindCounts := f.play().between(10*time.Second, f.length, f.workers)
	t.Logf("99%% within %v, %v by worker; without a pace %v, %v", p99(waits), counts, p99(blind), blindCounts)
	assert.Assert(t, p99(waits) <= appTarget)
	assert.Assert(t, p99(waits) <= p99(blind)*11/10, "%v, %v without a pace", p99(waits), p99(blind))
	// In proportion to the speeds, the busiest worker gets 1.08 of the mean.
	assert.Assert(t, busiestToMean(counts) <= 1.2, "%v", counts)
	assert.Assert(t, counts[2] < counts[0] && counts[2] < counts[1], "%v", counts)
}

// Guards against noise of other programs on the machines that counts as a slow worker: at any time, one
// of six workers takes 2.5 times as long for 600 ms. Callers want answers within 300 ms.
func TestNoiseIsNoSlowWorker(t *testing.T) {
	noise := func(worker int, now time.Duration) float64 {
		if int(now/(600*time.Millisecond))*5%6 == worker {
			return 2.5
		}
		return 1
	}
	f := unevenFleet{
		processes: 50, workers: 6, slots: 6, perSecond: 250, length: 30 * time.Second, work: plainWork(60 * time.Millisecond), exchangedUntil: time.Hour,
		slowness: func(worker, _ int, now time.Duration) float64 { return noise(worker, now) }, pace: noise,
	}
	out := f.play()
	waits, counts := out.between(5*time.Second, f.length, f.workers)
	t.Logf("99%% within %v, %v by worker, reports %v", p99(waits), counts, out.reports)
	assert.Assert(t, p99(waits) <= 300*time.Millisecond, "%v", p99(waits))
	assert.Assert(t, busiestToMean(counts) <= 1.2, "%v", counts)
	assert.Equal(t, out.reports[SpeedSlow], 0)
}

// Guards against a worker that turns four times slower without a word and keeps its share, is kept from
// all requests, or stays so after it has recovered.
func TestWorkerThatTurnsSlowAndRecovers(t *testing.T) {
	const slowFrom, slowUntil, length = 10 * time.Second, 30 * time.Second, 50 * time.Second
	for _, processes := range []int{1, 29} {
		f := appFleet(240)
		f.processes, f.length = processes, length
		f.slowness = func(worker, _ int, now time.Duration) float64 {
			if worker == 1 && now >= slowFrom && now < slowUntil {
				return 4
			}
			return 1
		}
		out := f.play()
		_, slow := out.between(slowFrom+5*time.Second, slowUntil, f.workers)
		waits, after := out.between(slowUntil+10*time.Second, length, f.workers)
		t.Logf("%d processes: %v by worker while one is slow, %v afterwards, 99%% within %v", processes, slow, after, p99(waits))
		assert.Assert(t, slow[1] < slow[0]/2 && slow[1] < slow[2]/2, "slow worker keeps its share: %v", slow)
		assert.Assert(t, slow[1] > 0, "slow worker is not tried again")
		assert.Assert(t, busiestToMean(after) <= 1.2, "%v after the recovery", after)
		assert.Assert(t, p99(waits) <= appTarget)
		assert.Assert(t, out.reports[SpeedSlow] > 0 && out.reports[SpeedRecovered] > 0, "%v", out.reports)
	}
}

// Guards against a worker that is filled up although it takes three times as long once five of its six
// slots are in use.
func TestWorkerThatSlowsDownNearFull(t *testing.T) {
	f := appFleet(300)
	f.slowness = func(worker, busy int, _ time.Duration) float64 {
		if worker == 0 && busy >= 5 {
			return 3
		}
		return 1
	}
	waits, counts := f.play().between(10*time.Second, f.length, f.workers)
	f.pace = noPace
	blind, _ := f.play().between(10*time.Second, f.length, f.workers)
	t.Logf("99%% within %v, %v by worker, %v without a pace", p99(waits), counts, p99(blind))
	assert.Assert(t, p99(waits) <= appTarget)
	assert.Assert(t, p99(waits) <= p99(blind)*11/10, "%v, %v without a pace", p99(waits), p99(blind))
	assert.Assert(t, counts[0] > 0)
}

// promptWork returns prompts of 500 to 40,000 tokens for two models, of which one takes four times as
// long, on an engine that reads 92 tokens a millisecond.
func mixedPrompts(rng *rand.Rand) ([]PromptPart, string, time.Duration) {
	tokens := lognormal(rng, 4000, 1.2, 40000) + 500
	model, cost := "small", 1.0
	if rng.IntN(5) == 0 {
		model, cost = "large", 4
	}
	return []PromptPart{{ID: rng.Uint64(), Tokens: tokens}}, model, time.Duration(cost * float64(tokens) / 92 * float64(time.Millisecond))
}

// Guards against a worker that is taken for slow because it got the long prompts or the large model.
func TestLongPromptsAreNoSlowWorker(t *testing.T) {
	f := unevenFleet{
		processes: 4, workers: 12, slots: 1, perSecond: 60, length: 60 * time.Second,
		work: mixedPrompts, slowness: evenSlowness, pace: usualPaceOf, exchangedUntil: time.Hour,
	}
	out := f.play()
	worst := 1.0
	for _, p := range out.placers {
		for id := range p.workers {
			if e, ok := p.SpeedEstimate(f.length, id); ok {
				worst = max(worst, e.Learned, 1/e.Learned)
			}
		}
	}
	t.Logf("largest deviation of an estimate %.2f, reports %v", worst, out.reports)
	assert.Assert(t, worst < slowFrom, "%.2f", worst)
	assert.Equal(t, out.reports[SpeedSlow], 0)
}

// Guards against an estimate that helps only fleets of one size, and against one that depends on the
// exchange of loads: it stops after 10 s. A fifth of the workers takes 1.6 times as long, and the load is
// two thirds of the capacity.
func TestUnevenFleetsOfAllSizes(t *testing.T) {
	for _, size := range []struct{ processes, workers int }{{1, 3}, {29, 3}, {50, 6}, {29, 52}, {103, 128}, {103, 910}} {
		f := unevenFleet{
			processes: size.processes, workers: size.workers, slots: 6, perSecond: float64(size.workers) * 6 * 0.66 / 0.03 / 1.12, length: 20 * time.Second,
			work: plainWork(30 * time.Millisecond), pace: usualPaceOf, exchangedUntil: 10 * time.Second,
			slowness: func(worker, _ int, _ time.Duration) float64 {
				if worker%5 == 1 {
					return 1.6
				}
				return 1
			},
		}
		if size.workers > 100 {
			// As many requests as the fleets of fewer workers get.
			f.length = time.Second
		}
		waits, counts := f.play().between(f.length/2, f.length, f.workers)
		inTime, _ := slices.BinarySearch(waits, appTarget)
		t.Logf("%d processes, %d workers: 99%% within %v, %.4f in time, busiest %.2f of the mean", size.processes, size.workers, p99(waits), float64(inTime)/float64(len(waits)), busiestToMean(counts))
		assert.Assert(t, p99(waits) <= appTarget, "%d processes, %d workers: %v", size.processes, size.workers, p99(waits))
		assert.Assert(t, slices.Min(counts) > 0, "a worker got nothing")
	}
}

// Guards against a worker that never gets a request at a load at which the others are idle: each of the
// requests finds all workers idle, and one was four times slower than the others for 10 s.
func TestRecoveryIsNoticedAtLowLoad(t *testing.T) {
	const recovers, length = 10 * time.Second, 120 * time.Second
	f := appFleet(10)
	f.processes, f.length = 1, length
	f.slowness = func(worker, _ int, now time.Duration) float64 {
		if worker == 1 && now < recovers {
			return 4
		}
		return 1
	}
	waits, counts := f.play().between(length/2, length, f.workers)
	t.Logf("%v by worker, 99%% within %v", counts, p99(waits))
	assert.Assert(t, counts[1] >= (counts[0]+counts[1]+counts[2])/6, "%v", counts)
}
