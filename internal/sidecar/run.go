package sidecar

import (
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// shortTokens is the answer length up to which an attempt counts as a short
// lookup in the queue.
const shortTokens = 128

func queueID(id attemptID) string { return id.request + "/" + strconv.Itoa(id.attempt) }

func (c *Core) queueItem(a *attempt) limits.Item {
	p := a.params
	return limits.Item{
		ID: queueID(a.id), Customer: p.Customer, Weight: float64(max(p.Weight, 1)),
		Short: p.Kind == api.RunKindService || p.MaxTokens <= shortTokens,
		Cost:  float64(p.PromptTokens + p.MaxTokens - p.Offset), Deadline: a.deadline,
		Expected: c.expected(p),
	}
}

// expected estimates the time that an attempt runs, without waiting.
func (c *Core) expected(p api.RunParams) time.Duration {
	if p.Kind == api.RunKindService {
		return 0
	}
	version, ok := c.snapshot.Version(p.Version)
	if !ok {
		return 0
	}
	return time.Duration(version.FirstTokenMs * float64(time.Millisecond))
}

// startQueued starts as many attempts as the backend server can usefully run.
func (c *Core) startQueued(now time.Time) []Effect {
	out := c.refuseDropped(c.queue.TakeDropped())
	for c.running < c.engine.Limit() {
		item, dropped, ok := c.queue.Pop(now)
		out = append(out, c.refuseDropped(dropped)...)
		if !ok {
			return out
		}
		a := c.byQueueID(item.ID)
		if a == nil {
			continue
		}
		// The manifest may have changed while the attempt waited.
		if err := c.checkAllowed(a); err != nil {
			out = append(out, c.refuse(a, err)...)
			continue
		}
		c.queue.Started(now, item)
		out = append(out, c.start(now, a))
	}
	return append(out, c.refuseDropped(c.queue.Expire(now))...)
}

func (c *Core) refuseDropped(dropped []limits.Dropped) []Effect {
	var out []Effect
	for _, d := range dropped {
		if a := c.byQueueID(d.Item.ID); a != nil {
			out = append(out, c.refuse(a, d.Err)...)
		}
	}
	return out
}

func (c *Core) byQueueID(id string) *attempt {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] != '/' {
			continue
		}
		number, err := strconv.Atoi(id[i+1:])
		if err != nil {
			return nil
		}
		return c.attempts[attemptID{id[:i], number}]
	}
	return nil
}

func (c *Core) start(now time.Time, a *attempt) Effect {
	a.running = true
	a.started = now
	c.running++
	p := a.params
	p.DeadlineMs = int(a.deadline.Sub(now).Milliseconds())
	return StartBackend{Params: p}
}

func (c *Core) backendPart(now time.Time, e BackendPart) []Effect {
	a, ok := c.attempts[attemptID{e.Request, e.Attempt}]
	if !ok || a.canceled {
		return nil
	}
	if a.first.IsZero() {
		a.first = now
	}
	a.tokens += e.Tokens
	if !a.params.Stream {
		a.text = append(a.text, e.Text...)
		return nil
	}
	if a.linkGone {
		return nil
	}
	a.sequence++
	part := api.Part{Request: e.Request, Attempt: e.Attempt, Sequence: a.sequence, Text: e.Text, Tokens: e.Tokens}
	return []Effect{SendPart{Link: a.link, Part: part}}
}

func (c *Core) backendEnded(now time.Time, e BackendEnded) []Effect {
	id := attemptID{e.Request, e.Attempt}
	a, ok := c.attempts[id]
	if !ok {
		return nil
	}
	delete(c.attempts, id)
	c.finished.add(id)
	c.finishRun(now, a, e)
	result := c.result(a, e)
	if result.RunState != api.RunStateNotRun {
		c.addUsage(now, a, result)
	} else {
		c.usage.Cancel()
	}
	if result.RunState == api.RunStateNotRun && a.ownsKey {
		c.keys.remove(keyOf(a.params))
	}
	if a.linkGone {
		return nil
	}
	return []Effect{SendResult{Link: a.link, Result: result}}
}

// finishRun teaches the queue and the concurrency limit what the run cost.
func (c *Core) finishRun(now time.Time, a *attempt, e BackendEnded) {
	c.queue.Finished(now, queueID(a.id), float64(a.params.PromptTokens+max(e.OutputTokens, a.tokens)))
	if e.Err != nil && e.Err.Kind == errkind.Overloaded {
		c.engine.Refused()
	} else if e.Err == nil && e.OutputTokens > 0 {
		c.engine.Completed(now.Sub(a.started)/time.Duration(e.OutputTokens), c.running)
	}
	c.running--
}

func (c *Core) result(a *attempt, e BackendEnded) api.RunResult {
	result := api.RunResult{
		Request: a.id.request, Attempt: a.id.attempt, RunState: api.RunStateRan,
		InputTokens: e.InputTokens, CachedTokens: e.CachedTokens, OutputTokens: e.OutputTokens,
		FinishReason: e.FinishReason, Confidence: e.Confidence, LastSequence: a.sequence,
		Text: string(a.text),
	}
	if len(e.Body) > 0 {
		result.Body = &e.Body
	}
	if e.Err != nil {
		result = c.errorResult(a, c.endError(a, e.Err))
		result.OutputTokens = a.tokens
		result.InputTokens = a.params.PromptTokens
	}
	if !a.first.IsZero() {
		result.FirstTokenMs = float64(a.first.Sub(a.arrived)) / float64(time.Millisecond)
	}
	result.Load = c.loadReport()
	return result
}

// endError states that an attempt ran when it produced tokens, whatever the
// backend server said at the end.
func (c *Core) endError(a *attempt, err *errkind.Error) *errkind.Error {
	if a.tokens > 0 && err.RunState != api.RunStateRan {
		return errkind.Wrap(err, err.Kind, err.Message).WithRunState(api.RunStateRan)
	}
	return err
}

// addUsage keeps the record until the entry confirms it. An attempt whose run
// state is unknown is recorded too; readers bill only what is proven.
func (c *Core) addUsage(now time.Time, a *attempt, result api.RunResult) {
	if err := c.usage.Add(now, c.record(now, a, result)); err != nil {
		c.usage.Cancel()
	}
}

func (c *Core) record(now time.Time, a *attempt, result api.RunResult) api.UsageRecord {
	p := a.params
	return api.UsageRecord{
		Request: p.Request, Stage: p.Stage, Customer: p.Customer, Class: p.Class, Version: p.Version,
		Service: p.Service, Operation: p.Operation, BackendServer: c.cfg.Backend.Name, Entry: p.Entry,
		InputTokens: result.InputTokens, OutputTokens: result.OutputTokens, Cost: c.cost(p, result),
		RunState: result.RunState, EndedAt: int(now.UnixMilli()),
	}
}

func (c *Core) cost(p api.RunParams, result api.RunResult) float64 {
	if p.Kind == api.RunKindService {
		if operation, ok := c.snapshot.Operation(p.Service, p.Operation); ok {
			return operation.Cost
		}
		return 0
	}
	if version, ok := c.snapshot.Version(p.Version); ok {
		return version.CostPerKiloToken * float64(result.InputTokens+result.OutputTokens) / tokensPerKilo
	}
	return 0
}

const tokensPerKilo = 1000
