package loadmodel

import (
	"fmt"
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// Overload simulates several entries that send requests to one backend server.
type Overload struct {
	Seed uint64
	// Load is the offered work as a fraction of the capacity.
	Load     float64
	Entries  int
	Duration time.Duration
	// Customers is the number of customers. The first offers the fraction LargeShare
	// of the work and the others equal parts of the rest.
	Customers  int
	LargeShare float64
	Queue      Queue
	Limit      *limits.ConcurrencyLimiter
	// Knee is the number of running requests above which the server slows down
	// sharply; 0 means none. If set, the capacity is the rate at Knee requests.
	Knee int

	sim          *Sim
	server       *Server
	result       OverloadResult
	pending      map[string]*overloadRequest
	requestCount int
}

// Requests are lookups of about 20 tokens with a deadline of 3 s and drafts of about 600 tokens
// with a deadline of 60 s. Four of five requests are lookups.
const (
	lookupTokens   = 20
	draftTokens    = 600
	lookupShare    = 0.8
	lookupDeadline = 3 * time.Second
	draftDeadline  = 60 * time.Second
	forwardDelay   = time.Millisecond
	expireInterval = 100 * time.Millisecond
	serverSlots    = 32
	// overloadWarmUp is the time at the start that no figure includes.
	overloadWarmUp = 30 * time.Second
)

type overloadRequest struct {
	item      limits.Item
	arrivedAt time.Time
	tokens    float64
	started   bool
}

// Counts holds the work of one customer, in tokens: of all its requests, and of those answered
// before their deadline.
type Counts struct {
	Offered, Good float64
}

// OverloadResult holds the figures of an Overload run after its warm-up. Lookups and Drafts are
// the sorted latencies of the answers before their deadline.
type OverloadResult struct {
	// Capacity is the work that the server can do in the measured time, in tokens.
	Capacity float64
	// GoodTokens is the work of the requests answered before their deadline, in tokens.
	GoodTokens float64
	Answered   int
	// Late is the number of requests answered after their deadline.
	Late int
	// Refused is the number of refused requests and RefusedAfterWait the number of those
	// that were queued first.
	Refused, RefusedAfterWait int
	// RefusalsByKind is the number of refusals by error kind. Keys of requests that were queued
	// first start with "later".
	RefusalsByKind map[string]int
	// Violations describes the refusals of started requests, those that came too late, and
	// those without a retry time or run state.
	Violations []string
	Customers  map[string]*Counts
	Lookups    []time.Duration
	Drafts     []time.Duration
}

// Run simulates the overload for a warm-up and Duration and returns the figures. It may be
// called once.
func (o *Overload) Run() OverloadResult {
	o.sim = NewSim(o.Seed)
	o.server = NewServer(o.sim, 10*time.Millisecond, 500*time.Microsecond, o.Knee)
	o.pending = map[string]*overloadRequest{}
	o.result.RefusalsByKind = map[string]int{}
	o.result.Customers = map[string]*Counts{}
	capacity := o.server.TokensPerSecond(serverSlots)
	if o.Knee > 0 {
		capacity = o.server.TokensPerSecond(o.Knee)
	}
	meanTokens := lookupShare*lookupTokens + (1-lookupShare)*draftTokens
	for c := range o.Customers {
		share := o.LargeShare
		if c > 0 {
			share = (1 - o.LargeShare) / float64(o.Customers-1)
		}
		name := fmt.Sprintf("customer-%d", c)
		o.result.Customers[name] = &Counts{}
		rate := share * o.Load * capacity / meanTokens / float64(o.Entries)
		for range o.Entries {
			o.sim.Poisson(func() float64 { return rate }, func() { o.startRequest(name) })
		}
	}
	if queue, ok := o.Queue.(*limits.FairQueue); ok {
		o.sim.Every(expireInterval, func() bool {
			o.recordDropped(queue.Expire(o.sim.Now))
			return true
		})
	}
	o.sim.RunFor(overloadWarmUp + o.Duration + draftDeadline)
	o.result.Capacity = capacity * o.Duration.Seconds()
	sortDurations(o.result.Lookups)
	sortDurations(o.result.Drafts)
	return o.result
}

func sortDurations(d []time.Duration) {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
}

// inMeasuredTime reports whether a time lies in the measured time. The simulation continues for
// the longest deadline after it, so that every request that arrived in it has an outcome.
func (o *Overload) inMeasuredTime(at time.Time) bool {
	age := at.Sub(Epoch)
	return age >= overloadWarmUp && age < overloadWarmUp+o.Duration
}

func (o *Overload) startRequest(customer string) {
	o.requestCount++
	request := &overloadRequest{arrivedAt: o.sim.Now}
	size, deadline := float64(draftTokens), draftDeadline
	short := o.sim.Rand.Float64() < lookupShare
	if short {
		size, deadline = lookupTokens, lookupDeadline
	}
	request.tokens = size * (0.5 + o.sim.Rand.Float64())
	request.item = limits.Item{
		ID: fmt.Sprint(o.requestCount), Customer: customer, Weight: 1, Short: short, Cost: size,
		Deadline: o.sim.Now.Add(deadline),
		Expected: Seconds(size * o.server.StepTime(o.server.Running()+1).Seconds()),
	}
	o.pending[request.item.ID] = request
	if o.inMeasuredTime(o.sim.Now) {
		o.result.Customers[customer].Offered += request.tokens
	}
	o.sim.After(forwardDelay, func() { o.enqueue(request) })
}

func (o *Overload) enqueue(request *overloadRequest) {
	if err := o.Queue.Push(o.sim.Now, request.item); err != nil {
		o.recordRefusal(request, err)
	}
	o.recordDropped(o.Queue.TakeDropped())
	o.startQueued()
}

func (o *Overload) recordDropped(all []limits.Dropped) {
	for _, d := range all {
		o.recordRefusal(o.pending[d.Item.ID], d.Err)
	}
}

func (o *Overload) recordRefusal(request *overloadRequest, err *errkind.Error) {
	switch {
	case request.started:
		o.result.Violations = append(o.result.Violations, request.item.ID+" was started and refused")
	case o.sim.Now.After(request.item.Deadline.Add(expireInterval - request.item.Expected)):
		o.result.Violations = append(o.result.Violations, request.item.ID+" was kept in the queue after it could no longer meet its deadline")
	case err.RetryAfter <= 0 || err.RunState != api.RunStateNotRun:
		o.result.Violations = append(o.result.Violations, request.item.ID+" was refused without a retry time or run state")
	}
	delete(o.pending, request.item.ID)
	if !o.inMeasuredTime(request.arrivedAt) {
		return
	}
	o.result.Refused++
	kind := string(err.Kind)
	if o.sim.Now.Sub(request.arrivedAt) > forwardDelay {
		kind = fmt.Sprint("later ", kind, " short=", request.item.Short)
		o.result.RefusedAfterWait++
	}
	o.result.RefusalsByKind[kind]++
}

func (o *Overload) runningLimit() int {
	if o.Limit != nil {
		return o.Limit.Limit()
	}
	return serverSlots
}

func (o *Overload) startQueued() {
	for o.server.Running() < o.runningLimit() {
		item, dropped, ok := o.Queue.Pop(o.sim.Now)
		o.recordDropped(dropped)
		if !ok {
			return
		}
		request := o.pending[item.ID]
		request.started = true
		startedAt := o.sim.Now
		o.Queue.Started(o.sim.Now, item)
		o.server.Start(request.tokens, func() { o.finishRequest(request, startedAt) })
	}
}

func (o *Overload) finishRequest(request *overloadRequest, startedAt time.Time) {
	o.Queue.Finished(o.sim.Now, request.item.ID, request.tokens)
	if o.Limit != nil {
		perToken := Seconds(o.sim.Now.Sub(startedAt).Seconds() / request.tokens)
		o.Limit.RecordCompletion(perToken, o.server.Running()+1)
	}
	delete(o.pending, request.item.ID)
	o.recordAnswer(request)
	o.startQueued()
}

// recordAnswer counts an answer: in the goodput if it ended in the measured time, in all other
// figures if its request arrived in the measured time.
func (o *Overload) recordAnswer(request *overloadRequest) {
	good := !o.sim.Now.After(request.item.Deadline)
	if good && o.inMeasuredTime(o.sim.Now) {
		o.result.GoodTokens += request.tokens
	}
	if !o.inMeasuredTime(request.arrivedAt) {
		return
	}
	if !good {
		o.result.Late++
		return
	}
	o.result.Answered++
	o.result.Customers[request.item.Customer].Good += request.tokens
	latency := o.sim.Now.Sub(request.arrivedAt)
	if request.item.Short {
		o.result.Lookups = append(o.result.Lookups, latency)
	} else {
		o.result.Drafts = append(o.result.Drafts, latency)
	}
}

// Goodput returns the work answered before its deadline as a fraction of the capacity.
func (r *OverloadResult) Goodput() float64 { return r.GoodTokens / r.Capacity }

// FairShares returns each customer's max-min fair share of the capacity, in tokens. It is at most
// the work that the customer offered.
func (r *OverloadResult) FairShares() map[string]float64 {
	out := map[string]float64{}
	left, names := r.Capacity, []string{}
	for name := range r.Customers {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return r.Customers[names[i]].Offered < r.Customers[names[j]].Offered })
	for i, name := range names {
		fair := left / float64(len(names)-i)
		out[name] = min(fair, r.Customers[name].Offered)
		left -= out[name]
	}
	return out
}

// GoodRelativeToFairShare returns the work answered before its deadline relative to the fair
// share, for the large customer and for the small customer with the lowest value.
func (r *OverloadResult) GoodRelativeToFairShare() (large, worstSmall float64) {
	worstSmall = 1e9
	for name, fairShare := range r.FairShares() {
		got := r.Customers[name].Good / fairShare
		if name == "customer-0" {
			large = got
		} else {
			worstSmall = min(worstSmall, got)
		}
	}
	return large, worstSmall
}

// Quantile returns the q-quantile, q being 0 to 1, of sorted durations, or 0 for none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
