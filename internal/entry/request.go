package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
	"github.com/borageflow/borageflow/internal/routing"
)

const (
	// bytesPerToken estimates the length of a prompt before the engine counts it.
	bytesPerToken = 4
	// shortTokens is the answer length up to which a request is a short lookup.
	shortTokens = 128
	// notReadyRetry is the advice while no manifest is in force.
	notReadyRetry = time.Second
)

// request is one request from its arrival until nothing of it is running.
type request struct {
	RequestArrived
	customer *api.Customer
	class    *api.Class
	arrived  time.Time
	deadline time.Time

	promptTokens int
	prefix       uint64
	candidates   routing.Candidates
	wantsSession bool
	token        string

	plan    cascade.Plan
	stage   int
	version string
	// previousVersion and previousConfidence are those of the answer that was
	// escalated to this stage.
	previousVersion    string
	previousConfidence float64
	machine            *retry.Request
	// firstAttempt is the number of attempts of the stages before this one.
	firstAttempt int
	attempts     map[int]*attempt
	part         api.Part

	// fallback is the answer of the stage before, when the class prefers it to none.
	fallback *fallback
	claim    *claims.Key
	granted  bool
	// claimVia is the address of the entry whose Book decided the claim; empty
	// means this entry.
	claimVia string
	// reserved states that the usage buffer holds room for the present stage.
	reserved bool

	first        time.Time
	delivered    int
	inputTokens  int
	outputTokens int
	cost         float64
	answered     bool
	sampled      bool
	// records are the usage records of all stages, and held the answer that waits
	// until a sidecar of another failure domain holds them.
	records []api.UsageRecord
	held    *Answer
	text    []byte
}

// fallback is an answer that was not good enough to be delivered at once.
type fallback struct {
	version, token, text, finishReason string
}

// requestArrived admits a request and starts its first stage.
func (c *Core) requestArrived(now time.Time, e RequestArrived) {
	r := &request{RequestArrived: e, arrived: now, attempts: map[int]*attempt{}}
	if err := c.identify(r); err != nil {
		c.refuseArrival(r, err)
		return
	}
	if err := c.customers.Admit(now, r.customer.Name); err != nil {
		c.counts.refused(r.customer.Name)
		c.refuseArrival(r, err)
		return
	}
	r.deadline = now.Add(c.timeFor(r))
	c.requests[r.Request] = r
	c.setTimer(timer{at: r.deadline, kind: timerDeadline, request: r.Request})
	c.traceArrival(now, r)
	if err := c.begin(now, r); err != nil {
		c.fail(now, r, err)
	}
}

// refuseArrival answers a request that was never admitted.
func (c *Core) refuseArrival(r *request, err *errkind.Error) {
	c.counts.kinds[err.Kind]++
	c.emit(Answer{Request: r.Request, Err: err})
}

// identify finds the customer and the class.
func (c *Core) identify(r *request) *errkind.Error {
	if c.snapshot == nil {
		return errkind.New(errkind.NotReady, "no manifest is in force yet").WithRetryAfter(notReadyRetry)
	}
	customer, ok := c.snapshot.CustomerByKey(r.Key)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "API key is unknown")
	}
	r.customer = customer
	name := r.Class
	if name == "" {
		name = customer.DefaultClass
	}
	class, ok := c.snapshot.Class(name)
	if !ok {
		return errkind.New(errkind.InvalidRequest, fmt.Sprintf("class %q does not exist", name))
	}
	r.class = class
	return nil
}

// claimRetry is the advice when a claim was not decided in time.
const claimRetry = 5 * time.Second

func (c *Core) timeFor(r *request) time.Duration {
	limit := time.Duration(r.class.DeadlineMs) * time.Millisecond
	if r.Deadline > 0 {
		limit = r.Deadline
	}
	if r.Kind == api.RunKindService {
		if operation, ok := c.snapshot.Operation(r.Service, r.Operation); ok {
			limit = min(limit, time.Duration(operation.TimeoutMs)*time.Millisecond)
		}
	}
	return limit
}

func (c *Core) begin(now time.Time, r *request) *errkind.Error {
	if r.Kind == api.RunKindService {
		return c.beginService(now, r)
	}
	return c.beginChat(now, r)
}

func (c *Core) beginChat(now time.Time, r *request) *errkind.Error {
	pin, err := c.pinned(now, r)
	if err != nil {
		return err
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = r.class.MaxOutputTokens
	}
	r.promptTokens = promptTokens(r.Messages)
	r.prefix = prefixOf(r.Messages)
	r.candidates, err = c.filter(r, pin)
	if err != nil {
		return err
	}
	if r.candidates = r.candidates.Fit(r.promptTokens + r.MaxTokens); len(r.candidates.Versions) == 0 {
		return errkind.New(errkind.InvalidRequest, "prompt and answer exceed the context of every allowed version")
	}
	r.plan, err = c.planner.Plan(now, c.planRequest(now, r))
	if err != nil {
		return err
	}
	c.tracePlan(now, r)
	return c.startStage(now, r)
}

// filter narrows the versions. A version whose share was cut to nothing serves
// only pinned sessions, unless no other version is left.
func (c *Core) filter(r *request, pin string) (routing.Candidates, *errkind.Error) {
	if pin != "" {
		return routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, c.fleet.Serves)
	}
	healthy := func(version string) bool { return c.fleet.Serves(version) && c.rollouts.shares.Share(version) > 0 }
	candidates, err := routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, healthy)
	if err != nil && err.Kind == errkind.NoCandidate {
		candidates, err = routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, c.fleet.Serves)
	}
	if err != nil && err.Kind == errkind.NoCandidate && err.RetryAfter == 0 {
		err = err.WithRetryAfter(notReadyRetry)
	}
	return candidates, err
}

func (c *Core) planRequest(now time.Time, r *request) cascade.PlanRequest {
	versions := r.candidates.Plannable()
	request := cascade.PlanRequest{
		Class: r.class, PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens, Remaining: r.deadline.Sub(now),
		Candidates: make([]cascade.Candidate, 0, len(versions)),
	}
	for _, v := range versions {
		wait, _ := c.fleet.WaitEstimate(now, v.Name)
		request.Candidates = append(request.Candidates, cascade.Candidate{
			Version: v.Name, CostPerKiloToken: v.CostPerKiloToken, FirstTokenMs: v.FirstTokenMs, TokenMs: v.TokenMs,
			WaitMs: float64(wait) / float64(time.Millisecond),
		})
	}
	return request
}

// startStage starts the first attempt of the present stage.
func (c *Core) startStage(now time.Time, r *request) *errkind.Error {
	r.version = r.candidates.Resolve(r.plan.Stages[r.stage].Version, c.shareKey(r), c.rollouts.shares.Share)
	if err := c.issueSession(now, r); err != nil {
		return err
	}
	r.sampled = c.cfg.RatingSample > 0 && c.rng.Float64() < c.cfg.RatingSample
	r.text = r.text[:0]
	return c.startMachine(now, r, retry.Params{
		Idempotent: true, Hedge: c.hedgeDelay(r), Deadline: r.deadline, Streamed: c.streamed(r),
		Budget: c.budgets.Of(r.customer.Name),
	})
}

func (c *Core) startMachine(now time.Time, r *request, p retry.Params) *errkind.Error {
	if !r.reserved {
		if err := c.usage.Reserve(); err != nil {
			return err
		}
		r.reserved = true
	}
	if r.machine != nil {
		r.firstAttempt += r.machine.Attempts()
	}
	c.budgets.Of(r.customer.Name).First(now)
	r.machine = retry.New(now, p)
	c.apply(now, r, r.machine.Start(now))
	return nil
}

// streamed reports whether the text of the present stage goes to the caller as
// it arrives. The answer of an earlier stage is held until it is accepted.
func (c *Core) streamed(r *request) bool {
	return r.Stream && r.stage == len(r.plan.Stages)-1
}

// shareKey keeps a session on one side of a traffic share.
func (c *Core) shareKey(r *request) string {
	if r.Session != "" && r.Session != SessionNew {
		return r.Session
	}
	return r.Request
}

func (c *Core) hedgeDelay(r *request) time.Duration {
	if !r.class.Hedge || r.MaxTokens > shortTokens {
		return 0
	}
	if delays, ok := c.delays[delayKey{r.class.Name, r.version}]; ok {
		return delays.HedgeAfter()
	}
	return 0
}

func (c *Core) beginService(now time.Time, r *request) *errkind.Error {
	if _, ok := c.snapshot.Service(r.Service); !ok {
		return errkind.New(errkind.UnknownModel, "service "+r.Service+" does not exist")
	}
	if !c.snapshot.AllowsService(r.customer.Name, r.Service) {
		return errkind.New(errkind.ForbiddenVersion, "customer may not call service "+r.Service)
	}
	operation, ok := c.snapshot.Operation(r.Service, r.Operation)
	if !ok {
		return errkind.New(errkind.UnknownModel, "service "+r.Service+" has no operation "+r.Operation)
	}
	if !c.fleet.ServesService(r.Service) {
		return errkind.New(errkind.NoCandidate, "no backend server runs service "+r.Service).WithRetryAfter(notReadyRetry)
	}
	if operation.Idempotent {
		return c.startService(now, r, true)
	}
	if r.IdempotencyKey == "" {
		return errkind.New(errkind.InvalidRequest, "operation "+r.Operation+" is not idempotent: header Idempotency-Key is required")
	}
	c.claimService(now, r)
	return nil
}

func (c *Core) startService(now time.Time, r *request, idempotent bool) *errkind.Error {
	hedge := time.Duration(0)
	if delays, ok := c.delays[delayKey{r.class.Name, r.Service + "/" + r.Operation}]; ok && idempotent && r.class.Hedge {
		hedge = delays.HedgeAfter()
	}
	return c.startMachine(now, r, retry.Params{
		Idempotent: idempotent, Hedge: hedge, Deadline: r.deadline, Budget: c.budgets.Of(r.customer.Name),
	})
}

// callerGone stops a request that nobody waits for. A claimed call goes on: its
// outcome is recorded for a repeat.
func (c *Core) callerGone(now time.Time, id string) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	if r.claim != nil {
		r.answered = true
		return
	}
	if r.machine != nil {
		c.apply(now, r, r.machine.Handle(now, retry.CallerGone{}))
	}
	c.finish(now, r)
}

func (c *Core) deadlinePassed(now time.Time, r *request) {
	if r.machine == nil {
		c.fail(now, r, errkind.New(errkind.StoreUnavailable, "claim was not decided before the deadline").WithRetryAfter(claimRetry))
		return
	}
	c.apply(now, r, r.machine.Handle(now, retry.DeadlineTimer{}))
}

func (c *Core) hedgeDue(now time.Time, r *request, stage int) {
	if r.stage == stage && r.machine != nil {
		c.apply(now, r, r.machine.Handle(now, retry.HedgeTimer{}))
	}
}

func promptTokens(messages []api.ChatMessage) int {
	total := 0
	for _, m := range messages {
		total += (len(m.Content) + bytesPerToken - 1) / bytesPerToken
	}
	return total
}

// prefixOf is the prefix fingerprint of docs/protocols.md.
func prefixOf(messages []api.ChatMessage) uint64 {
	if len(messages) == 0 {
		return 0
	}
	return xxhash.Sum64String(messages[0].Role + "\x00" + messages[0].Content + "\x00")
}

func digestOf(body json.RawMessage) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func revisionText(r api.Revision) string { return fmt.Sprintf("%d.%d", r.Generation, r.Version) }
