package loadmodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/retry"
)

// Retries is a run of requests over slot servers in failure domains.
type Retries struct {
	Seed             uint64
	Servers, Domains int
	// Load is the offered work relative to the capacity of all servers.
	Load     float64
	Duration time.Duration
	// FailAt kills the first failure domain at that time; 0 means never. Requests
	// go on being sent to it for EjectAfter.
	FailAt, EjectAfter time.Duration
	// StallShare of the attempts take ten times as long.
	StallShare float64
	// Params are those of every request; the deadline is Timeout after its start.
	Params  retry.Params
	Timeout time.Duration
	// Budget gives each of ten customers a budget; nil means none.
	Budget *retry.BudgetOptions
	// HedgeLearned hedges after the learned delay.
	HedgeLearned bool

	sim     *Sim
	servers []*slotServer
	budgets *retry.Budgets
	delays  retry.Delays
	result  RetryResult
}

const (
	retrySlots    = 8
	retryQueue    = 16
	retryService  = 100 * time.Millisecond
	retryCustomer = 10
	stallFactor   = 10
	linkDelay     = time.Millisecond
)

// RetryResult is what a run measured, from FailAt on when that is set.
type RetryResult struct {
	Requests, Attempts, Answered int
	// Live counts the attempts that reached a live server.
	Live    int
	Latency []time.Duration
	// Work is the time that servers spent on attempts.
	Work time.Duration
}

// Amplification returns the attempts per request.
func (r *RetryResult) Amplification() float64 { return float64(r.Attempts) / float64(r.Requests) }

type slotServer struct {
	name    string
	domain  int
	dead    bool
	running int
	queue   []*call
	calls   []*call
}

// call is one attempt at a server.
type call struct {
	server  *slotServer
	request *flight
	number  int
	begun   time.Time
	started bool
	over    bool
}

// flight is one request under way.
type flight struct {
	machine *retry.Request
	arrived time.Time
	calls   map[int]*call
	hedged  bool
}

// Run simulates the requests and returns the figures.
func (r *Retries) Run() RetryResult {
	r.sim = NewSim(r.Seed)
	if r.Budget != nil {
		r.budgets = retry.NewBudgets(*r.Budget)
	}
	for i := range r.Servers {
		r.servers = append(r.servers, &slotServer{name: fmt.Sprint(i), domain: i % r.Domains})
	}
	rate := r.Load * float64(r.Servers*retrySlots) / retryService.Seconds()
	r.sim.Poisson(func() float64 { return rate }, r.arrive)
	if r.FailAt > 0 {
		r.sim.After(r.FailAt, r.kill)
	}
	r.sim.RunFor(r.Duration)
	sortDurations(r.result.Latency)
	return r.result
}

func (r *Retries) measured() bool { return r.sim.Now.Sub(Epoch) >= r.FailAt }

func (r *Retries) kill() {
	for _, s := range r.servers {
		if s.domain != 0 {
			continue
		}
		s.dead = true
		for _, c := range slices.Clone(s.calls) {
			r.end(c, retry.AttemptEnded{Kind: errkind.UpstreamFailed})
		}
	}
}

func (r *Retries) arrive() {
	params := r.Params
	if r.Timeout > 0 {
		params.Deadline = r.sim.Now.Add(r.Timeout)
	}
	if r.HedgeLearned {
		params.Hedge = r.delays.HedgeAfter()
	}
	if r.budgets != nil {
		budget := r.budgets.Of(fmt.Sprint(r.sim.Rand.IntN(retryCustomer)))
		budget.First(r.sim.Now)
		params.Budget = budget
	}
	f := &flight{machine: retry.New(r.sim.Now, params), arrived: r.sim.Now, calls: map[int]*call{}}
	if r.measured() {
		r.result.Requests++
	}
	if r.Timeout > 0 {
		r.sim.After(r.Timeout, func() { r.apply(f, f.machine.Handle(r.sim.Now, retry.DeadlineTimer{})) })
	}
	r.apply(f, f.machine.Start(r.sim.Now))
}

func (r *Retries) apply(f *flight, decisions []retry.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case retry.StartAttempt:
			f.hedged = f.hedged || d.Hedge
			r.sim.After(d.After+linkDelay, func() { r.send(f, d) })
		case retry.SetHedgeTimer:
			r.sim.After(d.After, func() { r.apply(f, f.machine.Handle(r.sim.Now, retry.HedgeTimer{})) })
		case retry.CancelAttempt:
			r.cancel(f.calls[d.Attempt])
		case retry.Succeed:
			r.answered(f)
		}
	}
}

func (r *Retries) answered(f *flight) {
	took := r.sim.Now.Sub(f.arrived)
	if !f.hedged {
		r.delays.Observe(took)
	}
	if r.measured() {
		r.result.Answered++
		r.result.Latency = append(r.result.Latency, took)
	}
}

func (r *Retries) send(f *flight, d retry.StartAttempt) {
	if f.machine.Over() {
		return
	}
	server := r.choose(d.ExcludeServers)
	if r.measured() {
		r.result.Attempts++
	}
	c := &call{server: r.servers[server], request: f, number: d.Attempt}
	f.calls[d.Attempt] = c
	r.apply(f, f.machine.Handle(r.sim.Now, retry.AttemptStarted{Attempt: d.Attempt, Server: c.server.name}))
	c.server.calls = append(c.server.calls, c)
	if r.measured() && !c.server.dead {
		r.result.Live++
	}
	switch {
	case c.server.dead:
		r.end(c, retry.AttemptEnded{Kind: errkind.UpstreamFailed, ConnectionRefusedBeforeSend: true})
	case c.server.running < retrySlots:
		r.begin(c)
	case len(c.server.queue) < retryQueue:
		c.server.queue = append(c.server.queue, c)
	default:
		r.end(c, retry.AttemptEnded{Kind: errkind.Overloaded, RunState: api.RunStateNotRun, RetryAfter: time.Second})
	}
}

// choose picks the less loaded of two random servers that are not excluded and
// not known to be dead.
func (r *Retries) choose(exclude []string) int {
	known := r.FailAt > 0 && r.sim.Now.Sub(Epoch) >= r.FailAt+r.EjectAfter
	pick := func() int {
		i := 0
		for range 20 {
			i = r.sim.Rand.IntN(len(r.servers))
			if (known && r.servers[i].dead) || slices.Contains(exclude, r.servers[i].name) {
				continue
			}
			break
		}
		return i
	}
	a, b := pick(), pick()
	if len(r.servers[b].calls) < len(r.servers[a].calls) {
		return b
	}
	return a
}

func (r *Retries) begin(c *call) {
	c.started, c.begun = true, r.sim.Now
	c.server.running++
	took := retryService.Seconds() * (0.5 + 0.5*r.sim.Rand.ExpFloat64())
	if r.sim.Rand.Float64() < r.StallShare {
		took *= stallFactor
	}
	r.sim.After(Seconds(took), func() {
		if !c.over {
			r.end(c, retry.AttemptEnded{})
		}
	})
}

// leave frees what the call holds at its server.
func (r *Retries) leave(c *call) {
	c.over = true
	s := c.server
	s.calls = slices.DeleteFunc(s.calls, func(o *call) bool { return o == c })
	s.queue = slices.DeleteFunc(s.queue, func(o *call) bool { return o == c })
	if !c.started {
		return
	}
	s.running--
	if r.measured() {
		r.result.Work += r.sim.Now.Sub(c.begun)
	}
	if len(s.queue) > 0 && !s.dead {
		next := s.queue[0]
		s.queue = s.queue[1:]
		r.begin(next)
	}
}

func (r *Retries) cancel(c *call) {
	if c != nil && !c.over {
		r.sim.After(linkDelay, func() {
			if !c.over {
				r.leave(c)
			}
		})
	}
}

func (r *Retries) end(c *call, e retry.AttemptEnded) {
	r.leave(c)
	e.Attempt = c.number
	r.sim.After(linkDelay, func() { r.apply(c.request, c.request.machine.Handle(r.sim.Now, e)) })
}
