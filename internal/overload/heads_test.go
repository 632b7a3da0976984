package overload

import (
	"testing"

	"gotest.tools/v3/assert"
)

// instances are the smallest and the largest instances that are deployed, and the smallest that is accepted.
var instances = []Limits{
	{MemoryBytes: 136e6, Descriptors: 2870},
	{MemoryBytes: 184e6, Descriptors: 4100},
	{MemoryBytes: 284e6, Descriptors: 4100},
	{MemoryBytes: 536e6, Descriptors: 8192},
	{MemoryBytes: 1e6, Descriptors: 1},
}

// Guards against heads that take the memory of an instance before anything is admitted. Load: each connection that is
// allowed brings a head of 15 KiB in fields of five bytes, which took 200 KB as a map.
func TestHeadsStayWithinTheirMemory(t *testing.T) {
	for _, l := range instances {
		g := NewGuard(l)
		taken := int64(0)
		for range l.Connections().Callers {
			if n := HeadBytes(15<<10, 3<<10); g.ResizeHead(0, n) {
				taken += n
			}
		}
		assert.Assert(t, taken <= (l.MemoryBytes-base(l.MemoryBytes))/6, "%d of %d bytes", taken, l.MemoryBytes)
		assert.Assert(t, l.MemoryBytes < 136e6 || taken > 0, "no such head is taken by an instance of %d bytes", l.MemoryBytes)
	}
}

// Guards against large heads, or requests, that leave no memory for the small heads of other callers.
func TestSmallHeadsAlwaysHaveRoom(t *testing.T) {
	for _, l := range instances {
		g := NewGuard(l)
		for g.ResizeHead(0, HeadBytes(15<<10, 100)) {
		}
		for g.Admit(0, Request{}).Reason == Admitted {
		}
		for range l.Connections().Callers {
			assert.Assert(t, g.ResizeHead(0, HeadBytes(2<<10, 30)))
		}
	}
}

// Guards against memory of heads that stays reserved, and against a head that is refused in calm although it is inside
// the limits, whatever its fields.
func TestHeadMemoryIsReturned(t *testing.T) {
	g := NewGuard(small())
	for range 1000 {
		held := int64(0)
		for _, n := range []int64{512, 4096, smallHeadBytes + 1, HeadBytes(16<<10, 16<<10/3), 0} {
			assert.Assert(t, g.ResizeHead(held, n), "%d bytes", n)
			held = n
		}
	}
	assert.Equal(t, g.memory.heads.total, int64(0))
	assert.Equal(t, g.memory.heads.large, int64(0))
	unlimited := NewGuard(Limits{})
	assert.Assert(t, unlimited.ResizeHead(0, 1<<40))
}

// Guards against callers that hold back the end of long bodies and leave no memory for other requests.
func TestLongBodiesLeaveRoom(t *testing.T) {
	g := NewGuard(small())
	for g.Admit(0, Request{BodyBytes: 4 << 20}).Reason == Admitted {
	}
	for range 100 {
		assert.Equal(t, g.Admit(0, Request{BodyBytes: 10_000}).Reason, Admitted)
	}
	assert.Equal(t, g.Admit(0, Request{BodyBytes: 4 << 10, StatedBytes: 4 << 20}).Reason, Memory)
}
