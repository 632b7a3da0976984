package cascade

import "math"

// numScoreBins is the number of equal bins over the score range 0 to 1.
const numScoreBins = 40

// scoreMemory is the largest number of scores that the histogram counts for.
const scoreMemory = 2000

// Parameters of the clustering. minSeparation is the distance between the cluster
// means in units of the larger standard deviation; a uniform distribution has 3.5
// and a normal one 2.7, so that scores without two clusters do not move the
// threshold. minClusterSize is in scores.
const (
	minSeparation     = 4
	minClusterSize    = 15
	clusterIterations = 20
)

// scoreClassifier learns the score threshold between bad and good answers. A
// constant bias of the rating service shifts the scores of both, so the threshold
// shifts with them.
type scoreClassifier struct {
	counts [numScoreBins]float64
	// threshold is 0 while the scores do not form two clusters.
	threshold      float64
	scoresSinceFit int
}

// scoresPerFit is the number of scores between two fits of the threshold.
const scoresPerFit = 25

func (s *scoreClassifier) recordScore(score float64, o *Options) {
	for i := range s.counts {
		s.counts[i] *= 1 - 1.0/scoreMemory
	}
	s.counts[scoreBin(score)]++
	s.scoresSinceFit++
	if s.scoresSinceFit >= scoresPerFit {
		s.scoresSinceFit = 0
		s.fitThreshold(o)
	}
}

// isGood reports whether a score reaches the threshold, which is Options.GoodScore
// while the scores do not form two clusters.
func (s *scoreClassifier) isGood(score float64, o *Options) bool {
	if s.threshold > 0 {
		return score >= s.threshold
	}
	return score >= o.GoodScore
}

func scoreBin(score float64) int {
	if math.IsNaN(score) {
		return 0
	}
	return min(max(int(score*numScoreBins), 0), numScoreBins-1)
}

// fitThreshold divides the scores into two clusters by k-means and sets the
// threshold midway between their means, within the range that maxScoreBias allows.
// Without two separate clusters it sets the threshold to 0.
func (s *scoreClassifier) fitThreshold(o *Options) {
	low, high := scoreCluster{mean: 0.25}, scoreCluster{mean: 0.75}
	for range clusterIterations {
		low, high = s.split((low.mean + high.mean) / 2)
		if low.size < minClusterSize || high.size < minClusterSize {
			s.threshold = 0
			return
		}
	}
	maxDeviation := math.Max(low.deviation, high.deviation)
	if high.mean-low.mean < minSeparation*maxDeviation {
		s.threshold = 0
		return
	}
	middle := (low.mean + high.mean) / 2
	s.threshold = min(max(middle, o.GoodScore-2*maxScoreBias), o.GoodScore+maxScoreBias)
}

// maxScoreBias is the largest bias of the rating service under which the quality
// target must still be met.
const maxScoreBias = 0.1

// scoreCluster holds the size, mean and standard deviation of a cluster of scores.
type scoreCluster struct{ size, mean, deviation float64 }

// split returns the clusters below and above a limit.
func (s *scoreClassifier) split(limit float64) (scoreCluster, scoreCluster) {
	return s.clusterBetween(0, limit), s.clusterBetween(limit, 1)
}

// clusterBetween returns the cluster of scores with from <= score < to. An empty
// cluster has the middle of the range as its mean.
func (s *scoreClassifier) clusterBetween(from, to float64) scoreCluster {
	var size, sum, sumSquares float64
	for i, n := range s.counts {
		score := (float64(i) + 0.5) / numScoreBins
		if score < from || score >= to {
			continue
		}
		size += n
		sum += n * score
		sumSquares += n * score * score
	}
	if size == 0 {
		return scoreCluster{mean: (from + to) / 2}
	}
	mean := sum / size
	return scoreCluster{size: size, mean: mean, deviation: math.Sqrt(max(sumSquares/size-mean*mean, 0))}
}
