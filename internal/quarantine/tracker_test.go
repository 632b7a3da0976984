package quarantine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testService = "llm"
	fatal       = uint64(0xdead)
)

// newTestTracker returns a Tracker of a service with 9 workers that has seen 100 requests finish.
func newTestTracker(origin string) *Tracker {
	t := NewTracker(origin, time.UnixMilli(1_700_000_000_000))
	t.SetWorkers(0, testService, 9, []string{"v1"})
	for i := range 100 {
		t.RecordFinished(time.Second, time.Second, testService, []uint64{1, 100 + uint64(i)%10})
	}
	return t
}

// endOf returns the end of a worker under a request that had just begun.
func endOf(worker int, ids ...uint64) WorkerEnd {
	return WorkerEnd{Service: testService, Version: "v1", Worker: fmt.Sprintf("w%d", worker), IDs: ids, Weight: 1}
}

// moment returns a time at which a worker ends, apart from that of others.
func moment(n int) time.Duration { return 2*time.Second + time.Duration(n)*100*time.Millisecond }

// Guards against a part that ends workers and is never condemned, and against more ends than needed.
func TestFatalPartIsCondemnedAfterThreeEnds(t *testing.T) {
	tracker := newTestTracker("a")
	for i := range 3 {
		assert.Equal(t, tracker.Decide(2*time.Second, testService, []uint64{1, fatal}).Action == Refuse, false)
		verdicts := tracker.RecordEnd(moment(i), endOf(i, 1, 100, fatal))
		assert.Equal(t, len(verdicts), i/2, "after %d ends", i+1)
	}
	assert.Equal(t, tracker.Decide(3*time.Second, testService, []uint64{1, 100, fatal}).Action, Refuse)
	assert.Equal(t, tracker.Decide(3*time.Second, testService, []uint64{1, 100}).Action, Send)
	assert.Equal(t, tracker.Decide(3*time.Second, "other", []uint64{fatal}).Action, Send)
}

// Guards against many requests with a suspected part that are sent at the same time.
func TestPartIsSuspectedAfterTwoEnds(t *testing.T) {
	tracker := newTestTracker("a")
	tracker.RecordEnd(moment(0), endOf(0, 1, fatal))
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{1, fatal}).Action, Send)
	tracker.RecordEnd(moment(1), endOf(1, 1, fatal))
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{1, fatal}).Action, SendAlone)
	tracker.RecordFinished(moment(5), moment(5), testService, []uint64{1, fatal})
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{1, fatal}).Action, Send)
}

// Guards against requests of one subject that are all refused because another part of theirs is fatal.
func TestLastOfPartsThatOccurTogetherIsCondemned(t *testing.T) {
	tracker := newTestTracker("a")
	for i := range 3 {
		tracker.RecordEnd(moment(i), endOf(i, 1, 55, fatal))
	}
	assert.Equal(t, tracker.Decide(3*time.Second, testService, []uint64{1, 55}).Action, Send)
	assert.Equal(t, tracker.Decide(3*time.Second, testService, []uint64{1, 55, fatal}).Action, Refuse)
}

// Guards against a request that is condemned for the end of a worker that it had written on for long.
func TestRequestThatWroteForLongIsNotAccused(t *testing.T) {
	assert.Equal(t, Weight(100*time.Millisecond), 1.0)
	assert.Assert(t, Weight(450*time.Millisecond) <= 0.5)
	assert.Equal(t, Weight(2*time.Second), 0.0)
}

// Guards against a version whose workers end under everything and that makes parts look fatal.
func TestVersionThatEndsOnItsOwnCondemnsNothing(t *testing.T) {
	tracker := NewTracker("a", time.UnixMilli(0))
	tracker.SetWorkers(time.Second, testService, 9, []string{"v1"})
	rng := rand.New(rand.NewPCG(1, 1))
	for worker := range 60 {
		now := time.Duration(worker) * 500 * time.Millisecond
		for range 3 {
			verdicts := tracker.RecordEnd(now, endOf(worker, 1+rng.Uint64N(4), 100+rng.Uint64N(200)))
			assert.Equal(t, len(verdicts), 0)
		}
		tracker.Tick(now)
	}
}

// Guards against the first parts of prompts being condemned when many workers end: they are in nearly
// every request.
func TestCommonPartIsNotAccused(t *testing.T) {
	tracker := newTestTracker("a")
	for i := range 20 {
		now := moment(2 * i)
		assert.Equal(t, len(tracker.RecordEnd(now, endOf(i, 1, 500+uint64(i)))), 0)
		tracker.RecordFinished(now, now, testService, []uint64{1})
	}
	assert.Equal(t, tracker.Decide(moment(40), testService, []uint64{1}).Action, Send)
}

// Guards against a part that is condemned because a rack lost power under several of its requests.
func TestEndsAtTheSameMomentCountOnce(t *testing.T) {
	tracker := newTestTracker("a")
	for i := range 6 {
		now := moment(0) + time.Duration(i)*5*time.Millisecond
		assert.Equal(t, len(tracker.RecordEnd(now, endOf(i, 1, 700))), 0)
	}
	assert.Equal(t, tracker.Decide(moment(1), testService, []uint64{700}).Action, Send)
}

// Guards against evidence that no gateway has enough of alone.
func TestEvidenceOfAllGatewaysIsAddedUp(t *testing.T) {
	trackers := []*Tracker{newTestTracker("a"), newTestTracker("b"), newTestTracker("c")}
	for i, tracker := range trackers {
		assert.Equal(t, len(tracker.RecordEnd(moment(i), endOf(i, 1, fatal))), 0)
	}
	for _, from := range trackers {
		records, _ := from.Changes(0, 100, NoSource)
		for _, to := range trackers {
			to.Merge(moment(5), NoSource, records)
		}
	}
	for _, tracker := range trackers {
		assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{1, fatal}).Action, Refuse)
		assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{1, 100}).Action, Send)
	}
}

// Guards against a sound part that is condemned although other gateways have seen it finish.
func TestFinishedRequestsOfOtherGatewaysClearPart(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	for i := range 2 {
		a.RecordEnd(moment(i), endOf(i, 77))
		b.RecordFinished(moment(3), moment(2), testService, []uint64{77})
	}
	records, _ := a.Changes(0, 100, NoSource)
	b.Merge(moment(5), NoSource, records)
	records, _ = b.Changes(0, 100, NoSource)
	a.Merge(moment(5), NoSource, records)
	assert.Equal(t, a.Decide(moment(5), testService, []uint64{77}).Action, Send)
	assert.Equal(t, len(a.RecordEnd(moment(6), endOf(2, 77))), 0)
}

// Guards against a sound part that stays condemned because the gateways that have seen it finish say so
// after the verdict.
func TestPartIsAcquittedByOtherGateways(t *testing.T) {
	a := newTestTracker("a")
	for i := range 3 {
		a.RecordEnd(moment(i), endOf(i, 77))
	}
	assert.Equal(t, a.Decide(moment(3), testService, []uint64{77}).Action, Refuse)
	for i := range 4 {
		other := newTestTracker(fmt.Sprint("b", i))
		other.RecordFinished(moment(4), moment(3), testService, []uint64{77})
		other.RecordFinished(moment(4), moment(3), testService, []uint64{77})
		records, _ := a.Changes(0, 100, NoSource)
		other.Merge(moment(4), NoSource, records)
		records, _ = other.Changes(0, 100, NoSource)
		a.Merge(moment(5), NoSource, records)
	}
	assert.Equal(t, a.Decide(moment(6), testService, []uint64{77}).Action, Send)
	assert.Equal(t, len(a.RecordEnd(moment(7), endOf(4, 77))), 0, "ends before the acquittal count")

	b := newTestTracker("a")
	for i := range 3 {
		b.RecordEnd(moment(i), endOf(i, fatal))
	}
	records, _ := b.Changes(0, 100, NoSource)
	other := newTestTracker("c")
	other.Merge(moment(4), NoSource, records)
	records, _ = other.Changes(0, 100, NoSource)
	b.Merge(moment(5), NoSource, records)
	assert.Equal(t, b.Decide(moment(6), testService, []uint64{fatal}).Action, Refuse)
}

// Guards against a part that stays condemned for ever, and against one that ends workers for as long as
// it comes after its condemnation has ended.
func TestProbationEndsByOneRequest(t *testing.T) {
	condemned := func() (*Tracker, time.Duration) {
		tracker := newTestTracker("a")
		for i := range 3 {
			tracker.RecordEnd(moment(i), endOf(i, 1, fatal))
		}
		now := moment(2) + CondemnedFor
		tracker.Tick(now)
		return tracker, now + 2*probationDelay
	}
	tracker, now := condemned()
	assert.Equal(t, tracker.Decide(now, testService, []uint64{1, fatal}).Action, SendAlone)
	verdicts := tracker.RecordEnd(now, endOf(9, 1, fatal))
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, verdicts[0].Tries, 1)
	assert.Equal(t, verdicts[0].Until-now, 2*CondemnedFor)
	assert.Equal(t, tracker.Decide(now, testService, []uint64{1, fatal}).Action, Refuse)

	tracker, now = condemned()
	verdicts = tracker.RecordFinished(now, now, testService, []uint64{1, fatal})
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, verdicts[0].Condemned, false)
	assert.Equal(t, tracker.Decide(now, testService, []uint64{1, fatal}).Action, Send)
}

// Guards against a part that is refused although the version whose workers it ended is gone.
func TestNewVersionEndsCondemnation(t *testing.T) {
	tracker := newTestTracker("a")
	for i := range 3 {
		tracker.RecordEnd(moment(i), endOf(i, 1, fatal))
	}
	tracker.SetWorkers(time.Second, testService, 18, []string{"v1", "v2"})
	tracker.Tick(3 * time.Second)
	assert.Equal(t, tracker.Decide(20*time.Second, testService, []uint64{fatal}).Action, Refuse)
	tracker.SetWorkers(time.Second, testService, 9, []string{"v2"})
	tracker.Tick(20 * time.Second)
	assert.Equal(t, tracker.Decide(20*time.Second, testService, []uint64{fatal}).Action, Refuse)
	assert.Equal(t, tracker.Decide(20*time.Second+2*probationDelay, testService, []uint64{fatal}).Action, SendAlone)
}

// Guards against verdicts of operators that the evidence or an older verdict overrides.
func TestOperatorSetsAndLiftsParts(t *testing.T) {
	tracker := newTestTracker("a")
	part := Part{testService, 100}
	tracker.Set(time.Second, part, time.Minute)
	assert.Equal(t, tracker.Decide(2*time.Second, testService, []uint64{100}).Action, Refuse)
	records, _ := tracker.Changes(0, 100, NoSource)
	_, ok := tracker.Lift(3*time.Second, part)
	assert.Assert(t, ok)
	tracker.Merge(4*time.Second, NoSource, records)
	assert.Equal(t, tracker.Decide(4*time.Second, testService, []uint64{100}).Action, Send)
	for i := range 3 {
		tracker.RecordEnd(4*time.Second+moment(i)-moment(0), endOf(i, fatal))
	}
	_, ok = tracker.Lift(5*time.Second, Part{testService, fatal})
	assert.Assert(t, ok)
	assert.Equal(t, len(tracker.RecordEnd(6*time.Second, endOf(3, fatal))), 0, "ends before the lift count")
	_, ok = tracker.Lift(4*time.Second, part)
	assert.Assert(t, !ok)
}

// Guards against gateways that come to different states because records reach them in another order,
// twice, or in parts.
func TestRecordsMergeToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			part := Part{testService, rapid.Uint64Range(1, 3).Draw(t, "part")}
			at := time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				records = append(records, Record{Part: part, Crash: &Crash{Worker: rapid.Uint64Range(1, 4).Draw(t, "worker"), Weight: rapid.Float64Range(0.1, 1).Draw(t, "weight"), At: at}})
			case 1:
				records = append(records, Record{Part: part, Finished: &Finished{Origin: rapid.Uint64Range(1, 3).Draw(t, "origin"), Count: rapid.IntRange(0, 5).Draw(t, "count"), At: at}})
			default:
				sequence := rapid.Int64Range(1, 5).Draw(t, "sequence")
				records = append(records, Record{Part: part, Verdict: &Verdict{Part: part, Sequence: sequence, Condemned: sequence%2 == 0}})
			}
		}
		a, b := NewLedger(0), NewLedger(0)
		for _, r := range records {
			a.Merge(NoSource, r)
		}
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			b.Merge(NoSource, r)
			b.Merge(NoSource, r)
		}
		for version := int64(0); ; {
			var page []Record
			if page, version = a.ChangedSince(version, 3, NoSource); len(page) == 0 {
				break
			}
			for _, r := range page {
				b.Merge(NoSource, r)
			}
		}
		for part, p := range a.parts {
			assert.Equal(t, len(b.parts[part].crashes), len(p.crashes))
			for worker, c := range p.crashes {
				assert.Equal(t, b.parts[part].crashes[worker].value.Weight, c.value.Weight)
			}
			for origin, f := range p.finished {
				assert.Equal(t, b.parts[part].finished[origin].value.Count, f.value.Count)
			}
		}
		for part, v := range a.verdicts {
			assert.Equal(t, b.verdicts[part].value, v.value)
		}
	})
}

// Guards against a verdict of a peer or the store whose numbers end the process or can never be overruled.
func TestVerdictWithImpossibleNumbersDoesNoHarm(t *testing.T) {
	tracker := newTestTracker("a")
	part := Part{testService, fatal}
	tracker.Merge(moment(0), NoSource, []Record{
		{Part: part, Verdict: &Verdict{Part: part, Sequence: 1, Tries: -100, Crashes: -1}},
		{Part: part, Verdict: &Verdict{Part: part, Sequence: 1<<63 - 1, Condemned: true, Until: 1 << 62}},
	})
	assert.Equal(t, tracker.Decide(moment(0), testService, []uint64{fatal}).Action, Send)
	for i := range 3 {
		tracker.RecordEnd(moment(i+1), endOf(i, 1, fatal))
	}
	assert.Equal(t, tracker.Decide(moment(5), testService, []uint64{fatal}).Action, Refuse)
	_, ok := tracker.Lift(moment(6), part)
	assert.Assert(t, ok)
}

// Guards against records that take unbounded memory.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(0)
	for i := range uint64(3 * maxParts) {
		l.Merge(NoSource, Record{Part: Part{testService, i}, Crash: &Crash{Worker: i, Weight: 1, At: time.Duration(i)}})
		l.Merge(NoSource, Record{Part: Part{testService, i}, Verdict: &Verdict{Part: Part{testService, i}, Sequence: 1, Condemned: true, ByOperator: i == 0, Until: time.Duration(i)}})
	}
	assert.Equal(t, len(l.parts), maxParts)
	assert.Equal(t, len(l.verdicts), maxVerdicts)
	assert.Assert(t, l.verdicts[Part{testService, 0}] != nil, "the verdict of an operator was dropped first")
	l.Expire(time.Hour)
	assert.Equal(t, len(l.parts), 0)
}

// BenchmarkTracker measures what a Tracker adds to a request with three parts that are not in evidence.
func BenchmarkTracker(b *testing.B) {
	t := newTestTracker("a")
	t.RecordEnd(time.Second, endOf(1, fatal))
	for i := range uint64(b.N) {
		ids := []uint64{1 + i%4, 1000 + i%500}
		t.Decide(time.Second, testService, ids)
		t.RecordFinished(time.Second, time.Second, testService, ids)
	}
}

// Guards against a gateway that never ends judging because more parts are fatal than verdicts are kept.
func TestManyFatalPartsAreJudgedInTime(t *testing.T) {
	tracker := newTestTracker("a")
	for part := range uint64(maxVerdicts + 50) {
		for i := range 3 {
			tracker.ledger.mergeCrash(NoSource, Part{testService, 1000 + part}, Crash{Worker: 10*part + uint64(i), Weight: 1, At: moment(i)})
		}
	}
	verdicts := tracker.RecordEnd(moment(4), endOf(1, 1))
	assert.Equal(t, len(verdicts), maxCondemnedAtOnce)
}

// Guards against evidence that takes the memory of a gateway: all tables are full, each part with as many
// ended workers as are kept.
func TestMemoryIsBounded(t *testing.T) {
	const maxBytes = 32 << 20 // a tenth of the memory of a gateway on the users' machines
	before := liveHeap()
	tracker := NewTracker("a", time.UnixMilli(0))
	for i := range uint64(2 * maxKnownParts) {
		for range commonFinishes {
			tracker.RecordFinished(0, 0, testService, []uint64{i})
		}
	}
	for i := range uint64(maxParts) {
		for worker := range uint64(maxCrashes / maxParts) {
			tracker.ledger.Merge(NoSource, Record{Part: Part{testService, i}, Crash: &Crash{Worker: worker, Weight: 1}})
		}
		for origin := range uint64(maxOriginsPerPart) {
			tracker.ledger.Merge(NoSource, Record{Part: Part{testService, i}, Finished: &Finished{Origin: origin, Count: commonFinishes, Begun: make([]Elapsed, commonFinishes)}})
		}
		whole := Part{testService, 1<<32 + i}
		for worker := range uint64(maxCrashes / maxParts) {
			tracker.ledger.Merge(NoSource, Record{Part: whole, Crash: &Crash{Worker: worker, Weight: 1, IsWhole: true}})
			tracker.ledger.Merge(NoSource, Record{Part: whole, Finished: &Finished{Origin: worker, Count: commonFinishes, Begun: make([]Elapsed, commonFinishes)}})
		}
		tracker.ledger.Merge(NoSource, Record{Part: Part{testService, i}, Verdict: &Verdict{Part: Part{testService, i}, Sequence: 1, Condemned: true, Until: time.Hour}})
	}
	used := liveHeap() - before
	t.Logf("%d kB", used/1024)
	assert.Assert(t, used < maxBytes, "%d bytes", used)
	runtime.KeepAlive(tracker)
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
