package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// delayed returns records as they are read after a message that took some time: their times are stated
// as ages, so that they become later by as much.
func delayed(records []Record, by time.Duration) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		switch {
		case r.Crash != nil:
			c := *r.Crash
			c.At += by
			r.Crash = &c
		case r.Finished != nil:
			f := *r.Finished
			f.At += by
			f.Begun = nil
			for _, at := range r.Finished.Begun {
				f.Begun = append(f.Begun, at+by)
			}
			r.Finished = &f
		}
		out = append(out, r)
	}
	return out
}

// Guards against statements that come back later than they were made, look like new ones, and go round
// between gateways and relays for ever: on a day with 26 ended workers they were 95% of what 29 gateways
// and three relays sent each other.
func TestStatementsDoNotGoRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways, relays = 4, 2
		trackers, ledgers := make([]*Tracker, gateways), make([]*Ledger, relays)
		for i := range trackers {
			trackers[i] = NewTracker(string(rune('a'+i)), time.UnixMilli(0))
		}
		for i := range ledgers {
			ledgers[i] = NewLedger(0)
		}
		delay := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
		}
		sent, read, fetched := make([]int64, gateways), make([]int64, gateways), make([]int64, relays)
		now := time.Hour
		exchange := func() (records int) {
			for i, tracker := range trackers {
				relay, source := i%relays, Source(100+i)
				var out, in []Record
				out, sent[i] = tracker.Changes(sent[i], 1000, Source(1+relay))
				for _, r := range delayed(out, delay()) {
					ledgers[relay].Merge(source, r)
				}
				in, read[i] = ledgers[relay].ChangedSince(read[i], 1000, source)
				tracker.Merge(now, Source(1+relay), delayed(in, delay()))
				records += len(out) + len(in)
			}
			for i := range ledgers {
				var in []Record
				in, fetched[i] = ledgers[1-i].ChangedSince(fetched[i], 1000, Source(1+i))
				for _, r := range delayed(in, delay()) {
					ledgers[i].Merge(Source(2-i), r)
				}
				records += len(in)
			}
			now += 200 * time.Millisecond
			return records
		}
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			tracker := trackers[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			if rapid.Bool().Draw(t, "ends") {
				tracker.RecordEnd(now, WorkerEnd{Service: testService, Worker: rapid.StringOfN(rapid.RuneFrom([]rune("xyz")), 1, 1, -1).Draw(t, "worker"), IDs: []uint64{1, 2}, Weight: 1})
			} else {
				tracker.RecordFinished(now, now-time.Second, testService, []uint64{1, 2})
			}
			if rapid.Bool().Draw(t, "exchanges") {
				exchange()
			}
		}
		for range 5 {
			exchange()
		}
		assert.Equal(t, exchange(), 0)
		for _, tracker := range trackers[1:] {
			assertSameRecords(t, tracker.ledger, trackers[0].ledger)
		}
	})
}

// assertSameRecords fails if two ledgers differ in more than times.
func assertSameRecords(t *rapid.T, a, b *Ledger) {
	assert.Equal(t, len(a.parts), len(b.parts))
	for part, p := range a.parts {
		q := b.parts[part]
		assert.Assert(t, q != nil)
		assert.Equal(t, len(q.crashes), len(p.crashes))
		assert.Equal(t, len(q.finished), len(p.finished))
		for origin, f := range p.finished {
			assert.Equal(t, q.finished[origin].value.Sequence, f.value.Sequence)
		}
	}
}
