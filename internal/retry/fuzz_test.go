package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// truth is what really happened to one attempt.
type truth struct {
	sent, ended, canceled bool
	// ran states that the server did some of the work.
	ran   bool
	parts int
	// base is the offset at which the attempt's answer starts.
	base int
}

// oracle follows one request with plain rules: what the caller holds must always
// be a prefix of one answer, and the request runs at most once unless idempotent.
type oracle struct {
	params   retry.Params
	machine  *retry.Request
	now      time.Time
	attempts []*truth
	held     int
	budget   int
	failed   *retry.Fail
	done     bool
	refused  map[int]bool
}

func (o *oracle) Spend(time.Time) bool {
	if o.budget == 0 {
		return false
	}
	o.budget--
	return true
}

func (o *oracle) apply(t *rapid.T, decisions []retry.Decision) {
	for _, d := range decisions {
		if o.done && !isDrop(d) {
			t.Fatalf("%#v after the end", d)
		}
		switch d := d.(type) {
		case retry.StartAttempt:
			o.start(t, d)
		case retry.Discard:
			if o.params.Streamed {
				t.Fatal("a streamed part cannot be taken back")
			}
			o.held = 0
		case retry.CancelAttempt:
			o.attempts[d.Attempt-1].canceled = true
		case retry.Succeed:
			o.succeed(t, d)
		case retry.Fail:
			o.fail(t, d)
		}
	}
}

func isDrop(d retry.Decision) bool {
	_, ok := d.(retry.DropPart)
	return ok
}

func (o *oracle) start(t *rapid.T, d retry.StartAttempt) {
	if d.Attempt != len(o.attempts)+1 || d.Attempt > o.params.MaxAttempts {
		t.Fatalf("attempt %d after %d", d.Attempt, len(o.attempts))
	}
	if d.Offset != o.held {
		t.Fatalf("offset %d, the caller holds %d", d.Offset, o.held)
	}
	for i, a := range o.attempts {
		if !o.params.Idempotent && (a.ran || (a.sent && !o.refused[i+1])) {
			t.Fatalf("attempt %d of a non-idempotent request without proof for %d", d.Attempt, i+1)
		}
	}
	if !o.params.Deadline.IsZero() && !o.now.Before(o.params.Deadline) {
		t.Fatal("an attempt after the deadline")
	}
	o.attempts = append(o.attempts, &truth{base: d.Offset})
}

func (o *oracle) succeed(t *rapid.T, d retry.Succeed) {
	a := o.attempts[d.Attempt-1]
	if o.held != a.base+a.parts {
		t.Fatalf("the caller holds %d of %d tokens", o.held, a.base+a.parts)
	}
	o.done = true
}

func (o *oracle) fail(t *rapid.T, d retry.Fail) {
	for i, a := range o.attempts {
		if a.ran && d.RunState == api.RunStateNotRun {
			t.Fatalf("not_run, but attempt %d ran", i+1)
		}
		if a.sent && !a.ended && d.RunState == api.RunStateNotRun {
			t.Fatalf("not_run, but attempt %d is under way", i+1)
		}
		if !a.ended && !a.canceled {
			t.Fatalf("attempt %d was left running", i+1)
		}
	}
	if !o.params.Idempotent && d.RunState != api.RunStateNotRun && d.RetryAfter > 0 {
		t.Fatal("advice to repeat a non-idempotent request that may have run")
	}
	o.done, o.failed = true, &d
}

// open returns a random attempt that may still send, or 0.
func (o *oracle) open(t *rapid.T) int {
	var open []int
	for i, a := range o.attempts {
		if !a.ended {
			open = append(open, i+1)
		}
	}
	if len(open) == 0 {
		return 0
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

func (o *oracle) send(t *rapid.T, number int) *truth {
	a := o.attempts[number-1]
	if !a.sent && !a.canceled {
		a.sent = true
		server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
		o.apply(t, o.machine.Handle(o.now, retry.AttemptStarted{Attempt: number, Server: server}))
	}
	return a
}

// part sends the next part, a repeated one, or one after a gap.
func (o *oracle) part(t *rapid.T) {
	number := o.open(t)
	if number == 0 {
		return
	}
	a := o.send(t, number)
	if !a.sent {
		return
	}
	a.ran = true
	step := rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "step")
	held := o.held
	decisions := o.machine.Handle(o.now, retry.PartReceived{Attempt: number, Sequence: a.parts + step, Tokens: 1})
	for _, d := range decisions {
		if _, ok := d.(retry.Deliver); ok {
			if step != 1 || a.canceled || held != a.base+a.parts {
				t.Fatalf("part %d (step %d) delivered at %d", a.parts+step, step, held)
			}
			o.held++
		}
	}
	a.parts += step
	if step != 1 {
		a.parts -= step
	}
	o.apply(t, decisions)
}

func (o *oracle) end(t *rapid.T) {
	number := o.open(t)
	if number == 0 {
		return
	}
	a := o.send(t, number)
	if !a.sent {
		return
	}
	a.ended = true
	e := retry.AttemptEnded{Attempt: number, LastSequence: a.parts}
	switch rapid.SampledFrom([]string{"ok", "missing", "not_run", "refused", "lost", "broken"}).Draw(t, "end") {
	case "ok":
		a.ran = true
	case "missing":
		a.ran, e.LastSequence = true, a.parts+1
	case "not_run":
		e.Kind, e.RunState = errkind.Overloaded, api.RunStateNotRun
		o.refused[number] = a.parts == 0 && !a.ran
	case "refused":
		e.Kind, e.ConnectionRefusedBeforeSend = errkind.UpstreamFailed, true
		o.refused[number] = a.parts == 0 && !a.ran
	case "lost":
		e.Kind = errkind.UpstreamFailed
		a.ran = a.ran || rapid.Bool().Draw(t, "ran")
	case "broken":
		e.Kind, e.RunState, e.CanResume = errkind.Truncated, api.RunStateRan, rapid.Bool().Draw(t, "resume")
		a.ran = true
	}
	o.apply(t, o.machine.Handle(o.now, e))
}

// Guards against a request that runs twice, mixes parts of two answers, ends
// twice, hangs, or states a false run state, under any order of events.
func TestFuzzRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{now: time.Unix(1000, 0), refused: map[int]bool{}}
		o.params = retry.Params{
			Idempotent:  rapid.Bool().Draw(t, "idempotent"),
			Streamed:    rapid.Bool().Draw(t, "streamed"),
			CanResume:   rapid.Bool().Draw(t, "canResume"),
			MaxAttempts: rapid.IntRange(1, 5).Draw(t, "max"),
			Hedge:       time.Second,
			Deadline:    o.now.Add(time.Minute),
			Budget:      o,
		}
		o.budget = rapid.IntRange(0, 4).Draw(t, "budget")
		o.machine = retry.New(o.now, o.params)
		o.apply(t, o.machine.Start(o.now))
		t.Repeat(map[string]func(*rapid.T){
			"part":  o.part,
			"end":   o.end,
			"hedge": func(t *rapid.T) { o.apply(t, o.machine.Handle(o.now, retry.HedgeTimer{})) },
			"wait":  func(t *rapid.T) { o.now = o.now.Add(time.Second) },
			"stray": func(t *rapid.T) {
				o.apply(t, o.machine.Handle(o.now, retry.PartReceived{Attempt: 9, Sequence: 1, Tokens: 1}))
			},
			"deadline": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					o.now = o.params.Deadline
					o.apply(t, o.machine.Handle(o.now, retry.DeadlineTimer{}))
				}
			},
			"": func(t *rapid.T) {
				if o.machine.Over() != o.done {
					t.Fatalf("over %v, expected %v", o.machine.Over(), o.done)
				}
				open := 0
				for _, a := range o.attempts {
					if !a.ended && !a.canceled {
						open++
					}
				}
				if !o.done && open == 0 {
					t.Fatal("the request waits for nothing")
				}
			},
		})
	})
}

// Guards against a budget that grants more than its share, burst and refill.
func TestFuzzBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		began, latest, firsts, spent := time.Time{}, now, 0, 0
		// The budget refills from the first call on.
		begin := func() {
			if began.IsZero() {
				began, latest = now, now
			}
		}
		b := retry.NewBudget(retry.BudgetOptions{Share: 0.1, Burst: 5, Refill: 0.1})
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) {
				begin()
				b.First(now)
				firsts++
			},
			"spend": func(*rapid.T) {
				begin()
				if b.Spend(now) {
					spent++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "s")) * time.Second)
				if now.After(latest) {
					latest = now
				}
			},
			"": func(t *rapid.T) {
				if began.IsZero() {
					return
				}
				most := 5 + 0.1*float64(firsts) + 0.1*latest.Sub(began).Seconds() + 1e-6
				if float64(spent) > most {
					t.Fatalf("spent %d, at most %.1f", spent, most)
				}
			},
		})
	})
}
