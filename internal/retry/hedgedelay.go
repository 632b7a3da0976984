package retry

import (
	"math"
	"time"
)

const (
	// The upper bounds of the buckets grow from firstBucketBound by bucketRatio and
	// cover 0.1 ms to 25 min.
	bucketCount      = 96
	bucketRatio      = 1.19
	firstBucketBound = 100 * time.Microsecond
	// halvingThreshold is the number of weighted observations at which all weights
	// are halved, so that older observations count less.
	halvingThreshold = 2000
	// minObservations is the number of weighted observations below which requests
	// are not hedged.
	minObservations = 50
)

// HedgeDelayEstimator estimates the delay before a hedge from a histogram of the times to first
// part of one class and version. Its quantiles are exact within a factor of 1.19.
type HedgeDelayEstimator struct {
	counts [bucketCount]float64
	total  float64
}

// Observe adds the time to first part of an attempt without a hedge, or the time
// that had passed when the hedge delivered its first part before the attempt.
func (d *HedgeDelayEstimator) Observe(elapsed time.Duration) {
	i := 0
	if elapsed > firstBucketBound {
		i = min(int(math.Log(float64(elapsed)/float64(firstBucketBound))/math.Log(bucketRatio))+1, bucketCount-1)
	}
	d.counts[i]++
	d.total++
	if d.total < halvingThreshold {
		return
	}
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

// Quantile returns the upper bound of the bucket that contains the q-quantile, or
// 0 without observations.
func (d *HedgeDelayEstimator) Quantile(q float64) time.Duration {
	sum := 0.0
	for i := range d.counts {
		sum += d.counts[i]
		if sum >= q*d.total && sum > 0 {
			return time.Duration(float64(firstBucketBound) * math.Pow(bucketRatio, float64(i)))
		}
	}
	return 0
}

// HedgeDelay returns the delay before a hedge: the 95th percentile, or 0 (no hedge)
// while there are too few observations.
func (d *HedgeDelayEstimator) HedgeDelay() time.Duration {
	if d.total < minObservations {
		return 0
	}
	return d.Quantile(0.95)
}
