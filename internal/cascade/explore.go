package cascade

import "time"

// explorationDraft returns, for a small random share of requests, a draft to run
// instead of best in order to collect ratings. surplus is the quality of best beyond
// the target. The share is limited so that the mean quality bound over both drafts
// stays at the target.
func (p *Planner) explorationDraft(now time.Time, candidates []evaluatedCandidate, r PlanRequest, best, safest planDraft, surplus float64) (planDraft, bool) {
	exploratory, ok := p.draftToExplore(now, candidates, r, best, safest)
	if !ok {
		return planDraft{}, false
	}
	share := p.opts.MaxExploreShare
	if exploratory.first.firstStageRatings(now, &p.opts) < sparseRatings {
		share *= sparseExploreFactor
	}
	if loss := best.qualityBound - exploratory.qualityBound; loss > 0 {
		share = min(share, surplus/loss)
	}
	return exploratory, p.rng.Float64() < share
}

// A version with fewer than sparseRatings ratings is explored sparseExploreFactor
// times as often. Otherwise the quality of a cheap version would stay unknown for
// long when few answers are rated.
const (
	sparseRatings       = 50
	sparseExploreFactor = 3
)

// firstStageRatings returns the number of ratings of first-stage answers, reduced by
// their age.
func (e *evaluatedCandidate) firstStageRatings(now time.Time, opts *Options) float64 {
	sum := e.stats.firstStage.sum()
	return sum.total() * decayFactor(now, sum.lastRatingNs, opts.RatingHalfLife)
}

// draftToExplore returns a draft that may be cheaper than best once its quality is
// known: best with a lower acceptance threshold, or the candidate with the fewest
// ratings as first stage before the last stage of the safest draft.
func (p *Planner) draftToExplore(now time.Time, candidates []evaluatedCandidate, r PlanRequest, best, safest planDraft) (planDraft, bool) {
	if best.second != nil && best.acceptBin > 1 && p.rng.Float64() < 0.5 {
		return p.twoStageDraftAt(now, best.first, best.second, best.acceptBin-1), true
	}
	last := safest.lastStage()
	var leastRated *evaluatedCandidate
	fewest := 0.0
	for i := range candidates {
		e := &candidates[i]
		if e.Version == best.first.Version || !twoStageFits(e, last, r) {
			continue
		}
		ratings := e.firstStageRatings(now, &p.opts)
		if leastRated == nil || ratings < fewest {
			leastRated, fewest = e, ratings
		}
	}
	if leastRated == nil {
		return planDraft{}, false
	}
	return p.twoStageDraftAt(now, leastRated, last, leastRated.medianBin()), true
}

// medianBin returns the highest acceptance bin that accepts at least half of the
// answers.
func (e *evaluatedCandidate) medianBin() int {
	for k := numConfidenceBins - 1; k > 1; k-- {
		if e.curve.acceptedShare[k] >= 0.5 {
			return k
		}
	}
	return 1
}

// twoStageDraftAt returns the draft of a pair for a single acceptance threshold.
func (p *Planner) twoStageDraftAt(now time.Time, first, second *evaluatedCandidate, bin int) planDraft {
	escalated := p.escalatedQuality(now, first, second)
	return p.twoStageDraft(first, second, &escalated, bin)
}

func (d planDraft) lastStage() *evaluatedCandidate {
	if d.second != nil {
		return d.second
	}
	return d.first
}
