package forward

import (
	"math/rand/v2"
	"testing"
	"time"
)

// engines is a queue model of the workers of a service: the small model takes work of 1,
// the large one of 10, and a worker does one request after the other.
type engines struct{ free []time.Duration }

func (m *engines) serve(now, work time.Duration, worker int) time.Duration {
	begin := max(now, m.free[worker])
	m.free[worker] = begin + work
	return begin + work
}

// result of a load: answers that are right and in time earn 1, late ones 0.3, doubtful ones
// 0.3 in time and 0.1 late.
func playOverload(adaptive bool, arrivals float64) float64 {
	const (
		workers = 20
		target  = time.Second
		small   = 20 * time.Millisecond
		large   = 200 * time.Millisecond
		length  = 30 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 1))
	light := &engines{free: make([]time.Duration, workers/4)}
	heavy := &engines{free: make([]time.Duration, workers-workers/4)}
	e := NewEscalator()
	type end struct{ at, since time.Duration }
	var pending []end
	credit, asked := 0.0, 0.0
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / arrivals * float64(time.Second)) {
		kept := pending[:0]
		for _, p := range pending {
			if p.at <= now {
				e.Ended(p.at, p.since, "r", true)
				continue
			}
			kept = append(kept, p)
		}
		pending = kept
		asked++
		first := light.serve(now, small, rng.IntN(len(light.free)))
		confidence := rng.IntN(100)
		threshold := fullConfidence
		if adaptive {
			threshold = e.Confidence(now, "r", target-(first-now))
		}
		done, right := first, confidence >= fullConfidence
		if confidence < threshold {
			done = heavy.serve(first, large, rng.IntN(len(heavy.free)))
			right = true
			e.Started(first, "r")
			pending = append(pending, end{done, first})
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
	return credit / asked
}

// Above the capacity of the workers, callers must get more than with a fixed confidence,
// and at a low load nothing less. The load is 200 requests a second on 20 workers whose
// heavy pool serves 75 of the 100 doubtful ones, and 40 a second.
func TestEscalationUnderOverload(t *testing.T) {
	fixed, adaptive := playOverload(false, 200), playOverload(true, 200)
	t.Logf("overload: fixed %.3f, adaptive %.3f", fixed, adaptive)
	if adaptive < fixed+0.05 {
		t.Fatalf("adaptive confidence earns %.3f, fixed %.3f", adaptive, fixed)
	}
	fixed, adaptive = playOverload(false, 40), playOverload(true, 40)
	t.Logf("low load: fixed %.3f, adaptive %.3f", fixed, adaptive)
	if adaptive < fixed-0.02 {
		t.Fatalf("at a low load adaptive confidence earns %.3f, fixed %.3f", adaptive, fixed)
	}
}
