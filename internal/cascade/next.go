package cascade

import "time"

// StageResult is the answer of a stage.
type StageResult struct {
	// Confidence is the engine's, from 0 to 1.
	Confidence float64
	// Rating is the rating service's score, nil when it is not known yet.
	Rating *float64
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Reason states why an answer is accepted or escalated.
type Reason string

// The reasons of a Decision.
const (
	ReasonConfident     Reason = "confident"
	ReasonRatedGood     Reason = "rated_good"
	ReasonLastStage     Reason = "last_stage"
	ReasonNoTime        Reason = "no_time"
	ReasonLowConfidence Reason = "low_confidence"
	ReasonRatedBad      Reason = "rated_bad"
)

// Decision says what happens to the answer of a stage.
type Decision struct {
	// Accept delivers the answer; otherwise stage Stage runs next.
	Accept bool
	Stage  int
	Reason Reason
}

// Next decides whether the answer of a stage is delivered. It never starts a
// stage that needs more than the remaining time.
func (p *Planner) Next(_ time.Time, plan Plan, stage int, r StageResult) Decision {
	if stage >= len(plan.Stages)-1 {
		return Decision{Accept: true, Stage: stage, Reason: ReasonLastStage}
	}
	good, reason := p.judge(plan, stage, r)
	if good {
		return Decision{Accept: true, Stage: stage, Reason: reason}
	}
	for next := stage + 1; next < len(plan.Stages); next++ {
		if plan.Stages[next].Need <= r.Remaining {
			return Decision{Stage: next, Reason: reason}
		}
	}
	return Decision{Accept: true, Stage: stage, Reason: ReasonNoTime}
}

// judge prefers a rating to the engine's confidence.
func (p *Planner) judge(plan Plan, stage int, r StageResult) (bool, Reason) {
	if r.Rating != nil {
		if p.class(plan.Class).scores.good(*r.Rating, &p.opts) {
			return true, ReasonRatedGood
		}
		return false, ReasonRatedBad
	}
	if r.Confidence >= plan.Stages[stage].AcceptConfidence {
		return true, ReasonConfident
	}
	return false, ReasonLowConfidence
}
