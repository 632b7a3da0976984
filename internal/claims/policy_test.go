package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The store handles several hundred writes/s and about 2,000 reads/s. Claims may
// use at most 300 writes/s and half of the reads.
const (
	maxWritesPerSecond      = 300
	maxReadsPerSecond       = 1000
	targetRequestsPerSecond = 4800
	targetEntries           = 370
)

// workload is one row of the table of TestPolicyClaims.
type workload struct {
	name    string
	entries int
	shards  int
	// claimShare is the fraction of the requests that need a claim.
	claimShare float64
	// forwarded sends claims and outcomes to the preferred writer over a 1 ms link.
	forwarded   bool
	repeatShare float64
}

type loadResult struct {
	// arrived and decided count the claims and decisions after the warm-up, granted all
	// grants.
	arrived, decided, granted                           int
	writesPerSecond, readsPerSecond, mebibytesPerSecond float64
	p50, p99                                            time.Duration
	bytesPerRequest, largestKiB                         int
}

// runLoad measures a workload for 2 s of virtual time after 500 ms of warm-up.
func runLoad(l workload) loadResult {
	rng := rand.New(rand.NewPCG(7, 7))
	s := newSim(l.entries, Options{Shards: l.shards})
	s.planCall = func(bool) callPlan {
		return callPlan{requestDelay: 2 * time.Millisecond, responseDelay: time.Duration(1+rng.IntN(3)) * time.Millisecond}
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
	linkDelay := time.Duration(0)
	if l.forwarded {
		linkDelay = time.Millisecond
	}
	started := map[string]time.Duration{}
	var waits []time.Duration
	var out loadResult
	const warmup, total = 500 * time.Millisecond, 2500 * time.Millisecond
	s.onResolved = func(e *simEntry, r Resolved) {
		wait := s.now + linkDelay - started[r.Request]
		delete(started, r.Request)
		if s.now >= warmup {
			waits = append(waits, wait)
			out.decided++
		}
		if r.Result != Granted {
			return
		}
		out.granted++
		run := time.Duration(50+rng.IntN(450)) * time.Millisecond
		s.after(2*linkDelay+run, func() {
			s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
		})
	}
	meanInterval := time.Duration(float64(time.Second) / (targetRequestsPerSecond * l.claimShare))
	n := 0
	var arrive func()
	arrive = func() {
		n++
		keyNumber := n
		if rng.Float64() < l.repeatShare {
			keyNumber = max(1, n-rng.IntN(2000))
		}
		key := Key{"acme", "booking", "reserve", fmt.Sprintf("key-%d", keyNumber)}
		request := fmt.Sprintf("018f4a-%026d", n)
		e := s.entries[rng.IntN(l.entries)]
		if l.forwarded {
			e = byName[e.machine.PreferredWriter(key)]
		}
		started[request] = s.now
		if s.now >= warmup {
			out.arrived++
		}
		s.after(linkDelay, func() {
			s.send(e, Claim{Key: key, Request: request, BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57", Sidecar: "kbh-a-17", SidecarIncarnation: 1_800_000_000_000_000_000})
		})
		if s.now < total {
			s.after(time.Duration(rng.ExpFloat64()*float64(meanInterval)), arrive)
		}
	}
	arrive()
	s.advance(warmup)
	s.writes, s.reads, s.writtenBytes = 0, 0, 0
	s.advance(total - warmup)
	seconds := (total - warmup).Seconds()
	out.writesPerSecond, out.readsPerSecond = float64(s.writes)/seconds, float64(s.reads)/seconds
	out.mebibytesPerSecond = float64(s.writtenBytes) / seconds / (1 << 20)
	out.p50, out.p99 = percentile(waits, 0.5), percentile(waits, 0.99)
	stored := 0
	for _, o := range s.objects {
		stored += len(o.value)
	}
	out.bytesPerRequest = stored / max(out.granted, 1)
	out.largestKiB = s.maxValueBytes >> 10
	return out
}

// Guards against claims that exceed their share of the store's rates at the target
// load.
func TestPolicyClaims(t *testing.T) {
	loads := []workload{
		{"preferred", targetEntries, 1, 0.05, true, 0.02},
		{"preferred", targetEntries, 2, 0.05, true, 0.02},
		{"preferred", targetEntries, 1, 0.20, true, 0.02},
		{"preferred", targetEntries, 2, 0.20, true, 0.02},
		{"preferred", targetEntries, 4, 0.20, true, 0.02},
		{"preferred", targetEntries, 2, 0.50, true, 0.02},
		{"every entry", 8, 2, 0.05, false, 0.02},
		{"every entry", targetEntries, 64, 0.05, false, 0.02},
	}
	t.Logf("%-13s %7s %6s %6s | %9s %8s %7s %7s %7s %7s %6s %6s", "writer", "entries", "shards", "share", "decided/s", "writes/s", "reads/s", "MiB/s", "p50", "p99", "B/req", "max KiB")
	for _, l := range loads {
		o := runLoad(l)
		t.Logf("%-13s %7d %6d %5.0f%% | %9.0f %8.0f %7.0f %7.1f %7s %7s %6d %6d", l.name, l.entries, l.shards, l.claimShare*100,
			float64(o.decided)/2, o.writesPerSecond, o.readsPerSecond, o.mebibytesPerSecond, o.p50.Round(100*time.Microsecond), o.p99.Round(100*time.Microsecond), o.bytesPerRequest, o.largestKiB)
		assert.Assert(t, o.largestKiB < 1024, "largest segment has %d KiB, less than 1024 KiB are allowed", o.largestKiB)
		if l.forwarded && l.shards <= 2 {
			assert.Assert(t, o.writesPerSecond <= maxWritesPerSecond, "%v: %.0f writes/s exceed the limit", l, o.writesPerSecond)
			assert.Assert(t, o.readsPerSecond <= maxReadsPerSecond, "%v: %.0f reads/s exceed the limit", l, o.readsPerSecond)
			// The arrivals are random: at 5%, their number varies by 5% from seed to seed.
			assert.Assert(t, float64(o.decided) > 0.95*float64(o.arrived), "%v: only %d of %d claims decided in 2 s", l, o.decided, o.arrived)
		}
	}
	rate := targetRequestsPerSecond * 0.05
	t.Logf("baseline, one object per key: %.0f writes/s and %.0f reads/s at 5%%, %.0f writes/s at 20%%", 2*rate, 0.02*rate, 2*targetRequestsPerSecond*0.20)
}

// BenchmarkClaim measures the CPU time of one claim and its completion with an
// in-memory store.
func BenchmarkClaim(b *testing.B) {
	s := newSim(1, Options{MaxPending: 1 << 20})
	e := s.entries[0]
	n := 0
	s.onResolved = func(e *simEntry, r Resolved) {
		s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
	}
	for b.Loop() {
		n++
		s.send(e, Claim{Key: Key{"acme", "booking", "reserve", fmt.Sprint(n)}, Request: fmt.Sprint(n), BodyDigest: "d"})
		s.advance(time.Millisecond)
	}
}

// Guards against a change of writer that leaves claims unanswered. The next writer
// reads every segment within the retention before it grants. The log line shows
// the cost after one minute of the target load.
func TestPolicyTakeOver(t *testing.T) {
	s := newSim(2, Options{Shards: 1})
	s.planCall = func(bool) callPlan {
		return callPlan{requestDelay: 2 * time.Millisecond, responseDelay: 2 * time.Millisecond}
	}
	writer := s.entries[0]
	s.onResolved = func(e *simEntry, r Resolved) {
		s.send(e, Completed{Key: r.Key, Request: r.Request, Answer: Answer{Status: 200, Body: make([]byte, 200)}})
	}
	const requests = 7200 // one minute of 5% of 4,800 requests/s on one of two shards
	for i := range requests {
		s.send(writer, Claim{Key: testKey(i), Request: fmt.Sprintf("018f4a-%026d", i), BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57"})
		s.advance(time.Minute / requests)
	}
	s.advance(time.Second)
	s.reads = 0
	claimedAt, wait := s.now, time.Duration(0)
	s.onResolved = func(_ *simEntry, r Resolved) { wait = s.now - claimedAt; assert.Equal(t, r.Result, AlreadyCompleted) }
	s.send(s.entries[1], Claim{Key: testKey(7), Request: "repeat", BodyDigest: "6b86b273ff34fce19d6b804eff5a3f57"})
	s.advance(2 * time.Second)
	assert.Assert(t, wait > 0, "the claim was not answered within 2 s")
	t.Logf("change of writer after one minute with %d claims: %d reads, first answer after %s", requests, s.reads, wait)
}
