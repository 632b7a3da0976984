package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Traffic describes generated traffic of short lookups and long drafts.
type Traffic struct {
	Seed     uint64
	Duration time.Duration
	// LookupsPerSecond and DraftsPerSecond are the mean rates of Poisson arrivals.
	LookupsPerSecond float64
	DraftsPerSecond  float64
	// Prefixes is the number of distinct prompt prefixes. Their popularity is a Zipf
	// distribution with the exponent PrefixSkew.
	Prefixes   int
	PrefixSkew float64
}

// Arrival is one request of generated traffic.
type Arrival struct {
	// At is the time since the start of the run.
	At           time.Duration
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	OutputTokens int
	MaxTokens    int
	IsShort      bool
}

// Generate returns the arrivals in order of time. They depend only on t, including its seed.
func (t Traffic) Generate() []Arrival {
	rng := rand.New(rand.NewPCG(t.Seed, 1)) //nolint:gosec // a reproducible trace
	popularity := cumulativePopularity(t.Prefixes, t.PrefixSkew)
	total := t.LookupsPerSecond + t.DraftsPerSecond
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
		if at >= t.Duration {
			return out
		}
		short := rng.Float64() < t.LookupsPerSecond/total
		out = append(out, newArrival(rng, at, short, sampleIndex(rng, popularity)))
	}
}

func newArrival(rng *rand.Rand, at time.Duration, short bool, prefix int) Arrival {
	a := Arrival{At: at, IsShort: short, Prefix: uint64(prefix) + 1} //nolint:gosec // an index is not negative
	a.PrefixTokens = 400 + 200*(prefix%8)
	if short {
		a.PromptTokens = a.PrefixTokens + 40 + rng.IntN(160)
		a.OutputTokens = 8 + rng.IntN(40)
		a.MaxTokens = 64
		return a
	}
	a.PromptTokens = a.PrefixTokens + 1500 + rng.IntN(4000)
	a.OutputTokens = 300 + rng.IntN(900)
	a.MaxTokens = 1500
	return a
}

func cumulativePopularity(n int, skew float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -skew)
		out[i] = sum
	}
	return out
}

func sampleIndex(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	for i, c := range cumulative {
		if x < c {
			return i
		}
	}
	return len(cumulative) - 1
}
