package overload

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// crowd is what outsiders make an instance hold, with the memory of each thing as package overload does not count it:
// buffers of a process by what they are for, and twice the size of a receive buffer for the kernel.
type crowd struct {
	limits                                            Limits
	guard                                             *Guard
	callers, links                                    int
	requests, held, longHeads, longHeadBytes, bodyKiB int64
}

const heldBytes = 64 << 10

func (c *crowd) bytes() int64 {
	const buffers, goroutine = 8 << 10, 8 << 10 // of a connection
	const smallHead = 8 << 10
	const heads, event, stacks = 2*16<<10 - smallHead, 8 << 10, 8 << 10 // of a request
	callers := int64(c.callers) * (buffers + goroutine + smallHead + 2*int64(c.limits.CallerReceiveBufferBytes()))
	links := int64(c.links) * (buffers + goroutine + ShortPeerMessageBytes + 2*int64(c.limits.Peers().ReceiveBuffer))
	requests := c.requests * (heads + event + stacks + buffers + goroutine + 2*int64(c.limits.ReceiveBufferBytes()))
	held := c.held * (heldBytes + buffers + goroutine + 2*int64(c.limits.ReceiveBufferBytes()))
	return callers + links + requests + held + c.longHeadBytes + c.bodyKiB<<10
}

func (c *crowd) sample() {
	c.guard.Observe(0, Sample{Callers: c.callers, Workers: int(c.requests + c.held), Links: c.links})
}

// open adds connections of callers until there is room for no more.
func (c *crowd) open(n int) {
	for range n {
		if c.callers >= c.limits.Connections().Callers || !c.guard.AcceptCaller(c.callers) {
			return
		}
		c.callers++
	}
}

// request begins requests of callers that have none, until one is refused.
func (c *crowd) request(n int, bodyKiB int64) {
	for range n {
		if c.requests >= int64(c.callers) || c.guard.Admit(0, Request{BodyBytes: bodyKiB << 10}).Reason != Admitted {
			break
		}
		c.requests++
		c.bodyKiB += bodyKiB
		c.sample()
	}
}

// hold sets answers of requests aside, until there is no memory for one.
func (c *crowd) hold(n int) {
	for range n {
		if c.held >= c.requests || !c.guard.HoldAnswer(heldBytes) {
			return
		}
		c.held++
		c.sample()
	}
}

// sendHeads brings large heads until one is refused.
func (c *crowd) sendHeads(n int, size int64) {
	for range n {
		if c.longHeads >= int64(c.callers) || !c.guard.ResizeHead(0, size) {
			return
		}
		c.longHeads++
		c.longHeadBytes += size
	}
}

// Guards against bounds that each hold while their sum is beyond the memory of an instance. Load: callers that open
// connections, send heads and bodies and read no answers, as many as are taken, in any order; links that other
// instances have opened before. Others share what is left; see TestSharedBuffersFitBesideRequests of package gateway.
func TestSumOfBoundsIsBelowMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SampledFrom(instances).Draw(t, "instance")
		if l.MemoryBytes < 136e6 {
			return // is not deployed
		}
		c := &crowd{limits: l, guard: NewGuard(l), links: rapid.IntRange(0, l.Peers().Links).Draw(t, "links")}
		c.sample()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := rapid.SampledFrom([]int{1, 100, 1 << 20}).Draw(t, "count")
			switch rapid.SampledFrom([]string{"connections", "requests", "answers", "heads"}).Draw(t, "step") {
			case "connections":
				c.open(n)
			case "requests":
				c.request(n, rapid.SampledFrom([]int64{0, 10, 64, 4 << 10}).Draw(t, "body"))
			case "answers":
				c.hold(n)
			case "heads":
				c.sendHeads(n, HeadBytes(15<<10, rapid.IntRange(100, 3<<10).Draw(t, "fields")))
			}
		}
		assert.Assert(t, c.bytes() <= l.Reserved()-base(l.MemoryBytes), "%+v hold %d bytes", c, c.bytes())
		assert.Assert(t, l.Reserved() <= l.MemoryBytes)
	})
}

// Guards against callers that get no answer because requests have taken all of the memory, and against a new
// connection that is closed while there is memory for it.
func TestRefusalsHaveRoom(t *testing.T) {
	for _, l := range instances {
		if l.MemoryBytes < 136e6 {
			continue // is not deployed
		}
		c := &crowd{limits: l, guard: NewGuard(l)}
		for before := int64(-1); c.requests > before; {
			before = c.requests
			c.open(1)
			c.request(1, 0)
		}
		open := c.callers
		c.open(32)
		assert.Equal(t, c.callers, min(open+32, l.Connections().Callers), "%d bytes", l.MemoryBytes)
		assert.Equal(t, c.guard.Admit(0, Request{}).Reason == Memory, open < l.Connections().Callers)
	}
}
