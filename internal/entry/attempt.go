package entry

import (
	"encoding/json"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
	"github.com/borageflow/borageflow/internal/routing"
)

// attempt is one attempt to run a request on a backend server. Its number is
// unique within the request, over all stages.
type attempt struct {
	number         int
	stage          int
	server         string
	address        string
	version        string
	routingAttempt routing.Attempt
	sentAt         time.Time
	firstPartAt    time.Time
	receivedTokens int
	// tokenOffset is the number of tokens that earlier attempts delivered.
	tokenOffset     int
	excludedServers []string
	isHedge         bool
	ended           bool
	// abandoned is set when the sidecar stopped answering and the request no longer
	// waits for it. A result may still arrive.
	abandoned bool
	result    *api.RunResult
}

func (c *Core) applyRetryDecisions(now time.Time, r *request, decisions []retry.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case retry.StartAttempt:
			c.scheduleAttempt(now, r, d)
		case retry.CancelAttempt:
			c.cancelAttempt(r, r.earlierAttempts+d.Attempt)
		case retry.SetHedgeTimer:
			c.setTimer(timer{fireAt: now.Add(d.After), kind: timerHedge, request: r.Request, stage: r.stage})
		case retry.Deliver:
			c.deliverPart(now, r)
		case retry.Discard:
			r.answerText = r.answerText[:0]
		case retry.Succeed:
			c.handleStageSuccess(now, r, r.attempts[r.earlierAttempts+d.Attempt])
		case retry.Fail:
			c.handleStageFailure(now, r, d)
		case retry.DropPart:
			c.counts.droppedParts++
		}
	}
}

func (c *Core) scheduleAttempt(now time.Time, r *request, d retry.StartAttempt) {
	a := &attempt{
		number: r.earlierAttempts + d.Attempt, stage: r.stage, version: r.version,
		tokenOffset: d.Offset, excludedServers: d.ExcludeServers, isHedge: d.Hedge,
	}
	r.attempts[a.number] = a
	if d.After > 0 {
		c.setTimer(timer{fireAt: now.Add(d.After), kind: timerAttempt, request: r.Request, stage: r.stage, attempt: a.number})
		return
	}
	c.sendAttempt(now, r, a)
}

func (c *Core) sendDelayedAttempt(now time.Time, r *request, stage, number int) {
	a, ok := r.attempts[number]
	if ok && r.stage == stage && !r.retryMachine.Finished() {
		c.sendAttempt(now, r, a)
	}
}

func (c *Core) sendAttempt(now time.Time, r *request, a *attempt) {
	pick, ok := c.pickServer(now, r, a)
	if !ok {
		c.endAttempt(now, r, a, retry.AttemptEnded{Kind: errkind.NoCandidate, RunState: api.RunStateNotRun})
		return
	}
	a.server, a.address, a.sentAt = pick.Server, pick.Address, now
	a.routingAttempt = c.fleet.StartAttempt(now, pick.Server, routing.Attempt{
		Prefix: routing.PrefixKey(a.version, r.prefix), PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens - a.tokenOffset, IsShort: c.isShort(r),
	})
	c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.AttemptStarted{Attempt: a.number - r.earlierAttempts, Server: pick.Server}))
	c.counts.attempts++
	c.traceAttempt(now, r, a)
	c.emit(StartAttempt{Address: pick.Address, Instance: pick.Instance, Params: c.runParams(now, r, a, pick)})
}

// pickServer prefers servers that earlier attempts of the request did not use.
// A hedge is sent to another server or not at all.
func (c *Core) pickServer(now time.Time, r *request, a *attempt) (routing.Pick, bool) {
	q := routing.Query{
		Prefix: routing.PrefixKey(a.version, r.prefix), PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens,
		IsShort: c.isShort(r), Exclude: a.excludedServers,
	}
	if r.Kind == api.RunKindService {
		q.Service = r.Service
	} else {
		q.Version = a.version
	}
	pick, ok := c.fleet.Pick(now, q, c.rng)
	if ok || a.isHedge || len(a.excludedServers) == 0 {
		return pick, ok
	}
	q.Exclude = nil
	return c.fleet.Pick(now, q, c.rng)
}

// isShort reports whether load balancing treats a request as short work.
func (c *Core) isShort(r *request) bool {
	return r.Kind == api.RunKindService || r.MaxTokens <= maxShortAnswerTokens
}

func (c *Core) runParams(now time.Time, r *request, a *attempt, pick routing.Pick) api.RunParams {
	p := api.RunParams{
		Request: r.Request, Attempt: a.number, Stage: a.stage, Incarnation: pick.Incarnation,
		Revision: c.snapshot.Revision, Entry: c.cfg.Self.Instance, Kind: r.Kind, Customer: r.customer.Name,
		Class: r.class.Name, Priority: r.class.Priority, Weight: r.customer.Weight,
		DeadlineMs: int(r.deadline.Sub(now).Milliseconds()),
	}
	if r.Kind == api.RunKindService {
		operation, _ := c.snapshot.Operation(r.Service, r.Operation)
		p.Service, p.Operation, p.IdempotencyKey = r.Service, r.Operation, r.IdempotencyKey
		p.Idempotent = operation != nil && operation.Idempotent
		body := r.Body
		p.Body = &body
		return p
	}
	p.Version, p.Messages, p.Idempotent = a.version, r.Messages, true
	p.PromptTokens, p.MaxTokens, p.Offset = r.promptTokens, r.MaxTokens, a.tokenOffset
	p.Stream = c.isStreamed(r)
	return p
}

func (c *Core) cancelAttempt(r *request, number int) {
	a, ok := r.attempts[number]
	if !ok || a.address == "" {
		return
	}
	c.emit(CancelAttempt{Address: a.address, Params: api.CancelParams{Request: r.Request, Attempt: number}})
}

func (c *Core) handlePartReceived(now time.Time, p api.Part) {
	r, ok := c.requests[p.Request]
	if !ok || r.retryMachine == nil {
		c.counts.droppedParts++
		return
	}
	a, ok := r.attempts[p.Attempt]
	if !ok || a.stage != r.stage {
		c.counts.droppedParts++
		return
	}
	if a.firstPartAt.IsZero() {
		a.firstPartAt = now
	}
	a.receivedTokens += p.Tokens
	r.currentPart = p
	c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.PartReceived{
		Attempt: p.Attempt - r.earlierAttempts, Sequence: p.Sequence, Tokens: p.Tokens,
	}))
}

func (c *Core) deliverPart(now time.Time, r *request) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
	r.deliveredTokens += r.currentPart.Tokens
	c.counts.deliveredTokens += r.currentPart.Tokens
	if r.sampledForRating {
		r.answerText = append(r.answerText, r.currentPart.Text...)
	}
	c.emit(Deliver{Request: r.Request, Version: r.version, Session: r.sessionToken, Text: r.currentPart.Text, Tokens: r.currentPart.Tokens})
}

// handleAttemptEnded records an outcome and lets the retry state machine act.
func (c *Core) handleAttemptEnded(now time.Time, e AttemptEnded) {
	r, ok := c.requests[e.Request]
	if !ok {
		return
	}
	a, ok := r.attempts[e.Attempt]
	if !ok || a.ended {
		return
	}
	a.ended = true
	ended := c.retryEvent(e)
	if e.Err == nil {
		result := e.Result
		a.result = &result
		c.applyReports(now, a, &result)
	}
	c.recordOutcome(now, r, a, e)
	c.endAttempt(now, r, a, ended)
}

func (c *Core) retryEvent(e AttemptEnded) retry.AttemptEnded {
	if e.Err != nil {
		return retry.AttemptEnded{
			Kind: e.Err.Kind, RunState: e.Err.RunState, RetryAfter: e.Err.RetryAfter,
			ConnectionRefusedBeforeSend: e.NotSent, CanResume: true,
		}
	}
	kind := errkind.Kind("")
	if e.Result.Kind != "" {
		kind = errkind.Parse(e.Result.Kind)
	}
	return retry.AttemptEnded{
		Kind: kind, RunState: e.Result.RunState, LastSequence: e.Result.LastSequence, CanResume: true,
		RetryAfter: time.Duration(e.Result.RetryAfterMs) * time.Millisecond,
	}
}

// applyReports applies the load, cache changes and manifest in a result.
func (c *Core) applyReports(now time.Time, a *attempt, result *api.RunResult) {
	if result.Load != nil {
		c.fleet.RecordLoadReport(now, a.server, *result.Load)
	}
	c.applyCacheChanges(now, a.server, a.routingAttempt.Incarnation, result.CacheNews)
	if result.Config != nil {
		c.emit(OfferConfig{Offer: *result.Config})
	}
}

// recordOutcome updates load balancing, ejection, rollouts and hedge delays.
func (c *Core) recordOutcome(now time.Time, r *request, a *attempt, e AttemptEnded) {
	kind := errkind.Kind(e.Result.Kind)
	if e.Err != nil {
		kind = e.Err.Kind
	}
	outcome := routing.Outcome{OK: kind == "", InputTokens: e.Result.InputTokens, CachedTokens: e.Result.CachedTokens, OutputTokens: e.Result.OutputTokens}
	outcome.FirstTokenMs = e.Result.FirstTokenMs
	if !a.firstPartAt.IsZero() {
		outcome.FirstTokenMs = toMs(a.firstPartAt.Sub(a.sentAt))
	}
	if !a.firstPartAt.IsZero() && a.receivedTokens > 1 {
		outcome.TokenMs = toMs(now.Sub(a.firstPartAt)) / float64(a.receivedTokens-1)
	}
	c.fleet.EndAttempt(now, a.server, a.routingAttempt, outcome)
	c.observeServer(now, a, c.healthGroup(r, a), kind, e.NotSent, outcome)
	if r.Kind == api.RunKindChat && (kind == "" || isServerFault(kind)) {
		c.observeVersion(now, versionSample(r, a, kind, outcome))
	}
	if kind == "" && !a.isHedge {
		c.observeDelay(r, a, now)
	}
	if e.Result.RunState == api.RunStateRan {
		c.setTokenCounts(r, e.Result)
	}
}

func (c *Core) setTokenCounts(r *request, result api.RunResult) {
	r.inputTokens = result.InputTokens
	r.outputTokens = max(result.OutputTokens, r.deliveredTokens)
}

// healthGroup returns the key by which passive ejection compares servers.
func (c *Core) healthGroup(r *request, a *attempt) string {
	if r.Kind == api.RunKindService {
		return r.Service
	}
	return a.version
}

// isServerFault reports whether an error kind counts against the backend server
// and its version, and not against the request or the load.
func isServerFault(k errkind.Kind) bool {
	switch k {
	case errkind.UpstreamFailed, errkind.Truncated, errkind.DeadlineExceeded, errkind.Internal:
		return true
	default:
		return false
	}
}

// observeDelay records a response time, from which hedge delays are computed.
func (c *Core) observeDelay(r *request, a *attempt, now time.Time) {
	key := hedgeDelayKey{r.class.Name, a.version}
	if r.Kind == api.RunKindService {
		key.version = r.Service + "/" + r.Operation
	}
	estimator, ok := c.hedgeDelays[key]
	if !ok {
		estimator = &retry.HedgeDelayEstimator{}
		c.hedgeDelays[key] = estimator
	}
	firstResponseAt := now
	if !a.firstPartAt.IsZero() {
		firstResponseAt = a.firstPartAt
	}
	estimator.Observe(firstResponseAt.Sub(a.sentAt))
}

// endAttempt lets the retry state machine act on an ended attempt. Attempts of
// earlier stages are ignored, and results after the answer only recorded.
func (c *Core) endAttempt(now time.Time, r *request, a *attempt, ended retry.AttemptEnded) {
	if a.stage != r.stage || r.retryMachine == nil {
		return
	}
	if r.retryMachine.Finished() {
		c.handleLateResult(now, r, a, ended)
		return
	}
	ended.Attempt = a.number - r.earlierAttempts
	c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, ended))
}

func (c *Core) handleStageSuccess(now time.Time, r *request, a *attempt) {
	result := a.result
	if r.Kind == api.RunKindService {
		c.recordUsage(now, r, a.stage)
		c.handleServiceSuccess(now, r, result)
		return
	}
	r.answerText = append(r.answerText, result.Text...)
	c.recordUsage(now, r, a.stage)
	decision := c.planner.Next(now, r.plan, r.stage, cascade.StageResult{
		Confidence: result.Confidence, Remaining: r.deadline.Sub(now),
	})
	c.observeAnswer(now, r, result, !decision.Accept)
	if !decision.Accept {
		c.escalate(now, r, decision.Stage, result)
		return
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
	c.succeed(now, r, Answer{Text: result.Text, FinishReason: result.FinishReason})
}

// escalate starts the next stage. A class that weighs latency keeps the answer
// as fallback: it prefers a low-confidence answer to an error.
func (c *Core) escalate(now time.Time, r *request, stage int, result *api.RunResult) {
	if r.class.Weighting == api.WeightingLatency {
		r.fallback = &fallback{version: r.version, token: r.sessionToken, text: result.Text, finishReason: result.FinishReason}
	}
	r.stage = stage
	r.previousVersion, r.previousConfidence = r.version, result.Confidence
	if err := c.startStage(now, r); err != nil {
		c.failStage(now, r, err)
	}
}

// failStage ends the request with the error of the current stage, or with the
// fallback answer if there is one and nothing was streamed yet.
func (c *Core) failStage(now time.Time, r *request, err *errkind.Error) {
	fallbackAnswer := r.fallback
	if fallbackAnswer == nil || r.deliveredTokens > 0 {
		c.fail(now, r, err)
		return
	}
	r.version, r.sessionToken = fallbackAnswer.version, fallbackAnswer.token
	r.firstTokenAt = now
	c.succeed(now, r, Answer{Text: fallbackAnswer.text, FinishReason: fallbackAnswer.finishReason})
}

func (c *Core) handleServiceSuccess(now time.Time, r *request, result *api.RunResult) {
	body := json.RawMessage("null")
	if result.Body != nil {
		body = *result.Body
	}
	r.firstTokenAt = now
	c.completeClaim(now, r, body)
	c.succeed(now, r, Answer{Body: body})
}

// handleStageFailure ends the request with the final error of its stage. A
// claimed call that still runs keeps its claim until its outcome is known.
func (c *Core) handleStageFailure(now time.Time, r *request, d retry.Fail) {
	if d.RunState == api.RunStateRan {
		c.recordUsage(now, r, r.stage)
	}
	err := errkind.New(d.Kind, failureMessage(d)).WithRunState(d.RunState).WithRetryAfter(d.RetryAfter)
	if r.claim != nil && c.hasRunningAttempt(r) {
		c.answerWhileRunning(now, r, err)
		return
	}
	c.endClaimWithoutAnswer(now, r, d.RunState)
	c.failStage(now, r, err)
}

func failureMessage(d retry.Fail) string {
	switch d.RunState {
	case api.RunStateNotRun:
		return "request did not run"
	case api.RunStateRan:
		return "request ran on the backend server, but its answer was lost"
	default:
		return "backend server did not report whether the request ran"
	}
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
