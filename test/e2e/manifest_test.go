package e2e

import (
	"encoding/json"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/service"
)

// Versions of the test manifest.
const (
	versionSmall = "notes-small-1"
	versionLarge = "notes-large-1"
)

// testManifest lets customer north use both versions and the booking service, and
// customer south only the small version.
func testManifest() api.Manifest {
	return api.Manifest{
		SchemaVersion: 1,
		Operators:     []api.Operator{{Name: "operator", KeyHash: hashed(keyAdmin)}},
		Customers: []api.Customer{
			{Name: "north", KeyHashes: []string{hashed(keyNorth)}, Versions: []string{versionSmall, versionLarge}, Services: []string{"booking"}},
			{Name: "south", KeyHashes: []string{hashed(keySouth)}, Versions: []string{versionSmall}},
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

// smallSpec has one entry, two engines and one service in two failure domains.
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
