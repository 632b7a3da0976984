package sidecar

import (
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

func (c *Core) cancelRequested(id attemptID) []Effect {
	if a, ok := c.waiting[id]; ok {
		return c.refuse(a, errkind.New(errkind.DeadlineExceeded, "attempt was canceled").WithRunState(api.RunStateNotRun))
	}
	a, ok := c.attempts[id]
	if !ok {
		return nil
	}
	if !a.running {
		c.queue.Remove(queueID(id))
		return c.refuse(a, errkind.New(errkind.DeadlineExceeded, "attempt was canceled").WithRunState(api.RunStateNotRun))
	}
	if a.canceled || !cancelable(a.params) {
		return nil
	}
	a.canceled = true
	return []Effect{CancelBackend{Request: id.request, Attempt: id.attempt}}
}

// cancelable reports whether stopping an attempt loses nothing: a service call
// that has begun must reach its end, since it may have taken effect.
func cancelable(p api.RunParams) bool { return p.Kind == api.RunKindChat }

// linkClosed stops the attempts of a vanished entry; nobody waits for them.
func (c *Core) linkClosed(link LinkID) []Effect {
	var out []Effect
	for id, a := range c.waiting {
		if a.link == link {
			delete(c.waiting, id)
		}
	}
	for _, a := range sortedAttempts(c.attempts) {
		if a.link != link {
			continue
		}
		a.linkGone = true
		out = append(out, c.cancelRequested(a.id)...)
	}
	return out
}

func (c *Core) expireWaiting(now time.Time) []Effect {
	var out []Effect
	for _, a := range sortedAttempts(c.waiting) {
		if now.Sub(a.arrived) < configFetchTimeout {
			continue
		}
		out = append(out, c.refuse(a, errkind.New(errkind.StaleRevision, "the entry's manifest did not arrive"))...)
	}
	return out
}

// refuse ends an attempt that did not run.
func (c *Core) refuse(a *attempt, err *errkind.Error) []Effect {
	delete(c.waiting, a.id)
	delete(c.attempts, a.id)
	if a.running {
		return nil
	}
	if a.reserved {
		a.reserved = false
		c.usage.Cancel()
	}
	if a.params.Kind == api.RunKindService && !a.params.Idempotent && err.RunState == api.RunStateNotRun {
		c.keys.remove(keyOf(a.params))
	}
	return []Effect{SendResult{Link: a.link, Result: c.errorResult(a, err)}}
}

// sortedAttempts lists attempts in the order of their identifiers, so that a
// replay meets the same decisions.
func sortedAttempts(sets ...map[attemptID]*attempt) []*attempt {
	var out []*attempt
	for _, set := range sets {
		for _, a := range set {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].id.request != out[j].id.request {
			return out[i].id.request < out[j].id.request
		}
		return out[i].id.attempt < out[j].id.attempt
	})
	return out
}

func (c *Core) errorResult(a *attempt, err *errkind.Error) api.RunResult {
	return api.RunResult{
		Request: a.id.request, Attempt: a.id.attempt, Kind: string(err.Kind), Message: err.Message,
		RunState: err.RunState, RetryAfterMs: int(err.RetryAfter.Milliseconds()),
		LastSequence: a.sequence, Load: c.loadReport(),
	}
}
