package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// small is an instance of the smallest size that is deployed.
func small() Limits {
	return Limits{MemoryBytes: 136e6, Descriptors: 2870, LinkBytesPerSecond: 10e6 / 8, ProcessorShare: 0.101}
}

// Guards against an instance that limits its callers although nothing is known to be short: earlier
// deployments must be served as before.
func TestUnknownLimitsBoundNothing(t *testing.T) {
	g := NewGuard(Limits{})
	for range 3 {
		g.Observe(0, Sample{Lag: 10 * time.Second, MemoryBytes: 1 << 40, SentBytes: 1 << 40, Callers: 1 << 20, Workers: 1 << 20, Links: 1 << 20})
	}
	for range 10_000 {
		assert.Equal(t, g.Admit(0, Request{BodyBytes: 1 << 20}).Reason, Admitted)
	}
	assert.Equal(t, Limits{}.Connections(), Connections{})
	assert.Equal(t, Limits{}.SoftMemoryLimit(), int64(0))
}

// Guards against slow readers that use up the memory of an instance with 136 MB, and against one that
// refuses 400 of them although they fit.
func TestSlowReadersFitIntoMemory(t *testing.T) {
	g := NewGuard(small())
	g.Observe(0, Sample{Callers: 400, Workers: 400})
	admitted := 0
	for range 10_000 {
		if g.Admit(0, Request{BodyBytes: 10_000, Tolerance: time.Second}).Reason == Admitted {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 400, "%d are admitted", admitted)
	const measuredPerAnswer = 75_000 // TestAnswersWithoutEndStayWithinMemory
	assert.Assert(t, int64(admitted)*(measuredPerAnswer+10_000)+52e6 <= 136e6, "%d are admitted", admitted)
}

// Guards against memory that stays reserved after requests have ended, and against bodies whose length
// is not counted.
func TestMemoryIsReturned(t *testing.T) {
	g := NewGuard(small())
	body := Request{BodyBytes: 4 << 20}
	admitted := 0
	for g.Admit(0, body).Reason == Admitted {
		admitted++
	}
	assert.Assert(t, admitted > 0 && int64(admitted)*body.BodyBytes < 136e6)
	assert.Equal(t, g.Admit(0, body).Reason, Memory)
	g.Release(body)
	assert.Equal(t, g.Admit(0, body).Reason, Admitted)
}

// Guards against requests that are taken while the process already uses nearly all of its memory.
func TestMeasuredMemoryStopsRequests(t *testing.T) {
	g := NewGuard(small())
	g.Observe(0, Sample{MemoryBytes: 130e6})
	assert.Equal(t, g.Admit(0, Request{}).Reason, Memory)
	g.Observe(0, Sample{MemoryBytes: 90e6})
	assert.Equal(t, g.Admit(0, Request{}).Reason, Admitted)
}

// Guards against a processor that is overloaded for seconds while each request waits for it: with a
// lag of four times what callers bear, three in four must be refused at once, and those that bear the
// lag admitted.
func TestLagRefusesWhatWouldBeLate(t *testing.T) {
	g := NewGuard(small())
	impatient := Request{Tolerance: Tolerance(time.Second, 0, 4*time.Second)}
	patient := Request{Tolerance: Tolerance(8*time.Second, 0, 20*time.Second)}
	for range 2 {
		g.Observe(0, Sample{Lag: 2 * time.Second})
	}
	admitted := 0
	for range 100 {
		if g.Admit(0, impatient).Reason == Admitted {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 20 && admitted <= 30, "%d of 100 are admitted", admitted)
	assert.Equal(t, g.Admit(0, patient).Reason, Admitted)
	fresh := NewGuard(small())
	fresh.Observe(0, Sample{Lag: 2 * time.Second})
	fresh.Observe(0, Sample{Lag: 2 * time.Second})
	assert.Assert(t, fresh.Admit(0, impatient).RetryAfter <= MaxRetryAfter)
}

// Guards against refusals after a single late sample: a machine that was suspended has no queue.
func TestSingleLagRefusesNothing(t *testing.T) {
	g := NewGuard(small())
	g.Observe(0, Sample{Lag: 5 * time.Second})
	assert.Equal(t, g.Admit(0, Request{Tolerance: 10 * time.Millisecond}).Reason, Admitted)
}

// Guards against refusals for the pauses of a processor quota, which an instance has at any load.
func TestQuotaPauseIsNoOverload(t *testing.T) {
	g := NewGuard(small())
	for range 10 {
		g.Observe(0, Sample{Lag: 90 * time.Millisecond})
	}
	assert.Equal(t, g.Admit(0, Request{Tolerance: 10 * time.Millisecond}).Reason, Admitted)
}

// Guards against answers that are all late behind a link of 10 Mbit/s: what was written beyond its rate
// waits there, and a request that bears less is refused until the queue has left.
func TestLinkQueueRefusesRequests(t *testing.T) {
	g := NewGuard(small())
	r := Request{BodyBytes: 1000, Tolerance: 500 * time.Millisecond}
	g.Observe(0, Sample{SentBytes: 500_000})
	assert.Equal(t, g.Admit(0, r).Reason, Admitted)
	g.Observe(0, Sample{SentBytes: 1_000_000})
	assert.Equal(t, g.Admit(0, r).Reason, Link)
	assert.Equal(t, g.Admit(2*time.Second, r).Reason, Admitted)
}

// Guards against bounds of connections that one side alone could use up, and against bounds so low that
// an instance with a wrong limit takes none.
func TestConnectionsFitDescriptors(t *testing.T) {
	bounds := small().Connections()
	assert.Assert(t, bounds.Callers+bounds.Workers <= 2870-200)
	assert.Assert(t, bounds.Callers >= 400, "%d callers", bounds.Callers)
	assert.Assert(t, bounds.CloseFrom < bounds.Callers)
	assert.Equal(t, Limits{Descriptors: 10, MemoryBytes: 1}.Connections().Callers, minConnections)
}

// Guards against tolerances that leave the worker no time.
func TestTolerance(t *testing.T) {
	assert.Equal(t, Tolerance(150*time.Millisecond, 0, time.Second), 75*time.Millisecond)
	assert.Equal(t, Tolerance(0, 0, time.Second), 250*time.Millisecond)
	assert.Equal(t, Tolerance(4*time.Second, time.Second, 6*time.Second), 500*time.Millisecond)
	assert.Equal(t, Tolerance(0, 0, 0), time.Duration(0))
}

// Guards against readiness that is withdrawn for a moment's overload, for good, or for more than an
// eighth of the time where all instances are overloaded.
func TestReadinessIsWithdrawnRarely(t *testing.T) {
	var r Readiness
	r.Observe(0, 100, 90)
	r.Observe(time.Second, 100, 10)
	r.Observe(2*time.Second, 100, 90)
	assert.Assert(t, r.IsReady(2*time.Second))
	var withdrawn, all time.Duration
	for now := 3 * time.Second; now < 300*time.Second; now += time.Second {
		r.Observe(now, 100, 90)
		all++
		if !r.IsReady(now) {
			withdrawn++
		}
	}
	assert.Assert(t, withdrawn > 0 && withdrawn*8 < all, "withdrawn in %d of %d seconds", withdrawn, all)
}

// Guards against requests whose bodies have no stated length and that hold the memory of the longest body
// until they end: sixteen of them filled an instance of 136 MB.
func TestBodyWithoutLengthHoldsItsOwnMemory(t *testing.T) {
	const longest, length = 4 << 20, 9000
	g := NewGuard(Limits{MemoryBytes: 136 << 20})
	var open []Request
	for i := range 400 {
		r := Request{BodyBytes: longest, Tolerance: time.Second}
		assert.Equal(t, g.Admit(0, r).Reason, Admitted, "request %d", i)
		open = append(open, g.Settle(r, length))
	}
	for _, r := range open {
		g.Release(r)
	}
	assert.Equal(t, g.Load(0).MemoryShare, 0.0)
}
