package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/placement"
)

// placementSpec returns faultSpec with placement for the pool. Every second engine
// checks fencing tokens.
func placementSpec() devcluster.Spec {
	spec := faultSpec()
	spec.Manifest = encode(withReplicas(testManifest()))
	spec.Placement = &api.PlacementSettings{LoadsPerMinute: 120, LoadBurst: 2, DwellMs: 3000, HolderMs: 3000, DemandMs: 500}
	for i := range spec.Engines {
		spec.Engines[i].MaxOrderMs = 1000
		spec.Engines[i].Config.CheckFence = i%2 == 0
	}
	return spec
}

// withReplicas sets the number of replicas of the pool, which enables placement.
func withReplicas(m api.Manifest) api.Manifest {
	m.Pools[0].Replicas = 4
	return m
}

// loadedVersions returns the versions that each engine has loaded.
func (c *cluster) loadedVersions() map[string][]string {
	held := map[string][]string{}
	for _, s := range c.Settings {
		if s.Backend == nil || s.Backend.Kind != api.BackendKindEngine {
			continue
		}
		load, err := engine.NewClient(s.Backend.URL).LoadReport(c.t.Context())
		assert.NilError(c.t, err)
		held[s.Backend.Name] = load.Versions
	}
	return held
}

// waitLoaded waits until every engine has loaded exactly one of the versions and
// every version is loaded.
func (c *cluster) waitLoaded(versions ...string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		held := c.loadedVersions()
		seen := map[string]bool{}
		for _, list := range held {
			if len(list) != 1 || !slices.Contains(versions, list[0]) {
				return poll.Continue("engines have loaded %v", held)
			}
			seen[list[0]] = true
		}
		if len(seen) != len(versions) {
			return poll.Continue("engines have loaded %v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(200*time.Millisecond))
}

// planHolder returns the name of the entry that holds the placement plan.
func (c *cluster) planHolder() string {
	object, err := c.Store.Get(c.t.Context(), placement.PlanKey)
	assert.NilError(c.t, err)
	var plan api.PlacementPlan
	assert.NilError(c.t, json.Unmarshal(object.Value, &plan))
	return strings.Split(plan.Holder, ".")[0]
}

// Guards against a placement that does not follow the manifest because the plan's
// holder is frozen or a sidecar was replaced, against an engine that executes an
// older order after a newer one, and against requests that are interrupted.
func TestPlacementFollowsManifest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, placementSpec())
	l := c.startLoad(2)
	l.waitAnswered(100)
	c.waitLoaded(versionSmall, versionLarge)
	l.waitAnswered(100)

	holder := c.planHolder()
	c.processes[holder].freeze()
	other := 1
	for fmt.Sprintf("entry-%d", other) == holder {
		other++
	}
	c.mustCommit(other, withReplicas(manifestWithNext(api.PhaseWithdrawn)))
	c.waitLoaded(versionSmall, versionNext)
	c.processes[holder].thaw()
	c.stopGracefully("sidecar-engine-2") // its engine does not check fencing tokens
	c.processes["sidecar-engine-2"].start(t)
	c.waitReady(c.processes["sidecar-engine-2"])
	l.waitAnswered(300)
	c.waitLoaded(versionSmall, versionNext)
	assert.Assert(t, c.planHolder() != "")
	for name, e := range c.Engines {
		fence := int64(0)
		for _, order := range e.Ledger().Snapshot().Orders {
			assert.Assert(t, !order.Applied || order.Fence >= fence, "engine %s executed order %+v after fencing token %d", name, order, fence)
			fence = max(fence, order.Fence)
		}
		assert.Assert(t, fence > 0, "engine %s received no order", name)
	}
	l.checkGuarantees()
}
