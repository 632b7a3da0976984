package retry

import (
	"math"
	"time"
)

const (
	// delayBuckets of ratio delayRatio from delayFirst cover 0.1 ms to 25 min.
	delayBuckets = 96
	delayRatio   = 1.19
	delayFirst   = 100 * time.Microsecond
	// delayKeep is the number of observations after which the older half counts
	// half.
	delayKeep = 2000
	// delayNeed is the number of observations below which nothing is hedged.
	delayNeed = 50
)

// Delays learns the times to first part of one class and version, and gives the
// delay before a hedge. Its percentiles are exact within a factor of 1.19.
type Delays struct {
	counts [delayBuckets]float64
	total  float64
}

// Observe adds the time to first part of an unhedged attempt, or the elapsed
// time of one that a hedge overtook.
func (d *Delays) Observe(v time.Duration) {
	i := 0
	if v > delayFirst {
		i = min(int(math.Log(float64(v)/float64(delayFirst))/math.Log(delayRatio))+1, delayBuckets-1)
	}
	d.counts[i]++
	d.total++
	if d.total < delayKeep {
		return
	}
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

// Quantile returns the upper bound of the bucket that holds the q quantile.
func (d *Delays) Quantile(q float64) time.Duration {
	sum := 0.0
	for i := range d.counts {
		sum += d.counts[i]
		if sum >= q*d.total && sum > 0 {
			return time.Duration(float64(delayFirst) * math.Pow(delayRatio, float64(i)))
		}
	}
	return 0
}

// HedgeAfter returns the delay before a hedge, the 95th percentile, or 0 (no
// hedge) while too few times were observed.
func (d *Delays) HedgeAfter() time.Duration {
	if d.total < delayNeed {
		return 0
	}
	return d.Quantile(0.95)
}
