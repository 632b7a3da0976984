package membership

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
)

// BenchmarkExchangeSecond runs one second of one process among 1,280: 20 ticks,
// two digests sent and answered, two received with a changed member record each,
// and a fifteenth of an instance list. 10 ms would be 1% of a core.
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
		x.Handle(now, MemberSeen{Member: members[i]})
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

// Guards against the two signals being worth no more than one: with a single
// readiness bit a process is restarted after it was not ready for some time,
// which either restarts booting processes or keeps hung ones.
func TestTwoSignalsAgainstOneReadinessBit(t *testing.T) {
	t.Parallel()
	two := lostTime(func(state api.MemberState, _ time.Duration) bool { return state == api.MemberStateWedged })
	t.Logf("two signals: %.1f%% of server time lost", two)
	for _, patience := range []time.Duration{15 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute} {
		one := lostTime(func(_ api.MemberState, unready time.Duration) bool { return unready >= patience })
		t.Logf("one bit, restart after %v: %.1f%% lost", patience, one)
		if two >= one {
			t.Errorf("two signals lose %.1f%%, one bit with %v loses %.1f%%", two, patience, one)
		}
	}
}

// lostTime runs 20 servers for a day. Each boots in 30 to 120 s and hangs after
// some 30 min of work. It returns the share of server time without service in
// per cent, given the rule that restarts a server.
func lostTime(restart func(state api.MemberState, unready time.Duration) bool) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	table := NewTable("self", TableConfig{})
	type process struct {
		incarnation   int
		readyAt, hang time.Time
		unreadySince  time.Time
	}
	const servers, seconds = 20, 24 * 3600
	procs := make([]process, servers)
	begin := func(i int) {
		boot := time.Duration(30+rng.IntN(90)) * time.Second
		procs[i] = process{incarnation: int(now.UnixNano()), readyAt: now.Add(boot), unreadySince: now}
		procs[i].hang = procs[i].readyAt.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Minute)))
		table.Apply(now, api.Member{Instance: string(rune('a' + i)), Incarnation: procs[i].incarnation, State: api.MemberStateBooting}, FromMember)
	}
	for i := range procs {
		begin(i)
	}
	lost := 0
	for range seconds {
		now = now.Add(time.Second)
		for i := range procs {
			p := &procs[i]
			hung := !now.Before(p.hang)
			ready := !now.Before(p.readyAt) && !hung
			if ready {
				p.unreadySince = now
			} else {
				lost++
			}
			r, _ := table.Observe(now, string(rune('a'+i)), p.incarnation, Signals{Ready: ready, Alive: !hung})
			if restart(r.State, now.Sub(p.unreadySince)) {
				begin(i)
			}
		}
	}
	return 100 * float64(lost) / (servers * seconds)
}
