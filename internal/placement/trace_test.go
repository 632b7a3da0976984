package placement_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/placement"
)

// Guards against changed orders for recorded versions and replicas.
func TestTraces(t *testing.T) {
	raw, err := os.ReadFile("testdata/plans.json")
	assert.NilError(t, err)
	var traces []struct {
		Name     string
		Versions []placement.Version
		Replicas []placement.Replica
		Want     []placement.Order
	}
	assert.NilError(t, json.Unmarshal(raw, &traces))
	for _, trace := range traces {
		t.Run(trace.Name, func(t *testing.T) {
			planner := placement.NewPlanner(placement.PlannerOptions{})
			got := planner.Plan(time.Unix(1000, 0), trace.Versions, trace.Replicas)
			assert.DeepEqual(t, got, trace.Want)
		})
	}
}

// Guards against an order that a restarted sidecar forwards while an order of its
// predecessor may still take effect, on an engine that does not check tokens.
func TestFenceWaitsOutPredecessor(t *testing.T) {
	now := time.Unix(1000, 0)
	f := placement.NewFence(now, placement.FenceOptions{MaxOrderDuration: time.Minute, HighestToken: 7})
	order := func(token int) placement.OrderReceived {
		return placement.OrderReceived{Order: placement.Order{Fence: token}}
	}
	assert.DeepEqual(t, f.Handle(now, order(7)), []placement.FenceDecision{placement.RefuseOrder{Fence: 7, HighestToken: 7}})
	wait := placement.SetTimer{Until: now.Add(time.Minute)}
	assert.DeepEqual(t, f.Handle(now, order(8)), []placement.FenceDecision{wait})
	assert.DeepEqual(t, f.Handle(now, order(9)), []placement.FenceDecision{placement.DiscardOrder{Fence: 8}, wait})
	assert.DeepEqual(t, f.Handle(wait.Until, placement.TimerFired{}), []placement.FenceDecision{placement.ForwardOrder{Order: order(9).Order}})
	lost := placement.OrderEnded{Fence: 9}
	assert.DeepEqual(t, f.Handle(wait.Until, lost), []placement.FenceDecision{placement.ReportOutcome{Fence: 9}})
	again := placement.SetTimer{Until: wait.Until.Add(time.Minute)}
	assert.DeepEqual(t, f.Handle(wait.Until, order(10)), []placement.FenceDecision{again})
}
