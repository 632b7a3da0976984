package perf

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/usage"
)

// memberCounts are the numbers of members at which costs are measured; the last one
// is the target size.
var memberCounts = []int{160, 320, 640, 1280}

// testMember returns member i: of seven consecutive members two are entries and
// five are sidecars.
func testMember(i int) api.Member {
	m := api.Member{
		Instance: fmt.Sprintf("sidecar-engine-%d", i), Incarnation: 1_700_000_000_000 + i, Sequence: 1,
		Role: string(api.RoleSidecar), FailureDomain: fmt.Sprintf("fd-%d", i%4), Region: fmt.Sprintf("region-%d", i%2),
		Address: fmt.Sprintf("10.0.%d.%d:7946", i/256, i%256), State: api.MemberStateReady,
		BackendServer: fmt.Sprintf("engine-%d", i), Versions: []string{modelVersion}, Slots: 64,
	}
	if i%7 < 2 {
		m.Role, m.Instance, m.BackendServer, m.Versions = string(api.RoleEntry), fmt.Sprintf("entry-%d", i), "", nil
	}
	return m
}

// TestSlopes measures how memory and processor time grow with the number of members,
// for the membership exchange and for the core of an entry.
func TestSlopes(t *testing.T) {
	requirePerfFlag(t)
	for name, measure := range map[string]func(int) (float64, time.Duration){"exchange": measureExchange, "entry core": measureEntry} {
		var bytes, times []float64
		for _, n := range memberCounts {
			heapBytes, cpuTime := measure(n)
			bytes, times = append(bytes, heapBytes), append(times, float64(cpuTime.Microseconds()))
			t.Logf("%s, %d members: %.0f kB, %v of processor time each second", name, n, heapBytes/1000, cpuTime)
		}
		t.Logf("%s per member: %.0f B, %.3f us each second", name, slope(bytes), slope(times))
	}
	var recordBytes []float64
	for _, n := range memberCounts {
		recordBytes = append(recordBytes, usageBytes(n*100))
	}
	t.Logf("usage per unwritten record: %.0f B", slope(recordBytes)/100)
}

// slope returns the least squares slope of y over memberCounts.
func slope(y []float64) float64 {
	var meanX, meanY, xy, xx float64
	for i, x := range memberCounts {
		meanX += float64(x) / float64(len(memberCounts))
		meanY += y[i] / float64(len(memberCounts))
	}
	for i, x := range memberCounts {
		xy += (float64(x) - meanX) * (y[i] - meanY)
		xx += (float64(x) - meanX) * (float64(x) - meanX)
	}
	return xy / xx
}

// retainedHeap returns the result of build and the heap memory that is reachable
// because of it, in bytes.
func retainedHeap[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return built, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// virtualSeconds is the virtual time in seconds over which a cost is averaged.
const virtualSeconds = 30

// measureExchange returns the heap memory of a membership exchange with n members and
// its processor time per second, with 20 ticks and 4 changed members per second.
func measureExchange(n int) (float64, time.Duration) {
	now := time.Unix(1_700_000_000, 0)
	exchange, bytes := retainedHeap(func() *membership.Exchange {
		x := membership.NewExchange(testMember(0), membership.ExchangeConfig{}, rand.New(rand.NewPCG(1, 1)))
		for i := 1; i < n; i++ {
			x.Handle(now, membership.MemberRecordReceived{Member: testMember(i)})
		}
		return x
	})
	started := time.Now()
	for second := range virtualSeconds {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			exchange.Handle(now, membership.Tick{})
		}
		for k := range 4 {
			m := testMember(1 + (4*second+k)%(n-1))
			m.Sequence = second + 2
			exchange.Handle(now, membership.DigestReceived{Digest: api.Digest{Members: []api.Member{m}}})
		}
	}
	return bytes, time.Since(started) / virtualSeconds
}

// measureEntry returns the heap memory of an entry's core with n members and its
// processor time per second. It sends a member list with one change per second,
// which is more than the target of 240 failures and replacements per day.
func measureEntry(n int) (float64, time.Duration) {
	snapshot, err := manifest.Compile(testManifest(), api.Revision{Generation: 1, Version: 1})
	if err != nil {
		panic(err)
	}
	now := time.Unix(1_700_000_000, 0)
	var members []api.Member
	for i := range n {
		members = append(members, testMember(i))
	}
	core, bytes := retainedHeap(func() *entry.Core {
		core := entry.NewCore(entry.Config{Self: testMember(0)}, rand.New(rand.NewPCG(1, 1)))
		core.Handle(now, entry.SnapshotApplied{Snapshot: snapshot})
		core.Handle(now, entry.MembersChanged{Members: members})
		return core
	})
	started := time.Now()
	for range virtualSeconds {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			core.Handle(now, entry.Tick{})
		}
		members[1].Sequence++
		core.Handle(now, entry.MembersChanged{Members: members})
	}
	return bytes, time.Since(started) / virtualSeconds
}

// usageBytes returns the memory of n usage records that are not in a batch yet, in
// bytes.
func usageBytes(n int) float64 {
	now := time.Unix(1_700_000_000, 0)
	buffer := usage.NewBuffer(1, usage.Options{MaxBytes: 1 << 30})
	for i := range n {
		if buffer.Reserve() != nil {
			panic("usage buffer is full")
		}
		record := api.UsageRecord{
			Request: fmt.Sprintf("entry-1-18eddb4263e48e17-%x", i), Customer: "north", Class: "draft", Version: modelVersion,
			BackendServer: fmt.Sprintf("engine-%d", i%48), Entry: "entry-1", InputTokens: 300, OutputTokens: 330,
			Cost: 0.63, RunState: api.RunStateRan, EndedAt: int(now.UnixMilli()) + i,
		}
		if buffer.Add(now, record, fmt.Sprintf("sidecar-engine-%d", i%48)) != nil {
			panic("usage buffer refused a record although it has room")
		}
	}
	return float64(buffer.Bytes())
}
