package cascade

import "time"

// StageResult is the answer of a stage.
type StageResult struct {
	// Confidence is the engine's confidence in the answer, from 0 to 1.
	Confidence float64
	// Rating is the rating service's score from 0 to 1, nil when not yet known.
	Rating *float64
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Reason is the reason for which an answer is delivered or escalated.
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

// Decision is the result of Planner.Next.
type Decision struct {
	// Accept reports whether the answer is delivered.
	Accept bool
	// Stage is the index of the stage whose answer is delivered, or of the stage
	// that runs next.
	Stage  int
	Reason Reason
}

// Next decides whether the answer of a stage is delivered or a later stage runs. It
// skips stages whose MaxDuration exceeds the remaining time and delivers the answer
// if no stage is left.
func (p *Planner) Next(_ time.Time, plan Plan, stage int, r StageResult) Decision {
	if stage >= len(plan.Stages)-1 {
		return Decision{Accept: true, Stage: stage, Reason: ReasonLastStage}
	}
	acceptable, reason := p.evaluateAnswer(plan, stage, r)
	if acceptable {
		return Decision{Accept: true, Stage: stage, Reason: reason}
	}
	for next := stage + 1; next < len(plan.Stages); next++ {
		if plan.Stages[next].MaxDuration <= r.Remaining {
			return Decision{Stage: next, Reason: reason}
		}
	}
	return Decision{Accept: true, Stage: stage, Reason: ReasonNoTime}
}

// evaluateAnswer reports whether the answer of a stage may be delivered. It uses the
// rating if there is one, else the engine's confidence.
func (p *Planner) evaluateAnswer(plan Plan, stage int, r StageResult) (bool, Reason) {
	if r.Rating != nil {
		if p.classStateFor(plan.Class).scores.isGood(*r.Rating, &p.opts) {
			return true, ReasonRatedGood
		}
		return false, ReasonRatedBad
	}
	if r.Confidence >= plan.Stages[stage].AcceptConfidence {
		return true, ReasonConfident
	}
	return false, ReasonLowConfidence
}
