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
	// lateGrace is how long a claimed call whose caller was answered may still
	// bring its outcome.
	lateGrace = 30 * time.Second
	// tokensPerKilo is the unit of version prices.
	tokensPerKilo = 1000
)

// succeed answers the caller and ends the request.
func (c *Core) succeed(now time.Time, r *request, a Answer) {
	a.Request, a.Version, a.Session = r.Request, r.version, r.token
	a.InputTokens, a.OutputTokens, a.Cost = r.inputTokens, r.outputTokens, r.cost
	c.counts.answered(r.customer.Name, r.version, r.cost)
	if c.needsWitness(r) {
		c.hold(now, r, a)
		return
	}
	c.answer(now, r, a)
	c.finish(now, r)
}

// fail answers the caller with an error at once and ends the request.
func (c *Core) fail(now time.Time, r *request, err *errkind.Error) {
	c.counts.refused(r.customer.Name)
	c.answer(now, r, Answer{Request: r.Request, Err: err, Version: r.version})
	c.finish(now, r)
}

// answerEarly answers the caller of a claimed call that is still running. The
// request stays until the outcome is known, so that a repeat can get it.
func (c *Core) answerEarly(now time.Time, r *request, err *errkind.Error) {
	c.counts.refused(r.customer.Name)
	c.answer(now, r, Answer{Request: r.Request, Err: err})
	c.setTimer(timer{at: now.Add(lateGrace), kind: timerForget, request: r.Request})
}

func (c *Core) answer(now time.Time, r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	if a.Err != nil {
		c.counts.kinds[a.Err.Kind]++
	}
	c.traceEnd(now, r, a)
	c.emit(a)
}

func (c *Core) finish(now time.Time, r *request) {
	if _, ok := c.requests[r.Request]; !ok {
		return
	}
	delete(c.requests, r.Request)
	c.releaseAttempts(now, r)
	c.customers.Done(now, r.customer.Name)
	if r.reserved {
		r.reserved = false
		c.usage.Cancel()
	}
}

// releaseAttempts ends the attempts that a finished request leaves running in the
// figures of load balancing: their results find no request any more.
func (c *Core) releaseAttempts(now time.Time, r *request) {
	for _, a := range r.attempts {
		if a.server != "" && !a.ended {
			a.ended = true
			c.fleet.End(now, a.server, a.work, routing.Outcome{})
		}
	}
}

// forget gives up on the outcome of a claimed call.
func (c *Core) forget(now time.Time, r *request) {
	c.settleClaim(now, r, api.RunStateUnknown)
	c.finish(now, r)
}

func (c *Core) running(r *request) bool {
	for _, a := range r.attempts {
		if a.result == nil && !a.ended && a.address != "" {
			return true
		}
	}
	return false
}

// lateResult takes the outcome of an attempt after the request was answered.
func (c *Core) lateResult(now time.Time, r *request, a *attempt, ended retry.AttemptEnded) {
	if r.claim == nil || !r.granted {
		return
	}
	switch {
	case ended.Kind == "" && a.result != nil && a.result.Body != nil:
		c.recordUsage(now, r, a.stage)
		c.completeClaim(now, r, *a.result.Body)
	case c.running(r):
		return
	default:
		c.settleClaim(now, r, ended.RunState)
	}
	c.finish(now, r)
}

// claimService asks for the right to run a non-idempotent call.
func (c *Core) claimService(now time.Time, r *request) {
	r.claim = &claims.Key{
		Customer: r.customer.Name, Service: r.Service, Operation: r.Operation, IdempotencyKey: r.IdempotencyKey,
	}
	claim := claims.Claim{Key: *r.claim, Request: r.Request, BodyDigest: digestOf(r.Body), Until: r.deadline}
	if c.handClaim(now, claim) {
		return
	}
	c.claimEffects(now, c.book.Handle(now, claim))
}

func (c *Core) claimEffects(now time.Time, effects []claims.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claims.ReadObject:
			c.emit(ReadObject{Key: e.ObjectKey})
		case claims.WriteObject:
			c.emit(WriteObject{Key: e.ObjectKey, Value: e.Value, IfVersion: e.IfVersion})
		case claims.Resolved:
			if !c.answerOffer(e) {
				c.claimResolved(now, e, "")
			}
		case claims.Noted:
			c.endNoted(e)
		case claims.Alarm:
			c.counts.alarm(e.Message)
		}
	}
}

// claimResolved takes the decision of this entry's Book or of the writer at via.
func (c *Core) claimResolved(now time.Time, e claims.Resolved, via string) {
	r, ok := c.requests[e.Request]
	if !ok {
		c.releaseOrphan(now, e, via)
		return
	}
	r.claimVia = via
	if e.Result == claims.Granted {
		r.granted = true
		if r.answered {
			c.settleClaim(now, r, api.RunStateNotRun)
			c.finish(now, r)
			return
		}
		c.startClaimed(now, r)
		return
	}
	if err := e.Err(); err != nil {
		c.fail(now, r, err)
		return
	}
	r.first = now
	c.succeed(now, r, Answer{Body: e.Answer.Body, Repeated: true})
}

// releaseOrphan gives back a grant whose request was answered in the meantime.
func (c *Core) releaseOrphan(now time.Time, e claims.Resolved, via string) {
	if e.Result == claims.Granted {
		c.endClaim(now, via, e.Request, claims.Released{Key: e.Key, Request: e.Request})
	}
}

func (c *Core) startClaimed(now time.Time, r *request) {
	if err := c.startService(now, r, false); err != nil {
		c.settleClaim(now, r, api.RunStateNotRun)
		c.fail(now, r, err)
	}
}

func (c *Core) completeClaim(now time.Time, r *request, body json.RawMessage) {
	if r.claim == nil || !r.granted {
		return
	}
	r.granted = false
	c.endClaim(now, r.claimVia, r.Request, claims.Completed{
		Key: *r.claim, Request: r.Request, Answer: claims.Answer{Body: body},
	})
}

// settleClaim records the end of a claimed call that brought no answer.
func (c *Core) settleClaim(now time.Time, r *request, state api.RunState) {
	if r.claim == nil || !r.granted {
		return
	}
	r.granted = false
	var event claims.Event = claims.Unknown{Key: *r.claim, Request: r.Request}
	if state == api.RunStateNotRun {
		event = claims.Released{Key: *r.claim, Request: r.Request}
	}
	c.endClaim(now, r.claimVia, r.Request, event)
}

// recordUsage bills a stage that ran, once.
func (c *Core) recordUsage(now time.Time, r *request, stage int) {
	if !r.reserved {
		return
	}
	r.reserved = false
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
	r.records = append(r.records, record)
	if c.needsWitness(r) {
		sidecars = append(sidecars, c.witness)
	}
	if err := c.usage.Add(now, record, sidecars...); err != nil {
		c.counts.alarm("usage record was not held: " + err.Message)
	}
}

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

func (c *Core) flushUsage(now time.Time) {
	writes := c.usage.Flush(now)
	if c.draining {
		writes = append(writes, c.usage.Drain(now)...)
	}
	for _, w := range writes {
		c.emit(WriteObject{Key: w.ObjectKey, Value: w.Value})
	}
}

// storeEvent handles the outcomes of the platform's calls.
func (c *Core) storeEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case StoreRead:
		if strings.HasPrefix(e.Key, rolloutPrefix) {
			c.rolloutRead(now, e)
			return
		}
		if strings.HasPrefix(e.Key, placement.RecordPrefix) {
			c.placementRead(now, e)
			return
		}
		read := claims.StoreRead{ObjectKey: e.Key, Version: e.Version, Value: e.Value}
		read.NotFound = errors.Is(e.Err, platform.ErrNotFound)
		read.Failed = e.Err != nil && !read.NotFound
		c.claimEffects(now, c.book.Handle(now, read))
	case StoreWritten:
		c.storeWritten(now, e)
	case DrainStarted:
		c.draining = true
	case Tick:
	}
}

func (c *Core) storeWritten(now time.Time, e StoreWritten) {
	if strings.HasPrefix(e.Key, usage.Prefix) {
		for _, confirmation := range c.usage.WriteResult(now, e.Key, usage.OutcomeOf(e.Err)) {
			c.emit(ConfirmUsage{Address: confirmation.Sidecar, Confirm: confirmation.Confirm})
		}
		return
	}
	if strings.HasPrefix(e.Key, rolloutPrefix) {
		c.rolloutWritten(now, e)
		return
	}
	if strings.HasPrefix(e.Key, placement.RecordPrefix) {
		c.placementWritten(now, e)
		return
	}
	c.claimEffects(now, c.book.Handle(now, claims.StoreWritten{
		ObjectKey: e.Key, Version: e.Version, Outcome: claimOutcome(e.Err),
	}))
}

func claimOutcome(err error) claims.WriteOutcome {
	switch {
	case err == nil:
		return claims.Written
	case errors.Is(err, platform.ErrConflict):
		return claims.Conflict
	case errors.Is(err, platform.ErrRateLimited):
		return claims.RateLimited
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRefused):
		return claims.Unavailable
	default:
		return claims.Ambiguous
	}
}

func (c *Core) setClaimEntries(now time.Time, entries []string) {
	flush, _ := usage.Intervals(len(entries), c.cfg.UsageFlush, 0)
	c.usage.SetFlushEvery(flush)
	c.claimEffects(now, c.book.Handle(now, claims.SetEntries{Entries: entries}))
}
