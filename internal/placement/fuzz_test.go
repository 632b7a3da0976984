package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/placement"
)

// simulatedPool is a pool of replicas that a Planner assigns versions to.
type simulatedPool struct {
	now        time.Time
	planner    *placement.Planner
	versions   []placement.Version
	replicas   []placement.Replica
	orderTimes []time.Time
}

// serving returns the number of replicas that serve a version.
func (p *simulatedPool) serving(version string) int {
	n := 0
	for _, r := range p.replicas {
		if r.Healthy && r.Version == version && r.Loading == "" {
			n++
		}
	}
	return n
}

func (p *simulatedPool) find(t *rapid.T, name string) *placement.Replica {
	for i := range p.replicas {
		if p.replicas[i].Name == name {
			return &p.replicas[i]
		}
	}
	t.Fatalf("order for replica %s, which does not exist", name)
	return nil
}

// plan applies the orders of one plan and checks them, the minimum of each version and
// the rate of orders.
func (p *simulatedPool) plan(t *rapid.T) {
	before := map[string]int{}
	for _, v := range p.versions {
		before[v.Name] = p.serving(v.Name)
	}
	for _, o := range p.planner.Plan(p.now, p.versions, p.replicas) {
		r := p.find(t, o.Replica)
		if !r.Healthy || r.Loading != "" || o.Fence != r.Fence+1 || o.Unload != r.Version || o.Load == r.Version {
			t.Fatalf("order %+v is not allowed for replica %+v", o, *r)
		}
		r.Loading, r.Version, r.Fence = o.Load, "", o.Fence
		p.orderTimes = append(p.orderTimes, p.now)
	}
	for _, v := range p.versions {
		if v.Used && p.serving(v.Name) < min(before[v.Name], max(v.Min, 1)) {
			t.Fatalf("version %s fell to %d serving replicas, its minimum is %d", v.Name, p.serving(v.Name), v.Min)
		}
	}
	for i, from := range p.orderTimes {
		span := p.now.Sub(from)
		if n := len(p.orderTimes) - i; float64(n) > 2+span.Minutes()*6+1e-6 {
			t.Fatalf("%d orders in %s exceed the load rate", n, span)
		}
	}
}

// Guards against orders that take replicas of a used version below its minimum, exceed
// the load rate of the weight store, go to a replica that is still loading, or reuse a
// fencing token.
func TestFuzzPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &simulatedPool{now: time.Unix(1000, 0), planner: placement.NewPlanner(placement.PlannerOptions{})}
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

// Guards against a placement that does not converge under constant demand.
func TestFuzzPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &simulatedPool{now: time.Unix(1000, 0), planner: placement.NewPlanner(placement.PlannerOptions{})}
		for i := range rapid.IntRange(1, 5).Draw(t, "versions") {
			demand := rapid.Float64Range(0, 5).Draw(t, "demand")
			p.versions = append(p.versions, placement.Version{Name: fmt.Sprint("v", i), Used: true, Demand: demand})
		}
		for i := range rapid.IntRange(5, 12).Draw(t, "replicas") {
			p.replicas = append(p.replicas, placement.Replica{Name: fmt.Sprint("r", i), FailureDomain: fmt.Sprint("d", i%3), Healthy: true})
		}
		for round := range 200 {
			moves := len(p.orderTimes)
			p.plan(t)
			if round >= 100 && len(p.orderTimes) > moves {
				t.Fatalf("replicas are still moved after %d rounds with versions %+v", round, p.versions)
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

const maxOrderDuration = time.Minute

// inFlightOrder is an order that was sent to the engine and is not executed yet.
type inFlightOrder struct {
	order  placement.Order
	sentAt time.Time
	fence  *placement.Fence
}

// simulatedEngine is an engine that executes the orders of its current sidecar and of
// those that the sidecar replaced.
type simulatedEngine struct {
	now time.Time
	// checksTokens reports whether the engine refuses orders with an outdated token.
	checksTokens bool
	// recorded is the token in the platform object.
	recorded int
	// highest is the token of the last executed order.
	highest int
	// applied are the tokens of the executed orders.
	applied  []int
	inFlight []inFlightOrder
	// fence is the Fence of the current sidecar.
	fence *placement.Fence
}

// applyDecisions puts forwarded orders in flight and checks refusals.
func (e *simulatedEngine) applyDecisions(t *rapid.T, fence *placement.Fence, decisions []placement.FenceDecision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case placement.ForwardOrder:
			if fence.IsCurrent(d.Order) {
				e.inFlight = append(e.inFlight, inFlightOrder{d.Order, e.now, fence})
			}
		case placement.RefuseOrder:
			if d.HighestToken < d.Fence {
				t.Fatalf("token %d was refused although the highest token is %d", d.Fence, d.HighestToken)
			}
		}
	}
}

// deliver lets the engine execute or refuse the in-flight order i. If the sidecar that
// sent it still runs, it receives the answer, or learns that the answer was lost.
func (e *simulatedEngine) deliver(t *rapid.T, i int, answered bool) {
	f := e.inFlight[i]
	e.inFlight = append(append([]inFlightOrder(nil), e.inFlight[:i]...), e.inFlight[i+1:]...)
	ended := placement.OrderEnded{Fence: f.order.Fence, OutcomeKnown: answered, Done: true}
	if e.checksTokens && f.order.Fence < e.highest {
		ended.Done, ended.HighestToken = false, e.highest
	} else {
		if n := len(e.applied); n > 0 && e.applied[n-1] >= f.order.Fence {
			t.Fatalf("order with token %d was executed after token %d", f.order.Fence, e.applied[n-1])
		}
		e.applied = append(e.applied, f.order.Fence)
		e.highest = f.order.Fence
	}
	if f.fence == e.fence {
		e.applyDecisions(t, f.fence, f.fence.Handle(e.now, ended))
	}
}

// advance advances the time by d. An order in flight is executed before its maximum
// duration has passed.
func (e *simulatedEngine) advance(t *rapid.T, d time.Duration) {
	end := e.now.Add(d)
	for i := 0; i < len(e.inFlight); {
		if latest := e.inFlight[i].sentAt.Add(maxOrderDuration - time.Nanosecond); latest.Before(end) {
			e.now = latest
			e.deliver(t, i, false)
			i = 0
			continue
		}
		i++
	}
	e.now = end
	e.applyDecisions(t, e.fence, e.fence.Handle(e.now, placement.TimerFired{}))
}

// startSidecar replaces the sidecar by a new one.
func (e *simulatedEngine) startSidecar() {
	e.fence = placement.NewFence(e.now, placement.FenceOptions{EngineChecksTokens: e.checksTokens, MaxOrderDuration: maxOrderDuration, HighestToken: e.recorded})
}

// Guards against an order with an outdated fencing token that takes effect, on engines
// that check tokens and on those that do not. Sidecars are replaced, orders are
// repeated or late, and answers are lost.
func TestFuzzFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &simulatedEngine{now: time.Unix(1000, 0), checksTokens: rapid.Bool().Draw(t, "checks")}
		e.startSidecar()
		send := func(t *rapid.T, token int) {
			order := placement.Order{Fence: token, Load: "v"}
			e.applyDecisions(t, e.fence, e.fence.Handle(e.now, placement.OrderReceived{Order: order}))
		}
		t.Repeat(map[string]func(*rapid.T){
			"order":  func(t *rapid.T) { e.recorded++; send(t, e.recorded) },
			"record": func(*rapid.T) { e.recorded++ },
			"old":    func(t *rapid.T) { send(t, rapid.IntRange(0, e.recorded).Draw(t, "token")) },
			"arrive": func(t *rapid.T) {
				if n := len(e.inFlight); n > 0 {
					e.deliver(t, rapid.IntRange(0, n-1).Draw(t, "flight"), rapid.Bool().Draw(t, "answered"))
				}
			},
			"wait":    func(t *rapid.T) { e.advance(t, time.Duration(rapid.IntRange(0, 70).Draw(t, "s"))*time.Second) },
			"replace": func(*rapid.T) { e.startSidecar() },
		})
	})
}
