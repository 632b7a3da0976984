package forward

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queueModel simulates the workers of a service. Each worker serves one request after the
// other.
type queueModel struct{ freeAt []time.Duration }

// serve queues work at a worker and returns when it is done.
func (m *queueModel) serve(now, work time.Duration, worker int) time.Duration {
	begin := max(now, m.freeAt[worker])
	m.freeAt[worker] = begin + work
	return begin + work
}

// simulateOverload returns the mean value of the answers under a load of arrivals per
// second, with an adaptive or a fixed confidence threshold. The large model takes ten times
// the work of the small one. A correct answer in time is worth 1, a late one 0.3; a
// low-confidence answer is worth 0.3 in time and 0.1 late.
func simulateOverload(adaptive bool, arrivals float64) float64 {
	const (
		workers = 20
		target  = time.Second
		small   = 20 * time.Millisecond
		large   = 200 * time.Millisecond
		length  = 30 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 1))
	light := &queueModel{freeAt: make([]time.Duration, workers/4)}
	heavy := &queueModel{freeAt: make([]time.Duration, workers-workers/4)}
	e := NewEscalator()
	type completion struct{ at, startedAt time.Duration }
	var pending []completion
	credit, requests := 0.0, 0.0
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / arrivals * float64(time.Second)) {
		remaining := pending[:0]
		for _, p := range pending {
			if p.at <= now {
				e.RecordFirstEvent(p.at, p.startedAt, "r", true)
				continue
			}
			remaining = append(remaining, p)
		}
		pending = remaining
		requests++
		first := light.serve(now, small, rng.IntN(len(light.freeAt)))
		confidence := rng.IntN(100)
		threshold := maxThreshold
		if adaptive {
			threshold = e.Threshold(now, "r", target-(first-now))
		}
		done, right := first, confidence >= maxThreshold
		if confidence < threshold {
			done = heavy.serve(first, large, rng.IntN(len(heavy.freeAt)))
			right = true
			e.RecordStart(first, "r")
			pending = append(pending, completion{done, first})
		}
		inTime := done-now <= target
		switch {
		case right && inTime:
			credit++
		case right, inTime:
			credit += 0.3
		default:
			credit += 0.1
		}
	}
	return credit / requests
}

// Guards against a confidence threshold that overloads the larger models: above the
// capacity of the workers the adaptive threshold must earn more than a fixed one, and at
// low load not less. The load is 200 requests per second on 20 workers, whose heavy pool
// serves 75 of the 100 low-confidence ones, and 40 requests per second.
func TestEscalationUnderOverload(t *testing.T) {
	fixed, adaptive := simulateOverload(false, 200), simulateOverload(true, 200)
	t.Logf("overload: fixed %.3f, adaptive %.3f", fixed, adaptive)
	if adaptive < fixed+0.05 {
		t.Fatalf("overload: adaptive threshold earns %.3f, fixed %.3f, want 0.05 more", adaptive, fixed)
	}
	fixed, adaptive = simulateOverload(false, 40), simulateOverload(true, 40)
	t.Logf("low load: fixed %.3f, adaptive %.3f", fixed, adaptive)
	if adaptive < fixed-0.02 {
		t.Fatalf("low load: adaptive threshold earns %.3f, fixed %.3f, want at most 0.02 less", adaptive, fixed)
	}
}
