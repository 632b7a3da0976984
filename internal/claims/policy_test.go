package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The store handles several hundred writes/s and about 2,000 reads/s (design
// section 4); claims may use at most 300 writes/s and half of the reads.
const (
	writesPerSecond = 300
	readsPerSecond  = 1000
	targetRate      = 4800 // requests/s, design section 3
	targetEntries   = 370
)

type load struct {
	name    string
	entries int
	shards  int
	share   float64
	// forward sends claims and ends to the usual writer over a 1 ms link.
	forward bool
	repeats float64
}

type outcome struct {
	decided, granted           int
	writes, reads, mebibytes   float64
	p50, p99                   time.Duration
	bytesPerRequest, largestKB int
}

// runLoad offers the load for 2 s of virtual time after 500 ms of warm-up.
func runLoad(l load) outcome {
	rng := rand.New(rand.NewPCG(7, 7))
	s := newSim(l.entries, Options{Shards: l.shards})
	s.fate = func(bool) fate {
		return fate{out: 2 * time.Millisecond, back: time.Duration(1+rng.IntN(3)) * time.Millisecond}
	}
	names := make([]string, l.entries)
	byName := map[string]*simEntry{}
	for i, e := range s.entries {
		names[i] = e.name
		byName[e.name] = e
	}
	for _, e := range s.entries {
		s.send(e, SetEntries{names})
	}
	link := time.Duration(0)
	if l.forward {
		link = time.Millisecond
	}
	started := map[string]time.Duration{}
	var waits []time.Duration
	var out outcome
	const warm, total = 500 * time.Millisecond, 2500 * time.Millisecond
	s.resolved = func(e *simEntry, r Resolved) {
		wait := s.now + link - started[r.Request]
		delete(started, r.Request)
		if s.now >= warm {
			waits = append(waits, wait)
			out.decided++
		}
		if r.Result != Granted {
			return
		}
		out.granted++
		run := time.Duration(50+rng.IntN(450)) * time.Millisecond
		s.after(2*link+run, func() {
			s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
		})
	}
	gap := time.Duration(float64(time.Second) / (targetRate * l.share))
	n := 0
	var arrive func()
	arrive = func() {
		n++
		id := n
		if rng.Float64() < l.repeats {
			id = max(1, n-rng.IntN(2000))
		}
		key := Key{"acme", "booking", "reserve", fmt.Sprintf("key-%d", id)}
		request := fmt.Sprintf("018f4a-%026d", n)
		e := s.entries[rng.IntN(l.entries)]
		if l.forward {
			e = byName[e.book.Writer(key)]
		}
		started[request] = s.now
		s.after(link, func() {
			s.send(e, Claim{Key: key, Request: request, BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57", Sidecar: "kbh-a-17", SidecarIncarnation: 1_800_000_000_000_000_000})
		})
		if s.now < total {
			s.after(time.Duration(rng.ExpFloat64()*float64(gap)), arrive)
		}
	}
	arrive()
	s.advance(warm)
	s.writes, s.reads, s.written = 0, 0, 0
	s.advance(total - warm)
	seconds := (total - warm).Seconds()
	out.writes, out.reads = float64(s.writes)/seconds, float64(s.reads)/seconds
	out.mebibytes = float64(s.written) / seconds / (1 << 20)
	out.p50, out.p99 = percentile(waits, 0.5), percentile(waits, 0.99)
	stored := 0
	for _, o := range s.objects {
		stored += len(o.value)
	}
	out.bytesPerRequest = stored / max(out.granted, 1)
	out.largestKB = s.maxValue >> 10
	return out
}

// Guards against claims that exceed the store's rates at the target size.
func TestPolicyClaims(t *testing.T) {
	loads := []load{
		{"usual writer", targetEntries, 1, 0.05, true, 0.02},
		{"usual writer", targetEntries, 2, 0.05, true, 0.02},
		{"usual writer", targetEntries, 1, 0.20, true, 0.02},
		{"usual writer", targetEntries, 2, 0.20, true, 0.02},
		{"usual writer", targetEntries, 4, 0.20, true, 0.02},
		{"usual writer", targetEntries, 2, 0.50, true, 0.02},
		{"every entry", 8, 2, 0.05, false, 0.02},
		{"every entry", targetEntries, 64, 0.05, false, 0.02},
	}
	t.Logf("%-13s %7s %6s %6s | %9s %8s %7s %7s %7s %7s %6s %6s", "writer", "entries", "shards", "share", "decided/s", "writes/s", "reads/s", "MiB/s", "p50", "p99", "B/req", "max KB")
	for _, l := range loads {
		o := runLoad(l)
		t.Logf("%-13s %7d %6d %5.0f%% | %9.0f %8.0f %7.0f %7.1f %7s %7s %6d %6d", l.name, l.entries, l.shards, l.share*100,
			float64(o.decided)/2, o.writes, o.reads, o.mebibytes, o.p50.Round(100*time.Microsecond), o.p99.Round(100*time.Microsecond), o.bytesPerRequest, o.largestKB)
		assert.Assert(t, o.largestKB < 1024, "segment of %d KB", o.largestKB)
		if l.forward && l.shards <= 2 {
			assert.Assert(t, o.writes <= writesPerSecond, "%v: %.0f writes/s", l, o.writes)
			assert.Assert(t, o.reads <= readsPerSecond, "%v: %.0f reads/s", l, o.reads)
			assert.Assert(t, float64(o.decided)/2 > 0.9*targetRate*l.share, "%v: %d decided", l, o.decided)
		}
	}
	rate := targetRate * 0.05
	t.Logf("baseline, one object per key: %.0f writes/s and %.0f reads/s at 5%%, %.0f writes/s at 20%%", 2*rate, 0.02*rate, 2*targetRate*0.20)
}

// Measures the processor time of one claim and its completion, without a store.
func BenchmarkClaim(b *testing.B) {
	s := newSim(1, Options{MaxPending: 1 << 20})
	e := s.entries[0]
	n := 0
	s.resolved = func(e *simEntry, r Resolved) {
		s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
	}
	for b.Loop() {
		n++
		s.send(e, Claim{Key: Key{"acme", "booking", "reserve", fmt.Sprint(n)}, Request: fmt.Sprint(n), BodyDigest: "d"})
		s.advance(time.Millisecond)
	}
}

// Guards against a take-over that leaves claims unanswered: the next writer reads
// every segment within the retention before it grants. The table gives what a
// minute of the target load costs.
func TestPolicyTakeOver(t *testing.T) {
	s := newSim(2, Options{Shards: 1})
	s.fate = func(bool) fate { return fate{out: 2 * time.Millisecond, back: 2 * time.Millisecond} }
	writer := s.entries[0]
	s.resolved = func(e *simEntry, r Resolved) {
		s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
	}
	const requests = 7200 // one minute of 5 % of 4,800 requests/s on one of two shards
	for i := range requests {
		s.send(writer, Claim{Key: keyOf(i), Request: fmt.Sprintf("018f4a-%026d", i), BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57"})
		s.advance(time.Minute / requests)
	}
	s.advance(time.Second)
	s.reads = 0
	begin, wait := s.now, time.Duration(0)
	s.resolved = func(_ *simEntry, r Resolved) { wait = s.now - begin; assert.Equal(t, r.Result, AlreadyCompleted) }
	s.send(s.entries[1], Claim{Key: keyOf(7), Request: "repeat", BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57"})
	s.advance(2 * time.Second)
	assert.Assert(t, wait > 0, "the claim was not answered")
	t.Logf("take-over after one minute of %d claims: %d reads, first answer after %s", requests, s.reads, wait)
}
