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
	// promptBytesPerToken estimates the tokens of a prompt before the engine
	// counts them.
	promptBytesPerToken = 4
	// maxShortAnswerTokens is the longest answer of a short chat request.
	// Longer ones are never hedged.
	maxShortAnswerTokens = 128
	// notReadyRetryAfter is the retry delay given to callers while no manifest
	// is in force or no backend server is ready.
	notReadyRetryAfter = time.Second
)

// request is the state of a caller's request from its arrival until all its
// attempts have ended or are no longer needed.
type request struct {
	RequestArrived
	customer  *api.Customer
	class     *api.Class
	arrivedAt time.Time
	deadline  time.Time

	// promptTokens is an estimate and prefix the fingerprint of the first
	// message.
	promptTokens int
	prefix       uint64
	candidates   routing.Candidates
	wantsSession bool
	sessionToken string

	plan    cascade.Plan
	stage   int
	version string
	// previousVersion and previousConfidence describe the answer of the
	// previous stage, which was escalated to this one.
	previousVersion    string
	previousConfidence float64
	retryMachine       *retry.Request
	// earlierAttempts is the number of attempts of all earlier stages. The retry
	// state machine numbers the attempts of the current stage from 1.
	earlierAttempts int
	attempts        map[int]*attempt
	// currentPart is the part that the retry state machine is deciding on.
	currentPart api.Part

	// fallback is the answer of the previous stage, for a class that prefers it
	// to an error; otherwise nil.
	fallback *fallback
	// claim is set for non-idempotent service calls. claimGranted states that
	// the claim was granted and its end is not yet reported.
	claim        *claims.Key
	claimGranted bool
	// claimWriter is the address of the entry that decided the claim; empty
	// means this entry.
	claimWriter string
	// usageReserved states that the usage buffer has reserved space for the
	// record of the current stage.
	usageReserved bool

	firstTokenAt     time.Time
	deliveredTokens  int
	inputTokens      int
	outputTokens     int
	cost             float64
	answered         bool
	sampledForRating bool
	// usageRecords are the records of all stages. deferredAnswer waits until a
	// sidecar in another failure domain has a copy of them; otherwise nil.
	usageRecords   []api.UsageRecord
	deferredAnswer *Answer
	// answerText is the text of the current stage; it is sent for rating.
	answerText []byte
}

// fallback is a low-confidence answer that is used if the next stage fails.
type fallback struct {
	version, token, text, finishReason string
}

// handleRequestArrived admits a request and starts its first stage.
func (c *Core) handleRequestArrived(now time.Time, e RequestArrived) {
	r := &request{RequestArrived: e, arrivedAt: now, attempts: map[int]*attempt{}}
	if err := c.resolveCustomerAndClass(r); err != nil {
		c.refuseArrival(r, err)
		return
	}
	r.deadline = now.Add(c.requestTimeout(r))
	err := c.refuseWhileLeaving(now, r)
	if err == nil {
		err = c.customerLimiter.Admit(now, r.customer.Name)
	}
	if err != nil {
		c.counts.countRefused(r.customer.Name)
		c.refuseArrival(r, err)
		return
	}
	c.requests[r.Request] = r
	c.setTimer(timer{fireAt: r.deadline, kind: timerDeadline, request: r.Request})
	c.traceArrival(now, r)
	if err := c.startRequest(now, r); err != nil {
		c.fail(now, r, err)
	}
}

// refuseArrival answers a request that was not admitted.
func (c *Core) refuseArrival(r *request, err *errkind.Error) {
	c.counts.errorsByKind[err.Kind]++
	c.emit(Answer{Request: r.Request, Err: err})
}

// resolveCustomerAndClass looks up the customer of the API key and the request
// class.
func (c *Core) resolveCustomerAndClass(r *request) *errkind.Error {
	if c.snapshot == nil {
		return errkind.New(errkind.NotReady, "no manifest is in force yet").WithRetryAfter(notReadyRetryAfter)
	}
	customer, ok := c.snapshot.CustomerByKey(r.APIKey)
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

// claimRetryAfter is the retry delay given to callers when a claim was not
// decided in time.
const claimRetryAfter = 5 * time.Second

// requestTimeout returns the time allowed for a request: that of the caller or
// else of the class, and at most the timeout of a service operation.
func (c *Core) requestTimeout(r *request) time.Duration {
	limit := time.Duration(r.class.DeadlineMs) * time.Millisecond
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if r.Kind == api.RunKindService {
		if operation, ok := c.snapshot.Operation(r.Service, r.Operation); ok {
			limit = min(limit, time.Duration(operation.TimeoutMs)*time.Millisecond)
		}
	}
	return limit
}

func (c *Core) startRequest(now time.Time, r *request) *errkind.Error {
	if r.Kind == api.RunKindService {
		return c.startServiceCall(now, r)
	}
	return c.startChat(now, r)
}

func (c *Core) startChat(now time.Time, r *request) *errkind.Error {
	pin, err := c.pinnedVersion(now, r)
	if err != nil {
		return err
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = r.class.MaxOutputTokens
	}
	r.promptTokens = promptTokens(r.Messages)
	r.prefix = prefixFingerprint(r.Messages)
	r.candidates, err = c.filterVersions(r, pin)
	if err != nil {
		return err
	}
	if r.candidates = r.candidates.WithinContext(r.promptTokens + r.MaxTokens); len(r.candidates.Versions) == 0 {
		return errkind.New(errkind.InvalidRequest, "prompt and maximum answer exceed the context length of every allowed version")
	}
	r.plan, err = c.planner.Plan(now, c.planRequest(now, r))
	if err != nil {
		return err
	}
	c.tracePlan(now, r)
	return c.startStage(now, r)
}

// filterVersions returns the versions that may serve a request. A version whose
// traffic share was cut to zero serves only sessions pinned to it, unless no
// other version is available.
func (c *Core) filterVersions(r *request, pin string) (routing.Candidates, *errkind.Error) {
	if pin != "" {
		return routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, c.fleet.ServesVersion)
	}
	healthy := func(version string) bool {
		return c.fleet.ServesVersion(version) && c.rollouts.shares.Share(version) > 0
	}
	candidates, err := routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, healthy)
	if err != nil && err.Kind == errkind.NoCandidate {
		candidates, err = routing.Filter(c.snapshot, r.customer.Name, r.Model, r.class, pin, c.fleet.ServesVersion)
	}
	if err != nil && err.Kind == errkind.NoCandidate && err.RetryAfter == 0 {
		err = err.WithRetryAfter(notReadyRetryAfter)
	}
	return candidates, err
}

// planRequest returns the input of the cascade planner.
func (c *Core) planRequest(now time.Time, r *request) cascade.PlanRequest {
	versions := r.candidates.Plannable()
	request := cascade.PlanRequest{
		Class: r.class, PromptTokens: r.promptTokens, MaxTokens: r.MaxTokens, Remaining: r.deadline.Sub(now),
		Candidates: make([]cascade.Candidate, 0, len(versions)),
	}
	for _, v := range versions {
		wait, _ := c.fleet.EstimateQueueTime(now, v.Name)
		request.Candidates = append(request.Candidates, cascade.Candidate{
			Version: v.Name, CostPerKiloToken: v.CostPerKiloToken, FirstTokenMs: v.FirstTokenMs, TokenMs: v.TokenMs,
			WaitMs: float64(wait) / float64(time.Millisecond),
		})
	}
	return request
}

// startStage starts the first attempt of the current stage.
func (c *Core) startStage(now time.Time, r *request) *errkind.Error {
	r.version = r.candidates.ResolveRollout(r.plan.Stages[r.stage].Version, c.trafficShareKey(r), c.rollouts.shares.Share)
	if err := c.issueSession(now, r); err != nil {
		return err
	}
	r.sampledForRating = c.cfg.RatingSampleRate > 0 && c.rng.Float64() < c.cfg.RatingSampleRate
	r.answerText = r.answerText[:0]
	return c.startRetryMachine(now, r, retry.Params{
		Idempotent: true, Hedge: c.hedgeDelay(r), Deadline: r.deadline, Streamed: c.isStreamed(r),
		Budget: c.retryBudgets.ForCustomer(r.customer.Name),
	})
}

// startRetryMachine reserves a usage record and starts the first attempt of a
// stage. It returns an error if the usage buffer is full.
func (c *Core) startRetryMachine(now time.Time, r *request, p retry.Params) *errkind.Error {
	if !r.usageReserved {
		if err := c.usage.Reserve(); err != nil {
			return err
		}
		r.usageReserved = true
	}
	if r.retryMachine != nil {
		r.earlierAttempts += r.retryMachine.AttemptCount()
	}
	c.retryBudgets.ForCustomer(r.customer.Name).RecordFirstAttempt(now)
	r.retryMachine = retry.New(now, p)
	c.applyRetryDecisions(now, r, r.retryMachine.Start(now))
	return nil
}

// isStreamed reports whether text of the current stage is sent to the caller as
// it arrives. Only the last stage is streamed, because an earlier answer may be
// escalated.
func (c *Core) isStreamed(r *request) bool {
	return r.Stream && r.stage == len(r.plan.Stages)-1
}

// trafficShareKey returns the key that is hashed to choose a version by traffic
// share. All requests of a session use the same key.
func (c *Core) trafficShareKey(r *request) string {
	if r.Session != "" && r.Session != SessionNew {
		return r.Session
	}
	return r.Request
}

// hedgeDelay returns the delay after which a second attempt is started; 0 means
// none.
func (c *Core) hedgeDelay(r *request) time.Duration {
	if !r.class.Hedge || r.MaxTokens > maxShortAnswerTokens {
		return 0
	}
	if estimator, ok := c.hedgeDelays[hedgeDelayKey{r.class.Name, r.version}]; ok {
		return estimator.HedgeDelay()
	}
	return 0
}

// startServiceCall checks a service call and starts it. A non-idempotent call
// starts once its claim is granted.
func (c *Core) startServiceCall(now time.Time, r *request) *errkind.Error {
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
		return errkind.New(errkind.NoCandidate, "no backend server runs service "+r.Service).WithRetryAfter(notReadyRetryAfter)
	}
	if operation.Idempotent {
		return c.startServiceAttempts(now, r, true)
	}
	if r.IdempotencyKey == "" {
		return errkind.New(errkind.InvalidRequest, "operation "+r.Operation+" is not idempotent: header Idempotency-Key is required")
	}
	c.requestClaim(now, r)
	return nil
}

// startServiceAttempts starts the first attempt of a service call. Only
// idempotent calls are hedged.
func (c *Core) startServiceAttempts(now time.Time, r *request, idempotent bool) *errkind.Error {
	hedge := time.Duration(0)
	if estimator, ok := c.hedgeDelays[hedgeDelayKey{r.class.Name, r.Service + "/" + r.Operation}]; ok && idempotent && r.class.Hedge {
		hedge = estimator.HedgeDelay()
	}
	return c.startRetryMachine(now, r, retry.Params{
		Idempotent: idempotent, Hedge: hedge, Deadline: r.deadline, Budget: c.retryBudgets.ForCustomer(r.customer.Name),
	})
}

// handleCallerDisconnected stops the request of a caller that has disconnected.
// A claimed call keeps running, so that its outcome is recorded for a request
// with the same idempotency key.
func (c *Core) handleCallerDisconnected(now time.Time, id string) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	if r.claim != nil {
		r.answered = true
		return
	}
	if r.retryMachine != nil {
		c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.CallerDisconnected{}))
	}
	c.finishRequest(now, r)
}

// handleDeadline passes the deadline to the retry state machine. A request
// without one still waits for its claim and fails.
func (c *Core) handleDeadline(now time.Time, r *request) {
	if r.retryMachine == nil {
		c.fail(now, r, errkind.New(errkind.StoreUnavailable, "claim was not decided before the deadline of the request").WithRetryAfter(claimRetryAfter))
		return
	}
	c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.DeadlineTimer{}))
}

func (c *Core) handleHedgeTimer(now time.Time, r *request, stage int) {
	if r.stage == stage && r.retryMachine != nil {
		c.applyRetryDecisions(now, r, r.retryMachine.Handle(now, retry.HedgeTimer{}))
	}
}

func promptTokens(messages []api.ChatMessage) int {
	total := 0
	for _, m := range messages {
		total += (len(m.Content) + promptBytesPerToken - 1) / promptBytesPerToken
	}
	return total
}

// prefixFingerprint returns the xxHash of the first message: its role and its
// content, each followed by a zero byte. Engines compute the same value when they
// report cached prefixes. It returns 0 without messages.
func prefixFingerprint(messages []api.ChatMessage) uint64 {
	if len(messages) == 0 {
		return 0
	}
	return xxhash.Sum64String(messages[0].Role + "\x00" + messages[0].Content + "\x00")
}

func sha256Hex(body json.RawMessage) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func revisionText(r api.Revision) string { return fmt.Sprintf("%d.%d", r.Generation, r.Version) }
