package membership

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// BenchmarkExchangeSecond runs one second of one process among 1,280: 20 ticks, two
// digests sent and answered, two digests received with one changed member record
// each, and the cost of an instance list every 30 s. 10 ms per run is 1% of a core.
func BenchmarkExchangeSecond(b *testing.B) {
	s := newSim(targetSize, 0, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := NewExchange(s.member(0), s.cfg, rand.New(rand.NewPCG(1, 1)))
	now := s.now
	x.Handle(now, InstanceList{Instances: s.list})
	members := make([]api.Member, targetSize)
	for i := range members {
		members[i] = s.member(i)
		x.Handle(now, MemberRecordReceived{Member: members[i]})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	peer := Peer{Instance: s.list[1].Name, Address: s.list[1].Address}
	b.ResetTimer()
	for i := range b.N {
		for range 20 {
			now = now.Add(simTick)
			for _, e := range x.Handle(now, Tick{}) {
				if d, ok := e.(SendDigest); ok {
					x.Handle(now, DigestAnswered{From: d.To, Digest: api.Digest{}})
				}
			}
		}
		for k := range 2 {
			m := &members[1+(2*i+k)%(targetSize-1)]
			m.Sequence++
			x.Handle(now, DigestReceived{From: peer, Digest: api.Digest{Members: []api.Member{*m}, Watchers: []api.WatcherAge{{Instance: "w"}}}})
		}
		if i%30 == 0 {
			x.Handle(now, InstanceList{Instances: append([]platform.Instance(nil), s.list...)})
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/process")
	runtime.KeepAlive(x)
}

// Guards against the pair of signals, ready and alive, being no better than a
// single readiness bit. With one bit, a process is restarted after it was not ready
// for some time; that restarts processes that are still booting, or keeps hung ones
// for long.
func TestTwoSignalsLoseLessTimeThanOneReadinessBit(t *testing.T) {
	t.Parallel()
	twoSignals := lostTimePercent(func(state api.MemberState, _ time.Duration) bool { return state == api.MemberStateWedged })
	t.Logf("two signals: %.1f%% of server time lost", twoSignals)
	for _, restartAfter := range []time.Duration{15 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute} {
		oneBit := lostTimePercent(func(_ api.MemberState, unready time.Duration) bool { return unready >= restartAfter })
		t.Logf("one bit, restart after %v: %.1f%% lost", restartAfter, oneBit)
		if twoSignals >= oneBit {
			t.Errorf("two signals lose %.1f%%, want less than one bit with restart after %v, which loses %.1f%%", twoSignals, restartAfter, oneBit)
		}
	}
}

// lostTimePercent simulates 20 servers for a day and returns the percentage of
// server time without service under a restart rule. Each server boots in 30 to 120
// s and hangs after 30 min of work on average.
func lostTimePercent(shouldRestart func(state api.MemberState, unready time.Duration) bool) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	table := NewTable("self", TableConfig{})
	type process struct {
		incarnation      int
		readyAt, hangsAt time.Time
		unreadySince     time.Time
	}
	const servers, seconds = 20, 24 * 3600
	procs := make([]process, servers)
	restartProcess := func(i int) {
		boot := time.Duration(30+rng.IntN(90)) * time.Second
		procs[i] = process{incarnation: int(now.UnixNano()), readyAt: now.Add(boot), unreadySince: now}
		procs[i].hangsAt = procs[i].readyAt.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Minute)))
		table.Apply(now, api.Member{Instance: string(rune('a' + i)), Incarnation: procs[i].incarnation, State: api.MemberStateBooting}, FromMember)
	}
	for i := range procs {
		restartProcess(i)
	}
	lostSeconds := 0
	for range seconds {
		now = now.Add(time.Second)
		for i := range procs {
			p := &procs[i]
			hung := !now.Before(p.hangsAt)
			ready := !now.Before(p.readyAt) && !hung
			if ready {
				p.unreadySince = now
			} else {
				lostSeconds++
			}
			r, _ := table.Observe(now, string(rune('a'+i)), p.incarnation, Signals{Ready: ready, Alive: !hung})
			if shouldRestart(r.State, now.Sub(p.unreadySince)) {
				restartProcess(i)
			}
		}
	}
	return 100 * float64(lostSeconds) / (servers * seconds)
}
