package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/placement"
)

type pool struct {
	now      time.Time
	planner  *placement.Planner
	versions []placement.Version
	replicas []placement.Replica
	orders   []time.Time
}

func (p *pool) serving(version string) int {
	n := 0
	for _, r := range p.replicas {
		if r.Healthy && r.Version == version && r.Loading == "" {
			n++
		}
	}
	return n
}

func (p *pool) find(t *rapid.T, name string) *placement.Replica {
	for i := range p.replicas {
		if p.replicas[i].Name == name {
			return &p.replicas[i]
		}
	}
	t.Fatalf("order for unknown replica %s", name)
	return nil
}

func (p *pool) plan(t *rapid.T) {
	before := map[string]int{}
	for _, v := range p.versions {
		before[v.Name] = p.serving(v.Name)
	}
	for _, o := range p.planner.Plan(p.now, p.versions, p.replicas) {
		r := p.find(t, o.Replica)
		if !r.Healthy || r.Loading != "" || o.Fence != r.Fence+1 || o.Unload != r.Version || o.Load == r.Version {
			t.Fatalf("order %+v for %+v", o, *r)
		}
		r.Loading, r.Version, r.Fence = o.Load, "", o.Fence
		p.orders = append(p.orders, p.now)
	}
	for _, v := range p.versions {
		if v.Used && p.serving(v.Name) < min(before[v.Name], max(v.Min, 1)) {
			t.Fatalf("%s fell to %d serving replicas, its minimum is %d", v.Name, p.serving(v.Name), v.Min)
		}
	}
	for i, from := range p.orders {
		span := p.now.Sub(from)
		if n := len(p.orders) - i; float64(n) > 2+span.Minutes()*6+1e-6 {
			t.Fatalf("%d orders in %s", n, span)
		}
	}
}

// Guards against orders that take the last replicas of a used version, exceed
// the weight store's rate, disturb a replica under way or reuse a token.
func TestFuzzPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pool{now: time.Unix(1000, 0), planner: placement.NewPlanner(placement.Options{})}
		for i := range rapid.IntRange(1, 4).Draw(t, "versions") {
			p.versions = append(p.versions, placement.Version{Name: fmt.Sprint("v", i), Used: true})
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "replicas") {
			p.replicas = append(p.replicas, placement.Replica{
				Name: fmt.Sprint("r", i), FailureDomain: fmt.Sprint("d", i%3), Healthy: true,
			})
		}
		replica := func(t *rapid.T) *placement.Replica {
			return &p.replicas[rapid.IntRange(0, len(p.replicas)-1).Draw(t, "replica")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan": p.plan,
			"wait": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second)
			},
			"demand": func(t *rapid.T) {
				v := &p.versions[rapid.IntRange(0, len(p.versions)-1).Draw(t, "version")]
				v.Demand = rapid.Float64Range(0, 10).Draw(t, "demand")
				v.Used = rapid.Bool().Draw(t, "used")
				v.Min = rapid.IntRange(0, 3).Draw(t, "min")
			},
			"loaded": func(t *rapid.T) {
				if r := replica(t); r.Loading != "" {
					r.Version, r.Loading = r.Loading, ""
				}
			},
			"health": func(t *rapid.T) { r := replica(t); r.Healthy = !r.Healthy },
		})
	})
}

// Guards against a placement that never comes to rest under steady demand.
func TestFuzzPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pool{now: time.Unix(1000, 0), planner: placement.NewPlanner(placement.Options{})}
		for i := range rapid.IntRange(1, 5).Draw(t, "versions") {
			demand := rapid.Float64Range(0, 5).Draw(t, "demand")
			p.versions = append(p.versions, placement.Version{Name: fmt.Sprint("v", i), Used: true, Demand: demand})
		}
		for i := range rapid.IntRange(5, 12).Draw(t, "replicas") {
			p.replicas = append(p.replicas, placement.Replica{Name: fmt.Sprint("r", i), FailureDomain: fmt.Sprint("d", i%3), Healthy: true})
		}
		for round := range 200 {
			moves := len(p.orders)
			p.plan(t)
			if round >= 100 && len(p.orders) > moves {
				t.Fatalf("still moving after %d rounds: %+v", round, p.versions)
			}
			for i := range p.replicas {
				if r := &p.replicas[i]; r.Loading != "" {
					r.Version, r.Loading = r.Loading, ""
				}
			}
			p.now = p.now.Add(time.Minute)
		}
	})
}

const maxOrder = time.Minute

// flight is an order on its way to the engine.
type flight struct {
	order  placement.Order
	sentAt time.Time
	fence  *placement.Fence
}

// engine carries out the orders that reach it; the sidecar that sent one may be
// gone by then.
type engine struct {
	now      time.Time
	checks   bool
	recorded int
	highest  int
	applied  []int
	flights  []flight
	fence    *placement.Fence
}

func (e *engine) apply(t *rapid.T, fence *placement.Fence, decisions []placement.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case placement.Send:
			if fence.Valid(d.Order) {
				e.flights = append(e.flights, flight{d.Order, e.now, fence})
			}
		case placement.Refuse:
			if d.Highest < d.Fence {
				t.Fatalf("token %d refused, the highest is %d", d.Fence, d.Highest)
			}
		}
	}
}

// arrive lets the engine carry out the order in flight i. Its answer reaches the
// sidecar that sent it, if that still runs.
func (e *engine) arrive(t *rapid.T, i int, answered bool) {
	f := e.flights[i]
	e.flights = append(append([]flight(nil), e.flights[:i]...), e.flights[i+1:]...)
	ended := placement.OrderEnded{Fence: f.order.Fence, Known: answered, Done: true}
	if e.checks && f.order.Fence < e.highest {
		ended.Done, ended.Highest = false, e.highest
	} else {
		if n := len(e.applied); n > 0 && e.applied[n-1] >= f.order.Fence {
			t.Fatalf("token %d was carried out after %d", f.order.Fence, e.applied[n-1])
		}
		e.applied = append(e.applied, f.order.Fence)
		e.highest = f.order.Fence
	}
	if f.fence == e.fence {
		e.apply(t, f.fence, f.fence.Handle(e.now, ended))
	}
}

// wait moves the time on; an order in flight arrives before its longest time.
func (e *engine) wait(t *rapid.T, d time.Duration) {
	end := e.now.Add(d)
	for i := 0; i < len(e.flights); {
		if late := e.flights[i].sentAt.Add(maxOrder - time.Nanosecond); late.Before(end) {
			e.now = late
			e.arrive(t, i, false)
			i = 0
			continue
		}
		i++
	}
	e.now = end
	e.apply(t, e.fence, e.fence.Handle(e.now, placement.Timer{}))
}

func (e *engine) start() {
	e.fence = placement.NewFence(e.now, placement.FenceOptions{Checks: e.checks, MaxOrder: maxOrder, Highest: e.recorded})
}

// Guards against an order with an old fencing token that takes effect, on
// engines that check tokens and on those that do not, when sidecars are replaced,
// orders are repeated or late, and answers are lost.
func TestFuzzFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{now: time.Unix(1000, 0), checks: rapid.Bool().Draw(t, "checks")}
		e.start()
		send := func(t *rapid.T, token int) {
			order := placement.Order{Fence: token, Load: "v"}
			e.apply(t, e.fence, e.fence.Handle(e.now, placement.OrderReceived{Order: order}))
		}
		t.Repeat(map[string]func(*rapid.T){
			"order":  func(t *rapid.T) { e.recorded++; send(t, e.recorded) },
			"record": func(*rapid.T) { e.recorded++ },
			"old":    func(t *rapid.T) { send(t, rapid.IntRange(0, e.recorded).Draw(t, "token")) },
			"arrive": func(t *rapid.T) {
				if n := len(e.flights); n > 0 {
					e.arrive(t, rapid.IntRange(0, n-1).Draw(t, "flight"), rapid.Bool().Draw(t, "answered"))
				}
			},
			"wait":    func(t *rapid.T) { e.wait(t, time.Duration(rapid.IntRange(0, 70).Draw(t, "s"))*time.Second) },
			"replace": func(*rapid.T) { e.start() },
		})
	})
}
