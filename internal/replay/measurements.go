package replay

import (
	"math"
	"slices"

	"github.com/borageflow/borageflow/api"
)

func firstTokenUs(r *request) int { return r.end.FirstTokenUs }

func totalUs(r *request) int { return r.end.TotalUs }

// timeQuantileMs returns the nearest-rank quantile of a time, in milliseconds, over the
// completed requests with a time above 0. Its examples are the slowest requests.
func (idx *requestIndex) timeQuantileMs(match func(*request) bool, timeUs func(*request) int, q float64) measurement {
	var timed []*request
	for _, r := range idx.inOrder {
		if r.hasCompleted() && match(r) && timeUs(r) > 0 {
			timed = append(timed, r)
		}
	}
	if len(timed) == 0 {
		return measurement{}
	}
	slices.SortStableFunc(timed, func(a, b *request) int { return timeUs(a) - timeUs(b) })
	rank := max(0, int(math.Ceil(q*float64(len(timed))))-1)
	result := measurement{value: float64(timeUs(timed[rank])) / 1000, hasData: true}
	for _, r := range slices.Backward(timed) {
		if len(result.examples) == maxExamples {
			break
		}
		result.examples = append(result.examples, r.id)
	}
	return result
}

// errorShare returns the share of the ended requests that failed.
func (idx *requestIndex) errorShare(match func(*request) bool) measurement {
	ended := 0
	var failed []string
	for _, r := range idx.inOrder {
		if r.endCount == 0 || !match(r) {
			continue
		}
		ended++
		if r.hasFailed() {
			failed = append(failed, r.id)
		}
	}
	if ended == 0 {
		return measurement{}
	}
	return measurement{value: float64(len(failed)) / float64(ended), hasData: true, examples: failed}
}

// goodAnswerShare returns the share of rated answers whose rating is at least GoodRating. It
// has no data below MinRatings ratings.
func (idx *requestIndex) goodAnswerShare(match func(*request) bool, o api.Outcomes) measurement {
	rated := 0
	var poor []string
	for _, r := range idx.inOrder {
		if !r.hasRating || !match(r) {
			continue
		}
		rated++
		if r.rating < o.GoodRating {
			poor = append(poor, r.id)
		}
	}
	if rated < max(1, o.MinRatings) {
		return measurement{}
	}
	return measurement{value: 1 - float64(len(poor))/float64(rated), hasData: true, examples: poor}
}

// meanCost returns the mean cost of the completed requests.
func (idx *requestIndex) meanCost(match func(*request) bool) measurement {
	completed, sum := 0, 0.0
	for _, r := range idx.inOrder {
		if r.hasCompleted() && match(r) {
			completed++
			sum += r.end.Cost
		}
	}
	if completed == 0 {
		return measurement{}
	}
	return measurement{value: sum / float64(completed), hasData: true}
}

// amplification returns the mean number of attempts per stage. Only a further attempt of
// the same stage is a retry or a hedge; a later stage belongs to the cascade plan.
func (idx *requestIndex) amplification() measurement {
	stageCount, attemptCount := 0, 0
	for _, r := range idx.inOrder {
		stages := map[int]bool{}
		for key := range r.attempts {
			stages[key.stage] = true
		}
		stageCount += len(stages)
		attemptCount += len(r.attempts)
	}
	if stageCount == 0 {
		return measurement{}
	}
	return measurement{value: float64(attemptCount) / float64(stageCount), hasData: true}
}
