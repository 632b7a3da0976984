package sidecar

import (
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// cancelRequested refuses an attempt that has not started and cancels a running chat
// attempt on the backend server.
func (c *Core) cancelRequested(id attemptID) []Effect {
	if a, ok := c.awaitingConfig[id]; ok {
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

// cancelable reports whether a running attempt may be stopped. A service call that
// has started must run to its end, since it may already have taken effect.
func cancelable(p api.RunParams) bool { return p.Kind == api.RunKindChat }

// linkClosed cancels the attempts of an entry whose link is closed, since their
// results cannot be delivered. Running service calls continue.
func (c *Core) linkClosed(link LinkID) []Effect {
	var out []Effect
	for id, a := range c.awaitingConfig {
		if a.link == link {
			delete(c.awaitingConfig, id)
		}
	}
	for _, a := range sortedAttempts(c.attempts) {
		if a.link != link {
			continue
		}
		a.linkClosed = true
		out = append(out, c.cancelRequested(a.id)...)
	}
	return out
}

// expireAwaitingConfig refuses attempts whose entry did not deliver its newer manifest
// within configFetchTimeout.
func (c *Core) expireAwaitingConfig(now time.Time) []Effect {
	var out []Effect
	for _, a := range sortedAttempts(c.awaitingConfig) {
		if now.Sub(a.arrivedAt) < configFetchTimeout {
			continue
		}
		out = append(out, c.refuse(a, errkind.New(errkind.StaleRevision, "the entry's newer manifest did not arrive in time"))...)
	}
	return out
}

// refuse ends an attempt that has not started. It releases the attempt's usage
// reservation and, if the error states that nothing ran, its idempotency key. An earlier
// attempt with the same identifier is kept: the refused one may be its duplicate.
func (c *Core) refuse(a *attempt, err *errkind.Error) []Effect {
	if a.running {
		return nil
	}
	if c.awaitingConfig[a.id] == a {
		delete(c.awaitingConfig, a.id)
	}
	if c.attempts[a.id] == a {
		delete(c.attempts, a.id)
	}
	if a.usageReserved {
		a.usageReserved = false
		c.unconfirmedUsage.CancelReservation()
	}
	if a.ownsKey && err.RunState == api.RunStateNotRun {
		c.recentKeys.remove(scopedKey(a.params))
	}
	return []Effect{SendResult{Link: a.link, Result: c.errorResult(a, err)}}
}

// sortedAttempts returns the attempts ordered by request and attempt number, so that
// a replay makes the same decisions.
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

// errorResult returns the result of a failed or refused attempt.
func (c *Core) errorResult(a *attempt, err *errkind.Error) api.RunResult {
	return api.RunResult{
		Request: a.id.request, Attempt: a.id.attempt, Kind: string(err.Kind), Message: err.Message,
		RunState: err.RunState, RetryAfterMs: int(err.RetryAfter.Milliseconds()),
		LastSequence: a.lastSequence, Load: c.loadReport(),
	}
}
