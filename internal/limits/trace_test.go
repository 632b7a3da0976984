package limits_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/limits"
)

// queueStep is a recorded call of a FairQueue and its expected result.
type queueStep struct {
	WaitMs     int
	Push       *limits.Item
	DeadlineMs int
	Refused    string
	Pop        *string
	Dropped    []string
}

// Guards against changed scheduling, refusals or drops for recorded sequences of
// pushes and pops.
func TestTraces(t *testing.T) {
	raw, err := os.ReadFile("testdata/fairqueue.json")
	assert.NilError(t, err)
	var traces []struct {
		Name    string
		Options limits.FairQueueOptions
		Steps   []queueStep
	}
	assert.NilError(t, json.Unmarshal(raw, &traces))
	for _, trace := range traces {
		t.Run(trace.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			queue := limits.NewFairQueue(trace.Options)
			for _, step := range trace.Steps {
				now = now.Add(time.Duration(step.WaitMs) * time.Millisecond)
				replay(t, now, queue, step)
			}
		})
	}
}

func replay(t *testing.T, now time.Time, queue *limits.FairQueue, step queueStep) {
	t.Helper()
	var dropped []limits.Dropped
	if step.Push != nil {
		if step.DeadlineMs > 0 {
			step.Push.Deadline = now.Add(time.Duration(step.DeadlineMs) * time.Millisecond)
		}
		refused := ""
		if err := queue.Push(now, *step.Push); err != nil {
			refused = string(err.Kind)
		}
		assert.Equal(t, refused, step.Refused, step.Push.ID)
		dropped = queue.TakeDropped()
	}
	if step.Pop != nil {
		item, expired, _ := queue.Pop(now)
		assert.Equal(t, item.ID, *step.Pop)
		dropped = expired
	}
	var names []string
	for _, d := range dropped {
		names = append(names, d.Item.ID+" "+string(d.Err.Kind))
	}
	assert.DeepEqual(t, names, step.Dropped)
}
