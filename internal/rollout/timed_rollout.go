package rollout

import (
	"math"
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

// minStepFraction is the fraction of its planned time that a step lasts at least, even if
// earlier steps were late.
const minStepFraction = 0.5

// timedAlarmThreshold is the log-likelihood ratio at which a version counts as bad, with
// one false alarm in about e^9 = 8,100 samples. A timed rollout lasts seconds and gets a
// few hundred samples, of which at most 50 may be bad.
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
	// targetIsBad is set when the answers seen by this process show that the target is
	// bad, badReason is the reason.
	targetIsBad bool
	badReason   string
	// detectors tests all answers for errors and latency, errorDetectors the answers
	// of each kind for errors.
	detectors      [2]cusumDetector
	errorDetectors map[string]*cusumDetector
	// baselines holds the results of the other versions by kind of answer.
	baselines map[string]*kindBaseline
	// badAnswersByWorker counts the failed and slow answers of the target's workers.
	badAnswersByWorker map[string]int
	summary            EvidenceSummary
}

// EvidenceSummary is the evidence of a rollout in numbers, for the log and the status.
type EvidenceSummary struct {
	// Answers is the number of judged answers of the target, Failed and Slow the numbers of
	// the bad ones among them. OtherAnswers is the number of answers of the other versions.
	Answers, Failed, Slow, OtherAnswers int
	// Statistic is the highest log-likelihood ratio of the tests.
	Statistic float64
}

// Evidence returns the evidence that this process has.
func (r *TimedRollout) Evidence() EvidenceSummary {
	out := r.summary
	for _, d := range r.detectors {
		out.Statistic = max(out.Statistic, d.moderate, d.gross)
	}
	for _, d := range r.errorDetectors {
		out.Statistic = max(out.Statistic, d.moderate, d.gross)
	}
	return out
}

// kindBaseline holds the failure rate and the latency of the other versions for one kind
// of answer.
type kindBaseline struct {
	failureRate rateBaseline
	slowRate    rateBaseline
	medianMs    medianEstimator
	// meanTokens is the moving average of the uncached prompt tokens.
	meanTokens float64
}

// meanTokensGain is the weight of one answer in kindBaseline.meanTokens.
const meanTokensGain = 0.05

// normalizedMs returns the time to first byte in milliseconds, scaled to a prompt of mean
// length. It assumes that half of the time does not depend on the length. Without the
// scaling, a new version whose workers have empty caches would look slow: prompts without
// cached tokens took 3.2 times as long.
func (b *kindBaseline) normalizedMs(a Answer) float64 {
	ms := float64(a.TimeToFirstByte) / float64(time.Millisecond)
	if b.meanTokens <= 0 || a.UncachedTokens <= 0 {
		return ms
	}
	return ms / (0.5 + 0.5*float64(a.UncachedTokens)/b.meanTokens)
}

// NewTimedRollout returns the state of a rollout that is at the recorded step at time now.
func NewTimedRollout(service, target string, duration time.Duration, step int, now time.Duration) *TimedRollout {
	r := &TimedRollout{Service: service, Target: target, duration: duration, errorDetectors: map[string]*cusumDetector{}, baselines: map[string]*kindBaseline{}, badAnswersByWorker: map[string]int{}}
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

// Share returns the share of sessions that the target gets, from 0 to 1.
func (r *TimedRollout) Share() float64 {
	if r.targetIsBad {
		return 0
	}
	return timedSteps[r.step].share
}

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
func (r *TimedRollout) DueTransition(now, delay time.Duration) Transition {
	if r.targetIsBad {
		return TransitionRollBack
	}
	nextFraction := completionFraction
	if r.step+1 < len(timedSteps) {
		nextFraction = timedSteps[r.step+1].startFraction
	}
	planned := time.Duration((nextFraction - timedSteps[r.step].startFraction) * float64(r.duration))
	minDuration := time.Duration(minStepFraction * float64(planned))
	if now-r.start < time.Duration(nextFraction*float64(r.duration))+delay || now-r.stepStart < minDuration+delay {
		return TransitionNone
	}
	if r.step+1 < len(timedSteps) {
		return TransitionNextStep
	}
	return TransitionComplete
}

// SessionsMayMove reports whether the rollout is past its first half, so that sessions may
// move to the target.
func (r *TimedRollout) SessionsMayMove() bool { return r.step > 0 }

// ObserveOther adds an answer of another version to the baseline.
func (r *TimedRollout) ObserveOther(a Answer) {
	r.summary.OtherAnswers++
	baseline := r.baselineFor(a.Kind)
	baseline.failureRate.add(sampleCounts{1, boolToFloat(a.Failed)})
	if a.TimeToFirstByte <= 0 || a.Failed {
		return
	}
	if baseline.meanTokens == 0 {
		baseline.meanTokens = float64(a.UncachedTokens)
	}
	baseline.meanTokens += meanTokensGain * (float64(a.UncachedTokens) - baseline.meanTokens)
	ms := baseline.normalizedMs(a)
	if baseline.medianMs.value == 0 {
		baseline.medianMs.value = ms
	}
	baseline.slowRate.add(sampleCounts{1, boolToFloat(ms > slowLatencyFactor*baseline.medianMs.value)})
	baseline.medianMs.add(ms)
}

// slowLatencyFactor is the multiple of the baseline median above which an answer counts as
// slow. Slow versions in the deployments take 8 times as long. A good version took 3 times
// as long while its workers had empty caches and requests queued up.
const slowLatencyFactor = 5.0

func (r *TimedRollout) baselineFor(kind string) *kindBaseline {
	baseline := r.baselines[kind]
	if baseline == nil {
		baseline = &kindBaseline{failureRate: newBaseline(priorErrorRate), slowRate: newBaseline(priorSlowRate)}
		r.baselines[kind] = baseline
	}
	return baseline
}

// ObserveTarget adds an answer of the target to the tests. It does nothing once the target is
// known to be bad.
func (r *TimedRollout) ObserveTarget(a Answer) {
	if r.targetIsBad {
		return
	}
	baseline := r.baselineFor(a.Kind)
	failed := sampleCounts{1, boolToFloat(a.Failed)}
	p0 := baseline.failureRate.upperBound()
	r.summary.Answers++
	if a.Failed {
		r.summary.Failed++
		r.badAnswersByWorker[a.Worker]++
	}
	r.updateDetector(&r.detectors[kindErrors], failed, p0, "errors")
	detector := r.errorDetectors[a.Kind]
	if detector == nil {
		detector = &cusumDetector{}
		r.errorDetectors[a.Kind] = detector
	}
	r.updateDetector(detector, failed, p0, "errors of one kind of request")
	if a.TimeToFirstByte > 0 && !a.Failed && baseline.medianMs.value > 0 {
		ms := baseline.normalizedMs(a)
		slow := sampleCounts{1, boolToFloat(ms > slowLatencyFactor*baseline.medianMs.value)}
		if slow.bad > 0 {
			r.summary.Slow++
			r.badAnswersByWorker[a.Worker]++
		}
		r.updateDetector(&r.detectors[kindSlow], slow, math.Max(baseline.slowRate.upperBound(), priorSlowRate), "latency")
	}
}

// updateDetector adds counts to a test. It marks the target as bad if the test reaches
// timedAlarmThreshold and badAtSeveralWorkers holds.
func (r *TimedRollout) updateDetector(detector *cusumDetector, counts sampleCounts, p0 float64, reason string) {
	_ = detector.add(counts, p0, timedMaxErrorRise)
	if (detector.moderate >= timedAlarmThreshold || detector.gross >= timedAlarmThreshold) && r.badAtSeveralWorkers() {
		r.targetIsBad, r.badReason = true, reason
	}
}

// badAtSeveralWorkers reports whether enough bad answers come from workers other than the
// worst one. A single faulty worker does not show that its version is bad; the ejection of
// workers handles it.
func (r *TimedRollout) badAtSeveralWorkers() bool {
	total, worst := 0, 0
	for _, n := range r.badAnswersByWorker {
		total += n
		worst = max(worst, n)
	}
	return total-worst >= minBadAtOtherWorkers
}

// minBadAtOtherWorkers is the lowest number of bad answers from workers other than the
// worst one at which the version may count as bad.
const minBadAtOtherWorkers = 2

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
