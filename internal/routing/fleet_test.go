package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

func manyServers(n int) []routing.Server {
	out := make([]routing.Server, n)
	for i := range out {
		out[i] = routing.Server{
			Name: fmt.Sprintf("server-%03d", i), Incarnation: 1, Region: "r",
			FailureDomain: fmt.Sprint("domain-", i%4), Versions: []string{"v"}, Slots: 16,
		}
	}
	return out
}

func newFleet(instance string, n int, opts routing.Options) *routing.Fleet {
	f := routing.NewFleet(routing.Location{Instance: instance, FailureDomain: "domain-0", Region: "r"}, opts)
	f.SetServers(start, manyServers(n))
	for i := range n {
		f.RecordLoadReport(start, fmt.Sprintf("server-%03d", i), api.LoadReport{Running: i % 16, Slots: 16, TokenMs: 20})
	}
	return f
}

// ejectAllButOne ejects the server that Pick returns until one is left. With more
// servers than SubsetSize the last one is outside the subset, which makes the
// search the longest.
func ejectAllButOne(f *routing.Fleet, n int) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range n - 1 {
		p, _ := f.Pick(start, routing.Query{Version: "v"}, rng)
		f.SetWeight(p.Server, 0)
	}
}

// Guards against a call of Pick that allocates memory or examines too many servers.
// The limit is the random choices and the servers of the prefix, and in the longest
// search each server once more. TestPerfPick limits its time.
func TestPickBounds(t *testing.T) {
	const maxDrawnAndHolders, subset, decisions = 9, 48, 200
	rng := rand.New(rand.NewPCG(1, 1))
	for _, ejected := range []bool{false, true} {
		for _, n := range []int{9, 900} {
			f := newFleet("entry", n, routing.Options{})
			allowed := uint64(maxDrawnAndHolders)
			if ejected {
				ejectAllButOne(f, n)
				allowed += subset + uint64(n)
			}
			q := routing.Query{Version: "v", Prefix: 5, PromptTokens: 700, Exclude: []string{"server-001", "server-002"}}
			f.StartAttempt(start, "server-003", routing.Attempt{Prefix: 5})
			pick := func() {
				if _, ok := f.Pick(start, q, rng); !ok {
					t.Fatal("no server picked")
				}
			}
			assert.Equal(t, testing.AllocsPerRun(decisions, pick), 0.0, "allocations over %d candidates", n)
			before := f.ExaminedServers()
			for range decisions {
				pick()
			}
			examined := (f.ExaminedServers() - before) / decisions
			assert.Assert(t, examined <= allowed, "Pick examined %d servers of %d candidates, ejected: %v", examined, n, ejected)
		}
	}
}

// BenchmarkPick measures one call of Pick.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 90, 900} {
		for _, ejected := range []bool{false, true} {
			b.Run(fmt.Sprintf("candidates=%d/ejected=%v", n, ejected), func(b *testing.B) {
				f := newFleet("entry", n, routing.Options{})
				if ejected {
					ejectAllButOne(f, n)
				}
				rng := rand.New(rand.NewPCG(1, 1))
				q := routing.Query{Version: "v", Prefix: 5, PromptTokens: 700}
				f.StartAttempt(start, "server-003", routing.Attempt{Prefix: 5})
				b.ReportAllocs()
				for b.Loop() {
					f.Pick(start, q, rng)
				}
			})
		}
	}
}

func pickedServers(f *routing.Fleet, rounds int) map[string]int {
	rng := rand.New(rand.NewPCG(2, 2))
	picked := map[string]int{}
	for range rounds {
		p, ok := f.Pick(start, routing.Query{Version: "v"}, rng)
		if ok {
			picked[p.Server]++
		}
	}
	return picked
}

// Guards against a subset without servers of some failure domain: when the other
// domains fail, the entry has no server left. Guards also against subsets that
// differ between two runs of the same entry.
func TestSubsetSpansFailureDomains(t *testing.T) {
	opts := routing.Options{SubsetSize: 8, Algorithm: routing.RoundRobin}
	for _, entry := range []string{"e1", "e2", "e3", "e4", "e5"} {
		picked := pickedServers(newFleet(entry, 200, opts), 100)
		assert.Equal(t, len(picked), 8)
		domains := map[int]bool{}
		for name := range picked {
			var i int
			_, err := fmt.Sscanf(name, "server-%d", &i)
			assert.NilError(t, err)
			domains[i%4] = true
		}
		assert.Equal(t, len(domains), 4)
		assert.DeepEqual(t, picked, pickedServers(newFleet(entry, 200, opts), 100))
	}
}

// Guards against a subset that changes in more than one member when a server
// leaves, which would make cached prefixes useless, and against servers that are
// in no entry's subset.
func TestSubsetIsStableAndCovers(t *testing.T) {
	opts := routing.Options{SubsetSize: 8, Algorithm: routing.RoundRobin}
	all := map[string]bool{}
	for e := range 370 {
		f := newFleet(fmt.Sprint("entry-", e), 200, opts)
		before := pickedServers(f, 100)
		for name := range before {
			all[name] = true
		}
		if e > 0 {
			continue
		}
		f.SetServers(start, manyServers(200)[:199])
		kept := 0
		for name := range pickedServers(f, 100) {
			if before[name] > 0 {
				kept++
			}
		}
		assert.Assert(t, kept >= 7, "kept %d of 8", kept)
	}
	assert.Equal(t, len(all), 200)
}

// Guards against more requests to a server that is loaded with this entry's own
// requests while its last report does not show them yet.
func TestOwnRequestsCountBeforeTheNextReport(t *testing.T) {
	f := newFleet("entry", 2, routing.Options{Choices: 8})
	for _, name := range []string{"server-000", "server-001"} {
		f.RecordLoadReport(start, name, api.LoadReport{Running: 4, Slots: 16, TokenMs: 20})
	}
	for range 40 {
		f.StartAttempt(start.Add(time.Millisecond), "server-000", routing.Attempt{PromptTokens: 10})
	}
	picked := pickedServers(f, 50)
	assert.Equal(t, picked["server-001"], 50)
	// A report measured after the starts covers them.
	f.RecordLoadReport(start.Add(time.Second), "server-000", api.LoadReport{Running: 0, Slots: 16, TokenMs: 20, AgeMs: 999})
	assert.Equal(t, pickedServers(f, 50)["server-000"], 0)
}

// Guards against requests without a server when the only one has a reduced weight,
// and against a weight that does not reduce the traffic.
func TestReducedWeight(t *testing.T) {
	f := newFleet("entry", 2, routing.Options{})
	f.SetWeight("server-000", 0.1)
	picked := pickedServers(f, 2000)
	assert.Equal(t, picked["server-000"]+picked["server-001"], 2000)
	assert.Assert(t, picked["server-000"] > 0 && picked["server-000"] < 700, "%v", picked)
	f.SetWeight("server-001", 0)
	assert.Equal(t, pickedServers(f, 100)["server-000"], 100)
	f.SetWeight("server-000", 0)
	assert.Equal(t, len(pickedServers(f, 100)), 0)
}

// Guards against requests that leave the server with their cached prefix while it
// has free slots, and against requests that stay there when it is overloaded.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	f := newFleet("entry", 90, routing.Options{})
	rng := rand.New(rand.NewPCG(3, 3))
	q := routing.Query{Version: "v", Prefix: 77, PromptTokens: 4000}
	first, _ := f.Pick(start, q, rng)
	f.RecordCacheEvent(start, first.Server, 77, true)
	again, _ := f.Pick(start, q, rng)
	assert.Equal(t, again.Server, first.Server)
	f.RecordLoadReport(start, first.Server, api.LoadReport{Running: 16, Queued: 40, Slots: 16, TokenMs: 20})
	moved, _ := f.Pick(start, q, rng)
	assert.Assert(t, moved.Server != first.Server)
	f.RecordCacheEvent(start, first.Server, 77, false)
	gone, _ := f.Pick(start, q, rng)
	assert.Equal(t, gone.CacheProbability, 0.0)
}

// Guards against a plain service that gets servers of a version with the same name,
// and against a server for an unknown service.
func TestPlainServices(t *testing.T) {
	f := routing.NewFleet(routing.Location{Instance: "e", FailureDomain: "a", Region: "r"}, routing.Options{})
	f.SetServers(start, []routing.Server{
		{Name: "engine", Incarnation: 1, Versions: []string{"booking"}, Region: "r"},
		{Name: "desk", Incarnation: 1, Service: "booking", Region: "r"},
	})
	rng := rand.New(rand.NewPCG(5, 5))
	for range 20 {
		p, ok := f.Pick(start, routing.Query{Service: "booking"}, rng)
		assert.Assert(t, ok)
		assert.Equal(t, p.Server, "desk")
		p, ok = f.Pick(start, routing.Query{Version: "booking"}, rng)
		assert.Assert(t, ok)
		assert.Equal(t, p.Server, "engine")
	}
	_, ok := f.Pick(start, routing.Query{Service: "bonds"}, rng)
	assert.Assert(t, !ok && !f.ServesService("bonds") && f.ServesService("booking"))
}
