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

// placementSpec is faultSpec with a managed pool. Every second engine checks
// fencing tokens.
func placementSpec() devcluster.Spec {
	spec := faultSpec()
	spec.Manifest = encode(managed(testManifest()))
	spec.Placement = &api.PlacementSettings{LoadsPerMinute: 120, LoadBurst: 2, DwellMs: 3000, HolderMs: 3000, DemandMs: 500}
	for i := range spec.Engines {
		spec.Engines[i].MaxOrderMs = 1000
		spec.Engines[i].Config.CheckFence = i%2 == 0
	}
	return spec
}

func managed(m api.Manifest) api.Manifest {
	m.Pools[0].Replicas = 4
	return m
}

// held returns the versions that each engine holds.
func (c *cluster) held() map[string][]string {
	held := map[string][]string{}
	for _, s := range c.Settings {
		if s.Backend == nil || s.Backend.Kind != api.BackendKindEngine {
			continue
		}
		load, err := engine.NewClient(s.Backend.URL).Load(c.t.Context())
		assert.NilError(c.t, err)
		held[s.Backend.Name] = load.Versions
	}
	return held
}

// waitHeld waits until every engine holds exactly one of the versions and every
// version is held.
func (c *cluster) waitHeld(versions ...string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		held := c.held()
		seen := map[string]bool{}
		for _, list := range held {
			if len(list) != 1 || !slices.Contains(versions, list[0]) {
				return poll.Continue("engines hold %v", held)
			}
			seen[list[0]] = true
		}
		if len(seen) != len(versions) {
			return poll.Continue("engines hold %v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(200*time.Millisecond))
}

// planHolder returns the entry that holds the plan.
func (c *cluster) planHolder() string {
	object, err := c.Store.Get(c.t.Context(), placement.PlanKey)
	assert.NilError(c.t, err)
	var plan api.PlacementPlan
	assert.NilError(c.t, json.Unmarshal(object.Value, &plan))
	return strings.Split(plan.Holder, ".")[0]
}

// Guards placement through separate processes: a withdrawn version is unloaded and
// a declared one is loaded although the holder of the plan is frozen, no engine
// carries out an older order after a newer one, a sidecar that is replaced takes
// orders again, and no request is interrupted.
func TestPlacementFollowsManifest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, placementSpec())
	l := c.startLoad(2)
	l.answered(100)
	c.waitHeld(versionSmall, versionLarge)
	l.answered(100)

	holder := c.planHolder()
	c.processes[holder].freeze()
	other := 1
	for fmt.Sprintf("entry-%d", other) == holder {
		other++
	}
	c.mustCommit(other, managed(withNext(api.PhaseWithdrawn)))
	c.waitHeld(versionSmall, versionNext)
	c.processes[holder].thaw()
	c.stopGracefully("sidecar-engine-2") // its engine does not check tokens
	c.processes["sidecar-engine-2"].start(t)
	c.waitReady(c.processes["sidecar-engine-2"])
	l.answered(300)
	c.waitHeld(versionSmall, versionNext)
	assert.Assert(t, c.planHolder() != "")
	for name, e := range c.Engines {
		fence := int64(0)
		for _, order := range e.Ledger().View().Orders {
			assert.Assert(t, !order.Done || order.Fence >= fence, "%s: %+v after token %d", name, order, fence)
			fence = max(fence, order.Fence)
		}
		assert.Assert(t, fence > 0, "%s got no order", name)
	}
	l.verdict()
}
