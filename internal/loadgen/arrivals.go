package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
)

// arrival is one scheduled request. Zero prompt, token and prefix fields take the values of the
// class.
type arrival struct {
	at             time.Duration // since the start of the run
	class          int           // index in the classes of the plan
	number         int
	promptTokens   int
	maxTokens      int
	prefix         string
	idempotencyKey string
	session        string
	sendTwice      bool
}

func microseconds(us float64) time.Duration {
	return time.Duration(us * float64(time.Microsecond))
}

// arrivalSource returns arrivals in order of time; the result is false after the last one.
type arrivalSource interface {
	next() (arrival, bool)
}

// poissonArrivals generates Poisson arrivals at the plan's rate and selects classes by
// weight.
type poissonArrivals struct {
	plan        api.LoadPlan
	rng         *rand.Rand
	atSeconds   float64 // since the start of the run
	sent        int
	totalWeight float64 // sum of the class weights
}

func newPoissonArrivals(plan api.LoadPlan) *poissonArrivals {
	p := &poissonArrivals{plan: plan, rng: rand.New(rand.NewPCG(uint64(plan.Seed), 1))}
	for _, class := range plan.Classes {
		p.totalWeight += class.Weight
	}
	return p
}

func (p *poissonArrivals) next() (arrival, bool) {
	if len(p.plan.Classes) == 0 {
		return arrival{}, false
	}
	p.atSeconds += p.rng.ExpFloat64() / p.plan.Rate
	if p.atSeconds >= p.plan.Seconds || (p.plan.Count > 0 && p.sent >= p.plan.Count) {
		return arrival{}, false
	}
	p.sent++
	class := p.pickClass()
	return arrival{
		at: time.Duration(p.atSeconds * float64(time.Second)), class: class, number: p.sent,
		sendTwice: p.rng.Float64() < p.plan.Classes[class].RepeatShare,
	}, true
}

func (p *poissonArrivals) pickClass() int {
	left := p.rng.Float64() * p.totalWeight
	for i, class := range p.plan.Classes {
		left -= class.Weight
		if left < 0 {
			return i
		}
	}
	return len(p.plan.Classes) - 1
}

// traceArrivals returns the arrivals of a trace up to the duration and count of the plan.
type traceArrivals struct {
	plan     api.LoadPlan
	arrivals []arrival
	sent     int
}

func (r *traceArrivals) next() (arrival, bool) {
	if r.sent >= len(r.arrivals) || (r.plan.Count > 0 && r.sent >= r.plan.Count) {
		return arrival{}, false
	}
	a := r.arrivals[r.sent]
	if a.at.Seconds() >= r.plan.Seconds {
		return arrival{}, false
	}
	r.sent++
	a.number = r.sent
	return a, true
}
