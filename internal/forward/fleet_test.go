package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// fleetLoad describes a load of many processes before many engines.
type fleetLoad struct {
	processes, workers int
	// arrivals is the number of requests a second, tokensPerMs the reading speed of an engine.
	arrivals, tokensPerMs float64
	target                time.Duration
	// shareEvery is the time between two exchanges of loads; 0 exchanges none.
	shareEvery time.Duration
	options    PlacerOptions
}

func lognormal(rng *rand.Rand, mean, spread, maxValue float64) int {
	return int(min(math.Exp(rng.NormFloat64()*spread)*mean*math.Exp(-spread*spread/2), maxValue))
}

// play returns the share of the answers that start within the target, the 95th percentile of the
// time to the first event, and the share of the tokens that were read.
func (l fleetLoad) play() (inTime float64, p95 time.Duration, read float64) {
	type completion struct {
		at       time.Duration
		started  bool
		process  int
		worker   int
		inFlight *InFlight
	}
	const length = 40 * time.Second
	rng := rand.New(rand.NewPCG(5, 5))
	m := newPrefillModel(l.workers)
	placers := make([]*Placer, l.processes)
	for i := range placers {
		placers[i] = NewPlacer(l.options)
		var list []Worker
		for w := range l.workers {
			list = append(list, Worker{ID: "w" + strconv.Itoa(w), Service: "s", Slots: 64})
		}
		placers[i].SetWorkers(list)
		placers[i].statsFor("s").hasCascades = true
	}
	sizes := make(map[uint64]int)
	var queue []completion
	push := func(c completion) {
		i, _ := slices.BinarySearchFunc(queue, c, func(a, b completion) int { return int(a.at - b.at) })
		queue = slices.Insert(queue, i, c)
	}
	running := make([]int, l.workers)
	waiting := make([]int, l.workers)
	var waits []time.Duration
	late, tokens, readTokens := 0, 0, 0
	nextShare := time.Duration(0)
	published := make([]map[string]float64, l.processes)
	share := func(now time.Duration) {
		// What is published now is read at the next exchange.
		total := map[string]float64{}
		for _, own := range published {
			for id, load := range own {
				total[id] += load
			}
		}
		for i, p := range placers {
			own := published[i]
			p.SetPeerLoads(now, l.processes, func(id string) float64 { return total[id] - own[id] })
		}
		for i, p := range placers {
			published[i] = map[string]float64{}
			p.OwnLoads(func(id string, load float64) { published[i][id] = load })
		}
	}
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / l.arrivals * float64(time.Second)) {
		for {
			if l.shareEvery > 0 && nextShare <= now && (len(queue) == 0 || nextShare <= queue[0].at) {
				share(nextShare)
				nextShare += l.shareEvery
				continue
			}
			if len(queue) == 0 || queue[0].at > now {
				break
			}
			e := queue[0]
			queue = queue[1:]
			id := "w" + strconv.Itoa(e.worker)
			if !e.started {
				e.inFlight.AnswerStarted(e.at)
				waiting[e.worker]--
				running[e.worker]++
				placers[e.process].RecordLoad(e.at, id, Load{Running: running[e.worker], Waiting: waiting[e.worker], Slots: 64})
				e.started, e.at = true, e.at+answerTime
				push(e)
				continue
			}
			running[e.worker]--
			e.inFlight.End()
		}
		prompt := func() []PromptPart {
			part := func(id uint64, mean, spread, maxValue float64) PromptPart {
				if sizes[id] == 0 {
					sizes[id] = lognormal(rng, mean, spread, maxValue)
				}
				return PromptPart{ID: id, Tokens: sizes[id]}
			}
			switch r := rng.IntN(18); {
			case r < 6:
				return []PromptPart{part(1000+rng.Uint64N(605), 13300, 0.7, 39900), {ID: rng.Uint64(), Tokens: lognormal(rng, 3720, 1.1, 53200)}}
			case r < 11:
				return []PromptPart{part(1+rng.Uint64N(4), 2520, 0.4, 6290), part(2000+rng.Uint64N(326), 3780, 0.7, 11300), {ID: rng.Uint64(), Tokens: lognormal(rng, 2890, 1, 39600)}}
			default:
				return []PromptPart{part(10+rng.Uint64N(40), 210, 0.4, 524), part(3000+rng.Uint64N(437), 140, 0.7, 419), {ID: rng.Uint64(), Tokens: lognormal(rng, 1110, 1, 3790)}}
			}
		}()
		i := rng.IntN(l.processes)
		got, _ := placers[i].Pick(now, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
		worker, _ := strconv.Atoi(got.Worker.ID[1:])
		f := placers[i].RecordStart(now, got.Worker.ID, "m", prompt, got.CachedTokens)
		waiting[worker]++
		before := m.tokensRead
		first := m.prefillAt(now, worker, prompt, l.tokensPerMs)
		readTokens += m.tokensRead - before
		push(completion{at: first, process: i, worker: worker, inFlight: f})
		waits = append(waits, first-now)
		if first-now > l.target {
			late++
		}
		for _, part := range prompt {
			tokens += part.Tokens
		}
	}
	slices.Sort(waits)
	return 1 - float64(late)/float64(len(waits)), waits[len(waits)*95/100], float64(readTokens) / float64(tokens)
}

// Guards against processes that choose workers nearly at random because each knows only its own
// requests. 30 processes place 130 requests a second, some with prompts of up to 90,000 tokens,
// before 41 workers that read 20.8 tokens a millisecond, which is near their capacity. Answers
// are to start within 3 s. The loads are exchanged every 200 ms, or every 500 ms as in a much
// larger fleet.
func TestExchangedLoadsShortenWaits(t *testing.T) {
	l := fleetLoad{processes: 30, workers: 41, arrivals: 130, tokensPerMs: 20.8, target: 3 * time.Second}
	late := map[time.Duration]float64{}
	for _, every := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond} {
		l.shareEvery = every
		inTime, p95, read := l.play()
		late[every] = 1 - inTime
		t.Logf("exchange every %v: %.3f begin in time, 95%% within %v, %.2f of the tokens are read", every, inTime, p95.Round(10*time.Millisecond), read)
	}
	if late[200*time.Millisecond] > late[0]/2 {
		t.Fatalf("%.3f of the answers are late with exchanged loads, %.3f without, want at most half", late[200*time.Millisecond], late[0])
	}
	if late[500*time.Millisecond] > late[0] {
		t.Fatalf("%.3f of the answers are late with loads that are exchanged every 500 ms, %.3f without", late[500*time.Millisecond], late[0])
	}
}

// Guards against processes that all send their requests to the worker that was the least loaded
// at the last exchange, the empty one that was just added above all. 103 processes place 2,700
// requests a second on 128 workers, and exchange their loads every 200 ms. Each request waits
// for 300 ms. Between two exchanges, the added worker is to get about what levels it with the
// others, 6.4 requests, and not a multiple of that.
func TestAddedWorkerIsNotFlooded(t *testing.T) {
	added, _, mean := simulateAddedWorker()
	if added < mean/2 || added > 4*mean {
		t.Fatalf("added worker got %.0f requests between two exchanges, the mean is %.1f", added, mean)
	}
}

// Guards against any worker, and not only an added one, that gets a multiple of the mean between
// two exchanges, at the load of TestAddedWorkerIsNotFlooded.
func TestNoWorkerIsFloodedBetweenExchanges(t *testing.T) {
	_, most, mean := simulateAddedWorker()
	if most > 4*mean {
		t.Fatalf("busiest worker got %.0f requests between two exchanges, the mean is %.1f", most, mean)
	}
}

// simulateAddedWorker returns the requests between two exchanges of the added worker, of the
// busiest one, and in the mean.
func simulateAddedWorker() (added, most, mean float64) {
	const processes, workers, rate = 103, 128, 2700
	const interval, service, addedAt = 200 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second
	rng := rand.New(rand.NewPCG(9, 9))
	var list []Worker
	for w := range workers {
		list = append(list, Worker{ID: "w" + strconv.Itoa(w), Service: "s", Slots: 24})
	}
	placers := make([]*Placer, processes)
	for i := range placers {
		placers[i] = NewPlacer(PlacerOptions{})
		placers[i].SetWorkers(slices.Clone(list[1:]))
	}
	type running struct {
		until    time.Duration
		inFlight *InFlight
	}
	var queue []running
	nextShare, isAdded := time.Duration(0), false
	count := map[string]int{} // since the last exchange
	for now := time.Duration(0); now < addedAt+interval; now += time.Second / rate {
		for len(queue) > 0 && queue[0].until <= now {
			queue[0].inFlight.AnswerStarted(queue[0].until)
			queue[0].inFlight.End()
			queue = queue[1:]
		}
		if now >= nextShare {
			nextShare = now + interval
			clear(count)
			if now >= addedAt && !isAdded {
				isAdded = true
				for _, p := range placers {
					p.SetWorkers(slices.Clone(list))
				}
			}
			total := map[string]float64{}
			for _, p := range placers {
				p.OwnLoads(func(id string, load float64) { total[id] += load })
			}
			for _, p := range placers {
				own := map[string]float64{}
				p.OwnLoads(func(id string, load float64) { own[id] = load })
				p.SetPeerLoads(now, processes, func(id string) float64 { return total[id] - own[id] })
			}
		}
		p := placers[rng.IntN(processes)]
		got, _ := p.Pick(now, WorkerQuery{Service: "s"}, rng)
		queue = append(queue, running{now + service, p.RecordStart(now, got.Worker.ID, "", nil, 0)})
		count[got.Worker.ID]++
	}
	for _, n := range count {
		most = max(most, float64(n))
	}
	return float64(count["w0"]), most, float64(rate) * interval.Seconds() / workers
}

// simulateLostAnswers plays 103 processes before 128 workers, of which 60% lose 40% of their
// answers for 4 s. Each request may run three times. It returns the share of the requests that
// get no answer.
func simulateLostAnswers(record, exchange bool) float64 {
	const processes, workers, rate, length = 103, 128, 2700, 4 * time.Second
	rng := rand.New(rand.NewPCG(11, 11))
	placers := make([]*Placer, processes)
	for i := range placers {
		placers[i] = NewPlacer(PlacerOptions{})
		var list []Worker
		for w := range workers {
			list = append(list, Worker{ID: "w" + strconv.Itoa(w), Service: "s", Slots: 24})
		}
		placers[i].SetWorkers(list)
	}
	requests, lost := 0.0, 0.0
	nextShare := time.Duration(0)
	for now := time.Duration(0); now < length; now += time.Second / rate {
		if exchange && now >= nextShare {
			nextShare = now + 200*time.Millisecond
			total := map[string]float64{}
			own := make([]map[string]float64, processes)
			for i, p := range placers {
				own[i] = map[string]float64{}
				p.OwnFailures(now, func(id string, n float64) { own[i][id] = n; total[id] += n })
			}
			for i, p := range placers {
				p.SetPeerFailures(now, func(id string) float64 { return total[id] - own[i][id] })
			}
		}
		p := placers[rng.IntN(processes)]
		requests++
		var tried []string
		for len(tried) < 3 {
			got, _ := p.Pick(now, WorkerQuery{Service: "s", Exclude: tried}, rng)
			id := got.Worker.ID
			number, _ := strconv.Atoi(id[1:])
			if number >= workers*6/10 || rng.Float64() >= 0.4 {
				p.RecordAnswer(now, id)
				break
			}
			if record {
				p.RecordFailure(now, id)
			}
			tried = append(tried, id)
		}
		if len(tried) == 3 {
			lost++
		}
	}
	return lost / requests
}

// Guards against requests that use up their runs at workers which lose answers: with 103
// processes, each of them sees too few failures of one worker to eject it.
func TestWorkersThatLoseAnswersAreAvoided(t *testing.T) {
	before, alone, exchanged := simulateLostAnswers(false, false), simulateLostAnswers(true, false), simulateLostAnswers(true, true)
	t.Logf("requests without an answer: %.4f, %.4f with own failures, %.4f with those of all processes", before, alone, exchanged)
	if alone > 0.8*before || exchanged > 0.25*before {
		t.Fatalf("%.4f and %.4f of the requests got no answer, %.4f before", alone, exchanged, before)
	}
}
