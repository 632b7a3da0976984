package entry

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/placement"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/retry"
	"github.com/borageflow/borageflow/internal/routing"
	"github.com/borageflow/borageflow/internal/usage"
)

const (
	// lateResultTimeout bounds the wait for the outcome of a claimed call after
	// its caller was answered.
	lateResultTimeout = 30 * time.Second
	// tokensPerKilo is the number of tokens to which CostPerKiloToken applies.
	tokensPerKilo = 1000
)

// succeed answers the caller and ends the request. If needsUsageReplica reports
// true, the answer is deferred until the usage records are copied.
func (c *Core) succeed(now time.Time, r *request, a Answer) {
	a.Request, a.Version, a.Session = r.Request, r.version, r.sessionToken
	a.InputTokens, a.OutputTokens, a.Cost = r.inputTokens, r.outputTokens, r.cost
	c.counts.countAnswered(r.customer.Name, r.version, r.cost)
	if c.needsUsageReplica(r) {
		c.deferAnswer(now, r, a)
		return
	}
	c.sendAnswer(now, r, a)
	c.finishRequest(now, r)
}

// fail answers the caller with an error and ends the request.
func (c *Core) fail(now time.Time, r *request, err *errkind.Error) {
	c.counts.countRefused(r.customer.Name)
	c.sendAnswer(now, r, Answer{Request: r.Request, Err: err, Version: r.version})
	c.finishRequest(now, r)
}

// answerWhileRunning answers the caller of a claimed call with an error while
// the call is still running. The request is kept until its outcome is known, so
// that a request with the same idempotency key can get the answer.
func (c *Core) answerWhileRunning(now time.Time, r *request, err *errkind.Error) {
	c.counts.countRefused(r.customer.Name)
	c.sendAnswer(now, r, Answer{Request: r.Request, Err: err})
	c.setTimer(timer{fireAt: now.Add(lateResultTimeout), kind: timerLateResult, request: r.Request})
}

// sendAnswer emits the answer of a request, at most once.
func (c *Core) sendAnswer(now time.Time, r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	if a.Err != nil {
		c.counts.errorsByKind[a.Err.Kind]++
	}
	c.traceEnd(now, r, a)
	c.emit(a)
}

// finishRequest removes a request and releases what it holds.
func (c *Core) finishRequest(now time.Time, r *request) {
	if _, ok := c.requests[r.Request]; !ok {
		return
	}
	delete(c.requests, r.Request)
	c.releaseAttempts(now, r)
	c.customerLimiter.Done(now, r.customer.Name)
	if r.usageReserved {
		r.usageReserved = false
		c.usage.CancelReservation()
	}
}

// releaseAttempts removes the attempts that still run from the load of their
// servers. Their results are ignored once the request is gone, so nothing else
// would remove them.
func (c *Core) releaseAttempts(now time.Time, r *request) {
	for _, a := range r.attempts {
		if a.server != "" && !a.ended {
			a.ended = true
			c.fleet.EndAttempt(now, a.server, a.routingAttempt, routing.Outcome{})
		}
	}
}

// abandonClaimedCall stops waiting for the outcome of a claimed call and
// records it as unknown.
func (c *Core) abandonClaimedCall(now time.Time, r *request) {
	c.endClaimWithoutAnswer(now, r, api.RunStateUnknown)
	c.finishRequest(now, r)
}

// hasRunningAttempt reports whether an attempt of the request was sent and has
// not ended.
func (c *Core) hasRunningAttempt(r *request) bool {
	for _, a := range r.attempts {
		if a.result == nil && !a.ended && a.address != "" {
			return true
		}
	}
	return false
}

// handleLateResult records the outcome of a claimed call whose caller was
// already answered.
func (c *Core) handleLateResult(now time.Time, r *request, a *attempt, ended retry.AttemptEnded) {
	if r.claim == nil || !r.claimGranted {
		return
	}
	switch {
	case ended.Kind == "" && a.result != nil && a.result.Body != nil:
		c.recordUsage(now, r, a.stage)
		c.completeClaim(now, r, *a.result.Body)
	case c.hasRunningAttempt(r):
		return
	default:
		c.endClaimWithoutAnswer(now, r, ended.RunState)
	}
	c.finishRequest(now, r)
}

// requestClaim requests the claim that permits a non-idempotent call to run.
// The preferred writer of the key's shard decides it, or this entry if the preferred
// writer cannot be used.
func (c *Core) requestClaim(now time.Time, r *request) {
	r.claim = &claims.Key{
		Customer: r.customer.Name, Service: r.Service, Operation: r.Operation, IdempotencyKey: r.IdempotencyKey,
	}
	claim := claims.Claim{Key: *r.claim, Request: r.Request, BodyDigest: sha256Hex(r.Body), RunDeadline: r.deadline}
	if c.forwardClaim(now, claim) {
		return
	}
	c.applyClaimEffects(now, c.claims.Handle(now, claim))
}

func (c *Core) applyClaimEffects(now time.Time, effects []claims.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claims.ReadObject:
			c.emit(ReadObject{Key: e.ObjectKey})
		case claims.WriteObject:
			c.emit(WriteObject{Key: e.ObjectKey, Value: e.Value, IfVersion: e.IfVersion})
		case claims.Resolved:
			if !c.answerPeerClaim(e) {
				c.handleClaimResolved(now, e, "")
			}
		case claims.OutcomeSettled:
			c.handleClaimEndStored(e)
		case claims.Alarm:
			c.counts.addAlarm(e.Message)
		}
	}
}

// handleClaimResolved starts, refuses or answers a call according to the
// decision on its claim. writer is the address of the entry that decided it;
// empty means this entry.
func (c *Core) handleClaimResolved(now time.Time, e claims.Resolved, writer string) {
	r, ok := c.requests[e.Request]
	if !ok {
		c.releaseUnusedClaim(now, e, writer)
		return
	}
	r.claimWriter = writer
	if e.Result == claims.Granted {
		r.claimGranted = true
		if r.answered {
			c.endClaimWithoutAnswer(now, r, api.RunStateNotRun)
			c.finishRequest(now, r)
			return
		}
		c.startClaimedCall(now, r)
		return
	}
	if err := e.Err(); err != nil {
		c.fail(now, r, err)
		return
	}
	r.firstTokenAt = now
	c.succeed(now, r, Answer{Body: e.Answer.Body, Repeated: true})
}

// releaseUnusedClaim releases a claim that was granted after its request had
// ended.
func (c *Core) releaseUnusedClaim(now time.Time, e claims.Resolved, writer string) {
	if e.Result == claims.Granted {
		c.reportClaimEnd(now, writer, e.Request, claims.Released{Key: e.Key, Request: e.Request})
	}
}

// startClaimedCall starts a call whose claim was granted and releases the claim
// if the call cannot start.
func (c *Core) startClaimedCall(now time.Time, r *request) {
	if err := c.startServiceAttempts(now, r, false); err != nil {
		c.endClaimWithoutAnswer(now, r, api.RunStateNotRun)
		c.fail(now, r, err)
	}
}

// completeClaim records the answer of a claimed call.
func (c *Core) completeClaim(now time.Time, r *request, body json.RawMessage) {
	if r.claim == nil || !r.claimGranted {
		return
	}
	r.claimGranted = false
	c.reportClaimEnd(now, r.claimWriter, r.Request, claims.Completed{
		Key: *r.claim, Request: r.Request, Answer: claims.Answer{Body: body},
	})
}

// endClaimWithoutAnswer releases the claim of a call that did not run, and
// otherwise records its outcome as unknown.
func (c *Core) endClaimWithoutAnswer(now time.Time, r *request, state api.RunState) {
	if r.claim == nil || !r.claimGranted {
		return
	}
	r.claimGranted = false
	var event claims.Event = claims.Unknown{Key: *r.claim, Request: r.Request}
	if state == api.RunStateNotRun {
		event = claims.Released{Key: *r.claim, Request: r.Request}
	}
	c.reportClaimEnd(now, r.claimWriter, r.Request, event)
}

// recordUsage creates the usage record of a stage that ran. The reservation of
// the stage ensures that it is billed once.
func (c *Core) recordUsage(now time.Time, r *request, stage int) {
	if !r.usageReserved {
		return
	}
	r.usageReserved = false
	record := api.UsageRecord{
		Request: r.Request, Stage: stage, Customer: r.customer.Name, Class: r.class.Name, Version: r.version,
		Service: r.Service, Operation: r.Operation, Entry: c.cfg.Self.Instance,
		InputTokens: r.inputTokens, OutputTokens: r.outputTokens, Cost: c.stageCost(r),
		RunState: api.RunStateRan, EndedAt: int(now.UnixMilli()),
	}
	var sidecars []string
	for _, a := range r.attempts {
		if a.stage == stage && a.address != "" {
			sidecars = append(sidecars, a.address)
			record.BackendServer = a.server
		}
	}
	r.cost += record.Cost
	r.usageRecords = append(r.usageRecords, record)
	if c.needsUsageReplica(r) {
		sidecars = append(sidecars, c.usageReplica)
	}
	if err := c.usage.Add(now, record, sidecars...); err != nil {
		c.counts.addAlarm("usage record could not be buffered and is lost at this entry: " + err.Message)
	}
}

// stageCost returns the cost of a stage: a fixed price per service operation,
// or a price per 1000 input and output tokens of a version.
func (c *Core) stageCost(r *request) float64 {
	if r.Kind == api.RunKindService {
		if operation, ok := c.snapshot.Operation(r.Service, r.Operation); ok {
			return operation.Cost
		}
		return 0
	}
	version, ok := c.snapshot.Version(r.version)
	if !ok {
		return 0
	}
	return version.CostPerKiloToken * float64(r.inputTokens+r.outputTokens) / tokensPerKilo
}

// flushUsage writes the usage batches that are due, and all of them during a
// graceful stop.
func (c *Core) flushUsage(now time.Time) {
	writes := c.usage.Flush(now)
	if c.draining {
		writes = append(writes, c.usage.Drain(now)...)
	}
	for _, w := range writes {
		c.emit(WriteObject{Key: w.ObjectKey, Value: w.Value})
	}
}

// handleStoreEvent routes the outcome of a store call to the component that
// made it, by the prefix of the object key. It also starts the steps of a graceful stop.
func (c *Core) handleStoreEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case ObjectRead:
		if strings.HasPrefix(e.Key, rolloutKeyPrefix) {
			c.handleRolloutRead(now, e)
			return
		}
		if strings.HasPrefix(e.Key, placement.RecordPrefix) {
			c.handlePlacementRead(now, e)
			return
		}
		read := claims.ObjectRead{ObjectKey: e.Key, Version: e.Version, Value: e.Value}
		read.NotFound = errors.Is(e.Err, platform.ErrNotFound)
		read.Failed = e.Err != nil && !read.NotFound
		c.applyClaimEffects(now, c.claims.Handle(now, read))
	case ObjectWritten:
		c.handleObjectWritten(now, e)
	case LeaveScheduled:
		c.leaving.endsAt = e.EndsAt
	case DrainStarted:
		c.draining = true
	case Tick:
	}
}

func (c *Core) handleObjectWritten(now time.Time, e ObjectWritten) {
	if strings.HasPrefix(e.Key, usage.KeyPrefix) {
		for _, confirmation := range c.usage.HandleWriteResult(now, e.Key, usage.WriteOutcomeFromError(e.Err)) {
			c.emit(ConfirmUsage{Address: confirmation.Sidecar, Params: confirmation.Params})
		}
		return
	}
	if strings.HasPrefix(e.Key, rolloutKeyPrefix) {
		c.handleRolloutWritten(now, e)
		return
	}
	if strings.HasPrefix(e.Key, placement.RecordPrefix) {
		c.handlePlacementWritten(now, e)
		return
	}
	c.applyClaimEffects(now, c.claims.Handle(now, claims.ObjectWritten{
		ObjectKey: e.Key, Version: e.Version, Outcome: claimWriteOutcome(e.Err),
	}))
}

func claimWriteOutcome(err error) claims.WriteOutcome {
	switch {
	case err == nil:
		return claims.WriteSucceeded
	case errors.Is(err, platform.ErrConflict):
		return claims.WriteConflict
	case errors.Is(err, platform.ErrRateLimited):
		return claims.WriteRateLimited
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRefused):
		return claims.WriteUnavailable
	default:
		return claims.WriteAmbiguous
	}
}

// applyEntries adapts the interval of usage batches to the number of entries,
// and passes the entries to the claim state machine.
func (c *Core) applyEntries(now time.Time, entries []string) {
	flush, _ := usage.ScaleIntervals(len(entries), c.cfg.UsageFlushInterval, 0)
	c.usage.SetFlushInterval(flush)
	c.applyClaimEffects(now, c.claims.Handle(now, claims.SetEntries{Entries: entries}))
}
