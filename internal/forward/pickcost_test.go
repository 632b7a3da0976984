package forward

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// costPlacer returns a process with workers that have stated their load.
func costPlacer(workers int, pace float64) (*Placer, *rand.Rand) {
	p, rng := NewPlacer(PlacerOptions{FailureDomain: "a"}), rand.New(rand.NewPCG(1, 1))
	var list []Worker
	for w := range workers {
		list = append(list, Worker{ID: "w" + strconv.Itoa(w), Service: "s", Slots: 64, FailureDomain: string(rune('a' + w%3))})
	}
	p.SetWorkers(list)
	for w := range workers {
		p.RecordLoad(0, "w"+strconv.Itoa(w), Load{Running: rng.IntN(20), Waiting: rng.IntN(3), Slots: 64, Pace: pace})
	}
	return p, rng
}

var costPrompts = map[string][]PromptPart{"without a prompt": nil, "with a prompt": {{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 3000}, {ID: 3, Tokens: 400}}}

// maxPickTime is what one decision may take at 910 workers.
const maxPickTime = 5 * time.Microsecond

// Guards against decisions that take so long that they use up the processor of a small gateway. The least
// of twenty means counts, because other processes share the processors of the test.
func TestPickIsFast(t *testing.T) {
	for _, pace := range []float64{0, 1.1} {
		for name, prompt := range costPrompts {
			t.Run(name+", pace "+strconv.FormatFloat(pace, 'f', 1, 64), func(t *testing.T) {
				p, rng := costPlacer(910, pace)
				least := time.Hour
				for range 20 {
					const decisions = 200
					start := time.Now()
					for i := range decisions {
						p.Pick(time.Duration(i)*time.Millisecond, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng)
					}
					least = min(least, time.Since(start)/decisions)
				}
				t.Logf("%v for one decision", least)
				assert.Assert(t, least < maxPickTime, "%v for one decision", least)
			})
		}
	}
}

// Guards against memory for each decision that grows with the number of workers or customers.
func TestPickAllocatesNothingThatGrows(t *testing.T) {
	for name, prompt := range costPrompts {
		count := func(workers int) float64 {
			p, rng := costPlacer(workers, 1.1)
			return testing.AllocsPerRun(200, func() { p.Pick(time.Second, WorkerQuery{Service: "s", Prompt: prompt, Model: "m"}, rng) })
		}
		few, many := count(10), count(910)
		assert.Assert(t, many <= few, "%s: %v allocations at 910 workers, %v at 10", name, many, few)
	}
}
