package news

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/quarantine"
)

// Guards against records that say something else at the receiver than at the sender, and against a
// message that makes a gateway keep more than its bounds.
func TestQuarantineRecordsKeepTheirMeaning(t *testing.T) {
	const now = time.Hour
	part := quarantine.Part{Service: "svc", ID: 0xdead}
	sent := []quarantine.Record{
		{Part: part, Crash: &quarantine.Crash{Worker: 7, Weight: 0.75, Position: 2, IsWhole: true, OnTrial: true, At: now - time.Second}},
		{Part: part, Finished: &quarantine.Finished{Origin: 9, Count: 2, At: now - time.Second, Begun: []time.Duration{now - 3*time.Second, now - 2*time.Second}}},
		{Part: part, Verdict: &quarantine.Verdict{Part: part, Sequence: 3, Condemned: true, Version: "v1", Crashes: 4, Tries: 1, Until: now + time.Minute}},
	}
	got, err := decodeQuarantine(now+time.Minute, encodeQuarantine(now, sent))
	assert.NilError(t, err)
	for i := range got {
		switch {
		case got[i].Crash != nil:
			got[i].Crash.At -= time.Minute
		case got[i].Finished != nil:
			got[i].Finished.At -= time.Minute
			for j := range got[i].Finished.Begun {
				got[i].Finished.Begun[j] -= time.Minute
			}
		default:
			got[i].Verdict.Until -= time.Minute
		}
	}
	assert.DeepEqual(t, got, sent)
	_, err = decodeQuarantine(now, []api.QuarantineRecord{{Kind: api.QuarantineRecordKindFinished, Service: "svc", Part: "1", Subject: "2", BegunAgesMs: make([]int, 100)}})
	assert.ErrorContains(t, err, "100 requests")
}

// Guards against a record with a time ahead of now, which would count for ever, or one out of range.
func TestTimesOfRecordsAreBounded(t *testing.T) {
	const now = time.Hour
	for _, age := range []int{-1, -1 << 62, 1 << 62, 1<<63 - 1} {
		got, err := decodeQuarantine(now, []api.QuarantineRecord{
			{Kind: api.QuarantineRecordKindCrash, Service: "svc", Part: "1", Subject: "2", AgeMs: age},
			{Kind: api.QuarantineRecordKindFinished, Service: "svc", Part: "1", Subject: "2", AgeMs: age, BegunAgesMs: []int{age}},
		})
		assert.NilError(t, err)
		for _, at := range []Elapsed{got[0].Crash.At, got[1].Finished.At, got[1].Finished.Begun[0]} {
			assert.Assert(t, at <= now && at >= 0, "age %d is decoded as %v", age, at)
		}
	}
}

// Guards against a message of a peer that ends the relay or the gateway that reads it.
func FuzzReportOfGateway(f *testing.F) {
	f.Add([]byte(`{"loads":"","quarantine":[{"kind":"crash","service":"s","part":"dead","subject":"1","weight":1,"ageMs":5,"whole":true}]}`))
	f.Add([]byte(`{"quarantine":[{"kind":"verdict","service":"s","part":"dead","sequence":9223372036854775807,"tries":-5,"condemned":true,"remainingMs":-1}]}`))
	f.Add([]byte(`{"quarantine":[{"kind":"finished","service":"","part":"","subject":"zz","count":-1,"begunAgesMs":[-9223372036854775808]}],"evidence":[{}]}`))
	f.Add([]byte(`{"loads":"//////8=","failures":"AAAA","demand":"!","evidenceSince":-1,"quarantineSince":-9}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p api.LoadsParams
		if json.Unmarshal(raw, &p) != nil {
			return
		}
		own, err := decodeReport(p.Loads, p.Failures, p.Demand, p.Evidence)
		if err != nil {
			return
		}
		if own.Quarantine, err = decodeQuarantine(time.Hour, p.Quarantine); err != nil {
			return
		}
		tracker := quarantine.NewTracker("g", time.UnixMilli(0))
		for range 3 {
			tracker.Merge(time.Hour, quarantine.NoSource, own.Quarantine)
			for _, r := range own.Quarantine {
				tracker.RecordEnd(time.Hour, quarantine.WorkerEnd{Service: r.Part.Service, Worker: r.Part.Service, IDs: []uint64{r.Part.ID}, Weight: 1})
			}
			tracker.Tick(time.Hour)
		}
		tracker.Changes(int64(p.QuarantineSince), 10, quarantine.NoSource)
	})
}
