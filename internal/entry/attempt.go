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

// attempt is one attempt on a backend server. Its number is unique within the
// request, over all stages.
type attempt struct {
	number  int
	stage   int
	server  string
	address string
	version string
	work    routing.Work
	sent    time.Time
	first   time.Time
	tokens  int
	offset  int
	exclude []string
	hedge   bool
	ended   bool
	// givenUp states that the server stopped answering; its result may still come.
	givenUp bool
	result  *api.RunResult
}

// apply carries out the decisions of the retry state machine.
func (c *Core) apply(now time.Time, r *request, decisions []retry.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case retry.StartAttempt:
			c.scheduleAttempt(now, r, d)
		case retry.CancelAttempt:
			c.cancelAttempt(r, r.firstAttempt+d.Attempt)
		case retry.SetHedgeTimer:
			c.setTimer(timer{at: now.Add(d.After), kind: timerHedge, request: r.Request, stage: r.stage})
		case retry.Deliver:
			c.deliver(now, r)
		case retry.Discard:
			r.text = r.text[:0]
		case retry.Succeed:
			c.stageSucceeded(now, r, r.attempts[r.firstAttempt+d.Attempt])
		case retry.Fail:
			c.stageFailed(now, r, d)
		case retry.DropPart:
			c.counts.droppedParts++
		}
	}
}

func (c *Core) scheduleAttempt(now time.Time, r *request, d retry.StartAttempt) {
	a := &attempt{
		number: r.firstAttempt + d.Attempt, stage: r.stage, version: r.version,
		offset: d.Offset, exclude: d.ExcludeServers, hedge: d.Hedge,
	}
	r.attempts[a.number] = a
	if d.After > 0 {
		c.setTimer(timer{at: now.Add(d.After), kind: timerAttempt, request: r.Request, stage: r.stage, attempt: a.number})
		return
	}
	c.sendAttempt(now, r, a)
}

func (c *Core) attemptDue(now time.Time, r *request, stage, number int) {
	a, ok := r.attempts[number]
	if ok && r.stage == stage && !r.machine.Over() {
		c.sendAttempt(now, r, a)
	}
}

// sendAttempt chooses a backend server and sends the attempt.
func (c *Core) sendAttempt(now time.Time, r *request, a *attempt) {
	pick, ok := c.pick(now, r, a)
	if !ok {
		c.endAttempt(now, r, a, retry.AttemptEnded{Kind: errkind.NoCandidate, RunState: api.RunStateNotRun})
		return
	}
	a.server, a.address, a.sent = pick.Server, pick.Address, now
	a.work = c.fleet.Start(now, pick.Server, routing.Work{
		Prefix: routing.PrefixKey(a.version, r.prefix), PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens - a.offset, Short: c.short(r),
	})
	c.apply(now, r, r.machine.Handle(now, retry.AttemptStarted{Attempt: a.number - r.firstAttempt, Server: pick.Server}))
	c.counts.attempts++
	c.traceAttempt(now, r, a)
	c.emit(StartAttempt{Address: pick.Address, Instance: pick.Instance, Params: c.runParams(now, r, a, pick)})
}

// pick prefers servers that earlier attempts did not use; a hedge requires one.
func (c *Core) pick(now time.Time, r *request, a *attempt) (routing.Pick, bool) {
	q := routing.Query{
		Prefix: routing.PrefixKey(a.version, r.prefix), PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens,
		Short: c.short(r), Exclude: a.exclude,
	}
	if r.Kind == api.RunKindService {
		q.Service = r.Service
	} else {
		q.Version = a.version
	}
	pick, ok := c.fleet.Pick(now, q, c.rng)
	if ok || a.hedge || len(a.exclude) == 0 {
		return pick, ok
	}
	q.Exclude = nil
	return c.fleet.Pick(now, q, c.rng)
}

func (c *Core) short(r *request) bool {
	return r.Kind == api.RunKindService || r.MaxTokens <= shortTokens
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
	p.PromptTokens, p.MaxTokens, p.Offset = r.promptTokens, r.MaxTokens, a.offset
	p.Stream = c.streamed(r)
	return p
}

func (c *Core) cancelAttempt(r *request, number int) {
	a, ok := r.attempts[number]
	if !ok || a.address == "" {
		return
	}
	c.emit(CancelAttempt{Address: a.address, Cancel: api.CancelParams{Request: r.Request, Attempt: number}})
}

func (c *Core) partReceived(now time.Time, p api.Part) {
	r, ok := c.requests[p.Request]
	if !ok || r.machine == nil {
		c.counts.droppedParts++
		return
	}
	a, ok := r.attempts[p.Attempt]
	if !ok || a.stage != r.stage {
		c.counts.droppedParts++
		return
	}
	if a.first.IsZero() {
		a.first = now
	}
	a.tokens += p.Tokens
	r.part = p
	c.apply(now, r, r.machine.Handle(now, retry.PartReceived{
		Attempt: p.Attempt - r.firstAttempt, Sequence: p.Sequence, Tokens: p.Tokens,
	}))
}

// deliver passes the part at hand to the caller.
func (c *Core) deliver(now time.Time, r *request) {
	if r.first.IsZero() {
		r.first = now
	}
	r.delivered += r.part.Tokens
	c.counts.tokens += r.part.Tokens
	if r.sampled {
		r.text = append(r.text, r.part.Text...)
	}
	c.emit(Deliver{Request: r.Request, Version: r.version, Session: r.token, Text: r.part.Text, Tokens: r.part.Tokens})
}

// attemptEnded accounts for an attempt and lets the retry state machine decide.
func (c *Core) attemptEnded(now time.Time, e AttemptEnded) {
	r, ok := c.requests[e.Request]
	if !ok {
		return
	}
	a, ok := r.attempts[e.Attempt]
	if !ok || a.ended {
		return
	}
	a.ended = true
	ended := c.endedEvent(e)
	if e.Err == nil {
		result := e.Result
		a.result = &result
		c.learn(now, a, &result)
	}
	c.account(now, r, a, e)
	c.endAttempt(now, r, a, ended)
}

func (c *Core) endedEvent(e AttemptEnded) retry.AttemptEnded {
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

// learn takes the load report, cache changes and a newer manifest from a result.
func (c *Core) learn(now time.Time, a *attempt, result *api.RunResult) {
	if result.Load != nil {
		c.fleet.Report(now, a.server, *result.Load)
	}
	c.cacheNews(now, a.server, a.work.Incarnation, result.CacheNews)
	if result.Config != nil {
		c.emit(OfferConfig{Offer: *result.Config})
	}
}

// account feeds the outcome of an attempt to load balancing, health and
// roll-out evidence.
func (c *Core) account(now time.Time, r *request, a *attempt, e AttemptEnded) {
	kind := errkind.Kind(e.Result.Kind)
	if e.Err != nil {
		kind = e.Err.Kind
	}
	outcome := routing.Outcome{OK: kind == "", InputTokens: e.Result.InputTokens, CachedTokens: e.Result.CachedTokens, OutputTokens: e.Result.OutputTokens}
	outcome.FirstTokenMs = e.Result.FirstTokenMs
	if !a.first.IsZero() {
		outcome.FirstTokenMs = milliseconds(a.first.Sub(a.sent))
	}
	if !a.first.IsZero() && a.tokens > 1 {
		outcome.TokenMs = milliseconds(now.Sub(a.first)) / float64(a.tokens-1)
	}
	c.fleet.End(now, a.server, a.work, outcome)
	c.observeServer(now, a, c.group(r, a), kind, e.NotSent, outcome)
	if r.Kind == api.RunKindChat && (kind == "" || serverFault(kind)) {
		c.observeVersion(now, versionSample(r, a, kind, outcome))
	}
	if kind == "" && !a.hedge {
		c.observeDelay(r, a, now)
	}
	if e.Result.RunState == api.RunStateRan {
		c.inputOutput(r, e.Result)
	}
}

func (c *Core) inputOutput(r *request, result api.RunResult) {
	r.inputTokens = result.InputTokens
	r.outputTokens = max(result.OutputTokens, r.delivered)
}

func (c *Core) group(r *request, a *attempt) string {
	if r.Kind == api.RunKindService {
		return r.Service
	}
	return a.version
}

// serverFault reports whether a kind speaks against the backend server or its
// version, and not against the request or the load.
func serverFault(k errkind.Kind) bool {
	switch k {
	case errkind.UpstreamFailed, errkind.Truncated, errkind.DeadlineExceeded, errkind.Internal:
		return true
	default:
		return false
	}
}

func (c *Core) observeDelay(r *request, a *attempt, now time.Time) {
	key := delayKey{r.class.Name, a.version}
	if r.Kind == api.RunKindService {
		key.version = r.Service + "/" + r.Operation
	}
	delays, ok := c.delays[key]
	if !ok {
		delays = &retry.Delays{}
		c.delays[key] = delays
	}
	at := now
	if !a.first.IsZero() {
		at = a.first
	}
	delays.Observe(at.Sub(a.sent))
}

// endAttempt ends an attempt of the present stage. An attempt of an earlier
// stage, or of a claimed call that was answered already, is only recorded.
func (c *Core) endAttempt(now time.Time, r *request, a *attempt, ended retry.AttemptEnded) {
	if a.stage != r.stage || r.machine == nil {
		return
	}
	if r.machine.Over() {
		c.lateResult(now, r, a, ended)
		return
	}
	ended.Attempt = a.number - r.firstAttempt
	c.apply(now, r, r.machine.Handle(now, ended))
}

// stageSucceeded delivers the answer of a stage or escalates to the next one.
func (c *Core) stageSucceeded(now time.Time, r *request, a *attempt) {
	result := a.result
	if r.Kind == api.RunKindService {
		c.recordUsage(now, r, a.stage)
		c.serviceSucceeded(now, r, result)
		return
	}
	r.text = append(r.text, result.Text...)
	c.recordUsage(now, r, a.stage)
	decision := c.planner.Next(now, r.plan, r.stage, cascade.StageResult{
		Confidence: result.Confidence, Remaining: r.deadline.Sub(now),
	})
	c.observeAnswer(now, r, result, !decision.Accept)
	if !decision.Accept {
		c.escalate(now, r, decision.Stage, result)
		return
	}
	if r.first.IsZero() {
		r.first = now
	}
	c.succeed(now, r, Answer{Text: result.Text, FinishReason: result.FinishReason})
}

// escalate starts the next stage. A class that weighs latency keeps the answer at
// hand, since a plain answer is worth more to it than none.
func (c *Core) escalate(now time.Time, r *request, stage int, result *api.RunResult) {
	if r.class.Weighting == api.WeightingLatency {
		r.fallback = &fallback{version: r.version, token: r.token, text: result.Text, finishReason: result.FinishReason}
	}
	r.stage = stage
	r.previousVersion, r.previousConfidence = r.version, result.Confidence
	if err := c.startStage(now, r); err != nil {
		c.failStage(now, r, err)
	}
}

// failStage ends the request with the answer of an earlier stage, or with the
// error of the present one.
func (c *Core) failStage(now time.Time, r *request, err *errkind.Error) {
	kept := r.fallback
	if kept == nil || r.delivered > 0 {
		c.fail(now, r, err)
		return
	}
	r.version, r.token = kept.version, kept.token
	r.first = now
	c.succeed(now, r, Answer{Text: kept.text, FinishReason: kept.finishReason})
}

func (c *Core) serviceSucceeded(now time.Time, r *request, result *api.RunResult) {
	body := json.RawMessage("null")
	if result.Body != nil {
		body = *result.Body
	}
	r.first = now
	c.completeClaim(now, r, body)
	c.succeed(now, r, Answer{Body: body})
}

// stageFailed ends the request with the final error of its stage.
func (c *Core) stageFailed(now time.Time, r *request, d retry.Fail) {
	if d.RunState == api.RunStateRan {
		c.recordUsage(now, r, r.stage)
	}
	err := errkind.New(d.Kind, failMessage(d)).WithRunState(d.RunState).WithRetryAfter(d.RetryAfter)
	if r.claim != nil && c.running(r) {
		c.answerEarly(now, r, err)
		return
	}
	c.settleClaim(now, r, d.RunState)
	c.failStage(now, r, err)
}

func failMessage(d retry.Fail) string {
	switch d.RunState {
	case api.RunStateNotRun:
		return "request did not run"
	case api.RunStateRan:
		return "request ran and its answer was lost"
	default:
		return "it is not known whether the request ran"
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
