package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against decisions by expected times for a service whose workers do not state their pace, and
// against a service that loses them with one answer that states none.
func TestPaceIsReportedByService(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{{ID: "a1", Service: "a"}, {ID: "b1", Service: "b"}})
	p.RecordLoad(0, "a1", Load{Running: 1, Slots: 8, Pace: 1})
	p.RecordLoad(0, "b1", Load{Running: 1, Slots: 8})
	p.RecordLoad(0, "a1", Load{Running: 1, Slots: 8})
	assert.Assert(t, p.reportsPace("a"))
	assert.Assert(t, !p.reportsPace("b"))
}
