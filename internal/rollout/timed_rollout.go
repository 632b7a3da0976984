package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// timedSteps are the target's shares in a timed rollout, each with the fraction of the
// rollout's duration at which it begins. Sessions must keep their version in the first
// half, and an instance does not know which sessions other instances have served, so the
// target gets no traffic then. Before the last step the target gets 0.063 of all requests
// of the rollout. The smallest allowed exposure is 0.0975, so a version that turns bad at
// full load can be rolled back within the limit.
var timedSteps = []struct{ startFraction, share float64 }{
	{0, 0}, {0.52, 0.10}, {0.60, 0.25}, {0.68, 0.5}, {0.75, 1},
}

// completionFraction is the fraction of the duration at which the rollout completes.
// Streams of the old version can end between the last step and then.
const completionFraction = 0.90

const (
	// latestLastStep is the fraction of the duration until which the last step waits for
	// evidence.
	latestLastStep = 0.82
	// latestCompletion is the fraction until which a suspicious rollout waits for evidence.
	latestCompletion = 0.94
)

// minStepFraction is the fraction of its planned time that a step lasts at least, even if
// earlier steps were late.
const minStepFraction = 0.5

// timedAlarmThreshold is the log-likelihood ratio at which a version counts as bad, with
// one false alarm in about e^9 = 8,100 answers. A timed rollout lasts seconds, and at most 50
// of its answers may be bad.
const timedAlarmThreshold = 9.0

// Answer is the result of one request to a version.
type Answer struct {
	// Kind groups answers of similar latency, for example by route and model.
	Kind   string
	Failed bool
	// Worker is the worker that answered.
	Worker string
	// TimeToFirstByte is the time to first byte; 0 when unknown.
	TimeToFirstByte time.Duration
	// UncachedTokens is the number of prompt tokens that the worker had not cached; 0 when
	// unknown.
	UncachedTokens int
	// Running is the number of requests that ran on the worker when the answer began.
	Running int
	// AtFullShare is set if the target got all requests when this one was sent, and InBurst if
	// far more requests arrived than usual.
	AtFullShare, InBurst bool
	// At is the time at which the answer began.
	At time.Duration
}

// TimedRollout is one process's state of a rollout that must complete within a given duration.
// Times are offsets on this process's clock. It is not safe for concurrent use.
type TimedRollout struct {
	Service, Target string
	duration        time.Duration
	// stepStart is the time at which this process learned of the current step.
	step      int
	stepStart time.Duration
	// start is the time at which the rollout began.
	start time.Duration
	// targetIsBad is set when the evidence shows that the target is bad, badReason is the reason.
	targetIsBad bool
	badReason   string
	// suspicious is set while the evidence speaks against the target, but does not show yet that
	// it is bad.
	suspicious bool
	// own is the evidence of this process, others that of the other processes, and workers the
	// sum of both by worker.
	own, others Evidence
	workers     Tallies
	// errors and slowness test the answers of all processes, kindErrors those of each kind.
	errors, slowness cusum
	kindErrors       map[uint32]*cusum
	// baselines holds the results of the other versions by kind of answer, and otherAnswers the
	// number of their answers.
	baselines    map[string]*kindBaseline
	otherAnswers int
	// pending are the requests to the target that have no answer yet.
	pending map[*Pending]struct{}
	pace    paceTest
	// rate is the present rate of requests to all versions. usualRate is its mean over requests
	// requests, without those in the first rateTime after firstRequestAt.
	rate                requestRate
	usualRate, requests float64
	firstRequestAt      time.Duration
}

// cusum is a sequential test on the sum of log-likelihood ratios.
type cusum struct{ statistic float64 }

func (c *cusum) add(evidence float64) { c.statistic = math.Max(0, c.statistic+evidence) }

// EvidenceSummary is the evidence of a rollout in numbers, for the log and the status.
type EvidenceSummary struct {
	// Answers is the number of judged answers of the target in all processes, Failed that of the
	// failed ones among them. OwnAnswers and OtherAnswers are the numbers of answers of the target
	// and of the other versions in this process.
	Answers, Failed, OwnAnswers, OtherAnswers int
	// Errors and Slowness are the log-likelihood ratios of the tests. SpreadErrors and
	// SpreadSlowness are the sums without the workers that speak most against the target.
	Errors, Slowness, SpreadErrors, SpreadSlowness float64
	// Paces is the number of judged paces of streams of the target in all processes, Pace their test
	// and SpreadPace the evidence since it was last at zero, without the workers that speak most
	// against the target.
	Paces            int
	Pace, SpreadPace float64
}

// Summary returns the evidence of all processes that this one knows.
func (r *TimedRollout) Summary() EvidenceSummary {
	out := EvidenceSummary{OtherAnswers: r.otherAnswers, Errors: r.worstErrors(), Slowness: r.slowness.statistic}
	for _, tally := range r.workers {
		out.Answers += tally.Answers
		out.Failed += tally.Failed
	}
	for _, tally := range r.own.Workers {
		out.OwnAnswers += tally.Answers
	}
	withoutErrors := withoutSuspects(r.workers, (*Tally).errors)
	out.SpreadErrors, out.SpreadSlowness = withoutErrors.errors(), r.spreadSlowness()
	spreadPace := r.pace.spread()
	out.Paces, out.Pace, out.SpreadPace = r.pace.workers.answers(), r.pace.test.statistic, spreadPace.slowness()
	return out
}

// NewTimedRollout returns the state of a rollout that is at the recorded step at time now.
func NewTimedRollout(service, target string, duration time.Duration, step int, now time.Duration) *TimedRollout {
	r := &TimedRollout{
		Service: service, Target: target, duration: duration, own: NewEvidence(), others: NewEvidence(), workers: Tallies{},
		kindErrors: map[uint32]*cusum{}, baselines: map[string]*kindBaseline{}, pending: map[*Pending]struct{}{}, pace: newPaceTest(),
	}
	r.step = min(max(step, 0), len(timedSteps)-1)
	r.stepStart = now
	r.start = now - time.Duration(timedSteps[r.step].startFraction*float64(duration))
	return r
}

// Step returns the index of the current step.
func (r *TimedRollout) Step() int { return r.step }

// SetStep applies a step that another process recorded. It ignores earlier steps.
func (r *TimedRollout) SetStep(step int, now time.Duration) {
	if step > r.step {
		r.step, r.stepStart = min(step, len(timedSteps)-1), now
	}
}

// Share returns the share of sessions that the target gets, from 0 to 1. While the evidence is
// suspicious, it is at most that of the step with which evidence is gathered.
func (r *TimedRollout) Share() float64 {
	share := timedSteps[r.step].share
	switch {
	case r.targetIsBad:
		return 0
	case r.suspicious:
		return math.Min(share, timedSteps[gatheringStep].share)
	}
	return share
}

// gatheringStep is the step that follows also on suspicious evidence, so that this is resolved in
// time. From its start until the end of the duration the target gets 0.10 of all requests.
const gatheringStep = 2

// TargetIsBad reports whether the answers seen by this process show that the target is bad, and
// the reason.
func (r *TimedRollout) TargetIsBad() (bool, string) { return r.targetIsBad, r.badReason }

// SelectsTarget reports whether a session goes to the target. It uses a hash, so that all
// processes decide alike.
func (r *TimedRollout) SelectsTarget(session string) bool {
	return unitHash(r.Service+"/"+r.Target+"/"+session) < r.Share()
}

// unitHash returns a hash of s from 0 to 1, excluding 1.
func unitHash(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

// Transition is a change of the recorded state of a rollout.
type Transition int

const (
	// TransitionNone leaves the state unchanged.
	TransitionNone Transition = iota
	// TransitionNextStep advances the rollout to the next step.
	TransitionNextStep
	// TransitionComplete completes the rollout.
	TransitionComplete
	// TransitionRollBack moves all traffic back to the old version.
	TransitionRollBack
)

// DueTransition returns the change of the recorded state that this process should write now.
// delay postpones steps and completion and should differ between processes, so that
// usually only one process writes and the others read the change.
//
// A step needs time and evidence: no step after gatheringStep follows while the evidence is
// suspicious, and the last one waits until it speaks for the target, at most until latestLastStep.
// A rollout that is still suspicious at latestCompletion is rolled back.
func (r *TimedRollout) DueTransition(now, delay time.Duration) Transition {
	if r.targetIsBad {
		return TransitionRollBack
	}
	isLast := r.step+1 == len(timedSteps)
	nextFraction := completionFraction
	if !isLast {
		nextFraction = timedSteps[r.step+1].startFraction
	}
	planned := time.Duration((nextFraction - timedSteps[r.step].startFraction) * float64(r.duration))
	minDuration := time.Duration(minStepFraction * float64(planned))
	if now-r.start < r.timeOf(nextFraction)+delay || now-r.stepStart < minDuration+delay {
		return TransitionNone
	}
	switch {
	case r.suspicious && r.step+1 != gatheringStep:
		if now-r.start >= r.timeOf(latestCompletion)+delay {
			r.targetIsBad, r.badReason = true, "suspicious until the end"
			return TransitionRollBack
		}
		return TransitionNone
	case isLast:
		return TransitionComplete
	case r.step+2 == len(timedSteps) && !r.isClear() && now-r.start < r.timeOf(latestLastStep)+delay:
		return TransitionNone
	}
	return TransitionNextStep
}

// timeOf returns the time since the start at which a fraction of the duration has passed.
func (r *TimedRollout) timeOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.duration))
}

// SessionsMayMove reports whether the rollout is past its first half, so that sessions may
// move to the target.
func (r *TimedRollout) SessionsMayMove() bool { return r.step > 0 }

// ObserveOther adds an answer of another version to the baseline.
func (r *TimedRollout) ObserveOther(a Answer) {
	r.otherAnswers++
	baseline := r.baselineFor(a.Kind)
	kind := evidenceHash(a.Kind)
	tally := r.own.Kinds[kind]
	tally.OtherAnswers++
	tally.OtherFailed += int(boolToFloat(a.Failed))
	r.own.Kinds[kind] = tally
	if a.TimeToFirstByte > 0 && !a.Failed {
		baseline.addTime(a)
	}
}

// usualFailureRate returns the failure rate of the other versions for a kind of answer in all
// processes, plus two standard errors, so that few answers do not cause false alarms.
func (r *TimedRollout) usualFailureRate(kind string) float64 {
	hash := evidenceHash(kind)
	own, others := r.own.Kinds[hash], r.others.Kinds[hash]
	known := newBaseline(priorErrorRate)
	known.weight = timedPriorWeight
	known.add(sampleCounts{float64(own.OtherAnswers + others.OtherAnswers), float64(own.OtherFailed + others.OtherFailed)})
	return known.upperBound()
}

// timedPriorWeight is the number of answers that the prior failure rate counts for. A kind of
// request may have failed often before the rollout, and have few answers in its time.
const timedPriorWeight = 10

func (r *TimedRollout) baselineFor(kind string) *kindBaseline {
	baseline := r.baselines[kind]
	if baseline == nil {
		baseline = &kindBaseline{ratios: r.own.Baseline, otherRatios: r.others.Baseline}
		r.baselines[kind] = baseline
	}
	return baseline
}

// ObserveTarget adds an answer of the target to the evidence. It does nothing once the target is
// known to be bad.
func (r *TimedRollout) ObserveTarget(a Answer) {
	if r.targetIsBad {
		return
	}
	baseline := r.baselineFor(a.Kind)
	p0 := r.usualFailureRate(a.Kind)
	failed := sampleCounts{1, boolToFloat(a.Failed)}
	tally := Tally{Answers: 1, Failed: int(failed.bad)}
	tally.ErrorsAgainst, tally.ErrorsFor = evidenceParts(logLikelihoodRatio(failed, p0, math.Min(p0+2*timedMaxErrorRise, 0.95)))
	if !a.Failed {
		if evidence, ok := baseline.slowEvidence(a); ok {
			tally.SlowAgainst, tally.SlowFor = evidenceParts(evidence)
		}
	}
	rise := Evidence{Workers: Tallies{evidenceHash(a.Worker): tally}, Kinds: Tallies{evidenceHash(a.Kind): tally}}
	r.own.Add(rise)
	r.judge(rise)
}

// evidenceParts returns a log-likelihood ratio in units of evidenceUnit as its positive or
// negative part.
func evidenceParts(ratio float64) (against, inFavor int) {
	units := int(math.Round(ratio / evidenceUnit))
	return max(units, 0), max(-units, 0)
}

// OwnEvidence returns the evidence of this process, to be passed on to the others.
func (r *TimedRollout) OwnEvidence() Evidence { return r.own.Clone() }

// MergeOthers adds the sum of what the other processes have observed. Counters that are not above
// the known ones are ignored, so that a sum that arrives twice or late counts once.
func (r *TimedRollout) MergeOthers(e Evidence) {
	if rise, changed := r.others.Raise(e); changed && !r.targetIsBad {
		r.judge(rise)
	}
}

// judge adds evidence to the tests and marks the target as bad if one of them shows it.
func (r *TimedRollout) judge(rise Evidence) {
	r.workers.add(rise.Workers)
	var sum Tally
	for _, tally := range rise.Workers {
		sum.add(tally)
	}
	r.errors.add(sum.errors())
	r.slowness.add(sum.slowness())
	worstKind := 0.0
	for kind, tally := range rise.Kinds {
		test := r.kindErrors[kind]
		if test == nil {
			test = &cusum{}
			r.kindErrors[kind] = test
		}
		test.add(tally.errors())
		worstKind = math.Max(worstKind, test.statistic)
	}
	switch {
	case r.slowness.statistic >= timedAlarmThreshold && r.spreadSlowness() >= minSpreadEvidence:
		r.targetIsBad, r.badReason = true, "latency"
	case r.pace.isBad():
		r.targetIsBad, r.badReason = true, "pace of streams"
	case r.errors.statistic >= timedAlarmThreshold && r.failuresAreSpread():
		r.targetIsBad, r.badReason = true, "errors"
	case worstKind >= timedAlarmThreshold && r.failuresAreSpread():
		r.targetIsBad, r.badReason = true, "errors of one kind of request"
	}
	r.suspicious = r.isSuspicious()
}

// spreadSlowness returns the evidence of slow answers without the workers that speak most against the
// target.
func (r *TimedRollout) spreadSlowness() float64 {
	rest := withoutSuspects(r.workers, (*Tally).slowness)
	return rest.slowness()
}

// failuresAreSpread reports whether enough failed answers come from other workers than the worst
// ones. Beyond the worst worker, one with a single failure does not count as faulty itself.
func (r *TimedRollout) failuresAreSpread() bool {
	failures := make([]int, 0, len(r.workers))
	for _, tally := range r.workers {
		failures = append(failures, tally.Failed)
	}
	slices.SortFunc(failures, func(a, b int) int { return b - a })
	rest, suspects := 0, maxSuspects(len(failures), r.workers.answers())
	for i, failed := range failures {
		if i > 0 && (i >= suspects || failed < 2) {
			rest += failed
		}
	}
	return rest >= minSpreadFailures
}

const (
	// minSpreadEvidence is the evidence of slow answers that the target's workers without the
	// worst ones must give before the version counts as slow.
	minSpreadEvidence = 3.0
	// minSpreadFailures is the lowest number of failed answers from workers other than the worst
	// ones at which the version may count as bad.
	minSpreadFailures = 2
	// suspicion is the statistic from which a rollout does not go on.
	suspicion = 3.0
	// suspiciousShare is the evidence of slow answers against the target, relative to that for it,
	// from which its workers without the worst ones are suspicious. It is about 0.2 for a good
	// version, and above 1 if a third of the answers are several times slower.
	suspiciousShare = 0.6
	// clearEvidence is the evidence for a target, negative, from which it may get all requests.
	clearEvidence = -2.0
)

// isSuspicious reports whether the evidence speaks against the target, but does not show yet that
// it is bad.
func (r *TimedRollout) isSuspicious() bool {
	if r.slowness.statistic >= suspicion && speaksAgainst(withoutSuspects(r.workers, (*Tally).slowness)) {
		return true
	}
	if r.pace.isSuspicious() {
		return true
	}
	return r.worstErrors() >= suspicion && r.failuresAreSpread()
}

// worstErrors returns the highest statistic of the tests of failures.
func (r *TimedRollout) worstErrors() float64 {
	worst := r.errors.statistic
	for _, c := range r.kindErrors {
		worst = max(worst, c.statistic)
	}
	return worst
}

// speaksAgainst reports whether the evidence of slow answers is large relative to that for the target.
func speaksAgainst(t Tally) bool {
	return t.SlowAgainst > 0 && float64(t.SlowAgainst) >= suspiciousShare*float64(t.SlowFor)
}

// isClear reports whether the evidence speaks for the target.
func (r *TimedRollout) isClear() bool {
	return r.spreadSlowness() <= clearEvidence && !r.suspicious && r.slowness.statistic < suspicion
}

// timedMaxErrorRise is the tolerated rise of the rate of bad answers. Bad versions in the
// deployments fail at least 20% of their requests.
const timedMaxErrorRise = 0.08

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Elapsed returns the time since the rollout began.
func (r *TimedRollout) Elapsed(now time.Duration) time.Duration { return now - r.start }
