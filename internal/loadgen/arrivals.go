package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
)

// arrival is one scheduled request. Zero fields take the values of the class.
type arrival struct {
	at        time.Duration // since the start of the run
	class     int
	number    int
	prompt    int
	maxTokens int
	prefix    string
	key       string
	session   string
	repeat    bool
}

func microseconds(us float64) time.Duration {
	return time.Duration(us * float64(time.Microsecond))
}

// source yields arrivals in the order of their times.
type source interface {
	next() (arrival, bool)
}

// poisson yields arrivals with exponential gaps and classes by weight.
type poisson struct {
	plan   api.LoadPlan
	rng    *rand.Rand
	at     float64 // seconds
	number int
	total  float64 // sum of weights
}

func newPoisson(plan api.LoadPlan) *poisson {
	p := &poisson{plan: plan, rng: rand.New(rand.NewPCG(uint64(plan.Seed), 1))}
	for _, class := range plan.Classes {
		p.total += class.Weight
	}
	return p
}

func (p *poisson) next() (arrival, bool) {
	if len(p.plan.Classes) == 0 {
		return arrival{}, false
	}
	p.at += p.rng.ExpFloat64() / p.plan.Rate
	if p.at >= p.plan.Seconds || (p.plan.Count > 0 && p.number >= p.plan.Count) {
		return arrival{}, false
	}
	p.number++
	class := p.pick()
	return arrival{
		at: time.Duration(p.at * float64(time.Second)), class: class, number: p.number,
		repeat: p.rng.Float64() < p.plan.Classes[class].RepeatShare,
	}, true
}

func (p *poisson) pick() int {
	left := p.rng.Float64() * p.total
	for i, class := range p.plan.Classes {
		left -= class.Weight
		if left < 0 {
			return i
		}
	}
	return len(p.plan.Classes) - 1
}

// recorded yields the arrivals of a trace within the bounds of the plan.
type recorded struct {
	plan     api.LoadPlan
	arrivals []arrival
	number   int
}

func (r *recorded) next() (arrival, bool) {
	if r.number >= len(r.arrivals) || (r.plan.Count > 0 && r.number >= r.plan.Count) {
		return arrival{}, false
	}
	a := r.arrivals[r.number]
	if a.at.Seconds() >= r.plan.Seconds {
		return arrival{}, false
	}
	r.number++
	a.number = r.number
	return a, true
}
