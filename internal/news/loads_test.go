package news

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/peer"
)

// Guards against loads that are lost or changed on the way, and against a crash or a wrong load
// after a message that is cut or made up.
func TestLoadsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := Loads{}
		for _, load := range rapid.SliceOfN(rapid.Float64Range(0, 500), 0, 40).Draw(t, "loads") {
			loads.Add(fmt.Sprint("w", len(loads)), load)
		}
		got, err := DecodeLoads(loads.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, loads)
	})
	for _, bad := range []string{"*", "AA==", "gICAgAEB", "AP///////////wE=", "////PwH///8/AQ=="} {
		_, err := DecodeLoads(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Guards against sums that drift, that count an instance twice or itself, or that keep the load
// of an instance that is gone, after any order of reports and pauses.
func TestLoadTableMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewLoadTable(), Elapsed(0)
		type report struct {
			at    Elapsed
			units int
			relay bool
		}
		last := map[string]report{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond
			instance := fmt.Sprint("g", rapid.IntRange(0, 4).Draw(t, "instance"))
			units, relay := rapid.IntRange(0, 9).Draw(t, "units"), rapid.IntRange(0, 3).Draw(t, "kind") == 0
			loads := Loads{}
			if units > 0 {
				loads[7] = units
			}
			if relay {
				table.ReportRelay(now, instance, WorkerStats{Loads: loads, Failures: loads}, 3)
			} else {
				table.Report(now, instance, WorkerStats{Loads: loads, Failures: loads})
			}
			last[instance] = report{now, units, relay}
		}
		now += loadTTL / 2
		others, ofGateways, gateways := 0, 0, 0
		for instance, r := range last {
			if now-r.at > loadTTL {
				continue
			}
			if instance != "g0" {
				others += r.units
			}
			if r.relay {
				gateways += 3
				continue
			}
			ofGateways += r.units
			gateways++
		}
		got, n := table.OthersOf(now, "g0")
		if got.Loads[7] != others || got.Failures[7] != others || n != gateways {
			t.Fatalf("others cause a load of %d, the table says %d; there are %d gateways, it says %d", others, got.Loads[7], gateways, n)
		}
		if got, _ := table.OfGateways(now); got.Loads[7] != ofGateways {
			t.Fatalf("gateways cause a load of %d, the table says %d", ofGateways, got.Loads[7])
		}
	})
}

// Guards against reports that use more than their share of a relay's processor time, or of the
// traffic of a gateway, at the target size: 370 gateways with three relays before 910 workers.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	table, loads := NewLoadTable(), Loads{}
	for i := range 910 {
		loads.Add(fmt.Sprint("worker-", i), 20)
	}
	for i := range 124 {
		table.Report(0, fmt.Sprint("gateway-", i), WorkerStats{})
	}
	answer := len(loads.Encode())
	interval := table.Interval(answer)
	assert.Assert(t, 124/interval.Seconds() <= 250, "%v", interval)
	assert.Assert(t, float64(answer)/interval.Seconds() <= 4000, "%d bytes every %v", answer, interval)
	assert.Assert(t, interval < loadTTL, "%v", interval)
	assert.Equal(t, NewLoadTable().Interval(100), minLoadInterval)
}

// Guards against gateways of different relays that do not learn of each other's loads, and
// against a load that is counted twice on the way.
func TestLoadsReachGatewaysOfOtherRelays(t *testing.T) {
	var clock manualClock
	var addresses []string
	var relays []*Relay
	for i := range 2 {
		relay := NewRelay(time.Second, clock.elapsed, zap.NewNop())
		address, err := startNamedNode(t, fmt.Sprint("relay-", i), relay).Listen("127.0.0.1:0")
		assert.NilError(t, err)
		relays, addresses = append(relays, relay), append(addresses, address)
	}
	unused := NewRelay(time.Second, clock.elapsed, zap.NewNop())
	gateways := []*peer.Node{startNamedNode(t, "gateway-0", unused), startNamedNode(t, "gateway-1", unused)}
	own := []Loads{{1: 8}, {1: 16, 2: 24}}
	exchange := func() (out []Loads) {
		for i := range 2 {
			peers, err := ExchangeWithRelay(context.Background(), gateways[i], addresses[i], OwnReport{WorkerStats: WorkerStats{Loads: own[i], Failures: Loads{9: i + 1}}})
			assert.NilError(t, err)
			assert.Equal(t, peers.Next, minLoadInterval)
			out = append(out, peers.Loads)
			relays[i].Exchange(fmt.Sprint("relay-", i), OwnReport{WorkerStats: WorkerStats{Loads: Loads{3: 1}}})
		}
		for i := range 2 {
			_, err := relays[i].FetchFromRelay(context.Background(), gateways[i], addresses[1-i])
			assert.NilError(t, err)
		}
		return out
	}
	exchange()
	exchange()
	got := exchange()
	assert.DeepEqual(t, got[0], Loads{1: 16, 2: 24, 3: 2})
	assert.DeepEqual(t, got[1], Loads{1: 8, 3: 2})
	peers := relays[0].Exchange("relay-0", OwnReport{})
	assert.DeepEqual(t, peers.Loads, Loads{1: 24, 2: 24, 3: 1})
	assert.DeepEqual(t, peers.Failures, Loads{9: 3})
	assert.Equal(t, peers.Gateways, 4)
}
