package limits

import (
	"math"
	"time"
)

// rateEstimate is an exponentially weighted rate with time constant demandTime.
type rateEstimate struct {
	value float64
	at    time.Time
}

func (r *rateEstimate) decay(now time.Time) {
	if r.at.IsZero() {
		r.at = now
	}
	if age := now.Sub(r.at); age > 0 {
		r.value *= math.Exp(-age.Seconds() / demandTime.Seconds())
		r.at = now
	}
}

func (r *rateEstimate) add(now time.Time, n float64) {
	r.decay(now)
	r.value += n / demandTime.Seconds()
}

// rate returns events per second.
func (r *rateEstimate) rate(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// bucket is a token bucket whose rate and depth may change between calls.
type bucket struct {
	tokens float64
	at     time.Time
}

// take removes one token and returns 0, or returns the wait for it. A new
// bucket starts with start tokens.
func (b *bucket) take(now time.Time, rate, depth, start float64) time.Duration {
	if b.at.IsZero() {
		b.tokens, b.at = start, now
	}
	if age := now.Sub(b.at); age > 0 {
		b.tokens += age.Seconds() * rate
		b.at = now
	}
	b.tokens = math.Min(b.tokens, depth)
	if b.tokens >= 1-1e-9 {
		b.tokens--
		return 0
	}
	if rate <= 0 {
		return maxRetry
	}
	wait := math.Min((1-b.tokens)/rate, maxRetry.Seconds())
	return time.Duration(wait*float64(time.Second)) + time.Nanosecond
}

// window keeps the figures reported of the last largeSpread.
type window struct {
	figures []figure
}

type figure struct {
	at    time.Time
	value float64
}

func (w *window) add(now time.Time, value float64) {
	w.trim(now)
	w.figures = append(w.figures, figure{now, value})
}

// trim drops figures that were replaced more than largeSpread ago.
func (w *window) trim(now time.Time) {
	drop := 0
	for drop+1 < len(w.figures) && now.Sub(w.figures[drop+1].at) >= largeSpread {
		drop++
	}
	w.figures = append(w.figures[:0], w.figures[drop:]...)
}

func (w *window) last() (float64, bool) {
	if len(w.figures) == 0 {
		return 0, false
	}
	return w.figures[len(w.figures)-1].value, true
}

// lowest returns the lowest figure in force within spread; before the first
// report was in force that long it is 0.
func (w *window) lowest(now time.Time, spread time.Duration) float64 {
	w.trim(now)
	if len(w.figures) == 0 || now.Sub(w.figures[0].at) < spread {
		return 0
	}
	low := math.Inf(1)
	for i := len(w.figures) - 1; i >= 0; i-- {
		low = math.Min(low, w.figures[i].value)
		if now.Sub(w.figures[i].at) >= spread {
			break
		}
	}
	return low
}
