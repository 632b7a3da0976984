package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/rollout"
)

// request is one caller's request on its way through the gateway. One goroutine owns it.
type request struct {
	g        *Gateway
	w        http.ResponseWriter
	call     call
	route    *forward.Route
	service  string
	customer forward.Customer
	key      string
	started  time.Time
	deadline time.Time
	// modelChosen reports whether the router names the model.
	modelChosen bool
	stage       int

	tried  []string
	sent   int // workers that the request reached
	unsent int // attempts that reached none
	// ran is true once a worker may have run the request.
	ran bool

	// path are the attempts so far, for the log.
	path []step
	// answerFailed is set once a worker answered with a failure of its own.
	answerFailed bool
	// prepaid is set when a repeat has been taken from the budget for the next attempt.
	prepaid bool
	// runs is the number of workers that ran the request or may have.
	runs int

	headSent bool
	// aborted asks for the end of the caller's connection.
	aborted   bool
	lastEvent int64
	placement forward.Placement
	firstByte time.Duration
	lastError error
}

// attempt is the state of one attempt between the choice of a worker and its end.
type attempt struct {
	worker  forward.Worker
	ex      *exchange
	started time.Time
	// since is started by the clock of the decisions.
	since time.Duration
	model string
}

func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// serve answers the request.
func (r *request) serve(ctx context.Context) (*errkind.Error, string) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.g.core.firstAttempt(r.service)
	for {
		if refusal := r.mayRun(); refusal != nil {
			return refusal, "refused"
		}
		a, refusal := r.place()
		if refusal != nil {
			return refusal, "refused"
		}
		outcome, done := r.run(ctx, a)
		r.path = append(r.path, step{a.worker.ID, a.model, outcome.String(), r.placement.Load, r.placement.LoadAge.Milliseconds()})
		if done && r.aborted {
			return nil, "cut"
		}
		if done {
			return nil, "answered"
		}
		if err := r.ended(ctx); err != nil {
			return err, "given up"
		}
		if outcome == escalated {
			continue
		}
		again := forward.Retry{
			Outcome: outcome, Idempotent: r.route.Idempotent(), Runs: r.runs, MaxAttempts: r.route.MaxAttempts,
			Remaining: r.remaining(), BudgetLeft: r.repeatLeft,
		}
		if !again.Again(r.unsent) {
			return r.failure(outcome), "failed"
		}
		r.g.metrics.repeats.Inc()
	}
}

// escalated is the outcome of an answer that was dropped for that of a larger model.
const escalated = forward.Dropped

// step is one attempt in the log line of a request.
type step struct {
	Worker    string  `json:"worker"`
	Model     string  `json:"model,omitempty"`
	Outcome   string  `json:"outcome"`
	Load      float64 `json:"load"`
	LoadAgeMs int64   `json:"load_age_ms"`
}

// mayRun checks the key against the newest configuration, before each attempt.
func (r *request) mayRun() *errkind.Error {
	v := r.g.core.view.Load()
	if _, refusal := forward.Authorize(r.g.core.keyView(v), r.route, r.key, elapsed(), r.g.core.keyAge()); refusal != nil {
		if r.ran {
			return errkind.New(errkind.UpstreamFailed, "request cannot be repeated: "+refusal.Message)
		}
		return refusal
	}
	return nil
}

// ended says why the request must not go on: the caller left or the time is over.
func (r *request) ended(ctx context.Context) *errkind.Error {
	err := ctx.Err()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "no answer within the time limit")
	}
	return errkind.New(errkind.DeadlineExceeded, "caller has left")
}

// failure is the refusal after the last attempt.
func (r *request) failure(o forward.Outcome) *errkind.Error {
	if !r.ran {
		return errkind.New(errkind.Overloaded, "no worker took the request").WithRetryAfter(retryLater)
	}
	if o == forward.Broken && r.remaining() <= 0 {
		return errkind.New(errkind.DeadlineExceeded, "no answer within the time limit")
	}
	return errkind.New(errkind.UpstreamFailed, "worker broke off its answer")
}

// retryLater is the advised pause after a refusal: a few times what a queue of a full
// worker takes to move on.
const retryLater = 300 * time.Millisecond

// place chooses a worker.
func (r *request) place() (attempt, *errkind.Error) {
	model := r.model()
	p, ok := r.g.core.pick(elapsed(), forward.Query{
		Service: r.service, Exclude: r.tried, Model: model, Heavy: r.stage > 0, Prompt: r.call.meta.Prompt,
	}, r.call.meta.Session, r.call.meta.RequestID, r.answerFailed)
	if !ok {
		if r.ran {
			return attempt{}, errkind.New(errkind.UpstreamFailed, "no other worker is left")
		}
		return attempt{}, errkind.New(errkind.NoCandidate, "no worker of the service is known").WithRetryAfter(retryLater)
	}
	r.placement = p
	return attempt{worker: p.Worker, started: time.Now(), since: elapsed(), model: model}, nil
}

// model is the model that the router names; empty leaves the caller's.
func (r *request) model() string {
	if !r.modelChosen || len(r.route.Models) == 0 {
		return ""
	}
	return r.route.Models[r.stage]
}

// freshFor bounds the idle time of a connection that an unsafe request is sent on. A
// connection that a worker has dropped resets the request, which then may have run.
const freshFor = 2 * time.Second

// run sends the request to a worker and passes its answer on. It returns true when the
// caller has an answer or its connection was ended.
func (r *request) run(ctx context.Context, a attempt) (forward.Outcome, bool) {
	begun := false
	defer func() { r.g.core.release(a.worker.ID, begun) }()
	r.tried = append(r.tried, a.worker.ID)
	buf := bufferPool.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds buffers only
	defer bufferPool.Put(buf)
	f := forward.Forwarded{Worker: a.worker, Customer: r.customer.Name, Remaining: r.remaining(), Model: a.model, Urgency: -1}
	if r.lastEvent >= 0 && r.headSent {
		f.LastEventID = strconv.FormatInt(r.lastEvent, 10)
	}
	r.call.encode(buf, r.g.dialect, f)
	maxIdle := time.Hour
	if !r.route.Idempotent() {
		maxIdle = freshFor
	}
	ex, err := send(ctx, r.g.pool, a.worker.Address, maxIdle, buf.Bytes(), r.call.body)
	if err != nil {
		r.unsent++
		r.lastError = err
		r.g.core.ended(a.worker, membership.Unreachable, 0)
		return forward.NotSent, false
	}
	a.ex = ex
	defer ex.abandon()
	if r.stage > 0 {
		r.g.core.largerStarted(r.route.Name, a.since)
	}
	r.sent++
	err = r.awaitHead(ex)
	if err == nil {
		err = ex.readHead(r.g.dialect, r.call.method, r.call.meta.RequestID, r.deadline)
	}
	if r.stage > 0 {
		r.g.core.largerEnded(r.route.Name, a.since, err == nil)
	}
	if err == nil || isTimeout(err) {
		r.g.core.headTook(r.route.Name, r.stage > 0, r.call.meta.PromptTokens, time.Since(a.started))
	}
	if err != nil {
		r.lastError = err
		r.ran = true
		r.runs++
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.failedAt(a)
		}
		return forward.Broken, false
	}
	begun = true
	r.g.core.began(a.worker.ID)
	return r.judgeHead(ctx, a)
}

// awaitHead waits for the begin of the answer. An overdue one is given up only when the
// budget has a repeat left; as long as it has none, the wait goes on.
func (r *request) awaitHead(ex *exchange) error {
	for {
		err := ex.await(r.headBy())
		if err == nil || !isTimeout(err) || r.remaining() <= 0 {
			return err
		}
		if r.g.core.spend(r.service) {
			r.prepaid = true
			return err
		}
	}
}

// repeatLeft takes a repeat from the budget, unless the wait for the last answer has
// already taken it.
func (r *request) repeatLeft() bool {
	if r.prepaid {
		r.prepaid = false
		return true
	}
	return r.g.core.spend(r.service)
}

// headBy is when the head of an answer counts as overdue. Only a request that may run
// again is taken to another worker before its deadline.
func (r *request) headBy() time.Time {
	if !r.route.Idempotent() || r.runs+1 >= r.route.MaxAttempts {
		return r.deadline
	}
	by := time.Now().Add(r.g.core.headWait(r.route, r.stage > 0, r.call.meta.PromptTokens))
	if by.After(r.deadline) {
		return r.deadline
	}
	return by
}

// judgeHead decides what becomes of an answer by its head.
func (r *request) judgeHead(ctx context.Context, a attempt) (forward.Outcome, bool) {
	ex := a.ex
	now := elapsed()
	if ex.meta.HasLoad {
		r.g.core.stated(now, a.worker.ID, ex.meta.Load)
	}
	status := ex.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		r.g.core.gone(now, a.worker.ID)
		ex.discard(r.g.pool)
		return forward.WrongWorker, false
	case ex.meta.NotRun:
		r.g.core.ended(a.worker, membership.Succeeded, time.Since(a.started))
		ex.discard(r.g.pool)
		return forward.NotRun, false
	}
	r.ran = true
	latency := time.Since(a.started)
	failed := status >= http.StatusInternalServerError
	r.g.core.observed(a.worker, rollout.Answer{
		Kind: r.route.Name + "/" + a.model, Failed: failed, Worker: a.worker.ID, FirstByte: latency,
		Tokens: r.call.meta.PromptTokens - r.placement.CachedTokens,
	})
	r.runs++
	if failed {
		r.answerFailed = true
		r.g.core.ended(a.worker, membership.Failed, latency)
		if r.route.Idempotent() && r.runs < r.route.MaxAttempts && r.remaining() > minRepeat && !r.headSent {
			ex.discard(r.g.pool)
			return forward.FailedAnswer, false
		}
	} else {
		r.g.core.ended(a.worker, membership.Succeeded, latency)
	}
	if r.route.Kind == forward.Stream && !failed && status < http.StatusMultipleChoices {
		if next, ok := r.escalates(ex); ok {
			r.stage = next
			r.g.metrics.escalations.Inc()
			r.tried = nil
			return escalated, false
		}
		return r.relayStream(ctx, a)
	}
	return r.relayWhole(a)
}

// minRepeat is the least time for which a failed answer is dropped for another attempt.
const minRepeat = 60 * time.Millisecond

// escalates decides whether the answer is dropped for that of a larger model.
func (r *request) escalates(ex *exchange) (int, bool) {
	if !r.modelChosen || r.headSent || r.runs >= r.route.MaxAttempts {
		return r.stage, false
	}
	asked := r.g.core.confidence(elapsed(), r.route.Name, r.route.Target-time.Since(r.started))
	next, ok := forward.NextModel(r.route.Models, r.stage, ex.meta.Confidence, asked)
	return next, ok && r.g.core.spend(r.service)
}

func (r *request) failedAt(a attempt) {
	r.g.core.ended(a.worker, membership.Failed, time.Since(a.started))
}

// discard reads the rest of a short answer so that its connection can be used again.
func (e *exchange) discard(p *pool) {
	if e.resp.ContentLength < 0 || e.resp.ContentLength > maxDiscard {
		e.abandon()
		return
	}
	if _, err := bytes.NewBuffer(nil).ReadFrom(e.resp.Body); err != nil {
		e.abandon()
		return
	}
	e.finish(p)
}

// maxDiscard is the largest answer that is read only to keep its connection.
const maxDiscard = 16 << 10

// copyHead copies the head of a worker's answer.
func (r *request) copyHead(resp *http.Response) {
	out := r.w.Header()
	for name, values := range endToEnd(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil // net/http would add its own
		}
	}
	r.g.closeWhenLeaving(r.w)
}

// logLine writes the one line of the request.
func (r *request) logLine(view *view, refusal *errkind.Error, outcome string) {
	fields := []zap.Field{
		zap.String("request", r.call.meta.RequestID), zap.String("route", r.route.Name), zap.String("customer", r.customer.Name),
		zap.String("outcome", outcome), zap.Int64("config", view.config.Version),
		zap.Int64("config_age_ms", r.g.core.keyView(view).Age(elapsed()).Milliseconds()),
		zap.Any("attempts", r.path), zap.Int("cached_tokens", r.placement.CachedTokens), zap.String("version", r.placement.Worker.Version),
		zap.Int64("first_byte_ms", r.firstByte.Milliseconds()), zap.Int64("total_ms", time.Since(r.started).Milliseconds()),
	}
	if refusal != nil {
		fields = append(fields, zap.String("kind", string(refusal.Kind)), zap.String("reason", refusal.Message), zap.Bool("ran", r.ran))
	}
	if r.lastError != nil {
		fields = append(fields, zap.String("last_error", r.lastError.Error()))
	}
	r.g.requestLog.Info("request has ended", fields...)
}
