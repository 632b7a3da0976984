package replay

import (
	"math"
	"slices"

	"github.com/borageflow/borageflow/api"
)

func firstToken(r *request) int { return r.end.FirstTokenUs }

func total(r *request) int { return r.end.TotalUs }

// quantile returns the nearest-rank quantile of a time, in milliseconds, over the
// completed requests that state one.
func (h *history) quantile(match func(*request) bool, of func(*request) int, q float64) figure {
	var times []*request
	for _, r := range h.order {
		if r.completed() && match(r) && of(r) > 0 {
			times = append(times, r)
		}
	}
	if len(times) == 0 {
		return figure{}
	}
	slices.SortStableFunc(times, func(a, b *request) int { return of(a) - of(b) })
	rank := max(0, int(math.Ceil(q*float64(len(times))))-1)
	f := figure{value: float64(of(times[rank])) / 1000, known: true}
	for _, r := range slices.Backward(times) {
		if len(f.examples) == maxExamples {
			break
		}
		f.examples = append(f.examples, r.name)
	}
	return f
}

func (h *history) errorShare(match func(*request) bool) figure {
	ended := 0
	var failed []string
	for _, r := range h.order {
		if r.ends == 0 || !match(r) {
			continue
		}
		ended++
		if r.failed() {
			failed = append(failed, r.name)
		}
	}
	if ended == 0 {
		return figure{}
	}
	return figure{value: float64(len(failed)) / float64(ended), known: true, examples: failed}
}

// quality returns the share of good answers among the rated ones.
func (h *history) quality(match func(*request) bool, o api.Outcomes) figure {
	rated := 0
	var poor []string
	for _, r := range h.order {
		if !r.rated || !match(r) {
			continue
		}
		rated++
		if r.rating < o.GoodRating {
			poor = append(poor, r.name)
		}
	}
	if rated < max(1, o.MinRatings) {
		return figure{}
	}
	return figure{value: 1 - float64(len(poor))/float64(rated), known: true, examples: poor}
}

// cost returns the mean cost of the completed requests.
func (h *history) cost(match func(*request) bool) figure {
	completed, sum := 0, 0.0
	for _, r := range h.order {
		if r.completed() && match(r) {
			completed++
			sum += r.end.Cost
		}
	}
	if completed == 0 {
		return figure{}
	}
	return figure{value: sum / float64(completed), known: true}
}

// amplification returns the attempts per stage that was tried: a later stage
// belongs to the plan, a second attempt of a stage is a retry or a hedge.
func (h *history) amplification() figure {
	tried, attempts := 0, 0
	for _, r := range h.order {
		stages := map[int]bool{}
		for key := range r.attempts {
			stages[key.stage] = true
		}
		tried += len(stages)
		attempts += len(r.attempts)
	}
	if tried == 0 {
		return figure{}
	}
	return figure{value: float64(attempts) / float64(tried), known: true}
}
