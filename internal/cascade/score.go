package cascade

import "math"

// scoreBins divide the range of the rating service's scores.
const scoreBins = 40

// scoreMemory is the number of scores that the histogram counts for at most.
const scoreMemory = 2000

// Conditions under which the scores count as two separate groups. A uniform
// distribution has a separation of 3.5 and a normal one of 2.7, so that scores
// without two groups do not move the limit.
const (
	minSeparation   = 4
	minGroupSize    = 15
	groupIterations = 20
)

// scoreSplit finds the score from which an answer counts as good. A constant
// bias moves the good and the bad scores together, and the limit with them.
type scoreSplit struct {
	counts [scoreBins]float64
	// limit is 0 while the scores show no two groups.
	limit    float64
	sinceFit int
}

// fitEvery is the number of scores between two fits of the limit.
const fitEvery = 25

func (s *scoreSplit) observe(score float64, o *Options) {
	for i := range s.counts {
		s.counts[i] *= 1 - 1.0/scoreMemory
	}
	s.counts[scoreBin(score)]++
	s.sinceFit++
	if s.sinceFit >= fitEvery {
		s.sinceFit = 0
		s.fit(o)
	}
}

// good reports whether a score counts as good.
func (s *scoreSplit) good(score float64, o *Options) bool {
	if s.limit > 0 {
		return score >= s.limit
	}
	return score >= o.GoodScore
}

func scoreBin(score float64) int {
	if math.IsNaN(score) {
		return 0
	}
	return min(max(int(score*scoreBins), 0), scoreBins-1)
}

// fit separates the scores into two groups by k-means and sets the limit half
// way between their means, within the range that the tolerated bias allows.
func (s *scoreSplit) fit(o *Options) {
	low, high := group{mean: 0.25}, group{mean: 0.75}
	for range groupIterations {
		low, high = s.divide((low.mean + high.mean) / 2)
		if low.size < minGroupSize || high.size < minGroupSize {
			s.limit = 0
			return
		}
	}
	spread := math.Max(low.deviation, high.deviation)
	if high.mean-low.mean < minSeparation*spread {
		s.limit = 0
		return
	}
	middle := (low.mean + high.mean) / 2
	s.limit = min(max(middle, o.GoodScore-2*scoreBias), o.GoodScore+scoreBias)
}

// scoreBias is the largest bias of the rating service under which the target
// must hold.
const scoreBias = 0.1

// group is one of the two groups of scores.
type group struct{ size, mean, deviation float64 }

func (s *scoreSplit) divide(limit float64) (group, group) {
	return s.groupIn(0, limit), s.groupIn(limit, 1)
}

func (s *scoreSplit) groupIn(from, to float64) group {
	var size, sum, squares float64
	for i, n := range s.counts {
		x := (float64(i) + 0.5) / scoreBins
		if x < from || x >= to {
			continue
		}
		size += n
		sum += n * x
		squares += n * x * x
	}
	if size == 0 {
		return group{mean: (from + to) / 2}
	}
	mean := sum / size
	return group{size: size, mean: mean, deviation: math.Sqrt(max(squares/size-mean*mean, 0))}
}
