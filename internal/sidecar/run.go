package sidecar

import (
	"strconv"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// maxShortAnswerTokens is the requested answer length, in tokens, up to which the queue
// treats a chat attempt as short.
const maxShortAnswerTokens = 128

func queueID(id attemptID) string { return id.request + "/" + strconv.Itoa(id.attempt) }

func (c *Core) queueItem(a *attempt) limits.Item {
	p := a.params
	return limits.Item{
		ID: queueID(a.id), Customer: p.Customer, Weight: float64(max(p.Weight, 1)),
		Short: p.Kind == api.RunKindService || p.MaxTokens <= maxShortAnswerTokens,
		Cost:  float64(p.PromptTokens + p.MaxTokens - p.Offset), Deadline: a.deadline,
		Expected: c.expectedDuration(p),
	}
}

// expectedDuration estimates how long an attempt runs, without its time in the queue:
// the version's time to the first token, 0 for a service call.
func (c *Core) expectedDuration(p api.RunParams) time.Duration {
	if p.Kind == api.RunKindService {
		return 0
	}
	version, ok := c.snapshot.Version(p.Version)
	if !ok {
		return 0
	}
	return time.Duration(version.FirstTokenMs * float64(time.Millisecond))
}

// startQueued starts queued attempts up to the adaptive concurrency limit and refuses
// those that the queue dropped or that have expired.
func (c *Core) startQueued(now time.Time) []Effect {
	out := c.refuseDropped(c.queue.TakeDropped())
	for c.runningAttempts < c.concurrencyLimiter.Limit() {
		item, dropped, ok := c.queue.Pop(now)
		out = append(out, c.refuseDropped(dropped)...)
		if !ok {
			return out
		}
		a := c.attemptByQueueID(item.ID)
		if a == nil {
			continue
		}
		// The manifest may have changed while the attempt waited.
		if err := c.checkManifest(a); err != nil {
			out = append(out, c.refuse(a, err)...)
			continue
		}
		c.queue.Started(now, item)
		out = append(out, c.startAttempt(now, a))
	}
	return append(out, c.refuseDropped(c.queue.Expire(now))...)
}

func (c *Core) refuseDropped(dropped []limits.Dropped) []Effect {
	var out []Effect
	for _, d := range dropped {
		if a := c.attemptByQueueID(d.Item.ID); a != nil {
			out = append(out, c.refuse(a, d.Err)...)
		}
	}
	return out
}

func (c *Core) attemptByQueueID(id string) *attempt {
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

func (c *Core) startAttempt(now time.Time, a *attempt) Effect {
	a.running = true
	a.startedAt = now
	c.runningAttempts++
	p := a.params
	p.DeadlineMs = int(a.deadline.Sub(now).Milliseconds())
	return StartBackend{Params: p}
}

func (c *Core) backendPart(now time.Time, e BackendPart) []Effect {
	a, ok := c.attempts[attemptID{e.Request, e.Attempt}]
	if !ok || a.canceled {
		return nil
	}
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = now
	}
	a.outputTokens += e.Tokens
	if !a.params.Stream {
		a.text = append(a.text, e.Text...)
		return nil
	}
	if a.linkClosed {
		return nil
	}
	a.lastSequence++
	part := api.Part{Request: e.Request, Attempt: e.Attempt, Sequence: a.lastSequence, Text: e.Text, Tokens: e.Tokens}
	return []Effect{SendPart{Link: a.link, Part: part}}
}

func (c *Core) backendEnded(now time.Time, e BackendEnded) []Effect {
	id := attemptID{e.Request, e.Attempt}
	a, ok := c.attempts[id]
	if !ok {
		return nil
	}
	delete(c.attempts, id)
	c.finishedAttempts.add(id)
	c.recordRunEnd(now, a, e)
	result := c.runResult(a, e)
	var out []Effect
	if result.RunState != api.RunStateNotRun {
		out = c.addUsage(now, a, result)
	} else {
		c.unconfirmedUsage.CancelReservation()
	}
	if result.RunState == api.RunStateNotRun && a.ownsKey {
		c.recentKeys.remove(scopedKey(a.params))
	}
	if a.linkClosed {
		return out
	}
	return append(out, SendResult{Link: a.link, Result: result})
}

// recordRunEnd reports the outcome of a run to the queue, in tokens, and to the
// concurrency limit, in time per output token.
func (c *Core) recordRunEnd(now time.Time, a *attempt, e BackendEnded) {
	c.queue.Finished(now, queueID(a.id), float64(a.params.PromptTokens+max(e.OutputTokens, a.outputTokens)))
	if e.Err != nil && e.Err.Kind == errkind.Overloaded {
		c.concurrencyLimiter.RecordRefusal()
	} else if e.Err == nil && e.OutputTokens > 0 {
		c.concurrencyLimiter.RecordCompletion(now.Sub(a.startedAt)/time.Duration(e.OutputTokens), c.runningAttempts)
	}
	c.runningAttempts--
}

func (c *Core) runResult(a *attempt, e BackendEnded) api.RunResult {
	result := api.RunResult{
		Request: a.id.request, Attempt: a.id.attempt, RunState: api.RunStateRan,
		InputTokens: e.InputTokens, CachedTokens: e.CachedTokens, OutputTokens: e.OutputTokens,
		FinishReason: e.FinishReason, Confidence: e.Confidence, LastSequence: a.lastSequence,
		Text: string(a.text),
	}
	if len(e.Body) > 0 {
		result.Body = &e.Body
	}
	if e.Err != nil {
		result = c.errorResult(a, c.errorWithRunState(a, e.Err))
		result.OutputTokens = a.outputTokens
		result.InputTokens = a.params.PromptTokens
	}
	if !a.firstTokenAt.IsZero() {
		result.FirstTokenMs = float64(a.firstTokenAt.Sub(a.arrivedAt)) / float64(time.Millisecond)
	}
	result.Load = c.loadReport()
	return result
}

// errorWithRunState returns err with run state ran if the attempt produced tokens, even
// if the backend server reported that it did not run.
func (c *Core) errorWithRunState(a *attempt, err *errkind.Error) *errkind.Error {
	if a.outputTokens > 0 && err.RunState != api.RunStateRan {
		return errkind.Wrap(err, err.Kind, err.Message).WithRunState(api.RunStateRan)
	}
	return err
}

// addUsage keeps a usage record until the entry confirms it. An attempt with an unknown
// run state is recorded too; billing counts only attempts that certainly ran.
func (c *Core) addUsage(now time.Time, a *attempt, result api.RunResult) []Effect {
	if err := c.unconfirmedUsage.Add(now, c.usageRecord(now, a, result)); err != nil {
		c.unconfirmedUsage.CancelReservation()
		return []Effect{UsageDropped{Request: a.id.request, Err: err}}
	}
	return nil
}

func (c *Core) usageRecord(now time.Time, a *attempt, result api.RunResult) api.UsageRecord {
	p := a.params
	return api.UsageRecord{
		Request: p.Request, Stage: p.Stage, Customer: p.Customer, Class: p.Class, Version: p.Version,
		Service: p.Service, Operation: p.Operation, BackendServer: c.cfg.Backend.Name, Entry: p.Entry,
		InputTokens: result.InputTokens, OutputTokens: result.OutputTokens, Cost: c.runCost(p, result),
		RunState: result.RunState, EndedAt: int(now.UnixMilli()),
	}
}

func (c *Core) runCost(p api.RunParams, result api.RunResult) float64 {
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
