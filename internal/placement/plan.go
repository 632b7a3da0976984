package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planner decides the moves of one pool.
type Planner struct {
	opts   Options
	demand map[string]*estimate
	moved  map[string]time.Time
	tokens float64
	at     time.Time
}

type estimate struct {
	value float64
	at    time.Time
}

// NewPlanner returns a planner that has made no moves.
func NewPlanner(opts Options) *Planner {
	opts = opts.withDefaults()
	return &Planner{
		opts: opts, demand: map[string]*estimate{}, moved: map[string]time.Time{},
		tokens: float64(opts.LoadBurst),
	}
}

// plan is the state of one Plan call.
type plan struct {
	*Planner
	now      time.Time
	versions []*tally
	replicas []*Replica
	orders   []Order
}

// tally counts the replicas of a version. Held includes those that load it.
type tally struct {
	Version
	demand  float64
	held    int
	serving int
	domains map[string]int
}

// Plan returns the orders to give now. Versions below their minimum come first,
// then the version with the most load per replica takes one from the version
// that has the least to lose. The inputs are not changed.
func (p *Planner) Plan(now time.Time, versions []Version, replicas []Replica) []Order {
	p.refill(now)
	run := &plan{Planner: p, now: now}
	for _, v := range versions {
		run.versions = append(run.versions, &tally{Version: v, demand: p.smooth(now, v), domains: map[string]int{}})
	}
	slices.SortFunc(run.versions, func(a, b *tally) int { return cmp.Compare(a.Name, b.Name) })
	p.forget(run.versions, replicas)
	for _, r := range replicas {
		run.count(&r)
	}
	slices.SortFunc(run.replicas, func(a, b *Replica) int { return cmp.Compare(a.Name, b.Name) })
	for p.tokens >= 1 && run.step() {
		p.tokens--
	}
	return run.orders
}

// TakeLoad takes one load from the rate of the weight store for an order that
// repeats an earlier one. It reports false when the rate is used up.
func (p *Planner) TakeLoad(now time.Time) bool {
	p.refill(now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// TakeOver continues the work of an unknown earlier planner: no load at once, and
// no move for load before the shortest time that the replicas keep a version.
func (p *Planner) TakeOver(now time.Time, replicas []Replica) {
	p.tokens = 0
	for _, r := range replicas {
		p.moved[r.Name] = now
	}
}

func (p *Planner) refill(now time.Time) {
	if !p.at.IsZero() && now.After(p.at) {
		p.tokens += now.Sub(p.at).Minutes() * p.opts.LoadsPerMinute
		p.tokens = math.Min(p.tokens, float64(p.opts.LoadBurst))
	}
	if now.After(p.at) {
		p.at = now
	}
}

// smooth returns the exponentially weighted demand of a version.
func (p *Planner) smooth(now time.Time, v Version) float64 {
	demand := math.Max(v.Demand, 0)
	e, ok := p.demand[v.Name]
	if !ok {
		p.demand[v.Name] = &estimate{demand, now}
		return demand
	}
	if age := now.Sub(e.at); age > 0 {
		e.value += (demand - e.value) * -math.Expm1(-age.Seconds()/p.opts.Smooth.Seconds())
		e.at = now
	}
	return e.value
}

// forget drops what is kept of versions and replicas that are gone.
func (p *Planner) forget(versions []*tally, replicas []Replica) {
	for name := range p.moved {
		if !slices.ContainsFunc(replicas, func(r Replica) bool { return r.Name == name }) {
			delete(p.moved, name)
		}
	}
	for name := range p.demand {
		if !slices.ContainsFunc(versions, func(t *tally) bool { return t.Name == name }) {
			delete(p.demand, name)
		}
	}
}

// count adds a replica to the tallies. Unhealthy ones hold nothing and take no
// order.
func (p *plan) count(r *Replica) {
	if !r.Healthy {
		return
	}
	p.replicas = append(p.replicas, r)
	if t := p.find(cmp.Or(r.Loading, r.Version)); t != nil {
		t.held++
		t.domains[r.FailureDomain]++
		if r.Loading == "" {
			t.serving++
		}
	}
}

func (p *plan) find(name string) *tally {
	for _, t := range p.versions {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (t *tally) least() int {
	if !t.Used {
		return 0
	}
	return max(t.Min, 1)
}

// load returns the demand per replica if n replicas held the version.
func (t *tally) load(n int) float64 {
	switch {
	case !t.Used || t.demand <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return t.demand / float64(n)
}

// step makes one move and reports whether there was one.
func (p *plan) step() bool {
	for _, t := range p.versions {
		if t.held < t.least() && p.give(t, "below its minimum", p.spare) {
			return true
		}
	}
	var busiest *tally
	for _, t := range p.versions {
		if t.Used && (busiest == nil || t.load(t.held) > busiest.load(busiest.held)) {
			busiest = t
		}
	}
	if busiest == nil {
		return false
	}
	if busiest.load(busiest.held) < p.opts.Busy {
		return p.fill()
	}
	moved := p.give(busiest, "load per replica", func(r *Replica) (float64, bool) {
		after, ok := p.spare(r)
		gain := busiest.load(busiest.held) > (1+p.opts.Hysteresis)*after
		return after, ok && gain && !p.dwells(r)
	})
	return moved || p.fill()
}

// fill gives an empty replica to the used version with the most load per replica,
// among equals to the one with the fewest replicas: a paid replica that holds
// nothing does no work.
func (p *plan) fill() bool {
	var best *tally
	for _, t := range p.versions {
		if !t.Used {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(t.load(t.held), best.load(best.held)), cmp.Compare(best.held, t.held)) > 0 {
			best = t
		}
	}
	return best != nil && p.give(best, "empty replica", func(r *Replica) (float64, bool) {
		return 0, r.Version == "" && r.Loading == ""
	})
}

// spare returns the load per replica that the version of r would have without
// r, and whether r may be taken: never below a used version's minimum, counting
// only replicas that serve.
func (p *plan) spare(r *Replica) (after float64, ok bool) {
	if r.Loading != "" {
		return 0, false
	}
	t := p.find(r.Version)
	if t == nil || !t.Used {
		return 0, true
	}
	return t.load(t.held - 1), t.serving-1 >= t.least()
}

func (p *plan) dwells(r *Replica) bool {
	at, ok := p.moved[r.Name]
	return ok && p.now.Sub(at) < p.opts.Dwell
}

// give loads t on the best replica that may be taken: the one whose version
// loses least; among equals, in the failure domain where t has fewest and the
// other version most, then with the fewest running requests.
func (p *plan) give(t *tally, reason string, may func(*Replica) (float64, bool)) bool {
	var best *Replica
	var bestAfter float64
	for _, r := range p.replicas {
		if r.Version == t.Name || r.Loading == t.Name {
			continue
		}
		after, ok := may(r)
		if ok && (best == nil || p.better(t, r, after, best, bestAfter)) {
			best, bestAfter = r, after
		}
	}
	if best == nil {
		return false
	}
	p.move(t, best, reason)
	return true
}

func (p *plan) better(t *tally, a *Replica, afterA float64, b *Replica, afterB float64) bool {
	return cmp.Or(
		cmp.Compare(afterA, afterB),
		cmp.Compare(t.domains[a.FailureDomain], t.domains[b.FailureDomain]),
		cmp.Compare(p.crowd(b), p.crowd(a)),
		cmp.Compare(a.Running, b.Running),
	) < 0
}

// crowd returns how many replicas of its version share r's failure domain.
func (p *plan) crowd(r *Replica) int {
	if t := p.find(r.Version); t != nil {
		return t.domains[r.FailureDomain]
	}
	return 0
}

func (p *plan) move(t *tally, r *Replica, reason string) {
	if old := p.find(r.Version); old != nil {
		old.held--
		old.serving--
		old.domains[r.FailureDomain]--
	}
	t.held++
	t.domains[r.FailureDomain]++
	p.orders = append(p.orders, Order{
		Replica: r.Name, Fence: r.Fence + 1, Unload: r.Version, Load: t.Name, Reason: reason,
	})
	r.Loading = t.Name
	p.moved[r.Name] = p.now
}
