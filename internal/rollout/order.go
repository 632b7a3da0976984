package rollout

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// orderSteps are the shares of an ordered rollout and the parts of the ordered time at
// which they begin. A session keeps its version in the first half, and an instance cannot
// know which sessions others have served; so the target gets nothing then. Up to the last
// step the target gets 0.063 of all requests of the ordered time, below the smallest
// allowed exposure of 0.0975, so that a version that turns bad at full load is still
// within it when it is taken back.
var orderSteps = []struct{ at, share float64 }{
	{0, 0}, {0.52, 0.10}, {0.60, 0.25}, {0.68, 0.5}, {0.75, 1},
}

// completeAt is the part of the ordered time at which the rollout is completed. Streams
// of the old version have from the last step until then to end.
const completeAt = 0.90

// minDwell is the part of a step's planned time that it lasts at least, when earlier steps
// were late.
const minDwell = 0.5

// orderAlarm is the log-likelihood ratio at which a version counts as bad: a false alarm
// in about e^9 = 8,100 samples. An ordered rollout lasts seconds and sees some hundred
// samples, of which 50 bad ones are the limit.
const orderAlarm = 9.0

// Answer is what the process saw of one answer of a version.
type Answer struct {
	// Kind groups answers of similar latency, such as route and model.
	Kind   string
	Failed bool
	// Worker is the worker that answered.
	Worker string
	// FirstByte is the time until the answer began; 0 when unknown.
	FirstByte time.Duration
	// Tokens is the length of the prompt without what the worker had cached; 0 when unknown.
	Tokens int
}

// Order follows one ordered rollout in one process.
type Order struct {
	Service, Target string
	duration        time.Duration
	// stepAt is when the current step began, seen by this process.
	step   int
	stepAt time.Duration
	// startAt is when the rollout began, by this process's clock.
	startAt time.Duration
	// bad is set when the own evidence speaks against the target.
	bad    bool
	reason string
	tests  [2]cusum
	byKind map[string]*cusum
	usual  map[string]*usualAnswers
	// badBy counts the bad answers of each worker of the target.
	badBy map[string]int
}

// usualAnswers is what the other versions do for one kind of answer.
type usualAnswers struct {
	failed  baseline
	slow    baseline
	latency median
	// tokens is the mean of Answer.Tokens.
	tokens float64
}

// tokensGain is the weight of one answer in the mean of the tokens.
const tokensGain = 0.05

// milliseconds is the time to the first byte for a prompt of mean length: half of the time
// does not depend on the length. The workers of a new version have cached nothing, and a
// prompt read whole took 3.2 times as long.
func (u *usualAnswers) milliseconds(a Answer) float64 {
	ms := float64(a.FirstByte) / float64(time.Millisecond)
	if u.tokens <= 0 || a.Tokens <= 0 {
		return ms
	}
	return ms / (0.5 + 0.5*float64(a.Tokens)/u.tokens)
}

// NewOrder follows a rollout from a recorded step.
func NewOrder(service, target string, duration time.Duration, step int, now time.Duration) *Order {
	o := &Order{Service: service, Target: target, duration: duration, byKind: map[string]*cusum{}, usual: map[string]*usualAnswers{}, badBy: map[string]int{}}
	o.step = min(max(step, 0), len(orderSteps)-1)
	o.stepAt = now
	o.startAt = now - time.Duration(orderSteps[o.step].at*float64(duration))
	return o
}

// Step returns the index of the current step.
func (o *Order) Step() int { return o.step }

// SetStep takes a step that another process recorded. Steps never go back.
func (o *Order) SetStep(step int, now time.Duration) {
	if step > o.step {
		o.step, o.stepAt = min(step, len(orderSteps)-1), now
	}
}

// Share is the share of sessions that the target gets.
func (o *Order) Share() float64 {
	if o.bad {
		return 0
	}
	return orderSteps[o.step].share
}

// Bad reports whether the own evidence speaks against the target, and why.
func (o *Order) Bad() (bool, string) { return o.bad, o.reason }

// Takes decides whether a session goes to the target: by a hash, so that every process
// decides alike.
func (o *Order) Takes(session string) bool {
	return unit(o.Service+"/"+o.Target+"/"+session) < o.Share()
}

func unit(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

// Due is what the recorded state of a rollout should become.
type Due int

// The due changes.
const (
	DueNothing Due = iota
	DueStep
	DueComplete
	DueRollBack
)

// Due decides on the next change of the recorded state; delay spreads the processes, so
// that usually one of them writes and the others learn of it.
func (o *Order) Due(now, delay time.Duration) Due {
	if o.bad {
		return DueRollBack
	}
	next := completeAt
	if o.step+1 < len(orderSteps) {
		next = orderSteps[o.step+1].at
	}
	planned := time.Duration((next - orderSteps[o.step].at) * float64(o.duration))
	dwell := time.Duration(minDwell * float64(planned))
	if now-o.startAt < time.Duration(next*float64(o.duration))+delay || now-o.stepAt < dwell+delay {
		return DueNothing
	}
	if o.step+1 < len(orderSteps) {
		return DueStep
	}
	return DueComplete
}

// Growing reports whether the rollout is in its second half, in which sessions may
// change to the target.
func (o *Order) Growing() bool { return o.step > 0 }

// Usual records an answer of another version.
func (o *Order) Usual(a Answer) {
	u := o.usualOf(a.Kind)
	u.failed.add(counts{1, boolCount(a.Failed)})
	if a.FirstByte <= 0 || a.Failed {
		return
	}
	if u.tokens == 0 {
		u.tokens = float64(a.Tokens)
	}
	u.tokens += tokensGain * (float64(a.Tokens) - u.tokens)
	ms := u.milliseconds(a)
	if u.latency.value == 0 {
		u.latency.value = ms
	}
	u.slow.add(counts{1, boolCount(ms > slowFactor*u.latency.value)})
	u.latency.add(ms)
}

// slowFactor is how many times the usual median an answer of the target must take to
// count as slow. Slow versions of the deployments take 8 times as long; a good one took 3
// times as long while its workers had cached nothing and fell behind.
const slowFactor = 5.0

func (o *Order) usualOf(kind string) *usualAnswers {
	u := o.usual[kind]
	if u == nil {
		u = &usualAnswers{failed: newBaseline(priorErrors), slow: newBaseline(priorSlow)}
		o.usual[kind] = u
	}
	return u
}

// Observed records an answer of the target.
func (o *Order) Observed(a Answer) {
	if o.bad {
		return
	}
	u := o.usualOf(a.Kind)
	failed := counts{1, boolCount(a.Failed)}
	p0 := u.failed.upper()
	if a.Failed {
		o.badBy[a.Worker]++
	}
	o.judge(&o.tests[kindErrors], failed, p0, "errors")
	one := o.byKind[a.Kind]
	if one == nil {
		one = &cusum{}
		o.byKind[a.Kind] = one
	}
	o.judge(one, failed, p0, "errors of one kind of request")
	if a.FirstByte > 0 && !a.Failed && u.latency.value > 0 {
		ms := u.milliseconds(a)
		slow := counts{1, boolCount(ms > slowFactor*u.latency.value)}
		if slow.bad > 0 {
			o.badBy[a.Worker]++
		}
		o.judge(&o.tests[kindSlow], slow, math.Max(u.slow.upper(), priorSlow), "latency")
	}
}

func (o *Order) judge(c *cusum, d counts, p0 float64, reason string) {
	_ = c.add(d, p0, orderRise)
	if (c.near >= orderAlarm || c.gross >= orderAlarm) && o.atSeveralWorkers() {
		o.bad, o.reason = true, reason
	}
}

// atSeveralWorkers reports whether the bad answers come from more than one worker. A single
// faulty worker says nothing of its version; that is for the ejection of workers.
func (o *Order) atSeveralWorkers() bool {
	total, most := 0, 0
	for _, n := range o.badBy {
		total += n
		most = max(most, n)
	}
	return total-most >= minBadElsewhere
}

// minBadElsewhere is the number of bad answers beside those of the worst worker.
const minBadElsewhere = 2

// orderRise is the tolerated rise of the rate of bad answers; bad versions of the
// deployments fail 20% of their requests and more.
const orderRise = 0.08

func boolCount(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Age is the time since the rollout began.
func (o *Order) Age(now time.Duration) time.Duration { return now - o.startAt }
