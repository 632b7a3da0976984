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

// sizes are the numbers of members of the slopes; the last is the target size.
var sizes = []int{160, 320, 640, 1280}

func member(i int) api.Member {
	m := api.Member{
		Instance: fmt.Sprintf("sidecar-engine-%d", i), Incarnation: 1_700_000_000_000 + i, Sequence: 1,
		Role: string(api.RoleSidecar), FailureDomain: fmt.Sprintf("fd-%d", i%4), Region: fmt.Sprintf("region-%d", i%2),
		Address: fmt.Sprintf("10.0.%d.%d:7946", i/256, i%256), State: api.MemberStateReady,
		BackendServer: fmt.Sprintf("engine-%d", i), Versions: []string{version}, Slots: 64,
	}
	if i%7 < 2 {
		m.Role, m.Instance, m.BackendServer, m.Versions = string(api.RoleEntry), fmt.Sprintf("entry-%d", i), "", nil
	}
	return m
}

// Measures what grows with the fleet: the state and the processor time of the
// exchange and of an entry's core, by the number of members.
func TestSlopes(t *testing.T) {
	needPerf(t)
	for name, measure := range map[string]func(int) (float64, time.Duration){"exchange": exchangeCost, "entry core": entryCost} {
		var bytes, times []float64
		for _, n := range sizes {
			held, second := measure(n)
			bytes, times = append(bytes, held), append(times, float64(second.Microseconds()))
			t.Logf("%s, %d members: %.0f kB, %v of processor time each second", name, n, held/1000, second)
		}
		t.Logf("%s per member: %.0f B, %.3f us each second", name, slope(bytes), slope(times))
	}
	var held []float64
	for _, n := range sizes {
		held = append(held, usageBytes(n*100))
	}
	t.Logf("usage per unwritten record: %.0f B", slope(held)/100)
}

// slope is the least squares slope of y over sizes.
func slope(y []float64) float64 {
	var meanX, meanY, xy, xx float64
	for i, x := range sizes {
		meanX += float64(x) / float64(len(sizes))
		meanY += y[i] / float64(len(sizes))
	}
	for i, x := range sizes {
		xy += (float64(x) - meanX) * (y[i] - meanY)
		xx += (float64(x) - meanX) * (float64(x) - meanX)
	}
	return xy / xx
}

// held is the heap that build leaves reachable, in bytes.
func held[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return built, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// rounds is how many seconds of virtual time a cost is averaged over.
const rounds = 30

func exchangeCost(n int) (float64, time.Duration) {
	now := time.Unix(1_700_000_000, 0)
	x, bytes := held(func() *membership.Exchange {
		x := membership.NewExchange(member(0), membership.ExchangeConfig{}, rand.New(rand.NewPCG(1, 1)))
		for i := 1; i < n; i++ {
			x.Handle(now, membership.MemberSeen{Member: member(i)})
		}
		return x
	})
	started := time.Now()
	for second := range rounds {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			x.Handle(now, membership.Tick{})
		}
		for k := range 4 {
			m := member(1 + (4*second+k)%(n-1))
			m.Sequence = second + 2
			x.Handle(now, membership.DigestReceived{Digest: api.Digest{Members: []api.Member{m}}})
		}
	}
	return bytes, time.Since(started) / rounds
}

// entryCost sends a member list with one change each second, which is more than
// the 240 failures and replacements a day of the target.
func entryCost(n int) (float64, time.Duration) {
	snapshot, err := manifest.Compile(testManifest(), api.Revision{Generation: 1, Version: 1})
	if err != nil {
		panic(err)
	}
	now := time.Unix(1_700_000_000, 0)
	var members []api.Member
	for i := range n {
		members = append(members, member(i))
	}
	core, bytes := held(func() *entry.Core {
		core := entry.NewCore(entry.Config{Self: member(0)}, rand.New(rand.NewPCG(1, 1)))
		core.Handle(now, entry.SnapshotApplied{Snapshot: snapshot})
		core.Handle(now, entry.MembersChanged{Members: members})
		return core
	})
	started := time.Now()
	for range rounds {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			core.Handle(now, entry.Tick{})
		}
		members[1].Sequence++
		core.Handle(now, entry.MembersChanged{Members: members})
	}
	return bytes, time.Since(started) / rounds
}

// usageBytes is the memory of n records that no batch holds yet.
func usageBytes(n int) float64 {
	now := time.Unix(1_700_000_000, 0)
	buffer := usage.NewBuffer(1, usage.Options{MaxBytes: 1 << 30})
	for i := range n {
		if buffer.Reserve() != nil {
			panic("usage buffer is full")
		}
		record := api.UsageRecord{
			Request: fmt.Sprintf("entry-1-18eddb4263e48e17-%x", i), Customer: "north", Class: "draft", Version: version,
			BackendServer: fmt.Sprintf("engine-%d", i%48), Entry: "entry-1", InputTokens: 300, OutputTokens: 330,
			Cost: 0.63, RunState: api.RunStateRan, EndedAt: int(now.UnixMilli()) + i,
		}
		if buffer.Add(now, record, fmt.Sprintf("sidecar-engine-%d", i%48)) != nil {
			panic("usage record is refused")
		}
	}
	return float64(buffer.Bytes())
}
