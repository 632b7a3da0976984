package e2e

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

// Model versions of the test manifest; versionNext is only in manifestWithNext.
const (
	versionSmall = "notes-small-1"
	versionLarge = "notes-large-1"
	versionNext  = "notes-large-2"
)

// testManifest returns a manifest in which customer north may use both model
// versions and the booking service, and customer south only the small version.
func testManifest() api.Manifest {
	return api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: hashKey(keyAdmin)}},
		Customers: []api.Customer{
			{Name: "north", KeyHashes: []string{hashKey(keyNorth)}, Versions: []string{versionSmall, versionLarge}, Services: []string{"booking"}},
			{Name: "south", KeyHashes: []string{hashKey(keySouth)}, Versions: []string{versionSmall}},
		},
		Models: []api.Model{
			{Name: "notes-small", Versions: []api.Version{{Name: versionSmall, Phase: api.PhaseServing, CostPerKiloToken: 1, PriorQuality: 0.8}}},
			{Name: "notes-large", Versions: []api.Version{{Name: versionLarge, Phase: api.PhaseServing, CostPerKiloToken: 10, PriorQuality: 0.95}}},
		},
		Services: []api.Service{{Name: "booking", Operations: []api.Operation{
			{Name: "find", Idempotent: true, Cost: 1}, {Name: "confirm", Idempotent: false, Cost: 5},
		}}},
		Classes: []api.Class{
			{Name: "lookup", QualityTarget: 0.5, DeadlineMs: 10000, Weighting: api.WeightingLatency, MaxOutputTokens: 32},
			{Name: "draft", QualityTarget: 0.9, DeadlineMs: 60000, Weighting: api.WeightingExposure, MaxOutputTokens: 256},
		},
		Pools: []api.Pool{{Name: "models", Versions: []string{versionSmall, versionLarge}}},
	}
}

func encode(m api.Manifest) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

// smallSpec returns a cluster of one entry, two engines and one service in two
// failure domains.
func smallSpec() devcluster.Spec {
	both := engine.Config{Versions: []string{versionSmall, versionLarge}}
	return devcluster.Spec{
		Region: "region-1", Manifest: encode(testManifest()), Entries: []string{"fd-a"},
		Engines: []devcluster.Engine{
			{Name: "engine-1", FailureDomain: "fd-a", Pool: "models", Config: both},
			{Name: "engine-2", FailureDomain: "fd-b", Pool: "models", Config: both},
		},
		Services: []devcluster.Service{{Name: "booking-1", FailureDomain: "fd-a", Service: "booking", Config: service.Config{}}},
		Timing:   api.TimingSettings{BalancerWaitMs: 100, UsageFlushMs: 100},
		LogLevel: "debug",
	}
}

// faultSpec returns a cluster of three entries, four engines and two services in
// two failure domains. Its timeouts are shorter than freezeTime.
func faultSpec() devcluster.Spec {
	spec := smallSpec()
	spec.Entries = []string{"fd-a", "fd-b", "fd-b"}
	loaded := engine.Config{Versions: []string{versionSmall, versionLarge, versionNext}, Slots: 16, StepTime: 2 * time.Millisecond}
	spec.Engines = nil
	for i, domain := range []string{"fd-a", "fd-b", "fd-a", "fd-b"} {
		spec.Engines = append(spec.Engines, devcluster.Engine{
			Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: domain, Pool: "models", Config: loaded,
		})
	}
	spec.Services = append(spec.Services, devcluster.Service{Name: "booking-2", FailureDomain: "fd-b", Service: "booking", Config: service.Config{}})
	spec.Timing = api.TimingSettings{
		BalancerWaitMs: 500, UsageFlushMs: 100, UsageConfirmMs: 1500, WatchSilenceMs: 1500, ProbeMs: 500,
	}
	return spec
}

// manifestWithNext returns the test manifest with versionNext as a second version
// of the large model, and with the phase first for versionLarge.
func manifestWithNext(first api.Phase) api.Manifest {
	m := testManifest()
	m.Customers[0].Versions = append(m.Customers[0].Versions, versionNext)
	m.Models[1].Versions[0].Phase = first
	m.Models[1].Versions = append(m.Models[1].Versions, api.Version{
		Name: versionNext, Phase: api.PhaseServing, CostPerKiloToken: 11, PriorQuality: 0.96,
	})
	m.Pools[0].Versions = []string{versionSmall, versionLarge, versionNext}
	if first == api.PhaseWithdrawn {
		m.Pools[0].Versions = []string{versionSmall, versionNext}
	}
	return m
}
