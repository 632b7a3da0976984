package ring

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a full queue blocking its producer or losing an item that it
// accepted.
func TestFullQueueRefusesItem(t *testing.T) {
	r := New[int](2)
	assert.Assert(t, r.TryPut(1))
	assert.Assert(t, r.TryPut(2))
	assert.Assert(t, !r.TryPut(3))
	assert.Equal(t, r.RefusedCount(), uint64(1))
	assert.Equal(t, <-r.Items(), 1)
	assert.Equal(t, <-r.Items(), 2)
	assert.Equal(t, r.Len(), 0)
}
