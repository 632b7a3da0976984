package loadmodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// RetryModel simulates requests with retries on servers with slots in several failure domains.
type RetryModel struct {
	Seed             uint64
	Servers, Domains int
	// Load is the offered work as a fraction of the capacity of all servers.
	Load     float64
	Duration time.Duration
	// FailAt is the time at which all servers of the first failure domain fail; 0
	// means never. Attempts are still sent to them until EjectAfter later.
	FailAt, EjectAfter time.Duration
	// StallShare is the fraction of attempts that take ten times as long.
	StallShare float64
	// Params are the parameters of every request. Its deadline is Timeout after its
	// start; a Timeout of 0 sets none.
	Params  retry.Params
	Timeout time.Duration
	// Budget sets the retry budget of each of ten customers; nil means no budgets.
	Budget *retry.BudgetOptions
	// UsesLearnedHedgeDelay replaces the hedge delay of Params by one that is estimated
	// from the observed latencies.
	UsesLearnedHedgeDelay bool

	sim         *Sim
	servers     []*attemptServer
	budgets     *retry.Budgets
	hedgeDelays retry.HedgeDelayEstimator
	result      RetryResult
}

const (
	slotsPerServer  = 8
	queuePerServer  = 16
	meanServiceTime = 100 * time.Millisecond
	retryCustomers  = 10
	stallFactor     = 10
	linkDelay       = time.Millisecond
)

// RetryResult holds the figures of a RetryModel run, counted from FailAt if that is set. Latency
// holds the sorted latencies of the answered requests.
type RetryResult struct {
	Requests, Attempts, Answered int
	// LiveAttempts is the number of attempts that reached a server that had not failed.
	LiveAttempts int
	Latency      []time.Duration
	// Work is the total time that servers spent on attempts.
	Work time.Duration
}

// Amplification returns the number of attempts per request.
func (r *RetryResult) Amplification() float64 { return float64(r.Attempts) / float64(r.Requests) }

// attemptServer is a server with slotsPerServer slots and a queue. attempts holds the queued and
// the running attempts.
type attemptServer struct {
	name     string
	domain   int
	failed   bool
	running  int
	queue    []*serverAttempt
	attempts []*serverAttempt
}

// serverAttempt is an attempt of a request at a server, queued or running.
type serverAttempt struct {
	server    *attemptServer
	request   *retryRequest
	number    int
	startedAt time.Time
	started   bool
	ended     bool
}

// retryRequest is a request with its attempts by number.
type retryRequest struct {
	state     *retry.Request
	arrivedAt time.Time
	attempts  map[int]*serverAttempt
	hedged    bool
}

// Run simulates the requests for Duration and returns the figures. It may be called once.
func (r *RetryModel) Run() RetryResult {
	r.sim = NewSim(r.Seed)
	if r.Budget != nil {
		r.budgets = retry.NewBudgets(*r.Budget)
	}
	for i := range r.Servers {
		r.servers = append(r.servers, &attemptServer{name: fmt.Sprint(i), domain: i % r.Domains})
	}
	rate := r.Load * float64(r.Servers*slotsPerServer) / meanServiceTime.Seconds()
	r.sim.Poisson(func() float64 { return rate }, r.startRequest)
	if r.FailAt > 0 {
		r.sim.After(r.FailAt, r.failDomain)
	}
	r.sim.RunFor(r.Duration)
	sortDurations(r.result.Latency)
	return r.result
}

func (r *RetryModel) inMeasuredTime() bool { return r.sim.Now.Sub(Epoch) >= r.FailAt }

func (r *RetryModel) failDomain() {
	for _, s := range r.servers {
		if s.domain != 0 {
			continue
		}
		s.failed = true
		for _, attempt := range slices.Clone(s.attempts) {
			r.endAttempt(attempt, retry.AttemptEnded{Kind: errkind.UpstreamFailed})
		}
	}
}

func (r *RetryModel) startRequest() {
	params := r.Params
	if r.Timeout > 0 {
		params.Deadline = r.sim.Now.Add(r.Timeout)
	}
	if r.UsesLearnedHedgeDelay {
		params.Hedge = r.hedgeDelays.HedgeDelay()
	}
	if r.budgets != nil {
		budget := r.budgets.ForCustomer(fmt.Sprint(r.sim.Rand.IntN(retryCustomers)))
		budget.RecordFirstAttempt(r.sim.Now)
		params.Budget = budget
	}
	request := &retryRequest{state: retry.New(r.sim.Now, params), arrivedAt: r.sim.Now, attempts: map[int]*serverAttempt{}}
	if r.inMeasuredTime() {
		r.result.Requests++
	}
	if r.Timeout > 0 {
		r.sim.After(r.Timeout, func() { r.applyDecisions(request, request.state.Handle(r.sim.Now, retry.DeadlineTimer{})) })
	}
	r.applyDecisions(request, request.state.Start(r.sim.Now))
}

func (r *RetryModel) applyDecisions(request *retryRequest, decisions []retry.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case retry.StartAttempt:
			request.hedged = request.hedged || d.Hedge
			r.sim.After(d.After+linkDelay, func() { r.sendAttempt(request, d) })
		case retry.SetHedgeTimer:
			r.sim.After(d.After, func() { r.applyDecisions(request, request.state.Handle(r.sim.Now, retry.HedgeTimer{})) })
		case retry.CancelAttempt:
			r.cancelAttempt(request.attempts[d.Attempt])
		case retry.Succeed:
			r.recordAnswer(request)
		}
	}
}

func (r *RetryModel) recordAnswer(request *retryRequest) {
	latency := r.sim.Now.Sub(request.arrivedAt)
	if !request.hedged {
		r.hedgeDelays.Observe(latency)
	}
	if r.inMeasuredTime() {
		r.result.Answered++
		r.result.Latency = append(r.result.Latency, latency)
	}
}

func (r *RetryModel) sendAttempt(request *retryRequest, d retry.StartAttempt) {
	if request.state.Finished() {
		return
	}
	server := r.chooseServer(d.ExcludeServers)
	if r.inMeasuredTime() {
		r.result.Attempts++
	}
	attempt := &serverAttempt{server: r.servers[server], request: request, number: d.Attempt}
	request.attempts[d.Attempt] = attempt
	r.applyDecisions(request, request.state.Handle(r.sim.Now, retry.AttemptStarted{Attempt: d.Attempt, Server: attempt.server.name}))
	attempt.server.attempts = append(attempt.server.attempts, attempt)
	if r.inMeasuredTime() && !attempt.server.failed {
		r.result.LiveAttempts++
	}
	switch {
	case attempt.server.failed:
		r.endAttempt(attempt, retry.AttemptEnded{Kind: errkind.UpstreamFailed, ConnectionRefusedBeforeSend: true})
	case attempt.server.running < slotsPerServer:
		r.runAttempt(attempt)
	case len(attempt.server.queue) < queuePerServer:
		attempt.server.queue = append(attempt.server.queue, attempt)
	default:
		r.endAttempt(attempt, retry.AttemptEnded{Kind: errkind.Overloaded, RunState: api.RunStateNotRun, RetryAfter: time.Second})
	}
}

// chooseServer returns the index of the server with fewer attempts of two random ones. It skips
// excluded servers and, from EjectAfter after the failure, failed ones, in up to 20 draws.
func (r *RetryModel) chooseServer(exclude []string) int {
	ejected := r.FailAt > 0 && r.sim.Now.Sub(Epoch) >= r.FailAt+r.EjectAfter
	pick := func() int {
		i := 0
		for range 20 {
			i = r.sim.Rand.IntN(len(r.servers))
			if (ejected && r.servers[i].failed) || slices.Contains(exclude, r.servers[i].name) {
				continue
			}
			break
		}
		return i
	}
	a, b := pick(), pick()
	if len(r.servers[b].attempts) < len(r.servers[a].attempts) {
		return b
	}
	return a
}

func (r *RetryModel) runAttempt(attempt *serverAttempt) {
	attempt.started, attempt.startedAt = true, r.sim.Now
	attempt.server.running++
	// Half of the mean is fixed and half is exponentially distributed.
	seconds := meanServiceTime.Seconds() * (0.5 + 0.5*r.sim.Rand.ExpFloat64())
	if r.sim.Rand.Float64() < r.StallShare {
		seconds *= stallFactor
	}
	r.sim.After(Seconds(seconds), func() {
		if !attempt.ended {
			r.endAttempt(attempt, retry.AttemptEnded{})
		}
	})
}

// removeAttempt removes an attempt from its server and runs the next queued one.
func (r *RetryModel) removeAttempt(attempt *serverAttempt) {
	attempt.ended = true
	s := attempt.server
	s.attempts = slices.DeleteFunc(s.attempts, func(o *serverAttempt) bool { return o == attempt })
	s.queue = slices.DeleteFunc(s.queue, func(o *serverAttempt) bool { return o == attempt })
	if !attempt.started {
		return
	}
	s.running--
	if r.inMeasuredTime() {
		r.result.Work += r.sim.Now.Sub(attempt.startedAt)
	}
	if len(s.queue) > 0 && !s.failed {
		next := s.queue[0]
		s.queue = s.queue[1:]
		r.runAttempt(next)
	}
}

func (r *RetryModel) cancelAttempt(attempt *serverAttempt) {
	if attempt != nil && !attempt.ended {
		r.sim.After(linkDelay, func() {
			if !attempt.ended {
				r.removeAttempt(attempt)
			}
		})
	}
}

func (r *RetryModel) endAttempt(attempt *serverAttempt, e retry.AttemptEnded) {
	r.removeAttempt(attempt)
	e.Attempt = attempt.number
	r.sim.After(linkDelay, func() { r.applyDecisions(attempt.request, attempt.request.state.Handle(r.sim.Now, e)) })
}
