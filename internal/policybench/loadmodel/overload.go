package loadmodel

import (
	"fmt"
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
)

// Overload is a run of several entries in front of one backend server.
type Overload struct {
	Seed uint64
	// Load is the offered work relative to the capacity.
	Load     float64
	Entries  int
	Duration time.Duration
	// Customers is the number of customers; the first offers LargeShare of the
	// work and the others the rest in equal parts.
	Customers  int
	LargeShare float64
	Queue      Queue
	Limit      *limits.Concurrency
	// Knee is the number of running requests above which the server slows down
	// sharply; 0 means none. The capacity is that of the knee then.
	Knee int

	sim    *Sim
	server *Server
	result OverloadResult
	live   map[string]*offer
	next   int
}

// Request sizes: lookups of about 20 tokens with 3 s to answer and drafts of
// about 600 tokens with 60 s; four of five requests are lookups.
const (
	lookupTokens   = 20
	draftTokens    = 600
	lookupShare    = 0.8
	lookupDeadline = 3 * time.Second
	draftDeadline  = 60 * time.Second
	forwardDelay   = time.Millisecond
	expireEvery    = 100 * time.Millisecond
	serverSlots    = 32
	// warmUp is left out of every figure.
	warmUp = 30 * time.Second
)

type offer struct {
	item    limits.Item
	arrived time.Time
	tokens  float64
	started bool
}

// Counts are the requests of one customer, in tokens of work where stated.
type Counts struct {
	Offered, Good float64
}

// OverloadResult is what a run measured after its warm-up.
type OverloadResult struct {
	// Capacity is the work the server does in the measured time, in tokens.
	Capacity float64
	// Good is the work of requests answered before their deadline.
	Good     float64
	Answered int
	// Late counts requests answered after their deadline.
	Late int
	// Refused counts refusals, RefusedLater those that waited first.
	Refused, RefusedLater int
	// Kinds counts the refusals by kind, and those that waited first by "later".
	Kinds map[string]int
	// Faults names refusals that were untrue or carried no retry time.
	Faults    []string
	Customers map[string]*Counts
	Lookups   []time.Duration
	Drafts    []time.Duration
}

// Run simulates the overload and returns the figures.
func (o *Overload) Run() OverloadResult {
	o.sim = NewSim(o.Seed)
	o.server = NewServer(o.sim, 10*time.Millisecond, 500*time.Microsecond, o.Knee)
	o.live = map[string]*offer{}
	o.result.Kinds = map[string]int{}
	o.result.Customers = map[string]*Counts{}
	capacity := o.server.Rate(serverSlots)
	if o.Knee > 0 {
		capacity = o.server.Rate(o.Knee)
	}
	mean := lookupShare*lookupTokens + (1-lookupShare)*draftTokens
	for c := range o.Customers {
		share := o.LargeShare
		if c > 0 {
			share = (1 - o.LargeShare) / float64(o.Customers-1)
		}
		name := fmt.Sprintf("customer-%d", c)
		o.result.Customers[name] = &Counts{}
		rate := share * o.Load * capacity / mean / float64(o.Entries)
		for range o.Entries {
			o.sim.Poisson(func() float64 { return rate }, func() { o.arrive(name) })
		}
	}
	if queue, ok := o.Queue.(*limits.FairQueue); ok {
		o.sim.Every(expireEvery, func() bool {
			o.dropped(queue.Expire(o.sim.Now))
			return true
		})
	}
	o.sim.RunFor(warmUp + o.Duration + draftDeadline)
	o.result.Capacity = capacity * o.Duration.Seconds()
	sortDurations(o.result.Lookups)
	sortDurations(o.result.Drafts)
	return o.result
}

func sortDurations(d []time.Duration) {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
}

// measured reports whether a time lies in the measured span. The run goes on for
// the longest deadline after it, so that every request that arrived in the span
// has its outcome.
func (o *Overload) measured(at time.Time) bool {
	age := at.Sub(Epoch)
	return age >= warmUp && age < warmUp+o.Duration
}

func (o *Overload) arrive(customer string) {
	o.next++
	of := &offer{arrived: o.sim.Now}
	size, deadline := float64(draftTokens), draftDeadline
	short := o.sim.Rand.Float64() < lookupShare
	if short {
		size, deadline = lookupTokens, lookupDeadline
	}
	of.tokens = size * (0.5 + o.sim.Rand.Float64())
	of.item = limits.Item{
		ID: fmt.Sprint(o.next), Customer: customer, Weight: 1, Short: short, Cost: size,
		Deadline: o.sim.Now.Add(deadline),
		Expected: Seconds(size * o.server.Step(o.server.Running()+1).Seconds()),
	}
	o.live[of.item.ID] = of
	if o.measured(o.sim.Now) {
		o.result.Customers[customer].Offered += of.tokens
	}
	o.sim.After(forwardDelay, func() { o.offer(of) })
}

func (o *Overload) offer(of *offer) {
	if err := o.Queue.Push(o.sim.Now, of.item); err != nil {
		o.refused(of, err)
	}
	o.dropped(o.Queue.TakeDropped())
	o.pump()
}

func (o *Overload) dropped(all []limits.Dropped) {
	for _, d := range all {
		o.refused(o.live[d.Item.ID], d.Err)
	}
}

func (o *Overload) refused(of *offer, err *errkind.Error) {
	switch {
	case of.started:
		o.result.Faults = append(o.result.Faults, of.item.ID+" was started and refused")
	case o.sim.Now.After(of.item.Deadline.Add(expireEvery - of.item.Expected)):
		o.result.Faults = append(o.result.Faults, of.item.ID+" was held after its deadline became hopeless")
	case err.RetryAfter <= 0 || err.RunState != api.RunStateNotRun:
		o.result.Faults = append(o.result.Faults, of.item.ID+" was refused without a retry time or run state")
	}
	delete(o.live, of.item.ID)
	if !o.measured(of.arrived) {
		return
	}
	o.result.Refused++
	kind := string(err.Kind)
	if o.sim.Now.Sub(of.arrived) > forwardDelay {
		kind = fmt.Sprint("later ", kind, " short=", of.item.Short)
		o.result.RefusedLater++
	}
	o.result.Kinds[kind]++
}

func (o *Overload) limit() int {
	if o.Limit != nil {
		return o.Limit.Limit()
	}
	return serverSlots
}

func (o *Overload) pump() {
	for o.server.Running() < o.limit() {
		item, dropped, ok := o.Queue.Pop(o.sim.Now)
		o.dropped(dropped)
		if !ok {
			return
		}
		of := o.live[item.ID]
		of.started = true
		begun := o.sim.Now
		o.Queue.Started(o.sim.Now, item)
		o.server.Start(of.tokens, func() { o.finished(of, begun) })
	}
}

func (o *Overload) finished(of *offer, begun time.Time) {
	o.Queue.Finished(o.sim.Now, of.item.ID, of.tokens)
	if o.Limit != nil {
		perToken := Seconds(o.sim.Now.Sub(begun).Seconds() / of.tokens)
		o.Limit.Completed(perToken, o.server.Running()+1)
	}
	delete(o.live, of.item.ID)
	o.count(of)
	o.pump()
}

// count adds an answer: to the goodput by the time of its end, to everything
// else by the time of its arrival.
func (o *Overload) count(of *offer) {
	good := !o.sim.Now.After(of.item.Deadline)
	if good && o.measured(o.sim.Now) {
		o.result.Good += of.tokens
	}
	if !o.measured(of.arrived) {
		return
	}
	if !good {
		o.result.Late++
		return
	}
	o.result.Answered++
	o.result.Customers[of.item.Customer].Good += of.tokens
	took := o.sim.Now.Sub(of.arrived)
	if of.item.Short {
		o.result.Lookups = append(o.result.Lookups, took)
	} else {
		o.result.Drafts = append(o.result.Drafts, took)
	}
}

// Goodput returns the good work relative to the capacity.
func (r *OverloadResult) Goodput() float64 { return r.Good / r.Capacity }

// Entitled returns each customer's max-min fair share of the capacity, at most
// what it offered.
func (r *OverloadResult) Entitled() map[string]float64 {
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

// Shares returns the good work of the large customer and of the worst small one,
// each relative to what it is entitled to.
func (r *OverloadResult) Shares() (large, worstSmall float64) {
	worstSmall = 1e9
	for name, entitled := range r.Entitled() {
		got := r.Customers[name].Good / entitled
		if name == "customer-0" {
			large = got
		} else {
			worstSmall = min(worstSmall, got)
		}
	}
	return large, worstSmall
}

// Percentile returns a percentile of sorted durations.
func Percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
