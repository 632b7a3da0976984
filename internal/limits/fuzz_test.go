package limits_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
)

// queueOracle is a simple model of a FairQueue to which the queue is compared.
type queueOracle struct {
	queue      *limits.FairQueue
	now        time.Time
	bound      int
	next       int
	waiting    map[string]limits.Item
	idsByQueue map[string][]string
	running    []limits.Item
}

func queueKey(i limits.Item) string { return fmt.Sprint(i.Customer, i.Short) }

func (o *queueOracle) remove(t *rapid.T, id string) limits.Item {
	item, ok := o.waiting[id]
	if !ok {
		t.Fatalf("item %s left the queue but was not waiting", id)
	}
	delete(o.waiting, id)
	ids := o.idsByQueue[queueKey(item)]
	for i := range ids {
		if ids[i] == id {
			o.idsByQueue[queueKey(item)] = append(append([]string(nil), ids[:i]...), ids[i+1:]...)
			break
		}
	}
	return item
}

func checkRefusal(t *rapid.T, err *errkind.Error) {
	if err.RunState != api.RunStateNotRun || err.RetryAfter <= 0 {
		t.Fatalf("refusal %v has run state %s and retry delay %s, expected not_run and a positive delay", err, err.RunState, err.RetryAfter)
	}
}

func (o *queueOracle) removeDropped(t *rapid.T, dropped []limits.Dropped) {
	for _, d := range dropped {
		checkRefusal(t, d.Err)
		o.remove(t, d.Item.ID)
	}
}

func (o *queueOracle) push(t *rapid.T) {
	o.next++
	item := limits.Item{
		ID:       fmt.Sprint(o.next),
		Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Weight:   float64(rapid.IntRange(0, 4).Draw(t, "weight")),
		Short:    rapid.Bool().Draw(t, "short"),
		Cost:     float64(rapid.IntRange(0, 1000).Draw(t, "cost")),
		Expected: time.Duration(rapid.IntRange(0, 20).Draw(t, "expected")) * time.Second,
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		item.Deadline = o.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second)
	}
	if err := o.queue.Push(o.now, item); err != nil {
		checkRefusal(t, err)
		if err.Kind == errkind.Overloaded && len(o.waiting) < o.bound {
			t.Fatalf("refused as overloaded with %d of at most %d items waiting", len(o.waiting), o.bound)
		}
		return
	}
	if !item.Deadline.IsZero() && o.now.Add(item.Expected).After(item.Deadline) {
		t.Fatal("an item that cannot meet its deadline was accepted")
	}
	o.waiting[item.ID] = item
	o.idsByQueue[queueKey(item)] = append(o.idsByQueue[queueKey(item)], item.ID)
	o.removeDropped(t, o.queue.TakeDropped())
}

func (o *queueOracle) pop(t *rapid.T) {
	item, dropped, ok := o.queue.Pop(o.now)
	o.removeDropped(t, dropped)
	if ok != (len(o.waiting) > 0) {
		t.Fatalf("Pop returned %v with %d items waiting", ok, len(o.waiting))
	}
	if !ok {
		return
	}
	if first := o.idsByQueue[queueKey(item)][0]; first != item.ID {
		t.Fatalf("item %s was popped before %s of the same customer and class", item.ID, first)
	}
	if !item.Deadline.IsZero() && o.now.Add(item.Expected).After(item.Deadline) {
		t.Fatal("an item that cannot meet its deadline was started")
	}
	o.remove(t, item.ID)
	o.queue.Started(o.now, item)
	o.running = append(o.running, item)
}

// Guards against items that are lost, returned twice, reordered within a customer's
// class, started too late to meet their deadline, or refused without cause.
func TestFuzzFairQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &queueOracle{now: time.Unix(1000, 0), waiting: map[string]limits.Item{}, idsByQueue: map[string][]string{}}
		o.bound = rapid.IntRange(1, 8).Draw(t, "bound")
		o.queue = limits.NewFairQueue(limits.FairQueueOptions{Bound: o.bound, Rate: float64(rapid.IntRange(0, 100).Draw(t, "rate"))})
		t.Repeat(map[string]func(*rapid.T){
			"push": o.push,
			"pop":  o.pop,
			"wait": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) { o.removeDropped(t, o.queue.Expire(o.now)) },
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, o.next).Draw(t, "id"))
				if _, waits := o.waiting[id]; o.queue.Remove(id) != waits {
					t.Fatalf("Remove of item %s did not return %v", id, waits)
				} else if waits {
					o.remove(t, id)
				}
			},
			"finish": func(t *rapid.T) {
				if len(o.running) > 0 {
					o.queue.Finished(o.now, o.running[0].ID, float64(rapid.IntRange(0, 2000).Draw(t, "tokens")))
					o.running = o.running[1:]
				}
			},
			"": func(t *rapid.T) {
				if o.queue.Len() != len(o.waiting) || o.queue.Len() > o.bound {
					t.Fatalf("%d items waiting, expected %d, at most %d allowed", o.queue.Len(), len(o.waiting), o.bound)
				}
			},
		})
	})
}

// Guards against starvation of a customer or a class. While all customers have
// lookups and drafts waiting, the work served per unit of weight may differ by at
// most the lead, the credit and one item, and every customer's drafts are served.
func TestFuzzFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lead, credit, largest = 500, 500, 400
		queue := limits.NewFairQueue(limits.FairQueueOptions{Bound: 1000, Lead: lead, Credit: credit})
		now, next := time.Unix(1000, 0), 0
		weights := map[string]float64{"a": 1, "b": float64(rapid.IntRange(1, 5).Draw(t, "b")), "c": float64(rapid.IntRange(1, 5).Draw(t, "c"))}
		push := func(customer string, short bool) {
			next++
			cost := float64(rapid.IntRange(1, largest).Draw(t, "cost"))
			if err := queue.Push(now, limits.Item{ID: fmt.Sprint(next), Customer: customer, Weight: weights[customer], Short: short, Cost: cost}); err != nil {
				t.Fatal(err)
			}
		}
		for customer := range weights {
			push(customer, true)
			push(customer, false)
		}
		served, drafts := map[string]float64{}, map[string]int{}
		for range 400 {
			item, _, _ := queue.Pop(now)
			served[item.Customer] += item.Cost / weights[item.Customer]
			if !item.Short {
				drafts[item.Customer]++
			}
			push(item.Customer, item.Short)
			for _, ahead := range served {
				for customer := range weights {
					if ahead-served[customer] > lead+credit+largest {
						t.Fatalf("the work served per unit of weight differs too much: %v", served)
					}
				}
			}
		}
		for customer := range weights {
			if drafts[customer] == 0 {
				t.Fatalf("no draft of customer %s was served", customer)
			}
		}
	})
}

// Guards against a fleet that exceeds a customer's rate or concurrency limit while
// reports reach every entry within a second, or never reach another entry.
func TestFuzzCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "entries")
		connected := rapid.Bool().Draw(t, "connected")
		limit := api.Customer{Name: "x", RequestsPerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate")), Burst: 10, Concurrency: rapid.SampledFrom([]int{0, 6}).Draw(t, "concurrency")}
		start := time.Unix(1000, 0)
		now, admitted := start, 0
		entries, running := make([]*limits.CustomerLimiter, n), make([]int, n)
		for i := range entries {
			entries[i] = limits.NewCustomerLimiter(fmt.Sprint(i))
			entries[i].SetEntryCount(n)
			entries[i].ApplySnapshot(loadmodel.SingleCustomerSnapshot(limit))
		}
		exchange := func() {
			for range n + 1 {
				for i, from := range entries {
					demands := from.Demands(now)
					for j, to := range entries {
						if i != j && connected {
							to.MergeDemands(now, demands)
						}
					}
				}
			}
		}
		drawEntry := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				i := drawEntry(t)
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					if err := entries[i].Admit(now, "x"); err != nil {
						checkRefusal(t, err)
						continue
					}
					admitted++
					running[i]++
				}
			},
			"done": func(t *rapid.T) {
				for i := drawEntry(t); running[i] > 0; {
					entries[i].Done(now, "x")
					running[i]--
				}
			},
			"wait": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "times") {
					now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
					exchange()
				}
			},
			"": func(t *rapid.T) {
				maxAdmitted := limit.RequestsPerSecond*now.Sub(start).Seconds() + 10 + float64(n)
				if float64(admitted) > maxAdmitted+1e-6 {
					t.Fatalf("admitted %d requests, at most %.1f allowed", admitted, maxAdmitted)
				}
				totalRunning := 0
				for i := range entries {
					totalRunning += running[i]
					if entries[i].Running("x") != running[i] {
						t.Fatalf("Running returned %d, expected %d", entries[i].Running("x"), running[i])
					}
				}
				if limit.Concurrency > 0 && totalRunning > limit.Concurrency {
					t.Fatalf("%d requests run, the limit is %d", totalRunning, limit.Concurrency)
				}
			},
		})
	})
}

// Guards against a concurrency limit that exceeds its bounds, does not converge to
// the knee of an engine, or does not follow it when it changes.
func TestConcurrencyFindsKnee(t *testing.T) {
	sim := loadmodel.NewSim(1)
	c := limits.NewConcurrencyLimiter(limits.ConcurrencyLimiterOptions{Slots: 8, Max: 64})
	server := loadmodel.NewServer(sim, 10*time.Millisecond, 250*time.Microsecond, 24)
	runUntilStable := func() int {
		for range 400 {
			for range 16 {
				c.RecordCompletion(server.StepTime(c.Limit()), c.Limit())
			}
		}
		return c.Limit()
	}
	before := runUntilStable()
	if before < 24 || before > 36 {
		t.Fatalf("limit %d at a knee of 24", before)
	}
	server.Knee = 12
	if after := runUntilStable(); after >= before || after < 12 {
		t.Fatalf("limit %d at a knee of 12, previous limit %d", after, before)
	}
	for range 100 {
		c.RecordRefusal()
	}
	if c.Limit() != 1 {
		t.Fatalf("limit %d after many refusals", c.Limit())
	}
}
