package news

import (
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
